"""Dispatches callers' requests to gateways, with retries and hedging.

A gateway that has no free slot, or knows of failures, refuses at once, and the
next one is asked.  That costs a round trip, a hundredth of the service time,
and the decision rests on the current state.  When no gateway is left that
promises more than those that refused, the request waits where it is worth
most.  If that would take too long, the caller is refused at once and told when
to retry.
"""

import asyncio
import collections
import math
import random

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import dispatches
from carawaystair.gateway import gateway_client
from carawaystair.gateway import hedging
from carawaystair.gateway import hops
from carawaystair.gateway import startup
from carawaystair.gateway import upstream_pool
from carawaystair import interfaces
from carawaystair.load import budget_wait
from carawaystair.load import hedge_delay
from carawaystair.load import rejection
from carawaystair.load import request_value
from carawaystair.load import retry_after
from carawaystair.load import retry_budget
from carawaystair.load import shed_share
from carawaystair.load import stopping
from carawaystair.load import upstream_gate
from carawaystair.load import upstream_selection
from carawaystair.request import answer as answers
from carawaystair.request import authentication
from carawaystair.request import target as targets
from carawaystair.request import validation

# Gateways that are asked before a request waits at one of them.
MAX_GATEWAYS_ASKED = 6
# The same including gateways that can't serve it at all, such as those that
# are leaving.
MAX_OFFERS = 12
# Gateways at which a request may wait, one after the other.
MAX_WAITS = 3
# Upstreams that a request may reach, whether they run or shed it.  When a
# service sheds half of its load, each further send of one request takes the
# place of the second send of another one.
MAX_UPSTREAMS_REACHED = 3
# Upstreams that may run a request if its route has no limit of its own.
DEFAULT_MAX_RUNS = 2
# Further gateways that are asked to run a request as well until one has room.
MAX_HEDGE_OFFERS = 3
# Interval of checks for an upstream that takes work again, seconds.
UPSTREAM_POLL_INTERVAL_S = 0.1
MS = 1000
# Status of an upstream that stops work at its deadline.
GATEWAY_TIMEOUT = 504
# Reasons for a refusal that may not hold any more when the gateway is asked
# again.
REASONS_TO_WAIT = frozenset(
    (rejection.BUSY, rejection.LIMITED, upstream_gate.RISKY)
)


