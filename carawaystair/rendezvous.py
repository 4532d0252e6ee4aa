"""Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998).

Every process that knows the same members chooses the same ones, without a
word between them, and the loss of one member moves only what it had.
"""

import itertools
import typing

import xxhash

from carawaystair import interfaces

Members = typing.Iterable[interfaces.Member]


def score(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``, 64 bits."""
    text = '%s\0%s' % (key, name)
    return xxhash.xxh3_64_intdigest(text.encode())


def rank(key: str, members: Members) -> list[interfaces.Member]:
    """Return the members, the first choice for ``key`` first."""
    return sorted(
        members, key=lambda m: (score(key, m.host), m.host), reverse=True
    )


def spread(
    key: str, members: Members, count: int
) -> tuple[interfaces.Member, ...]:
    """Choose ``count`` members over as many data centres as there are.

    The first choices of each data centre come first, so that the loss of one
    data centre takes as few of them as can be.
    """
    ranked = rank(key, members)
    rounds: dict[str, int] = {}
    placed = []
    for position, member in enumerate(ranked):
        turn = rounds.get(member.data_centre, 0)
        rounds[member.data_centre] = turn + 1
        placed.append((turn, position, member))
    ordered = (member for _turn, _position, member in sorted(placed))
    return tuple(itertools.islice(ordered, count))


def coordinator(service: str, members: Members) -> interfaces.Member | None:
    """Return the first choice as coordinator of a service."""
    return next(iter(spread(service, members, 1)), None)


def standby(service: str, members: Members) -> interfaces.Member | None:
    """Return the member that takes over from the coordinator.

    It stands in another data centre where there is more than one.
    """
    chosen = spread(service, members, 2)
    return chosen[1] if len(chosen) > 1 else None
