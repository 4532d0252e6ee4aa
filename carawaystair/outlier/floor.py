"""The capacity floor: the slots that ejections must leave to a service."""

import typing

from carawaystair import interfaces
from carawaystair import manifest

Upstreams = typing.Iterable[interfaces.Upstream]
# Whether an upstream is capacity while it is not ejected: up, warmed up and
# not draining.
Usable = typing.Callable[[interfaces.Upstream], bool]


class Capacity(typing.NamedTuple):
    """Slots of one service.

    :param known: slots of all its upstreams that are not gone.
    :param healthy: slots of those that are usable and not ejected.
    :param required_slots: slots that ejections must leave.
    """

    known: int
    healthy: int
    required_slots: int

    @property
    def spare(self) -> int:
        """Return the slots that may still be ejected; negative when short."""
        return self.healthy - self.required_slots


def required_slots(service: manifest.Service, known: int) -> int:
    """Return the slots that ejections must leave.

    :param known: slots of all known upstreams of the service.
    """
    share = -(-known * service.floor_percent // 100)
    return max(share, service.floor_slots)


def measure(
    service: manifest.Service,
    upstreams: Upstreams,
    ejected: typing.Container[str],
    usable: Usable,
) -> Capacity:
    """Return the capacity that is left without the upstreams ``ejected``."""
    upstreams = tuple(upstreams)
    known = sum(upstream.slots for upstream in upstreams)
    healthy = sum(
        upstream.slots
        for upstream in upstreams
        if upstream.id not in ejected and usable(upstream)
    )
    return Capacity(known, healthy, required_slots(service, known))


def clamp(
    service: manifest.Service,
    upstreams: Upstreams,
    wanted: typing.Iterable[str],
    usable: Usable,
) -> frozenset[str]:
    """Return the part of ``wanted`` that the floor allows.

    :param wanted: ids of upstreams, the ones to eject first at the front.
    :return: ids; ejecting them never brings the capacity below the floor.
        While the capacity is below the floor without any ejection, as after a
        loss of hosts, nothing is ejected at all.
    """
    by_id = {upstream.id: upstream for upstream in upstreams}
    spare = measure(service, by_id.values(), (), usable).spare
    if spare < 0:
        return frozenset()
    allowed = set()
    for name in wanted:
        upstream = by_id.get(name)
        if upstream is None or name in allowed:
            continue
        cost = upstream.slots if usable(upstream) else 0
        if cost <= spare:
            spare -= cost
            allowed.add(name)
    return frozenset(allowed)
