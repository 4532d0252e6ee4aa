"""What a node adds to a request: time and processor time.

Callers ask the same upstreams directly, through a naive relay and through a
node, in short rounds by turns, so that noise of the machine falls on all
three alike.  Arrivals are open-loop and latency counts from the intended
start.
"""

import asyncio
import functools
import os
import pathlib
import random
import statistics
import tempfile
import typing

import aiohttp

from bench import figures
from standin import fleet as fleets
from standin import load
from standin import stage as stages

TITLE = 'Latency and processor time that a node adds, against a naive relay'

# Requests a second at one node: 170,000 over 2,500 nodes, and twice that.
RATES = (70.0, 136.0)
ROUNDS = 5
ROUND_S = 6.0
QUICK_ROUNDS = 2
QUICK_ROUND_S = 1.0
WARM_S = 1.0
IDLE_S = 4.0
UPSTREAMS = 4
SERVICE_MS = 5.0
PATIENCE_S = 30.0

DIRECT = 'direct'
NAIVE = 'naive'
NODE = 'node'
PATHS = (DIRECT, NAIVE, NODE)
SHARES = (('p50', 0.5), ('p99', 0.99), ('p999', 0.999))

WORK = {
    'get': load.Work('/status/flight', load.GET, 1.0, 512),
    'post': load.Work('/claims', load.POST, 1.0, 512),
}


class Round(typing.NamedTuple):
    """One round of one path.

    :param kind: ``get`` or ``post``.
    :param rate: requests a second.
    :param path: one of :data:`PATHS`.
    :param latencies_ms: of every request.
    :param bad: requests without a whole answer.
    :param cpu_us: processor time of the process in between, us a request.
    """

    kind: str
    rate: float
    path: str
    latencies_ms: tuple[float, ...]
    bad: int
    cpu_us: float


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path('/proc/%d/stat' % pid).read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


