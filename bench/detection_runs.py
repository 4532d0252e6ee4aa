"""Runs of the model: what one policy makes of one fault."""

import asyncio
import concurrent.futures
import typing

from bench import detection_faults as faults
from bench import detection_model as model
from carawaystair import invariants
from test import fakes

# Before the first fault, so that bounds and shares are known.
WARM_S = 40.0
FAULT_S = 15.0
# Time between faults: until nothing is ejected any more, within these.
REST_S = 15.0
MOST_REST_S = 90.0
# Work that arrives later than this after the start counts as "after".
AFTER_S = 3.0
WORKERS = 3


class Run(typing.NamedTuple):
    """One run: several episodes of one fault.

    :param site: sizes.
    :param policy: what is compared.
    :param fault: name of the fault.
    :param seed: of all randomness.
    :param episodes: faults in a row, each of another upstream.
    :param fault_s: length of each, seconds.
    """

    site: model.Site
    policy: model.Policy
    fault: str
    seed: int
    episodes: int
    fault_s: float = FAULT_S


class Episode(typing.NamedTuple):
    """What came of one fault.

    :param detection_s: from its start to the last first attempt that was
        sent to the upstream during it; its whole length at most.
    :param first_s: from its start to the first attempt of any kind: no
        policy can react before.
    :param sent: first attempts of those concerned, sent to the upstream.
    :param after: those later than three seconds after the start.
    :param fair: what an equal share of such work would have been, after.
    :param copies: copies sent to it.
    :param ejected: whether it was ejected.
    :param others: ejections of other upstreams during the fault and the
        rest after it.
    :param held: suspicions of other upstreams.
    """

    detection_s: float
    first_s: float
    sent: int
    after: int
    fair: float
    copies: int
    ejected: bool
    others: int
    held: int


class Outcome(typing.NamedTuple):
    """What came of one run.

    :param run: the run.
    :param episodes: its faults.
    :param hours: virtual time, hours.
    :param broken: broken invariants.
    :param messages: datagrams and messages between nodes.
    :param bytes: their bytes.
    :param late: first attempts that got no good answer in time.
    """

    run: Run
    episodes: tuple[Episode, ...]
    hours: float
    broken: int
    messages: int
    bytes: int
    late: int


def run(plan: Run) -> Outcome:
    """Do one run in virtual time."""
    invariants.BROKEN.clear()
    return fakes.run(_run(plan))


def run_all(plans: typing.Sequence[Run]) -> list[Outcome]:
    """Do runs on a few processors."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run, plans))


async def _run(plan: Run) -> Outcome:
    world = model.World(plan.site, plan.policy, plan.seed)
    await world.start()
    await asyncio.sleep(WARM_S + world.rng.random())
    found = [await _episode(world, plan) for _one in range(plan.episodes)]
    now = asyncio.get_running_loop().time()
    await world.stop()
    late = sum(taken >= model.TIMEOUT_S - 0.001 for taken in world.latencies)
    return Outcome(
        plan,
        tuple(found),
        now / 3600.0,
        sum(invariants.BROKEN.values()),
        world.network.carried,
        world.network.carried_bytes,
        late,
    )


async def _episode(world: model.World, plan: Run) -> Episode:
    loop = asyncio.get_running_loop()
    server = world.rng.choice(world.servers)
    start, mark = loop.time(), len(world.sent)
    before = len(world.events())
    end = loop.create_future()
    every = faults.GRAY | faults.PARTIAL | faults.NOISE
    task = asyncio.ensure_future(every[plan.fault](world, server, end))
    await asyncio.sleep(plan.fault_s)
    stop = loop.time()
    end.set_result(None)
    await task
    await _rest(world)
    concerned = [
        one
        for one in world.sent[mark:]
        if one.time <= stop and _concerned(plan, server, one)
    ]
    mine = [one for one in concerned if one.server == server.number]
    first = [one.time - start for one in mine if one.first]
    later = [one for one in concerned if one.first]
    later = [one for one in later if one.time - start > AFTER_S]
    events = world.events()[before:]
    ejected = [e for e in events if e.kind == 'upstream-ejected']
    held = [e for e in events if e.kind == 'upstream-suspected']
    return Episode(
        max(first, default=0.0),
        min((one.time - start for one in mine), default=plan.fault_s),
        len(first),
        sum(taken > AFTER_S for taken in first),
        len(later) / len(world.servers),
        len(mine) - len(first),
        any(event.upstream == server.name for event in ejected),
        sum(event.upstream != server.name for event in ejected),
        sum(event.upstream != server.name for event in held),
    )


async def _rest(world: model.World) -> None:
    """Wait until the fleet has recovered."""
    loop = asyncio.get_running_loop()
    until = loop.time() + MOST_REST_S
    await asyncio.sleep(REST_S + world.rng.random())
    while loop.time() < until and world.ejected():
        await asyncio.sleep(1.0)
    await asyncio.sleep(REST_S)


def _concerned(plan: Run, server: model.Server, one: model.Sent) -> bool:
    """Tell whether a fault concerns an attempt of this kind."""
    if plan.fault == 'customer':
        return one.customer == model.CUSTOMERS[0]
    if plan.fault == 'path':
        return one.node == server.number
    if plan.fault == 'data-centre':
        size = plan.site.data_centres
        return one.node % size == server.number % size
    return True
