"""Gateways, gray upstreams and callers as events in virtual time.

Only the decisions are the product's (``carawaystair.load``); everything
around them is reckoned, so that a minute of load takes a second.  A policy
says which of the decisions are used; ``central`` is an ideal scheduler that
knows every service time and every upstream's state, on the same arrivals.
"""

import heapq
import itertools
import math
import random
import typing

from carawaystair.load import placing
from carawaystair.load import suspicion
from carawaystair.load import waiting

# One question to a gateway and back, seconds.
ROUND_TRIP_S = 0.003
MOST_ASKED = 6
MOST_RUNS = 2
# Where a request can't be repeated, see ``gateway.relay``.
RISK_S = 3.0
# A gray upstream fails this share of its requests, at once.
GRAY_FAILS = 0.85


class Kind(typing.NamedTuple):
    """One kind of request.

    :param name: its name.
    :param rate: requests a second.
    :param mean_s: mean service time; the spread is half of it.
    :param repeatable: whether it may run twice.
    :param goal_s: an answer within this time is in goal.
    :param deadline_s: time that its caller waits.
    """

    name: str
    rate: float
    mean_s: float
    repeatable: bool
    goal_s: float
    deadline_s: float


class Plan(typing.NamedTuple):
    """What is played.

    :param kinds: the requests.
    :param upstreams: how many.
    :param slots: of each.
    :param nodes: that callers ask.
    :param gray_share: share of the upstreams that is gray at any time.
    :param window_s: each upstream draws anew so often whether it is gray, at
        moments of its own, seconds.
    :param burst: factor on the rates in the middle third.
    :param end_s: length.
    """

    kinds: tuple[Kind, ...]
    upstreams: int = 11
    slots: int = 5
    nodes: int = 27
    gray_share: float = 0.0
    window_s: float = 12.0
    burst: float = 1.0
    end_s: float = 60.0


class Policy(typing.NamedTuple):
    """Which decisions are used.

    :param name: in the figures.
    :param suspects: whether failures are held against an upstream.
    :param proofs: whether work that can't be repeated goes where sound work
        was seen last.
    :param ordered: whether waiting requests are ordered and refused by
        goals and deadlines, or served as they come.
    """

    name: str
    suspects: bool
    proofs: bool
    ordered: bool


class Request(typing.NamedTuple):
    """One request.

    :param id: names it.
    :param kind: its kind.
    :param at: when it comes.
    :param service_s: how long its work takes.
    :param node: the node that its caller asks.
    """

    id: str
    kind: Kind
    at: float
    service_s: float
    node: int


class Outcome(typing.NamedTuple):
    """What became of a request.

    :param request: the request.
    :param when: when its caller was told.
    :param good: whether it was answered.
    :param held_s: how long a rejected one was held.
    :param runs: upstreams that ran it.
    """

    request: Request
    when: float
    good: bool
    held_s: float = 0.0
    runs: int = 0


def arrivals(plan: Plan, seed: int) -> list[Request]:
    """Return the requests of a plan, in order."""
    rng = random.Random('arrivals %d' % seed)
    found = []
    for kind in plan.kinds:
        now = 0.0
        for number in itertools.count():
            middle = plan.end_s / 3 <= now < 2 * plan.end_s / 3
            rate = kind.rate * (plan.burst if middle else 1.0)
            now += rng.expovariate(rate)
            if now >= plan.end_s:
                break
            service_s = kind.mean_s * rng.lognormvariate(-0.11, 0.47)
            name = '%s-%d' % (kind.name, number)
            node = rng.randrange(plan.nodes)
            found.append(Request(name, kind, now, service_s, node))
    return sorted(found, key=lambda request: request.at)


class Upstream:
    """One upstream and its gateway.

    :param name: names it.
    :param plan: what is played.
    :param policy: which decisions are used.
    :param rng: when it turns gray.
    """

    def __init__(
        self, name: str, plan: Plan, policy: Policy, rng: random.Random
    ) -> None:
        self.name = name
        self.policy = policy
        self.line = waiting.Line(plan.slots)
        self.suspicion = suspicion.Suspicion()
        self.fifo: list[Request] = []
        self.turns = list(_turns(plan, rng))
        self.rng = rng

    def gray(self, now: float) -> bool:
        """Tell whether it fails its work now."""
        return sum(turn <= now for turn in self.turns) % 2 == 1

    def report(self, now: float) -> placing.Report:
        """Return what its gateway says."""
        line = self.line
        proof_s = min(now - self.suspicion.proof_at, 60.0)
        wait_s = line.wait_s(waiting.Want('', '', math.inf), now)
        return placing.Report(
            'p',
            self.policy.suspects and self.suspicion.suspect,
            line.running,
            len(line.waiting),
            line.slots,
            int(1000 * wait_s),
            int(1000 * line.durations.mean),
            int(1000 * proof_s),
        )


