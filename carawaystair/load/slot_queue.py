"""The requests that wait for a slot of one upstream.

The load that this answers: a burst, or upstreams lost, for some seconds.  In
order of arrival every request is then answered late, although there is room
to answer many in time.  So those that can still meet their response-time goal
go first, the most urgent kind before others, then by goal; those that can't
come after them, by deadline, and are still served when a slot is left.
Requests that a running one waits for go before others of the same rank, and
are never late: while they wait, the slot of the other one is held for nothing,
and if they fail, all its work is lost.  Their rank is that of the running
request: were they to go before all, a service that is overloaded would serve
the calls of a less urgent kind and reject the more urgent one.

No more run at once than the upstream has slots.  What it would queue by
itself can't be ordered, counted or taken back any more.
"""

import heapq
import math
import typing

from carawaystair.load import rejection
from carawaystair.load import route_means

# Expected seconds of work where nothing has been seen yet.
INITIAL_SERVICE_S = 0.4
# An upstream that is still warming up takes so many times longer.
WARMUP_FACTOR = 2.0
# One that runs longer than its route usually takes is expected to take this
# share of that time more.
OVERRUN_SHARE = 0.25
# How far back it is looked which part of the slots went to requests in goal,
# seconds: some service times, so that a burst of two seconds does not look
# like an overload that stays.
IN_GOAL_WINDOW_S = 3.0
# Late requests get this part of the slots at least, as is reckoned: no wait
# is reckoned at more than ten times what stands in line.
MIN_LATE_SHARE = 0.1


class SlotRequest(typing.NamedTuple):
    """What a request wants of an upstream.

    :param id: names the request.
    :param route: key of its route.
    :param deadline: monotonic time by which the answer is owed.
    :param goal: monotonic time until which the answer is worth most;
        infinite where it has no goal.
    :param priority: rank of its kind, 0 first.
    :param inner: whether another running request waits for it.
    """

    id: str
    route: str
    deadline: float
    goal: float = math.inf
    priority: int = 0
    inner: bool = False


def durations() -> route_means.RouteMeans:
    """Return means of service times, in seconds."""
    return route_means.RouteMeans(INITIAL_SERVICE_S)


