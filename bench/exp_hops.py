"""What two hops add to a request, beside one.

Two fleets stand side by side, with the same upstreams: in one, nodes send to
upstreams themselves; in the other, through the gateway beside each.  Callers
ask upstreams directly and a node of each fleet, in short rounds by turns.
"""

import asyncio
import contextlib
import pathlib
import random
import statistics
import tempfile
import typing

from bench import exp_latency as latency
from bench import figures
from standin import fleet as fleets
from standin import load
from standin import stage as stages

TITLE = 'Latency that gateways add, beside nodes that send by themselves'

RATE = latency.RATES[0]
ROUNDS = 5
ROUND_S = 6.0
QUICK_ROUNDS = 2
QUICK_ROUND_S = 1.5
DIRECT, ONE, TWO = 'direct', 'one_hop', 'two_hops'
PATHS = (DIRECT, ONE, TWO)
FIELDS = {'service_ms': latency.SERVICE_MS, 'spread': 0.0, 'grace_s': 0.0}


async def started(stack, folder: pathlib.Path, gateways: bool):
    """Start a fleet that serves; return it."""
    folder.mkdir()
    fleet = fleets.Fleet(folder, '', gateways=gateways)
    await stack.enter_async_context(fleet)
    crew = stages.Crew('portal', latency.UPSTREAMS, FIELDS)
    stage = stages.Stage(fleet, (crew,))
    await stage.start()
    stack.push_async_callback(stage.stop)
    return fleet


async def asked(
    targets: tuple[str, ...], seconds: float, rng: random.Random
) -> tuple[float, ...]:
    """Send requests; return the latencies of whole answers, ms."""
    plan = load.Plan(
        targets,
        RATE,
        seconds,
        (latency.WORK['get'],),
        seed=rng.randrange(2**32),
        name='%x' % rng.randrange(2**48),
    )
    answers = await load.Load(plan).run()
    return tuple(
        answer.latency_s * 1000
        for answer in answers
        if answer.verdict == load.WHOLE
    )


async def measure(seed: int, quick: bool) -> list[figures.Figure]:
    """Run the experiment."""
    rng = random.Random(seed)
    count = QUICK_ROUNDS if quick else ROUNDS
    seconds = QUICK_ROUND_S if quick else ROUND_S
    medians: dict[str, list[float]] = {path: [] for path in PATHS}
    with tempfile.TemporaryDirectory(prefix='hops-') as temporary:
        async with contextlib.AsyncExitStack() as stack:
            folder = pathlib.Path(temporary)
            alone = await started(stack, folder / 'alone', False)
            behind = await started(stack, folder / 'behind', True)
            upstreams = tuple(o.address for o in alone.upstreams.values())
            targets = {
                DIRECT: upstreams,
                ONE: (alone.hosts['node-1'].listen,),
                TWO: (behind.hosts['node-1'].listen,),
            }
            for path in PATHS:
                await asked(targets[path], latency.WARM_S, rng)
            for _round in range(count):
                for path in rng.sample(PATHS, len(PATHS)):
                    found = await asked(targets[path], seconds, rng)
                    medians[path].append(statistics.median(found))
    return list(_figures(medians, seed))


def _figures(
    medians: dict[str, list[float]], seed: int
) -> typing.Iterator[figures.Figure]:
    """Yield the medians of all paths, and what hops add to the direct one."""
    for path, values in medians.items():
        label = 'hops.%s.p50' % path
        yield figures.bootstrap(label, 'ms', values, seed=seed)
    added = {
        path: [
            mine - direct
            for mine, direct in zip(medians[path], medians[DIRECT])
        ]
        for path in (ONE, TWO)
    }
    for path, values in added.items():
        label = 'hops.%s.added.p50' % path
        yield figures.bootstrap(label, 'ms', values, seed=seed)
    ratio = statistics.median(added[TWO]) / statistics.median(added[ONE])
    yield figures.Figure('hops.added.two_to_one', ratio, 'ratio')


def run(seed: int, quick: bool) -> list:
    """Ask directly, by one hop and by two."""
    return asyncio.run(measure(seed, quick))
