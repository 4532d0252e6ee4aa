"""How often healthy upstreams are ejected, by policy and kind of noise.

The model of ``detection_model`` in virtual time; nothing is wrong with any
upstream, whatever it looks like.
"""

import math

from bench import detection_faults as faults
from bench import detection_model as model
from bench import detection_runs as runs
from bench import exp_detection
from bench import figures

TITLE = 'Ejections and suspicions of healthy upstreams, by policy and noise'

POLICIES = (
    exp_detection.FAST,
    exp_detection.CONSERVATIVE,
    exp_detection.ROW,
)
SITES = (model.REYKJAVIK, model.AMMAN)
# Episodes of one noise at a time, and hours of all of them mixed.
COUNT = 6
EPISODES = 4
MIXED_RUNS = 18
MIXED_S = 600.0


def run(seed: int, quick: bool) -> list:
    """Run every noise for every policy."""
    policies = POLICIES[:1] if quick else POLICIES
    sites = SITES[:1] if quick else SITES
    names = ['burst'] if quick else [*faults.NOISE, 'path']
    wanted = [
        _plan(site, policy, fault, seed * 1000 + number)
        for site in sites
        for policy in policies
        for fault in names
        for number in range(_count(fault, quick))
    ]
    groups: dict[tuple, list[runs.Outcome]] = {}
    for outcome in runs.run_all(wanted):
        plan = outcome.run
        key = '%s.%s.%s' % (plan.site.name, plan.policy.name, plan.fault)
        groups.setdefault(key, []).append(outcome)
    found = [
        figure
        for name, outcomes in groups.items()
        for figure in _figures(name, outcomes)
    ]
    broken = sum(one.broken for many in groups.values() for one in many)
    return [
        *found,
        figures.Figure('ejections.invariants_broken', broken, 'times'),
    ]


def _count(fault: str, quick: bool) -> int:
    if quick:
        return 1
    return MIXED_RUNS if fault == 'mixed' else COUNT


def _plan(site, policy, fault, seed) -> runs.Run:
    if fault == 'mixed':
        return runs.Run(site, policy, fault, seed, 1, MIXED_S)
    return runs.Run(site, policy, fault, seed, EPISODES)


def _figures(name: str, outcomes: list[runs.Outcome]) -> list:
    episodes = [one for outcome in outcomes for one in outcome.episodes]
    hours = sum(outcome.hours for outcome in outcomes)
    ejected = sum(one.others + one.ejected for one in episodes)
    held = sum(one.held for one in episodes)
    return [
        rate('ejections.%s.ejected' % name, ejected, hours, len(episodes)),
        rate('ejections.%s.suspected' % name, held, hours, len(episodes)),
    ]


def rate(name: str, count: int, hours: float, samples: int) -> figures.Figure:
    """Return events an hour with the exact 95% interval of a Poisson count.

    (Garwood, 1936.)
    """
    low = _solve(lambda mean: 1.0 - _below(count - 1, mean)) if count else 0.0
    high = _solve(lambda mean: 1.0 - _below(count, mean), 0.975)
    return figures.Figure(
        name,
        count / hours,
        '1/h',
        low / hours,
        high / hours,
        samples,
        '%d in %.2f h' % (count, hours),
    )


def _below(count: int, mean: float) -> float:
    """Return the chance of at most ``count`` events."""
    return sum(
        math.exp(k * math.log(mean) - mean - math.lgamma(k + 1))
        for k in range(count + 1)
    )


def _solve(share, wanted: float = 0.025) -> float:
    """Return the mean at which a growing function reaches ``wanted``."""
    low, high = 1e-9, 1e5
    for _step in range(80):
        middle = math.sqrt(low * high)
        low, high = (middle, high) if share(middle) < wanted else (low, middle)
    return middle
