"""Gives processes that are back the departures that they missed.

When a control host is back, it is sent all that is remembered, since its disk
may be a new one; when another host has started, it is sent the departures of
its own upstreams, which it may not have found anybody to ask for.
"""

import asyncio
import itertools
import typing

import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import departure_memory
from carawaystair.membership import messages
from carawaystair.membership import table as tables

TIMEOUT_S = 0.4
MAX_ATTEMPTS = 10
# Pause between two attempts, in seconds.
RETRY_S = 0.2
# Hosts whose departures are sent at the same time.
BATCH = 64

LOG = logs.get('membership')

DeparturesByHost = dict[str, tuple[messages.Departure, ...]]


class HandOver(mode.Service):
    """Sends departures to processes that are back.

    :param table: the table of hosts.
    :param memory: what is remembered here.
    :param transport: the messages of this process.
    :param group: returns the addresses of the control hosts that vote.
    """

    def __init__(
        self,
        table: tables.Table,
        memory: departure_memory.DepartureMemory,
        transport: interfaces.Transport,
        group: typing.Callable[[], tuple[str, ...]],
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.memory = memory
        self.transport = transport
        self.group = group
        table.listeners.append(self._note)

    def missed(self, change: tables.Change) -> DeparturesByHost:
        """Return what the host of a change in the table has missed."""
        entry, member = change.entry, change.entry.member
        if not entry.up or member.host == self.table.host:
            return {}
        old = change.old_record
        started = old is None or old.incarnation < entry.record.incarnation
        if member.peer in self.group() and (started or not change.was_up):
            return self.memory.by_hosts(clock.now())
        own = self.memory.of_host(member.host, clock.now())
        return {member.host: own} if started and own else {}

    def _note(self, change: tables.Change) -> None:
        missed = self.missed(change)
        if missed:
            self.add_future(self._send(change.entry.member.peer, missed))

    async def _send(self, peer: str, departures: DeparturesByHost) -> None:
        """Send departures to a process until it has confirmed them."""
        missing = dict(departures)
        for _attempt in range(MAX_ATTEMPTS):
            await self._send_once(peer, missing)
            if not missing:
                LOG.info(
                    'Departures are handed over.',
                    peer=peer,
                    hosts=len(departures),
                )
                return
            await asyncio.sleep(RETRY_S)
        LOG.warning(
            'Departures are not handed over.', peer=peer, hosts=len(missing)
        )

    async def _send_once(self, peer: str, missing: DeparturesByHost) -> None:
        """Send departures; take out those that were confirmed."""
        hosts = list(missing)
        for start in range(0, len(hosts), BATCH):
            batch = hosts[start : start + BATCH]
            calls = (self._call(peer, host, missing[host]) for host in batch)
            confirmed = await asyncio.gather(*calls)
            for host in itertools.compress(batch, confirmed):
                del missing[host]

    async def _call(
        self, peer: str, host: str, departures: tuple[messages.Departure, ...]
    ) -> bool:
        """Return whether a process has confirmed departures of a host."""
        message = messages.KeepDepartures(host, departures)
        result = await self.transport.call(peer, message, TIMEOUT_S)
        return result.is_ok()
