"""The replicated log: commits over real links, failover, recovery, costs."""

import asyncio
import pathlib
import random
import tempfile
import time

from bench import figures
from carawaystair import clock
from carawaystair.control import disk as disks
from carawaystair.control import files as files_module
from carawaystair.control import joining
from carawaystair.control import replica as replicas
from carawaystair.control import state as states
from carawaystair.control import submissions
from carawaystair import links
from carawaystair import rows
from standin import fleet
from test import control_fakes
from test import fakes

TITLE = 'Control log: commits, failover, recovery with and without snapshot'

ENTRY_BYTES = 400
COMMITS = 300
WRITERS = 32
KILLS = 50
LENGTHS = (500, 2_000, 8_000)
TABLES = (1_000, 10_000, 40_000)


class Keeper:
    """A machine that counts."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, _version, _entry: bytes) -> bytes:
        self.count += 1
        return b''

    def snapshot(self) -> bytes:
        return b'%d' % self.count

    def restore(self, data: bytes) -> None:
        self.count = int(data)


class Real:
    """Replicas over real links and disks, in one process on loopback."""

    def __init__(self, size: int, folder: pathlib.Path, seed: int) -> None:
        rng = random.Random()
        taken: set[str] = set()
        self.seats = tuple(
            joining.Seat('h%d' % n, fleet.free_address(rng, taken))
            for n in range(size)
        )
        self.links = [links.Links(seat.peer) for seat in self.seats]
        self.replicas = []
        for number, seat in enumerate(self.seats):
            path = folder / seat.name
            path.mkdir()
            self.replicas.append(
                replicas.make(
                    seat,
                    self.seats,
                    self.links[number],
                    files_module.Folder(path),
                    disks.make(),
                    Keeper(),
                    random.Random('%d/%d' % (seed, number)),
                )
            )

    async def start(self) -> replicas.Replica:
        """Start all and return the leader."""
        for part in (*self.links, *self.replicas):
            await part.start()
        while True:
            await asyncio.sleep(0.05)
            for replica in self.replicas:
                if (await replica.read_index()).is_ok():
                    return replica

    async def stop(self) -> None:
        """Stop all."""
        for part in (*self.replicas, *self.links):
            await part.stop()


async def commits(size: int, count: int, seed: int) -> list:
    """Return figures of synced commits over real links."""
    data = bytes(ENTRY_BYTES)
    with tempfile.TemporaryDirectory() as name:
        real = Real(size, pathlib.Path(name), seed)
        leader = await real.start()
        times = []
        sent = sum(end.sent_bytes for end in real.links)
        cpu = time.process_time()
        for _commit in range(count):
            began = time.perf_counter()
            (await leader.propose(data)).ok
            times.append((time.perf_counter() - began) * 1e3)
        cpu = time.process_time() - cpu
        sent = sum(end.sent_bytes for end in real.links) - sent

        async def _write() -> None:
            for _turn in range(count // 4):
                (await leader.propose(data)).ok

        began = time.perf_counter()
        await asyncio.gather(*(_write() for _writer in range(WRITERS)))
        rate = WRITERS * (count // 4) / (time.perf_counter() - began)
        await real.stop()
    base = 'raft.%d.' % size
    p99 = figures.percentile(times, 0.99)
    note = 'all replicas in one process'
    return [
        figures.bootstrap(base + 'commit.median', 'ms', times, seed=seed),
        figures.Figure(base + 'commit.p99', p99, 'ms', samples=count),
        figures.Figure(base + 'commits', rate, '1/s', note=note),
        figures.Figure(
            base + 'cpu', cpu / count * 1e6, 'us/commit', note=note
        ),
        figures.Figure(
            base + 'bytes', sent / count, 'B/commit', note='all links'
        ),
    ]


async def failovers(kills: int, seed: int) -> list[float]:
    """Return the seconds from each kill of a leader to the next commit."""
    group = control_fakes.Group(3, seed)
    await group.start()
    times = []
    for number in range(kills):
        leader = await group.leader()
        await group.propose(b'%d' % number)
        await leader.crash()
        began = clock.now()
        await group.propose(b'after %d' % number)
        times.append(clock.now() - began)
        await leader.start()
        # The next kill finds the group whole again.
        await asyncio.sleep(6.0)
    await group.stop()
    return times


async def recovery_ms(length: int, snapshot: bool) -> float:
    """Return the time from the start of a host to its last entry, in ms."""
    limits = states.Limits(compact_entries=length if snapshot else 1 << 30)
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name)

        def _make() -> replicas.Replica:
            seat = joining.Seat('h', '127.0.0.1:1')
            return replicas.make(
                seat,
                (seat,),
                fakes.Network().transport(seat.peer),
                files_module.Folder(path),
                disks.make(),
                submissions.Submissions(),
                random.Random(1),
                limits=limits,
            )

        replica = _make()
        await replica.start()
        while (await replica.read_index()).is_error():
            await asyncio.sleep(0.01)
        await _fill(replica, length)
        last = replica.shared.applied
        await replica.stop()
        began = time.perf_counter()
        replica = _make()
        await replica.start()
        await replica.applying.reach(last)
        took = (time.perf_counter() - began) * 1e3
        await replica.stop()
    return took


async def _fill(replica: replicas.Replica, length: int) -> None:
    """Accept so many changes of one row each."""
    machine = replica.shared.machine
    for number in range(length):
        wanted = {'customer/c%d' % (number % 500): b'%d' % number}
        total = int.from_bytes(machine.digest)
        for key, value in wanted.items():
            if key in machine.table:
                total -= rows.row_digest(key, machine.table[key])
            total += rows.row_digest(key, value)
        change = submissions.Change(
            str(number),
            'bench',
            'submit',
            0,
            b'%d' % number,
            machine.digest,
            (total % rows.MODULUS).to_bytes(16),
            tuple(wanted.items()),
            (),
        )
        (await replica.propose(submissions.encode(change))).ok


def snapshot_ms(size: int) -> float:
    """Return the time that the loop stands for a snapshot, in ms."""
    machine = submissions.Submissions()
    machine.table = {'customer/c%d' % n: b'x' * 40 for n in range(size)}
    began = time.perf_counter()
    machine.snapshot()
    return (time.perf_counter() - began) * 1e3


def run(seed: int, quick: bool) -> list:
    """Run the experiment, see ``figures.Experiment``."""
    found: list = []
    count = 40 if quick else COMMITS
    for size in (3, 5):
        found += asyncio.run(commits(size, count, seed))
    times = fakes.run(failovers(5 if quick else KILLS, seed))
    p99 = figures.percentile(times, 0.99)
    note = 'virtual time; from the kill to the next commit'
    found += [
        figures.bootstrap('raft.failover.median', 's', times, seed=seed),
        figures.Figure(
            'raft.failover.p99', p99, 's', samples=len(times), note=note
        ),
    ]
    lengths = (50, 100, 200) if quick else LENGTHS
    for name, kept in (('log', False), ('snapshot', True)):
        points = [(n, asyncio.run(recovery_ms(n, kept))) for n in lengths]
        label = 'raft.recovery_ms.%s' % name
        found.append(figures.fit(label, 'ms/entry', points))
    points = [(n, snapshot_ms(n)) for n in TABLES]
    found.append(figures.fit('raft.snapshot_ms', 'ms/row', points))
    return found