def _turns(plan: Plan, rng: random.Random) -> typing.Iterator[float]:
    """Yield when an upstream turns gray or sound again."""
    now = -rng.uniform(0.0, plan.window_s)
    was = False
    while now < plan.end_s:
        gray = rng.random() < plan.gray_share
        if gray != was:
            yield now
        was = gray
        now += plan.window_s


class Play:
    """One play of a plan with a policy.

    :param plan: what is played.
    :param policy: which decisions are used.
    :param seed: of all randomness.
    """

    def __init__(self, plan: Plan, policy: Policy, seed: int) -> None:
        self.plan = plan
        self.policy = policy
        rng = random.Random('upstreams %d' % seed)
        self.upstreams = {
            'u%d' % n: Upstream('u%d' % n, plan, policy, rng)
            for n in range(plan.upstreams)
        }
        self.candidates = [
            placing.Candidate(name, False, plan.slots)
            for name in self.upstreams
        ]
        self.boards = [
            placing.Board(random.Random('node %d %d' % (seed, n)))
            for n in range(plan.nodes)
        ]
        self.events: list = []
        self.order = itertools.count()
        self.outcomes: list[Outcome] = []
        self.runs: dict[str, int] = {}

    def at(self, when: float, what: typing.Callable, *arguments) -> None:
        """Let something happen later."""
        heapq.heappush(self.events, (when, next(self.order), what, arguments))

    def run(self, requests: typing.Sequence[Request]) -> list[Outcome]:
        """Play all requests to their ends."""
        for request in requests:
            self.at(request.at, self._ask, request, (), ())
        while self.events:
            now, _order, what, arguments = heapq.heappop(self.events)
            what(now, *arguments)
        return self.outcomes

    # The caller's node

    def _ask(self, now, request, tried, declined) -> None:
        board = self.boards[request.node]
        repeatable = not self._must_succeed(request)
        chosen = None
        if len(declined) < MOST_ASKED:
            chosen = board.choose(self.candidates, tried, now, repeatable)
        if chosen is None:
            self._stay(now, request, declined)
            return
        upstream = self.upstreams[chosen.id]
        report = upstream.report(now)
        board.heard(chosen.id, report, now)
        tried = (*tried, chosen.id)
        if self._takes(upstream, request, now):
            self._begin(now, upstream, request)
            return
        later = now + ROUND_TRIP_S
        declined = (*declined, (chosen.id, report))
        self.at(later, self._ask, request, tried, declined)

    def _must_succeed(self, request) -> bool:
        """Tell whether a request is kept from what may be gray: it may run
        only once, or this is its last run.
        """
        last = not request.kind.repeatable or request.id in self.runs
        return last and self.policy.proofs

    def _takes(self, upstream, request, now) -> bool:
        first = request.id not in self.runs
        seen = upstream.suspicion
        if self.policy.proofs:
            if seen.declines(request.kind.repeatable, not first, now):
                return False
        elif self.policy.suspects:
            if not seen.admits(request.kind.repeatable and first, now):
                return False
        return upstream.line.ask(_want(request), now, False).starts

    def _stay(self, now, request, declined) -> None:
        """Let a request wait where it should be answered first."""
        best = sorted(declined, key=lambda pair: self._patience(request, pair))
        suspects = [pair for pair in best if pair[1].suspect]
        sound = [pair for pair in best if not pair[1].suspect]
        for name, _report in (*sound[:2], *suspects[:1]):
            upstream = self.upstreams[name]
            line = upstream.line
            if not self.policy.ordered and line.running >= line.slots:
                upstream.fifo.append(request)
                return
            verdict = line.ask(_want(request), now, True)
            if verdict.starts:
                self._begin(now, upstream, request)
                return
            if verdict.waits:
                last = line.last_start(_want(request))
                self.at(last, self._give_up, upstream, request)
                return
        self.outcomes.append(Outcome(request, now, False, now - request.at))

    def _patience(self, request, pair) -> float:
        report = pair[1]
        last = self._must_succeed(request)
        proof_s = report.proof_ms / 1000 if last else 0.0
        risk = suspicion.risk(proof_s, report.suspect)
        return report.wait_ms / 1000 + RISK_S * risk

    def _give_up(self, now, upstream, request) -> None:
        if request.id in upstream.line.waiting:
            upstream.line.leave(request.id)
            held_s = now - request.at
            self.outcomes.append(Outcome(request, now, False, held_s))

    # The upstream

    def _begin(self, now, upstream, request) -> None:
        self.runs[request.id] = self.runs.get(request.id, 0) + 1
        upstream.suspicion.began(now)
        fails = upstream.gray(now) and upstream.rng.random() < GRAY_FAILS
        if fails:
            self.at(now, self._end, upstream, request, False, now)
            return
        survived = now + suspicion.SURVIVED_S
        self.at(survived, self._survived, upstream, now)
        end = now + request.service_s
        self.at(end, self._end, upstream, request, True, now)

    def _survived(self, _now, upstream, began) -> None:
        upstream.suspicion.survived(began)

    def _end(self, now, upstream, request, good, began) -> None:
        line = upstream.line
        line.end(request.id)
        if good:
            line.durations.add(request.kind.name, now - began)
            upstream.suspicion.good(began)
        else:
            upstream.suspicion.failed(now)
        again = request.kind.repeatable and self.runs[request.id] < MOST_RUNS
        if not good and again:
            later = now + ROUND_TRIP_S
            self.at(later, self._ask, request, (upstream.name,), ())
        else:
            in_time = now - request.at <= request.kind.deadline_s
            runs = self.runs[request.id]
            self.outcomes.append(
                Outcome(request, now, good and in_time, runs=runs)
            )
        self._serve(now, upstream)

    def _serve(self, now, upstream) -> None:
        line = upstream.line
        while upstream.fifo and line.running < line.slots:
            request = upstream.fifo.pop(0)
            late = now - request.at > request.kind.deadline_s
            if late:
                held_s = now - request.at
                self.outcomes.append(Outcome(request, now, False, held_s))
                continue
            line.ask(_want(request), now, False)
            self._begin(now, upstream, request)
        by_id = dict(line.waiting)
        for name in line.start(now):
            self._begin(now, upstream, self._request(by_id[name]))

    def _request(self, want: waiting.Want) -> Request:
        return self.known[want.id]

    known: dict[str, Request] = {}


