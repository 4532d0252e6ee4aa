"""Several attempts of one request that may run twice.

The first attempt is late, broken or in doubt; a hedge or a retry goes to
another upstream, within the budget of the service.  The first good answer
wins, and the others run on for a while so that their upstreams' health is
known, or are cancelled.
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
from carawaystair.request import silence
from carawaystair.request import slot as slots
from carawaystair.request import target as targets

MAX_ATTEMPTS = 3
# So many losing attempts at one upstream run on to show how it does; more
# would keep its slots busy for nothing.
MAX_LINGERING = 2
# The race itself watches the time; attempts stop a little later.
LATE_S = 0.001


class Race:
    """The attempts of one request.

    :param sender: starts and ends attempts.
    :param call: the request.
    :param slot: the admission's slot of the request.
    :param budget: pays for further attempts.
    :param first: the upstream of the first attempt, when it was made.
    """

    def __init__(
        self,
        sender: typing.Any,
        call: calls.Call,
        slot: slots.Slot,
        budget: budgets.Budget,
        first: targets.Target | None = None,
    ) -> None:
        self.sender = sender
        self.call = call
        self.slot = slot
        self.budget = budget
        self.running: dict[asyncio.Task, attempts.Attempt] = {}
        self.tried = [first.upstream.id] if first is not None else []
        self.hedged = False
        self.raced = False
        # What the caller gets when no attempt does better.
        self.failed: answers.Failed | None = None
        self.fallback: answers.Answer | None = None
        self.sent = False
        self.over = False

    # What has happened so far

    def overdue(self, attempt: attempts.Attempt) -> None:
        """Go on with an attempt whose answer is late."""
        silence.watch(attempt, clock.now() - attempt.started)
        self._run(attempt, attempt.answer(self.call.deadline + LATE_S))

    def lost(self, failed: answers.Failed) -> None:
        """Take note of an attempt that failed."""
        self.sent = self.sent or failed.sent
        if self.failed is None or failed.sent:
            self.failed = failed

    def spoilt(self, answer: answers.Answer) -> None:
        """Take note of an answer that is a server error or a refusal."""
        if answers.is_refusal(answer):
            self.lost(
                answers.Failed(interfaces.SHED, codes.UPSTREAM_REFUSED, False)
            )
            return
        self.sent = True
        self.fallback = answer

    # Further attempts

    def launch(self, target: targets.Target, fresh: bool = False) -> None:
        """Make one more attempt."""
        attempt = self.sender.start(self.call, target, fresh=fresh)
        self.tried.append(target.upstream.id)
        self._run(attempt, self._send(attempt))

    def _run(
        self, attempt: attempts.Attempt, answering: typing.Coroutine
    ) -> None:
        self.running[asyncio.create_task(answering)] = attempt

    async def _send(self, attempt: attempts.Attempt) -> answers.Answer:
        await self.sender.put(attempt)
        until = self.sender.hedge_at(self.call)
        try:
            return await attempt.answer(until)
        except TimeoutError:
            silence.watch(attempt, until - attempt.started)
        return await attempt.answer(self.call.deadline + LATE_S)

    def _another(self, kept: float) -> bool:
        """Launch an attempt at another upstream, if one may be made.

        The same upstream is tried again, on a new connection, only when
        there is no other.

        :param kept: tokens that must be left in the budget.
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
                    self._leave_losers()
                    return answer
        finally:
            # Whatever still runs here was cut short: the caller has gone,
            # or the deadline has passed.
            for task, attempt in self.running.items():
                task.cancel()
                outcome = interfaces.CANCELLED
                if self.over:
                    outcome = self.sender.blame(attempt)
                self.sender.abandon(attempt, outcome, self.slot)

    async def _step(self) -> answers.Answer | None:
        """Wait for what happens next; return the answer that won."""
        if self.running and not self.hedged:
            self.hedged = True
            # Where requests wait for slots, answers are late because all
            # upstreams are busy, and a hedge makes others later still.
            if len(self.running) == 1 and not self.slot.waited:
                self._another(budgets.KEPT_FOR_RETRIES)
        if not self.running and not self._retry():
            return self._give_up()
        self._race_doubted()
        until = self._next_look()
        done, _running = await asyncio.wait(
            self.running,
            timeout=max(until - clock.now(), 0.0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done and until >= self.call.deadline:
            raise self._late()
        won = [self._ended(task) for task in done]
        good = [answer for answer in won if answer is not None]
        for answer in good[1:]:
            # Two came in at the same moment; one is enough.
            if answer.rest is not None:
                self.sender.cut(answer.rest)
        return good[0] if good else None

    def _race_doubted(self) -> None:
        """Race a connection that is doubted with a new one."""
        doubted = (
            attempt.target
            for attempt in self.running.values()
            if attempt.target.suspected is attempt
        )
        target = next(doubted, None)
        if target is None or self.raced or not self.budget.spend():
            return
        self.raced = True
        self.launch(target, fresh=True)

    def _next_look(self) -> float:
        """Return when a doubt may come up, or the deadline."""
        alarms = [
            attempt.suspicion_timer.when() + silence.PAUSE_S
            for attempt in self.running.values()
            if attempt.suspicion_timer is not None and not self.raced
        ]
        now = clock.now()
        later = [when for when in alarms if when > now]
        return min((*later, self.call.deadline))

    def _retry(self) -> bool:
        if clock.now() >= self.call.deadline:
            return False
        return self._another(0.0)

    def _ended(self, task: asyncio.Task) -> answers.Answer | None:
        """Take note of an attempt that ended; return a good answer."""
        attempt = self.running.pop(task)
        error = task.exception()
        if isinstance(error, answers.Failed):
            self.sender.fail(attempt, error)
            self.lost(error)
            return None
        if isinstance(error, TimeoutError):
            # This process was stopped for a while and woke after the
            # deadline, when both its own time and the race's were over.
            self.lost(self.sender.late(attempt, self.slot))
            return None
        if error is not None:
            self.sender.cut(attempt)
            raise error
        answer = task.result()
        self.sender.complete(attempt, answer)
        if answer.status < 500 or answer.rest is not None:
            return answer
        self.spoilt(answer)
        return None

    def _give_up(self) -> answers.Answer:
        """Return the best there is; raises what went wrong."""
        if self.fallback is not None:
            return self.fallback
        failed = self.failed
        raise answers.Failed(
            failed.outcome, failed.code, self.sent, failed.detail
        )

    def _late(self) -> answers.Failed:
        self.over = True
        sent = self.sent or any(a.sent for a in self.running.values())
        return answers.Failed(
            interfaces.TIMEOUT, silence.late_code(sent), sent
        )

    def _leave_losers(self) -> None:
        """Let attempts run on that show how their upstreams do."""
        for task, attempt in self.running.items():
            if attempt.target.lingering >= MAX_LINGERING:
                task.cancel()
                self.sender.abandon(attempt, interfaces.CANCELLED)
            else:
                self.sender.watch(silence.linger(self.sender, task, attempt))
        self.running = {}
