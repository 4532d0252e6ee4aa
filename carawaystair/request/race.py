"""Concurrent attempts of one request that may run twice.

When the first attempt is late, failed or on a suspect connection, a hedge or
a retry is sent to another upstream, within the service's retry budget.  The
first good answer wins.  The other attempts continue for a while as evidence
of their upstreams' health, or are cancelled.
"""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import attempt as attempts
from carawaystair.request import budget as budgets
from carawaystair.request import call as calls
from carawaystair.request import shared_permit as shared_permits
from carawaystair.request import silent_connections
from carawaystair.request import target as targets

MAX_ATTEMPTS = 3
# Losing attempts at one upstream that may continue; more would occupy its
# slots without giving more evidence.
MAX_LINGERING = 2
# The race enforces the deadline itself; attempts time out a little later.
DEADLINE_MARGIN_S = 0.001


class Race:
    """The attempts of one request.

    :param sender: starts and ends attempts.
    :param call: the request.
    :param permit: the permit of the request.
    :param budget: the retry budget of the service.
    :param first: the upstream of the first attempt, if it was made already.
    """

    def __init__(
        self,
        sender: typing.Any,
        call: calls.Call,
        permit: shared_permits.SharedPermit,
        budget: budgets.Budget,
        first: targets.Target | None = None,
    ) -> None:
        self.sender = sender
        self.call = call
        self.permit = permit
        self.budget = budget
        self.running: dict[asyncio.Task, attempts.Attempt] = {}
        self.tried = [first.upstream.id] if first is not None else []
        self.hedged = False
        self.suspect_raced = False
        # Returned or raised if no attempt gets a good answer.
        self.failure: answers.Failed | None = None
        self.fallback: answers.Answer | None = None
        self.sent = False
        self.deadline_passed = False

    # Earlier results

    def add_late(self, attempt: attempts.Attempt) -> None:
        """Add a running attempt whose answer is late."""
        silent_connections.start_suspicion_timer(
            attempt, clock.now() - attempt.started
        )
        self._run(
            attempt, attempt.answer(self.call.deadline + DEADLINE_MARGIN_S)
        )

    def record_failure(self, failed: answers.Failed) -> None:
        """Record that an attempt failed."""
        self.sent = self.sent or failed.sent
        if self.failure is None or failed.sent:
            self.failure = failed

    def record_error(self, answer: answers.Answer) -> None:
        """Record an answer that is a server error or a refusal."""
        if answers.is_refusal(answer):
            self.record_failure(
                answers.Failed(interfaces.SHED, codes.UPSTREAM_REFUSED, False)
            )
            return
        self.sent = True
        self.fallback = answer

    # Further attempts

    def launch(self, target: targets.Target, fresh: bool = False) -> None:
        """Start a further attempt."""
        attempt = self.sender.start(self.call, target, fresh=fresh)
        self.tried.append(target.upstream.id)
        self._run(attempt, self._send(attempt))

    def _run(
        self, attempt: attempts.Attempt, answering: typing.Coroutine
    ) -> None:
        self.running[asyncio.create_task(answering)] = attempt

    async def _send(self, attempt: attempts.Attempt) -> answers.Answer:
        await self.sender.dispatch(attempt)
        until = self.sender.hedge_time(self.call)
        try:
            return await attempt.answer(until)
        except TimeoutError:
            silent_connections.start_suspicion_timer(
                attempt, until - attempt.started
            )
        return await attempt.answer(self.call.deadline + DEADLINE_MARGIN_S)

    def _launch_another(self, kept: float) -> bool:
        """Launch an attempt at another upstream, if that is allowed.

        If there is no other, the same upstream is tried again on a new
        connection.

        :param kept: tokens that must remain in the retry budget.
        :return: whether an attempt was launched.
        """
        if len(self.tried) >= MAX_ATTEMPTS:
            return False
        if not self.sender.quarantine.may_retry(self.call.digest):
            return False
        selector = self.sender.selector
        target = selector.choose(self.call, self.tried)
        if target is None:
            target = selector.choose(self.call)
        if target is None or not self.budget.spend(kept):
            return False
        self.launch(target, fresh=target.upstream.id in self.tried)
        return True

    # The race

    async def run(self) -> answers.Answer:
        """Return the first good answer.

        :raises answers.Failed: when there is none.
        """
        try:
            while True:
                answer = await self._step()
                if answer is not None:
                    self._release_losers()
                    return answer
        finally:
            # Attempts that still run are cancelled: the caller has left, or
            # the deadline has passed.
            for task, attempt in self.running.items():
                task.cancel()
                outcome = interfaces.CANCELLED
                if self.deadline_passed:
                    outcome = self.sender.timeout_outcome(attempt)
                self.sender.cancel(attempt, outcome, self.permit)

    async def _step(self) -> answers.Answer | None:
        """Wait for the next event; return the winning answer, if any."""
        if self.running and not self.hedged:
            self.hedged = True
            # If the request had to wait for its permit, answers are late
            # because all upstreams are busy, and a hedge would only delay
            # other requests.
            if len(self.running) == 1 and not self.permit.waited:
                self._launch_another(budgets.RETRY_RESERVE)
        if not self.running and not self._retry():
            return self._best_result()
        self._race_suspected()
        until = self._next_wakeup()
        done, _running = await asyncio.wait(
            self.running,
            timeout=max(until - clock.now(), 0.0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done and until >= self.call.deadline:
            raise self._deadline_failure()
        won = [self._finish(task) for task in done]
        good = [answer for answer in won if answer is not None]
        for answer in good[1:]:
            # Several answers arrived at the same moment; the first is used.
            if answer.rest is not None:
                self.sender.abort(answer.rest)
        return good[0] if good else None

    def _race_suspected(self) -> None:
        """Race a suspect connection against a new one."""
        suspected = (
            attempt.target
            for attempt in self.running.values()
            if attempt.target.suspected is attempt
        )
        target = next(suspected, None)
        if target is None or self.suspect_raced or not self.budget.spend():
            return
        self.suspect_raced = True
        self.launch(target, fresh=True)

    def _next_wakeup(self) -> float:
        """Return when a connection may become suspect, or the deadline."""
        wakeups = [
            attempt.suspicion_timer.when() + silent_connections.CHECK_DELAY_S
            for attempt in self.running.values()
            if attempt.suspicion_timer is not None and not self.suspect_raced
        ]
        now = clock.now()
        later = [when for when in wakeups if when > now]
        return min((*later, self.call.deadline))

    def _retry(self) -> bool:
        if clock.now() >= self.call.deadline:
            return False
        return self._launch_another(0.0)

    def _finish(self, task: asyncio.Task) -> answers.Answer | None:
        """Record an attempt that ended; return its answer if it is good."""
        attempt = self.running.pop(task)
        error = task.exception()
        if isinstance(error, answers.Failed):
            self.sender.fail(attempt, error)
            self.record_failure(error)
            return None
        if isinstance(error, TimeoutError):
            # This process was suspended and woke up after both the deadline
            # of the race and that of the attempt.
            self.record_failure(self.sender.time_out(attempt, self.permit))
            return None
        if error is not None:
            self.sender.abort(attempt)
            raise error
        answer = task.result()
        self.sender.complete(attempt, answer)
        if answer.status < 500 or answer.rest is not None:
            return answer
        self.record_error(answer)
        return None

    def _best_result(self) -> answers.Answer:
        """Return the best answer so far.

        :raises answers.Failed: when there is none.
        """
        if self.fallback is not None:
            return self.fallback
        failed = self.failure
        raise answers.Failed(
            failed.outcome, failed.code, self.sent, failed.detail
        )

    def _deadline_failure(self) -> answers.Failed:
        self.deadline_passed = True
        sent = self.sent or any(a.sent for a in self.running.values())
        return answers.Failed(
            interfaces.TIMEOUT, silent_connections.late_code(sent), sent
        )

    def _release_losers(self) -> None:
        """Let the other attempts continue as evidence, or cancel them."""
        for task, attempt in self.running.items():
            if attempt.target.lingering >= MAX_LINGERING:
                task.cancel()
                self.sender.cancel(attempt, interfaces.CANCELLED)
            else:
                self.sender.spawn_cancellable(
                    silent_connections.linger(self.sender, task, attempt)
                )
        self.running = {}
