"""Sends a caller's request to a gateway, and to another one where it may.

A gateway that has no free slot, or knows of failures, refuses at once, and the
next one is asked: that costs a round trip, a hundredth of what the work takes,
and it decides by what is true at that moment.  When none is left that promises
more than those that refused, the request waits where it is worth most; when
that would take too long, the caller is told at once and when to come back.
"""

import asyncio
import math
import random

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import dispatches
from carawaystair.gateway import gateway_client as handovers
from carawaystair.gateway import hedging
from carawaystair.gateway import hops
from carawaystair.gateway import startup as settlings
from carawaystair.gateway import upstream_pool as knowns
from carawaystair import interfaces
from carawaystair.load import rejection
from carawaystair.load import request_value
from carawaystair.load import retry_after
from carawaystair.load import retry_budget
from carawaystair.load import upstream_gate
from carawaystair.load import upstream_selection
from carawaystair.request import answer as answers
from carawaystair.request import target as targets
from carawaystair.request import validation

# Gateways that are asked before a request stays at one of them.
MAX_GATEWAYS_ASKED = 6
# And those beside them that can't serve it at all, such as those that leave.
MAX_OFFERS = 12
# Gateways at which a request may be left to wait, one after the other.
MAX_WAITS = 3
# Sends that may reach an upstream, whether it runs them or sheds them.  When
# a service sheds half of its work, each further send of one request takes the
# place of the second of another one.
MAX_UPSTREAMS_REACHED = 3
# Upstreams that may run a request whose route does not say.
DEFAULT_MAX_RUNS = 2
# A request that takes so many times as long as its route usually does, and
# this time at least in seconds, is asked of another upstream as well; of so
# many at most, until one has room.
HEDGE_DELAY_FACTOR = 2.0
MIN_HEDGE_DELAY_S = 0.25
MAX_HEDGE_OFFERS = 3
MS = 1000
# Refusals that another question may turn into a run.
WAITABLE = frozenset((rejection.BUSY, upstream_gate.RISKY))


