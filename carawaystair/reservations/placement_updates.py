"""Keeps the placements that a process knows up to date."""

import asyncio
import random
import typing

import expression

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.reservations import messages
from carawaystair.reservations import placement_table

# Interval of requests for newer placements; outdated ones cost a round trip
# but are safe.
POLL_INTERVAL_S = 30.0
# Interval while no placements are known.
INITIAL_POLL_INTERVAL_S = 0.3
# Minimum interval when refreshes are requested.
MIN_POLL_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 1.0

Call = typing.Callable[
    [str, typing.Any, float],
    typing.Awaitable[expression.Result[typing.Any, codes.Failure]],
]


class PlacementUpdater:
    """Asks control hosts for newer placements, or a peer if none answers.

    :param table: placements to update.
    :param call: sends a request to a process and returns the answer.
    :param members: the fleet membership.
    :param control_hosts: addresses of the control hosts.
    :param rng: random source for the choice of processes.
    """

    def __init__(
        self,
        table: placement_table.PlacementTable,
        call: Call,
        members: interfaces.Members,
        control_hosts: typing.Sequence[str],
        rng: random.Random,
    ) -> None:
        self.placement_table = table
        self.call = call
        self.members = members
        self.control_hosts = tuple(control_hosts)
        self.rng = rng
        self.refresh_requested = asyncio.Event()
        # All placements up to here are known, according to control hosts.
        self.synced_version = 0
        self.synced_partition = -1

    def request_refresh(self) -> None:
        """Ask soon, because the known placements may be outdated."""
        self.refresh_requested.set()

    async def run(self) -> None:
        """Ask at intervals and on request."""
        while True:
            started = clock.now()
            await self.refresh()
            pause = POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2)
            if not self.placement_table.key_regions:
                pause = INITIAL_POLL_INTERVAL_S
            self.refresh_requested.clear()
            try:
                await asyncio.wait_for(self.refresh_requested.wait(), pause)
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(
                max(started + MIN_POLL_INTERVAL_S - clock.now(), 0)
            )

    async def refresh(self) -> bool:
        """Ask once; return whether a control host answered."""
        hosts = list(self.control_hosts)
        self.rng.shuffle(hosts)
        for host in hosts:
            if await self._ask_control(host):
                return True
        me = self.members.me.host
        peers = [m.peer for m in self.members.alive() if m.host != me]
        if peers:
            await self._ask_peer(self.rng.choice(peers))
        return False

    async def _ask_control(self, host: str) -> bool:
        while True:
            ask = messages.AskRows(
                self.placement_table.key_space.version,
                self.synced_version,
                self.synced_partition,
            )
            answer = await self._fetch(host, ask)
            if answer is None:
                return False
            if answer.rows:
                last = answer.rows[-1]
                self.synced_version, self.synced_partition = (
                    last.version,
                    last.partition,
                )
            if not answer.more:
                return True

    async def _ask_peer(self, peer: str) -> None:
        # A peer may lack placements older than its newest ones, so its answer
        # must not advance ``synced_version``.
        synced_version, synced_partition = (
            self.synced_version,
            self.synced_partition,
        )
        more = True
        while more:
            ask = messages.AskPeerRows(
                self.placement_table.key_space.version,
                synced_version,
                synced_partition,
            )
            answer = await self._fetch(peer, ask)
            more = answer is not None and answer.more
            if more:
                last = answer.rows[-1]
                synced_version, synced_partition = last.version, last.partition

    async def _fetch(self, address: str, ask) -> messages.Rows | None:
        result = await self.call(address, ask, CALL_TIMEOUT_S)
        if result.is_error():
            return None
        apply_rows(self.placement_table, result.ok)
        return result.ok


def apply_rows(
    table: placement_table.PlacementTable, message: messages.Rows
) -> None:
    """Store the placements of a message."""
    if message.key_space is not None:
        table.update_key_space(message.key_space)
    table.update(messages.unpack_rows(message))
