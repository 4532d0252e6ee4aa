"""Hands a request over to one gateway and returns what comes of it.

A connection may be lost while the request is on its way, while it runs, or
while its answer returns.  The gateway knows requests by their keys, so it is
asked again, see ``resuming``.  Only when that brings nothing the request
counts as lost.
"""

import math
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import dispatches
from carawaystair.gateway import hops
from carawaystair.gateway import paths as paths_module
from carawaystair.gateway import resuming
from carawaystair.gateway import runs
from carawaystair.gateway import send_attempts
from carawaystair.gateway import transit
from carawaystair.gateway import upstream_pool as knowns
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import target as targets

# A gateway that has shown that it has a request counts as silent after three
# times its usual interval, seconds.
SILENCE_S = 0.9
# A body of more bytes goes out only when the gateway has a slot for it.  Sent
# with its head it would cross the network once for each gateway that refuses,
# and hold up what stands behind it.
EXPECT_CONTINUE_BYTES = 8 * 1024
# A gateway that has said nothing of itself may be of a version that waits for
# the body; after so many signs of life it gets it unasked.
UNASKED_SIGNS = 3
# A request that may run elsewhere is offered there when its gateway is silent
# for so long, and asked for no longer once all connections are lost, seconds.
RESUME_REPEATABLE_S = 0.6
MS = 1000


