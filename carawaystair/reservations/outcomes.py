"""Tells replicas how the request of a token ended, until they know."""

import asyncio
import typing

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import placement_table

# An outcome that nobody acknowledged is sent again after so long; doubled
# each time up to the second figure.
RESEND_S = 0.05
RESEND_MAX_S = 5.0
# After so long a replica that was not reached is given up; the key is then
# unknown there until its window ends.
GIVE_UP_S = 60.0
# Outcomes under way at once; beyond that each is sent once only.
MAX_PENDING = 10_000


class PendingOutcome(typing.NamedTuple):
    """One outcome under way.

    :param epoch: of the placement under which the token asked.
    :param holders: addresses of the replicas that need it; None for all.
    :param addresses: of the replicas that have acknowledged it.
    :param majority: set when these are a majority.
    :param changed: set with every acknowledgement.
    """

    epoch: int
    holders: frozenset[str] | None
    acknowledged: set
    majority_reached: asyncio.Event
    new_acknowledgement: asyncio.Event


class OutcomeSender:
    """The outcomes that one process spreads.

    :param send: sends a datagram.
    :param book: the placements.
    """

    def __init__(
        self,
        send: typing.Callable[[str, typing.Any], None],
        table: placement_table.PlacementTable,
    ) -> None:
        self.send = send
        self.placement_table = table
        self.pending: dict[bytes, PendingOutcome] = {}
        self.tasks: set[asyncio.Task] = set()
        self.given_up = 0

    def start(
        self, message, holders: frozenset[str] | None = None
    ) -> asyncio.Event:
        """Spread a ``Settle`` or ``Release``.

        :param holders: addresses of the replicas that may hold the key for
            the token; None for all.
        :return: an event that is set once a majority has it.
        """
        pending = PendingOutcome(
            message.epoch, holders, set(), asyncio.Event(), asyncio.Event()
        )
        if holders is not None and not holders:
            pending.majority_reached.set()
            return pending.majority_reached
        if len(self.pending) >= MAX_PENDING:
            self._send(message, pending)
            pending.majority_reached.set()
            return pending.majority_reached
        self.pending[message.token] = pending
        self._send(message, pending)
        task = asyncio.create_task(
            self._resend_until_acknowledged(message, pending)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return pending.majority_reached

    def acknowledge(self, sender: str, message: messages.Done) -> None:
        """Take a replica's word that it has an outcome."""
        pending = self.pending.get(message.token)
        if pending is not None:
            pending.acknowledged.add(sender)
            pending.new_acknowledgement.set()

    def stop(self) -> None:
        """Give up whatever is under way."""
        for task in self.tasks:
            task.cancel()

    async def _resend_until_acknowledged(
        self, message, pending: PendingOutcome
    ) -> None:
        until = clock.now() + GIVE_UP_S
        wait = RESEND_S
        try:
            while clock.now() < until:
                pending.new_acknowledgement.clear()
                notified = await _wait_for(pending.new_acknowledgement, wait)
                if self._check_complete(message, pending):
                    return
                if not notified:
                    self._send(message, pending)
                    wait = min(2 * wait, RESEND_MAX_S)
            self.given_up += 1
        finally:
            self.pending.pop(message.token, None)

    def _check_complete(self, message, pending: PendingOutcome) -> bool:
        placement = self.placement_table.get(message.partition)
        if placement is None:
            return False
        required = _required_addresses(placement, pending)
        reached = required & pending.acknowledged
        if len(reached) >= min(placement.quorum, len(required)):
            pending.majority_reached.set()
        return reached == required

    def _send(self, message, pending: PendingOutcome) -> None:
        """Send to the replicas of the newest epoch that lack it."""
        placement = self.placement_table.get(message.partition)
        if placement is None:
            return
        current = message._replace(epoch=placement.epoch)
        for address in sorted(
            _required_addresses(placement, pending) - pending.acknowledged
        ):
            self.send(address, current)


def _required_addresses(
    placement: placement_table.Placement, pending: PendingOutcome
) -> frozenset[str]:
    """Return the addresses of the replicas that need an outcome.

    In a later epoch that is everyone: who took over from whom is not known
    here.
    """
    members = frozenset(member.gossip for member in placement.members)
    if pending.holders is None or placement.epoch != pending.epoch:
        return members
    return members & pending.holders


async def _wait_for(event: asyncio.Event, timeout: float) -> bool:
    """Wait for an event; tell whether it came in time."""
    try:
        return await asyncio.wait_for(event.wait(), timeout)
    except asyncio.TimeoutError:
        return False
