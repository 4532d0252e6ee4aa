"""The departures that a process remembers, on its disk.

All processes of a fleet may be killed at the same moment.  What control hosts
remember of departures must outlive that, or an announcement that arrives
afterwards brings an upstream back that has left.

The file holds all that is remembered, and is replaced whole, so that there is
no half of it after a loss of power.  One write carries all departures that
have come since the last one.  What counts in it are remaining times: they
don't depend on the time of day, and whatever passes between two processes only
makes a departure be remembered longer.

A process that starts without a file may have forgotten departures.  It
says so until all that it may have forgotten would have expired.
"""

import asyncio
import math
import typing

import mode
import msgspec

from carawaystair import clock
from carawaystair.control import disk as disks
from carawaystair.control import files as files_module
from carawaystair import logs
from carawaystair.membership import bounds
from carawaystair.membership import departure_memory
from carawaystair.membership import lifetimes

FILE = 'departures'
FOLDER = 'departures'
# Time for which a question waits for the disk, in seconds; less than its
# sender waits for the answer.
DISK_WAIT_S = 0.35
# Pause after a write, as a multiple of its duration and in seconds at most, so
# that the control group's own writes find the disk free.
PAUSE_FACTOR = 4.0
MAX_PAUSE_S = 0.05
# Interval between attempts to open the folder, in seconds.
OPEN_RETRY_S = 0.5
# Interval between writes until the memory is complete, in seconds.
COMPLETENESS_S = 2.0
MS = 1000

LOG = logs.get('membership')


class Store(typing.Protocol):
    """Keeps departures.

    :ivar memory: the departures.
    :ivar writes: number of writes to a disk.
    :ivar written_bytes: bytes of these.
    """

    memory: departure_memory.DepartureMemory
    writes: int
    written_bytes: int

    def complete(self) -> bool:
        """Return whether the memory has all that this host was given."""

    async def load(self) -> bool:
        """Return whether the memory has what earlier processes kept."""

    async def save(self) -> bool:
        """Return whether all that the memory holds now is kept."""


class MemoryOnly(mode.Service):
    """The :class:`Store` of a process without a disk."""

    def __init__(self, **kwargs) -> None:
        super().__init__(**kwargs)
        self.memory = departure_memory.DepartureMemory()
        self.complete_at = clock.now() + lifetimes.RETENTION_S
        self.writes = 0
        self.written_bytes = 0

    def complete(self) -> bool:
        """Return whether all that earlier processes knew has expired."""
        return clock.now() >= self.complete_at

    async def load(self) -> bool:
        """Return that there is nothing to read."""
        return True

    async def save(self) -> bool:
        """Return that it is kept as well as this process can."""
        return True


class Image(typing.NamedTuple):
    """The content of the file.

    :param departures: departures by host and id of the upstream, with the
        monotonic times of the process that wrote them.
    :param written_at: its monotonic time when it did.
    :param incomplete_s: time until the departures are complete, seconds.
    """

    departures: dict[str, dict[str, departure_memory.Remembered]]
    written_at: float
    incomplete_s: float


_ENCODE = msgspec.msgpack.Encoder().encode
_DECODER = msgspec.msgpack.Decoder(Image)


