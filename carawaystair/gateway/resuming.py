"""Asks a gateway again for a request that it may have.

A gateway that shows no sign of life in time may have a full link, stand still
or be cut off: its silence tells nothing of the request.  So what was sent
stays open while the gateway is asked again, directly and through a third node.
It knows requests by their keys and runs each once, however often it is asked.

An answer counts whichever question brings it.  A refusal counts only if it is
that of the newest question: after an older one was refused, a newer one may
run.
"""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import dispatches
from carawaystair.gateway import hops
from carawaystair.gateway import send_attempts
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import target as targets

# Pause before the next question when the last connection was lost, seconds.
PAUSE_S = 0.1
# Questions that are open at once, and how often it is looked whether there is
# hope for them, seconds.
MOST_OPEN = 3
CHECK_S = 0.3
# Each further question waits so many times as long for its first sign, up to
# a limit in seconds: where a link is full, questions must not fill it further.
SIGN_GROWTH = 2.0
MOST_SIGN_S = 0.9
# A host that the fleet takes for dead may only be late: what is open then has
# this time to bring an answer, seconds.
GONE_S = 1.0
MS = 1000
# Failures after which the same gateway may still have the request.
LOST = frozenset((interfaces.BROKEN, interfaces.SILENT))


class Unresponsive(Exception):
    """A gateway has shown no sign of life in time.

    :param attempt: what was sent; it stays open.
    """

    def __init__(self, attempt: send_attempts.GatewayAttempt) -> None:
        super().__init__()
        self.attempt = attempt


