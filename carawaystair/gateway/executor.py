"""Runs requests at the upstreams of this host, and learns from each run."""

import math
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import hops
from carawaystair.gateway import instances as lives_module
from carawaystair.gateway import nested_calls as inners
from carawaystair.gateway import request_metrics as figures_module
from carawaystair.gateway import run_observer as evidence_module
from carawaystair.gateway import send_attempts
from carawaystair.gateway import slots as slots_module
from carawaystair import interfaces
from carawaystair.load import retry_budget
from carawaystair.load import slot_queue
from carawaystair.load import upstream_gate
from carawaystair.load import upstream_selection
from carawaystair import logs
from carawaystair.membership import registry as registries
from carawaystair.quarantine import crash_detection
from carawaystair.request import answer as answers
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import connections
from carawaystair.request import headers
from carawaystair.request import http_server
from carawaystair.request import validation
from carawaystair import settings as settings_module

# Statuses that promise that a request was not run.  An upstream that says so
# without its mark of a request that was not run is not believed.
PROMISES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421
OUT_OF_TIME = 504
MS = 1000
THOUSAND = 1000
PERCENT = 100

LOG = logs.get('gateway')


class Body(typing.NamedTuple):
    """The body of a request that was handed over.

    :param data: its bytes, None while they are not held here.
    :param source: where they are read from then.
    """

    data: bytes | None
    source: bodies.Source | None = None