def _want(request: Request) -> waiting.Want:
    kind = request.kind
    return waiting.Want(
        request.id,
        kind.name,
        request.at + kind.deadline_s,
        request.at + kind.goal_s,
    )


def play(plan: Plan, policy: Policy, seed: int) -> list[Outcome]:
    """Play a plan and return what became of its requests."""
    requests = arrivals(plan, seed)
    one = Play(plan, policy, seed)
    one.known = {request.id: request for request in requests}
    return one.run(requests)


def central(plan: Plan, seed: int) -> list[Outcome]:
    """Return what an ideal scheduler makes of the same arrivals.

    One queue before all slots of upstreams that are sound for the whole
    run of a request; earliest goal first, and who can't meet it is left out.
    """
    requests = arrivals(plan, seed)
    rng = random.Random('upstreams %d' % seed)
    policy = Policy('central', False, False, True)
    upstreams = [
        Upstream('u%d' % n, plan, policy, rng) for n in range(plan.upstreams)
    ]
    free = [(0.0, n, u) for u in upstreams for n in range(plan.slots)]
    heap = [(when, index, u) for index, (when, _n, u) in enumerate(free)]
    heapq.heapify(heap)
    outcomes = []
    for request in requests:
        due = request.at + request.kind.goal_s
        skipped = []
        done = False
        while heap and not done:
            when, index, upstream = heapq.heappop(heap)
            begin = max(when, request.at)
            if begin + request.service_s > due:
                skipped.append((when, index, upstream))
                break
            if upstream.gray(begin):
                skipped.append((when, index, upstream))
                continue
            end = begin + request.service_s
            skipped.append((end, index, upstream))
            outcomes.append(Outcome(request, end, True))
            done = True
        for item in skipped:
            heapq.heappush(heap, item)
        if not done:
            outcomes.append(Outcome(request, request.at, False))
    return outcomes


# What is made of the outcomes


def served(outcomes: typing.Sequence[Outcome]) -> float:
    """Return the share that was answered."""
    return sum(o.good for o in outcomes) / len(outcomes)


def in_goal(outcomes: typing.Sequence[Outcome]) -> float:
    """Return the share that was answered within its goal."""
    good = sum(
        o.good and o.when - o.request.at <= o.request.kind.goal_s
        for o in outcomes
    )
    return good / len(outcomes)


def repeated(outcomes: typing.Sequence[Outcome]) -> float:
    """Return the runs beyond the first of each request, as a share."""
    again = sum(max(o.runs - 1, 0) for o in outcomes)
    return again / len(outcomes)


def held_too_long(outcomes: typing.Sequence[Outcome]) -> float:
    """Return the share of rejections that came after an eighth of the goal."""
    rejected = [o for o in outcomes if not o.good and o.held_s]
    if not rejected:
        return 0.0
    late = sum(o.held_s > o.request.kind.goal_s / 8 for o in rejected)
    return late / len(outcomes)