class ProgressObserver(typing.Protocol):
    """Is told of a gateway's signs of life."""

    def doubted(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Take note that none came in time."""

    def seen(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Take note of one."""


class AttemptSender(typing.Protocol):
    """Sends questions to gateways."""

    def again(
        self,
        trip: dispatches.Dispatch,
        lost: dispatches.LostConnection,
        detour: bool,
    ) -> send_attempts.GatewayAttempt:
        """Return a further question, not sent yet."""

    def answer(
        self,
        trip: dispatches.Dispatch,
        target: targets.Target,
        attempt: send_attempts.GatewayAttempt,
        signs: ProgressObserver,
    ) -> typing.Coroutine[typing.Any, typing.Any, answers.Answer]:
        """Send a question unless it was sent, and return its answer."""

    def cut(self, target: targets.Target) -> None:
        """Take note that a gateway was reached by a third node only."""


class Resumption:
    """One request that is asked for again at one gateway.

    :param asks: sends the questions.
    :param trip: the request.
    :param lost: where it is.
    :param limit_s: for how long it is asked for once no question is open.
    :param recorder: takes note of decisions.
    """

    def __init__(
        self,
        asks: AttemptSender,
        trip: dispatches.Dispatch,
        lost: dispatches.LostConnection,
        limit_s: float,
        recorder: decisions.Recorder,
    ) -> None:
        self.asks = asks
        self.trip = trip
        self.lost = lost
        self.limit_s = limit_s
        self.recorder = recorder
        self.began = clock.now()
        self.open: dict[asyncio.Task, send_attempts.GatewayAttempt] = {}
        self.doubtful: set[send_attempts.GatewayAttempt] = set()
        # The highest number of a question that was sent and has ended.
        self.newest = 0
        self.detour = True
        # Whether no sign of life was seen yet.
        self.silent = True
        # Whether the last question could not be sent.
        self.unsent = False
        # Since when the upstream is gone, as far as is known.
        self.gone_at: float | None = None
        self.sign_s = send_attempts.SIGN_S
        self.news = asyncio.Event()
        # What the request has failed with, while a newer question is open.
        self.verdict: answers.Failed | None = None
        self.last = answers.Failed(
            interfaces.SILENT, codes.ANSWER_LOST, True, 'no sign of life'
        )

    async def answer(
        self,
        attempt: send_attempts.GatewayAttempt | None = None,
        failed: answers.Failed | None = None,
    ) -> answers.Answer:
        """Return the answer to the request.

        :param attempt: the first question where that is open still.
        :param failed: how it failed where it is not.
        :raises trips.Declined: when it was not run there and will not be.
        :raises answers.Failed: when there is no answer.
        """
        self.last = failed or self.last
        if attempt is not None:
            self._watch(attempt)
            self.doubtful.add(attempt)
        timer = None
        if self.trip.hurry is not None:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(self.limit_s, self._hurry)
        try:
            return await self._ask_until_answered()
        except asyncio.CancelledError:
            # The caller has left, or another upstream was faster.
            for task in self.open:
                task.cancel()
            self.open.clear()
            raise
        finally:
            if timer is not None:
                timer.cancel()
            self._drop_all_but(None)

    async def _ask_until_answered(self) -> answers.Answer:
        while True:
            self.news.clear()
            for task in [task for task in self.open if task.done()]:
                answer = self._outcome(task, self.open.pop(task))
                if answer is not None:
                    return answer
            if self.verdict is not None and not self.open:
                raise self.verdict
            self._check_hope()
            if self._wants_another():
                await self._ask()
            else:
                await self._news_or_pause()

    def _wants_another(self) -> bool:
        """Tell whether the gateway is to be asked once more now."""
        if self.verdict is not None or self.gone_at is not None:
            return False
        return self._all_doubtful() and len(self.open) < MOST_OPEN

    def _all_doubtful(self) -> bool:
        return self.doubtful.issuperset(self.open.values())

    async def _news_or_pause(self) -> None:
        try:
            async with asyncio.timeout(CHECK_S):
                await self.news.wait()
        except TimeoutError:
            # A host that has died since acknowledges nothing and breaks
            # nothing: what the fleet knows of it is looked at again.
            pass

    def _check_hope(self) -> None:
        """Raise what the request comes to when it is asked for no more."""
        now, call = clock.now(), self.trip.call
        if now >= call.deadline:
            raise answers.Failed(
                interfaces.TIMEOUT, codes.ANSWER_LATE, True, self.last.detail
            )
        if self.lost.target.upstream.state == interfaces.GONE:
            # Its host is dead, or the upstream has left since.
            if self.gone_at is None:
                self.gone_at = now
            if not self.open or now - self.gone_at >= GONE_S:
                raise self.last
        if not self.open and now - self.began >= self.limit_s:
            raise self.last

    async def _ask(self) -> None:
        """Ask once more, by the other way."""
        if not self.open or self.unsent:
            self.unsent = False
            await asyncio.sleep(PAUSE_S)
        attempt = self.asks.again(self.trip, self.lost, self.detour)
        self.recorder.tell(
            decisions.AskedAgain(
                self.trip.call.id,
                self.lost.target.upstream.id,
                attempt.hop.number,
                attempt.helper,
                int((clock.now() - self.began) * MS),
                self.last.code.label,
            ),
            decisions.TROUBLE,
        )
        self.detour = not self.detour
        self.sign_s = min(self.sign_s * SIGN_GROWTH, MOST_SIGN_S)
        attempt.sign_s = self.sign_s
        self._watch(attempt)

    def _watch(self, attempt: send_attempts.GatewayAttempt) -> None:
        target = self.lost.target
        task = asyncio.ensure_future(
            self.asks.answer(self.trip, target, attempt, self)
        )
        task.add_done_callback(lambda _task: self.news.set())
        self.open[task] = attempt

    def _outcome(
        self, task: asyncio.Task, attempt: send_attempts.GatewayAttempt
    ) -> answers.Answer | None:
        """Return the answer to a question; None where it decides nothing."""
        self.doubtful.discard(attempt)
        decides = self._is_newest(attempt)
        self._count(attempt)
        try:
            return task.result()
        except dispatches.Declined as declined:
            # A third node that can't reach the gateway says so, too.
            cut = attempt.helper and declined.reason == hops.UNREACHABLE
            if decides and not cut:
                raise
        except answers.Failed as failed:
            if not failed.sent:
                self.unsent = True
                return None
            self.last = failed
            if failed.outcome in LOST:
                return None
            if decides and failed.detail != hops.PASSED_ON:
                raise
            self.verdict = failed
        return None

    def _count(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Remember the number of a question that may have arrived."""
        if attempt.sent:
            self.newest = max(self.newest, attempt.hop.number)

    def _is_newest(self, attempt: send_attempts.GatewayAttempt) -> bool:
        """Tell whether no newer question may have arrived."""
        sent = [other for other in self.open.values() if other.sent]
        numbers = [other.hop.number for other in sent]
        return attempt.hop.number >= max([self.newest, *numbers])

    def _hurry(self) -> None:
        """Let another upstream have the request as well, if one may."""
        hurry = self.trip.hurry
        if self.silent and hurry is not None and not hurry.done():
            hurry.set_result(None)

    # The signs of a gateway

    def doubted(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Take note that a question brought no sign of life in time."""
        self.doubtful.add(attempt)
        self.news.set()

    def seen(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Take note of a sign of life.

        The gateway has the request.  Other questions would only bring its
        answer again, over a link that may be full.
        """
        self.silent = False
        if attempt.helper and self.doubtful:
            self.asks.cut(self.lost.target)
        self.doubtful.discard(attempt)
        self._drop_all_but(attempt)

    def _drop_all_but(self, kept: send_attempts.GatewayAttempt | None) -> None:
        for task, attempt in list(self.open.items()):
            if attempt is kept or (kept is not None and task.done()):
                continue
            self._drop(task)

    def _drop(self, task: asyncio.Task) -> None:
        attempt = self.open.pop(task)
        self.doubtful.discard(attempt)
        self._count(attempt)
        if task.done():
            # Its connection may carry another request by now.
            _forget(task)
            return
        attempt.take_back()
        task.cancel()


def _forget(task: asyncio.Task) -> None:
    """Look at the end of a task that decides nothing any more."""
    if not task.cancelled():
        task.exception()