class Dispatcher:
    """Sends requests to gateways; one for each node.

    :param known: the upstreams.
    :param handover: hands a request to one gateway.
    :param settling: waits for upstreams right after the start.
    :param budgets: the repeats that this node may send, by service.
    :param quarantine: knows requests that crash upstreams.
    :param rng: the source of randomness.
    :param recorder: takes note of decisions.
    """

    def __init__(
        self,
        pool: knowns.UpstreamPool,
        client: handovers.GatewayClient,
        settling: settlings.StartupWait,
        budgets: retry_budget.Budgets,
        quarantine: interfaces.Quarantine,
        rng: random.Random,
        recorder: decisions.Recorder,
    ) -> None:
        self.budgets = budgets
        self.quarantine = quarantine
        self.pool = pool
        self.board = pool.board
        self.client = client
        self.settling = settling
        self.rng = rng
        self.recorder = recorder
        # Answers that a second run brought before the first one ended.
        self.hedged = 0

    # A request

    async def send(self, trip: dispatches.Dispatch) -> answers.Answer:
        """Return the answer to a request.

        :raises validation.Refused: when it was not run and will not be.
        :raises answers.Failed: when it may have run.
        """
        if not self.quarantine.may_begin(trip.call.digest):
            raise self._crashing(trip)
        if not trip.need.echo:
            self.budgets.for_service(trip.need.service).record_first_send(
                clock.now()
            )
        while self._may_send(trip) and trip.offers < MAX_OFFERS:
            choice = await self._next(trip)
            if choice is None:
                break
            answer = await self._try(trip, *choice)
            if answer is not None:
                return answer
        return await self._end(trip)

    async def _next(self, trip: dispatches.Dispatch) -> knowns.Choice | None:
        """Return where a request goes next, None when there is nothing left.

        That is an upstream that was not asked, or one that refused it and
        where it is worth more to wait.
        """
        choice = None
        if len(trip.declined) < MAX_GATEWAYS_ASKED:
            choice = self._choose(trip)
        if choice is None and not trip.offers:
            await self.settling.wait(
                lambda: self._choose(trip) is not None, trip.need.goal
            )
            choice = self._choose(trip)
        if choice is None:
            return self._best(trip)
        trip.tried.add(choice.target.upstream.id)
        return choice

    def _choose(self, trip: dispatches.Dispatch) -> knowns.Choice | None:
        now = clock.now()
        return self.pool.choose(
            trip.need.service,
            trip.tried,
            trip.declined.keys() - trip.stayed,
            now,
            trip.needs(now),
            trip.call.match.key,
            trip.size,
            not trip.offers,
        )

    def _may_send(self, trip: dispatches.Dispatch) -> bool:
        """Tell whether one more upstream may get a request."""
        if trip.spent or clock.now() >= trip.call.deadline:
            return False
        digest = trip.call.digest
        if trip.crashing or self.quarantine.refuses(digest):
            return False
        if trip.runs and not self.quarantine.may_retry(digest):
            return False
        runs = trip.need.most_runs
        return trip.runs < runs and trip.sent < max(
            MAX_UPSTREAMS_REACHED, runs
        )

    async def _end(self, trip: dispatches.Dispatch) -> answers.Answer:
        """Return what an earlier run came to; raises what it is if none."""
        if trip.sent:
            self.recorder.tell(
                decisions.Spent(
                    trip.call.id,
                    self._may_send(trip),
                    trip.runs,
                    trip.need.most_runs,
                    trip.sent,
                    ' '.join(trip.refusals),
                ),
                decisions.TROUBLE,
            )
        if trip.fallback is not None:
            return trip.fallback
        answer = await self.client.find(trip)
        if answer is not None:
            return answer
        if trip.failed is not None:
            raise trip.failed
        if trip.crashing or self.quarantine.refuses(trip.call.digest):
            raise self._crashing(trip)
        raise self._rejection(trip)

    def _best(self, trip: dispatches.Dispatch) -> knowns.Choice | None:
        """Return where a request is worth most, of those that refused it.

        Gateways that were not reached come last: they are asked through a
        third node.
        """
        if len(trip.stayed) >= MAX_WAITS:
            return None
        need = trip.needs(clock.now())
        found = [
            (value_where_declined(declined.report, need), target)
            for name, (target, declined) in trip.declined.items()
            if name not in trip.stayed and not self._too_late(trip, declined)
        ]
        missed = [
            (0.0, target)
            for target in trip.missed
            if target.upstream.id not in trip.stayed
        ]
        if not found and not missed:
            return None
        target = max(found or missed, key=lambda pair: pair[0])[1]
        trip.stayed.add(target.upstream.id)
        return knowns.Choice(target, len(trip.declined), None)

    def _too_late(
        self, trip: dispatches.Dispatch, declined: dispatches.Declined
    ) -> bool:
        report = declined.report
        if report is None:
            return clock.now() >= trip.call.deadline
        return rejection.would_miss(
            clock.now(),
            report.wait_ms / MS,
            (report.route_ms or report.service_ms) / MS,
            trip.call.deadline,
        )

    def _crashing(self, trip: dispatches.Dispatch) -> validation.Refused:
        """Return the refusal of a request that crashes upstreams."""
        return validation.crash_refusal(
            self.quarantine.standing(trip.call.digest)
        )

    def _rejection(self, trip: dispatches.Dispatch) -> validation.Refused:
        """Return what the caller of a request that was not run is told."""
        reports = [
            declined.report
            for _target, declined in trip.declined.values()
            if declined.report is not None
        ]
        backlog_s = min((r.wait_ms / MS for r in reports), default=0.0)
        after_s = retry_after.retry_after_s(backlog_s, self.rng)
        if not trip.declined:
            return validation.Refused(codes.NO_UPSTREAM, '', after_s)
        reasons = sorted({d.reason for _t, d in trip.declined.values()})
        full = rejection.FULL in reasons
        code = codes.QUEUE_FULL if full else codes.DEADLINE_SHORT
        detail = 'least wait %.2f s, %s' % (backlog_s, ', '.join(reasons))
        return validation.Refused(code, detail, after_s)

    # One gateway

    async def _try(
        self,
        trip: dispatches.Dispatch,
        target: targets.Target,
        count: int,
        least: float | None,
        again: float,
    ) -> answers.Answer | None:
        """Offer a request to one gateway, and to another when that is late.

        :param count: upstreams that take work, for the log.
        :param least: what it must be worth there; None when it may wait
            there whatever that is.
        :param again: what it is worth if it fails there.
        :return: None when another one may be asked.
        """
        first = self._send(trip, target, count, least, again)
        durations, key = self.board.durations, trip.call.match.key
        if trip.final_attempt or trip.call.body is None:
            return await first
        after_s = math.inf
        if durations.has(key):
            after_s = max(
                HEDGE_DELAY_FACTOR * durations.expected(key), MIN_HEDGE_DELAY_S
            )
        trip.hurry = asyncio.get_running_loop().create_future()
        return await hedging.hedged(
            first,
            after_s,
            trip.hurry,
            lambda: self._hedge(trip, target.upstream.id),
        )

    async def _hedge(
        self, trip: dispatches.Dispatch, first: str
    ) -> answers.Answer | None:
        """Let another upstream run a request as well, if one has room.

        :param first: the upstream that has it.
        """
        trip.ran(first)
        for _asked in range(MAX_HEDGE_OFFERS):
            choice = self._choose(trip) if self._may_send(trip) else None
            if choice is None:
                return None
            trip.tried.add(choice.target.upstream.id)
            answer = await self._send(trip, *choice)
            if answer is not None:
                self.hedged += 1
                return answer
        return None

    async def _send(
        self,
        trip: dispatches.Dispatch,
        target: targets.Target,
        count: int,
        least: float | None,
        again: float,
    ) -> answers.Answer | None:
        """Offer a request to one gateway, see :meth:`_try`."""
        upstream = target.upstream
        name = upstream.id
        trip.offers += 1
        offer = self._offer(trip, upstream, count, least)
        view = self.board.state(name)
        view.in_flight += 1
        began = clock.now()
        budget = self.budgets.for_service(trip.need.service)
        # The first send of a call counts as well where its caller's run is a
        # repeat, unless that was paid for before the run began.
        counts = trip.sent > 0 or (trip.need.echo and not trip.need.paid)
        paid = counts and budget.take_retry(began, 1)
        counted = paid or (trip.need.paid and trip.sent == 0)
        try:
            answer = await self.client.exchange(
                trip, target, least, again, counted
            )
        except dispatches.Declined as declined:
            reached = declined.reason in hops.ARRIVED
            if paid and not reached:
                budget.refund(began)
            trip.not_run(name, reached)
            self._declined(trip, target, declined)
            return None
        except answers.Failed as failed:
            self.recorder.tell(offer, decisions.TROUBLE)
            self._tell_broken(trip, name, failed, began)
            if not failed.sent:
                if paid:
                    budget.refund(began)
                trip.not_run(name, False)
                trip.missed.append(target)
                return None
            self.pool.learn(trip.need.service, False)
            trip.ran(name)
            trip.failed = failed
            if not trip.call.idempotent or trip.call.body is None:
                raise
            return None
        finally:
            view.in_flight -= 1
        bad = answer.status >= 500
        self.board.answer_sizes.record(
            trip.call.match.key, answers.body_size(answer)
        )
        self.pool.learn(trip.need.service, not bad)
        self.recorder.tell(
            offer, decisions.TROUBLE if bad else decisions.ROUTINE
        )
        if not bad or not trip.call.idempotent or answer.rest is not None:
            return answer
        trip.ran(name)
        trip.fallback = answer
        return None

    def _declined(
        self,
        trip: dispatches.Dispatch,
        target: targets.Target,
        declined: dispatches.Declined,
    ) -> None:
        name = target.upstream.id
        trip.refusals.append('%s:%s' % (name, declined.reason))
        if declined.reason == hops.CRASHING:
            trip.crashing = True
        if declined.reason in WAITABLE:
            trip.declined[name] = (target, declined)

    # What is told

    def _tell_broken(
        self,
        trip: dispatches.Dispatch,
        name: str,
        failed: answers.Failed,
        began: float,
    ) -> None:
        self.recorder.tell(
            decisions.Broke(
                trip.call.id,
                name,
                failed.code.label,
                failed.sent,
                int((clock.now() - began) * MS),
                failed.detail,
            ),
            decisions.TROUBLE,
        )

    def _offer(
        self,
        trip: dispatches.Dispatch,
        upstream: interfaces.Upstream,
        count: int,
        least: float | None,
    ) -> decisions.Offered:
        """Return what is told of an offer, by what is known before it."""
        now = clock.now()
        view = self.board.state(upstream.id)
        known = view.report is not None
        candidate = upstream_selection.Candidate(
            upstream.id, False, upstream.slots
        )
        need = trip.need
        return decisions.Offered(
            trip.call.id,
            need.service,
            upstream.id,
            upstream.host,
            need.version,
            trip.offers,
            int((trip.call.deadline - now) * MS),
            trip.call.idempotent,
            need.inner,
            least is None,
            int((now - view.reported_at) * MS) if known else -1,
            self.board.load(candidate, now),
            count,
            ' '.join(trip.refusals),
        )


def value_where_declined(
    report: upstream_selection.LoadReport | None, need: request_value.Need
) -> float:
    """Return what a request is worth where it was refused just now, 0 to 1.

    :param report: what the gateway said of its upstream.
    """
    if report is None:
        return 0.0
    takes_ms = report.route_ms or report.service_ms
    answer_s = (report.wait_ms + takes_ms) / MS
    return request_value.expected_value(
        upstream_selection.reported_failure_probability(report, 0.0),
        answer_s,
        need,
    )
