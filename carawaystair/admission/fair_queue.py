"""Weighted fair queueing of the requests that wait for one service.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) over customers.  What
is shared out is the time for which requests hold slots: a request is charged
the mean time at its start and the difference once the true time is known.
"""

import asyncio
import typing


class Waiter:
    """One request that waits for a slot.

    :param flow: the customer's queue that it stands in.
    :param bulk: whether it is a long transfer.
    :param deadline: monotonic time by which its answer is owed.
    :param future: takes the permit or the failure.
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
    """What one customer runs and has waiting at one service.

    :param customer: the customer, or ``manifest.OTHER``.
    :param weight: its share relative to other customers.
    :param max_running: requests that it may run at once on this node, 0 for
        any number.
    """

    # Plain lists: an empty deque costs ten times the memory, and a queue is
    # short enough to shift.
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
        # Virtual time at which its next request is due.
        self.start_tag = 0.0
        self.short: list[Waiter] = []
        self.bulk: list[Waiter] = []

    @property
    def waiting(self) -> int:
        """Return how many of the customer's requests wait."""
        return len(self.short) + len(self.bulk)

    def at_limit(self) -> bool:
        """Tell whether the customer runs as much as it may."""
        return 0 < self.max_running <= self.running

    def head(self, short: bool, bulk: bool) -> Waiter | None:
        """Return the oldest waiter of the kinds asked for."""
        first = self.short[0] if short and self.short else None
        other = self.bulk[0] if bulk and self.bulk else None
        if first is None or other is None:
            return first or other
        return first if first.arrival < other.arrival else other

    def newest(self) -> Waiter:
        """Return the waiter that came last."""
        lasts = [line[-1] for line in (self.short, self.bulk) if line]
        return max(lasts, key=lambda waiter: waiter.arrival)


class FairQueue:
    """The requests that wait for one service, in fair order."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.size = 0
        self.short_size = 0
        self.arrivals = 0
        self.backlogged: dict[str, Flow] = {}

    def push(self, waiter: Waiter) -> None:
        """Add a waiter behind those of its customer."""
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
        """Take a waiter out; False when it no longer stands here."""
        flow = waiter.flow
        line = flow.bulk if waiter.bulk else flow.short
        if waiter not in line:
            return False
        line.remove(waiter)
        self.size -= 1
        self.short_size -= not waiter.bulk
        if not flow.waiting:
            del self.backlogged[flow.customer]
        return True

    def pick(self, short: bool, bulk: bool) -> Waiter | None:
        """Return the waiter that is next, leaving it in its place.

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

        :param cost: the slot time expected, in seconds.
        """
        self.virtual_time = max(flow.start_tag, self.virtual_time)
        flow.start_tag = self.virtual_time + cost / flow.weight

    def settle(self, flow: Flow, difference: float) -> None:
        """Charge what a request held its slot longer than expected.

        :param difference: in seconds; negative gives back.
        """
        flow.start_tag += difference / flow.weight

    def longest(self, newcomer: Flow) -> Flow:
        """Return the flow with the longest queue for its weight.

        A request of ``newcomer`` about to be pushed counts as waiting.
        """

        def _length(flow: Flow) -> float:
            return (flow.waiting + (flow is newcomer)) / flow.weight

        return max([newcomer, *self.backlogged.values()], key=_length)

    def waiters(self) -> typing.Iterator[Waiter]:
        """Yield all waiters, customer by customer."""
        for flow in list(self.backlogged.values()):
            yield from [*flow.short, *flow.bulk]

    def weight(self, flow: Flow) -> float:
        """Return the weight of all backlogged flows and ``flow``."""
        total = sum(other.weight for other in self.backlogged.values())
        return total if flow.waiting else total + flow.weight
