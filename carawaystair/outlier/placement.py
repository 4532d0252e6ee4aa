"""Which process coordinates a service, and which is its standby.

Rendezvous hashing gives every process the same answer for the same members.
Answers are cached, and only those that a change of the members affects are
computed again: ranking 2,500 members for 520 services at every restart of a
host would take a second of processor time.
"""

import typing

from carawaystair import interfaces
from carawaystair import rendezvous


class Assignment(typing.NamedTuple):
    """The processes assigned to one service.

    :param coordinator: decides on ejections.
    :param standby: takes over; in another data centre if there is one.  None
        in a fleet of one.
    """

    coordinator: interfaces.Member
    standby: interfaces.Member | None

    def lowest_score(self, service: str) -> int:
        """Return the lower of the two scores, 0 without a standby."""
        if self.standby is None:
            return 0
        return min(
            rendezvous.score(service, self.coordinator.host),
            rendezvous.score(service, self.standby.host),
        )


class Placement:
    """Assigns services to the members alive.

    :param members: the members.
    """

    def __init__(self, members: interfaces.Members) -> None:
        self.members = members
        self.alive: tuple[interfaces.Member, ...] = ()
        self.by_host: dict[str, interfaces.Member] = {}
        self.assignments: dict[str, Assignment] = {}

    def assignment(self, service: str) -> Assignment:
        """Return the processes assigned to a service."""
        found = self.assignments.get(service)
        if found is None:
            if not self.by_host:
                self.refresh()
            first, second = _top_two(service, self.by_host.values())
            found = self.assignments[service] = Assignment(first, second)
        return found

    def possible_predecessors(
        self, service: str, count: int
    ) -> list[interfaces.Member]:
        """Return the other members most likely to have coordinated before."""
        others = [
            member
            for member in self.by_host.values()
            if member.host != self.members.me.host
        ]
        return rendezvous.rank(service, others)[:count]

    def coordinates_here(self, service: str) -> bool:
        """Return whether this process is the coordinator of a service."""
        return (
            self.assignment(service).coordinator.host == self.members.me.host
        )

    def refresh(self) -> bool:
        """Update to the members alive.

        :return: whether they changed.
        """
        alive = self.members.alive()
        if alive == self.alive:
            return False
        self.alive = alive
        # The processor of a control host is reserved for the log, if there are
        # other members.
        eligible = [member for member in alive if not member.control] or alive
        table = {member.host: member for member in eligible}
        old, self.by_host = self.by_host, table
        removed = [host for host in old if table.get(host) != old[host]]
        added = [host for host in table if old.get(host) != table[host]]
        self.assignments = {
            service: chosen
            for service, chosen in self.assignments.items()
            if not _affected(service, chosen, removed, added)
        }
        return True


def _affected(service, chosen, removed, added) -> bool:
    chosen_hosts = {
        chosen.coordinator.host,
        getattr(chosen.standby, 'host', None),
    }
    if chosen_hosts.intersection(removed):
        return True
    lowest = chosen.lowest_score(service)
    return any(rendezvous.score(service, host) > lowest for host in added)


def _top_two(service, members):
    """Return the same as ``rendezvous.spread`` without sorting all members."""
    members = tuple(members)

    def order(member):
        return rendezvous.score(service, member.host), member.host

    first = max(members, key=order)
    others = [one for one in members if one.host != first.host]
    away = [one for one in others if one.data_centre != first.data_centre]
    return first, max(away or others, key=order, default=None)
