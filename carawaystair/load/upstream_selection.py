"""Which upstream a request is offered to.

The load that this answers: upstreams differ in speed, some are full, some are
gray, and every node sees each of them only now and then.  What a node knows
comes with each answer and each refusal of a gateway, and it ages: with 27
nodes and 45 requests a second a node hears of one upstream every few seconds,
while its load changes ten times a second.  So the choice needs only to be
good on average, because the gateway that is asked decides: it refuses at once
when it has no free slot, or is worth less than what the node expects of
another one.  The node asks on while it expects more of those that it has not
asked than of those that have refused.
"""

import math
import random
import typing

from carawaystair.load import failure_estimate
from carawaystair.load import request_value
from carawaystair.load import route_means
from carawaystair.load import slot_queue

# What a gateway said of its load fades over so long, seconds; about one
# service time.
LOAD_DECAY_S = 0.5
# An upstream whose slots are all in use, as far as is known, should make a
# request wait for so long if that is so, seconds.
FULL_SLOTS_WAIT_S = 0.3
# What a node heard of an upstream so long ago or longer tells it no more than
# nothing does, seconds: whether others had work for it since is not known.
UNKNOWN_IDLE_S = 1.0
# An upstream in the same data centre may be worth so much less, and for each
# KB of a request and its answer so much more, up to a bound: bytes between
# data centres cost time and money.
SAME_DATA_CENTRE_BONUS = 0.01
BONUS_PER_KB = 0.002
MAX_BONUS = 0.15
# An upstream whose gateway can't be reached directly is worth this part of
# what it would be: the way through a third node may fail as well.
DETOUR_VALUE_SHARE = 0.5
# Upstreams that are worth so nearly the same are drawn by lot.  Were the best
# one taken, all that a node sends would meet it until its next report.
EQUAL_VALUE_MARGIN = 0.02


