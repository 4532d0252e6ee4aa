"""Data centres of the addresses that hosts announce."""

from carawaystair.membership import table as tables

# Two addresses for each host that the table can hold.
MAX_ADDRESSES = 2 * tables.MAX_HOSTS


class AddressLocations:
    """Map of the addresses in the records of hosts to their data data_centres.

    :param table: the table of hosts.
    """

    def __init__(self, table: tables.Table) -> None:
        self.table = table
        self.data_centres: dict[str, str] = {}
        table.listeners.append(self._changed)

    def is_remote(self, address: str) -> bool:
        """Tell whether an address is known to be in another data centre.

        :param address: ``ip:port`` for messages or for datagrams.
        """
        own = self.table.own_entry.member.data_centre
        return self.data_centres.get(address, own) != own

    def _changed(self, change: tables.Change) -> None:
        member = change.entry.member
        for address in (member.peer, member.gossip):
            self.data_centres[address] = member.data_centre
        while len(self.data_centres) > MAX_ADDRESSES:
            del self.data_centres[next(iter(self.data_centres))]
