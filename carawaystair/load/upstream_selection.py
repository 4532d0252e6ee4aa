"""Selection of the upstream that a request is offered to.

Upstreams differ in speed, some are full and some are gray, and each node sees
each of them only now and then.  A node learns of an upstream from every answer
and refusal of its gateway, and this ages: with 27 nodes and 45 requests a
second a node hears of an upstream every few seconds, while its load changes
ten times a second.  So the selection only needs to be good on average, because
the gateway decides: it refuses at once if it has no free slot, or if the
request has a lower value there than the node expects at another upstream.  The
node goes on asking while an upstream that it has not asked has a higher
expected value than those that have refused.
"""

import math
import random
import typing

from carawaystair.load import expected_room
from carawaystair.load import failure_estimate
from carawaystair.load import locality as localities
from carawaystair.load import request_value
from carawaystair.load import route_means
from carawaystair.load import slot_queue

# Time constant with which a reported load decays, in seconds; about one
# service time.
LOAD_DECAY_S = 0.5
# Expected wait at an upstream whose slots are all in use as far as is known,
# in seconds.
FULL_SLOTS_WAIT_S = 0.3
# Idle time from which an upstream counts as unknown, in seconds: other nodes
# may or may not have sent requests to it since.
UNKNOWN_IDLE_S = 1.0
# Factor on the value at an upstream whose gateway can't be reached directly:
# the detour through a third node may fail as well.
DETOUR_VALUE_SHARE = 0.5
# Upstreams whose values differ by no more than this are chosen between at
# random.  Otherwise the best one would get all requests of a node until its
# next report.
EQUAL_VALUE_MARGIN = 0.02


class LoadReport(typing.NamedTuple):
    """A gateway's report on its upstream, sent with every answer.

    :param process: identifies the start of the gateway's process.
    :param likely_failing: whether the upstream is more likely to fail the next
        request than not.
    :param running: number of requests that run at the upstream.
    :param waiting: number of requests that wait for a slot.
    :param slots: requests that the upstream runs at once.
    :param wait_ms: expected wait of one more request, in ms.
    :param service_ms: mean service time, in ms.
    :param idle_ms: time since a run last began, in ms.
    :param route_ms: mean service time of the requested route, in ms, which
        may be a tenth of that of other routes; 0 if none was measured.
    :param incarnation: the incarnation of the upstream, 0 if there is none.
    :param failure_permille: probability that the next request fails, in
        thousandths; negative if not reported.
    :param typical_failure_permille: the same for an upstream without
        observations.
    :param read_ms: when the gateway read the request, in ms since the start of
        its host; 0 if not reported.
    :param limit_milli: requests that the upstream takes from the whole fleet,
        in thousandths a second; 0 while it states no limit.
    :param pause_ms: for how long it should be offered no more requests because
        of its limit, in ms.
    :param leaving: whether the upstream stated in an answer that it leaves.
    """

    process: str
    likely_failing: bool
    running: int
    waiting: int
    slots: int
    wait_ms: int
    service_ms: int
    idle_ms: int
    route_ms: int = 0
    incarnation: int = 0
    failure_permille: int = -1
    typical_failure_permille: int = int(
        1000 * failure_estimate.UNOBSERVED_FAILURE_PROBABILITY
    )
    read_ms: int = 0
    limit_milli: int = 0
    pause_ms: int = 0
    leaving: bool = False


class Candidate(typing.NamedTuple):
    """An upstream that may get a request.

    :param id: id of the upstream.
    :param same_data_centre: whether it is in this node's data centre.
    :param slots: requests that it runs at once.
    :param warming_up: whether it is warming up.
    """

    id: str
    same_data_centre: bool
    slots: int
    warming_up: bool = False


class Choice(typing.NamedTuple):
    """The upstream selected for a request.

    :param candidate: the upstream.
    :param min_value: the value there needed to accept the request, 0 to 1.
    :param retry_value: its value after a failure there, 0 to 1.
    """

    candidate: Candidate
    min_value: float
    retry_value: float = 0.0


class UpstreamState:
    """The state of one upstream as known to this node."""

    __slots__ = (
        'reported_at',
        'incarnation',
        'in_flight',
        'reachable',
        'report',
        'route',
    )

    def __init__(self, incarnation: int = 0) -> None:
        # 0 while unknown.
        self.incarnation = incarnation
        self.report: LoadReport | None = None
        # Key of the route that the report is about, and when it came.
        self.route = ''
        self.reported_at = 0.0
        # Requests of this node that are at the upstream or its gateway.
        self.in_flight = 0
        # Whether its gateway can be reached directly.
        self.reachable = True