class Executor:
    """The upstreams of this host; one for each process.

    :param membership: the upstreams of this host, and who else there is.
    :param settings: of the process.
    :param inner: knows of calls that upstreams of this host made.
    :param figures: counts runs.
    :param quarantine: knows requests that crash upstreams.
    :param recorder: takes note of decisions.
    """

    def __init__(
        self,
        membership,
        settings: settings_module.Settings,
        nested_calls: inners.NestedCalls,
        figures: figures_module.RequestMetrics,
        quarantine: interfaces.Quarantine,
        recorder: decisions.Recorder,
    ) -> None:
        self.membership = membership
        self.registry = membership.registry
        self.names = names = settings.headers
        self.node = settings.node
        self.nested_calls = nested_calls
        self.figures = figures
        self.quarantine = quarantine
        self.crashes = crash_detection.CrashDetector(quarantine)
        self.recorder = recorder
        # Nodes have the share of their own first sends; here is the slack.
        self.budgets = retry_budget.Budgets(
            0.0,
            settings.node.retry_slack,
            settings.node.retry_window_s,
            'slack of %s' % settings.host,
            clock.now(),
        )
        # The most gateways that each service was seen to have.
        self.sharers: dict[str, int] = {}
        self.instances: dict[str, lives_module.Instance] = {}
        self.running = lives_module.RunningAttempts()
        self.stopping = False
        self.not_run = names.not_run.lower().encode()
        self.receipt = names.receipt.lower().encode()
        self.registry.callbacks.append(self.changed)

    def process(self) -> str:
        """Return the name of this process, as other nodes know it."""
        return str(self.membership.incarnation)

    def mine(self, process: str) -> bool:
        """Tell whether a name is one of this process."""
        return process == self.process()

    # The upstreams of this host

    @property
    def slots(self) -> dict[str, slots_module.Slots]:
        """Return the slots of the upstreams of this host."""
        return {name: life.slots for name, life in self.instances.items()}

    def changed(self, name: str) -> None:
        """Take note of an announcement that changed."""
        lease = self.registry.leases.get(name)
        said = None if lease is None else lease.announcement
        life = self.instances.get(name)
        if life is not None and not _same(life, said):
            self._end(life, said)
            life = None
        if said is None:
            # What runs there goes on; new work finds no lease.
            return
        if life is None:
            life = self._begin(name, said)
        life.hear(said)

    def _begin(
        self, name: str, said: registries.Announcement
    ) -> lives_module.Instance:
        life = lives_module.Instance(name, said, self.process)
        self.instances[name] = life
        cut = self.running.cut(name, said.incarnation)
        self.recorder.tell(
            decisions.LifeBegan(
                name,
                said.service,
                said.address,
                said.incarnation,
                said.slots,
                int(said.warmup_s * MS),
                cut,
            ),
            decisions.BELIEF,
        )
        return life

    def _end(
        self, life: lives_module.Instance, said: registries.Announcement | None
    ) -> None:
        """Let go of a life that is over.

        :param said: of the life that follows, None when there is none.
        """
        name, line = life.name, life.slots.queue
        why = 'started anew'
        if said is None:
            why = 'left' if name in self.registry.departed else 'silent'
        event = decisions.LifeEnded(
            name,
            life.said.service,
            life.said.incarnation,
            why,
            line.running,
            len(line.waiting),
            len(life.target.idle_connections),
        )
        self.recorder.tell(event, decisions.BELIEF)
        del self.instances[name]
        self.crashes.incarnation_ended(life.target, why == 'left')
        life.end()

    def close(self) -> None:
        """Take no new work: the process stops."""
        self.stopping = True
        for life in self.instances.values():
            life.slots.refuse_all(hops.LEAVING)

    def sweep(self, now: float) -> None:
        """Close connections to upstreams that were idle too long."""
        for life in self.instances.values():
            connections.close_stale(life.target, now)

    # One request

    async def run(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        take: typing.Callable[[], typing.Awaitable[Body]],
    ) -> answers.Answer:
        """Give a request a slot and send it to its upstream.

        :param take: returns its body, once it has a slot.
        """
        life = self._life(hop)
        self._check_crashing(hop)
        slots = life.slots
        now = clock.now()
        left_s = hop.left_ms / MS if hop.left_ms >= 0 else -math.inf
        call = hops.call(hop, request, None, now + left_s)
        goal = now + hop.goal_ms / MS if hop.goal_ms >= 0 else now
        want = slot_queue.SlotRequest(
            hop.key, hop.route, call.deadline, goal, hop.priority, hop.inner
        )
        trial = self._is_trial(hop, slots, want, now)
        self._check_repeat(hop, now)
        try:
            waited_s = await self._wait(hop, life, want)
            call, source = await self._with_body(hop, slots, call, take)
            self._check_crashing(hop, slots)
            self._pay_calls(hop, slots)
        except BaseException:
            self._give_back(hop, now)
            raise
        line = slots.queue
        self.recorder.tell(
            decisions.Began(
                hop.id,
                hop.upstream,
                hop.host,
                int(waited_s * MS),
                line.running,
                len(line.waiting),
                line.slots,
                int((call.deadline - clock.now()) * MS),
                trial,
            )
        )
        self._count(hop)
        attempt = send_attempts.UpstreamAttempt(
            call, life.target, self.names, hop.caller_service, source
        )
        self.running.begin(attempt)

        def release() -> None:
            self.running.end(attempt)
            slots.free(hop.key)
            if passing:
                self._passed(hop, life, attempt)

        passing = False
        try:
            answer = await self._send(hop, life, attempt, waited_s)
            if answer.rest is not None:
                attempt.release = release
                passing = True
            return answer
        except slots_module.Refused as refused:
            if refused.reason not in hops.ARRIVED:
                self._give_back(hop, now)
            raise
        finally:
            if not passing:
                release()

    async def _wait(
        self,
        hop: hops.Hop,
        life: lives_module.Instance,
        want: slot_queue.SlotRequest,
    ) -> float:
        """Wait for a slot; return the seconds that it took.

        :raises slots.Refused: when there is none in time.
        """
        waited_s = await life.slots.take(want, hop.stays)
        if self.instances.get(hop.upstream) is not life:
            # The life that it was given a slot of has ended meanwhile.
            life.slots.free(hop.key)
            raise slots_module.Refused(hops.LEAVING)
        return waited_s

    async def _with_body(
        self,
        hop: hops.Hop,
        slots: slots_module.Slots,
        call: calls.Call,
        take: typing.Callable[[], typing.Awaitable[Body]],
    ) -> tuple[calls.Call, bodies.Source | None]:
        """Return a request with its body; its slot is freed if none comes.

        :raises slots.Refused: when the body breaks off: it was not run.
        """
        try:
            body = await take()
        except validation.Refused as refused:
            slots.free(hop.key)
            raise slots_module.Refused(
                hops.UNREACHABLE, refused.detail
            ) from None
        except BaseException:
            slots.free(hop.key)
            raise
        return call._replace(body=body.data), body.source

    def _is_trial(
        self,
        hop: hops.Hop,
        slots: slots_module.Slots,
        want: slot_queue.SlotRequest,
        now: float,
    ) -> bool:
        """Tell whether a request runs here only for what it shows.

        :raises slots.Refused: when it should not run here.
        """
        if hop.stays:
            return False
        offer = upstream_gate.Offer(
            hop.last or hop.repeat or not hop.idempotent,
            hop.repeat,
            hop.second / THOUSAND,
            hop.least / THOUSAND,
            hop.calm,
            hop.usual_ms / MS,
        )
        answer = slots.gate.answer(offer, want, now)
        if answer.reason:
            raise slots_module.Refused(answer.reason, answer.detail)
        return answer.trial

    def _check_repeat(self, hop: hops.Hop, now: float) -> None:
        """Take a repeat that its sender did not pay for from the slack.

        :raises slots.Refused: when the service may not get any more.
        """
        if not _takes_slack(hop):
            return
        budget = self.budgets.for_service(hop.service)
        if not budget.take_retry(now, self._sharers(hop.service)):
            raise slots_module.Refused(hops.SPENT, 'slack')

    def _give_back(self, hop: hops.Hop, taken_at: float) -> None:
        """Put back what :meth:`_check_repeat` took: it reached nobody.

        Symptom without it: while all are busy, each question for a repeat
        takes one away, and those that find a slot are refused.
        """
        if _takes_slack(hop):
            self.budgets.for_service(hop.service).refund(taken_at)

    def _check_crashing(
        self, hop: hops.Hop, slots: slots_module.Slots | None = None
    ) -> None:
        """Refuse a request under which upstreams crashed.

        :param slots: where it has one, which is freed.
        :raises slots.Refused: when it is not to reach an upstream.
        """
        if not self.quarantine.refuses(hop.digest):
            return
        if slots is not None:
            slots.free(hop.key)
        lives = self.quarantine.standing(hop.digest).incarnations
        raise slots_module.Refused(hops.CRASHING, ' '.join(lives))

    def _pay_calls(self, hop: hops.Hop, slots: slots_module.Slots) -> None:
        """Pay for the calls of a repeat.

        :raises slots.Refused: when they can't be paid; its slot is freed.
        """
        payer = self.nested_calls.payer
        if hop.repeat and not payer.prepay(hop.id, hop.service, clock.now()):
            slots.free(hop.key)
            raise slots_module.Refused(hops.SPENT, 'calls')

    def _count(self, hop: hops.Hop) -> None:
        """Count a request that goes to its upstream now."""
        if not hop.repeat and not hop.echo:
            self.budgets.for_service(hop.service).record_first_send(
                clock.now()
            )

    def _sharers(self, service: str) -> int:
        """Return how many gateways share the repeats of a service.

        The most that were ever seen: a part of the fleet that is cut off
        must not take the whole bound for itself.
        """
        now = len(self.membership.directory.upstreams(service))
        most = max(self.sharers.get(service, 1), now)
        self.sharers[service] = most
        return most

    def _life(self, hop: hops.Hop) -> lives_module.Instance:
        """Return the life of an upstream that takes new work."""
        life = self.instances.get(hop.upstream)
        if life is None:
            raise slots_module.Refused(hops.ABSENT)
        if self.stopping or life.said.state != interfaces.UP:
            raise slots_module.Refused(hops.LEAVING)
        return life

    # At the upstream

    async def _send(
        self,
        hop: hops.Hop,
        life: lives_module.Instance,
        attempt: send_attempts.UpstreamAttempt,
        waited_s: float,
    ) -> answers.Answer:
        """Send a request to its upstream and learn from what comes.

        :param life: of the upstream.
        :param waited_s: how long it waited for its slot.
        """
        began = clock.now()
        slots = life.slots
        evidence = evidence_module.RunObserver(hop.upstream, slots, hop.route)
        self.nested_calls.began(
            hop.id, hop.service, hop.priority, hop.repeat or hop.echo
        )
        status, detail = 0, ''
        outcome = interfaces.CANCELLED
        try:
            answer = await send_attempts.answer_of(
                attempt, attempt.call.deadline
            )
            status = answer.status
            outcome = self._outcome(answer)
            if outcome == interfaces.GOOD and answer.rest is None:
                self._ended_well(hop, life)
            return self._checked(answer, outcome)
        except answers.Failed as failed:
            outcome, detail = failed.outcome, failed.detail
            if not failed.sent:
                raise slots_module.Refused(
                    hops.UNREACHABLE, failed.detail
                ) from None
            if outcome == interfaces.BROKEN:
                self.crashes.connection_broke(life.target, hop.digest, hop.id)
            raise
        finally:
            evidence.stop()
            self.nested_calls.ended(hop.id)
            took_s = clock.now() - began
            self._learn(hop, evidence, outcome, status)
            self.figures.ran(hop.service, outcome, waited_s, took_s)
            good = outcome == interfaces.GOOD
            self.recorder.tell(
                decisions.Ended(
                    hop.id,
                    hop.upstream,
                    outcome,
                    status,
                    int(took_s * MS),
                    int(slots.failing() * PERCENT),
                    hop.digest,
                    detail,
                ),
                decisions.ROUTINE if good else decisions.TROUBLE,
            )

    def _passed(
        self,
        hop: hops.Hop,
        life: lives_module.Instance,
        attempt: send_attempts.UpstreamAttempt,
    ) -> None:
        """Take note of a long answer that is passed on no more."""
        if attempt.payload.exception() is not None:
            self.crashes.connection_broke(life.target, hop.digest, hop.id)
        elif attempt.payload.is_eof():
            self._ended_well(hop, life)

    def _ended_well(self, hop: hops.Hop, life: lives_module.Instance) -> None:
        """Take note of a good answer that came whole."""
        life.target.has_served = True
        self.quarantine.record_success(hop.digest)

    def _outcome(self, answer: answers.Answer) -> str:
        """Return what an answer shows of its upstream."""
        marked = headers.value(answer.headers, self.not_run) is not None
        if marked or answer.status == MISDIRECTED:
            return interfaces.SHED
        if answer.status >= 500 or answer.status in PROMISES:
            return interfaces.ERROR
        good = 200 <= answer.status < 300
        unsigned = (
            self.receipt
            and good
            and not headers.value(answer.headers, self.receipt)
        )
        return interfaces.BROKEN if unsigned else interfaces.GOOD

    def _checked(self, answer: answers.Answer, outcome: str) -> answers.Answer:
        """Return an answer that may be passed on."""
        if outcome == interfaces.SHED:
            _drop(answer)
            moved = answer.status == MISDIRECTED
            raise slots_module.Refused(hops.MOVED if moved else hops.SHED)
        if outcome == interfaces.BROKEN:
            _drop(answer)
            raise answers.Failed(
                outcome, codes.ANSWER_MALFORMED, True, 'no receipt'
            )
        if answer.status in PROMISES:
            # Passed on, it would promise that the request has not run.
            _drop(answer)
            raise answers.Failed(
                outcome,
                codes.ANSWER_LOST,
                True,
                'status %d without a mark' % answer.status,
            )
        return answer

    def _learn(
        self,
        hop: hops.Hop,
        evidence: evidence_module.RunObserver,
        outcome: str,
        status: int,
    ) -> None:
        """Let the end of a run count as evidence about its upstream."""
        if outcome == interfaces.GOOD:
            evidence.succeeded()
        elif outcome == interfaces.SHED:
            evidence.shed()
        elif outcome == interfaces.CANCELLED or status == OUT_OF_TIME:
            return
        elif outcome == interfaces.ERROR and self.nested_calls.to_blame(
            hop.id
        ):
            # It failed for what it had called, as a rule.
            return
        else:
            evidence.failed()

    def report(
        self, upstream: str, route: str = ''
    ) -> upstream_selection.LoadReport:
        """Return what other nodes should know of an upstream."""
        life = self.instances.get(upstream)
        if life is None:
            return slots_module.Slots(self.process, 0).report(route)
        report = life.slots.report(route)
        return report._replace(incarnation=life.said.incarnation)


def _takes_slack(hop: hops.Hop) -> bool:
    """Tell whether a request counts as a repeat that nobody paid for."""
    return (hop.repeat or hop.echo) and not hop.paid


def _same(
    life: lives_module.Instance, said: registries.Announcement | None
) -> bool:
    """Tell whether an announcement is of a life that is known."""
    return said is not None and said.incarnation == life.said.incarnation


def _drop(answer: answers.Answer) -> None:
    if answer.rest is not None:
        answer.rest.abort()
