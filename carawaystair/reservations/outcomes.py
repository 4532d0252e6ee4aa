"""Tells replicas how the request of a token ended, until they know."""

import asyncio
import typing

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import placement

# An outcome that nobody acknowledged is sent again after so long; doubled
# each time up to the second figure.
RESEND_S = 0.05
RESEND_MOST_S = 5.0
# After so long a replica that was not reached is given up; the key is then
# unknown there until its window ends.
GIVE_UP_S = 60.0
# Outcomes under way at once; beyond that each is sent once only.
MAX_PENDING = 10_000


class Pending(typing.NamedTuple):
    """One outcome under way.

    :param epoch: of the placement under which the token asked.
    :param holders: addresses of the replicas that need it; None for all.
    :param addresses: of the replicas that have acknowledged it.
    :param majority: set when these are a majority.
    :param changed: set with every acknowledgement.
    """

    epoch: int
    holders: frozenset[str] | None
    addresses: set
    majority: asyncio.Event
    changed: asyncio.Event


class Outcomes:
    """The outcomes that one process spreads.

    :param send: sends a datagram.
    :param book: the placements.
    """

    def __init__(
        self,
        send: typing.Callable[[str, typing.Any], None],
        book: placement.Book,
    ) -> None:
        self.send = send
        self.book = book
        self.pending: dict[bytes, Pending] = {}
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
        pending = Pending(
            message.epoch, holders, set(), asyncio.Event(), asyncio.Event()
        )
        if holders is not None and not holders:
            pending.majority.set()
            return pending.majority
        if len(self.pending) >= MAX_PENDING:
            self._send(message, pending)
            pending.majority.set()
            return pending.majority
        self.pending[message.token] = pending
        self._send(message, pending)
        task = asyncio.create_task(self._spread(message, pending))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return pending.majority

    def done(self, sender: str, message: messages.Done) -> None:
        """Take a replica's word that it has an outcome."""
        pending = self.pending.get(message.token)
        if pending is not None:
            pending.addresses.add(sender)
            pending.changed.set()

    def stop(self) -> None:
        """Give up whatever is under way."""
        for task in self.tasks:
            task.cancel()

    async def _spread(self, message, pending: Pending) -> None:
        until = clock.now() + GIVE_UP_S
        wait = RESEND_S
        try:
            while clock.now() < until:
                pending.changed.clear()
                heard = await _wait(pending.changed, wait)
                if self._complete(message, pending):
                    return
                if not heard:
                    self._send(message, pending)
                    wait = min(2 * wait, RESEND_MOST_S)
            self.given_up += 1
        finally:
            self.pending.pop(message.token, None)

    def _complete(self, message, pending: Pending) -> bool:
        row = self.book.get(message.partition)
        if row is None:
            return False
        wanted = _wanted(row, pending)
        have = wanted & pending.addresses
        if len(have) >= min(row.quorum, len(wanted)):
            pending.majority.set()
        return have == wanted

    def _send(self, message, pending: Pending) -> None:
        """Send to the replicas of the newest epoch that lack it."""
        row = self.book.get(message.partition)
        if row is None:
            return
        fresh = message._replace(epoch=row.epoch)
        for address in sorted(_wanted(row, pending) - pending.addresses):
            self.send(address, fresh)


def _wanted(row: placement.Placement, pending: Pending) -> frozenset[str]:
    """Return the addresses of the replicas that need an outcome.

    In a later epoch that is everyone: who took over from whom is not known
    here.
    """
    members = frozenset(member.gossip for member in row.members)
    if pending.holders is None or row.epoch != pending.epoch:
        return members
    return members & pending.holders


async def _wait(event: asyncio.Event, timeout: float) -> bool:
    """Wait for an event; tell whether it came in time."""
    try:
        return await asyncio.wait_for(event.wait(), timeout)
    except asyncio.TimeoutError:
        return False
