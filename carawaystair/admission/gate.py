"""The slots and the queue of one service on this node."""

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

# A fractional slot rests between two requests, but no longer than this.
MAX_REST_S = 5.0
# Smallest fraction of a slot that a node may use.
MIN_LIMIT = 0.02
# Little runs when the limit is this many times as high.
LOW_LOAD_FACTOR = 2
# Weight of a new sample in the mean number of short requests.
DEMAND_SMOOTHING = 1 / 64
# Charged for a request as long as no other has shown its time.
INITIAL_COST_S = 0.05
# Bounds of what callers are told in Retry-After.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0

# Codes after which a caller may be told when to come back.
Result = expression.Result[interfaces.Permit, codes.Failure]


class Permit:
    """Leave to run one request, see ``interfaces.Permit``.

    :param gate: where it came from.
    :param flow: the customer's flow that it is charged to.
    :param bulk: whether it is a long transfer.
    :param fractional: whether it holds the fractional slot.
    :param low_load: whether little ran when it began.
    :param cost: slot time charged at its start, in seconds.
    :param started: monotonic time of its start.
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
        """Give the slot back with what the request showed.

        :param outcome: a constant of ``interfaces``, such as ``GOOD``.
        :param latency_s: from the first byte sent to the last received.
        """
        gate, self.gate = self.gate, None
        # A slot given back twice would let more run than there are slots,
        # and would show only as sheds of upstreams.
        if invariants.check(
            invariants.SLOT_ACCOUNTING, gate is not None, 'released twice'
        ):
            gate.finish(self, outcome, latency_s)


class Gate:
    """The slots and the queue of one service on this node.

    :param service: its name.
    :param flow: makes the flow of a customer, by name; unknown customers
        get one and the same flow.
    :param queue_limit: requests that may wait.
    :param report: called as ``report(kind, text)`` for the time line.
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
        # The slots due to this node, and what is used of them.
        self.share = 0.0
        self.limiter: limiter.Limiter | None = None
        self.limit = 0.0
        self.whole_slots = 0
        self.running = 0
        self.running_bulk = 0
        self.running_fractional = 0
        # Short requests that run or wait, in the mean over starts.
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
        """Start a request at once when a slot is free and nobody waits."""
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
            # An unknown customer shares a flow that may be here already;
            # its own name is not kept, or callers could fill the memory.
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
        """Return why a request can't even wait, or None."""
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
        """Tell whether a request is too late even if it starts now.

        While nothing runs it never is: otherwise one bad estimate would
        refuse all work, and no answer would ever correct it.
        """
        if not self.running:
            return deadline <= now
        return now + self.hold_times[bulk].median >= deadline

    def _make_room(self, flow: fair_queue.Flow) -> codes.Failure | None:
        """Push out the newest of the longest queue, or refuse.

        Dropping from the longest queue (McKenney, 1990) keeps a customer
        that fills the queue from shutting out the others.
        """
        longest = self.queue.longest(flow)
        alone = len(self.queue.backlogged) == 1 and flow.waiting
        code = codes.QUEUE_FULL if alone else codes.CUSTOMER_QUEUE_FULL
        if longest is flow:
            return self.refuse(code, flow)
        victim = longest.newest()
        self._fail(victim, codes.CUSTOMER_QUEUE_FULL)
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
        # From then on it could not finish in time any more.
        latest = deadline - self.hold_times[bulk].median
        waiter.timer = loop.call_at(latest, self._expire, waiter)
        self.queue.push(waiter)
        self.queued += 1
        return waiter

    def _expire(self, waiter: fair_queue.Waiter) -> None:
        self._fail(waiter, codes.DEADLINE_PASSED)

    def _fail(self, waiter: fair_queue.Waiter, code: codes.Code) -> None:
        """Give a waiter its final answer."""
        self._dequeue(waiter)
        if not waiter.future.done():
            failure = self.refuse(code, waiter.flow)
            waiter.future.set_result(expression.Error(failure))

    def _dequeue(self, waiter: fair_queue.Waiter) -> None:
        """Take a waiter out of the queue."""
        self.queue.remove(waiter)
        waiter.timer.cancel()

    def _abandon(self, waiter: fair_queue.Waiter) -> None:
        """Free the place of a caller that went away.

        It may have been given a slot just before: that would be lost for
        good if nobody gave it back.
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
        """Refuse everyone who waits, as this node stops."""
        for waiter in self.queue.waiters():
            self._fail(waiter, code)

    def dispatch(self) -> None:
        """Start those whose turn it is while there are slots."""
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
        """Come back when the fractional slot has rested."""
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
        """Change the slots that are due to this node.

        :param share: slots; a fraction is used for that part of the time.
        """
        self.share = share
        factor = self.limiter.factor if self.limiter is not None else 1.0
        self._set_limit(factor)

    def _set_limit(self, factor: float) -> None:
        """Use a multiple of the share, but no less than one slot of it."""
        self.limit = max(self.share * factor, min(self.share, 1.0))
        self.whole_slots = int(self.limit)
        if self.queue.size:
            self.dispatch()

    def _update_limit(
        self, permit: Permit, outcome: str, latency_s: float
    ) -> None:
        """Let answers show how many slots there truly are."""
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
        """Tell whether a slot is free."""
        if self.running - self.running_fractional < self.whole_slots:
            return True
        fraction = self.limit - self.whole_slots
        free = not self.running_fractional and now >= self.rest_until
        return fraction >= MIN_LIMIT and free

    def _kind_may_start(self, bulk: bool) -> bool:
        """Tell whether one more request of this kind may run.

        Long transfers would hold every slot for seconds while short queries
        wait.  So they leave free what short requests were measured to need,
        with one standard deviation of a Poisson number on top, and at least
        one slot.
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
        """Take a slot back and give it to the next in turn."""
        held = clock.now() - permit.started
        times = self.hold_times[permit.bulk]
        if outcome == interfaces.SHED and times.mean > held:
            # An upstream had no such slot.  Were it free at once, the next
            # in turn would be shed too, and a whole queue within moments.
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
        """Give a slot to the next in turn.

        :param held: slot time that the customer is charged, in seconds.
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
        """Let the fractional slot rest, so that its mean use is right."""
        self.running_fractional -= 1
        fraction = max(self.limit - self.whole_slots, MIN_LIMIT)
        rest = held * (1 - fraction) / fraction
        self.rest_until = now + min(rest, MAX_REST_S)
