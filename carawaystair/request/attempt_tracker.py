"""Starts and ends attempts, and records their outcomes.

Every attempt that was started is ended exactly once, whatever goes wrong, so
that no connection, permit or evidence is lost or counted twice.
"""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import invariants
from carawaystair.quarantine import crash_detection
from carawaystair.request import answer as answers
from carawaystair.request import attempt as attempts
from carawaystair.request import budget as budgets
from carawaystair.request import call as calls
from carawaystair.request import connections
from carawaystair.request import headers
from carawaystair.request import latencies
from carawaystair.request import selection
from carawaystair.request import shared_permit as shared_permits
from carawaystair.request import silent_connections
from carawaystair.request import target as targets

# Minimum latency that a failure counts as: an upstream that fails fast must
# not attract requests by its speed.
FAILURE_LATENCY_S = 1.0
# A cancelled request counts as stopped this long after its deadline, even if
# the upstream has not closed the connection.
RELEASE_GRACE_S = 0.5
# A request sent to an upstream this long after it began to leave violates an
# invariant.
DRAIN_GRACE_S = 3.0
FAILURES = frozenset(
    (
        interfaces.ERROR,
        interfaces.TIMEOUT,
        interfaces.BROKEN,
        interfaces.REFUSED,
    )
)


class AttemptTracker:
    """Tracks the attempts of one node.

    :param selector: selects upstreams.
    :param evidence: receives the outcome of every attempt.
    :param quarantine: refuses requests that crash upstreams.
    """

    def __init__(
        self,
        selector: selection.Selector,
        evidence: interfaces.Evidence,
        quarantine: interfaces.Quarantine,
    ) -> None:
        self.selector = selector
        self.quarantine = quarantine
        self.crash_detector = crash_detection.CrashDetector(quarantine)
        self.evidence = evidence
        self.budgets: dict[str, budgets.Budget] = {}
        self.latencies = latencies.RouteLatencies()
        # Background tasks: those that a stop waits for, and those that it
        # cancels.
        self.tasks: set[asyncio.Task] = set()
        self.cancellable_tasks: set[asyncio.Task] = set()

    # Start

    def start(
        self,
        call: calls.Call,
        target: targets.Target,
        extra: bytes = b'',
        fresh: bool = False,
    ) -> attempts.Attempt:
        """Create an attempt."""
        attempt = attempts.Attempt(call, target, extra, fresh)
        target.in_flight += 1
        self.selector.limits.take(target)
        return attempt

    async def dispatch(self, attempt: attempts.Attempt) -> None:
        """Connect to the upstream and send the request.

        :raises answers.Failed: when it was not sent.
        """
        await attempt.connect()
        attempt.send()
        call = attempt.call
        self.evidence.begin(
            call.service,
            attempt.target.upstream.id,
            call.charged,
            attempt.started,
            call.match.key,
            attempt.fresh,
        )
        since = self.selector.leaving_since.get(attempt.target.upstream.id)
        if since is not None:
            invariants.check(
                invariants.NO_WORK_AFTER_DRAIN,
                clock.now() - since <= DRAIN_GRACE_S,
                attempt.target.upstream.id,
            )

    # End

    def complete(
        self, attempt: attempts.Attempt, answer: answers.Answer
    ) -> None:
        """Record an answer, and finish the attempt if it is complete."""
        outcome = outcome_of(answer)
        self.record_outcome(attempt, outcome)
        self.selector.read_statement(
            attempt.target,
            answer.headers,
            outcome == interfaces.GOOD,
            attempt.started,
        )
        silent_connections.resolve_suspicion(attempt)
        if answer.rest is None:
            self.finish(attempt)

    def finish(self, attempt: attempts.Attempt) -> None:
        """End an attempt whose answer was read to its end."""
        target = attempt.target
        target.in_flight -= 1
        if attempt.message.code < 500:
            target.has_served = True
            self.quarantine.record_success(attempt.call.digest)
        attempt.release_connection(clock.now())

    def fail(self, attempt: attempts.Attempt, failed: answers.Failed) -> None:
        """End an attempt that brought no answer."""
        outcome = failed.outcome
        if outcome == interfaces.BROKEN and attempt.silent:
            outcome = self._broken_outcome(attempt)
        self.record_outcome(attempt, outcome)
        silent_connections.clear_suspicion(attempt)
        self.abort(attempt)

    def _broken_outcome(self, attempt: attempts.Attempt) -> str:
        """Return the outcome when a connection broke without an answer."""
        if self.is_connection_lost(attempt):
            return interfaces.SILENT
        idle_s = attempt.started - attempt.connection.last_used
        if attempt.reused and idle_s > connections.RECENT_USE_S:
            # The upstream may have closed the idle connection just then,
            # which is no evidence against it.
            return interfaces.CANCELLED
        return interfaces.BROKEN

    def abort(self, attempt: attempts.Attempt) -> None:
        """End an attempt without waiting for the upstream to stop.

        Used when the attempt failed, or its answer is not read to its end.
        """
        attempt.target.in_flight -= 1
        attempt.abort()

    def time_out(
        self, attempt: attempts.Attempt, permit: shared_permits.SharedPermit
    ) -> answers.Failed:
        """End an attempt at its deadline, and return the failure."""
        outcome = self.timeout_outcome(attempt)
        self.cancel(attempt, outcome, permit)
        return answers.Failed(outcome, codes.ANSWER_LATE, attempt.sent)

    def timeout_outcome(self, attempt: attempts.Attempt) -> str:
        """Return the outcome of an attempt whose answer did not arrive."""
        return (
            interfaces.SILENT
            if self.is_connection_lost(attempt)
            else interfaces.TIMEOUT
        )

    def is_connection_lost(self, attempt: attempts.Attempt) -> bool:
        """Return whether an attempt's connection was found to be lost."""
        return (
            attempt.silent
            and attempt.connection.opened_at < attempt.target.lost_before
        )

    def cancel(
        self,
        attempt: attempts.Attempt,
        outcome: str,
        permit: shared_permits.SharedPermit | None = None,
    ) -> None:
        """Cancel an attempt.

        It counts as in flight until the upstream is known to have stopped.

        :param permit: the request's permit, held until then as well.
        """
        self.record_outcome(attempt, outcome)
        silent_connections.clear_suspicion(attempt)
        if not attempt.sent:
            attempt.target.in_flight -= 1
            attempt.abort()
            return
        if permit is not None:
            permit.retain()
        if attempt.pump is not None:
            attempt.pump.task.cancel()
        self.spawn_cancellable(self._await_release(attempt, permit))

    async def _await_release(
        self,
        attempt: attempts.Attempt,
        permit: shared_permits.SharedPermit | None,
    ) -> None:
        until = max(attempt.call.deadline, clock.now()) + RELEASE_GRACE_S
        try:
            await connections.cancel(attempt.connection, until)
        finally:
            attempt.target.in_flight -= 1
            if permit is not None:
                permit.release()

    # Records

    def record_outcome(self, attempt: attempts.Attempt, outcome: str) -> None:
        """Record the outcome of an attempt; only the first call counts."""
        if attempt.recorded:
            return
        attempt.recorded = True
        if attempt.suspicion_timer is not None:
            attempt.suspicion_timer.cancel()
            attempt.target.late_attempts.remove(attempt)
        now = clock.now()
        call = attempt.call
        target = attempt.target
        latency_s = now - attempt.started
        if outcome == interfaces.GOOD:
            target.observe(latency_s, now)
            self.latencies.of(call.match.key).add(latency_s)
        elif outcome in FAILURES:
            target.observe(max(latency_s, FAILURE_LATENCY_S), now)
        if outcome == interfaces.BROKEN:
            self.crash_detector.connection_broke(target, call.digest, call.id)
        self.report_evidence(attempt, outcome, latency_s)

    def report_evidence(
        self, attempt: attempts.Attempt, outcome: str, latency_s: float
    ) -> None:
        """Report the outcome of an attempt as evidence."""
        call = attempt.call
        self.evidence.record(
            interfaces.Attempt(
                call.service,
                attempt.target.upstream.id,
                call.charged,
                outcome,
                latency_s,
                attempt.started,
                call.match.key,
            )
        )

    def hedge_time(self, call: calls.Call) -> float:
        """Return when to send a hedge of a request, monotonic time."""
        now = clock.now()
        left_s = call.deadline - now
        wait_s = self.latencies.of(call.match.key).hedge_s(left_s)
        return min(now + wait_s, call.deadline)

    def budget(self, service: str) -> budgets.Budget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = budgets.Budget()
        return budget

    def spawn(self, coroutine: typing.Coroutine) -> asyncio.Task:
        """Start a background task that a stop waits for."""
        return _track_task(coroutine, self.tasks)

    def spawn_cancellable(self, coroutine: typing.Coroutine) -> asyncio.Task:
        """Start a background task that a stop cancels."""
        return _track_task(coroutine, self.cancellable_tasks)


def _track_task(
    coroutine: typing.Coroutine, tasks: set[asyncio.Task]
) -> asyncio.Task:
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


def outcome_of(answer: answers.Answer) -> str:
    """Return the outcome that an answer means for its upstream."""
    if answer.status < 500:
        return interfaces.GOOD
    if answer.status == 503 and (
        answers.is_refusal(answer)
        or headers.value(answer.headers, b'retry-after')
    ):
        return interfaces.SHED
    return interfaces.ERROR
