"""The admission gate of one service: its slots and its queue."""

import asyncio
import math
import typing

import expression

from carawaystair.admission import fair_queue
from carawaystair.admission import hold_time
from carawaystair.admission import limiter
from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import invariants

# Maximum rest of a fractional slot between two requests, in seconds.
MAX_REST_S = 5.0
# Smallest fraction of a slot that is used.
MIN_LIMIT = 0.02
# Load is low while the limit is at least this many times what runs.
LOW_LOAD_FACTOR = 2
# Weight of a new sample in the mean number of short requests.
DEMAND_SMOOTHING = 1 / 64
# Slot time charged for a request before the first measurement, in seconds.
INITIAL_COST_S = 0.05
# Bounds of Retry-After in seconds.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0

Result = expression.Result[interfaces.Permit, codes.Failure]


class Permit:
    """Permission to run one request, see ``interfaces.Permit``.

    :param gate: the gate that issued it.
    :param flow: the customer's flow that it is charged to.
    :param bulk: whether it is a long transfer.
    :param fractional: whether it holds the fractional slot.
    :param low_load: whether load was low when it started.
    :param cost: slot time charged at its start, in seconds.
    :param started: monotonic time of its start, in seconds.
    """

    __slots__ = (
        'bulk',
        'cost',
        'flow',
        'gate',
        'fractional',
        'low_load',
        'started',
    )

    def __init__(
        self,
        gate: 'Gate',
        flow: fair_queue.Flow,
        bulk: bool,
        fractional: bool,
        low_load: bool,
        cost: float,
        started: float,
    ) -> None:
        self.gate: Gate | None = gate
        self.flow = flow
        self.bulk = bulk
        self.fractional = fractional
        self.low_load = low_load
        self.cost = cost
        self.started = started

    def release(self, outcome: str, latency_s: float) -> None:
        """Return the slot and report the outcome of the request.

        :param outcome: a constant of ``interfaces``, such as ``GOOD``.
        :param latency_s: seconds from the first byte sent to the last
            received.
        """
        gate, self.gate = self.gate, None
        # A slot that is returned twice would let more requests run than there
        # are slots, and would show only as requests shed by upstreams.
        if invariants.check(
            invariants.SLOT_ACCOUNTING,
            gate is not None,
            'released twice',
        ):
            gate.finish(self, outcome, latency_s)


