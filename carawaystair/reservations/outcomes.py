"""Sends the outcome of a request to the replicas until they acknowledge it."""

import asyncio
import typing

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import placement_table

# Time without an acknowledgement after which an outcome is sent again;
# doubled each time up to the maximum.
RESEND_S = 0.05
RESEND_MAX_S = 5.0
# A replica that was not reached for this long gets no outcome; the key
# stays held there until its window ends.
GIVE_UP_S = 60.0
# Maximum number of unacknowledged outcomes; beyond it an outcome is sent only
# once.
MAX_PENDING = 10_000


class PendingOutcome(typing.NamedTuple):
    """An outcome that is not acknowledged by all replicas yet.

    :param epoch: epoch of the placement in which the token was asked for.
    :param holders: addresses of the replicas that need it; None for all.
    :param acknowledged: addresses of the replicas that acknowledged it.
    :param majority_reached: set when a majority has acknowledged it.
    :param new_acknowledgement: set with every acknowledgement.
    """

    epoch: int
    holders: frozenset[str] | None
    acknowledged: set
    majority_reached: asyncio.Event
    new_acknowledgement: asyncio.Event


class OutcomeSender:
    """Sends the outcomes of the requests of one process.

    :param send: sends a datagram.
    :param table: known placements.
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
        """Send a ``Settle`` or ``Release`` until it is acknowledged.

        :param holders: addresses of the replicas that may hold the key for
            the token; None for all.
        :return: an event that is set when a majority has acknowledged it.
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
        """Handle the acknowledgement of a replica."""
        pending = self.pending.get(message.token)
        if pending is not None:
            pending.acknowledged.add(sender)
            pending.new_acknowledgement.set()

    def stop(self) -> None:
        """Stop sending all outcomes."""
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
        """Send to the replicas of the newest epoch without acknowledgement."""
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

    In a later epoch that is every member: which replica took over from which
    is not known here.
    """
    members = frozenset(member.gossip for member in placement.members)
    if pending.holders is None or placement.epoch != pending.epoch:
        return members
    return members & pending.holders


async def _wait_for(event: asyncio.Event, timeout: float) -> bool:
    """Wait for an event; return False on a time-out."""
    try:
        return await asyncio.wait_for(event.wait(), timeout)
    except asyncio.TimeoutError:
        return False
