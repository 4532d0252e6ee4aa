"""What one process knows of requests that crash upstreams."""

import collections
import typing

from aiohttp import web
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair.load import crashing
from carawaystair import localapi
from carawaystair import metrics
from carawaystair.quarantine import dissemination
from carawaystair import rendezvous
from carawaystair import settings

# What is too old is looked for this often, seconds.
SWEEP_INTERVAL_S = 1.0
# A request that ended well here of late is cleared at the second crash that is
# told of it; the first may be the only one.
CLEAR_AT_CRASHES = 2
# A trial is over after so long, seconds.
TRIAL_S = 10.0
MS = 1000
THIS_HOST = 'this host'


class Suspect(typing.NamedTuple):
    """One request, as an operator sees it.

    :param digest: names what it wants_all for.
    :param request: id of the attempt at the last crash.
    :param refused_s: seconds for which it is still refused; 0.0 when it is
        not.
    :param age_s: seconds since the last crash.
    :param upstreams: those that crashed under it, ``ID/INCARNATION`` each.
    :param cleared: crashes that it is cleared of.
    """

    digest: str
    request: str
    refused_s: float
    age_s: float
    upstreams: tuple[str, ...]
    cleared: int


class Quarantine(mode.Service):
    """Refuses requests that crash upstreams; one for each process.

    :param node: settings of the node role.
    :param members: the members of the fleet.
    :param transport: the messages of this process.
    :param recorder: takes note of decisions.
    """

    def __init__(
        self,
        node: settings.Node,
        members,
        transport: interfaces.Transport,
        recorder: decisions.Recorder,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.suspects = crashing.Suspects(node.crash_limit, node.crash_hold_s)
        self.members = members
        self.recorder = recorder
        # When this process last let a request run on trial.
        self.trials: dict[str, float] = {}
        self.disseminator = dissemination.Disseminator(
            members, transport, self
        )
        # Requests that are refused now.
        self.refused: set[str] = set()
        self.counts: collections.Counter = collections.Counter()

    async def on_start(self) -> None:
        """Start to exchange what is known."""
        metrics.collect(self.samples)
        await self.add_runtime_dependency(self.disseminator)

    @mode.Service.task
    async def _sweep(self) -> None:
        """Forget what is too old."""
        while not self.should_stop:
            await self.sleep(SWEEP_INTERVAL_S)
            for digest in self.suspects.forget(clock.now()):
                self.trials.pop(digest, None)
            for digest in list(self.refused):
                self._check(digest, 'its time is over')

    # What the request path asks and tells

    def standing(self, digest: str) -> crashing.Standing:
        """Return what is known of a request."""
        return self.suspects.standing(digest, clock.now())

    def refuses(self, digest: str) -> bool:
        """Tell whether a request is not to reach an upstream."""
        return self.suspects.refuses(digest, clock.now())

    def may_begin(self, digest: str) -> bool:
        """Tell whether a request of this host's callers may be sent on.

        One whose time of refusal is over runs on trial, at one host of the
        fleet and one at a time: it may crash another upstream.
        """
        now = clock.now()
        if not self.suspects.on_trial(digest):
            return True
        if self.suspects.refuses(digest, now) or not self._is_trial_host(
            digest
        ):
            return False
        if now - self.trials.get(digest, -TRIAL_S) < TRIAL_S:
            return False
        self.trials[digest] = now
        return True

    def may_retry(self, digest: str) -> bool:
        """Tell whether a request that failed may reach another upstream."""
        crashes = self.suspects.standing(digest, clock.now()).crashes
        return crashes < self.suspects.limit - 1

    def _is_trial_host(self, digest: str) -> bool:
        """Tell whether trials of a request are up to this host."""
        nodes = [each for each in self.members.alive() if not each.control]
        ranked = rendezvous.rank(digest, nodes)
        return bool(ranked) and ranked[0].host == self.members.me.host

    def record_crash(
        self,
        incarnation: str,
        requests: typing.Mapping[str, str],
        proven: bool,
        how: str,
    ) -> None:
        """Take note that an upstream of this host crashed.

        :param incarnation: names the upstream and its start.
        :param requests: ids of what it was running, by digest.
        :param proven: whether it had served anything since its start.
        :param how: what shows that it crashed.
        """
        self.counts['crashes'] += 1
        facts = self.suspects.crashed(incarnation, requests, proven)
        self._add_facts(facts, THIS_HOST)
        for fact in facts:
            standing = self.standing(fact.digest)
            event = decisions.Suspected(
                fact.request,
                fact.digest,
                incarnation,
                how,
                proven,
                len(requests) - 1,
                standing.crashes,
                standing.cleared,
                standing.refused_s > 0,
            )
            self.recorder.tell(event, decisions.TROUBLE)

    def record_success(self, digest: str) -> None:
        """Take note that a request was answered well."""
        if digest:
            facts = self.suspects.ended_well(digest, clock.now())
            self._clear(facts, 'it ended well')

    def clear(self, digest: str) -> int:
        """Clear a request, as an operator wants; return of how many crashes.

        It may run again until further upstreams crash under it.
        """
        facts = self.suspects.clearing(digest, clock.now())
        self._clear(facts, 'an operator cleared it')
        return len(facts)

    def _clear(
        self, facts: typing.Collection[crashing.Fact], why: str
    ) -> None:
        if facts:
            self._add_facts(facts, THIS_HOST, why)

    # What other processes tell

    def facts_for(
        self, keys: typing.Collection[dissemination.Key]
    ) -> list[crashing.Fact]:
        """Return facts that are still known."""
        now = clock.now()
        wanted = set(keys)
        return [
            fact
            for digest in dict.fromkeys(digest for digest, _life in keys)
            for fact in self.suspects.facts(digest, now)
            if (fact.digest, fact.life) in wanted
        ]

    def all_facts(self) -> list[crashing.Fact]:
        """Return all facts, those of refused requests first."""
        facts = self.suspects.all_facts(clock.now())
        return sorted(facts, key=lambda f: f.digest not in self.refused)

    def receive(
        self, sender: str, facts: typing.Iterable[crashing.Fact]
    ) -> None:
        """Take facts that another process told."""
        self._add_facts(facts, sender)

    def _add_facts(
        self, facts: typing.Iterable[crashing.Fact], sender: str, why: str = ''
    ) -> None:
        """Take facts in, and pass on what is news."""
        now = clock.now()
        facts = list(facts)
        news = [fact for fact in facts if self.suspects.learn(fact, now)]
        self.counts['facts'] += len(facts)
        self.counts['doubled'] += len(facts) - len(news)
        if not news:
            return
        exclude = '' if sender == THIS_HOST else sender
        self.disseminator.broadcast(
            [(f.digest, f.life) for f in news], exclude
        )
        for digest in dict.fromkeys(fact.digest for fact in news):
            self._clear_if_succeeded(digest, now)
            self._check(digest, why or 'told by %s' % sender)

    def _clear_if_succeeded(self, digest: str, now: float) -> None:
        """Clear a request that this process has seen to end well of late."""
        if not self.suspects.was_sound(digest, now):
            return
        if self.suspects.standing(digest, now).crashes >= CLEAR_AT_CRASHES:
            facts = self.suspects.clearing(digest, now)
            self._clear(facts, 'it ended well here of late')

    def _check(self, digest: str, why: str) -> None:
        """Tell when a request begins or ceases to be refused."""
        standing = self.standing(digest)
        refused = standing.refused_s > 0
        if refused == (digest in self.refused):
            return
        if refused:
            self.refused.add(digest)
            self.counts['refused'] += 1
        else:
            self.refused.discard(digest)
            self.counts['released'] += 1
        event = decisions.Quarantined(
            standing.request,
            digest,
            refused,
            why,
            standing.crashes,
            standing.cleared,
            ' '.join(standing.lives),
            int(standing.age_s * MS),
            int(standing.refused_s * MS),
        )
        self.recorder.tell(event, decisions.BELIEF)

    # What operators see

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        suspects = len(self.suspects.crashes)
        yield metrics.Sample('quarantine_suspects', suspects)
        yield metrics.Sample('quarantine_refused', len(self.refused))
        counts = self.counts
        yield metrics.Sample('quarantine_crashes_total', counts['crashes'])
        yield metrics.Sample('quarantine_facts_total', counts['facts'])
        yield metrics.Sample('quarantine_doubled_total', counts['doubled'])
        yield metrics.Sample('quarantine_refused_total', counts['refused'])
        yield metrics.Sample('quarantine_released_total', counts['released'])

    def list_suspects(self) -> list[Suspect]:
        """Return what is known of each request, refused ones first."""
        found = [
            (digest, self.standing(digest)) for digest in self.suspects.crashes
        ]
        return [
            Suspect(
                digest,
                standing.request,
                round(standing.refused_s, 1),
                round(standing.age_s, 1),
                standing.lives,
                standing.cleared,
            )
            for digest, standing in sorted(
                found, key=lambda pair: (-pair[1].refused_s, pair[1].age_s)
            )
        ]

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the local API."""

        async def _list(_request: web.Request) -> web.Response:
            return localapi.json_response(
                [suspect._asdict() for suspect in self.list_suspects()]
            )

        async def _clear(request: web.Request) -> web.Response:
            count = self.clear(request.match_info['digest'])
            code = codes.OK if count else codes.SUSPECT_UNKNOWN
            answer = {'code': code.label, 'text': code.text, 'cleared': count}
            return localapi.json_response(answer, code.status)

        return [
            web.get('/v1/suspects', _list),
            web.delete('/v1/suspects/{digest}', _clear),
        ]