class DepartureStore(mode.Service):
    """The :class:`Store` of a process with a disk.

    :param files: the folder.
    :param disk: runs the blocking calls.
    :param founded: tells whether the fleet began with this process, so that
        there was nothing to forget.
    """

    def __init__(
        self,
        files: files_module.Files,
        disk: disks.Disk,
        founded: typing.Callable[[], bool] = lambda: False,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.founded = founded
        # Monotonic time at which the memory is complete.
        self.complete_at = clock.now() + lifetimes.RETENTION_S
        self.memory = departure_memory.DepartureMemory()
        self.files = files
        self.disk = disk
        # Set once what an earlier process wrote is in the memory.
        self.loaded = asyncio.Event()
        # The write that carries what is added now; None if nothing waits.
        self.next_write: asyncio.Future[bool] | None = None
        self.wanted = asyncio.Event()
        self.failing = False
        self.writes = 0
        self.written_bytes = 0

    async def on_stop(self) -> None:
        """Give the folder free behind a write in progress, unless it hangs.

        The next process must not write before this one has.
        """
        closing = asyncio.ensure_future(self.disk.run(self.files.close))
        await asyncio.wait((closing,), timeout=DISK_WAIT_S)
        closing.cancel()
        self.disk.close()

    def complete(self) -> bool:
        """Return whether the file was there, or is not missed any more."""
        return self.loaded.is_set() and not self._incomplete_s()

    def _incomplete_s(self) -> float:
        """Return the time until the memory is complete, in seconds."""
        if self.founded():
            return 0.0
        return max(self.complete_at - clock.now(), 0.0)

    async def load(self) -> bool:
        """Return whether the file was read, after a short wait for it."""
        try:
            async with asyncio.timeout(DISK_WAIT_S):
                await self.loaded.wait()
        except TimeoutError:
            return False
        return True

    async def save(self) -> bool:
        """Return whether all that the memory holds now is on the disk.

        :return: False if the disk fails, or is too slow.
        """
        if self.next_write is None:
            self.next_write = asyncio.get_running_loop().create_future()
            self.wanted.set()
        write = self.next_write
        await asyncio.wait((write,), timeout=DISK_WAIT_S)
        return write.done() and write.result()

    @mode.Service.task
    async def _run(self) -> None:
        """Read the file, then write it whenever something is added."""
        while not self.loaded.is_set():
            await self._load()
        while not self.should_stop:
            await self.wanted.wait()
            self.wanted.clear()
            began = clock.now()
            await self._write()
            pause_s = PAUSE_FACTOR * (clock.now() - began)
            await asyncio.sleep(min(pause_s, MAX_PAUSE_S))

    @mode.Service.task
    async def _write_completeness(self) -> None:
        """Write the file although no departure comes, until it is complete.

        The next process would take its absence for a loss.
        """
        await self.loaded.wait()
        while not self.should_stop:
            complete = self.complete()
            if await self.save() and complete:
                return
            await asyncio.sleep(COMPLETENESS_S)

    async def _load(self) -> None:
        try:
            data = await self.disk.run(self._read)
        except OSError as error:
            self._note_failure(error)
            await asyncio.sleep(OPEN_RETRY_S)
            return
        image = None if data is None else _decode(data)
        if image is not None:
            self._remember(image)
        elif data is not None:
            LOG.error(
                'The file of departures is damaged and is replaced.',
                bytes=len(data),
            )
        self.loaded.set()

    def _read(self) -> bytes | None:
        self.files.hold()
        if FILE not in self.files.names():
            return None
        return self.files.read(FILE)

    def _remember(self, image: Image) -> None:
        now = clock.now()
        incomplete_s = min(image.incomplete_s, lifetimes.RETENTION_S)
        self.complete_at = now + incomplete_s
        for host, departures in image.departures.items():
            for departure, expires_at in departures.values():
                remaining_ms = int((expires_at - image.written_at) * MS)
                left = departure._replace(remaining_ms=remaining_ms)
                if bounds.name_ok(host) and bounds.departure_ok(left):
                    self.memory.add(host, left, now)
        LOG.info('Read the file of departures.', hosts=len(image.departures))

    async def _write(self) -> None:
        """Write what is in the memory, and tell those who wait for it."""
        write, self.next_write = self.next_write, None
        image = Image(
            self.memory.snapshot(), clock.now(), self._incomplete_s()
        )
        saved = False
        try:
            size = await self.disk.run(self._replace, image)
            saved = True
            self.writes += 1
            self.written_bytes += size
            self._note_success()
        except OSError as error:
            self._note_failure(error)
        finally:
            write.set_result(saved)

    def _replace(self, image: Image) -> int:
        data = files_module.frame(_ENCODE(image))
        self.files.replace(FILE, data)
        return len(data)

    def _note_failure(self, error: OSError) -> None:
        if not self.failing:
            LOG.error('The file of departures is not usable.', why=str(error))
        self.failing = True

    def _note_success(self) -> None:
        if self.failing:
            LOG.info('The file of departures is usable again.')
        self.failing = False


def _decode(data: bytes) -> Image | None:
    """Return the content of the file; None if it is damaged or foreign."""
    body = files_module.unframe(data)
    if body is None:
        return None
    try:
        image = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    times = [image.written_at, image.incomplete_s]
    times += [
        item.expires_at
        for departures in image.departures.values()
        for item in departures.values()
    ]
    return image if all(map(math.isfinite, times)) else None


def make(kernel) -> DepartureStore | MemoryOnly:
    """Return the store of a process, by whether it has a disk."""
    folder = kernel.data(FOLDER)
    if folder is None:
        return MemoryOnly()
    return DepartureStore(
        files_module.Folder(folder),
        disks.make(),
        lambda: kernel.control_group().founded,
    )
