"""Sends a request to one gateway and returns its answer.

A connection may be lost while a request is on its way, while it runs, or
while its answer returns.  The gateway identifies requests by their keys, so
that they can be resumed, see ``resuming``.  Only if that fails the request
counts as lost.
"""

import math
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import dispatches
from carawaystair.gateway import hop_traffic
from carawaystair.gateway import hops
from carawaystair.gateway import paths as paths_module
from carawaystair.gateway import resuming
from carawaystair.gateway import runs
from carawaystair.gateway import send_attempts
from carawaystair.gateway import transit
from carawaystair.gateway import upstream_pool
from carawaystair import interfaces
from carawaystair.load import stopping
from carawaystair.request import answer as answers
from carawaystair.request import errors
from carawaystair.request import target as targets

# A gateway that has acknowledged a request counts as silent after three of its
# intervals without an interim answer, seconds.
SILENCE_TIMEOUT_S = 0.9
# Bodies of more bytes are sent only when the gateway has a slot for them.
# Otherwise they would cross the network once for each gateway that refuses,
# and delay what is sent after them.
EXPECT_CONTINUE_BYTES = 8 * 1024
# A gateway to which a long body is sent is lost after this number of silences.
MAX_BODY_SILENCES = 2
# The same for gateways of another data centre where requests stay at home.
EXPECT_CONTINUE_FAR_BYTES = 1024
# A gateway that has never reported its state may be of a version that waits
# for the body; it gets the body unasked after this number of interim answers.
SIGNS_BEFORE_BODY = 3
# An idempotent request is offered to another upstream when its gateway has
# been silent for this time, and no longer resumed once all its connections are
# lost, seconds.
IDEMPOTENT_RESUME_S = 0.6
MS = 1000