class GatewayClient:
    """Hands requests over; one for each node.

    :param host: the host of this node.
    :param paths: the ways to gateways.
    :param known: takes the reports of gateways.
    :param process: returns the process of a host, as far as is known.
    :param recorder: takes note of decisions.
    """

    def __init__(
        self,
        host: str,
        paths: paths_module.PathMonitor,
        known: knowns.UpstreamPool,
        process: typing.Callable[[str], str],
        recorder: decisions.Recorder,
    ) -> None:
        self.host = host
        self.paths = paths
        self.known = known
        self.board = known.board
        self.process = process
        self.recorder = recorder
        self.clocks = transit.ClockOffsets()
        self.resumed = 0

    async def exchange(
        self,
        trip: dispatches.Dispatch,
        target: targets.Target,
        least: float | None,
        again: float,
        paid: bool,
    ) -> answers.Answer:
        """Hand a request over and return its answer.

        :param least: what it must be worth there; None when it may wait
            there whatever that is.
        :param again: what it is worth if it fails there, 0 to 1.
        :param paid: whether this node counted it among its repeats.
        :raises trips.Declined: when it was not run there and will not be.
        :raises answers.Failed: when there is no answer.
        """
        process = self.process(target.upstream.host)
        usual_s = self.board.durations.expected(trip.call.match.key)
        calm = not self.known.spreadings[trip.need.service].active
        first = trip.hop(
            self.host, target, least, again, paid, calm, usual_s, process
        )
        view = self.board.state(target.upstream.id)
        attempt = self._attempt(trip, target, first, not view.reachable)
        lost = dispatches.LostConnection(target, process, paid)
        limit_s = RESUME_REPEATABLE_S if trip.call.idempotent else math.inf
        try:
            return await self.answer(trip, target, attempt, self)
        except resuming.Unresponsive as doubted:
            return await self._resume(trip, lost, limit_s, doubted.attempt)
        except answers.Failed as failed:
            may_have_it = failed.sent and failed.outcome in resuming.LOST
            if not may_have_it or not _may_ask_again(trip, lost):
                raise
            return await self._resume(trip, lost, limit_s, None, failed)

    async def _resume(
        self,
        trip: dispatches.Dispatch,
        lost: dispatches.LostConnection,
        limit_s: float,
        attempt: send_attempts.GatewayAttempt | None = None,
        failed: answers.Failed | None = None,
    ) -> answers.Answer:
        """Ask for a request again, see :class:`resuming.Resumption`."""
        resumption = resuming.Resumption(
            self, trip, lost, limit_s, self.recorder
        )
        try:
            return await resumption.answer(attempt, failed)
        except answers.Failed as failure:
            if failure.outcome in resuming.LOST:
                trip.lost = lost
            raise

    async def find(self, trip: dispatches.Dispatch) -> answers.Answer | None:
        """Return the answer of a run whose connection was lost, if any.

        Nothing can take the place of that run.  Its gateway goes on with it
        for a while.
        """
        lost, trip.lost = trip.lost, None
        if lost is None or clock.now() >= trip.call.deadline:
            return None
        try:
            return await self._resume(trip, lost, runs.ORPHAN_S)
        except (dispatches.Declined, answers.Failed):
            # What is known of it already is told.
            return None

    def again(
        self,
        trip: dispatches.Dispatch,
        lost: dispatches.LostConnection,
        detour: bool,
    ) -> send_attempts.GatewayAttempt:
        """Return a further question for a request, not sent yet."""
        self.resumed += 1
        hop = trip.hop(
            self.host,
            lost.target,
            None,
            0.0,
            lost.paid,
            False,
            0.0,
            lost.process,
        )
        hop = hop._replace(again=True)
        return self._attempt(trip, lost.target, hop, detour)

    def _attempt(
        self,
        trip: dispatches.Dispatch,
        target: targets.Target,
        hop: hops.Hop,
        detour: bool,
    ) -> send_attempts.GatewayAttempt:
        """Return a question that goes directly or through a third node."""
        asks = trip.size > EXPECT_CONTINUE_BYTES
        # It stays open for as long as its answer is owed.
        hop = hop._replace(patience_ms=hop.left_ms, asks=asks)
        its_clock = self.clocks.of(target.upstream.host, hop.process)
        helper = self.paths.helper(target) if detour else None
        if helper is None or trip.call.body is None:
            return send_attempts.GatewayAttempt(
                trip.call, target, hop, hop.again, gateway_clock=its_clock
            )
        hop = hop._replace(detour=target.upstream.address, asks=False)
        return send_attempts.GatewayAttempt(
            trip.call, helper, hop, helper=True, gateway_clock=its_clock
        )

    async def answer(
        self,
        trip: dispatches.Dispatch,
        target: targets.Target,
        attempt: send_attempts.GatewayAttempt,
        signs: resuming.ProgressObserver,
    ) -> answers.Answer:
        """Send a question unless it was sent, and return its answer.

        :param signs: is told of the gateway's signs of life.
        :raises trips.Declined: when it was not run there.
        :raises answers.Failed: when there is no answer.
        """
        try:
            answer = await self._answer(trip, attempt, signs)
        finally:
            trip.begun = trip.begun or attempt.may_run
        return self._understood(target, answer, attempt)

    async def _answer(
        self,
        trip: dispatches.Dispatch,
        attempt: send_attempts.GatewayAttempt,
        signs: resuming.ProgressObserver,
    ) -> answers.Answer:
        deadline = trip.call.deadline
        try:
            if attempt.connection is None:
                await attempt.connect()
                attempt.send()
            await self._head(attempt, deadline, signs)
            answer = await attempt.answer(deadline)
        except resuming.Unresponsive:
            raise
        except TimeoutError:
            attempt.take_back()
            late = clock.now() >= deadline
            if not late:
                self.paths.lost(attempt.target)
            outcome = interfaces.TIMEOUT if late else interfaces.SILENT
            code = codes.ANSWER_LATE if late else codes.ANSWER_LOST
            raise answers.Failed(outcome, code, attempt.may_run) from None
        except answers.Failed as failed:
            attempt.take_back()
            if failed.outcome == interfaces.REFUSED:
                self.paths.lost(attempt.target)
            raise
        except send_attempts.BROKEN as error:
            attempt.take_back()
            raise answers.Failed(
                interfaces.BROKEN,
                codes.ANSWER_LOST,
                attempt.may_run,
                str(error),
            ) from None
        except BaseException:
            # The caller has gone, as a rule.
            attempt.leave()
            raise
        if answer.rest is None:
            attempt.release_connection(clock.now())
        return answer

    async def _head(
        self,
        attempt: send_attempts.GatewayAttempt,
        deadline: float,
        signs: resuming.ProgressObserver,
    ) -> None:
        """Wait until the head of the answer is here.

        :raises TimeoutError: at the deadline, and when there is no sign of
            life from a gateway that can't have begun.
        """
        while True:
            silence_s = SILENCE_S if attempt.signs else attempt.sign_s
            until = min(clock.now() + silence_s, deadline)
            try:
                if await attempt.sign(until):
                    self._see_answer(attempt, signs)
                    return
            except TimeoutError as error:
                if attempt.broken:
                    # The system gave the connection up: that is no silence.
                    raise ConnectionAbortedError(str(error)) from None
                if clock.now() >= deadline or not attempt.may_run:
                    raise
                self._doubt(attempt)
                signs.doubted(attempt)
                continue
            signs.seen(attempt)
            if (
                attempt.signs >= UNASKED_SIGNS
                and not self.board.knows_read_time(attempt.hop.upstream)
            ):
                attempt.proceed()

    def _see_answer(
        self,
        attempt: send_attempts.GatewayAttempt,
        signs: resuming.ProgressObserver,
    ) -> None:
        """Take the head of an upstream's answer for a sign of life."""
        told = attempt.message.headers
        own = (hops.REFUSAL.decode(), hops.FAILURE.decode())
        if not any(name in told for name in own):
            signs.seen(attempt)

    def _doubt(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Take note of a way on which nothing comes for long."""
        if attempt.hop.again and not attempt.helper:
            self.paths.lost(attempt.target)

    def doubted(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Leave a first question, if it can be asked again."""
        if attempt.call.body is not None and attempt.hop.process:
            raise resuming.Unresponsive(attempt)
        if attempt.target.upstream.state == interfaces.GONE:
            # Nothing will come from there, and it can't be asked again.
            raise TimeoutError

    def cut(self, target: targets.Target) -> None:
        """Take note that a gateway was reached by a third node only."""
        self.paths.lost(target)

    def seen(self, attempt: send_attempts.GatewayAttempt) -> None:
        """Take note of a sign of life; a first question needs none."""

    def _understood(
        self,
        target: targets.Target,
        answer: answers.Answer,
        attempt: send_attempts.GatewayAttempt,
    ) -> answers.Answer:
        """Return an upstream's answer; raises what a gateway says."""
        value = hops.says(answer, hops.REPORT)
        report = hops.read_report(value.encode()) if value else None
        if report is not None and report.process:
            now = clock.now()
            route = attempt.hop.route
            self.board.record_report(target.upstream.id, report, now, route)
            if report.read_ms:
                its_clock = self.clocks.of(
                    target.upstream.host, report.process
                )
                its_clock.observe(attempt.asked_ms, report.read_ms)
        refusal = hops.says(answer, hops.REFUSAL)
        if refusal:
            raise dispatches.Declined(refusal, report)
        failure = hops.says(answer, hops.FAILURE)
        if failure:
            code = codes.TABLE[int(failure.rpartition('-')[2])]
            late = code is codes.ANSWER_LATE
            outcome = interfaces.TIMEOUT if late else interfaces.ERROR
            if attempt.helper and (report is None or not report.process):
                # Those are words of the third node: its way on broke.
                outcome = interfaces.BROKEN
            raise answers.Failed(
                outcome,
                code,
                True,
                answer.body.decode('utf-8', 'replace'),
            )
        return answer


def _may_ask_again(
    trip: dispatches.Dispatch, lost: dispatches.LostConnection
) -> bool:
    """Tell whether a gateway can be asked for a request again."""
    return trip.call.body is not None and bool(lost.process)
