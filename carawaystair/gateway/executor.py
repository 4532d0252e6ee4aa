"""Runs requests at the upstreams of this host and evaluates each run."""

import collections
import math
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import call_tracker
from carawaystair.gateway import hops
from carawaystair.gateway import instances
from carawaystair.gateway import request_metrics
from carawaystair.gateway import run_observer
from carawaystair.gateway import send_attempts
from carawaystair.gateway import slots as slots_module
from carawaystair.gateway import statement_handler
from carawaystair import interfaces
from carawaystair.load import rejection
from carawaystair.load import retry_budget
from carawaystair.load import run_times
from carawaystair.load import slot_queue
from carawaystair.load import stopping
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

# Statuses that promise that a request was not run.  The promise is trusted
# only if the upstream's not-run header comes with it.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421
GATEWAY_TIMEOUT = 504
MS = 1000
MB = 1024 * 1024
THOUSAND = 1000
PERCENT = 100

LOG = logs.get('gateway')


class Body(typing.NamedTuple):
    """The body of a received request.

    :param data: its bytes; None if they are not buffered here.
    :param source: the stream from which they are read in that case.
    """

    data: bytes | None
    source: bodies.Source | None = None


class Limits(typing.NamedTuple):
    """Times that bound a run.

    :param deadline: monotonic time of its request's deadline.
    :param sender_ends_at: monotonic time at which its sender ends; infinite
        unless that comes before the deadline.
    """

    deadline: float
    sender_ends_at: float


