"""Which process coordinates a service, and which stands by.

Rendezvous hashing gives every process the same answer for the same members.
The answers are kept and only those that a change of the members concerns are
worked out again: ranking 2,500 members for 520 services at every restart of
a host would cost a second of processor time.
"""

import typing

from carawaystair import interfaces
from carawaystair import rendezvous


class Chosen(typing.NamedTuple):
    """The processes chosen for one service.

    :param coordinator: decides on ejections.
    :param standby: takes over; in another data centre where there is one.
        None in a fleet of one.
    """

    coordinator: interfaces.Member
    standby: interfaces.Member | None

    def least(self, service: str) -> int:
        """Return the lower of the two scores, 0 without a standby."""
        if self.standby is None:
            return 0
        return min(
            rendezvous.score(service, self.coordinator.host),
            rendezvous.score(service, self.standby.host),
        )


class Choice:
    """Choices over the members alive.

    :param members: the members.
    """

    def __init__(self, members: interfaces.Members) -> None:
        self.members = members
        self.alive: tuple[interfaces.Member, ...] = ()
        self.table: dict[str, interfaces.Member] = {}
        self.kept: dict[str, Chosen] = {}

    def of(self, service: str) -> Chosen:
        """Return the processes chosen for a service."""
        found = self.kept.get(service)
        if found is None:
            if not self.table:
                self.refresh()
            first, second = _top(service, self.table.values())
            found = self.kept[service] = Chosen(first, second)
        return found

    def near(self, service: str, count: int) -> list[interfaces.Member]:
        """Return the other members that may have coordinated before."""
        others = [
            member
            for member in self.table.values()
            if member.host != self.members.me.host
        ]
        return rendezvous.rank(service, others)[:count]

    def mine(self, service: str) -> bool:
        """Tell whether this process is the coordinator."""
        return self.of(service).coordinator.host == self.members.me.host

    def refresh(self) -> bool:
        """Look at the members again.

        :return: whether they changed.
        """
        alive = self.members.alive()
        if alive == self.alive:
            return False
        self.alive = alive
        # A control host keeps its processor for the log, where there are
        # others.
        able = [member for member in alive if not member.control] or alive
        table = {member.host: member for member in able}
        old, self.table = self.table, table
        gone = [host for host in old if table.get(host) != old[host]]
        new = [host for host in table if old.get(host) != table[host]]
        self.kept = {
            service: chosen
            for service, chosen in self.kept.items()
            if not _concerned(service, chosen, gone, new)
        }
        return True


def _concerned(service, chosen, gone, new) -> bool:
    names = {chosen.coordinator.host, getattr(chosen.standby, 'host', None)}
    if names.intersection(gone):
        return True
    least = chosen.least(service)
    return any(rendezvous.score(service, host) > least for host in new)


def _top(service, members):
    """Return what ``rendezvous.spread`` would, without sorting all."""
    members = tuple(members)

    def order(member):
        return rendezvous.score(service, member.host), member.host

    first = max(members, key=order)
    others = [one for one in members if one.host != first.host]
    away = [one for one in others if one.data_centre != first.data_centre]
    return first, max(away or others, key=order, default=None)
