"""Weighted fair queue of the requests that wait for one service.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) over customers.  The
shared resource is slot time: a request is charged the mean hold time at its
start, and the difference once its actual hold time is known.
"""

import asyncio
import typing


class Waiter:
    """A request that waits for a slot.

    :param flow: the flow of its customer.
    :param bulk: whether it is a long transfer.
    :param deadline: monotonic time by which its answer is due, in seconds.
    :param future: resolves to the permit or the failure.
    """

    __slots__ = ('bulk', 'deadline', 'flow', 'future', 'arrival', 'timer')

    def __init__(
        self,
        flow: 'Flow',
        bulk: bool,
        deadline: float,
        future: asyncio.Future,
    ) -> None:
        self.flow = flow
        self.bulk = bulk
        self.deadline = deadline
        self.future = future
        self.arrival = 0
        self.timer: asyncio.TimerHandle | None = None


class Flow:
    """Running and waiting requests of one customer at one service.

    :param customer: the customer, or ``manifest.OTHER``.
    :param weight: its share relative to other customers.
    :param max_running: requests that may run at once on this node; 0 for no
        limit.
    """

    # Waiters are kept in lists: an empty deque takes ten times the memory, and
    # the queues are short enough to remove from the front.
    __slots__ = (
        'bulk',
        'max_running',
        'customer',
        'running',
        'short',
        'start_tag',
        'weight',
    )

    def __init__(
        self, customer: str, weight: float, max_running: float = 0
    ) -> None:
        self.customer = customer
        self.weight = weight
        self.max_running = max_running
        self.running = 0
        # Virtual start time of its next request.
        self.start_tag = 0.0
        self.short: list[Waiter] = []
        self.bulk: list[Waiter] = []

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self.short) + len(self.bulk)

    def at_limit(self) -> bool:
        """Return whether the customer's limit is reached."""
        return 0 < self.max_running <= self.running

    def head(self, short: bool, bulk: bool) -> Waiter | None:
        """Return the oldest waiter of the given kinds."""
        oldest_short = self.short[0] if short and self.short else None
        oldest_bulk = self.bulk[0] if bulk and self.bulk else None
        if oldest_short is None or oldest_bulk is None:
            return oldest_short or oldest_bulk
        return (
            oldest_short
            if oldest_short.arrival < oldest_bulk.arrival
            else oldest_bulk
        )

    def newest(self) -> Waiter:
        """Return the waiter that arrived last."""
        last = [queue[-1] for queue in (self.short, self.bulk) if queue]
        return max(last, key=lambda waiter: waiter.arrival)


class FairQueue:
    """The requests that wait for one service, in fair order."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.size = 0
        self.short_size = 0
        self.arrivals = 0
        self.backlogged: dict[str, Flow] = {}

    def push(self, waiter: Waiter) -> None:
        """Append a waiter to the flow of its customer."""
        flow = waiter.flow
        if not flow.waiting:
            flow.start_tag = max(self.virtual_time, flow.start_tag)
            self.backlogged[flow.customer] = flow
        self.arrivals += 1
        waiter.arrival = self.arrivals
        (flow.bulk if waiter.bulk else flow.short).append(waiter)
        self.size += 1
        self.short_size += not waiter.bulk

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return whether it was in the queue."""
        flow = waiter.flow
        queue = flow.bulk if waiter.bulk else flow.short
        if waiter not in queue:
            return False
        queue.remove(waiter)
        self.size -= 1
        self.short_size -= not waiter.bulk
        if not flow.waiting:
            del self.backlogged[flow.customer]
        return True

    def pick(self, short: bool, bulk: bool) -> Waiter | None:
        """Return the next waiter without removing it.

        :param short: whether short requests may start now.
        :param bulk: whether long transfers may start now.
        """
        heads = (
            flow.head(short, bulk)
            for flow in self.backlogged.values()
            if not flow.at_limit()
        )
        return min(
            (waiter for waiter in heads if waiter is not None),
            key=lambda waiter: (waiter.flow.start_tag, waiter.arrival),
            default=None,
        )

    def charge(self, flow: Flow, cost: float) -> None:
        """Charge a flow for a request that starts now.

        :param cost: the expected slot time in seconds.
        """
        self.virtual_time = max(flow.start_tag, self.virtual_time)
        flow.start_tag = self.virtual_time + cost / flow.weight

    def settle(self, flow: Flow, difference: float) -> None:
        """Charge the difference between actual and expected slot time.

        :param difference: in seconds; a negative one is refunded.
        """
        flow.start_tag += difference / flow.weight

    def longest(self, newcomer: Flow) -> Flow:
        """Return the flow with the most waiting requests for its weight.

        The next request of ``newcomer`` counts as waiting.
        """

        def _length(flow: Flow) -> float:
            return (flow.waiting + (flow is newcomer)) / flow.weight

        return max([newcomer, *self.backlogged.values()], key=_length)

    def waiters(self) -> typing.Iterator[Waiter]:
        """Yield all waiters, grouped by customer."""
        for flow in list(self.backlogged.values()):
            yield from [*flow.short, *flow.bulk]

    def weight(self, flow: Flow) -> float:
        """Return the total weight of the backlogged flows and ``flow``."""
        total = sum(other.weight for other in self.backlogged.values())
        return total if flow.waiting else total + flow.weight
