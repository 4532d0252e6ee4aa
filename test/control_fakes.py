"""Fakes for the tests of control: a folder that forgets, a group in one loop.

The folder loses what was not synced, tears the last write and fails when it
is told to.  The group runs replicas over ``fakes.Network`` in virtual time
and checks the safety of the log at every step.
"""

import asyncio
import errno
import random
import typing

from carawaystair import clock
from carawaystair.control import joining
from carawaystair.control import replica as replicas
from carawaystair.control import state as states
from test import fakes


class File:
    """A file: what a reader sees, and what would outlive a crash."""

    def __init__(self) -> None:
        self.content = b''
        self.synced = b''
        self.named = False


class Folder:
    """A fake of ``files.Files``."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.table: dict[str, File] = {}
        self.aside: dict[str, dict] = {}
        # Errors by the name of the call, such as {'sync': errno.EIO}.
        self.errors: dict[str, int] = {}
        self.room = 1 << 40

    def _check(self, call: str) -> None:
        if call in self.errors:
            raise OSError(self.errors[call], 'injected')

    def hold(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self.table)

    def folders(self) -> list[str]:
        return sorted(self.aside)

    def read(self, name: str) -> bytes:
        self._check('read')
        return self.table[name].content

    def append(self, name: str, data: bytes) -> None:
        self._check('append')
        file = self.table.setdefault(name, File())
        file.content += data[: self.room]
        self.room -= len(data)
        if self.room < 0:
            raise OSError(errno.ENOSPC, 'injected')

    def sync(self, name: str) -> None:
        self._check('sync')
        self.table[name].synced = self.table[name].content

    def sync_folder(self) -> None:
        self._check('sync_folder')
        for file in self.table.values():
            file.named = True

    def replace(self, name: str, data: bytes) -> None:
        self._check('replace')
        file = File()
        file.content = file.synced = data
        self.table[name] = file
        self.sync_folder()

    def cut(self, name: str, size: int) -> None:
        file = self.table[name]
        file.content = file.synced = file.content[:size]

    def remove(self, name: str) -> None:
        del self.table[name]

    def set_aside(self, names, folder: str) -> None:
        self.aside[folder] = {name: self.table.pop(name) for name in names}

    def close(self) -> None:
        pass

    def crash(self) -> None:
        """Lose power: the unsynced end of each file survives in part."""
        for name, file in list(self.table.items()):
            if not file.named and self.rng.random() < 0.5:
                del self.table[name]
                continue
            tail = bytearray(file.content[len(file.synced) :])
            del tail[self.rng.randint(0, len(tail)) :]
            if tail and self.rng.random() < 0.3:
                # Pages reach the disk in any order.
                tail[self.rng.randrange(len(tail))] ^= 0xFF
            file.content = file.synced = file.synced + bytes(tail)

    def flip(self, name: str, offset: int) -> None:
        """Flip a bit."""
        file = self.table[name]
        data = bytearray(file.content)
        data[offset] ^= 0x10
        file.content = file.synced = bytes(data)

    def copy(self) -> dict[str, bytes]:
        """Return a backup."""
        return {name: file.synced for name, file in self.table.items()}

    def restore(self, backup: dict[str, bytes]) -> None:
        """Put a backup in place of everything."""
        self.table.clear()
        for name, data in backup.items():
            self.replace(name, data)


class Disk:
    """A fake of ``disk.Disk``: runs calls in the loop after a delay."""

    def __init__(self, rng: random.Random, delay_s: float = 0.001) -> None:
        self.rng = rng
        self.delay_s = delay_s
        self.lock = asyncio.Lock()
        self.dead = False

    async def run(self, function, *arguments):
        async with self.lock:
            await asyncio.sleep(self.rng.uniform(0, 2 * self.delay_s))
            if self.dead:
                await asyncio.get_running_loop().create_future()
            return function(*arguments)

    def close(self) -> None:
        pass


class Machine:
    """Keeps the entries that it was given."""

    def __init__(self, oracle: 'Oracle') -> None:
        self.oracle = oracle
        self.entries: list[bytes] = []

    def apply(self, version, entry: bytes) -> bytes:
        self.oracle.applied(version, entry)
        self.entries.append(entry)
        return b'%d' % len(self.entries)

    def snapshot(self) -> bytes:
        return b'\n'.join(self.entries)

    def restore(self, data: bytes) -> None:
        self.entries = data.split(b'\n') if data else []


class Oracle:
    """What must hold over all replicas, whatever happens."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.events: list[tuple[float, str, str, str]] = []

    def record(self, name: str, kind: str, text: str) -> None:
        """Take note of an event of one replica."""
        self.events.append((clock.now(), name, kind, text))
        if kind == 'control-leader':
            before = self.leaders.setdefault(text, name)
            assert before == name, 'two leaders in %s' % text

    def applied(self, version, entry: bytes) -> None:
        """Check that an index has one entry for ever."""
        mine = (version.term, entry)
        before = self.committed.setdefault(version.index, mine)
        assert before == mine, 'entry %s was %r' % (version, before)

    def logs(self, all_replicas: typing.Iterable) -> None:
        """Check log matching between each two replicas."""
        logs = [r.shared.log for r in all_replicas]
        for one in logs:
            for other in logs:
                self._match(one, other)

    def _match(self, one, other) -> None:
        agree = False
        low = max(one.base_index, other.base_index) + 1
        for index in range(min(one.last_index, other.last_index), low - 1, -1):
            same = one.term_at(index) == other.term_at(index)
            agree = agree or same
            if agree:
                assert one.entry(index) == other.entry(index), index


