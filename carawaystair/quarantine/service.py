"""The quarantine of one process: facts, decisions, metrics and local API."""

import collections
import typing

from aiohttp import web
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair.load import crash_suspects
from carawaystair import localapi
from carawaystair import metrics
from carawaystair.quarantine import dissemination
from carawaystair import rendezvous
from carawaystair import settings

# Interval at which expired facts are removed.
SWEEP_INTERVAL_S = 1.0
# A request that succeeded here recently is cleared only once this many
# crashes are known: a single crash may remain the only one.
CLEAR_AT_CRASHES = 2
# After this time another trial of a request may start.
TRIAL_S = 10.0
MS = 1000
THIS_HOST = 'this host'


class Suspect(typing.NamedTuple):
    """One suspected request, as shown to operators.

    :param digest: digest of the request.
    :param request: id of the attempt at the last crash.
    :param refused_s: seconds for which it remains refused; 0.0 when it is
        not refused.
    :param age_s: seconds since the last crash.
    :param upstreams: upstreams that crashed while they ran it,
        ``ID/INCARNATION`` each.
    :param cleared: number of crashes that it has been cleared of.
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
    :param transport: sends and receives messages.
    :param recorder: logs decisions.
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
        self.suspects = crash_suspects.Suspects(
            node.crash_limit, node.crash_hold_s
        )
        self.members = members
        self.recorder = recorder
        # Start of the last trial here of each request, by digest.
        self.trials: dict[str, float] = {}
        self.disseminator = dissemination.Disseminator(
            members, transport, self
        )
        # Digests of the requests that are refused now.
        self.refused: set[str] = set()
        self.counts: collections.Counter = collections.Counter()

    async def on_start(self) -> None:
        """Register the metrics and start to exchange facts."""
        metrics.collect(self.samples)
        await self.add_runtime_dependency(self.disseminator)

    @mode.Service.task
    async def _sweep(self) -> None:
        """Remove expired facts and end refusals whose time is over."""
        while not self.should_stop:
            await self.sleep(SWEEP_INTERVAL_S)
            for digest in self.suspects.expire(clock.now()):
                self.trials.pop(digest, None)
            for digest in list(self.refused):
                self._check(digest, 'its time is over')

    # Interface to the request path

    def standing(self, digest: str) -> crash_suspects.Standing:
        """Return the standing of a request."""
        return self.suspects.standing(digest, clock.now())

    def refuses(self, digest: str) -> bool:
        """Return whether a request must not reach an upstream now."""
        return self.suspects.refuses(digest, clock.now())

    def may_begin(self, digest: str) -> bool:
        """Return whether a request of this host's callers may be sent.

        A request whose hold time is over may crash another upstream, so it
        runs on trial: at one host of the fleet only, and one trial at a
        time.
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
        """Return whether a failed request may be sent to another upstream."""
        crashes = self.suspects.standing(digest, clock.now()).crashes
        return crashes < self.suspects.limit - 1

    def _is_trial_host(self, digest: str) -> bool:
        """Return whether trials of a request run at this host."""
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
        """Record the crash of an upstream of this host.

        :param incarnation: id of the upstream and its incarnation.
        :param requests: ids of the requests that it was running, by digest.
        :param proven: whether this incarnation had served a request
            successfully.
        :param how: evidence of the crash, for the log.
        """
        self.counts['crashes'] += 1
        facts = self.suspects.crash_facts(incarnation, requests, proven)
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
        """Clear a request that was answered successfully."""
        if digest:
            facts = self.suspects.record_success(digest, clock.now())
            self._clear(facts, 'it ended well')

    def clear(self, digest: str) -> int:
        """Clear a request on behalf of an operator.

        It is served again until further upstreams crash while they run it.

        :return: the number of crashes that it was cleared of.
        """
        facts = self.suspects.clearing_facts(digest, clock.now())
        self._clear(facts, 'an operator cleared it')
        return len(facts)

    def _clear(
        self, facts: typing.Collection[crash_suspects.Fact], why: str
    ) -> None:
        if facts:
            self._add_facts(facts, THIS_HOST, why)

    # Facts from other processes

    def facts_for(
        self, keys: typing.Collection[dissemination.Key]
    ) -> list[crash_suspects.Fact]:
        """Return those of the facts that are still known."""
        now = clock.now()
        wanted = set(keys)
        return [
            fact
            for digest in dict.fromkeys(
                digest for digest, _incarnation in keys
            )
            for fact in self.suspects.facts(digest, now)
            if (fact.digest, fact.incarnation) in wanted
        ]

    def all_facts(self) -> list[crash_suspects.Fact]:
        """Return all facts, those of refused requests first."""
        facts = self.suspects.all_facts(clock.now())
        return sorted(facts, key=lambda f: f.digest not in self.refused)

    def receive(
        self, sender: str, facts: typing.Iterable[crash_suspects.Fact]
    ) -> None:
        """Add facts received from another process."""
        self._add_facts(facts, sender)

    def _add_facts(
        self,
        facts: typing.Iterable[crash_suspects.Fact],
        sender: str,
        why: str = '',
    ) -> None:
        """Add facts and broadcast the new ones."""
        now = clock.now()
        facts = list(facts)
        new_facts = [fact for fact in facts if self.suspects.add(fact, now)]
        self.counts['facts'] += len(facts)
        self.counts['doubled'] += len(facts) - len(new_facts)
        if not new_facts:
            return
        exclude = '' if sender == THIS_HOST else sender
        self.disseminator.broadcast(
            [(f.digest, f.incarnation) for f in new_facts], exclude
        )
        for digest in dict.fromkeys(fact.digest for fact in new_facts):
            self._clear_if_succeeded(digest, now)
            self._check(digest, why or 'told by %s' % sender)

    def _clear_if_succeeded(self, digest: str, now: float) -> None:
        """Clear a suspected request that succeeded here recently."""
        if not self.suspects.recently_succeeded(digest, now):
            return
        if self.suspects.standing(digest, now).crashes >= CLEAR_AT_CRASHES:
            facts = self.suspects.clearing_facts(digest, now)
            self._clear(facts, 'it ended well here of late')

    def _check(self, digest: str, why: str) -> None:
        """Log and count the start or the end of a refusal."""
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
            ' '.join(standing.incarnations),
            int(standing.age_s * MS),
            int(standing.refused_s * MS),
        )
        self.recorder.tell(event, decisions.BELIEF)

    # Metrics and local API

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the metrics of the quarantine."""
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
        """Return all suspected requests, refused ones first."""
        found = [
            (digest, self.standing(digest)) for digest in self.suspects.crashes
        ]
        return [
            Suspect(
                digest,
                standing.request,
                round(standing.refused_s, 1),
                round(standing.age_s, 1),
                standing.incarnations,
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