class SlotQueue:
    """Decides who runs and who waits at one upstream.

    :param slots: requests that the upstream works on at once.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        # When each request that runs began, and how long it should take.
        self.started: dict[str, tuple[float, float]] = {}
        self.waiting: dict[str, SlotRequest] = {}
        # Those that were let in although they will miss their goals.
        self.late: set[str] = set()
        self.durations = durations()
        # Until when the upstream is still warming up.
        self.warmup_until = -math.inf
        # Part of the slots that went to requests in goal lately, and when it
        # was last reckoned.
        self.in_goal_share = 0.0
        self.in_goal_share_at = 0.0

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self.started)

    def expected_service_s(self, route: str, now: float) -> float:
        """Return how long a request that begins now should take, seconds.

        Where all upstreams of a service start again, what waits for them is
        held against this: reckoned by what warm ones take, twice as much is
        let in as can be served, and most of it is held in vain.
        """
        factor = WARMUP_FACTOR if now < self.warmup_until else 1.0
        return factor * self.durations.expected(route)

    def record_service_time(
        self, route: str, began: float, took_s: float
    ) -> None:
        """Take note of what a request took that came to a good end."""
        factor = WARMUP_FACTOR if began < self.warmup_until else 1.0
        self.durations.record(route, took_s / factor)

    def request_slot(
        self, want: SlotRequest, now: float, may_wait: bool
    ) -> rejection.Verdict:
        """Decide on a request that asks for a slot.

        :param may_wait: whether it stays here when there is no free one.
        """
        if self.running < self.slots and not self.waiting:
            self._begin(want, now)
            return rejection.Verdict(True)
        wait_s = self.expected_wait_s(want, now)
        service_s = self.expected_service_s(want.route, now)
        reason = ''
        late = rejection.would_miss(now, wait_s, service_s, want.goal)
        if late and not want.inner:
            wait_s = self.late_expected_wait_s(wait_s, now)
        if not may_wait:
            reason = rejection.BUSY
        elif rejection.would_miss(now, wait_s, service_s, want.deadline):
            reason = rejection.HOPELESS
        elif late and len(self.late) >= rejection.LATE_PER_SLOT * self.slots:
            # Those that are late get what others leave.  After a short burst
            # that is much, and they are served; while the load stays too
            # high it is nothing, and each is held for nothing.
            reason = rejection.HOPELESS
        elif len(self.waiting) >= rejection.MAX_WAITING:
            reason = rejection.FULL
        else:
            self.waiting[want.id] = want
            if late:
                self.late.add(want.id)
        return rejection.Verdict(False, reason, wait_s)

    def is_late(self, want: SlotRequest, now: float) -> bool:
        """Tell whether a request is to be answered after its goal."""
        missed = now + self.expected_service_s(want.route, now) > want.goal
        return missed or want.id in self.late

    def expected_wait_s(self, want: SlotRequest, now: float) -> float:
        """Return the expected seconds until a request would have a slot.

        What runs is expected to end when its route usually does; those ahead
        take the slots that come free, one after the other.
        """
        if self.running < self.slots and not self.waiting:
            return 0.0
        free = [0.0] * max(self.slots - self.running, 0)
        free += [
            _left_s(began + takes_s - now, takes_s)
            for began, takes_s in self.started.values()
        ]
        if not free:
            return self.durations.mean
        heapq.heapify(free)
        mine = self.rank(want, now)
        for other in self.waiting.values():
            if self.rank(other, now) <= mine:
                takes_s = self.expected_service_s(other.route, now)
                heapq.heapreplace(free, free[0] + takes_s)
        return free[0]

    def late_expected_wait_s(self, wait_s: float, now: float) -> float:
        """Return the expected wait of a request that will be late.

        Those in goal that are yet to come overtake it.  While they take all
        slots it would wait until its deadline for nothing, and is better
        told at once.  Without this, 15 of 100 requests at 1.5 times the load
        were held for over an eighth of their goal and not served after all,
        and 7 in a burst; with it 7 and 2 (model of gateways, bench).

        :param wait_s: until those that are here now have had their slots.
        """
        return wait_s / max(1.0 - self._in_goal_share_now(now), MIN_LATE_SHARE)

    def _in_goal_share_now(self, now: float) -> float:
        return self.in_goal_share * math.exp(
            (self.in_goal_share_at - now) / IN_GOAL_WINDOW_S
        )

    def rank(self, want: SlotRequest, now: float) -> tuple:
        """Return what orders the requests that wait; the least goes first."""
        late = self.is_late(want, now) and not want.inner
        due = want.deadline if late else want.goal
        return (late, want.priority, not want.inner, due, want.id)

    def remove(self, request: str) -> None:
        """Forget a request that waits no more."""
        self.waiting.pop(request, None)
        self.late.discard(request)

    def _begin(self, want: SlotRequest, now: float) -> None:
        takes_s = self.expected_service_s(want.route, now)
        self.started[want.id] = (now, takes_s)
        if not self.is_late(want, now):
            share = takes_s / (max(self.slots, 1) * IN_GOAL_WINDOW_S)
            self.in_goal_share = self._in_goal_share_now(now) + share
            self.in_goal_share_at = now

    def finish(self, request: str) -> None:
        """Take note that a request that ran has ended."""
        del self.started[request]

    def start_waiting(self, now: float) -> list[str]:
        """Return who gets the free slots now; they count as running."""
        started = []
        while self.running < self.slots and self.waiting:
            first = min(
                self.waiting.values(), key=lambda want: self.rank(want, now)
            )
            self.remove(first.id)
            if now > self.latest_start(first, now):
                # Whoever waits for it has given up, or is about to.
                continue
            self._begin(first, now)
            started.append(first.id)
        return started

    def latest_start(self, want: SlotRequest, now: float) -> float:
        """Return until when it makes sense for a request to wait."""
        service_s = self.expected_service_s(want.route, now)
        return rejection.latest_start(service_s, want.deadline)


def _left_s(left_s: float, takes_s: float) -> float:
    """Return the seconds that a request should still run."""
    return left_s if left_s > 0.0 else OVERRUN_SHARE * takes_s
