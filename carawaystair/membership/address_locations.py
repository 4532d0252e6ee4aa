"""Tells which addresses are in another data centre."""

from carawaystair.membership import table as tables

# Addresses that are remembered, two for each host that the table holds.
MOST = 2 * tables.MAX_HOSTS


class AddressLocations:
    """The data centres of addresses, as records of hosts tell them.

    :param table: the table of hosts.
    """

    def __init__(self, table: tables.Table) -> None:
        self.table = table
        self.centres: dict[str, str] = {}
        table.listeners.append(self._changed)

    def is_remote(self, address: str) -> bool:
        """Tell whether an address is known to be in another data centre."""
        own = self.table.own_entry.member.data_centre
        return self.centres.get(address, own) != own

    def _changed(self, change: tables.Change) -> None:
        member = change.entry.member
        for address in (member.peer, member.gossip):
            self.centres[address] = member.data_centre
        while len(self.centres) > MOST:
            del self.centres[next(iter(self.centres))]
