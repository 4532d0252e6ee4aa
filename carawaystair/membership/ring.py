"""The overlay: whom each process passes records on to.

All hosts stand on a ring in the order of their hashes.  Each feeds those at
1, 2, 4, ... places after it (the fingers of Chord, Stoica et al., 2001).  So
each has log2(n) links out and as many in, any two are at most log2(n) hops
apart, and every process works its links out alone from the members it knows.
"""

import bisect
import typing

import xxhash


def place(host: str) -> int:
    """Return the place of a host on the ring."""
    return xxhash.xxh3_64_intdigest(host.encode())


def neighbours(
    host: str, hosts: typing.Iterable[str], base: int = 2
) -> tuple[str, ...]:
    """Return the hosts that ``host`` feeds.

    :param host: the own host.
    :param hosts: the hosts believed alive.
    :param base: ratio between the distances; more makes fewer links.
    """
    ring = sorted((place(name), name) for name in hosts if name != host)
    start = bisect.bisect(ring, (place(host), host))
    steps = _steps(len(ring), base)
    places = ((start + step - 1) % len(ring) for step in steps)
    return tuple(dict.fromkeys(ring[index][1] for index in places))


def _steps(size: int, base: int) -> typing.Iterator[int]:
    step = 1
    while step <= size:
        yield step
        step *= base
