"""How the work of one node is shared out over places and upstreams."""

import itertools
import typing

from carawaystair import interfaces
from carawaystair.request import target as targets

# A node sends to so many upstreams of a service at most, in its region and
# again elsewhere.  With thousands of nodes before tens of thousands of
# upstreams, a node that used them all would find no connection open, and an
# upstream would have one with every node.
SUBSET = 10
# An upstream of this node's data centre gets so many times the work of one
# elsewhere in the region.
NEAR_FACTOR = 2.0
# Work leaves the region only when the region's usable slots, times this
# factor, fall below its known ones; and then only the part that it lacks.
SPARE = 1.4
LEAST_PART = 0.01

Targets = typing.Sequence[targets.Target]


class Used(typing.NamedTuple):
    """The upstreams in use, by place, and those in reserve.

    :param near: those of this region.
    :param far: those of other regions, used for what the region lacks.
    :param others: usable ones beyond the subset, best first.
    """

    near: Targets
    far: Targets
    others: Targets


def split(usable: Targets, here: typing.Container[str]) -> Used:
    """Split upstreams by place.

    :param usable: in the order of preference of this node.
    :param here: the data centres of this region.
    """
    near = [t for t in usable if t.upstream.data_centre in here]
    far = [t for t in usable if t.upstream.data_centre not in here]
    return Used(near[:SUBSET], far[:SUBSET], (*near[SUBSET:], *far[SUBSET:]))


def near_part(
    known: typing.Iterable[interfaces.Upstream],
    usable: Targets,
    here: typing.Container[str],
) -> float:
    """Return the part of the work that stays in this region.

    :param known: all upstreams of the service.
    :param usable: those that may get work.
    """
    total = sum(u.slots for u in known if u.data_centre in here)
    left = sum(
        t.upstream.slots for t in usable if t.upstream.data_centre in here
    )
    return min(left * SPARE / total, 1.0) if total else 0.0


def candidates(
    used: Used, part: float, data_centre: str, now: float
) -> targets.Candidates:
    """Return candidates with their shares of the work.

    :param part: the part of the work that stays in the region.
    :param data_centre: that of this node.
    """
    near = [_share(target, data_centre, now) for target in used.near]
    far = [_share(target, data_centre, now) for target in used.far]
    if not used.far or (used.near and part >= 1.0):
        return _made(used.near, near)
    # So that the shares of the far ones sum up to what the region lacks.
    lacking = (1.0 - part) / max(part, LEAST_PART)
    factor = sum(near) * lacking / sum(far) if near else 1.0
    far = [share * factor for share in far]
    return _made((*used.near, *used.far), (*near, *far))


def _made(
    used: Targets, weights: typing.Iterable[float]
) -> targets.Candidates:
    return targets.Candidates(
        tuple(used), tuple(itertools.accumulate(weights))
    )


def _share(target: targets.Target, data_centre: str, now: float) -> float:
    upstream = target.upstream
    near = upstream.data_centre == data_centre
    factor = NEAR_FACTOR if near else 1.0
    return upstream.weight * factor * target.warmup_share(now)


def without(
    candidates: targets.Candidates,
    others: Targets,
    tried: typing.Collection[str],
) -> targets.Candidates:
    """Return the candidates that have had no attempt yet.

    :param others: step in when all candidates have had one.
    :param tried: ids of those that have.
    """
    used, sums = candidates
    weights = (b - a for a, b in itertools.pairwise((0.0, *sums)))
    kept = [
        (target, weight)
        for target, weight in zip(used, weights, strict=True)
        if target.upstream.id not in tried
    ] or [
        (target, 1.0) for target in others if target.upstream.id not in tried
    ]
    return _made(
        [target for target, _weight in kept],
        [weight for _target, weight in kept],
    )