class Executor:
    """Runs requests at the upstreams of this host; one for each process.

    :param membership: the membership service of the process.
    :param settings: settings of the process.
    :param nested: tracks nested calls of this host's upstreams.
    :param metrics: counts runs.
    :param quarantine: tracks requests that crash upstreams.
    :param recorder: records events.
    :param statements: applies what upstreams state in their answers.
    """

    def __init__(
        self,
        membership,
        settings: settings_module.Settings,
        nested: call_tracker.NestedCallTracker,
        metrics: request_metrics.RequestMetrics,
        quarantine: interfaces.Quarantine,
        recorder: decisions.Recorder,
        statements: statement_handler.StatementHandler,
    ) -> None:
        self.statements = statements
        self.membership = membership
        self.registry = membership.registry
        self.header_names = names = settings.headers
        self.node = settings.node
        self.nested_calls = nested
        self.metrics = metrics
        self.quarantine = quarantine
        self.crashes = crash_detection.CrashDetector(quarantine)
        self.recorder = recorder
        # Nodes have budgets in proportion to their first sends; gateways have
        # the constant part.
        self.retry_budgets = retry_budget.Budgets(
            0.0,
            settings.node.retry_slack,
            settings.node.retry_window_s,
            'slack of %s' % settings.host,
            clock.now(),
        )
        # The highest number of gateways seen for each service.
        self.gateway_counts: dict[str, int] = {}
        self.instances: dict[str, instances.Instance] = {}
        self.running = instances.RunningAttempts()
        # How long runs have taken here, by service.
        self.run_times: dict[str, run_times.RunTimes] = (
            collections.defaultdict(run_times.RunTimes)
        )
        # When the process ends, once it has been asked to stop.
        self.ends_at = math.inf
        self.stopping = False
        self.not_run_header = names.not_run.lower().encode()
        self.receipt_header = names.receipt.lower().encode()
        self.registry.callbacks.append(self.on_announcement)

    def process_id(self) -> str:
        """Return the id of this process, as other nodes know it."""
        return str(self.membership.incarnation)

    def is_own_process(self, process: str) -> bool:
        """Return whether an id is that of this process."""
        return process == self.process_id()

    # The upstreams of this host

    @property
    def slots(self) -> dict[str, slots_module.Slots]:
        """Return the slots of the upstreams of this host."""
        return {
            name: instance.slots for name, instance in self.instances.items()
        }

    def on_announcement(self, name: str) -> None:
        """Apply a changed, new or ended announcement of an upstream."""
        lease = self.registry.leases.get(name)
        announcement = None if lease is None else lease.announcement
        instance = self.instances.get(name)
        if instance is not None and not _is_current(instance, announcement):
            self._end_instance(instance, announcement)
            instance = None
        if announcement is None:
            # Running requests continue; new ones are refused.
            return
        if instance is None:
            instance = self._start_instance(name, announcement)
        instance.update(announcement)

    def _start_instance(
        self, name: str, announcement: registries.Announcement
    ) -> instances.Instance:
        instance = instances.Instance(
            name, announcement, self.process_id, self.node.measure_slots
        )
        instance.bodies.limit = int(self.node.upstream_body_mb * MB)
        self.instances[name] = instance
        aborted = self.running.abort_older(name, announcement.incarnation)
        self.recorder.tell(
            decisions.LifeBegan(
                name,
                announcement.service,
                announcement.address,
                announcement.incarnation,
                announcement.slots,
                int(announcement.warmup_s * MS),
                aborted,
            ),
            decisions.BELIEF,
        )
        return instance

    def _end_instance(
        self,
        instance: instances.Instance,
        announcement: registries.Announcement | None,
    ) -> None:
        """End an instance.

        :param announcement: that of the next instance; None if there is none.
        """
        name, queue = instance.name, instance.slots.queue
        why = 'started anew'
        if announcement is None:
            why = 'left' if name in self.registry.departed else 'silent'
        event = decisions.LifeEnded(
            name,
            instance.announcement.service,
            instance.announcement.incarnation,
            why,
            queue.running,
            len(queue.waiting),
            len(instance.target.idle_connections),
        )
        self.recorder.tell(event, decisions.BELIEF)
        del self.instances[name]
        self.crashes.incarnation_ended(instance.target, why == 'left')
        instance.close()

    def stop(self, ends_at: float) -> None:
        """Run only what ends in time, as the process stops.

        :param ends_at: monotonic time at which the process ends.
        """
        self.ends_at = ends_at
        for instance in self.instances.values():
            instance.slots.refuse_waiting(hops.LEAVING)

    def close(self) -> None:
        """Refuse new requests."""
        self.stopping = True
        for instance in self.instances.values():
            instance.slots.refuse_waiting(hops.LEAVING)

    def has_time(self, reserve_s: float) -> bool:
        """Return whether a usual request would end before the process does.

        :param reserve_s: time that is needed after it, seconds.
        """
        now = clock.now()
        return any(
            stopping.may_run(
                self.ends_at - now - reserve_s,
                stopping.Expectation(
                    instance.slots.queue.durations.mean,
                    instance.slots.queue.long_service_s('', now),
                ),
                True,
            )
            for instance in self.instances.values()
        )

    def _check_ends(
        self, hop: hops.Hop, instance: instances.Instance, limits: Limits
    ) -> None:
        """Refuse a request that a process on its way might not outlive.

        :raises slots.Refused: when it may not begin.
        """
        if self.stopping:
            raise slots_module.Refused(hops.LEAVING)
        if math.isinf(self.ends_at) and not hop.ends_with_sender:
            return
        now = clock.now()
        expectation = self._expectation(hop, instance, limits, now)
        if not stopping.may_run(
            self.ends_at - now, expectation, _is_repeatable(hop)
        ):
            raise slots_module.Refused(hops.LEAVING)
        # Nothing can be repeated once its sender has ended.
        if hop.ends_with_sender and not stopping.may_run(
            limits.sender_ends_at - now, expectation, False
        ):
            raise slots_module.Refused(hops.SENDER_LEAVING)

    def _check_begin(
        self, hop: hops.Hop, instance: instances.Instance, limits: Limits
    ) -> None:
        """Refuse a request with a slot that would end too late by now.

        :raises slots.Refused: its slot is released.
        """
        try:
            self._check_ends(hop, instance, limits)
        except slots_module.Refused:
            instance.slots.release(hop.key)
            raise

    def _expectation(
        self,
        hop: hops.Hop,
        instance: instances.Instance,
        limits: Limits,
        now: float,
    ) -> stopping.Expectation:
        """Return what is expected of the run of a request."""
        queue, times = instance.slots.queue, self._times(instance)
        seen = times.seen(hop.route)
        return stopping.Expectation(
            _expected_s(hop, instance.slots, now),
            queue.long_service_s(hop.route, now),
            limits.deadline - now,
            seen._replace(longest_s=queue.warmup_factor(now) * seen.longest_s),
            times.oldest_s(hop.route, now),
        )

    def _latest_answer(
        self, hop: hops.Hop, slots: slots_module.Slots, now: float
    ) -> float:
        """Return by when the answer is due if its sender ends before that."""
        return stopping.latest_answer(
            _sender_ends_at(hop, now),
            _expected_s(hop, slots, now),
            _is_repeatable(hop),
        )

    def _times(self, instance: instances.Instance) -> run_times.RunTimes:
        """Return how long the runs of an upstream's service have taken."""
        return self.run_times[instance.announcement.service]

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for instance in self.instances.values():
            connections.close_stale(instance.target, now)

    def hear(self, hop: hops.Hop) -> None:
        """Apply what the sender of a request knows of its upstream."""
        instance = self.instances.get(hop.upstream)
        if instance is not None:
            self.statements.hear(hop, instance)

    # One request

    async def run(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        receive_body: typing.Callable[[], typing.Awaitable[Body]],
    ) -> answers.Answer:
        """Run a request once it has a slot.

        :param receive_body: returns its body; called when it has a slot.
        """
        now = clock.now()
        remaining_s = (
            hop.remaining_ms / MS if hop.remaining_ms >= 0 else -math.inf
        )
        limits = Limits(now + remaining_s, _sender_ends_at(hop, now))
        instance = self._instance(hop, limits)
        self._check_crashing(hop)
        slots = instance.slots
        call = hops.to_call(hop, request, None, limits.deadline)
        goal = now + hop.goal_ms / MS if hop.goal_ms >= 0 else now
        slot_request = slot_queue.SlotRequest(
            hop.key,
            hop.route,
            min(call.deadline, self._latest_answer(hop, slots, now)),
            goal,
            hop.priority,
            hop.nested,
            hop.customer,
        )
        trial = self._is_trial(hop, slots, slot_request, now)
        self._charge_retry(hop, now)
        body_bytes = 0
        try:
            waited_s = await self._wait(hop, instance, slot_request, limits)
            body_bytes = self._take_body(hop, instance, request)
            call, source = await self._with_body(
                hop, slots, call, receive_body
            )
            self._check_begin(hop, instance, limits)
            self._check_crashing(hop, slots)
            self._charge_nested_calls(hop, slots)
        except BaseException:
            instance.bodies.give(body_bytes)
            self._refund_retry(hop, now)
            raise
        queue, times = slots.queue, self._times(instance)
        seen = times.seen(hop.route)
        self.recorder.tell(
            decisions.Began(
                hop.id,
                hop.upstream,
                hop.host,
                int(waited_s * MS),
                queue.running,
                len(queue.waiting),
                queue.slots,
                int((call.deadline - clock.now()) * MS),
                trial,
                hop.service,
                hop.send_number,
                _kind_of_repeat(hop),
                _payer(hop),
                int((clock.now() - now) * MS) if _uses_slack(hop) else -1,
                stopping.left_ms(self.ends_at),
                int(_expected_s(hop, slots, now) * MS),
                int(seen.longest_s * MS),
                seen.runs,
                stopping.left_ms(limits.sender_ends_at),
            ),
            # Good requests must not crowd out the repeats of others.
            decisions.TROUBLE if _kind_of_repeat(hop) else decisions.ROUTINE,
        )
        self._count_first(hop)
        attempt = send_attempts.UpstreamAttempt(
            call,
            instance.target,
            self.header_names,
            hop.caller_service,
            hop.customer,
            source,
            stopping.work_until(min(self.ends_at, _sender_ends_at(hop, now))),
        )
        self.running.add(attempt)
        run = times.begin(hop.route, clock.now())

        def release() -> None:
            self.running.remove(attempt)
            times.end(run, _ended_well(attempt), clock.now())
            instance.bodies.give(body_bytes)
            slots.release(hop.key, attempt.sent)
            if streaming:
                # Breaks the reference cycle with the attempt.
                attempt.release_slot = None
                self._streaming_ended(hop, instance, attempt)

        streaming = False
        try:
            answer = await self._send(hop, instance, attempt, waited_s)
            if answer.rest is not None:
                attempt.release_slot = release
                streaming = True
            return answer
        except slots_module.Refused as refused:
            if refused.reason not in hops.SENT_TO_UPSTREAM:
                self._refund_retry(hop, now)
            raise
        finally:
            if not streaming:
                release()

    async def _wait(
        self,
        hop: hops.Hop,
        instance: instances.Instance,
        slot_request: slot_queue.SlotRequest,
        limits: Limits,
    ) -> float:
        """Wait for a slot; return the time that it took, seconds.

        :raises slots.Refused: when no slot will be free in time.
        """
        waited_s = await instance.slots.acquire(slot_request, hop.may_wait)
        self._check_present(hop, instance)
        self._check_begin(hop, instance, limits)
        return waited_s

    def _take_body(
        self,
        hop: hops.Hop,
        instance: instances.Instance,
        request: http_server.Request,
    ) -> int:
        """Count the body of a request that has a slot; return its size.

        :raises slots.Refused: when the upstream has too many bytes already;
            its slot is released.
        """
        size = bodies.declared_length(request)
        if size is None:
            size = bodies.MAX_BUFFERED_BYTES
        if not instance.bodies.take(size):
            instance.slots.release(hop.key)
            raise slots_module.Refused(
                rejection.BUSY, 'bodies of %d bytes' % instance.bodies.bytes
            )
        return size

    async def _with_body(
        self,
        hop: hops.Hop,
        slots: slots_module.Slots,
        call: calls.Call,
        receive_body: typing.Callable[[], typing.Awaitable[Body]],
    ) -> tuple[calls.Call, bodies.Source | None]:
        """Receive a request's body; release its slot if that fails.

        :raises slots.Refused: when the body is incomplete: nothing has run.
        """
        try:
            body = await receive_body()
        except validation.Refused as refused:
            slots.release(hop.key)
            raise slots_module.Refused(
                hops.UNREACHABLE, refused.detail
            ) from None
        except BaseException:
            slots.release(hop.key)
            raise
        return call._replace(body=body.data), body.source

    def _is_trial(
        self,
        hop: hops.Hop,
        slots: slots_module.Slots,
        slot_request: slot_queue.SlotRequest,
        now: float,
    ) -> bool:
        """Return whether the request runs here as a trial of the upstream.

        :raises slots.Refused: when it should not run here.
        """
        if hop.may_wait:
            return False
        offer = upstream_gate.Offer(
            hop.final_attempt or hop.retry or not hop.idempotent,
            hop.retry,
            hop.retry_value / THOUSAND,
            hop.min_value / THOUSAND,
            hop.service_healthy,
            hop.typical_ms / MS,
        )
        answer = slots.gate.answer(offer, slot_request, now)
        if answer.reason:
            raise slots_module.Refused(answer.reason, answer.detail)
        return answer.trial

    def _charge_retry(self, hop: hops.Hop, now: float) -> None:
        """Charge a retry that its sender did not budget to the slack.

        :raises slots.Refused: when the slack of the service is used up.
        """
        if not _uses_slack(hop):
            return
        budget = self.retry_budgets.for_service(hop.service)
        if not budget.take_retry(now, self._gateway_count(hop.service)):
            raise slots_module.Refused(hops.SPENT, 'slack')

    def _refund_retry(self, hop: hops.Hop, taken_at: float) -> None:
        """Refund :meth:`_charge_retry` for a retry that did not run.

        Otherwise, while all upstreams are busy, retries that are refused
        would use up the budget, and those that find a slot would be refused.
        """
        if _uses_slack(hop):
            self.retry_budgets.for_service(hop.service).refund(taken_at)

    def _check_crashing(
        self, hop: hops.Hop, slots: slots_module.Slots | None = None
    ) -> None:
        """Refuse a request that crashes upstreams.

        :param slots: those in which it has a slot, which is released.
        :raises slots.Refused: when the request is in quarantine.
        """
        if not self.quarantine.refuses(hop.digest):
            return
        if slots is not None:
            slots.release(hop.key)
        lives = self.quarantine.standing(hop.digest).incarnations
        raise slots_module.Refused(hops.CRASHING, ' '.join(lives))

    def _charge_nested_calls(
        self, hop: hops.Hop, slots: slots_module.Slots
    ) -> None:
        """Charge the nested calls of a retry to the budget.

        :raises slots.Refused: when the budget is used up; its slot is
            released.
        """
        budget = self.nested_calls.budget
        if hop.retry and not budget.prepay(hop.id, hop.service, clock.now()):
            slots.release(hop.key)
            raise slots_module.Refused(hops.SPENT, 'calls')

    def _count_first(self, hop: hops.Hop) -> None:
        """Count a first run, in proportion to which retries are allowed."""
        if not hop.retry and not hop.caller_retried:
            self.retry_budgets.for_service(hop.service).record_first_send(
                clock.now()
            )

    def _gateway_count(self, service: str) -> int:
        """Return how many gateways share the retry budget of a service.

        The highest number ever seen counts, so that a partition of the fleet
        does not use the whole budget on its own.
        """
        now = len(self.membership.directory.upstreams(service))
        most = max(self.gateway_counts.get(service, 1), now)
        self.gateway_counts[service] = most
        return most

    def _instance(self, hop: hops.Hop, limits: Limits) -> instances.Instance:
        """Return the instance that is to run a request.

        :raises slots.Refused: when it takes no new work.
        """
        instance = self.instances.get(hop.upstream)
        if instance is None:
            raise slots_module.Refused(hops.ABSENT)
        if instance.announcement.state != interfaces.UP:
            raise slots_module.Refused(hops.LEAVING)
        self._check_ends(hop, instance, limits)
        return instance

    # At the upstream

    async def _send(
        self,
        hop: hops.Hop,
        instance: instances.Instance,
        attempt: send_attempts.UpstreamAttempt,
        waited_s: float,
    ) -> answers.Answer:
        """Send a request to its upstream and evaluate the outcome.

        :param instance: the instance of the upstream.
        :param waited_s: how long the request waited for its slot.
        """
        began = clock.now()
        slots = instance.slots
        observer = run_observer.RunObserver(
            hop.upstream, slots, hop.route, hop.id, self.recorder
        )
        self.nested_calls.run_started(
            hop.id,
            hop.service,
            hop.priority,
            hop.retry or hop.caller_retried,
        )
        status, detail = 0, ''
        outcome = interfaces.CANCELLED
        try:
            answer = await send_attempts.send_for_answer(
                attempt, attempt.call.deadline
            )
            status = answer.status
            outcome = self._outcome(answer)
            if outcome == interfaces.GOOD and answer.rest is None:
                self._completed(hop, instance)
            return self._forwardable(answer, outcome)
        except answers.Failed as failed:
            outcome, detail = failed.outcome, failed.detail
            if not failed.sent:
                raise slots_module.Refused(
                    hops.UNREACHABLE, failed.detail
                ) from None
            if outcome == interfaces.BROKEN:
                self.crashes.connection_broke(
                    instance.target, hop.digest, hop.id
                )
            raise
        finally:
            observer.stop()
            self.nested_calls.run_ended(hop.id)
            took_s = clock.now() - began
            if attempt.message is not None:
                self.statements.read(hop, instance, attempt, outcome, began)
            self._record_evidence(hop, observer, outcome, status)
            self.metrics.record_run(
                hop.service, outcome, waited_s, took_s, hop.customer
            )
            good = outcome == interfaces.GOOD
            self.recorder.tell(
                decisions.Ended(
                    hop.id,
                    hop.upstream,
                    outcome,
                    status,
                    int(took_s * MS),
                    int(slots.failure_chance() * PERCENT),
                    hop.digest,
                    detail,
                ),
                decisions.ROUTINE if good else decisions.TROUBLE,
            )

    def _check_present(
        self, hop: hops.Hop, instance: instances.Instance
    ) -> None:
        """Refuse a request whose upstream ended while it waited.

        :raises slots.Refused: its slot is released.
        """
        if self.instances.get(instance.name) is not instance:
            instance.slots.release(hop.key)
            raise slots_module.Refused(hops.LEAVING)

    def _streaming_ended(
        self,
        hop: hops.Hop,
        instance: instances.Instance,
        attempt: send_attempts.UpstreamAttempt,
    ) -> None:
        """Evaluate the end of a long answer."""
        if attempt.payload.exception() is not None:
            self.crashes.connection_broke(instance.target, hop.digest, hop.id)
        elif attempt.payload.is_eof():
            self._completed(hop, instance)

    def _completed(self, hop: hops.Hop, instance: instances.Instance) -> None:
        """Record a good answer that was complete."""
        instance.target.has_served = True
        self.quarantine.record_success(hop.digest)

    def _outcome(self, answer: answers.Answer) -> str:
        """Return what an answer says about its upstream."""
        marked = headers.value(answer.headers, self.not_run_header) is not None
        if marked or answer.status == MISDIRECTED:
            return interfaces.SHED
        if answer.status >= 500 or answer.status in NOT_RUN_STATUSES:
            return interfaces.ERROR
        good = 200 <= answer.status < 300
        unsigned = (
            self.receipt_header
            and good
            and not headers.value(answer.headers, self.receipt_header)
        )
        return interfaces.BROKEN if unsigned else interfaces.GOOD

    def _forwardable(
        self, answer: answers.Answer, outcome: str
    ) -> answers.Answer:
        """Return an answer that may be forwarded; raise for all others."""
        if outcome == interfaces.SHED:
            _discard(answer)
            moved = answer.status == MISDIRECTED
            raise slots_module.Refused(hops.MOVED if moved else hops.SHED)
        if outcome == interfaces.BROKEN:
            _discard(answer)
            raise answers.Failed(
                outcome,
                codes.ANSWER_MALFORMED,
                True,
                'no receipt',
            )
        if answer.status in NOT_RUN_STATUSES:
            # Forwarded, it would promise that the request has not run.
            _discard(answer)
            raise answers.Failed(
                outcome,
                codes.ANSWER_LOST,
                True,
                'status %d without a mark' % answer.status,
            )
        return answer

    def _record_evidence(
        self,
        hop: hops.Hop,
        observer: run_observer.RunObserver,
        outcome: str,
        status: int,
    ) -> None:
        """Record the outcome of a run as evidence about its upstream."""
        if outcome == interfaces.GOOD:
            observer.succeeded()
        elif outcome == interfaces.SHED:
            if not observer.slots.queue.rate.limited:
                observer.shed()
        elif outcome == interfaces.CANCELLED or status == GATEWAY_TIMEOUT:
            return
        elif (
            outcome == interfaces.ERROR
            and self.nested_calls.may_explain_failure(hop.id)
        ):
            # Most probably the failed nested call is the cause.
            return
        else:
            observer.failed()

    def report(
        self, upstream: str, route: str = ''
    ) -> upstream_selection.LoadReport:
        """Return the state of an upstream for other nodes."""
        instance = self.instances.get(upstream)
        if instance is None:
            return slots_module.Slots(self.process_id, 0).report(route)
        report = instance.slots.report(route)
        return report._replace(
            incarnation=instance.announcement.incarnation,
            leaving=self.statements.is_leaving(instance),
        )