class GatewayClient:
    """Sends requests to gateways; one for each node.

    :param host: the host of this node.
    :param path_monitor: tracks the reachability of gateways.
    :param pool: receives the reports of gateways.
    :param process_of: returns the process that runs on a host, or ''.
    :param recorder: records events.
    """

    def __init__(
        self,
        host: str,
        path_monitor: paths_module.PathMonitor,
        pool: upstream_pool.UpstreamPool,
        process_of: typing.Callable[[str], str],
        recorder: decisions.Recorder,
    ) -> None:
        self.host = host
        self.path_monitor = path_monitor
        self.pool = pool
        self.selector = pool.selector
        self.process_of = process_of
        self.recorder = recorder
        self.clock_offsets = transit.ClockOffsets()
        self.resumed = 0
        # When the process ends, once it has been asked to stop.
        self.ends_at = math.inf
        self.traffic = hop_traffic.HopTraffic()

    async def send(
        self,
        dispatch: dispatches.Dispatch,
        target: targets.Target,
        min_value: float | None,
        retry_value: float,
        budgeted: bool,
    ) -> answers.Answer:
        """Send a request and return its answer.

        :param min_value: value that it must have there to be accepted; None
            when it may wait there whatever its value.
        :param retry_value: value that is left if it fails there, 0 to 1.
        :param budgeted: whether it was charged to this node's retry budget.
        :raises dispatches.Declined: when it was not run there and will not
            be.
        :raises answers.Failed: when there is no answer.
        """
        process = self.process_of(target.upstream.host)
        typical_s = self.selector.durations.expected(dispatch.call.match.key)
        service_healthy = not self.pool.explorations[
            dispatch.params.service
        ].active
        first = dispatch.hop(
            self.host,
            target,
            min_value,
            retry_value,
            budgeted,
            service_healthy,
            typical_s,
            process,
        )
        state = self.selector.state(target.upstream.id)
        attempt = self._new_attempt(
            dispatch, target, first, not state.reachable
        )
        lost = dispatches.LostConnection(target, process, budgeted)
        timeout_s = (
            IDEMPOTENT_RESUME_S if dispatch.call.idempotent else math.inf
        )
        try:
            return await self.answer(dispatch, target, attempt, self)
        except resuming.Unresponsive as silent:
            return await self._resume(
                dispatch, lost, timeout_s, silent.attempt
            )
        except answers.Failed as failed:
            may_be_there = (
                failed.sent and failed.outcome in resuming.LOST_OUTCOMES
            )
            if not may_be_there or not _can_resume(dispatch, lost):
                raise
            return await self._resume(dispatch, lost, timeout_s, None, failed)

    async def _resume(
        self,
        dispatch: dispatches.Dispatch,
        lost: dispatches.LostConnection,
        timeout_s: float,
        attempt: send_attempts.GatewayAttempt | None = None,
        failed: answers.Failed | None = None,
    ) -> answers.Answer:
        """Resume a request, see :class:`resuming.Resumption`."""
        resumption = resuming.Resumption(
            self, dispatch, lost, timeout_s, self.recorder
        )
        try:
            return await resumption.answer(attempt, failed)
        except answers.Failed as failure:
            if failure.outcome in resuming.LOST_OUTCOMES:
                dispatch.lost_connection = lost
            raise

    async def recover(
        self, dispatch: dispatches.Dispatch
    ) -> answers.Answer | None:
        """Return the answer of a run whose connection was lost, if any.

        Called when no other run is possible; the gateway continues the run
        for a while.
        """
        lost, dispatch.lost_connection = dispatch.lost_connection, None
        if lost is None or clock.now() >= dispatch.call.deadline:
            return None
        try:
            return await self._resume(dispatch, lost, runs.ORPHAN_TIMEOUT_S)
        except (dispatches.Declined, answers.Failed):
            # The earlier failure is reported instead.
            return None

    def resume_attempt(
        self,
        dispatch: dispatches.Dispatch,
        lost: dispatches.LostConnection,
        detour: bool,
    ) -> send_attempts.GatewayAttempt:
        """Return a further attempt for a request, not sent yet."""
        self.resumed += 1
        hop = dispatch.hop(
            self.host,
            lost.target,
            None,
            0.0,
            lost.budgeted,
            False,
            0.0,
            lost.process,
        )
        hop = hop._replace(resumed=True)
        return self._new_attempt(dispatch, lost.target, hop, detour)

    def _new_attempt(
        self,
        dispatch: dispatches.Dispatch,
        target: targets.Target,
        hop: hops.Hop,
        detour: bool,
    ) -> send_attempts.GatewayAttempt:
        """Return an attempt on the direct path or through a third node."""
        known = self.pool.statements.to_tell(target.upstream.id, clock.now())
        asks_from = EXPECT_CONTINUE_BYTES
        if self.selector.locality.home_first and self._far(target):
            asks_from = EXPECT_CONTINUE_FAR_BYTES
        expects = dispatch.size > asks_from
        # The connection stays open until the deadline or the end of this
        # process.
        hop = hop._replace(
            sender_timeout_ms=self._timeout_ms(hop),
            expects_continue=expects,
            stated_incarnation=known.incarnation,
            stated_limit=known.limit_milli,
            stated_leaving=known.leaving,
        )
        offset = self.clock_offsets.of(target.upstream.host, hop.process)
        via = self.path_monitor.intermediary(target) if detour else None
        if via is None or dispatch.call.body is None:
            return send_attempts.GatewayAttempt(
                dispatch.call, target, hop, hop.resumed, clock_offset=offset
            )
        hop = hop._replace(
            detour=target.upstream.address, expects_continue=False
        )
        return send_attempts.GatewayAttempt(
            dispatch.call, via, hop, via_detour=True, clock_offset=offset
        )

    def _timeout_ms(self, hop: hops.Hop) -> int:
        """Return for how long this process waits for an answer, ms."""
        left_ms = stopping.left_ms(self.ends_at)
        if left_ms < 0:
            return hop.remaining_ms
        return min(hop.remaining_ms, max(left_ms, 1))

    async def answer(
        self,
        dispatch: dispatches.Dispatch,
        target: targets.Target,
        attempt: send_attempts.GatewayAttempt,
        observer: resuming.ProgressObserver,
    ) -> answers.Answer:
        """Send an attempt if it is not sent yet, and return its answer.

        :param observer: is notified of the gateway's signs of life.
        :raises dispatches.Declined: when the request was not run there.
        :raises answers.Failed: when there is no answer.
        """
        try:
            answer = await self._answer(dispatch, attempt, observer)
        finally:
            dispatch.body_started = (
                dispatch.body_started or attempt.may_have_run
            )
            self._count(dispatch, attempt)
        return self._interpret(target, answer, attempt)

    def _far(self, target: targets.Target) -> bool:
        """Return whether a gateway is in another data centre."""
        return target.upstream.data_centre != self.pool.data_centre

    def _count(
        self,
        dispatch: dispatches.Dispatch,
        attempt: send_attempts.GatewayAttempt,
    ) -> None:
        """Count the bytes of an attempt that ended."""
        if not attempt.sent:
            return
        hop, message = attempt.hop, attempt.message
        purpose = _purpose(dispatch, hop)
        far = self._far(attempt.target)
        body = 0
        if attempt.body_released:
            body = len(attempt.call.body or b'')
        head = attempt.head_bytes - attempt.hop_bytes
        self.traffic.record_offer(purpose, far, head, body, attempt.hop_bytes)
        self.traffic.record_interims(purpose, far, attempt.sign_count)
        if message is not None:
            self.traffic.record_answer(
                purpose, far, message.raw_headers, attempt.size
            )

    async def _answer(
        self,
        dispatch: dispatches.Dispatch,
        attempt: send_attempts.GatewayAttempt,
        observer: resuming.ProgressObserver,
    ) -> answers.Answer:
        deadline = dispatch.call.deadline
        try:
            if attempt.connection is None:
                await attempt.connect()
                attempt.send()
            await self._wait_for_head(attempt, deadline, observer)
            answer = await attempt.answer(deadline)
        except resuming.Unresponsive:
            raise
        except TimeoutError:
            attempt.reset()
            late = clock.now() >= deadline
            if not late:
                self.path_monitor.mark_unreachable(attempt.target)
            outcome = interfaces.TIMEOUT if late else interfaces.SILENT
            code = codes.ANSWER_LATE if late else codes.ANSWER_LOST
            raise answers.Failed(outcome, code, attempt.may_have_run) from None
        except answers.Failed as failed:
            attempt.reset()
            if failed.outcome == interfaces.REFUSED:
                self.path_monitor.mark_unreachable(attempt.target)
            raise
        except send_attempts.CONNECTION_ERRORS as error:
            attempt.reset()
            raise answers.Failed(
                interfaces.BROKEN,
                codes.ANSWER_LOST,
                attempt.may_have_run,
                errors.describe(error),
            ) from None
        except BaseException:
            # Most probably the caller has left.
            attempt.abandon()
            raise
        if answer.rest is None:
            attempt.release_connection(clock.now())
        else:
            attempt.start_heartbeats()
        return answer

    async def _wait_for_head(
        self,
        attempt: send_attempts.GatewayAttempt,
        deadline: float,
        observer: resuming.ProgressObserver,
    ) -> None:
        """Wait for the head of the final answer.

        :raises TimeoutError: at the deadline, and when a gateway that can't
            have begun shows no sign of life.
        """
        while True:
            silence_s = (
                SILENCE_TIMEOUT_S
                if attempt.sign_count
                else attempt.first_sign_timeout_s
            )
            until = min(clock.now() + silence_s, deadline)
            try:
                if await attempt.wait_sign(until):
                    self._observe_answer(attempt, observer)
                    return
            except TimeoutError as error:
                if attempt.broken:
                    # The operating system closed it; that is not silence.
                    text = errors.describe(error)
                    raise ConnectionAbortedError(text) from None
                if clock.now() >= deadline or not attempt.may_have_run:
                    raise
                self._suspect_path(attempt)
                observer.on_silence(attempt)
                continue
            observer.on_sign_of_life(attempt)
            if (
                attempt.sign_count >= SIGNS_BEFORE_BODY
                and not self.selector.knows_read_time(attempt.hop.upstream)
            ):
                attempt.send_body()

    def _observe_answer(
        self,
        attempt: send_attempts.GatewayAttempt,
        observer: resuming.ProgressObserver,
    ) -> None:
        """Treat the head of an upstream's answer as a sign of life."""
        received = attempt.message.headers
        own = (hops.REFUSAL.decode(), hops.FAILURE.decode())
        if not any(name in received for name in own):
            observer.on_sign_of_life(attempt)

    def _suspect_path(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Mark a direct path on which nothing arrives as unreachable."""
        if attempt.hop.resumed and not attempt.via_detour:
            self.path_monitor.mark_unreachable(attempt.target)

    def on_silence(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Stop waiting for a first attempt if it can be resumed."""
        if attempt.call.body is not None and attempt.hop.process:
            raise resuming.Unresponsive(attempt)
        attempt.silences += 1
        streaming = attempt.pump is not None and attempt.call.body is None
        if streaming and attempt.silences >= MAX_BODY_SILENCES:
            # The system's timeout does not tell while a long body is sent.
            raise TimeoutError
        if attempt.target.upstream.state == interfaces.GONE:
            # No answer will come, and it can't be resumed either.
            raise TimeoutError

    def on_path_failed(self, target: targets.Target) -> None:
        """Mark a gateway that only a third node has reached."""
        self.path_monitor.mark_unreachable(target)

    def on_sign_of_life(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Ignore a sign of life: a first attempt just keeps waiting."""

    def _interpret(
        self,
        target: targets.Target,
        answer: answers.Answer,
        attempt: send_attempts.GatewayAttempt,
    ) -> answers.Answer:
        """Return an upstream's answer; raise a gateway's own answer."""
        value = hops.header_value(answer, hops.REPORT)
        report = hops.parse_report(value.encode()) if value else None
        if report is not None and report.process:
            now = clock.now()
            route = attempt.hop.route
            self.selector.record_report(target.upstream.id, report, now, route)
            self.pool.statements.record(target.upstream.id, report, now)
            if report.read_ms:
                offset = self.clock_offsets.of(
                    target.upstream.host, report.process
                )
                offset.observe(attempt.sent_at_ms, report.read_ms)
        refusal = hops.header_value(answer, hops.REFUSAL)
        if refusal:
            raise dispatches.Declined(refusal, report)
        failure = hops.header_value(answer, hops.FAILURE)
        if failure:
            code = codes.TABLE[int(failure.rpartition('-')[2])]
            late = code is codes.ANSWER_LATE
            outcome = interfaces.TIMEOUT if late else interfaces.ERROR
            if attempt.via_detour and (report is None or not report.process):
                # The third node itself answered: its connection broke.
                outcome = interfaces.BROKEN
            raise answers.Failed(
                outcome,
                code,
                True,
                answer.body.decode('utf-8', 'replace'),
            )
        return answer


def _can_resume(
    dispatch: dispatches.Dispatch, lost: dispatches.LostConnection
) -> bool:
    """Return whether a request can be resumed at its gateway."""
    return dispatch.call.body is not None and bool(lost.process)


def _purpose(dispatch: dispatches.Dispatch, hop: hops.Hop) -> str:
    """Return what an offer is for, see ``hop_traffic``."""
    if hop.resumed:
        return hop_traffic.RESUMED
    if hop.retry:
        return hop_traffic.RETRY
    return hop_traffic.FURTHER if dispatch.offers > 1 else hop_traffic.FIRST
