"""The life of an attempt: its start, its end, and what is kept of both.

Every attempt that was started is ended exactly once, so that connections,
shared_permits and evidence add up whatever goes wrong.
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

# A failure makes an upstream look as slow as this, at least: one that fails
# fast must not draw work by its speed.
FAILURE_LATENCY_S = 1.0
# An upstream that was told a deadline is taken to have stopped so long
# after it, whatever it says.
RELEASE_GRACE_S = 0.5
# New work for an upstream that has begun to leave breaks a promise after
# this time.
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
    """The attempts of one node.

    :param selector: chooses upstreams.
    :param evidence: is told what every attempt showed.
    :param quarantine: knows requests that crash upstreams.
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
        # What runs beside the requests: work that a stop waits for, and
        # attempts that are only watched.
        self.tasks: set[asyncio.Task] = set()
        self.cancellable_tasks: set[asyncio.Task] = set()

    # Starts

    def start(
        self,
        call: calls.Call,
        target: targets.Target,
        extra: bytes = b'',
        fresh: bool = False,
    ) -> attempts.Attempt:
        """Begin an attempt."""
        attempt = attempts.Attempt(call, target, extra, fresh)
        target.in_flight += 1
        return attempt

    async def dispatch(self, attempt: attempts.Attempt) -> None:
        """Send a request to its upstream; raises ``answers.Failed``."""
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

    # Ends

    def complete(
        self, attempt: attempts.Attempt, answer: answers.Answer
    ) -> None:
        """Take note of an answer, and of its connection when it is whole."""
        self.record_outcome(attempt, outcome_of(answer))
        silent_connections.resolve_suspicion(attempt)
        if answer.rest is None:
            self.finish(attempt)

    def finish(self, attempt: attempts.Attempt) -> None:
        """Let the connection of an answer that was read whole go on."""
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
        """Tell what the end of a connection without a byte shows."""
        if self.is_connection_lost(attempt):
            return interfaces.SILENT
        idle_s = attempt.started - attempt.connection.last_used
        if attempt.reused and idle_s > connections.RECENT_USE_S:
            # An idle connection that the upstream closed just then: this
            # says nothing about how it works.
            return interfaces.CANCELLED
        return interfaces.BROKEN

    def abort(self, attempt: attempts.Attempt) -> None:
        """End an attempt that has answered but is not read to its end."""
        attempt.target.in_flight -= 1
        attempt.abort()

    def time_out(
        self, attempt: attempts.Attempt, permit: shared_permits.SharedPermit
    ) -> answers.Failed:
        """End an attempt whose time is over, and return the failure."""
        outcome = self.timeout_outcome(attempt)
        self.cancel(attempt, outcome, permit)
        return answers.Failed(outcome, codes.ANSWER_LATE, attempt.sent)

    def timeout_outcome(self, attempt: attempts.Attempt) -> str:
        """Tell whether an upstream or its connection kept silent."""
        return (
            interfaces.SILENT
            if self.is_connection_lost(attempt)
            else interfaces.TIMEOUT
        )

    def is_connection_lost(self, attempt: attempts.Attempt) -> bool:
        """Tell whether an attempt's connection was found to be lost."""
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
        """Cancel an attempt, whose permit counts until it is known to be free.

        :param permit: the admission's permit that is given back then, too.
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

    # What is kept

    def record_outcome(self, attempt: attempts.Attempt, outcome: str) -> None:
        """Record what an attempt showed, once."""
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
        """Pass evidence on."""
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
        """Return when a hedge of a request goes out, monotonic time."""
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
        """Run something beside the requests, to its end."""
        return _track_task(coroutine, self.tasks)

    def spawn_cancellable(self, coroutine: typing.Coroutine) -> asyncio.Task:
        """Run something beside the requests that a stop may cancel."""
        return _track_task(coroutine, self.cancellable_tasks)


def _track_task(
    coroutine: typing.Coroutine, tasks: set[asyncio.Task]
) -> asyncio.Task:
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


def outcome_of(answer: answers.Answer) -> str:
    """Return what an answer shows about its upstream."""
    if answer.status < 500:
        return interfaces.GOOD
    if answer.status == 503 and (
        answers.is_refusal(answer)
        or headers.value(answer.headers, b'retry-after')
    ):
        return interfaces.SHED
    return interfaces.ERROR