def _sender_ends_at(hop: hops.Hop, now: float) -> float:
    """Return when the sender of a request ends.

    :param now: monotonic time at which the request arrived.
    :return: monotonic time; infinite unless it ends before the deadline.
    """
    return now + hop.sender_timeout_ms / MS if hop.sender_ends else math.inf


def _expected_s(hop: hops.Hop, slots: slots_module.Slots, now: float) -> float:
    """Return the expected duration of a run, seconds.

    That is the longer of what this process and the sender expect: one that
    has just started has seen only a few short runs.
    """
    return max(
        slots.queue.expected_service_s(hop.route, now), hop.typical_ms / MS
    )


def _is_repeatable(hop: hops.Hop) -> bool:
    """Return whether a request can run elsewhere if its run here is cut."""
    once = hop.final_attempt or hop.expects_continue
    return hop.idempotent and not once


def _ended_well(attempt: send_attempts.UpstreamAttempt) -> bool:
    """Return whether the whole answer to an attempt is a success."""
    message, payload = attempt.message, attempt.payload
    if message is None or not 200 <= message.code < 300:
        return False
    return payload.is_eof() and payload.exception() is None


def _uses_slack(hop: hops.Hop) -> bool:
    """Return whether a request is a retry that its sender did not budget."""
    return (hop.retry or hop.caller_retried) and not hop.budgeted


def _kind_of_repeat(hop: hops.Hop) -> str:
    """Return what makes a send a repeat, see :class:`decisions.Began`."""
    if hop.retry:
        return decisions.FURTHER_SEND
    return decisions.CALL_OF_REPEAT if hop.caller_retried else ''


def _payer(hop: hops.Hop) -> str:
    """Return what pays for a repeat, see :class:`decisions.Began`."""
    if not _kind_of_repeat(hop):
        return ''
    return decisions.BY_SENDER if hop.budgeted else decisions.BY_SLACK


def _is_current(
    instance: instances.Instance, announcement: registries.Announcement | None
) -> bool:
    """Return whether an announcement is one of the given instance."""
    return (
        announcement is not None
        and announcement.incarnation == instance.announcement.incarnation
    )


def _discard(answer: answers.Answer) -> None:
    if answer.rest is not None:
        answer.rest.abort()
