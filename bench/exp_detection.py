"""How long a gray upstream keeps getting work, by policy and fault.

In virtual time, with the model of ``detection_model``: 5 requests a second
for each upstream, from as many nodes as the sites have hosts.
"""

import statistics
import typing

from bench import detection_faults as faults
from bench import detection_model as model
from bench import detection_runs as runs
from bench import figures

TITLE = 'Time from a fault to the last new first attempt, by policy and fault'

FAST = model.Policy('fast', 'fast')
CONSERVATIVE = model.Policy('conservative')
ROW = model.Policy('consecutive', 'fast', 'consecutive')
NONE = model.Policy('none', 'fast', '')
SEQUENTIAL = model.Policy('fast-sequential', 'fast', 'sequential')
NO_COPIES = model.Policy('fast-no-copies', 'fast', 'siblings', False)

EPISODES = 6


class Plan(typing.NamedTuple):
    """How much of what is run.

    :param site: sizes.
    :param policy: what is compared.
    :param faults: names of faults.
    :param count: runs of six faults each.
    """

    site: model.Site
    policy: model.Policy
    faults: tuple[str, ...]
    count: int


GRAY = tuple(faults.GRAY)
PARTIAL = tuple(faults.PARTIAL)
PLANS = (
    Plan(model.REYKJAVIK, FAST, GRAY, 30),
    Plan(model.REYKJAVIK, CONSERVATIVE, GRAY, 12),
    Plan(model.REYKJAVIK, ROW, GRAY, 8),
    Plan(model.REYKJAVIK, NONE, ('hang',), 2),
    Plan(model.REYKJAVIK, SEQUENTIAL, GRAY, 8),
    Plan(model.REYKJAVIK, NO_COPIES, GRAY, 8),
    Plan(model.REYKJAVIK, FAST, PARTIAL, 5),
    Plan(model.REYKJAVIK, CONSERVATIVE, PARTIAL, 5),
    Plan(model.REYKJAVIK, ROW, PARTIAL, 5),
    Plan(model.SETTLEMENT, FAST, ('hang',), 8),
    Plan(model.AMMAN, FAST, GRAY, 12),
    Plan(model.AMMAN, CONSERVATIVE, GRAY, 5),
    Plan(model.AMMAN, ROW, GRAY, 5),
    Plan(model.BUSY, FAST, ('hang', 'slow'), 4),
)
QUICK = (
    Plan(model.REYKJAVIK, FAST, ('hang',), 1),
    Plan(model.REYKJAVIK, ROW, ('hang',), 1),
)


def run(seed: int, quick: bool) -> list:
    """Run all plans and compare them."""
    plans = QUICK if quick else PLANS
    wanted = [
        runs.Run(plan.site, plan.policy, fault, seed * 1000 + number, EPISODES)
        for plan in plans
        for fault in plan.faults
        for number in range(plan.count)
    ]
    groups: dict[tuple, list[runs.Outcome]] = {}
    for outcome in runs.run_all(wanted):
        key = (outcome.run.site, outcome.run.policy, outcome.run.fault)
        groups.setdefault(key, []).append(outcome)
    found = []
    medians = {}
    for (site, policy, fault), outcomes in groups.items():
        name = '%s.%s.%s' % (site.name, policy.name, fault)
        found.extend(_figures(name, outcomes, seed))
        medians[site, policy, fault] = found[-4].value
    found.extend(_ratios(medians))
    broken = sum(one.broken for many in groups.values() for one in many)
    count = sum(len(many) for many in groups.values())
    found.append(
        figures.Figure(
            'detection.invariants_broken', broken, 'times', samples=count
        )
    )
    return found


def _figures(name, outcomes, seed) -> list[figures.Figure]:
    episodes = [one for outcome in outcomes for one in outcome.episodes]
    times = [one.detection_s for one in episodes]
    firsts = [one.first_s for one in episodes]
    fair = sum(one.fair for one in episodes)
    after = sum(one.after for one in episodes) / max(fair, 1e-9)
    note = 'share of its usual work from 3 s on'
    return [
        figures.bootstrap(
            'detection.%s.median' % name,
            's',
            times,
            statistics.median,
            seed,
        ),
        figures.bootstrap('detection.%s.p99' % name, 's', times, _p99, seed),
        figures.Figure(
            'detection.%s.first.p99' % name,
            _p99(firsts),
            's',
            samples=len(firsts),
            note='first attempt after the start: the least possible',
        ),
        figures.Figure(
            'detection.%s.after' % name,
            after,
            'ratio',
            samples=len(episodes),
            note=note,
        ),
    ]


def _p99(samples: typing.Sequence[float]) -> float:
    return figures.percentile(samples, 0.99)


def _ratios(medians: dict) -> list[figures.Figure]:
    """Compare medians with those of consecutive failures."""
    return [
        figures.Figure(
            'detection.%s.%s.%s.speedup' % (site.name, policy.name, fault),
            medians[site, ROW, fault] / max(median, 1e-3),
            'ratio',
            note='median of consecutive failures over this one',
        )
        for (site, policy, fault), median in medians.items()
        if policy != ROW and (site, ROW, fault) in medians
    ]
