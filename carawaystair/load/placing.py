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

from carawaystair.load import estimating
from carawaystair.load import means
from carawaystair.load import valuing
from carawaystair.load import waiting

# What a gateway said of its load fades over so long, seconds; about one
# service time.
LOAD_FADE_S = 0.5
# An upstream whose slots are all in use, as far as is known, should make a
# request wait for so long if that is so, seconds.
CROWDED_S = 0.3
# What a node heard of an upstream so long ago or longer tells it no more than
# nothing does, seconds: whether others had work for it since is not known.
HEARD_S = 1.0
# An upstream in the same data centre may be worth so much less, and for each
# KB of a request and its answer so much more, up to a bound: bytes between
# data centres cost time and money.
NEAR = 0.01
NEAR_KB = 0.002
NEAR_MOST = 0.15
# An upstream whose gateway can't be reached directly is worth this part of
# what it would be: the way through a third node may fail as well.
DETOUR = 0.5
# Upstreams that are worth so nearly the same are drawn by lot.  Were the best
# one taken, all that a node sends would meet it until its next report.
SAME = 0.02


class Report(typing.NamedTuple):
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
    suspect: bool
    running: int
    waiting: int
    slots: int
    wait_ms: int
    service_ms: int
    idle_ms: int
    route_ms: int = 0
    incarnation: int = 0
    failing: int = -1
    usual: int = int(1000 * estimating.UNKNOWN)
    read_ms: int = 0


class Candidate(typing.NamedTuple):
    """An upstream that may get a request.

    :param id: the upstream.
    :param near: whether it stands in this node's data centre.
    :param slots: requests that it works on at once.
    :param cold: whether it is still warming up.
    """

    id: str
    near: bool
    slots: int
    cold: bool = False


class Choice(typing.NamedTuple):
    """The upstream to offer a request to.

    :param candidate: the upstream.
    :param least: what it must be worth there to be taken, 0 to 1.
    :param again: what it is worth if it fails there, 0 to 1.
    """

    candidate: Candidate
    least: float
    again: float = 0.0


class View:
    """What this node knows of one upstream."""

    __slots__ = ('at', 'incarnation', 'mine', 'reachable', 'report', 'route')

    def __init__(self, incarnation: int = 0) -> None:
        # The life that it is about, 0 while that is not known.
        self.incarnation = incarnation
        self.report: Report | None = None
        # Key of the route that it was told for, and when.
        self.route = ''
        self.at = 0.0
        # Requests of this node that are with it now.
        self.mine = 0
        # Whether its gateway answers on the direct way.
        self.reachable = True


