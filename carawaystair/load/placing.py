"""Which upstream a request is offered to.

The load that this answers: upstreams differ in speed, some are full, some are
gray, and every node sees each of them only now and then.  What a node knows
comes with each answer and each refusal of a gateway, and it ages: with 27
nodes and 45 requests a second a node hears of one upstream every few seconds,
while its load changes ten times a second.  So the choice needs only to be
good on average, because the gateway that is asked decides: it refuses at once
when it has no free slot, and another one is asked.

Upstreams in the same data centre go first while they have room: bytes between
data centres cost time and money.  ``load.spreading`` tells when that ends.
"""

import math
import random
import typing

# What a gateway said about its load counts for so long, in seconds; about one
# service time.
LOAD_FRESH_S = 0.5
# What it said about failures counts for so long: it lets a trial through
# about as often.
SUSPECT_FRESH_S = 0.8
# Age of the last sign of sound work where nothing is known, seconds.
UNKNOWN_PROOF_S = 60.0
# An upstream that is still warming up is taken for so many times slower.
COLD_FACTOR = 2.0
# What a node heard of an upstream so long ago or longer tells it no more than
# nothing does, seconds: whether it was idle or others had work for it since is
# not known here.
PROOF_FRESH_S = 1.0
# Expected service time where no report has come yet, seconds.
UNKNOWN_S = 0.4


class Report(typing.NamedTuple):
    """What a gateway says of its upstream, with every answer.

    :param process: names the start of the gateway's process.
    :param suspect: whether the upstream failed lately.
    :param running: requests that run at it.
    :param waiting: requests that wait for it.
    :param slots: requests that it works on at once.
    :param wait_ms: expected wait of one more request, ms.
    :param service_ms: mean service time, ms.
    :param proof_ms: age of the last sign that the upstream does sound work,
        ms.
    :param route_ms: mean service time of the route that was asked for, ms;
        it may be a tenth of that of others.
    :param incarnation: the life of the upstream that this is about, 0 where
        none stands.
    """

    process: str
    suspect: bool
    running: int
    waiting: int
    slots: int
    wait_ms: int
    service_ms: int
    proof_ms: int
    route_ms: int = 0
    incarnation: int = 0


class Candidate(typing.NamedTuple):
    """An upstream that may get a request.

    :param id: the upstream.
    :param near: whether it stands in this node's data centre, or distance
        does not count.
    :param slots: requests that it works on at once.
    :param cold: whether it is still warming up.
    """

    id: str
    near: bool
    slots: int
    cold: bool = False


class View:
    """What this node knows of one upstream."""

    __slots__ = ('at', 'incarnation', 'mine', 'reachable', 'report')

    def __init__(self, incarnation: int = 0) -> None:
        # The life that it is about, 0 while that is not known.
        self.incarnation = incarnation
        self.report: Report | None = None
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

    def view(self, upstream: str) -> View:
        """Return what is known of an upstream."""
        found = self.views.get(upstream)
        if found is None:
            found = self.views[upstream] = View()
        return found

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

    def heard(self, upstream: str, report: Report, now: float) -> None:
        """Take note of a report.

        One of a former life may be overtaken by the news of the new one.
        """
        if report.incarnation:
            self.renew(upstream, report.incarnation)
        view = self.view(upstream)
        if report.incarnation < view.incarnation:
            return
        view.report = report
        view.at = now

    def choose(
        self,
        candidates: typing.Iterable[Candidate],
        tried: typing.Container[str],
        now: float,
        repeatable: bool = True,
        trial: bool = False,
        spread: bool = False,
    ) -> Candidate | None:
        """Return the upstream to offer a request to, None when all are tried.

        Of the best class two are drawn and the one that should be done
        earlier is taken.  A request that can't be repeated goes where sound
        work was seen last.

        :param repeatable: whether it may be run twice.
        :param trial: whether it goes where sound work was seen longest ago,
            to show how that upstream does.
        :param spread: whether those of which nothing was heard lately have
            an equal chance, although it can't be repeated.
        """
        best: tuple | None = None
        drawn: list[Candidate] = []
        for candidate in candidates:
            if candidate.id in tried:
                continue
            rank = self.rank(candidate, now)
            if best is None or rank < best:
                best, drawn = rank, [candidate]
            elif rank == best:
                drawn.append(candidate)
        if not drawn:
            return None
        if not repeatable or trial:
            return self._by_proof(drawn, now, not repeatable, spread)
        pair = self.rng.sample(drawn, min(2, len(drawn)))
        return min(pair, key=lambda candidate: self.cost(candidate, now))

    def _by_proof(
        self,
        drawn: list[Candidate],
        now: float,
        newest: bool,
        spread: bool,
    ) -> Candidate:
        """Return the upstream with the newest or oldest sign of sound work.

        Between equals chance decides.  Right after a start every node knows
        as little of all upstreams; in any order that all nodes share, the
        whole load would meet the first few of them.

        :param newest: whether it is the newest; the oldest otherwise.
        :param spread: whether old signs are as good as the newest one.
        """
        ages = [self.proof_s(candidate, now) for candidate in drawn]
        wanted = min(ages) if newest else max(ages)
        old_s = PROOF_FRESH_S if newest and spread else math.inf
        equals = [
            candidate
            for candidate, age in zip(drawn, ages)
            if age == wanted or age >= old_s
        ]
        return self.rng.choice(equals)

    def rank(self, candidate: Candidate, now: float) -> tuple:
        """Return the class of an upstream; the least is best."""
        view = self.views.get(candidate.id)
        if view is None:
            return (False, False, False, not candidate.near)
        suspect = (
            view.report is not None
            and view.report.suspect
            and now - view.at < SUSPECT_FRESH_S
        )
        busy = self.load(candidate, now) >= candidate.slots
        return (not view.reachable, suspect, busy, not candidate.near)

    def load(self, candidate: Candidate, now: float) -> int:
        """Return the requests that are with an upstream, as far as known."""
        view = self.views.get(candidate.id)
        if view is None:
            return 0
        if view.report is None or now - view.at > LOAD_FRESH_S:
            return view.mine
        return max(view.report.running + view.report.waiting, view.mine)

    def proof_s(self, candidate: Candidate, now: float) -> float:
        """Return the age of the last known sign of sound work, seconds."""
        view = self.views.get(candidate.id)
        if view is None or view.report is None:
            return UNKNOWN_PROOF_S
        return view.report.proof_ms / 1000 + now - view.at

    def cost(self, candidate: Candidate, now: float) -> float:
        """Return the seconds that a request should take there."""
        view = self.views.get(candidate.id)
        report = None if view is None else view.report
        service_s = UNKNOWN_S
        if report is not None and report.service_ms:
            service_s = report.service_ms / 1000
        if candidate.cold:
            service_s *= COLD_FACTOR
        return service_s * (1 + self.load(candidate, now) / candidate.slots)
