"""The model of gateways with requests that crash the upstreams that run them.

A content that crashes upstreams is asked for again and again beside sound
load, of which a part asks for one popular content; some upstreams crash for
another cause.  Which requests are refused is the product's decision
(``load.crash_suspects``); facts are known everywhere after a fixed time.
"""

import itertools
import random
import typing

from bench import gateway_model as models
from carawaystair.load import crash_suspects
from carawaystair.load import failure_estimate

# A run crashes its upstream after so long, and its upstream is back so much
# later, seconds.
CRASH_S = 0.08
DOWN_S = 2.0
FATAL = 'fatal'
POPULAR = 'popular'


class Crashes(typing.NamedTuple):
    """What crashes upstreams.

    :param limit: crashes after which a request is refused.
    :param contents: contents that crash upstreams.
    :param every_s: each is asked for so often, seconds.
    :param outside_s: upstreams crash for another cause so often, seconds.
    :param outside: how many do at once.
    :param spread_s: what one process knows all know after so long, seconds.
    """

    limit: int = crash_suspects.CRASH_LIMIT
    contents: int = 1
    every_s: float = 0.5
    outside_s: float = 0.0
    outside: int = 0
    spread_s: float = 0.1


class Play(models.Play):
    """One play of a plan with crashes.

    :param plan: what is played.
    :param crashes: what crashes upstreams.
    :param seed: of all randomness.
    """

    def __init__(self, plan: models.Plan, crashes: Crashes, seed: int) -> None:
        super().__init__(plan, seed)
        self.crashes = crashes
        self.rng = random.Random('crashes %d' % seed)
        self.suspects = crash_suspects.Suspects(crashes.limit)
        # What each upstream runs, by the id of the request, and its starts.
        self.running = {name: {} for name in self.upstreams}
        self.lives = dict.fromkeys(self.upstreams, 1)
        self.down_until = dict.fromkeys(self.upstreams, 0.0)
        self.fallen: list[str] = []
        # Requests refused for crashes, and runs of those that cause them.
        self.refused: list[models.Request] = []
        self.fatal_runs: list[float] = []

    def begin(self) -> None:
        """Plan the crashes of another cause."""
        every_s = self.crashes.outside_s
        if not every_s:
            return
        for number in range(1, int(self.plan.end_s / every_s)):
            names = self.rng.sample(list(self.upstreams), self.crashes.outside)
            for name in names:
                self.at(number * every_s, self._fall, self.upstreams[name])

    def _ask(self, now: float, trip: models.Trip) -> None:
        digest = digest_of(trip.request)
        if self.suspects.on_trial(digest):
            self.refused.append(trip.request)
            self._tell(now, trip, False, now - trip.request.at)
            return
        super()._ask(now, trip)

    def _refusal(self, now, upstream, trip, choice) -> str:
        if now < self.down_until[upstream.name]:
            return models.SPENT
        return super()._refusal(now, upstream, trip, choice)

    def _begin(self, now, upstream, trip) -> None:
        request = trip.request
        if now < self.down_until[upstream.name]:
            upstream.gate.queue.finish(request.id)
            self.at(now + models.ROUND_TRIP_S, self._ask, trip)
            return
        self.running[upstream.name][request.id] = trip
        if digest_of(request).startswith(FATAL):
            self.fatal_runs.append(now)
            trip.runs += 1
            life = self.lives[upstream.name]
            self.at(now + CRASH_S, self._fall, upstream, life)
            return
        super()._begin(now, upstream, trip)

    def _end(self, now, upstream, trip, good, began) -> None:
        if self.running[upstream.name].pop(trip.request.id, None) is None:
            # Its upstream crashed before.
            return
        if good:
            facts = self.suspects.record_success(digest_of(trip.request), now)
            self._spread(now, facts)
        super()._end(now, upstream, trip, good, began)

    def _fall(self, now, upstream, life: int = 0) -> None:
        """Let an upstream crash with all that it runs."""
        name = upstream.name
        if now < self.down_until[name] or life not in (0, self.lives[name]):
            return
        self.fallen.append(name)
        named = '%s/%d' % (name, self.lives[name])
        trips, self.running[name] = list(self.running[name].values()), {}
        self.lives[name] += 1
        self.down_until[name] = now + DOWN_S
        requests = {digest_of(t.request): t.request.id for t in trips}
        self._spread(now, self.suspects.crash_facts(named, requests, True))
        self._turn_away(now, upstream)
        upstream.gate.estimate.observe(failure_estimate.FAILED, now)
        for trip in trips:
            upstream.gate.queue.finish(trip.request.id)
            kind = trip.request.kind
            if kind.repeatable and trip.runs < models.MOST_RUNS:
                self.at(now + models.ROUND_TRIP_S, self._ask, trip)
            else:
                self._tell(now, trip, False)

    def _spread(self, now: float, facts) -> None:
        for fact in facts:
            self.at(now + self.crashes.spread_s, self._learn, fact)

    def _learn(self, now: float, fact: crash_suspects.Fact) -> None:
        self.suspects.add(fact, now)
        if self.suspects.recently_succeeded(fact.digest, now):
            for cleared in self.suspects.clearing_facts(fact.digest, now):
                self.suspects.add(cleared, now)


def digest_of(request: models.Request) -> str:
    """Return what a request asks for."""
    name = request.kind.name
    return name if name.startswith((FATAL, POPULAR)) else request.id


def arrivals(
    plan: models.Plan, crashes: Crashes, seed: int
) -> list[models.Request]:
    """Return the requests of a plan, those that crash upstreams among them."""
    rng = random.Random('fatal %d' % seed)
    like = plan.kinds[0]
    fatal = []
    for content in range(crashes.contents):
        kind = like._replace(name='%s%d' % (FATAL, content))
        begins = plan.end_s * (content + 1) / (crashes.contents + 2)
        for number in itertools.count():
            at = begins + number * crashes.every_s
            if at >= plan.end_s:
                break
            name = '%s-%d' % (kind.name, number)
            node = rng.randrange(plan.nodes)
            fatal.append(models.Request(name, kind, at, CRASH_S, node))
    found = [*models.arrivals(plan, seed), *fatal]
    return sorted(found, key=lambda request: request.at)


def play(plan: models.Plan, crashes: Crashes, seed: int) -> Play:
    """Play a plan to its end."""
    made = Play(plan, crashes, seed)
    made.begin()
    made.run(arrivals(plan, crashes, seed))
    return made
