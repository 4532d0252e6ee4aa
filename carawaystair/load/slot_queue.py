"""Queue of the requests that wait for a slot of one upstream.

In a burst, or after a loss of upstreams, serving in order of arrival answers
every request late although many could be answered in time.  So requests that
can still meet their response-time goal go first, by priority and then by goal;
those that can't go after them, by deadline, and are served when a slot is
left.  Requests that a running request waits for (inner requests) go before
others of their priority and never count as late: while they wait, the other
request holds a slot for nothing, and if they fail, its work is lost.  They
have the priority of that running request: if they went before all others, an
overloaded service would serve the calls of a less urgent kind and reject more
urgent requests.

Where requests bring customers, those of the same urgency go by the share that
their customer has had, see ``fair_shares``.  Late ones wait as long as their
deadlines allow, see ``slot_use``, and whoever an arrival leaves without a
chance is refused at once: the last in that order, mostly the newest request of
the customer that has most.

No more requests run at once than the upstream has slots, and no more begin
than the rate allows that it asks for.  Requests queued inside the upstream
could no longer be ordered, counted or withdrawn.
"""

import heapq
import math
import typing

from carawaystair.load import fair_shares
from carawaystair.load import rejection
from carawaystair.load import request_rate
from carawaystair.load import route_means
from carawaystair.load import slot_use

# Service time before the first measurement, in seconds.
INITIAL_SERVICE_S = 0.4
# Factor on the service time while an upstream is warming up.
WARMUP_FACTOR = 2.0
# A request that has run longer than expected is assumed to run for this share
# of its expected service time more.
OVERRUN_SHARE = 0.25
# Time constant of the share of slots that went to requests within their goal,
# in seconds: several service times, so that a burst of two seconds does not
# look like a lasting overload.
IN_GOAL_WINDOW_S = 3.0
# Minimum share of slots assumed to be left for late requests, so that no
# expected wait is more than ten times what the queue alone needs.
MIN_LATE_SHARE = 0.1
# The same for requests of customers, of whose late ones no fixed number waits.
MIN_KEYED_LATE_SHARE = 0.05
# Share of the slots from which others count as competing for them.
COMPETING_SHARE = 0.4
# Most of the slots that are assumed to go to those that overtake a request:
# what they take lately may be the peak of a burst.
MAX_OVERTAKING = 0.4


class SlotRequest(typing.NamedTuple):
    """A request for a slot of an upstream.

    :param id: identifies the request.
    :param route: key of its route.
    :param deadline: monotonic time by which the answer is due, in seconds.
    :param goal: monotonic time until which the answer has its full value;
        infinite if it has no goal.
    :param priority: 0 is the most urgent.
    :param inner: whether a running request waits for it.
    :param customer: whose request it is; '' if unknown.
    """

    id: str
    route: str
    deadline: float
    goal: float = math.inf
    priority: int = 0
    inner: bool = False
    customer: str = ''


def durations() -> route_means.RouteMeans:
    """Return new mean service times, in seconds."""
    return route_means.RouteMeans(INITIAL_SERVICE_S)


