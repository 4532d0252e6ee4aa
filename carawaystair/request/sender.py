"""Sends a request to upstreams until one has answered it, or none may."""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import invariants
from carawaystair import metrics
from carawaystair.request import answer as answers
from carawaystair.request import attempt as attempts
from carawaystair.request import budget as budgets
from carawaystair.request import call as calls
from carawaystair.request import choosing
from carawaystair.request import connections
from carawaystair.request import headers
from carawaystair.request import latencies
from carawaystair.request import race as races
from carawaystair.request import silence
from carawaystair.request import slot as slots
from carawaystair.request import target as targets

# Attempts of one request at most, be they retries or hedges.
MAX_ATTEMPTS = 3
# A failure makes an upstream look as slow as this, at least: one that fails
# fast must not draw work by its speed.
PENALTY_S = 1.0
# An upstream that was told a deadline is taken to have stopped so long
# after it, whatever it says.
FREE_AFTER_S = 0.5
# New work for an upstream that has begun to leave breaks a promise after
# this time.
DRAIN_S = 3.0
FAILURES = frozenset(
    (
        interfaces.ERROR,
        interfaces.TIMEOUT,
        interfaces.BROKEN,
        interfaces.REFUSED,
    )
)


class Sender:
    """Sends requests; one for each node.

    :param chooser: chooses upstreams.
    :param health: may want copies of requests for trial.
    :param evidence: is told what every attempt showed.
    """

    def __init__(
        self,
        chooser: choosing.Chooser,
        health: interfaces.Health,
        evidence: interfaces.Evidence,
    ) -> None:
        self.chooser = chooser
        self.health = health
        self.evidence = evidence
        self.budgets: dict[str, budgets.Budget] = {}
        self.routes = latencies.Routes()
        # What runs beside the requests: work that a stop waits for, and
        # attempts that are only watched.
        self.tasks: set[asyncio.Task] = set()
        self.watches: set[asyncio.Task] = set()

    async def send(self, call: calls.Call, slot: slots.Slot) -> answers.Answer:
        """Return the answer to a request.

        :param slot: the admission's slot that the request holds.
        :raises answers.Failed: when there is none.
        """
        budget = self.budget(call.service)
        budget.earn(call.match.service.retry_percent)
        target = self.chooser.choose(call)
        if target is None:
            raise answers.Failed(
                interfaces.CANCELLED, codes.NO_UPSTREAM, False
            )
        if not call.idempotent or call.body is None:
            return await self._once(call, target, slot, budget)
        trial = self._trial(call, target, budget)
        if trial is None:
            return await self._first(call, target, slot, budget)
        race = races.Race(self, call, slot, budget)
        race.launch(target)
        race.launch(trial, fresh=True)
        return await race.run()

    # Ways to send

    async def _once(
        self,
        call: calls.Call,
        target: targets.Target | None,
        slot: slots.Slot,
        budget: budgets.Budget,
    ) -> answers.Answer:
        """Send what may not run twice.

        Another attempt is made only while no byte has reached an upstream,
        or after one said that it refused before running.
        """
        tried = []
        while True:
            attempt = self.start(call, target)
            tried.append(target.upstream.id)
            try:
                answer = await self._whole(attempt, slot)
                if not answers.refused(answer):
                    return answer
                failed = answers.Failed(
                    interfaces.SHED, codes.UPSTREAM_REFUSED, False
                )
            except answers.Failed as error:
                failed = error
            spent = attempt.pump is not None
            if failed.sent or spent or len(tried) >= MAX_ATTEMPTS:
                raise failed
            target = self.chooser.choose(call, tried)
            if target is None or not budget.spend():
                raise failed

    async def _whole(
        self, attempt: attempts.Attempt, slot: slots.Slot
    ) -> answers.Answer:
        """Make one attempt with all the time that the request has."""
        try:
            await self.put(attempt)
            answer = await attempt.answer(attempt.call.deadline)
        except TimeoutError:
            raise self.late(attempt, slot) from None
        except answers.Failed as failed:
            self.fail(attempt, failed)
            raise
        except BaseException:
            # The caller has gone, as a rule.
            self.abandon(attempt, interfaces.CANCELLED, slot)
            raise
        self.complete(attempt, answer)
        return answer

    async def _first(
        self,
        call: calls.Call,
        target: targets.Target,
        slot: slots.Slot,
        budget: budgets.Budget,
    ) -> answers.Answer:
        """Send a request that may run twice.

        A race begins only when the first answer is late, there is none, or
        it is an error that another upstream may not make.
        """
        attempt = self.start(call, target)
        try:
            await self.put(attempt)
            answer = await attempt.answer(self.hedge_at(call))
        except TimeoutError:
            race = races.Race(self, call, slot, budget, target)
            race.overdue(attempt)
        except answers.Failed as failed:
            self.fail(attempt, failed)
            race = races.Race(self, call, slot, budget, target)
            race.lost(failed)
        except BaseException:
            self.abandon(attempt, interfaces.CANCELLED, slot)
            raise
        else:
            self.complete(attempt, answer)
            if answer.status < 500 or answer.rest is not None:
                return answer
            race = races.Race(self, call, slot, budget, target)
            race.spoilt(answer)
        return await race.run()

    def _trial(
        self,
        call: calls.Call,
        target: targets.Target,
        budget: budgets.Budget,
    ) -> targets.Target | None:
        """Return an upstream that wants a copy of this request."""
        if call.bulk or budget.tokens < 1.0 + budgets.KEPT_FOR_RETRIES:
            return None
        name = self.health.trial(call.service)
        if name is None or name == target.upstream.id:
            return None
        wanted = self.chooser.named(call.service, name)
        return wanted if wanted is not None and budget.spend() else None

    # The life of an attempt

    def start(
        self,
        call: calls.Call,
        target: targets.Target,
        extra: bytes = b'',
        fresh: bool = False,
    ) -> attempts.Attempt:
        """Begin an attempt."""
        attempt = attempts.Attempt(call, target, extra, fresh)
        target.in_flight += 1
        return attempt

    async def put(self, attempt: attempts.Attempt) -> None:
        """Send a request to its upstream; raises ``answers.Failed``."""
        await attempt.connect()
        attempt.send()
        call = attempt.call
        self.evidence.begin(
            call.service,
            attempt.target.upstream.id,
            call.charged,
            attempt.started,
            call.match.key,
            attempt.fresh,
        )
        since = self.chooser.leaving.get(attempt.target.upstream.id)
        if since is not None:
            invariants.check(
                invariants.NO_WORK_AFTER_DRAIN,
                clock.now() - since <= DRAIN_S,
                attempt.target.upstream.id,
            )

    def complete(
        self, attempt: attempts.Attempt, answer: answers.Answer
    ) -> None:
        """Take note of an answer, and of its connection when it is whole."""
        self.record(attempt, outcome_of(answer))
        silence.answered(attempt)
        if answer.rest is None:
            self.finish(attempt)

    def finish(self, attempt: attempts.Attempt) -> None:
        """Let the connection of an answer that was read whole go on."""
        attempt.target.in_flight -= 1
        connection = attempt.connection
        if attempt.pump is not None and not attempt.pump.done:
            # The answer came before the body was taken: what is left of the
            # body must not be read as another request.
            attempt.pump.task.cancel()
            connection.proto.abort()
        else:
            connections.give(connection, clock.now())

    def fail(self, attempt: attempts.Attempt, failed: answers.Failed) -> None:
        """End an attempt that brought no answer."""
        outcome = failed.outcome
        if outcome == interfaces.BROKEN and attempt.silent:
            outcome = self._broken(attempt)
        self.record(attempt, outcome)
        silence.ended(attempt)
        self.cut(attempt)

    def _broken(self, attempt: attempts.Attempt) -> str:
        """Tell what the end of a connection without a byte shows."""
        if self.lost(attempt):
            return interfaces.SILENT
        idle_s = attempt.started - attempt.connection.used
        if attempt.reused and idle_s > connections.LIVE_S:
            # An idle connection that the upstream closed just then: this
            # says nothing about how it works.
            return interfaces.CANCELLED
        return interfaces.BROKEN

    def drop(self, attempt: attempts.Attempt) -> None:
        """Close the connection of an attempt, doubtful or not."""
        if attempt.pump is not None and attempt.pump.task is not None:
            attempt.pump.task.cancel()
        if attempt.connection is not None:
            attempt.connection.proto.abort()

    def cut(self, attempt: attempts.Attempt) -> None:
        """End an attempt that has answered but is not read to its end."""
        attempt.target.in_flight -= 1
        self.drop(attempt)

    def late(
        self, attempt: attempts.Attempt, slot: slots.Slot
    ) -> answers.Failed:
        """End an attempt whose time is over, and return the failure."""
        outcome = self.blame(attempt)
        self.abandon(attempt, outcome, slot)
        return answers.Failed(outcome, codes.ANSWER_LATE, attempt.sent)

    def blame(self, attempt: attempts.Attempt) -> str:
        """Tell whether an upstream or its connection kept silent."""
        return interfaces.SILENT if self.lost(attempt) else interfaces.TIMEOUT

    def lost(self, attempt: attempts.Attempt) -> bool:
        """Tell whether an attempt's connection was found to be lost."""
        return (
            attempt.silent
            and attempt.connection.opened < attempt.target.renewed
        )

    def abandon(
        self,
        attempt: attempts.Attempt,
        outcome: str,
        slot: slots.Slot | None = None,
    ) -> None:
        """Cancel an attempt, whose slot counts until it is known to be free.

        :param slot: the admission's slot that is given back then, too.
        """
        self.record(attempt, outcome)
        silence.ended(attempt)
        if not attempt.sent:
            attempt.target.in_flight -= 1
            self.drop(attempt)
            return
        if slot is not None:
            slot.hold()
        if attempt.pump is not None:
            attempt.pump.task.cancel()
        self.watch(self._let_go(attempt, slot))

    async def _let_go(
        self, attempt: attempts.Attempt, slot: slots.Slot | None
    ) -> None:
        until = max(attempt.call.deadline, clock.now()) + FREE_AFTER_S
        try:
            await connections.let_go(attempt.connection, until)
        finally:
            attempt.target.in_flight -= 1
            if slot is not None:
                slot.drop()

    def record(self, attempt: attempts.Attempt, outcome: str) -> None:
        """Record what an attempt showed, once."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.alarm is not None:
            attempt.alarm.cancel()
            attempt.target.late.remove(attempt)
        now = clock.now()
        call = attempt.call
        target = attempt.target
        latency_s = now - attempt.started
        if outcome == interfaces.GOOD:
            target.observe(latency_s, now)
            self.routes.of(call.match.key).add(latency_s)
        elif outcome in FAILURES:
            target.observe(max(latency_s, PENALTY_S), now)
        self.note(attempt, outcome, latency_s)

    def note(
        self, attempt: attempts.Attempt, outcome: str, latency_s: float
    ) -> None:
        """Pass evidence on."""
        call = attempt.call
        self.evidence.record(
            interfaces.Attempt(
                call.service,
                attempt.target.upstream.id,
                call.charged,
                outcome,
                latency_s,
                attempt.started,
                call.match.key,
            )
        )

    async def stop(self, until: float) -> None:
        """Wait for what runs beside the requests, then close everything.

        :param until: monotonic time up to which to wait.
        """
        if self.tasks:
            left_s = max(until - clock.now(), 0.0)
            await asyncio.wait(self.tasks, timeout=left_s)
        left = self.tasks | self.watches
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        for target in self.chooser.targets.values():
            connections.close_idle(target)

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield what the retry budgets have seen."""
        for service, budget in self.budgets.items():
            label = ('service', service)
            for kind, count in (
                ('first', budget.firsts),
                ('further', budget.spent),
            ):
                labels = (label, ('kind', kind))
                yield metrics.Sample('attempts_total', count, labels)
            yield metrics.Sample(
                'retries_refused_total', budget.refused, (label,)
            )

    # Small things

    def hedge_at(self, call: calls.Call) -> float:
        """Return when a hedge of a request goes out, monotonic time."""
        now = clock.now()
        left_s = call.deadline - now
        wait_s = self.routes.of(call.match.key).hedge_s(left_s)
        return min(now + wait_s, call.deadline)

    def budget(self, service: str) -> budgets.Budget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = budgets.Budget()
        return budget

    def spawn(self, coroutine: typing.Coroutine) -> asyncio.Task:
        """Run something beside the requests, to its end."""
        return _keep(coroutine, self.tasks)

    def watch(self, coroutine: typing.Coroutine) -> asyncio.Task:
        """Run something beside the requests that a stop may cancel."""
        return _keep(coroutine, self.watches)


def _keep(
    coroutine: typing.Coroutine, tasks: set[asyncio.Task]
) -> asyncio.Task:
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


def outcome_of(answer: answers.Answer) -> str:
    """Return what an answer shows about its upstream."""
    if answer.status < 500:
        return interfaces.GOOD
    if answer.status == 503 and (
        answers.refused(answer)
        or headers.value(answer.headers, b'retry-after')
    ):
        return interfaces.SHED
    return interfaces.ERROR
