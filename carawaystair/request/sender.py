"""Sends requests to upstreams, with retries, hedges and trials."""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.load import retry_after
from carawaystair import metrics
from carawaystair.request import answer as answers
from carawaystair.request import attempt as attempts
from carawaystair.request import attempt_tracker
from carawaystair.request import budget as budgets
from carawaystair.request import call as calls
from carawaystair.request import connections
from carawaystair.request import race as races
from carawaystair.request import selection
from carawaystair.request import shared_permit as shared_permits
from carawaystair.request import target as targets
from carawaystair.request import validation

# Attempts of a request that may not run twice, at most.
MAX_ATTEMPTS = 3


class Sender(attempt_tracker.AttemptTracker):
    """Sends requests; one for each node.

    :param selector: selects upstreams.
    :param health: says which upstreams need trial requests.
    :param evidence: receives the outcome of every attempt.
    :param quarantine: refuses requests that crash upstreams.
    """

    def __init__(
        self,
        selector: selection.Selector,
        health: interfaces.Health,
        evidence: interfaces.Evidence,
        quarantine: interfaces.Quarantine,
    ) -> None:
        super().__init__(selector, evidence, quarantine)
        self.health = health

    async def send(
        self, call: calls.Call, permit: shared_permits.SharedPermit
    ) -> answers.Answer:
        """Return the answer to a request.

        :param permit: the permit that the request holds.
        :raises answers.Failed: when there is none.
        """
        budget = self.budget(call.service)
        budget.earn(call.match.service.retry_percent)
        target = self.selector.choose(call)
        if target is None:
            self._check_limits(call)
            raise answers.Failed(
                interfaces.CANCELLED, codes.NO_UPSTREAM, False
            )
        if not call.idempotent or call.body is None:
            return await self._send_once(call, target, permit, budget)
        trial = self._trial_target(call, target, budget)
        if trial is None:
            return await self._send_with_hedge(call, target, permit, budget)
        race = races.Race(self, call, permit, budget)
        race.launch(target)
        race.launch(trial, fresh=True)
        return await race.run()

    def _check_limits(self, call: calls.Call) -> None:
        """Refuse a request if limits of upstreams are in its way.

        :raises validation.Refused: with the time of the next request that
            they allow.
        """
        closed = self.selector.limits.closed(call.service, clock.now())
        if closed:
            raise validation.Refused(
                codes.UPSTREAMS_LIMITED,
                '%d upstreams' % len(closed),
                retry_after.retry_after_s(
                    min(closed.values()), self.selector.limits.rng
                ),
            )

    # Strategies

    async def _send_once(
        self,
        call: calls.Call,
        target: targets.Target | None,
        permit: shared_permits.SharedPermit,
        budget: budgets.Budget,
    ) -> answers.Answer:
        """Send a request that may not run twice.

        It is retried only while no byte has been sent to an upstream, or
        after an upstream stated that it did not run the request.
        """
        tried = []
        while True:
            attempt = self.start(call, target)
            tried.append(target.upstream.id)
            try:
                answer = await self._attempt_to_deadline(attempt, permit)
                if not answers.is_refusal(answer):
                    return answer
                failed = answers.Failed(
                    interfaces.SHED, codes.UPSTREAM_REFUSED, False
                )
            except answers.Failed as error:
                failed = error
            streamed = attempt.pump is not None
            if failed.sent or streamed or len(tried) >= MAX_ATTEMPTS:
                raise failed
            target = self.selector.choose(call, tried)
            if target is None or not budget.spend():
                raise failed

    async def _attempt_to_deadline(
        self, attempt: attempts.Attempt, permit: shared_permits.SharedPermit
    ) -> answers.Answer:
        """Make one attempt that may last until the request's deadline."""
        try:
            await self.dispatch(attempt)
            answer = await attempt.answer(attempt.call.deadline)
        except TimeoutError:
            raise self.time_out(attempt, permit) from None
        except answers.Failed as failed:
            self.fail(attempt, failed)
            raise
        except BaseException:
            # Usually, the caller has left.
            self.cancel(attempt, interfaces.CANCELLED, permit)
            raise
        self.complete(attempt, answer)
        return answer

    async def _send_with_hedge(
        self,
        call: calls.Call,
        target: targets.Target,
        permit: shared_permits.SharedPermit,
        budget: budgets.Budget,
    ) -> answers.Answer:
        """Send a request that may run twice.

        A race starts only if the first attempt is late, fails, or is
        answered with a server error, which another upstream may not return.
        """
        attempt = self.start(call, target)
        try:
            await self.dispatch(attempt)
            answer = await attempt.answer(self.hedge_time(call))
        except TimeoutError:
            race = races.Race(self, call, permit, budget, target)
            race.add_late(attempt)
        except answers.Failed as failed:
            self.fail(attempt, failed)
            race = races.Race(self, call, permit, budget, target)
            race.record_failure(failed)
        except BaseException:
            self.cancel(attempt, interfaces.CANCELLED, permit)
            raise
        else:
            self.complete(attempt, answer)
            if answer.status < 500 or answer.rest is not None:
                return answer
            race = races.Race(self, call, permit, budget, target)
            race.record_error(answer)
        return await race.run()

    def _trial_target(
        self,
        call: calls.Call,
        target: targets.Target,
        budget: budgets.Budget,
    ) -> targets.Target | None:
        """Return an upstream to which a copy is sent as a trial, if any."""
        if call.bulk or budget.tokens < 1.0 + budgets.RETRY_RESERVE:
            return None
        if not self.quarantine.may_retry(call.digest):
            return None
        name = self.health.trial(call.service)
        if name is None or name == target.upstream.id:
            return None
        if name in self.selector.limits.closed(call.service, clock.now()):
            return None
        wanted = self.selector.find_up(call.service, name)
        return wanted if wanted is not None and budget.spend() else None

    async def stop(self, until: float) -> None:
        """Wait for background tasks, then close all connections.

        :param until: monotonic time until which to wait.
        """
        if self.tasks:
            left_s = max(until - clock.now(), 0.0)
            await asyncio.wait(self.tasks, timeout=left_s)
        left = self.tasks | self.cancellable_tasks
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        for target in self.selector.targets.values():
            connections.close_idle(target)

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the metrics of the retry budgets."""
        for service, budget in self.budgets.items():
            label = ('service', service)
            for kind, count in (
                ('first', budget.first_attempts),
                ('further', budget.spent),
            ):
                labels = (label, ('kind', kind))
                yield metrics.Sample('attempts_total', count, labels)
            yield metrics.Sample(
                'retries_refused_total', budget.refused, (label,)
            )
