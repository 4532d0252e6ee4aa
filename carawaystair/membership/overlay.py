"""The overlay: whom each process passes records on to.

The hosts of a data centre stand on a ring in the order of their hashes.  Each
feeds those at 1, 2, 4, 12, 36, ... places after it (the fingers of Chord,
Stoica et al., 2001), so it has about log3(n) links out and as many in.

Data centres stand on a ring of their own with the same fingers.  From each to
each of its successors there, a few hosts have a link, chosen by rendezvous
hashing (Thaler and Ravishankar, 1998) so that a host that comes or goes moves
few links.  So a record crosses between two data centres a few times, however
many hosts they have.  Every process works its links out alone from the
members it knows.
"""

import bisect
import functools
import itertools
import typing

import xxhash

# The first distances, so that small fleets have links to spare, and the ratio
# between those that follow.
FIRST = (1, 2, 4)
BASE = 3
# Links from one data centre to another one; the loss of all but one is borne
# until it is noticed.
LINKS_BETWEEN_CENTRES = 3
# Hashes that are remembered, four for each host of the size designed for.
MOST_HASHES = 10_000


@functools.lru_cache(MOST_HASHES)
def place(name: str) -> int:
    """Return the place of a host or data centre on its ring."""
    return xxhash.xxh3_64_intdigest(name.encode())


def neighbours(
    host: str, centres: typing.Mapping[str, str], base: int = BASE
) -> tuple[str, ...]:
    """Return the hosts that ``host`` feeds.

    :param host: the own host.
    :param centres: the data centres of the hosts believed alive, by host; its
        own must be among them.
    :param base: ratio between the distances.
    """
    by_centre: dict[str, list[str]] = {}
    for name, centre in centres.items():
        by_centre.setdefault(centre, []).append(name)
    own = centres[host]
    near = _after(host, by_centre[own], base)
    far = itertools.chain.from_iterable(
        _links(host, by_centre[own], own, by_centre[centre], centre)
        for centre in _after(own, by_centre, base)
    )
    return tuple(dict.fromkeys((*near, *far)))


def _after(
    name: str, names: typing.Iterable[str], base: int
) -> tuple[str, ...]:
    """Return those at the distances after a name on the ring of all."""
    ring = sorted((place(other), other) for other in names if other != name)
    start = bisect.bisect(ring, (place(name), name))
    steps = _steps(len(ring), base)
    places = ((start + step - 1) % len(ring) for step in steps)
    return tuple(dict.fromkeys(ring[index][1] for index in places))


def _links(
    host: str,
    near: typing.Iterable[str],
    own: str,
    far: typing.Iterable[str],
    centre: str,
) -> tuple[str, ...]:
    """Return the hosts of another data centre that a host has a link to."""
    sources = _ranked(near, centre)
    targets = _ranked(far, own)
    return tuple(
        targets[link % len(targets)]
        for link in range(LINKS_BETWEEN_CENTRES)
        if sources[link % len(sources)] == host
    )


def _ranked(hosts: typing.Iterable[str], centre: str) -> list[str]:
    """Return the hosts with the most weight for a data centre, best first."""
    return sorted(hosts, key=lambda name: _weight(name, centre))[
        :LINKS_BETWEEN_CENTRES
    ]


@functools.lru_cache(MOST_HASHES)
def _weight(host: str, centre: str) -> int:
    return xxhash.xxh3_64_intdigest(('%s\0%s' % (host, centre)).encode())


def _steps(size: int, base: int) -> typing.Iterator[int]:
    later = (FIRST[-1] * base**power for power in itertools.count(1))
    steps = itertools.chain(FIRST, later)
    return itertools.takewhile(lambda step: step <= size, steps)
