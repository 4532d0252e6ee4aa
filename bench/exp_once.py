"""Work that may run once, while a third of the upstreams is gray."""

import itertools
import statistics
import typing

from bench import figures
from bench import gateway_model as model
from carawaystair import experiments

TITLE = 'Work that may run once in services of 6 to 138 upstreams, some gray'

# Upstreams, nodes, and factor on the rates of each upstream.
SIZES = {
    'small': (6, 29, 1.35),
    'middle': (35, 60, 1.0),
    'large': (138, 230, 1.0),
}
POLICIES = (
    model.Policy('before', ('leave-trials',)),
    model.Policy('now'),
)
# Requests a second of each upstream.
ORDERS_PER_S = 1.37
READS_PER_S = 0.56
LOADS = (1.0, 2.0)
# What comes before is not counted: nothing is known yet, seconds.
FIRST_S = 5.0
# Of the sound upstreams of a service a share must get work in this time,
# seconds; those that have been sound for as long count.
FLOOR_S = 2.0
STEP_S = 0.5


def plan(size: str, load: float, works: bool, quick: bool) -> model.Plan:
    """Return what is played.

    :param works: whether gray upstreams fail only when they have worked.
    """
    upstreams, nodes, rate = SIZES[size]
    rate *= upstreams * load
    order = model.Kind('order', ORDERS_PER_S * rate, 0.79, False, 4.0, 20.0, 1)
    read = model.Kind('read', READS_PER_S * rate, 0.2, True, 0.8, 2.0, 1)
    return model.Plan(
        (order, read),
        upstreams,
        slots=9,
        nodes=nodes,
        gray_share=0.3,
        window_s=9.0,
        end_s=15.0 if quick or size == 'large' else 35.0,
        gray_fails=0.9,
        errors=0.012,
        centres=6,
        gray_works=works,
    )


def with_work(play: model.Play) -> float:
    """Return the share of sound upstreams that get work in two seconds."""
    shares = []
    now = FIRST_S
    while now + FLOOR_S <= play.plan.end_s:
        begun = {n for when, n in play.begun if now <= when < now + FLOOR_S}
        sound = [
            one.name for one in play.upstreams.values() if _calm(one, now)
        ]
        if sound:
            shares.append(sum(n in begun for n in sound) / len(sound))
        now += STEP_S
    return statistics.mean(shares)


def _calm(upstream: model.Upstream, now: float) -> bool:
    """Tell whether an upstream is sound from before a window to its end."""
    first, last = now - FLOOR_S, now + FLOOR_S
    turned = any(first < turn <= last for turn in upstream.turns)
    return not turned and not upstream.gray(last)


def measures(
    policy: model.Policy, played: model.Plan, seed: int
) -> dict[str, float]:
    """Return what one play comes to."""
    with experiments.installed(policy.off):
        play = model.Play(played, seed)
        outcomes = play.run(model.arrivals(played, seed))
    counted = [o for o in outcomes if o.request.at > FIRST_S]
    orders = [o for o in counted if not o.request.kind.repeatable]
    reads = [o for o in counted if o.request.kind.repeatable]
    return {
        'orders.lost': 1.0 - model.served(orders),
        'reads.lost': 1.0 - model.served(reads),
        'reads.repeated': model.repeated(reads),
        'with_work': with_work(play),
    }


def cases(quick: bool) -> typing.Iterator[tuple[str, model.Plan]]:
    """Yield what is played, by name."""
    sizes = ['small', 'middle'] if quick else list(SIZES)
    for size, load, works in itertools.product(sizes, LOADS, (False, True)):
        if load > 1.0 and (quick or size == 'large'):
            # A play takes half a minute.
            continue
        how = 'after_work' if works else 'at_once'
        name = '%s.load%g.%s' % (size, load, how)
        yield name, plan(size, load, works, quick)


def run(seed: int, quick: bool) -> list:
    """Run the experiment, see ``figures.Experiment``."""
    found = []
    for name, played in cases(quick):
        count = 2 if quick or played.upstreams > 100 else 6
        for policy in POLICIES:
            plays = [
                measures(policy, played, one)
                for one in range(seed, seed + count)
            ]
            for what in plays[0]:
                found.append(
                    figures.bootstrap(
                        '%s.%s.%s' % (name, policy.name, what),
                        'share',
                        [play[what] for play in plays],
                        statistics.mean,
                    )
                )
    return found