class Dispatcher:
    """Sends requests to gateways; one for each node.

    :param pool: the upstreams.
    :param client: sends a request to one gateway.
    :param startup_wait: waits for upstreams right after the start.
    :param retry_budgets: this node's retry budgets, by service.
    :param quarantine: tracks requests that crash upstreams.
    :param authenticator: checks keys of customers.
    :param rng: the source of randomness.
    :param recorder: records events.
    """

    def __init__(
        self,
        pool: upstream_pool.UpstreamPool,
        client: gateway_client.GatewayClient,
        startup_wait: startup.StartupWait,
        retry_budgets: retry_budget.Budgets,
        quarantine: interfaces.Quarantine,
        authenticator: authentication.Authenticator,
        rng: random.Random,
        recorder: decisions.Recorder,
    ) -> None:
        self.retry_budgets = retry_budgets
        self.quarantine = quarantine
        self.authenticator = authenticator
        self.pool = pool
        self.selector = pool.selector
        self.client = client
        self.startup_wait = startup_wait
        self.rng = rng
        self.recorder = recorder
        # Requests that wait for a retry budget, and what services shed.
        self.budget_waits = budget_wait.Waits()
        self.stopping = asyncio.Event()
        # When the process ends, once it has been asked to stop.
        self.ends_at = math.inf
        self.shed_shares: dict[str, shed_share.ShedShare] = (
            collections.defaultdict(shed_share.ShedShare)
        )
        # Rejections and answers of services lately.
        self.returns: dict[str, retry_after.Returns] = collections.defaultdict(
            retry_after.Returns
        )
        # Answers of hedges that came before those of the first runs.
        self.hedged = 0

    # A request

    async def send(self, dispatch: dispatches.Dispatch) -> answers.Answer:
        """Return the answer to a request.

        :raises validation.Refused: when it was not run and will not be.
        :raises answers.Failed: when it may have run.
        """
        if not self.quarantine.may_begin(dispatch.call.digest):
            raise self._crash_refusal(dispatch)
        if not dispatch.params.caller_retried:
            self.retry_budgets.for_service(
                dispatch.params.service
            ).record_first_send(clock.now())
        answer = await self._offer(dispatch)
        while answer is None and await self._await_budget(dispatch):
            answer = await self._offer(dispatch)
        if answer is None:
            return await self._finish(dispatch)
        return answer

    async def _offer(
        self, dispatch: dispatches.Dispatch
    ) -> answers.Answer | None:
        """Offer a request to one gateway after the other.

        :return: None when none is left that may run it.
        """
        while self._may_send(dispatch) and dispatch.offers < MAX_OFFERS:
            choice = await self._next_choice(dispatch)
            if choice is None:
                break
            answer = await self._offer_and_hedge(dispatch, *choice)
            if answer is not None:
                return answer
        return None

    async def _await_budget(self, dispatch: dispatches.Dispatch) -> bool:
        """Let a request that was only shed wait for the retry budget.

        :return: whether it may be offered again.
        """
        if not (dispatch.shed_without_budget and self._may_send(dispatch)):
            return False
        if self.stopping.is_set():
            return False
        now, params = clock.now(), dispatch.params
        service, priority = params.service, params.priority
        room_s = budget_wait.room_in_s(
            self.retry_budgets.for_service(service),
            self.budget_waits.ahead(service, priority),
            now,
        )
        if rejection.would_miss(
            now,
            room_s,
            self.selector.durations.expected(dispatch.call.match.key),
            dispatch.call.deadline,
        ):
            return False
        self.recorder.tell(
            decisions.AwaitedBudget(
                dispatch.call.id,
                service,
                int(room_s * MS),
                dispatch.sent,
                int((dispatch.call.deadline - now) * MS),
            ),
            decisions.TROUBLE,
        )
        self.budget_waits.begin(service, priority)
        try:
            await asyncio.wait_for(self.stopping.wait(), room_s)
        except TimeoutError:
            dispatch.start_over()
            return True
        finally:
            self.budget_waits.end(service, priority)
        return False

    def _others_wait(self, dispatch: dispatches.Dispatch) -> bool:
        """Return whether the next room in the budget is that of others."""
        params = dispatch.params
        return not dispatch.waited_for_budget and bool(
            self.budget_waits.ahead(params.service, params.priority)
        )

    def stop(self, ends_at: float) -> None:
        """Let no request wait for a retry budget any more.

        :param ends_at: monotonic time at which the process ends.
        """
        self.ends_at = self.client.ends_at = ends_at
        self.stopping.set()

    async def _next_choice(
        self, dispatch: dispatches.Dispatch
    ) -> upstream_pool.Choice | None:
        """Return the next upstream for a request; None if none is left.

        That is an upstream that was not asked yet, or the one at which it is
        worth most to wait among those that refused it.
        """
        choice = None
        if len(dispatch.refused_by) < MAX_GATEWAYS_ASKED:
            choice = self._choose(dispatch)
        if choice is None and not dispatch.offers and not dispatch.sent:
            await self.startup_wait.wait(
                lambda: self._choose(dispatch) is not None,
                dispatch.params.goal,
            )
            choice = self._choose(dispatch)
        if choice is None:
            choice = self._best_declined(dispatch)
            if choice is not None:
                return choice
            choice = await self._await_upstream(dispatch)
        if choice is not None:
            dispatch.tried.add(choice.target.upstream.id)
        return choice

    async def _await_upstream(
        self, dispatch: dispatches.Dispatch
    ) -> upstream_pool.Choice | None:
        """Wait for an upstream for a request that may run once more.

        Its gateway has ended, and no other takes work.  While hosts restart,
        the next upstream is back before long.
        """
        if not self._gateway_ended(dispatch):
            return None
        expected_s = self.selector.durations.expected(dispatch.call.match.key)
        until = min(dispatch.call.deadline, self.ends_at)
        until -= stopping.REPEATABLE_DURATIONS * expected_s
        while clock.now() < until and self._may_send(dispatch):
            choice = self._choose(dispatch)
            if choice is not None:
                return choice
            await asyncio.sleep(UPSTREAM_POLL_INTERVAL_S)
        return None

    def _gateway_ended(self, dispatch: dispatches.Dispatch) -> bool:
        """Return whether the end of its gateway ended the run of a request.

        Its connection broke, or its upstream was given a deadline before the
        gateway left.
        """
        if dispatch.failure is not None:
            return dispatch.failure.outcome == interfaces.BROKEN
        answer = dispatch.fallback
        if answer is None or answer.status != GATEWAY_TIMEOUT:
            return False
        return not all(map(self.pool.takes_work, dispatch.ran_at))

    def _choose(
        self, dispatch: dispatches.Dispatch
    ) -> upstream_pool.Choice | None:
        now = clock.now()
        need = dispatch.needs(now)
        service = dispatch.params.service
        # Where much is shed, a repeat is no more likely for what may be
        # repeated: its place in the budget may be taken.
        shedding = bool(dispatch.params.sender.customer) and self.shed_shares[
            service
        ].sheds_much(now)
        if shedding:
            need = need._replace(final=True)
        return self.pool.choose(
            service,
            dispatch.tried,
            dispatch.refused_by.keys() - dispatch.waited_at,
            now,
            need,
            dispatch.call.match.key,
            dispatch.size,
            not dispatch.offers and not dispatch.sent and not shedding,
        )

    def _may_send(self, dispatch: dispatches.Dispatch) -> bool:
        """Return whether a request may be sent to another upstream."""
        now = clock.now()
        if dispatch.body_consumed or now >= dispatch.call.deadline:
            return False
        expected_s = self.selector.durations.expected(dispatch.call.match.key)
        if not stopping.may_offer(self.ends_at - now, expected_s):
            return False
        digest = dispatch.call.digest
        if dispatch.crashing or self.quarantine.refuses(digest):
            return False
        if dispatch.runs and not self.quarantine.may_retry(digest):
            return False
        if self.authenticator.recheck(dispatch.params.sender) is not None:
            return False
        runs = dispatch.params.max_runs
        return dispatch.runs < runs and dispatch.sent < max(
            MAX_UPSTREAMS_REACHED, runs
        )

    async def _finish(self, dispatch: dispatches.Dispatch) -> answers.Answer:
        """Return the answer of an earlier run; raise the failure if none."""
        if dispatch.sent:
            self.recorder.tell(
                decisions.Spent(
                    dispatch.call.id,
                    self._may_send(dispatch),
                    dispatch.runs,
                    dispatch.params.max_runs,
                    dispatch.sent,
                    ' '.join(dispatch.refusals),
                ),
                decisions.TROUBLE,
            )
        if dispatch.fallback is not None:
            return dispatch.fallback
        answer = await self.client.recover(dispatch)
        if answer is not None:
            return answer
        if dispatch.failure is not None:
            raise dispatch.failure.detached()
        if dispatch.crashing or self.quarantine.refuses(dispatch.call.digest):
            raise self._crash_refusal(dispatch)
        refused = self.authenticator.recheck(dispatch.params.sender)
        raise refused or self._rejection(dispatch)

    def _best_declined(
        self, dispatch: dispatches.Dispatch
    ) -> upstream_pool.Choice | None:
        """Return where the request is worth most, of those that refused it.

        Gateways that could not be reached come last; they are asked through
        a third node.
        """
        if len(dispatch.waited_at) >= MAX_WAITS:
            return None
        need = dispatch.needs(clock.now())
        found = [
            (value_where_declined(declined.report, need), target)
            for name, (target, declined) in dispatch.refused_by.items()
            if name not in dispatch.waited_at
            and not self._too_late(dispatch, declined)
        ]
        missed = [
            (0.0, target)
            for target in dispatch.unreached
            if target.upstream.id not in dispatch.waited_at
        ]
        if not found and not missed:
            return None
        target = max(found or missed, key=lambda pair: pair[0])[1]
        dispatch.waited_at.add(target.upstream.id)
        return upstream_pool.Choice(target, len(dispatch.refused_by), None)

    def _too_late(
        self, dispatch: dispatches.Dispatch, declined: dispatches.Declined
    ) -> bool:
        report = declined.report
        if report is None:
            return clock.now() >= dispatch.call.deadline
        return rejection.would_miss(
            clock.now(),
            report.wait_ms / MS,
            (report.route_ms or report.service_ms) / MS,
            dispatch.call.deadline,
        )

    def _crash_refusal(
        self, dispatch: dispatches.Dispatch
    ) -> validation.Refused:
        """Return the refusal of a request that crashes upstreams."""
        return validation.crash_refusal(
            self.quarantine.standing(dispatch.call.digest)
        )

    def _rejection(self, dispatch: dispatches.Dispatch) -> validation.Refused:
        """Return the refusal for a request that was not run."""
        reports = [
            declined.report
            for _target, declined in dispatch.refused_by.values()
            if declined.report is not None
        ]
        backlog_s = min((r.wait_ms / MS for r in reports), default=0.0)
        after_s = self._return_s(dispatch, backlog_s)
        if dispatch.ends_too_late:
            return validation.Refused(codes.LEAVING, hops.SENDER_LEAVING)
        if not dispatch.refused_by:
            return validation.Refused(codes.NO_UPSTREAM, '', after_s)
        reasons = {d.reason for _t, d in dispatch.refused_by.values()}
        if dispatch.params.sender.customer:
            # Those that held when it was refused last, and any before.
            reasons.update(
                refusal.rpartition(':')[2] for refusal in dispatch.refusals
            )
        full = rejection.FULL in reasons
        code = codes.QUEUE_FULL if full else codes.DEADLINE_SHORT
        told = ', '.join(sorted(reasons))
        detail = 'least wait %.2f s, %s' % (backlog_s, told)
        return validation.Refused(code, detail, after_s)

    def _return_s(
        self, dispatch: dispatches.Dispatch, backlog_s: float
    ) -> float:
        """Return when a rejected caller should return, in seconds."""
        if not dispatch.params.sender.customer:
            return retry_after.retry_after_s(backlog_s, self.rng)
        returns, now = self.returns[dispatch.params.service], clock.now()
        spread_s = returns.spread_s(now)
        returns.record_rejected(now)
        return retry_after.retry_after_s(backlog_s, self.rng, spread_s)

    # One gateway

    async def _offer_and_hedge(
        self,
        dispatch: dispatches.Dispatch,
        target: targets.Target,
        usable_count: int,
        min_value: float | None,
        retry_value: float,
    ) -> answers.Answer | None:
        """Offer a request to one gateway; hedge if the answer is late.

        :param usable_count: upstreams that take work, for the log.
        :param min_value: value that it must have there to be accepted; None
            when it may wait there whatever its value.
        :param retry_value: value that is left if it fails there, 0 to 1.
        :return: None when another gateway may be asked.
        """
        first = self._offer_to(
            dispatch, target, usable_count, min_value, retry_value
        )
        durations, key = self.selector.durations, dispatch.call.match.key
        if dispatch.final_attempt or dispatch.call.body is None:
            return await first
        after_s = math.inf
        if durations.has(key):
            after_s = hedge_delay.delay_s(
                durations.expected(key), dispatch.params.goal - clock.now()
            )
        dispatch.hedge_early = asyncio.get_running_loop().create_future()
        return await hedging.hedged(
            first,
            after_s,
            dispatch.hedge_early,
            lambda: self._hedge(dispatch, target.upstream.id),
        )

    async def _hedge(
        self, dispatch: dispatches.Dispatch, first: str
    ) -> answers.Answer | None:
        """Send a request to another upstream as well, if one has room.

        :param first: id of the upstream that already has it.
        """
        dispatch.mark_run(first)
        for _asked in range(MAX_HEDGE_OFFERS):
            choice = (
                self._choose(dispatch) if self._may_send(dispatch) else None
            )
            if choice is None:
                return None
            dispatch.tried.add(choice.target.upstream.id)
            answer = await self._offer_to(dispatch, *choice)
            if answer is not None:
                self.hedged += 1
                return answer
        return None

    async def _offer_to(
        self,
        dispatch: dispatches.Dispatch,
        target: targets.Target,
        usable_count: int,
        min_value: float | None,
        retry_value: float,
    ) -> answers.Answer | None:
        """Offer a request to one gateway, see :meth:`_offer_and_hedge`."""
        upstream = target.upstream
        name = upstream.id
        dispatch.offers += 1
        offer = self._offer_event(dispatch, upstream, usable_count, min_value)
        state = self.selector.state(name)
        state.in_flight += 1
        began = clock.now()
        budget = self.retry_budgets.for_service(dispatch.params.service)
        # A nested call of a retry is itself a retry, unless it was charged
        # to the budget before that run began.
        needs_budget = dispatch.sent > 0 or (
            dispatch.params.caller_retried and not dispatch.params.budgeted
        )
        charged = (
            needs_budget
            and not self._others_wait(dispatch)
            and budget.take_retry(began, 1)
        )
        budgeted = charged or (dispatch.params.budgeted and dispatch.sent == 0)
        try:
            answer = await self.client.send(
                dispatch, target, min_value, retry_value, budgeted
            )
        except dispatches.Declined as declined:
            reached = declined.reason in hops.SENT_TO_UPSTREAM
            if reached:
                self._record_reached(dispatch, declined.reason == hops.SHED)
            if charged and not reached:
                budget.refund(began)
            dispatch.mark_not_run(name, reached)
            self._record_declined(dispatch, target, declined)
            return None
        except answers.Failed as failed:
            self.recorder.tell(offer, decisions.TROUBLE)
            self._record_broken(dispatch, name, failed, began)
            if not failed.sent:
                if charged:
                    budget.refund(began)
                dispatch.mark_not_run(name, False)
                dispatch.unreached.append(target)
                return None
            self.pool.record_outcome(
                dispatch.params.service, False, dispatch.final_attempt
            )
            dispatch.mark_run(name)
            dispatch.failure = failed.detached()
            if not dispatch.call.idempotent or dispatch.call.body is None:
                raise
            return None
        finally:
            state.in_flight -= 1
        bad = answer.status >= 500
        self._record_reached(dispatch, False)
        self.selector.answer_sizes.record(
            dispatch.call.match.key, answers.body_size(answer)
        )
        self.pool.record_outcome(
            dispatch.params.service, not bad, dispatch.final_attempt
        )
        self.recorder.tell(
            offer, decisions.TROUBLE if bad else decisions.ROUTINE
        )
        if not bad or not dispatch.call.idempotent or answer.rest is not None:
            return answer
        dispatch.mark_run(name)
        dispatch.fallback = answer
        return None

    def _record_reached(
        self, dispatch: dispatches.Dispatch, shed: bool
    ) -> None:
        """Record that an upstream got a request of a customer."""
        if not dispatch.params.sender.customer:
            return
        service, now = dispatch.params.service, clock.now()
        self.shed_shares[service].record(shed, now)
        if not shed:
            self.returns[service].record_answered(now)

    def _record_declined(
        self,
        dispatch: dispatches.Dispatch,
        target: targets.Target,
        declined: dispatches.Declined,
    ) -> None:
        name = target.upstream.id
        dispatch.refusals.append('%s:%s' % (name, declined.reason))
        if declined.reason == hops.SPENT:
            dispatch.spent = True
        if declined.reason == hops.CRASHING:
            dispatch.crashing = True
        if declined.reason == hops.LEAVING:
            self.pool.record_leaving(name, dispatch.call.match.key)
        if declined.reason in REASONS_TO_WAIT:
            dispatch.refused_by[name] = (target, declined.detached())

    # Events

    def _record_broken(
        self,
        dispatch: dispatches.Dispatch,
        name: str,
        failed: answers.Failed,
        began: float,
    ) -> None:
        self.recorder.tell(
            decisions.Broke(
                dispatch.call.id,
                name,
                failed.code.label,
                failed.sent,
                int((clock.now() - began) * MS),
                failed.detail,
            ),
            decisions.TROUBLE,
        )

    def _offer_event(
        self,
        dispatch: dispatches.Dispatch,
        upstream: interfaces.Upstream,
        usable_count: int,
        min_value: float | None,
    ) -> decisions.Offered:
        """Return the event of an offer, with what is known before it."""
        now = clock.now()
        state = self.selector.state(upstream.id)
        known = state.report is not None
        candidate = upstream_selection.Candidate(
            upstream.id, False, upstream.slots
        )
        params = dispatch.params
        return decisions.Offered(
            dispatch.call.id,
            params.service,
            upstream.id,
            upstream.host,
            params.config_version,
            dispatch.offers,
            int((dispatch.call.deadline - now) * MS),
            dispatch.call.idempotent,
            params.nested,
            min_value is None,
            int((now - state.reported_at) * MS) if known else -1,
            self.selector.load(candidate, now),
            usable_count,
            ' '.join(dispatch.refusals),
            stopping.left_ms(self.ends_at),
            dispatch.request.whole_ms,
        )


def value_where_declined(
    report: upstream_selection.LoadReport | None, need: request_value.Need
) -> float:
    """Return the value of a request where it was just refused, 0 to 1.

    :param report: the gateway's report with the refusal.
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