class UpstreamSelector:
    """Selects upstreams by the states known to this node.

    :param rng: source of randomness.
    :param locality: the preference for the own data centre.
    """

    def __init__(
        self,
        rng: random.Random,
        locality: localities.Locality = localities.DEFAULT,
    ) -> None:
        self.rng = rng
        self.locality = locality
        self.states: dict[str, UpstreamState] = {}
        # Service times of routes, as reported for all upstreams.
        self.durations = slot_queue.durations()
        # Sizes of the answers of routes, in bytes.
        self.answer_sizes = route_means.RouteMeans(0.0)
        self.room = expected_room.ExpectedRoom()

    def state(self, upstream: str) -> UpstreamState:
        """Return the state of an upstream, creating it if unknown."""
        found = self.states.get(upstream)
        if found is None:
            found = self.states[upstream] = UpstreamState()
        return found

    def knows_read_time(self, upstream: str) -> bool:
        """Return whether a gateway reports when it reads requests."""
        state = self.states.get(upstream)
        report = None if state is None else state.report
        return report is not None and report.read_ms > 0

    def forget(self, upstream: str) -> None:
        """Remove an upstream that is gone."""
        self.states.pop(upstream, None)

    def start_incarnation(self, upstream: str, incarnation: int) -> None:
        """Reset the state of an upstream if the incarnation is newer.

        Requests sent to the former incarnation no longer count.  Whether the
        gateway can be reached is kept: it doesn't depend on the upstream.
        """
        former = self.state(upstream)
        if not former.incarnation:
            former.incarnation = incarnation
        if incarnation <= former.incarnation:
            return
        state = self.states[upstream] = UpstreamState(incarnation)
        state.reachable = former.reachable

    def record_report(
        self, upstream: str, report: LoadReport, now: float, route: str = ''
    ) -> None:
        """Record a report.

        One of a former incarnation is ignored: it may arrive after news of the
        new one.

        :param upstream: id of the upstream.
        :param report: the report.
        :param now: monotonic time in seconds.
        :param route: key of the requested route.
        """
        if report.incarnation:
            self.start_incarnation(upstream, report.incarnation)
        state = self.state(upstream)
        if report.incarnation < state.incarnation:
            return
        state.report = report
        state.route = route
        state.reported_at = now
        self.room.record(report.running + report.waiting, report.slots)
        if report.route_ms:
            self.durations.record(route, report.route_ms / 1000)

    def choose(
        self,
        candidates: typing.Iterable[Candidate],
        tried: typing.Container[str],
        refused: typing.Container[str],
        now: float,
        need: request_value.Need,
        route: str = '',
        size: float = 0.0,
        trial: bool = False,
        explore: bool = False,
        far_share: float = localities.FAR_TRIAL_SHARE,
    ) -> Choice | None:
        """Return the upstream to offer a request to.

        None if all were asked, or if the request has a higher value at one
        that refused than it is expected to have at any other.

        :param candidates: upstreams that take requests.
        :param tried: ids of the upstreams that were asked.
        :param refused: ids of those of them at which it might wait.
        :param now: monotonic time in seconds.
        :param need: the needs of the request.
        :param route: key of its route.
        :param size: size of its body in bytes.
        :param trial: whether to prefer an upstream that has been idle as far
            as is known, to learn its state.
        :param explore: whether upstreams without a recent report get an equal
            chance.
        :param far_share: probability that ``trial`` and ``explore`` are not
            limited to the own data centre where requests stay there.
        """
        candidates = list(candidates)
        need = need._replace(
            retry_value=self._retry_value(candidates, need, now, route)
        )
        stays = self._stays(candidates, refused, trial or explore, far_share)
        bonus = self._home_bonus(route, size) if stays else 0.0
        rated = [
            (
                self.expected_value(one, need, now, route)
                + bonus * one.same_data_centre,
                one,
            )
            for one in candidates
        ]
        untried = [pair for pair in rated if pair[1].id not in tried]
        if not untried:
            return None
        # Staying at home is worth no wait.
        waiting_bonus = bonus if self.locality.home_first else 0.0
        declined = [
            (value - waiting_bonus * one.same_data_centre, one)
            for value, one in rated
            if one.id in refused
        ]
        known = [value for value, _one in declined]
        best = max(value for value, _one in untried)
        if max(known, default=0.0) > best and not self._asks_on(declined, now):
            return None
        if known and max(known) >= best - EQUAL_VALUE_MARGIN:
            untried = self._worth_asking(untried, now)
            if not untried:
                return None
            best = max(value for value, _one in untried)
        if stays and self.locality.home_first:
            untried = self._nearest(untried, best)
        chosen = self._draw(untried, best, now, trial, explore)
        others = [
            value
            for value, one in rated
            if one.id not in tried and one.id != chosen.id
        ]
        min_value = max(others + known, default=0.0) - EQUAL_VALUE_MARGIN
        min_value -= bonus * chosen.same_data_centre
        return Choice(chosen, max(min_value, 0.0), need.retry_value)

    def _retry_value(
        self,
        candidates: typing.Iterable[Candidate],
        need: request_value.Need,
        now: float,
        route: str,
    ) -> float:
        """Return the value of a request after a failure.

        It is nearly the full value while upstreams have free slots, and little
        when they are full.
        """
        if need.final:
            return 0.0
        final = need._replace(final=True)
        best = max(
            (
                self.expected_value(one, final, now, route)
                for one in candidates
            ),
            default=0.0,
        )
        return request_value.RETRY_VALUE_SHARE * best

    def _draw(
        self,
        untried: list[tuple[float, Candidate]],
        best: float,
        now: float,
        trial: bool,
        explore: bool,
    ) -> Candidate:
        """Choose at random between equal values, or unknown upstreams."""
        equal = [
            one for value, one in untried if value >= best - EQUAL_VALUE_MARGIN
        ]
        if not trial and not explore:
            return self._draw_equal(equal, now)
        unknown = [
            one
            for _value, one in untried
            if self.idle_s(one, now) >= UNKNOWN_IDLE_S
            and self._reachable(one)
            and not self._pauses(one, now)
            and (explore or not self._left_to_others(one, now))
        ]
        if trial:
            return self._draw_equal(unknown or equal, now)
        return self.rng.choice([*unknown, self._draw_equal(equal, now)])

    def _draw_equal(self, equal: list[Candidate], now: float) -> Candidate:
        """Choose one of several upstreams whose values are equal.

        Where requests stay at home it is that of two that has more room:
        values hardly differ by it before an upstream is full.
        """
        if not self.locality.home_first or len(equal) < 2:
            return self.rng.choice(equal)
        return min(
            self.rng.sample(equal, 2),
            key=lambda one: self.occupancy(one, now),
        )

    def occupancy(self, candidate: Candidate, now: float) -> float:
        """Return the expected occupancy of an upstream, in requests a slot."""
        state = self.states.get(candidate.id)
        if state is None:
            return self.room.mean
        slots = max(candidate.slots, 1)
        least = state.in_flight / slots
        report = state.report
        if report is None:
            return max(self.room.mean, least)
        return max(
            self.room.occupancy(
                report.running + report.waiting,
                slots,
                report.service_ms / 1000,
                now - state.reported_at,
            ),
            least,
        )

    def expected_value(
        self,
        candidate: Candidate,
        need: request_value.Need,
        now: float,
        route: str = '',
    ) -> float:
        """Return the expected value of offering a request, 0 to 1.

        :param candidate: the upstream.
        :param need: the needs of the request.
        :param now: monotonic time in seconds.
        :param route: key of its route.
        """
        state = self.states.get(candidate.id)
        report = None if state is None else state.report
        failure_probability = failure_estimate.UNOBSERVED_FAILURE_PROBABILITY
        service_s = self.durations.expected(route)
        if report is not None:
            failure_probability = reported_failure_probability(
                report, now - state.reported_at
            )
            if state.route == route and report.route_ms:
                service_s = report.route_ms / 1000
        if candidate.warming_up:
            service_s = max(
                service_s,
                slot_queue.WARMUP_FACTOR * self.durations.expected(route),
            )
        answer_s = self.expected_wait_s(candidate, now) + service_s
        value = request_value.expected_value(
            failure_probability, answer_s, need
        )
        return (
            value if self._reachable(candidate) else DETOUR_VALUE_SHARE * value
        )

    def _stays(
        self,
        candidates: typing.Iterable[Candidate],
        refused: typing.Container[str],
        learns: bool,
        far_share: float,
    ) -> bool:
        """Return whether upstreams at home are preferred for an offer.

        :param learns: whether the offer is to learn the state of upstreams.
        :param far_share: see :meth:`choose`.
        """
        if not self.locality.home_first:
            return True
        refused_at_home = sum(
            one.same_data_centre and one.id in refused for one in candidates
        )
        if refused_at_home >= localities.MAX_REFUSED_AT_HOME:
            return False
        return not (learns and self.rng.random() < far_share)

    def _worth_asking(
        self, untried: list[tuple[float, Candidate]], now: float
    ) -> list[tuple[float, Candidate]]:
        """Return the upstreams to ask though it might as well wait.

        Each refusal from another data centre costs as much as a short answer.
        While all upstreams are expected to be full a few offers still go out,
        which show when this ends.
        """
        if (
            not self.locality.home_first
            or self.rng.random() < localities.FULL_ASKED_SHARE
        ):
            return untried
        return [
            pair
            for pair in untried
            if pair[1].same_data_centre
            or self.occupancy(pair[1], now) < localities.FULL_OCCUPANCY
        ]

    def _asks_on(
        self, declined: list[tuple[float, Candidate]], now: float
    ) -> bool:
        """Return whether to ask others rather than wait where it is best.

        Little is known of upstreams in other data centres while requests stay
        at home.  Their gateways know, and accept what would wait here only
        where it is worth more.
        """
        best = max(declined, key=lambda pair: pair[0])[1]
        return (
            self.locality.home_first
            and self.expected_wait_s(best, now) > localities.MAX_WAIT_S
        )

    def _nearest(
        self, untried: list[tuple[float, Candidate]], best: float
    ) -> list[tuple[float, Candidate]]:
        """Return the upstreams at home if one of them is among the best."""
        near = [pair for pair in untried if pair[1].same_data_centre]
        least = best - EQUAL_VALUE_MARGIN
        return near if any(value >= least for value, _ in near) else untried

    def _home_bonus(self, route: str, size: float) -> float:
        """Return the bonus of an upstream in the same data centre."""
        return self.locality.home_bonus(
            size + self.answer_sizes.expected(route)
        )

    def _reachable(self, candidate: Candidate) -> bool:
        state = self.states.get(candidate.id)
        return state is None or state.reachable

    def _left_to_others(self, candidate: Candidate, now: float) -> bool:
        """Return whether nodes near an upstream should try it.

        Those in its data centre do while it is likely to fail, unless so many
        requests fail that all upstreams are needed.
        """
        state = self.states.get(candidate.id)
        if (
            not self.locality.home_first
            or candidate.same_data_centre
            or state is None
            or state.report is None
        ):
            return False
        age_s = now - state.reported_at
        probability = reported_failure_probability(state.report, age_s)
        return probability > failure_estimate.SUSPECT_PROBABILITY

    def _pauses(self, candidate: Candidate, now: float) -> bool:
        """Return whether an upstream takes no more because of its limit."""
        state = self.states.get(candidate.id)
        if state is None or state.report is None:
            return False
        return now < state.reported_at + state.report.pause_ms / 1000

    def expected_wait_s(self, candidate: Candidate, now: float) -> float:
        """Return the expected seconds until a request gets a slot."""
        state = self.states.get(candidate.id)
        if state is None:
            return 0.0
        slots = candidate.slots
        if state.report is not None and state.report.slots:
            # Its gateway may offer fewer than it announces.
            slots = min(slots, state.report.slots)
        slots = max(slots, 1)
        in_flight_wait_s = FULL_SLOTS_WAIT_S * state.in_flight / slots
        if state.report is None:
            return in_flight_wait_s
        if self._pauses(candidate, now):
            return max(state.report.wait_ms, state.report.pause_ms) / 1000
        decay = math.exp((state.reported_at - now) / LOAD_DECAY_S)
        load = max(
            state.report.running + state.report.waiting, state.in_flight
        )
        return (
            decay * state.report.wait_ms / 1000
            + FULL_SLOTS_WAIT_S * load / slots
        )

    def load(self, candidate: Candidate, now: float) -> int:
        """Return how many requests an upstream has, as far as is known."""
        state = self.states.get(candidate.id)
        if state is None:
            return 0
        if state.report is None or now - state.reported_at > LOAD_DECAY_S:
            return state.in_flight
        return max(
            state.report.running + state.report.waiting, state.in_flight
        )

    def idle_s(self, candidate: Candidate, now: float) -> float:
        """Return how long an upstream has been idle, as far as is known.

        In seconds; infinite without a report.
        """
        state = self.states.get(candidate.id)
        if state is None or state.report is None:
            return math.inf
        return state.report.idle_ms / 1000 + now - state.reported_at


def reported_failure_probability(report: LoadReport, age_s: float) -> float:
    """Return the present failure probability by a report.

    :param report: the report.
    :param age_s: its age in seconds.
    """
    typical = report.typical_failure_permille / 1000
    if report.failure_permille < 0:
        # Gateways of an older version report only this.
        reported = 1.0 - typical if report.likely_failing else typical
    else:
        reported = report.failure_permille / 1000
    return failure_estimate.decayed_failure_probability(
        reported, typical, age_s
    )
