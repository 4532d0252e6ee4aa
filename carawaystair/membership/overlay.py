"""Overlay network: the neighbours to which each process forwards records.

The hosts of a data centre form a hash ring.  Each host has links to the hosts
at distances 1, 2, 4, 12, 36, ... after it (the fingers of Chord, Stoica et
al., 2001), which makes about log3(n) outgoing and as many incoming links.

The data centres form a second ring with the same distances.  From each data
centre to each of its successors a few hosts have a link.  They are chosen by
rendezvous hashing (Thaler and Ravishankar, 1998), so that a host that joins or
leaves moves few links.  A record is therefore sent between two data centres
only a few times, independent of their size.  Every process computes its links
from its own list of members.
"""

import bisect
import functools
import itertools
import typing

import xxhash

# The first distances, which give small fleets redundant links, and the ratio
# between the distances that follow.
FIRST_DISTANCES = (1, 2, 4)
DISTANCE_RATIO = 3
# Links from one data centre to another.  Records still get through while all
# but one of them have failed and the failures are not detected yet.
LINKS_BETWEEN_CENTRES = 3
# Cached hashes: four per host at the maximum fleet size of the design.
MAX_CACHED_HASHES = 10_000


@functools.lru_cache(MAX_CACHED_HASHES)
def ring_position(name: str) -> int:
    """Return the position of a host or data centre on its ring."""
    return xxhash.xxh3_64_intdigest(name.encode())


def neighbours(
    host: str, centres: typing.Mapping[str, str], ratio: int = DISTANCE_RATIO
) -> tuple[str, ...]:
    """Return the hosts to which ``host`` forwards records.

    :param host: the own host.
    :param centres: data centres by host, for all hosts believed alive; must
        include the own host.
    :param ratio: ratio between successive distances.
    """
    by_centre: dict[str, list[str]] = {}
    for name, centre in centres.items():
        by_centre.setdefault(centre, []).append(name)
    own = centres[host]
    near = _successors(host, by_centre[own], ratio)
    far = itertools.chain.from_iterable(
        _links_to_centre(host, by_centre[own], own, by_centre[centre], centre)
        for centre in _successors(own, by_centre, ratio)
    )
    return tuple(dict.fromkeys((*near, *far)))


def _successors(
    name: str, names: typing.Iterable[str], ratio: int
) -> tuple[str, ...]:
    """Return the names at the link distances after ``name`` on the ring."""
    ring = sorted(
        (ring_position(other), other) for other in names if other != name
    )
    start = bisect.bisect(ring, (ring_position(name), name))
    distances = _distances(len(ring), ratio)
    indexes = ((start + distance - 1) % len(ring) for distance in distances)
    return tuple(dict.fromkeys(ring[index][1] for index in indexes))


def _links_to_centre(
    host: str,
    near: typing.Iterable[str],
    own: str,
    far: typing.Iterable[str],
    centre: str,
) -> tuple[str, ...]:
    """Return the hosts in another data centre to which ``host`` has links."""
    sources = _link_hosts(near, centre)
    targets = _link_hosts(far, own)
    return tuple(
        targets[link % len(targets)]
        for link in range(LINKS_BETWEEN_CENTRES)
        if sources[link % len(sources)] == host
    )


def _link_hosts(hosts: typing.Iterable[str], centre: str) -> list[str]:
    """Return the hosts that hold the links with a data centre, in order."""
    return sorted(hosts, key=lambda name: _rendezvous_hash(name, centre))[
        :LINKS_BETWEEN_CENTRES
    ]


@functools.lru_cache(MAX_CACHED_HASHES)
def _rendezvous_hash(host: str, centre: str) -> int:
    return xxhash.xxh3_64_intdigest(('%s\0%s' % (host, centre)).encode())


def _distances(size: int, ratio: int) -> typing.Iterator[int]:
    later = (
        FIRST_DISTANCES[-1] * ratio**power for power in itertools.count(1)
    )
    distances = itertools.chain(FIRST_DISTANCES, later)
    return itertools.takewhile(lambda distance: distance <= size, distances)
