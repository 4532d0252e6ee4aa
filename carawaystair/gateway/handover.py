"""Hands a request over to one gateway and returns what comes of it.

A connection may be lost while the request is on its way, while it runs, or
while its answer returns.  The gateway knows requests by their keys, so it is
asked again: by the direct way, and through a third node when only the way
between the two is cut.  Only when that brings nothing the request counts as
lost.
"""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import ages
from carawaystair.gateway import hops
from carawaystair.gateway import known as knowns
from carawaystair.gateway import paths as paths_module
from carawaystair.gateway import sends
from carawaystair.gateway import trips
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import target as targets

# A gateway that has not shown within this time that it has a request is
# asked by another way, seconds.  It shows it after FIRST_SIGN_S and a round
# trip between data centres; asking it twice does no harm.
SIGN_S = 0.15
# And one that has, when it is silent for three times its usual interval.
SILENCE_S = 0.9
# A body of more bytes goes out only when the gateway has a slot for it.  Sent
# with its head it would cross the network once for each gateway that refuses,
# and hold up what stands behind it.
ASK_BYTES = 8 * 1024
# A gateway that has said nothing of itself may be of a version that waits for
# the body; after so many signs of life it gets it unasked.
UNASKED_SIGNS = 3
# Pause between two questions for a request whose connection was lost.
RESUME_PAUSE_S = 0.1
# A request that may run elsewhere is not asked for any longer than this.
RESUME_REPEATABLE_S = 0.6
MS = 1000
# Failures after which the same gateway may still have the request.
LOST = frozenset((interfaces.BROKEN, interfaces.SILENT))


class Handover:
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
        paths: paths_module.Paths,
        known: knowns.Known,
        process: typing.Callable[[str], str],
        recorder: decisions.Recorder,
    ) -> None:
        self.host = host
        self.paths = paths
        self.known = known
        self.board = known.board
        self.process = process
        self.recorder = recorder
        self.clocks = ages.Clocks()
        self.resumed = 0

    async def exchange(
        self,
        trip: trips.Trip,
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
        usual_s = self.board.durations.of(trip.call.match.key)
        calm = not self.known.spreadings[trip.need.service].everywhere
        first = trip.hop(
            self.host, target, least, again, paid, calm, usual_s, process
        )
        view = self.board.view(target.upstream.id)
        try:
            return await self._send(trip, target, first, not view.reachable)
        except answers.Failed as failed:
            whole = trip.call.body is not None
            lost = failed.sent and failed.outcome in LOST
            if not lost or not whole or not process:
                raise
            last = failed
        return await self._resume(trip, target, first, paid, last)

    async def _resume(
        self,
        trip: trips.Trip,
        target: targets.Target,
        first: hops.Hop,
        paid: bool,
        last: answers.Failed,
    ) -> answers.Answer:
        """Ask for a request whose connection was lost."""
        until, began = trip.call.deadline, clock.now()
        if trip.call.idempotent:
            until = min(until, began + RESUME_REPEATABLE_S)
        detour = True
        while clock.now() < until:
            if target.upstream.state == interfaces.GONE:
                # Its host is dead, or the upstream has left since.
                raise last
            self.resumed += 1
            hop = trip.hop(
                self.host, target, None, 0.0, paid, False, 0.0, first.process
            )
            hop = hop._replace(again=True)
            self.recorder.tell(
                decisions.AskedAgain(
                    trip.call.id,
                    target.upstream.id,
                    hop.number,
                    detour,
                    int((clock.now() - began) * MS),
                    last.code.label,
                ),
                decisions.TROUBLE,
            )
            try:
                return await self._send(trip, target, hop, detour)
            except trips.Declined as declined:
                if declined.reason != hops.UNREACHABLE:
                    raise
                if trip.call.idempotent:
                    raise last from None
            except answers.Failed as failed:
                if failed.sent and failed.outcome not in LOST:
                    raise
            detour = not detour
            await asyncio.sleep(RESUME_PAUSE_S)
        if clock.now() < trip.call.deadline:
            raise last
        raise answers.Failed(
            interfaces.TIMEOUT, codes.ANSWER_LATE, True, last.detail
        )

    async def _send(
        self,
        trip: trips.Trip,
        target: targets.Target,
        hop: hops.Hop,
        detour: bool,
    ) -> answers.Answer:
        """Send once, directly or through a third node."""
        asks = trip.size > ASK_BYTES
        hop = hop._replace(patience_ms=int(SIGN_S * MS), asks=asks)
        its_clock = self.clocks.of(target.upstream.host, hop.process)
        helper = self.paths.helper(target) if detour else None
        if helper is not None and trip.call.body is not None:
            hop = hop._replace(detour=target.upstream.address, asks=False)
            attempt = sends.ToGateway(
                trip.call, helper, hop, helper=True, gateway_clock=its_clock
            )
        else:
            attempt = sends.ToGateway(
                trip.call, target, hop, hop.again, gateway_clock=its_clock
            )
        try:
            answer = await self._answer(trip, attempt)
        finally:
            trip.begun = trip.begun or attempt.may_run
        return self._understood(target, answer, attempt)

    async def _answer(
        self, trip: trips.Trip, attempt: sends.ToGateway
    ) -> answers.Answer:
        """Return the answer to one send; raises what it means if none."""
        deadline = trip.call.deadline
        try:
            await attempt.connect()
            attempt.send()
            silence_s = SIGN_S
            while not await attempt.sign(
                min(clock.now() + silence_s, deadline)
            ):
                silence_s = SILENCE_S
                if attempt.signs >= UNASKED_SIGNS and not self.board.knows(
                    attempt.hop.upstream
                ):
                    attempt.proceed()
            answer = await attempt.answer(deadline)
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
        except sends.BROKEN as error:
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
            attempt.settle(clock.now())
        return answer

    def _understood(
        self,
        target: targets.Target,
        answer: answers.Answer,
        attempt: sends.ToGateway,
    ) -> answers.Answer:
        """Return an upstream's answer; raises what a gateway says."""
        value = hops.says(answer, hops.REPORT)
        report = hops.read_report(value.encode()) if value else None
        if report is not None and report.process:
            now = clock.now()
            route = attempt.hop.route
            self.board.heard(target.upstream.id, report, now, route)
            if report.read_ms:
                its_clock = self.clocks.of(
                    target.upstream.host, report.process
                )
                its_clock.heard(attempt.asked_ms, report.read_ms)
        refusal = hops.says(answer, hops.REFUSAL)
        if refusal:
            raise trips.Declined(refusal, report)
        failure = hops.says(answer, hops.FAILURE)
        if failure:
            code = codes.TABLE[int(failure.rpartition('-')[2])]
            late = code is codes.ANSWER_LATE
            raise answers.Failed(
                interfaces.TIMEOUT if late else interfaces.ERROR,
                code,
                True,
                answer.body.decode('utf-8', 'replace'),
            )
        return answer
