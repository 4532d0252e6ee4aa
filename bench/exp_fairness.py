"""Fairness between customers and between short and long requests.

Virtual time: the figures are those of the decisions, not of a machine, but
for the cost of the fast path.
"""

import asyncio
import functools
import itertools
import statistics
import time
import tracemalloc
import typing

import expression

from bench import admission_model as model
from bench import figures
from carawaystair.admission import controller
from carawaystair.admission import gate
from carawaystair import clock
from carawaystair import interfaces

TITLE = 'Fairness of admission between customers and kinds of request'

SLOTS = 5
SHORT = model.Kind(0.05)
BULK = model.Kind(4.0, 120.0, True)


# Short requests and long transfers


class PlainGate(gate.Gate):
    """Plain fair queueing: kinds are not told apart."""

    def _kind_may_start(self, bulk: bool) -> bool:
        return True


class HalfGate(gate.Gate):
    """A fixed reserve: long transfers hold at most half of the slots."""

    def _kind_may_start(self, bulk: bool) -> bool:
        return not bulk or self.running_bulk < max(1, self.whole_slots // 2)


class QuickswapGate(gate.Gate):
    """The trigger of adaptive quickswap, for kinds instead of sizes.

    When a kind waits and none of it runs, no other may start until one of
    it has (Chen et al., "Improving nonpreemptive multiserver job scheduling
    with quickswap", 2025, section 4.4).
    """

    def _kind_may_start(self, bulk: bool) -> bool:
        short = self.running - self.running_bulk
        size_bulk = self.queue.size - self.queue.short_size
        starved = [
            kind
            for kind, waiting, running in (
                (False, self.queue.short_size, short),
                (True, size_bulk, self.running_bulk),
            )
            if waiting and not running
        ]
        return not starved or bulk in starved


class PhaseGate(gate.Gate):
    """Static quickswap: kinds take turns (section 4.3 there).

    The turn passes when none of the kind waits and no more than half of the
    slots still run it.
    """

    phase = False

    def _kind_may_start(self, bulk: bool) -> bool:
        short = self.running - self.running_bulk
        size_bulk = self.queue.size - self.queue.short_size
        waiting = size_bulk if self.phase else self.queue.short_size
        running = self.running_bulk if self.phase else short
        if not waiting and running <= self.limit / 2:
            self.phase = bulk
        return bulk is self.phase


KIND_POLICIES = {
    'plain': PlainGate,
    'half': HalfGate,
    'measured': gate.Gate,
    'quickswap': QuickswapGate,
    'phases': PhaseGate,
}


def with_gate(kind: type, fleet: model.Fleet, number: int):
    """Make an admission part whose gates are of another class."""
    part = model.admission(fleet, number)

    class _Part(controller.Admission):
        gate_class = kind

    part.__class__ = _Part
    return part


def kinds(seed: int, quick: bool) -> typing.Iterator[figures.Figure]:
    """Yield what short requests feel and long transfers get."""
    rounds = 1 if quick else 5
    end = 35.0 if quick else 185.0
    plan = model.Plan(announced=SLOTS, end_s=end)
    loads = [(0.3, 1.2)] if quick else [(0.3, 0.4), (0.3, 1.2), (0.6, 1.0)]
    for (short, bulk), (name, kind) in itertools.product(
        loads, KIND_POLICIES.items()
    ):
        streams = (
            model.Stream('small', 0, short * SLOTS / SHORT.mean_s, SHORT),
            model.Stream('dominant', 0, bulk * SLOTS / BULK.mean_s, BULK),
        )
        make = functools.partial(with_gate, kind)
        runs = [
            model.play(plan, streams, seed + number, make)
            for number in range(rounds)
        ]
        key = 'kinds.short%d.bulk%d.%s' % (short * 100, bulk * 100, name)
        yield figures.bootstrap(
            key + '.short_p99',
            'ms',
            [
                figures.percentile(model.latencies(run, 'small'), 0.99) * 1e3
                for run in runs
            ],
            statistics.mean,
        )
        yield figures.bootstrap(
            key + '.bulk_slots',
            'slots',
            [_held(run, plan) for run in runs],
            statistics.mean,
        )


def _held(samples: typing.Sequence[model.Sample], plan: model.Plan) -> float:
    """Return the slots that good long transfers held in the mean."""
    held = sum(
        min(sample.begun + sample.latency_s, plan.end_s)
        - max(sample.begun + sample.latency_s - sample.held_s, plan.warm_s)
        for sample in samples
        if sample.kind.bulk
        and sample.outcome == model.GOOD
        and sample.begun + sample.latency_s - sample.held_s < plan.end_s
    )
    return held / (plan.end_s - plan.warm_s)


# The cost of the fast path


def fast_path(quick: bool) -> typing.Iterator[figures.Figure]:
    """Yield the cost of a slot that is free, beside that of one Ok."""
    count = 2_000 if quick else 50_000
    rounds = 3 if quick else 9

    async def _main() -> list[tuple[float, float]]:
        fleet = model.Fleet(model.Plan(), 1)
        return [_time(fleet.nodes[0], count) for _round in range(rounds)]

    pairs = asyncio.run(_main())
    mine = [pair[0] for pair in pairs]
    yield figures.bootstrap('fast_path.admit_and_release', 'us', mine)
    ratios = [pair[0] / pair[1] for pair in pairs]
    yield figures.bootstrap('fast_path.against_one_ok', 'ratio', ratios)


def _time(part: controller.Admission, count: int) -> tuple[float, float]:
    """Return microseconds for one permit and for one Ok."""
    begin = time.perf_counter()
    for _number in range(count):
        permit = part.try_admit(model.SERVICE, 'small', 1e12, False)
        permit.release(interfaces.GOOD, 0.01)
    middle = time.perf_counter()
    for _number in range(count):
        expression.Ok(None)
    end = time.perf_counter()
    return (middle - begin) / count * 1e6, (end - middle) / count * 1e6


def memory(quick: bool) -> typing.Iterator[figures.Slope]:
    """Yield the bytes that one waiting request costs."""
    sizes = (50, 100) if quick else (100, 200, 400, 800)
    points = [(size, _queue_bytes(size)) for size in (10, *sizes)]
    yield figures.fit('queue.bytes_by_entry', 'bytes/entry', points)


def _queue_bytes(size: int) -> int:
    """Return the bytes that a queue of ``size`` requests takes."""

    async def _main() -> int:
        plan = model.Plan(announced=1, queue=10_000)
        part = model.Fleet(plan, 1).nodes[0]
        permit = part.try_admit(model.SERVICE, 'small', 1e12, False)
        tracemalloc.start()
        tasks = [
            asyncio.create_task(
                part.admit(model.SERVICE, 'small', clock.now() + 60, False)
            )
            for _number in range(size)
        ]
        await asyncio.sleep(0)
        taken, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        permit.release(interfaces.CANCELLED, 0.0)
        return taken

    return asyncio.run(_main())


def run(seed: int, quick: bool) -> list:
    """Run the experiment, see ``figures.Experiment``."""
    return [*fast_path(quick), *memory(quick), *kinds(seed, quick)]
