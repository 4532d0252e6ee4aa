"""Resumes a request at a gateway that may have received it.

A gateway that shows no sign of life in time may have a full link, be suspended
or be cut off: its silence says nothing about the request.  The first attempt
therefore stays open while further ones are sent, directly and through a third
node.  The gateway identifies requests by their keys and runs each only once.

An answer counts whichever attempt brings it.  A refusal counts only if it is
that of the latest attempt: after an earlier one was refused, a later one may
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

# Pause before the next attempt when the last connection was lost, seconds.
RECONNECT_PAUSE_S = 0.1
MAX_OPEN_ATTEMPTS = 3
# Interval of checks whether resuming still makes sense, seconds.
CHECK_INTERVAL_S = 0.3
# Growth of the time in which each further attempt must show a sign of life, up
# to a maximum: where a link is full, attempts must not load it further.
SIGN_TIMEOUT_GROWTH = 2.0
MAX_SIGN_TIMEOUT_S = 0.9
# A host that the membership takes for dead may only be slow: open attempts
# have this time left to bring an answer, seconds.
GONE_TIMEOUT_S = 1.0
MS = 1000
# Failures after which the same gateway may still have the request.
LOST_OUTCOMES = frozenset((interfaces.BROKEN, interfaces.SILENT))


class Unresponsive(Exception):
    """A gateway has shown no sign of life in time.

    :param attempt: the attempt, which stays open.
    """

    def __init__(self, attempt: send_attempts.GatewayAttempt) -> None:
        super().__init__()
        self.attempt = attempt


class ProgressObserver(typing.Protocol):
    """Is notified of a gateway's signs of life."""

    def on_silence(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Handle the lack of a sign of life in time."""

    def on_sign_of_life(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Handle a sign of life."""


class AttemptSender(typing.Protocol):
    """Sends attempts to gateways."""

    def resume_attempt(
        self,
        dispatch: dispatches.Dispatch,
        lost: dispatches.LostConnection,
        detour: bool,
    ) -> send_attempts.GatewayAttempt:
        """Return a further attempt, not sent yet."""

    def answer(
        self,
        dispatch: dispatches.Dispatch,
        target: targets.Target,
        attempt: send_attempts.GatewayAttempt,
        observer: ProgressObserver,
    ) -> typing.Coroutine[typing.Any, typing.Any, answers.Answer]:
        """Send an attempt if it is not sent yet, and return its answer."""

    def on_path_failed(self, target: targets.Target) -> None:
        """Handle a gateway that only a third node has reached."""


class Resumption:
    """Resumes one request at one gateway.

    :param sender: sends the attempts.
    :param dispatch: the request.
    :param lost: the upstream and process that may run it.
    :param timeout_s: how long to send further attempts while none is open.
    :param recorder: records events.
    """

    def __init__(
        self,
        sender: AttemptSender,
        dispatch: dispatches.Dispatch,
        lost: dispatches.LostConnection,
        timeout_s: float,
        recorder: decisions.Recorder,
    ) -> None:
        self.sender = sender
        self.dispatch = dispatch
        self.lost = lost
        self.timeout_s = timeout_s
        self.recorder = recorder
        self.began = clock.now()
        self.open_attempts: dict[
            asyncio.Task, send_attempts.GatewayAttempt
        ] = {}
        self.unresponsive: set[send_attempts.GatewayAttempt] = set()
        # The highest number among the sends that have ended.
        self.highest_number = 0
        self.next_via_detour = True
        # Whether there was no sign of life so far.
        self.silent = True
        # Whether the last attempt could not be sent.
        self.unsent = False
        # When the upstream was found to be gone.
        self.gone_at: float | None = None
        self.first_sign_timeout_s = send_attempts.FIRST_SIGN_TIMEOUT_S
        self.progress = asyncio.Event()
        # Failure of an earlier attempt while a later one is open.
        self.failure: answers.Failed | None = None
        self.last_failure = answers.Failed(
            interfaces.SILENT, codes.ANSWER_LOST, True, 'no sign of life'
        )

    async def answer(
        self,
        attempt: send_attempts.GatewayAttempt | None = None,
        failed: answers.Failed | None = None,
    ) -> answers.Answer:
        """Return the answer to the request.

        :param attempt: the first attempt if that is still open.
        :param failed: its failure if not.
        :raises dispatches.Declined: when it was not run there and will not
            be.
        :raises answers.Failed: when there is no answer.
        """
        if failed is not None:
            self.last_failure = failed.detached()
        if attempt is not None:
            self._track(attempt)
            self.unresponsive.add(attempt)
        timer = None
        if self.dispatch.hedge_early is not None:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(self.timeout_s, self._request_hedge)
        try:
            return await self._resume_until_answered()
        except asyncio.CancelledError:
            # The caller has left, or another upstream answered first.
            for task in self.open_attempts:
                task.cancel()
            self.open_attempts.clear()
            raise
        finally:
            if timer is not None:
                timer.cancel()
            self._cancel_all_but(None)

    async def _resume_until_answered(self) -> answers.Answer:
        while True:
            self.progress.clear()
            for task in [task for task in self.open_attempts if task.done()]:
                answer = self._outcome(task, self.open_attempts.pop(task))
                if answer is not None:
                    return answer
            if self.failure is not None and not self.open_attempts:
                raise self.failure.detached()
            self._check_limits()
            if self._needs_attempt():
                await self._start_attempt()
            else:
                await self._wait_for_progress()

    def _needs_attempt(self) -> bool:
        """Return whether another attempt is to be sent now."""
        if self.failure is not None or self.gone_at is not None:
            return False
        return (
            self._all_unresponsive()
            and len(self.open_attempts) < MAX_OPEN_ATTEMPTS
        )

    def _all_unresponsive(self) -> bool:
        return self.unresponsive.issuperset(self.open_attempts.values())

    async def _wait_for_progress(self) -> None:
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self.progress.wait()
        except TimeoutError:
            # Connections to a host that has died do not break by themselves,
            # so the caller checks again whether the upstream is gone.
            pass

    def _check_limits(self) -> None:
        """Raise the failure if the request is not to be resumed any more."""
        now, call = clock.now(), self.dispatch.call
        if now >= call.deadline:
            raise answers.Failed(
                interfaces.TIMEOUT,
                codes.ANSWER_LATE,
                True,
                self.last_failure.detail,
            )
        if self.lost.target.upstream.state == interfaces.GONE:
            # Its host is dead, or the upstream has left.
            if self.gone_at is None:
                self.gone_at = now
            if not self.open_attempts or now - self.gone_at >= GONE_TIMEOUT_S:
                raise self.last_failure.detached()
        if not self.open_attempts and now - self.began >= self.timeout_s:
            raise self.last_failure.detached()

    async def _start_attempt(self) -> None:
        """Send another attempt, alternating between direct path and detour."""
        if not self.open_attempts or self.unsent:
            self.unsent = False
            await asyncio.sleep(RECONNECT_PAUSE_S)
        attempt = self.sender.resume_attempt(
            self.dispatch, self.lost, self.next_via_detour
        )
        self.recorder.tell(
            decisions.AskedAgain(
                self.dispatch.call.id,
                self.lost.target.upstream.id,
                attempt.hop.send_number,
                attempt.via_detour,
                int((clock.now() - self.began) * MS),
                self.last_failure.code.label,
            ),
            decisions.TROUBLE,
        )
        self.next_via_detour = not self.next_via_detour
        self.first_sign_timeout_s = min(
            self.first_sign_timeout_s * SIGN_TIMEOUT_GROWTH, MAX_SIGN_TIMEOUT_S
        )
        attempt.first_sign_timeout_s = self.first_sign_timeout_s
        self._track(attempt)

    def _track(self, attempt: send_attempts.GatewayAttempt) -> None:
        target = self.lost.target
        task = asyncio.ensure_future(
            self.sender.answer(self.dispatch, target, attempt, self)
        )
        task.add_done_callback(lambda _task: self.progress.set())
        self.open_attempts[task] = attempt

    def _outcome(
        self, task: asyncio.Task, attempt: send_attempts.GatewayAttempt
    ) -> answers.Answer | None:
        """Return the answer of an attempt; None if it is not decisive."""
        self.unresponsive.discard(attempt)
        decides = self._is_newest(attempt)
        self._note_number(attempt)
        try:
            return task.result()
        except dispatches.Declined as declined:
            # A third node also refuses if it can't reach the gateway.
            path_failed = (
                attempt.via_detour and declined.reason == hops.UNREACHABLE
            )
            if decides and not path_failed:
                raise
        except answers.Failed as failed:
            if not failed.sent:
                self.unsent = True
                return None
            self.last_failure = failed.detached()
            if failed.outcome in LOST_OUTCOMES:
                return None
            if decides and failed.detail != hops.ALREADY_STREAMED:
                raise
            self.failure = failed.detached()
        return None

    def _note_number(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Record the number of an attempt that may have arrived."""
        if attempt.sent:
            self.highest_number = max(
                self.highest_number, attempt.hop.send_number
            )

    def _is_newest(self, attempt: send_attempts.GatewayAttempt) -> bool:
        """Return whether no later attempt may have arrived."""
        sent = [other for other in self.open_attempts.values() if other.sent]
        numbers = [other.hop.send_number for other in sent]
        return attempt.hop.send_number >= max([self.highest_number, *numbers])

    def _request_hedge(self) -> None:
        """Request an early hedge if there was no sign of life."""
        hedge_early = self.dispatch.hedge_early
        if self.silent and hedge_early is not None and not hedge_early.done():
            hedge_early.set_result(None)

    # Signs of life

    def on_silence(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Handle an attempt without a sign of life in time."""
        self.unresponsive.add(attempt)
        self.progress.set()

    def on_sign_of_life(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Handle a sign of life: cancel all other attempts.

        The gateway has the request.  Other attempts would only bring its
        answer again, over a link that may be full.
        """
        self.silent = False
        if attempt.via_detour and self.unresponsive:
            self.sender.on_path_failed(self.lost.target)
        self.unresponsive.discard(attempt)
        self._cancel_all_but(attempt)

    def _cancel_all_but(
        self, kept: send_attempts.GatewayAttempt | None
    ) -> None:
        for task, attempt in list(self.open_attempts.items()):
            if attempt is kept or (kept is not None and task.done()):
                continue
            self._cancel(task)

    def _cancel(self, task: asyncio.Task) -> None:
        attempt = self.open_attempts.pop(task)
        self.unresponsive.discard(attempt)
        self._note_number(attempt)
        if task.done():
            # Its connection may already carry another request.
            _retrieve_exception(task)
            return
        attempt.reset()
        task.cancel()


def _retrieve_exception(task: asyncio.Task) -> None:
    """Look at the end of a task that decides nothing any more."""
    if not task.cancelled():
        task.exception()