class Host:
    """A control host with its disk, through crashes and restarts."""

    def __init__(self, group: 'Group', seat: joining.Seat) -> None:
        self.group = group
        self.seat = seat
        self.folder = Folder(group.random)
        self.disk: Disk | None = None
        self.replica: replicas.Replica | None = None
        self.machine: typing.Any = None

    @property
    def up(self) -> bool:
        return self.replica is not None

    async def start(self) -> None:
        group = self.group
        self.disk = Disk(group.random)
        self.machine = group.machine()
        self.replica = replicas.make(
            self.seat,
            group.seats,
            group.network.transport(self.seat.peer),
            self.folder,
            self.disk,
            self.machine,
            random.Random(group.random.getrandbits(32)),
            group.timing,
            group.limits,
            lambda kind, text: group.oracle.record(self.seat.name, kind, text),
        )
        # mode starts tasks in the order of a set of names, which differs
        # from process to process; a seed must fix the run.
        tasks = sorted(self.replica._get_tasks(), key=lambda t: t.fun.__name__)
        self.replica._get_tasks = lambda: tasks
        await self.replica.start()

    async def crash(self, power: bool = True) -> None:
        """Vanish; with ``power``, what was not synced may be lost."""
        self.group.network.remove(self.seat.peer)
        self.disk.dead = True
        replica, self.replica = self.replica, None
        replica.shared.role = 'crashed'
        await replica.stop()
        if power:
            self.folder.crash()

    def lose_disk(self) -> None:
        self.folder = Folder(self.group.random)


class Group:
    """Control hosts in one loop.

    :param size: how many.
    :param seed: of all randomness.
    """

    host_class: type = Host

    def __init__(self, size: int, seed: int, **network) -> None:
        self.random = random.Random(seed)
        self.network = fakes.Network(seed, **network)
        self.oracle = Oracle()
        self.timing = states.Timing()
        self.limits = states.Limits()
        self.machine = lambda: Machine(self.oracle)
        self.seats = tuple(
            joining.Seat('host-%d' % n, '127.0.0.1:%d' % (30_000 + n))
            for n in range(size)
        )
        self.hosts = [self.host_class(self, seat) for seat in self.seats]

    async def start(self) -> None:
        for host in self.hosts:
            await host.start()

    async def restart(self) -> None:
        """Let all lose power and start again."""
        for host in self.up():
            await host.crash()
        await self.start()

    async def stop(self) -> None:
        for host in self.up():
            await host.crash(power=False)

    def up(self) -> list[Host]:
        return [host for host in self.hosts if host.up]

    def leaders(self) -> list[Host]:
        return [
            host for host in self.up() if host.replica.shared.role == 'leader'
        ]

    async def leader(self, within_s: float = 30.0) -> Host:
        """Wait until exactly one replica leads and is confirmed."""
        end = clock.now() + within_s
        while clock.now() < end:
            for host in self.leaders():
                if (await host.replica.read_index()).is_ok():
                    return host
            await asyncio.sleep(0.05)
        raise AssertionError('no leader within %g s' % within_s)

    async def propose(self, entry: bytes, within_s: float = 30.0):
        """Propose until it is accepted; returns the version."""
        end = clock.now() + within_s
        while clock.now() < end:
            leader = await self.leader(within_s)
            result = await leader.replica.propose(entry)
            if result.is_ok():
                return result.ok[0]
            await asyncio.sleep(0.05)
        raise AssertionError('not accepted: %s' % result.error.sentence())

    async def settle(self, index: int, within_s: float = 30.0) -> None:
        """Wait until all that are up have applied ``index``."""
        end = clock.now() + within_s
        while clock.now() < end:
            if all(h.replica.shared.applied >= index for h in self.up()):
                return
            await asyncio.sleep(0.05)
        raise AssertionError(
            'applied: %s' % [h.replica.status() for h in self.up()]
        )


# No test takes longer, in virtual time.
LIMIT_S = 300.0


def group_run(size: int, kind=Group, seed: int = 1, **network):
    """Return a decorator that runs a test with a started group."""

    def _decorate(test):
        def _run():
            async def _main():
                group = kind(size, seed, **network)
                await group.start()
                try:
                    async with asyncio.timeout(LIMIT_S):
                        await test(group)
                    group.oracle.logs(h.replica for h in group.up())
                finally:
                    await group.stop()

            fakes.run(_main())

        _run.__doc__ = test.__doc__
        _run.__name__ = test.__name__
        return _run

    return _decorate