class Board:
    """What this node knows of all upstreams that it sends to.

    :param rng: the source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.views: dict[str, View] = {}
        # Service times of routes, as all upstreams tell them.
        self.durations = waiting.durations()
        # And the bytes of their answers.
        self.sizes = means.Means(0.0)

    def view(self, upstream: str) -> View:
        """Return what is known of an upstream."""
        found = self.views.get(upstream)
        if found is None:
            found = self.views[upstream] = View()
        return found

    def knows(self, upstream: str) -> bool:
        """Tell whether a gateway has said when it reads its requests."""
        view = self.views.get(upstream)
        report = None if view is None else view.report
        return report is not None and report.read_ms > 0

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is gone."""
        self.views.pop(upstream, None)

    def renew(self, upstream: str, incarnation: int) -> None:
        """Begin anew with an upstream of which a newer life is known.

        Requests that are with the former life count no more; only whether
        its gateway answers is not the upstream's.
        """
        former = self.view(upstream)
        if not former.incarnation:
            former.incarnation = incarnation
        if incarnation <= former.incarnation:
            return
        view = self.views[upstream] = View(incarnation)
        view.reachable = former.reachable

    def heard(
        self, upstream: str, report: Report, now: float, route: str = ''
    ) -> None:
        """Take note of a report.

        One of a former life may be overtaken by the news of the new one.

        :param route: key of the route that was asked for.
        """
        if report.incarnation:
            self.renew(upstream, report.incarnation)
        view = self.view(upstream)
        if report.incarnation < view.incarnation:
            return
        view.report = report
        view.route = route
        view.at = now
        if report.route_ms:
            self.durations.add(route, report.route_ms / 1000)

    def choose(
        self,
        candidates: typing.Iterable[Candidate],
        tried: typing.Container[str],
        refused: typing.Container[str],
        now: float,
        need: valuing.Need,
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
        need = need._replace(again=self._again(candidates, need, now, route))
        near = self._near(route, size)
        rated = [
            (
                self.worth(one, need, now, route) + near * one.near,
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
        least = max(others + known, default=0.0) - SAME
        least -= near * chosen.near
        return Choice(chosen, max(least, 0.0), need.again)

    def _again(
        self,
        candidates: typing.Iterable[Candidate],
        need: valuing.Need,
        now: float,
        route: str,
    ) -> float:
        """Return what a request is worth if it fails at the first upstream.

        While upstreams have room, nearly all; when they are full, little.
        """
        if need.last:
            return 0.0
        last = need._replace(last=True)
        best = max(
            (self.worth(one, last, now, route) for one in candidates),
            default=0.0,
        )
        return valuing.AGAIN * best

    def _draw(
        self,
        left: list[tuple[float, Candidate]],
        best: float,
        now: float,
        trial: bool,
        spread: bool,
    ) -> Candidate:
        """Draw one of those that are worth the same, or of the unknown."""
        same = [one for worth, one in left if worth >= best - SAME]
        if not trial and not spread:
            return self.rng.choice(same)
        unknown = [
            one
            for worth, one in left
            if self.heard_s(one, now) >= HEARD_S and self._reaches(one)
        ]
        if trial:
            return self.rng.choice(unknown or same)
        return self.rng.choice([*unknown, self.rng.choice(same)])

    def worth(
        self,
        candidate: Candidate,
        need: valuing.Need,
        now: float,
        route: str = '',
    ) -> float:
        """Return what it should be worth to offer a request to an upstream.

        :param route: key of its route.
        """
        view = self.views.get(candidate.id)
        report = None if view is None else view.report
        failing = estimating.UNKNOWN
        service_s = self.durations.of(route)
        if report is not None:
            failing = told(report, now - view.at)
            if view.route == route and report.route_ms:
                service_s = report.route_ms / 1000
        if candidate.cold:
            service_s = max(
                service_s, waiting.COLD_FACTOR * self.durations.of(route)
            )
        answer_s = self.wait_s(candidate, now) + service_s
        worth = valuing.worth(failing, answer_s, need)
        return worth if self._reaches(candidate) else DETOUR * worth

    def _near(self, route: str, size: float) -> float:
        """Return what the same data centre is worth to a request."""
        kilobytes = (size + self.sizes.of(route)) / 1024
        return min(NEAR + NEAR_KB * kilobytes, NEAR_MOST)

    def _reaches(self, candidate: Candidate) -> bool:
        view = self.views.get(candidate.id)
        return view is None or view.reachable

    def wait_s(self, candidate: Candidate, now: float) -> float:
        """Return how long a request should wait for a slot, seconds."""
        view = self.views.get(candidate.id)
        if view is None:
            return 0.0
        slots = max(candidate.slots, 1)
        crowded_s = CROWDED_S * view.mine / slots
        if view.report is None:
            return crowded_s
        fade = math.exp((view.at - now) / LOAD_FADE_S)
        load = max(view.report.running + view.report.waiting, view.mine)
        return fade * view.report.wait_ms / 1000 + CROWDED_S * load / slots

    def load(self, candidate: Candidate, now: float) -> int:
        """Return the requests that are with an upstream, as far as known."""
        view = self.views.get(candidate.id)
        if view is None:
            return 0
        if view.report is None or now - view.at > LOAD_FADE_S:
            return view.mine
        return max(view.report.running + view.report.waiting, view.mine)

    def heard_s(self, candidate: Candidate, now: float) -> float:
        """Return how long nothing is known of work at an upstream, seconds."""
        view = self.views.get(candidate.id)
        if view is None or view.report is None:
            return math.inf
        return view.report.idle_ms / 1000 + now - view.at


def told(report: Report, age_s: float) -> float:
    """Return how likely an upstream fails, by a report of that age."""
    usual = report.usual / 1000
    if report.failing < 0:
        # A gateway of an older version says only this.
        failing = 1.0 - usual if report.suspect else usual
    else:
        failing = report.failing / 1000
    return estimating.aged(failing, usual, age_s)