class Bench:
    """The processes of one run.

    :param fleet: an empty fleet.
    :param rng: orders the rounds and draws arrivals.
    """

    def __init__(self, fleet: fleets.Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.targets: dict[str, tuple[str, ...]] = {}
        self.names = {NAIVE: 'naive', NODE: 'node-1'}
        self.idle: dict[str, float] = {}

    async def start(self) -> None:
        """Start 1 control host, 4 nodes, the upstreams and the relay."""
        fields = {'service_ms': SERVICE_MS, 'spread': 0.0, 'grace_s': 0.0}
        crew = stages.Crew('portal', UPSTREAMS, fields)
        self.stage = stages.Stage(self.fleet, (crew,))
        await self.stage.start()
        upstreams = tuple(o.address for o in self.fleet.upstreams.values())
        listen = self.fleet.address()
        words = ('--listen', listen, '--upstreams', ','.join(upstreams))
        await self.fleet.start('naive', 'bench.naive', *words)
        node = self.fleet.hosts['node-1'].listen
        self.targets = {DIRECT: upstreams, NAIVE: (listen,), NODE: (node,)}
        await self.fleet.until(
            functools.partial(self.answers, listen), 'the relay', PATIENCE_S
        )

    async def answers(self, address: str) -> bool:
        """Tell whether an address answers."""
        url = 'http://%s/status' % address
        try:
            async with self.fleet.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def rest(self) -> None:
        """Measure what the processes use without requests, s a second."""
        before = {name: self.used(name) for name in self.names}
        await asyncio.sleep(IDLE_S)
        self.idle = {
            name: (self.used(name) - used) / IDLE_S
            for name, used in before.items()
        }

    def used(self, path: str) -> float:
        """Return the processor time of a path's process, in seconds."""
        if path not in self.names:
            return 0.0
        return cpu_s(self.fleet.processes[self.names[path]].pid)

    async def round(
        self, kind: str, rate: float, path: str, seconds: float
    ) -> Round:
        """Send requests over one path."""
        plan = load.Plan(
            self.targets[path],
            rate,
            seconds,
            (WORK[kind],),
            seed=self.rng.randrange(2**32),
            name='%x' % self.rng.randrange(2**48),
        )
        before = self.used(path)
        client = load.Load(plan)
        answers = await client.run()
        spent = self.used(path) - before
        spent -= self.idle.get(path, 0.0) * seconds
        whole = [a for a in answers if a.verdict == load.WHOLE]
        return Round(
            kind,
            rate,
            path,
            tuple(answer.latency_s * 1000 for answer in answers),
            len(answers) - len(whole) + client.skipped,
            spent / max(len(answers), 1) * 1e6,
        )

    async def rounds(self, count: int, seconds: float) -> list[Round]:
        """Run all rounds, the paths in a new order each time."""
        for kind in WORK:
            for path in PATHS:
                await self.round(kind, RATES[0], path, WARM_S)
        await self.rest()
        return [
            await self.round(kind, rate, path, seconds)
            for _round in range(count)
            for kind in WORK
            for rate in RATES
            for path in self.rng.sample(PATHS, len(PATHS))
        ]


# Figures


def case_figures(
    case: str, by_path: dict[str, list[Round]], seed: int
) -> list[figures.Figure]:
    """Return the figures of one kind of request at one rate."""
    found = []
    for path, rounds in by_path.items():
        pooled = [ms for each in rounds for ms in each.latencies_ms]
        found.extend(
            figures.Figure(
                '%s.%s.%s' % (case, path, name),
                figures.percentile(pooled, share),
                'ms',
                samples=len(pooled),
            )
            for name, share in SHARES
        )
        bad = sum(each.bad for each in rounds)
        found.append(
            figures.Figure('%s.%s.bad' % (case, path), bad, 'requests')
        )
    found.extend(added(case, by_path, seed))
    found.extend(processor(case, by_path, seed))
    return found


def added(
    case: str, by_path: dict[str, list[Round]], seed: int
) -> typing.Iterator[figures.Figure]:
    """Yield what a path adds to asking directly."""
    for name, share in SHARES[:2]:
        excess = {
            path: [
                figures.percentile(mine.latencies_ms, share)
                - figures.percentile(direct.latencies_ms, share)
                for mine, direct in zip(by_path[path], by_path[DIRECT])
            ]
            for path in (NAIVE, NODE)
        }
        for path, values in excess.items():
            label = '%s.%s.added.%s' % (case, path, name)
            yield figures.bootstrap(label, 'ms', values, seed=seed)
        if name != 'p50':
            # The difference of two 99th percentiles may be noise about zero,
            # and a ratio of such says nothing; that of the whole does.
            yield whole_ratio(case, by_path, name, share, seed)
            continue
        naive, node = map(statistics.median, excess.values())
        label = '%s.added.%s.node_to_naive' % (case, name)
        yield figures.Figure(label, node / naive if naive else 0.0, 'ratio')


def whole_ratio(
    case: str,
    by_path: dict[str, list[Round]],
    name: str,
    share: float,
    seed: int,
) -> figures.Figure:
    """Return a percentile through a node over that through the relay."""
    ratios = [
        figures.percentile(node.latencies_ms, share)
        / figures.percentile(naive.latencies_ms, share)
        for node, naive in zip(by_path[NODE], by_path[NAIVE])
    ]
    label = '%s.%s.node_to_naive' % (case, name)
    return figures.bootstrap(label, 'ratio', ratios, seed=seed)


def processor(
    case: str, by_path: dict[str, list[Round]], seed: int
) -> typing.Iterator[figures.Figure]:
    """Yield processor time a request, without what a process uses idle."""
    times = {p: [r.cpu_us for r in by_path[p]] for p in (NAIVE, NODE)}
    for path, values in times.items():
        label = '%s.%s.cpu' % (case, path)
        yield figures.bootstrap(label, 'us/request', values, seed=seed)
    naive, node = map(statistics.median, times.values())
    label = '%s.cpu.node_to_naive' % case
    yield figures.Figure(label, node / naive if naive else 0.0, 'ratio')


async def measure(seed: int, quick: bool) -> list[figures.Figure]:
    """Run the experiment."""
    count = QUICK_ROUNDS if quick else ROUNDS
    seconds = QUICK_ROUND_S if quick else ROUND_S
    with tempfile.TemporaryDirectory(prefix='bench-') as folder:
        async with fleets.Fleet(pathlib.Path(folder), '') as fleet:
            bench = Bench(fleet, random.Random(seed))
            await bench.start()
            rounds = await bench.rounds(count, seconds)
            idle = bench.idle
            await bench.stage.stop()
    found = []
    for kind in WORK:
        for rate in RATES:
            by_path = {
                path: [r for r in rounds if r[:3] == (kind, rate, path)]
                for path in PATHS
            }
            case = 'latency.%s.%d' % (kind, rate)
            found.extend(case_figures(case, by_path, seed))
    found.extend(
        figures.Figure('latency.%s.idle' % path, share * 100, '% of a core')
        for path, share in idle.items()
    )
    return found


def run(seed: int, quick: bool) -> list:
    """Ask directly, through a relay and through a node."""
    return asyncio.run(measure(seed, quick))