class LoadReport(typing.NamedTuple):
    """What a gateway says of its upstream, with every answer.

    :param process: names the start of the gateway's process.
    :param suspect: whether the upstream is more likely to fail than not.
    :param running: requests that run at it.
    :param waiting: requests that wait for it.
    :param slots: requests that it works on at once.
    :param wait_ms: expected wait of one more request, ms.
    :param service_ms: mean service time, ms.
    :param idle_ms: time since it last began a run, ms.
    :param route_ms: mean service time of the route that was asked for, ms;
        it may be a tenth of that of others; 0 where none was seen.
    :param incarnation: the life of the upstream that this is about, 0 where
        none stands.
    :param failing: how likely it fails the next request, in thousandths;
        negative where that is not said.
    :param usual: how likely that is where nothing is known of an upstream,
        in thousandths.
    :param read_ms: when the gateway read the request, ms since the start of
        its host; 0 where it is not said.
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


class Candidate(typing.NamedTuple):
    """An upstream that may get a request.

    :param id: the upstream.
    :param near: whether it stands in this node's data centre.
    :param slots: requests that it works on at once.
    :param cold: whether it is still warming up.
    """

    id: str
    same_data_centre: bool
    slots: int
    warming_up: bool = False


class Choice(typing.NamedTuple):
    """The upstream to offer a request to.

    :param candidate: the upstream.
    :param least: what it must be worth there to be taken, 0 to 1.
    :param again: what it is worth if it fails there, 0 to 1.
    """

    candidate: Candidate
    min_value: float
    retry_value: float = 0.0


class UpstreamState:
    """What this node knows of one upstream."""

    __slots__ = (
        'in_flight',
        'incarnation',
        'reachable',
        'report',
        'reported_at',
        'route',
    )

    def __init__(self, incarnation: int = 0) -> None:
        # The life that it is about, 0 while that is not known.
        self.incarnation = incarnation
        self.report: LoadReport | None = None
        # Key of the route that it was told for, and when.
        self.route = ''
        self.reported_at = 0.0
        # Requests of this node that are with it now.
        self.in_flight = 0
        # Whether its gateway answers on the direct way.
        self.reachable = True


class UpstreamSelector:
    """What this node knows of all upstreams that it sends to.

    :param rng: the source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.states: dict[str, UpstreamState] = {}
        # Service times of routes, as all upstreams tell them.
        self.durations = slot_queue.durations()
        # And the bytes of their answers.
        self.answer_sizes = route_means.RouteMeans(0.0)

    def state(self, upstream: str) -> UpstreamState:
        """Return what is known of an upstream."""
        found = self.states.get(upstream)
        if found is None:
            found = self.states[upstream] = UpstreamState()
        return found

    def knows_read_time(self, upstream: str) -> bool:
        """Tell whether a gateway has said when it reads its requests."""
        view = self.states.get(upstream)
        report = None if view is None else view.report
        return report is not None and report.read_ms > 0

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is gone."""
        self.states.pop(upstream, None)

    def start_incarnation(self, upstream: str, incarnation: int) -> None:
        """Begin anew with an upstream of which a newer life is known.

        Requests that are with the former life count no more; only whether
        its gateway answers is not the upstream's.
        """
        former = self.state(upstream)
        if not former.incarnation:
            former.incarnation = incarnation
        if incarnation <= former.incarnation:
            return
        view = self.states[upstream] = UpstreamState(incarnation)
        view.reachable = former.reachable

    def record_report(
        self, upstream: str, report: LoadReport, now: float, route: str = ''
    ) -> None:
        """Take note of a report.

        One of a former life may be overtaken by the news of the new one.

        :param route: key of the route that was asked for.
        """
        if report.incarnation:
            self.start_incarnation(upstream, report.incarnation)
        view = self.state(upstream)
        if report.incarnation < view.incarnation:
            return
        view.report = report
        view.route = route
        view.reported_at = now
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
        spread: bool = False,
    ) -> Choice | None:
        """Return the upstream to offer a request to.

        None when all were tried, or when one that refused is worth more than
        any other is expected to be.

        :param tried: upstreams that were asked.
        :param refused: those of them at which it might wait.
        :param route: key of its route.
        :param size: bytes of its body.
        :param trial: whether it goes to one that had no work for some time,
            as far as is known, to show how that one does.
        :param spread: whether those of which nothing was heard lately have
            an equal chance.
        """
        candidates = list(candidates)
        need = need._replace(
            retry_value=self._retry_value(candidates, need, now, route)
        )
        near = self._data_centre_bonus(route, size)
        rated = [
            (
                self.expected_value(one, need, now, route)
                + near * one.same_data_centre,
                one,
            )
            for one in candidates
        ]
        left = [pair for pair in rated if pair[1].id not in tried]
        if not left:
            return None
        known = [worth for worth, one in rated if one.id in refused]
        best = max(worth for worth, _one in left)
        if max(known, default=0.0) > best:
            return None
        chosen = self._draw(left, best, now, trial, spread)
        others = [worth for worth, one in left if one.id != chosen.id]
        least = max(others + known, default=0.0) - EQUAL_VALUE_MARGIN
        least -= near * chosen.same_data_centre
        return Choice(chosen, max(least, 0.0), need.retry_value)

    def _retry_value(
        self,
        candidates: typing.Iterable[Candidate],
        need: request_value.Need,
        now: float,
        route: str,
    ) -> float:
        """Return what a request is worth if it fails at the first upstream.

        While upstreams have room, nearly all; when they are full, little.
        """
        if need.final:
            return 0.0
        last = need._replace(final=True)
        best = max(
            (self.expected_value(one, last, now, route) for one in candidates),
            default=0.0,
        )
        return request_value.RETRY_VALUE_SHARE * best

    def _draw(
        self,
        left: list[tuple[float, Candidate]],
        best: float,
        now: float,
        trial: bool,
        spread: bool,
    ) -> Candidate:
        """Draw one of those that are worth the same, or of the unknown."""
        same = [
            one for worth, one in left if worth >= best - EQUAL_VALUE_MARGIN
        ]
        if not trial and not spread:
            return self.rng.choice(same)
        unknown = [
            one
            for worth, one in left
            if self.idle_s(one, now) >= UNKNOWN_IDLE_S and self._reachable(one)
        ]
        if trial:
            return self.rng.choice(unknown or same)
        return self.rng.choice([*unknown, self.rng.choice(same)])

    def expected_value(
        self,
        candidate: Candidate,
        need: request_value.Need,
        now: float,
        route: str = '',
    ) -> float:
        """Return what it should be worth to offer a request to an upstream.

        :param route: key of its route.
        """
        view = self.states.get(candidate.id)
        report = None if view is None else view.report
        failing = failure_estimate.UNOBSERVED_FAILURE_PROBABILITY
        service_s = self.durations.expected(route)
        if report is not None:
            failing = reported_failure_probability(
                report, now - view.reported_at
            )
            if view.route == route and report.route_ms:
                service_s = report.route_ms / 1000
        if candidate.warming_up:
            service_s = max(
                service_s,
                slot_queue.WARMUP_FACTOR * self.durations.expected(route),
            )
        answer_s = self.expected_wait_s(candidate, now) + service_s
        worth = request_value.expected_value(failing, answer_s, need)
        return (
            worth if self._reachable(candidate) else DETOUR_VALUE_SHARE * worth
        )

    def _data_centre_bonus(self, route: str, size: float) -> float:
        """Return what the same data centre is worth to a request."""
        kilobytes = (size + self.answer_sizes.expected(route)) / 1024
        return min(
            SAME_DATA_CENTRE_BONUS + BONUS_PER_KB * kilobytes, MAX_BONUS
        )

    def _reachable(self, candidate: Candidate) -> bool:
        view = self.states.get(candidate.id)
        return view is None or view.reachable

    def expected_wait_s(self, candidate: Candidate, now: float) -> float:
        """Return how long a request should wait for a slot, seconds."""
        view = self.states.get(candidate.id)
        if view is None:
            return 0.0
        slots = max(candidate.slots, 1)
        crowded_s = FULL_SLOTS_WAIT_S * view.in_flight / slots
        if view.report is None:
            return crowded_s
        fade = math.exp((view.reported_at - now) / LOAD_DECAY_S)
        load = max(view.report.running + view.report.waiting, view.in_flight)
        return (
            fade * view.report.wait_ms / 1000
            + FULL_SLOTS_WAIT_S * load / slots
        )

    def load(self, candidate: Candidate, now: float) -> int:
        """Return the requests that are with an upstream, as far as known."""
        view = self.states.get(candidate.id)
        if view is None:
            return 0
        if view.report is None or now - view.reported_at > LOAD_DECAY_S:
            return view.in_flight
        return max(view.report.running + view.report.waiting, view.in_flight)

    def idle_s(self, candidate: Candidate, now: float) -> float:
        """Return how long nothing is known of work at an upstream, seconds."""
        view = self.states.get(candidate.id)
        if view is None or view.report is None:
            return math.inf
        return view.report.idle_ms / 1000 + now - view.reported_at


def reported_failure_probability(report: LoadReport, age_s: float) -> float:
    """Return how likely an upstream fails, by a report of that age."""
    usual = report.typical_failure_permille / 1000
    if report.failure_permille < 0:
        # A gateway of an older version says only this.
        failing = 1.0 - usual if report.likely_failing else usual
    else:
        failing = report.failure_permille / 1000
    return failure_estimate.decayed_failure_probability(failing, usual, age_s)