class Gate:
    """The slots and the queue of one service on this node.

    :param service: name of the service.
    :param flow: creates the flow of a customer by name; all unknown customers
        share one flow.
    :param queue_limit: number of requests that may wait.
    :param report: called as ``report(kind, text)`` to record an event.
    """

    def __init__(
        self,
        service: str,
        flow: typing.Callable[[str], fair_queue.Flow],
        queue_limit: int,
        report: typing.Callable[[str, str], None],
    ) -> None:
        self.service = service
        self.make_flow = flow
        self.queue_limit = queue_limit
        self.report = report
        self.flows: dict[str, fair_queue.Flow] = {}
        self.queue = fair_queue.FairQueue()
        self.hold_times = {
            False: hold_time.HoldTime(),
            True: hold_time.HoldTime(),
        }
        # The share of the slots allotted to this node, and the limit in use.
        self.share = 0.0
        self.limiter: limiter.Limiter | None = None
        self.limit = 0.0
        self.whole_slots = 0
        self.running = 0
        self.running_bulk = 0
        self.running_fractional = 0
        # Mean number of running and waiting short requests, sampled at starts.
        self.short_demand = 0.0
        self.rest_until = 0.0
        self.rest_timer: asyncio.TimerHandle | None = None
        # Counters for the metrics.
        self.admitted = 0
        self.queued = 0
        self.refused: dict[codes.Code, int] = {}

    # Admission

    def try_start(
        self, customer: str, deadline: float, bulk: bool
    ) -> Permit | None:
        """Start a request if a slot is free and no request waits."""
        if self.queue.size:
            return None
        now = clock.now()
        if not self._slot_free(now) or not self._kind_may_start(bulk):
            return None
        flow = self.flows.get(customer) or self.flow(customer)
        if flow.at_limit() or self._would_miss_deadline(deadline, bulk, now):
            return None
        return self._start(flow, bulk, now)

    async def wait(self, customer: str, deadline: float, bulk: bool) -> Result:
        """Wait for a slot in fair order, or refuse the request at once."""
        now = clock.now()
        flow = self.flow(customer)
        failure = self._refusal(flow, deadline, bulk, now)
        if failure is not None:
            return expression.Error(failure)
        waiter = self._enqueue(flow, deadline, bulk)
        self.dispatch()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def flow(self, customer: str) -> fair_queue.Flow:
        """Return the flow that a customer's requests are charged to."""
        flow = self.flows.get(customer)
        if flow is None:
            flow = self.make_flow(customer)
            # An unknown customer shares a flow that may exist already.  Its
            # name is not kept, so that callers can't exhaust memory.
            flow = self.flows.setdefault(flow.customer, flow)
        return flow

    def expected_wait(
        self, flow: fair_queue.Flow, bulk: bool = False
    ) -> float:
        """Return the seconds until a new request of ``flow`` would start."""
        mean = self.hold_times[bulk].mean or self.hold_times[not bulk].mean
        rate = max(self.limit, MIN_LIMIT) / max(mean, hold_time.MIN_S)
        fair = flow.waiting * self.queue.weight(flow) / flow.weight
        return (1 + min(fair, self.queue.size)) / rate

    def retry_after(self) -> float:
        """Return when a refused request may be tried again, in seconds."""
        mean = max(held.mean for held in self.hold_times.values())
        drain = self.queue.size * mean / max(self.limit, MIN_LIMIT)
        return min(max(drain, MIN_RETRY_S), MAX_RETRY_S)

    def _refusal(
        self, flow: fair_queue.Flow, deadline: float, bulk: bool, now: float
    ) -> codes.Failure | None:
        """Return the failure of a request that may not wait, or None."""
        if deadline <= now:
            return self.refuse(codes.DEADLINE_PASSED, flow)
        if self._would_miss_deadline(deadline, bulk, now):
            return self.refuse(codes.DEADLINE_SHORT, flow)
        start = now + self.expected_wait(flow, bulk)
        if self.queue.size and start + self.hold_times[bulk].median > deadline:
            return self.refuse(codes.DEADLINE_SHORT, flow)
        if self.queue.size >= self.queue_limit:
            return self._make_room(flow)
        return None

    def _would_miss_deadline(
        self, deadline: float, bulk: bool, now: float
    ) -> bool:
        """Return whether a request would be late even if it started now.

        While nothing runs, only the deadline itself counts.  Otherwise a wrong
        estimate would refuse all requests, and no answer could correct it.
        """
        if not self.running:
            return deadline <= now
        return now + self.hold_times[bulk].median >= deadline

    def _make_room(self, flow: fair_queue.Flow) -> codes.Failure | None:
        """Drop the newest waiter of the longest flow, or refuse.

        Dropping from the longest flow (McKenney, 1990) keeps a customer that
        fills the queue from shutting out the others.
        """
        longest = self.queue.longest(flow)
        alone = len(self.queue.backlogged) == 1 and flow.waiting
        code = codes.QUEUE_FULL if alone else codes.CUSTOMER_QUEUE_FULL
        if longest is flow:
            return self.refuse(code, flow)
        newest = longest.newest()
        self._fail(newest, codes.CUSTOMER_QUEUE_FULL)
        return None

    def refuse(self, code: codes.Code, flow: fair_queue.Flow) -> codes.Failure:
        """Count a refusal and return it."""
        count = self.refused.get(code, 0)
        self.refused[code] = count + 1
        detail = 'service %s, customer %s' % (self.service, flow.customer)
        if code in (codes.QUEUE_FULL, codes.CUSTOMER_QUEUE_FULL):
            self.report('queue-full', detail)
        return codes.Failure(code, detail)

    # The queue

    def _enqueue(
        self, flow: fair_queue.Flow, deadline: float, bulk: bool
    ) -> fair_queue.Waiter:
        loop = asyncio.get_running_loop()
        waiter = fair_queue.Waiter(flow, bulk, deadline, loop.create_future())
        # A later start would miss the deadline.
        latest = deadline - self.hold_times[bulk].median
        waiter.timer = loop.call_at(latest, self._expire, waiter)
        self.queue.push(waiter)
        self.queued += 1
        return waiter

    def _expire(self, waiter: fair_queue.Waiter) -> None:
        self._fail(waiter, codes.DEADLINE_PASSED)

    def _fail(self, waiter: fair_queue.Waiter, code: codes.Code) -> None:
        """Remove a waiter and refuse its request."""
        self._dequeue(waiter)
        if not waiter.future.done():
            failure = self.refuse(code, waiter.flow)
            waiter.future.set_result(expression.Error(failure))

    def _dequeue(self, waiter: fair_queue.Waiter) -> None:
        """Remove a waiter and cancel its timer."""
        self.queue.remove(waiter)
        waiter.timer.cancel()

    def _abandon(self, waiter: fair_queue.Waiter) -> None:
        """Remove the waiter of a caller that went away.

        If it got a slot just before, the slot is released; it would be lost
        otherwise.
        """
        self._dequeue(waiter)
        future = waiter.future
        if (
            future.done()
            and not future.cancelled()
            and future.result().is_ok()
        ):
            future.result().ok.release(interfaces.CANCELLED, 0.0)

    def fail_all(self, code: codes.Code) -> None:
        """Refuse all waiting requests."""
        for waiter in self.queue.waiters():
            self._fail(waiter, code)

    def dispatch(self) -> None:
        """Start waiting requests in fair order while slots are free."""
        now = clock.now()
        while self.queue.size and self._slot_free(now):
            waiter = self.queue.pick(
                self._kind_may_start(False), self._kind_may_start(True)
            )
            if waiter is None:
                return
            self._dequeue(waiter)
            if not waiter.future.done():
                permit = self._start(waiter.flow, waiter.bulk, now)
                waiter.future.set_result(expression.Ok(permit))
        self._schedule_rest_end(now)

    def _schedule_rest_end(self, now: float) -> None:
        """Dispatch again at the end of the fractional slot's rest."""
        if (
            self.queue.size
            and self.rest_until > now
            and self.rest_timer is None
        ):
            loop = asyncio.get_running_loop()
            self.rest_timer = loop.call_at(self.rest_until, self._end_rest)

    def _end_rest(self) -> None:
        self.rest_timer = None
        self.dispatch()

    # Slots

    def set_share(self, share: float) -> None:
        """Set the share of the slots allotted to this node.

        :param share: number of slots; a fraction of a slot is used for that
            part of the time.
        """
        self.share = share
        factor = self.limiter.factor if self.limiter is not None else 1.0
        self._set_limit(factor)

    def _set_limit(self, factor: float) -> None:
        """Set the limit to a multiple of the share, but keep one slot."""
        self.limit = max(self.share * factor, min(self.share, 1.0))
        self.whole_slots = int(self.limit)
        if self.queue.size:
            self.dispatch()

    def _update_limit(
        self, permit: Permit, outcome: str, latency_s: float
    ) -> None:
        """Adapt the limit to the outcome of a request."""
        now = clock.now()
        if self.limiter is None:
            self.limiter = limiter.Limiter(now)
        if outcome == interfaces.GOOD:
            waiting = self.queue.size > 0
            self.limiter.record_answer(latency_s, permit.low_load, waiting)
        elif outcome == interfaces.SHED:
            self.limiter.record_shed()
        if self.limiter.due(now):
            self._set_limit(self.limiter.update(now))

    def _slot_free(self, now: float) -> bool:
        """Return whether a slot is free."""
        if self.running - self.running_fractional < self.whole_slots:
            return True
        fraction = self.limit - self.whole_slots
        free = not self.running_fractional and now >= self.rest_until
        return fraction >= MIN_LIMIT and free

    def _kind_may_start(self, bulk: bool) -> bool:
        """Return whether one more request of this kind may run.

        Long transfers could hold every slot for seconds while short requests
        wait.  So they leave free the measured number of slots that short
        requests need plus one standard deviation of a Poisson distribution,
        and at least one slot.
        """
        if not bulk:
            return True
        needed = self.short_demand + math.sqrt(self.short_demand)
        bound = int(self.limit - max(needed, 1.0))
        return self.running_bulk < max(bound, 1)

    def _start(self, flow: fair_queue.Flow, bulk: bool, now: float) -> Permit:
        fractional = self.running - self.running_fractional >= self.whole_slots
        cost = self.hold_times[bulk].mean or INITIAL_COST_S
        self.queue.charge(flow, cost)
        short = self.running - self.running_bulk + self.queue.short_size
        self.short_demand += (short - self.short_demand) * DEMAND_SMOOTHING
        low_load = self.running * LOW_LOAD_FACTOR <= self.limit
        flow.running += 1
        self.running += 1
        self.running_bulk += bulk
        self.running_fractional += fractional
        self.admitted += 1
        return Permit(self, flow, bulk, fractional, low_load, cost, now)

    def finish(self, permit: Permit, outcome: str, latency_s: float) -> None:
        """Take a slot back and learn from the outcome."""
        held = clock.now() - permit.started
        times = self.hold_times[permit.bulk]
        if outcome == interfaces.SHED and times.mean > held:
            # The upstream had no such slot.  If the slot were free at once,
            # the next request would be shed too, and then the whole queue.
            loop = asyncio.get_running_loop()
            loop.call_later(times.mean - held, self._free, permit, 0.0)
        else:
            self._free(permit, held)
        if outcome not in (interfaces.CANCELLED, interfaces.SHED):
            times.record_hold(held)
        if outcome == interfaces.GOOD:
            times.record_answer(latency_s)
        if not permit.bulk:
            self._update_limit(permit, outcome, latency_s)

    def _free(self, permit: Permit, held: float) -> None:
        """Free a slot and start the next request.

        :param held: slot time charged to the customer, in seconds.
        """
        permit.flow.running -= 1
        self.running -= 1
        self.running_bulk -= permit.bulk
        self.queue.settle(permit.flow, held - permit.cost)
        if permit.fractional:
            self._rest(held, clock.now())
        if self.queue.size:
            self.dispatch()

    def _rest(self, held: float, now: float) -> None:
        """Let the fractional slot rest for the unused part of its time."""
        self.running_fractional -= 1
        fraction = max(self.limit - self.whole_slots, MIN_LIMIT)
        rest = held * (1 - fraction) / fraction
        self.rest_until = now + min(rest, MAX_REST_S)
