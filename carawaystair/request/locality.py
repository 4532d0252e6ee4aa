"""Distribution of a node's requests over upstreams, by locality."""

import itertools
import typing

from carawaystair import interfaces
from carawaystair.request import target as targets

# A node uses at most this many upstreams of a service in its region, and as
# many elsewhere.  With thousands of nodes and tens of thousands of upstreams,
# a node that used them all would rarely find an open connection, and each
# upstream would have a connection to every node.
SUBSET_SIZE = 10
# Weight of upstreams in this node's data centre, relative to the others in the
# region.
LOCAL_WEIGHT_FACTOR = 2.0
# Requests leave the region only when its usable slots, times this factor, are
# fewer than its known slots; and then only the fraction that is lacking.
REGION_CAPACITY_FACTOR = 1.4
# Bounds the weights of remote upstreams when the region has almost no slots.
MIN_LOCAL_FRACTION = 0.01

Targets = typing.Sequence[targets.Target]


class Subset(typing.NamedTuple):
    """The upstreams that this node uses, and its reserve.

    :param local: those of this region.
    :param remote: those of other regions, used when the region lacks slots.
    :param reserve: the other usable upstreams, in the order of preference.
    """

    local: Targets
    remote: Targets
    reserve: Targets


def split_by_region(usable: Targets, region: typing.Container[str]) -> Subset:
    """Select the upstreams that this node uses.

    :param usable: usable upstreams in this node's order of preference.
    :param region: the data centres of this region.
    """
    local = [t for t in usable if t.upstream.data_centre in region]
    remote = [t for t in usable if t.upstream.data_centre not in region]
    return Subset(
        local[:SUBSET_SIZE],
        remote[:SUBSET_SIZE],
        (*local[SUBSET_SIZE:], *remote[SUBSET_SIZE:]),
    )


def local_fraction(
    known: typing.Iterable[interfaces.Upstream],
    usable: Targets,
    region: typing.Container[str],
) -> float:
    """Return the fraction of the requests that stays in this region.

    :param known: all upstreams of the service.
    :param usable: those that may get requests.
    :param region: the data centres of this region.
    """
    total = sum(u.slots for u in known if u.data_centre in region)
    left = sum(
        t.upstream.slots for t in usable if t.upstream.data_centre in region
    )
    return min(left * REGION_CAPACITY_FACTOR / total, 1.0) if total else 0.0


def weighted_candidates(
    subset: Subset, fraction: float, data_centre: str, now: float
) -> targets.Candidates:
    """Return candidates with their shares of the requests.

    :param fraction: the fraction of the requests that stays in the region.
    :param data_centre: the data centre of this node.
    """
    local = [
        _target_weight(target, data_centre, now) for target in subset.local
    ]
    remote = [
        _target_weight(target, data_centre, now) for target in subset.remote
    ]
    if not subset.remote or (subset.local and fraction >= 1.0):
        return _accumulate(subset.local, local)
    # The shares of the remote ones add up to the fraction that is lacking.
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


def _target_weight(
    target: targets.Target, data_centre: str, now: float
) -> float:
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

    :param reserve: used when all candidates have had one.
    :param tried: ids of the upstreams that have had one.
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
