"""Sends a caller's request to a gateway, and to another one where it may.

A gateway that has no free slot refuses at once, and the next one is asked:
that costs a round trip, a hundredth of what the work takes, and it decides by
what is true at that moment.  When all that were asked are full, the request
waits at the one that expects to be free first; when that would take too long,
the caller is told at once and when to come back.
"""

import asyncio
import random
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import hops
from carawaystair.gateway import known as knowns
from carawaystair.gateway import sends
from carawaystair import interfaces
from carawaystair.load import placing
from carawaystair.load import rejecting
from carawaystair.load import retrying
from carawaystair.load import returning
from carawaystair.request import answer as answers
from carawaystair.request import call as calls
from carawaystair.request import caller
from carawaystair.request import headers
from carawaystair.request import target as targets
from carawaystair import settings

# Gateways without a free slot that are asked before a request waits at one.
MOST_ASKED = 4
# A gateway that has not shown within this time that it has a request is
# taken for out of reach, seconds: three round trips between data centres,
# and one packet that is sent again.
SIGN_S = 0.35
# And one that has, when it is silent for three times its usual interval.
SILENCE_S = 2.1
# Pause between two questions for a request whose connection was lost.
RESUME_PAUSE_S = 0.15
# Upstreams that may run a request whose route does not say.
MOST_RUNS = 2
MS = 1000
# Failures after which the same gateway may still have the request.
LOST = frozenset((interfaces.BROKEN, interfaces.SILENT))


