"""How the work of one node is shared out over places and upstreams."""

import itertools
import typing

from carawaystair import interfaces
from carawaystair.request import target as targets

# A node sends to so many upstreams of a service at most, in its region and
# again elsewhere.  With thousands of nodes before tens of thousands of
# upstreams, a node that subset them all would find no connection open, and an
# upstream would have one with every node.
SUBSET_SIZE = 10
# An upstream of this node's data centre gets so many times the work of one
# elsewhere in the region.
LOCAL_WEIGHT_FACTOR = 2.0
# Work leaves the region only when the region's usable shared_permits, times this
# factor, fall below its known ones; and then only the fraction that it lacks.
REGION_CAPACITY_FACTOR = 1.4
MIN_LOCAL_FRACTION = 0.01

Targets = typing.Sequence[targets.Target]


class Subset(typing.NamedTuple):
    """The upstreams in use, by place, and those in reserve.

    :param local: those of this region.
    :param remote: those of other regions, subset for what the region lacks.
    :param reserve: usable ones beyond the subset, best first.
    """

    local: Targets
    remote: Targets
    reserve: Targets


def split_by_region(usable: Targets, here: typing.Container[str]) -> Subset:
    """Split upstreams by place.

    :param usable: in the order of preference of this node.
    :param here: the data centres of this region.
    """
    local = [t for t in usable if t.upstream.data_centre in here]
    remote = [t for t in usable if t.upstream.data_centre not in here]
    return Subset(
        local[:SUBSET_SIZE],
        remote[:SUBSET_SIZE],
        (*local[SUBSET_SIZE:], *remote[SUBSET_SIZE:]),
    )


def local_fraction(
    known: typing.Iterable[interfaces.Upstream],
    usable: Targets,
    here: typing.Container[str],
) -> float:
    """Return the fraction of the work that stays in this region.

    :param known: all upstreams of the service.
    :param usable: those that may get work.
    """
    total = sum(u.slots for u in known if u.data_centre in here)
    left = sum(
        t.upstream.slots for t in usable if t.upstream.data_centre in here
    )
    return min(left * REGION_CAPACITY_FACTOR / total, 1.0) if total else 0.0


def weighted_candidates(
    subset: Subset, fraction: float, data_centre: str, now: float
) -> targets.Candidates:
    """Return candidates with their shares of the work.

    :param fraction: the fraction of the work that stays in the region.
    :param data_centre: that of this node.
    """
    local = [_weight(target, data_centre, now) for target in subset.local]
    remote = [_weight(target, data_centre, now) for target in subset.remote]
    if not subset.remote or (subset.local and fraction >= 1.0):
        return _accumulate(subset.local, local)
    # So that the shares of the remote ones sum up to what the region lacks.
    lacking = (1.0 - fraction) / max(fraction, MIN_LOCAL_FRACTION)
    factor = sum(local) * lacking / sum(remote) if local else 1.0
    remote = [share * factor for share in remote]
    return _accumulate((*subset.local, *subset.remote), (*local, *remote))


def _accumulate(
    subset: Targets, weights: typing.Iterable[float]
) -> targets.Candidates:
    return targets.Candidates(
        tuple(subset), tuple(itertools.accumulate(weights))
    )


def _weight(target: targets.Target, data_centre: str, now: float) -> float:
    upstream = target.upstream
    local = upstream.data_centre == data_centre
    factor = LOCAL_WEIGHT_FACTOR if local else 1.0
    return upstream.weight * factor * target.warmup_share(now)


def exclude_tried(
    candidates: targets.Candidates,
    reserve: Targets,
    tried: typing.Collection[str],
) -> targets.Candidates:
    """Return the candidates that have had no attempt yet.

    :param reserve: step in when all candidates have had one.
    :param tried: ids of those that have.
    """
    subset, sums = candidates
    weights = (b - a for a, b in itertools.pairwise((0.0, *sums)))
    kept = [
        (target, weight)
        for target, weight in zip(subset, weights, strict=True)
        if target.upstream.id not in tried
    ] or [
        (target, 1.0) for target in reserve if target.upstream.id not in tried
    ]
    return _accumulate(
        [target for target, _weight in kept],
        [weight for _target, weight in kept],
    )
