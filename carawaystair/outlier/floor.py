"""The capacity floor: how much ejections must leave."""

import typing

from carawaystair import interfaces
from carawaystair import manifest


class Capacity(typing.NamedTuple):
    """Slots of one service.

    :param known: slots of all its upstreams that are not gone.
    :param healthy: slots of those that are up, not draining, warmed and
        not ejected.
    :param bound: slots that ejections must leave.
    """

    known: int
    healthy: int
    bound: int

    @property
    def spare(self) -> int:
        """Return the slots that may yet be ejected; negative below."""
        return self.healthy - self.bound


Warm = typing.Callable[[interfaces.Upstream], bool]


def bound(service: manifest.Service, known: int) -> int:
    """Return the slots that ejections must leave.

    :param known: slots of all known upstreams of the service.
    """
    share = -(-known * service.floor_percent // 100)
    return max(share, service.floor_slots)


def measure(
    service: manifest.Service,
    upstreams: typing.Iterable[interfaces.Upstream],
    ejected: typing.Container[str],
    warm: Warm,
) -> Capacity:
    """Return the capacity that is left when ``ejected`` get no work."""
    upstreams = tuple(upstreams)
    known = sum(upstream.slots for upstream in upstreams)
    healthy = sum(
        upstream.slots
        for upstream in upstreams
        if upstream.id not in ejected and serving(upstream, warm)
    )
    return Capacity(known, healthy, bound(service, known))


def serving(upstream: interfaces.Upstream, warm: Warm) -> bool:
    """Tell whether an upstream counts as capacity when not ejected."""
    return upstream.state == interfaces.UP and warm(upstream)


def clamp(
    service: manifest.Service,
    upstreams: typing.Sequence[interfaces.Upstream],
    wanted: typing.Iterable[str],
    warm: Warm,
) -> frozenset[str]:
    """Return the part of ``wanted`` that the floor allows.

    :param wanted: ids of upstreams, the ones to eject first at the front.
    :return: ids; ejecting them never brings the capacity below the floor.
        Upstreams that are no capacity anyway cost nothing, but are only
        ejected while the floor is kept.
    """
    by_id = {upstream.id: upstream for upstream in upstreams}
    spare = measure(service, upstreams, (), warm).spare
    if spare < 0:
        return frozenset()
    allowed = set()
    for name in wanted:
        upstream = by_id.get(name)
        if upstream is None:
            continue
        cost = upstream.slots if serving(upstream, warm) else 0
        if cost <= spare:
            spare -= cost
            allowed.add(name)
    return frozenset(allowed)