class Declined(Exception):
    """A gateway refused a request.

    :param reason: why, see ``hops``.
    :param report: what it says of its upstream.
    """

    def __init__(self, reason: str, report: placing.Report | None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.report = report


class Need(typing.NamedTuple):
    """What a request needs, beside what its call says.

    :param service: the service that is to run it.
    :param goal: monotonic time until which its answer is worth most.
    :param priority: rank of its kind, 0 first.
    :param inner: whether another running request waits for it.
    :param caller_service: the service on this host.
    :param most_runs: upstreams that may run it.
    :param version: configuration that it was read with.
    """

    service: str
    goal: float
    priority: int
    inner: bool
    caller_service: str
    most_runs: int
    version: str


class Trip:
    """One request on its way.

    :param call: the request.
    :param need: what it needs.
    """

    __slots__ = (
        'call',
        'declined',
        'fallback',
        'failed',
        'need',
        'offers',
        'runs',
        'sent',
        'tried',
    )

    def __init__(self, call: calls.Call, need: Need) -> None:
        self.call = call
        self.need = need
        self.tried: set[str] = set()
        # Refusals that waiting may turn, by upstream.
        self.declined: dict[str, tuple[targets.Target, Declined]] = {}
        self.offers = 0
        # Upstreams that may have run it, and sends that reached one.
        self.runs = 0
        self.sent = 0
        self.failed: answers.Failed | None = None
        self.fallback: answers.Answer | None = None


class Relay:
    """Sends requests to gateways; one for each node.

    :param host: the host of this node.
    :param known: the upstreams.
    :param node: settings with the bound of repeats.
    :param nodes: returns how many nodes share it.
    :param rng: the source of randomness.
    :param recorder: takes note of decisions.
    """

    def __init__(
        self,
        host: str,
        known: knowns.Known,
        node: settings.Node,
        nodes: typing.Callable[[], int],
        rng: random.Random,
        recorder: decisions.Recorder,
    ) -> None:
        self.host = host
        self.known = known
        self.board = known.board
        self.node = node
        self.nodes = nodes
        self.rng = rng
        self.recorder = recorder
        self.budgets: dict[str, retrying.Budget] = {}
        self.resumed = 0

    def budget(self, service: str) -> retrying.Budget:
        """Return the budget of repeats of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            node = self.node
            budget = retrying.Budget(
                node.retry_ratio, node.retry_slack, node.retry_window_s
            )
            self.budgets[service] = budget
        return budget

    # A request

    async def send(self, trip: Trip) -> answers.Answer:
        """Return the answer to a request.

        :raises caller.Refused: when it was not run and will not be.
        :raises answers.Failed: when it may have run.
        """
        self.budget(trip.need.service).first(clock.now())
        asked = 0
        while asked < MOST_ASKED and clock.now() < trip.call.deadline:
            target, count = self.known.choose(
                trip.need.service, trip.tried, clock.now()
            )
            if target is None or not self._may_send(trip):
                break
            trip.tried.add(target.upstream.id)
            answer = await self._try(trip, target, count, False)
            if answer is not None:
                return answer
            asked += target.upstream.id in trip.declined
        if trip.fallback is not None or trip.failed is not None:
            return self._best(trip)
        return await self._wait(trip)

    def _best(self, trip: Trip) -> answers.Answer:
        """Return what an earlier run came to."""
        if trip.fallback is not None:
            return trip.fallback
        raise trip.failed

    def _may_send(self, trip: Trip) -> bool:
        """Tell whether one more send may reach an upstream."""
        if not trip.sent:
            return True
        more = trip.runs < trip.need.most_runs
        budget = self.budget(trip.need.service)
        again = more and budget.repeat(clock.now(), self.nodes())
        why = 'repeats' if more else 'runs'
        self.recorder.tell(
            decisions.Repeated(
                trip.call.id,
                again,
                'budget' if again else 'no more %s' % why,
                trip.runs,
                trip.need.most_runs,
            ),
            decisions.TROUBLE,
        )
        return again

    async def _wait(self, trip: Trip) -> answers.Answer:
        """Let a request wait at the gateway that expects to be free first."""
        found = sorted(
            trip.declined.values(), key=lambda pair: _patience(pair[1])
        )
        if found and clock.now() < trip.call.deadline:
            target, declined = found[0]
            if not self._too_late(trip, declined):
                answer = await self._try(trip, target, len(found), True)
                if answer is not None:
                    return answer
                if trip.fallback is not None or trip.failed is not None:
                    return self._best(trip)
        raise self._rejection(trip)

    def _too_late(self, trip: Trip, declined: Declined) -> bool:
        report = declined.report
        if report is None:
            return False
        return rejecting.hopeless(
            clock.now(),
            report.wait_ms / MS,
            report.service_ms / MS,
            trip.call.deadline,
        )

    def _rejection(self, trip: Trip) -> caller.Refused:
        """Return what the caller of a request that was not run is told."""
        reports = [
            declined.report
            for _target, declined in trip.declined.values()
            if declined.report is not None
        ]
        backlog_s = min((r.wait_ms / MS for r in reports), default=0.0)
        after_s = returning.retry_after_s(backlog_s, self.rng)
        if not trip.declined:
            return caller.Refused(codes.NO_UPSTREAM, '', after_s)
        reasons = sorted({d.reason for _t, d in trip.declined.values()})
        full = rejecting.FULL in reasons
        code = codes.QUEUE_FULL if full else codes.DEADLINE_SHORT
        detail = 'least wait %.2f s, %s' % (backlog_s, ', '.join(reasons))
        return caller.Refused(code, detail, after_s)

    # One gateway

    async def _try(
        self, trip: Trip, target: targets.Target, count: int, stays: bool
    ) -> answers.Answer | None:
        """Offer a request to one gateway.

        :param count: upstreams that take work, for the log.
        :param stays: whether it may wait there, and goes there although the
            upstream failed lately.
        :return: None when another one may be asked.
        """
        upstream = target.upstream
        trip.offers += 1
        self._tell_offer(trip, upstream, count, stays)
        view = self.board.view(upstream.id)
        view.mine += 1
        began = clock.now()
        try:
            answer = await self._exchange(trip, target, stays)
        except Declined as declined:
            self._declined(trip, target, declined)
            return None
        except answers.Failed as failed:
            self._broke(trip, upstream.id, failed, began)
            if not failed.sent:
                return None
            trip.sent += 1
            trip.runs += 1
            trip.failed = failed
            if not trip.call.idempotent or trip.call.body is None:
                raise
            return None
        finally:
            view.mine -= 1
        if answer.status < 500 or not trip.call.idempotent:
            return answer
        if answer.rest is not None:
            return answer
        trip.sent += 1
        trip.runs += 1
        trip.fallback = answer
        return None

    def _declined(
        self, trip: Trip, target: targets.Target, declined: Declined
    ) -> None:
        report = declined.report
        name = target.upstream.id
        if report is not None:
            self.board.heard(name, report, clock.now())
        if declined.reason in hops.ARRIVED:
            trip.sent += 1
        if declined.reason == hops.UNREACHABLE:
            self.board.missed(name, clock.now())
        if declined.reason in WAITABLE:
            trip.declined[name] = (target, declined)
        self.recorder.tell(
            decisions.Declined(
                trip.call.id,
                name,
                declined.reason,
                '',
                report.running if report else 0,
                report.waiting if report else 0,
                report.wait_ms if report else 0,
            ),
            decisions.TROUBLE,
        )

    def _broke(
        self, trip: Trip, name: str, failed: answers.Failed, began: float
    ) -> None:
        now = clock.now()
        if failed.outcome in (interfaces.REFUSED, interfaces.SILENT):
            self.board.missed(name, now)
        self.recorder.tell(
            decisions.Broke(
                trip.call.id,
                name,
                failed.code.label,
                failed.sent,
                int((now - began) * MS),
                failed.detail,
            ),
            decisions.TROUBLE,
        )

    def _tell_offer(
        self,
        trip: Trip,
        upstream: interfaces.Upstream,
        count: int,
        stays: bool,
    ) -> None:
        now = clock.now()
        view = self.board.view(upstream.id)
        known = view.report is not None
        candidate = placing.Candidate(upstream.id, False, upstream.slots)
        need = trip.need
        self.recorder.tell(
            decisions.Offered(
                trip.call.id,
                need.service,
                upstream.id,
                upstream.host,
                need.version,
                trip.offers,
                int((trip.call.deadline - now) * MS),
                trip.call.idempotent,
                need.inner,
                stays,
                stays,
                int((now - view.at) * MS) if known else -1,
                self.board.load(candidate, now),
                count,
            )
        )

    async def _exchange(
        self, trip: Trip, target: targets.Target, stays: bool
    ) -> answers.Answer:
        """Hand a request over and return its answer.

        A request that may not run twice and whose connection is lost is
        asked for again, at the same process, until its time is over.
        """
        name = target.upstream.id
        process = self.board.process(name)
        number = trip.offers * 1000
        attempt = self._attempt(trip, target, stays, number, '')
        try:
            return await self._answer(trip, attempt)
        except answers.Failed as failed:
            whole = trip.call.body is not None
            lost = failed.sent and failed.outcome in LOST
            again = lost and whole and process and not trip.call.idempotent
            if not again:
                raise
            last = failed
        while clock.now() < trip.call.deadline:
            number += 1
            self.resumed += 1
            attempt = self._attempt(trip, target, True, number, process)
            try:
                return await self._answer(trip, attempt)
            except answers.Failed as failed:
                if failed.sent and failed.outcome not in LOST:
                    raise
                last = failed
            await asyncio.sleep(RESUME_PAUSE_S)
        raise answers.Failed(
            interfaces.TIMEOUT, codes.ANSWER_LATE, True, last.detail
        )

    def _attempt(
        self,
        trip: Trip,
        target: targets.Target,
        stays: bool,
        number: int,
        process: str,
    ) -> sends.ToGateway:
        now = clock.now()
        call, need = trip.call, trip.need
        goal_ms = int((need.goal - now) * MS)
        hop = hops.Hop(
            call.id,
            self.host,
            target.upstream.id,
            need.service,
            need.caller_service,
            call.match.key,
            int((call.deadline - now) * MS),
            max(goal_ms, -1),
            need.priority,
            call.idempotent,
            need.inner,
            stays,
            stays,
            number,
            process,
        )
        fresh = bool(process)
        return sends.ToGateway(call, target, hops.line(hop), fresh)

    async def _answer(
        self, trip: Trip, attempt: sends.ToGateway
    ) -> answers.Answer:
        """Send once and return the answer; raises what it means if none."""
        deadline = trip.call.deadline
        try:
            await attempt.connect()
            attempt.send()
            silence_s = SIGN_S
            while not await attempt.sign(
                min(clock.now() + silence_s, deadline)
            ):
                silence_s = SILENCE_S
            answer = await attempt.answer(deadline)
        except TimeoutError:
            attempt.take_back()
            late = clock.now() >= deadline
            outcome = interfaces.TIMEOUT if late else interfaces.SILENT
            code = codes.ANSWER_LATE if late else codes.ANSWER_LOST
            raise answers.Failed(outcome, code, attempt.sent) from None
        except answers.Failed:
            attempt.take_back()
            raise
        except sends.BROKEN as error:
            attempt.take_back()
            raise answers.Failed(
                interfaces.BROKEN, codes.ANSWER_LOST, attempt.sent, str(error)
            ) from None
        except BaseException:
            # The caller has gone, as a rule.
            attempt.drop()
            raise
        if answer.rest is None:
            attempt.settle(clock.now())
        return self._understood(attempt, answer)

    def _understood(
        self, attempt: sends.ToGateway, answer: answers.Answer
    ) -> answers.Answer:
        """Return an upstream's answer; raises what a gateway says."""
        value = headers.value(answer.headers, hops.REPORT)
        report = None if value is None else hops.read_report(value)
        if report is not None:
            name = attempt.target.upstream.id
            self.board.heard(name, report, clock.now())
        refusal = headers.value(answer.headers, hops.REFUSAL)
        if refusal is not None:
            raise Declined(refusal.decode(), report)
        failure = headers.value(answer.headers, hops.FAILURE)
        if failure is not None:
            code = codes.TABLE[int(failure.rpartition(b'-')[2])]
            late = code is codes.ANSWER_LATE
            raise answers.Failed(
                interfaces.TIMEOUT if late else interfaces.ERROR,
                code,
                True,
                answer.body.decode('utf-8', 'replace'),
            )
        return answer


# Refusals that waiting may turn into a run.
WAITABLE = frozenset((rejecting.BUSY, hops.SUSPECT))


def _patience(declined: Declined) -> tuple:
    """Order refusals by where a request should wait, the best first."""
    report = declined.report
    wait_ms = report.wait_ms if report is not None else 0
    return declined.reason == hops.SUSPECT, wait_ms