class SlotQueue:
    """Decides which requests run and which wait at one upstream.

    :param slots: requests that the upstream runs at once.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.rate = request_rate.RequestRate()
        # Start and expected service time of each running request, by its id.
        self.started: dict[str, tuple[float, float]] = {}
        self.waiting: dict[str, SlotRequest] = {}
        # Ids of the waiting requests that were admitted as late.
        self.late: set[str] = set()
        self.durations = durations()
        self.warmup_until = -math.inf
        # Moving share of the slots that went to requests within their goal,
        # and when it was updated.
        self.in_goal_share = 0.0
        self.in_goal_share_at = 0.0
        self.use = slot_use.SlotUse()
        self.shares = fair_shares.Shares()
        # Start tags and expected service times of the waiting requests.
        self.tags: dict[str, tuple[float, float]] = {}

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self.started)

    def may_begin(self, now: float) -> bool:
        """Return whether a request may begin to run."""
        return self.running < self.slots and self.rate.ready(now)

    def expected_service_s(self, route: str, now: float) -> float:
        """Return the expected service time of a request that starts now.

        Where all upstreams of a service restart, the times of warmed-up ones
        would admit twice as many requests as can be served, and most of them
        would wait in vain.
        """
        return self.warmup_factor(now) * self.durations.expected(route)

    def long_service_s(self, route: str, now: float) -> float:
        """Return a service time that few requests which start now exceed."""
        return self.warmup_factor(now) * self.durations.peak(route)

    def warmup_factor(self, at: float) -> float:
        """Return how many times as long runs take that start at a time."""
        return WARMUP_FACTOR if at < self.warmup_until else 1.0

    def record_service_time(
        self, route: str, began: float, took_s: float
    ) -> None:
        """Record the service time of a successful request."""
        self.durations.record(route, took_s / self.warmup_factor(began))

    def request_slot(
        self, request: SlotRequest, now: float, may_wait: bool
    ) -> rejection.Verdict:
        """Decide on a request for a slot.

        :param request: the request.
        :param now: monotonic time in seconds.
        :param may_wait: whether it may wait here if no slot is free.
        """
        if self.may_begin(now) and not self.waiting:
            self._begin(request, now)
            return rejection.Verdict(True)
        wait_s = self.expected_wait_s(request, now)
        service_s = self.expected_service_s(request.route, now)
        late = rejection.would_miss(now, wait_s, service_s, request.goal)
        overtaken_s = wait_s / self._left_by_others(request, now)
        missing = rejection.would_miss(
            now, overtaken_s, service_s, request.goal
        )
        if missing and not request.inner:
            wait_s = self.late_expected_wait_s(wait_s, now, request)
        if not may_wait:
            limited = not self.rate.ready(now)
            reason = rejection.LIMITED if limited else rejection.BUSY
        else:
            reason = self._why_no_wait(request, wait_s, late, now)
        if not reason:
            self._let_wait(request, late, now)
        return rejection.Verdict(False, reason, wait_s)

    def _why_no_wait(
        self, request: SlotRequest, wait_s: float, late: bool, now: float
    ) -> str:
        """Return why a request should not wait here; '' if it should.

        :param wait_s: expected seconds until it would get a slot.
        :param late: whether it would miss its goal.
        """
        service_s = self.expected_service_s(request.route, now)
        if self._has_its_share_waiting(request, now):
            return rejection.DISPLACED
        if rejection.would_miss(now, wait_s, service_s, request.deadline):
            return rejection.HOPELESS
        if late and self._late_room_used(request):
            # Late requests get the slots that others leave.  After a short
            # burst many are left and they are served; under a lasting
            # overload none are left, and they would wait in vain.
            return rejection.HOPELESS
        return rejection.FULL if self._is_full(request, now) else ''

    def _has_its_share_waiting(self, request: SlotRequest, now: float) -> bool:
        """Return whether more than its customer's share is late already.

        What the customer brings now goes after that, and after the requests
        that others bring meanwhile.
        """
        rank, customer = request.priority, request.customer
        if not customer or request.inner:
            return False
        if self.shares.start(rank, customer) <= self.shares.virtual_time(rank):
            return False
        if self.shares.overtaking(rank, customer, now) < COMPETING_SHARE:
            return False
        own = sum(self.waiting[one].customer == customer for one in self.late)
        return own >= self._late_room()

    def _is_full(self, request: SlotRequest, now: float) -> bool:
        """Return whether a request finds no place in the queue.

        One of a customer takes that of the last, if it goes before it.
        """
        if len(self.waiting) < rejection.MAX_WAITING:
            return False
        last = self._last(now)
        return (
            not (request.customer and last.customer)
            or last.inner
            or self.rank(request, now) > self.rank(last, now)
        )

    def _last(self, now: float) -> SlotRequest:
        """Return the waiting request that would go last."""
        return max(self.waiting.values(), key=lambda one: self.rank(one, now))

    def _let_wait(self, request: SlotRequest, late: bool, now: float) -> None:
        self.waiting[request.id] = request
        if late:
            self.late.add(request.id)
        service_s = self.expected_service_s(request.route, now)
        self.tags[request.id] = self._join(request, service_s), service_s

    def _join(self, request: SlotRequest, service_s: float) -> float:
        """Count a request in its customer's share; return its start tag.

        Inner requests go before others of their priority and have none.
        """
        if request.inner:
            return 0.0
        return self.shares.join(request.priority, request.customer, service_s)

    def remove_displaced(self, now: float) -> list[SlotRequest]:
        """Remove requests that those before them leave no chance.

        Only the last in order are looked at, and only those of customers.

        :return: the requests.
        """
        removed: list[SlotRequest] = []
        while self.waiting and self.shares.next_starts:
            last = self._last(now)
            if not last.customer or last.inner:
                break
            full = len(self.waiting) > rejection.MAX_WAITING
            if not full and not self._vain(last, now):
                break
            self.remove(last.id)
            removed.append(last)
        return removed

    def _vain(self, request: SlotRequest, now: float) -> bool:
        """Return whether a waiting request will hardly be served.

        The margin of its admission is left out: what is expected varies, and
        a request that has waited should not be refused for that.
        """
        wait_s = self.expected_wait_s(request, now)
        wait_s /= self._left_by_others(request, now)
        return now + wait_s > self.latest_start(request, now)

    def _left_by_others(self, request: SlotRequest, now: float) -> float:
        """Return the share of the slots that a customer's request is left.

        Those that are more urgent, or whose customers have had less, overtake
        it while it waits.
        """
        if not request.customer:
            return 1.0
        share = self.shares.overtaking(request.priority, request.customer, now)
        return 1.0 - min(max(share, 0.0), MAX_OVERTAKING)

    def _late_room_used(self, request: SlotRequest) -> bool:
        """Return whether no further late request may wait.

        For those of customers the expected wait decides alone: it counts what
        others left for as long as the request may wait.
        """
        return not request.customer and len(self.late) >= self._late_room()

    def _late_room(self) -> float:
        """Return how many late requests may wait."""
        usable = self.rate.concurrency(self.slots, self.durations.mean)
        return rejection.LATE_PER_SLOT * max(usable, 1.0)

    def is_late(self, request: SlotRequest, now: float) -> bool:
        """Return whether a request counts as late."""
        missed = (
            now + self.expected_service_s(request.route, now) > request.goal
        )
        return missed or request.id in self.late

    def expected_wait_s(self, request: SlotRequest, now: float) -> float:
        """Return the expected seconds until a request would get a slot.

        Running requests are expected to take the mean service time of their
        route; the requests ahead take the slots that come free in turn, and
        begin no faster than the rate allows.
        """
        if self.may_begin(now) and not self.waiting:
            return 0.0
        free = [0.0] * max(self.slots - self.running, 0)
        free += [
            _remaining_s(began + service_s - now, service_s)
            for began, service_s in self.started.values()
        ]
        if not free:
            return self.durations.mean
        if self.running > self.slots > 0:
            # Slots were withdrawn; the first that come free are not used.
            free = heapq.nlargest(self.slots, free)
        heapq.heapify(free)
        rank = self.rank(request, now)
        ahead = 0
        for other in self.waiting.values():
            if other is not request and self.rank(other, now) <= rank:
                service_s = self.expected_service_s(other.route, now)
                heapq.heapreplace(free, free[0] + service_s)
                ahead += 1
        return max(free[0], self.rate.wait_s(ahead + 1, now))

    def late_expected_wait_s(
        self, wait_s: float, now: float, request: SlotRequest
    ) -> float:
        """Return the expected wait of a request that will be late.

        Requests within their goal that arrive later overtake it.  While they
        take all slots, it would wait until its deadline in vain, and is better
        rejected at once.  Without this, 15 of 100 requests at 1.5 times the
        load were held for over an eighth of their goal and not served, and 7
        in a burst; with it 7 and 2 (model of gateways).

        :param wait_s: expected wait for the requests that are ahead now.
        :param now: monotonic time in seconds.
        :param request: the late request.
        """
        if request.customer:
            share = self.use.share(request.deadline - now, now)
            return wait_s / max(1.0 - share, MIN_KEYED_LATE_SHARE)
        return wait_s / max(1.0 - self._in_goal_share_now(now), MIN_LATE_SHARE)

    def _in_goal_share_now(self, now: float) -> float:
        return self.in_goal_share * math.exp(
            (self.in_goal_share_at - now) / IN_GOAL_WINDOW_S
        )

    def rank(self, request: SlotRequest, now: float) -> tuple:
        """Return the sort key of a waiting request; the least goes first."""
        late = self.is_late(request, now) and not request.inner
        due = request.deadline if late else request.goal
        tag = 0.0
        if not request.inner:
            tag = self._tag(request)
        return (
            late,
            request.priority,
            not request.inner,
            tag,
            due,
            request.id,
        )

    def _tag(self, request: SlotRequest) -> float:
        """Return the start tag of a request that waits or may do so."""
        found = self.tags.get(request.id)
        if found is not None:
            return found[0]
        return self.shares.start(request.priority, request.customer)

    def remove(self, request: str) -> None:
        """Remove a waiting request."""
        removed = self.waiting.pop(request, None)
        self.late.discard(request)
        if removed is None:
            return
        _tag, service_s = self.tags.pop(request)
        if not removed.inner:
            self.shares.leave(removed.priority, removed.customer, service_s)

    def _begin(self, request: SlotRequest, now: float) -> None:
        service_s = self.expected_service_s(request.route, now)
        if self.waiting.pop(request.id, None) is None:
            tag = self._join(request, service_s)
        else:
            self.late.discard(request.id)
            tag, _service_s = self.tags.pop(request.id)
        usable = self.rate.concurrency(max(self.slots, 1), service_s)
        self.shares.begin(
            request.priority, request.customer, tag, service_s / usable, now
        )
        self.started[request.id] = (now, service_s)
        self.rate.take(now)
        if not self.is_late(request, now):
            share = service_s / (usable * IN_GOAL_WINDOW_S)
            self.in_goal_share = self._in_goal_share_now(now) + share
            self.in_goal_share_at = now
            self.use.record(service_s / usable, now)

    def finish(self, request: str, sent: bool = True) -> None:
        """Free the slot of a running request.

        :param sent: whether it was sent to the upstream.
        """
        del self.started[request]
        if not sent:
            self.rate.refund()

    def remove_hopeless(self, now: float) -> list[str]:
        """Remove the waiting requests that would miss their deadlines.

        :return: their ids.
        """
        removed = []
        for request in sorted(
            self.waiting.values(), key=lambda one: self.rank(one, now)
        ):
            wait_s = self.expected_wait_s(request, now)
            service_s = self.expected_service_s(request.route, now)
            if rejection.would_miss(now, wait_s, service_s, request.deadline):
                self.remove(request.id)
                removed.append(request.id)
        return removed

    def start_waiting(self, now: float) -> list[str]:
        """Give free slots to waiting requests; return the ids that start."""
        started = []
        while self.waiting and self.may_begin(now):
            first = min(
                self.waiting.values(),
                key=lambda request: self.rank(request, now),
            )
            if now > self.latest_start(first, now):
                # Its sender has given up, or is about to.
                self.remove(first.id)
                continue
            self._begin(first, now)
            started.append(first.id)
        return started

    def latest_start(self, request: SlotRequest, now: float) -> float:
        """Return the monotonic time until which a request should wait."""
        service_s = self.expected_service_s(request.route, now)
        return rejection.latest_start(service_s, request.deadline)


def _remaining_s(remaining_s: float, service_s: float) -> float:
    """Return the expected remaining seconds of a running request.

    :param remaining_s: what is left of its expected service time, negative
        if it has run longer.
    :param service_s: its expected service time in seconds.
    """
    return remaining_s if remaining_s > 0.0 else OVERRUN_SHARE * service_s
