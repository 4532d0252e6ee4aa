"""Deduplication: at most one run for each non-idempotent request.

The gateway is the only way to its upstream, so it alone decides.  A
connection between two nodes may be lost while a request is on its way, while
it runs, or while its answer returns.  The sending node then sends it again
with the same key on a new connection: a request that never arrived is run, one
that is running is waited for, and an answer that is ready is delivered.

Otherwise a short interruption of a connection would lose the answer of a
non-idempotent request that has run.
"""

import asyncio
import collections
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import hops
from carawaystair.gateway import slots
from carawaystair import interfaces
from carawaystair.request import answer as answers

# A run whose last connection broke is cancelled after this time.  The sender
# notices the break earlier and resumes the request, seconds.
ORPHAN_TIMEOUT_S = 2.5
# How long answers are kept, of idempotent requests and of others, seconds.
KEEP_IDEMPOTENT_S = 1.0
KEEP_S = 20.0
# Shortest time for which a key is remembered, and the interval at which it is
# then looked at, seconds.
REMEMBER_S = 90.0
# How long a key of a non-idempotent request is remembered after its deadline,
# so that a send that a network partition delayed can't run it again, seconds.
LATE_SEND_S = 30.0
# Most keys; beyond them the oldest that are not in progress are dropped.
MAX_RUNS = 20_000
MS = 1000


class Outcome:
    """What a run came to.

    A failure that was raised would refer to the frames of the run, and keep
    the request and what its upstream sent for as long as it is kept itself.

    :param answer: the answer; None after a failure, and once a long one was
        claimed, which is streamed once only.
    :param failure: the failure, which was not raised; None if there is none.
    """

    __slots__ = ('answer', 'failure')

    def __init__(
        self,
        answer: answers.Answer | None,
        failure: answers.Failed | slots.Refused | None = None,
    ) -> None:
        self.answer = answer
        self.failure = failure


class Run:
    """State of one request.

    :param send_number: the highest number among its sends so far.
    :param check_at: when to look whether it can be forgotten, monotonic time.
    """

    __slots__ = (
        'waiters',
        'send_number',
        'ran',
        'remember_until',
        'sent',
        'check_at',
        'task',
    )

    def __init__(self, send_number: int, check_at: float) -> None:
        self.send_number = send_number
        self.check_at = check_at
        # Monotonic time up to which a further send may arrive.
        self.remember_until = check_at
        # None if it was refused, or if its answer was dropped.
        self.task: asyncio.Task | None = None
        # Whether it may have run before, whatever a further send results in.
        self.ran = False
        # Whether the upstream may have received it, run or not.
        self.sent = False
        self.waiters = 0

    @property
    def in_progress(self) -> bool:
        """Return whether it runs, or somebody waits for its answer."""
        running = self.task is not None and not self.task.done()
        return running or self.waiters > 0


class Runs:
    """Tracks the requests that were sent to this process.

    :param is_own_process: tells whether an id is that of this process.
    :param recorder: records events.
    """

    def __init__(
        self,
        is_own_process: typing.Callable[[str], bool],
        recorder: decisions.Recorder,
    ) -> None:
        self.is_own_process = is_own_process
        self.recorder = recorder
        self.runs: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )
        self.joined = 0
        # Number of runs whose last connection broke within ORPHAN_TIMEOUT_S.
        self.orphans = 0

    async def run_once(
        self,
        hop: hops.Hop,
        work: typing.Callable[[], typing.Coroutine],
        broken: typing.Callable[[], bool],
    ) -> answers.Answer:
        """Run a request unless it has run; return its answer.

        :param work: runs the request.
        :param broken: tells, once the last waiter is cancelled, whether its
            connection broke rather than being closed.
        :raises slots.Refused: when it was not run and will not be.
        :raises answers.Failed: when it may have run.
        """
        run = self._find(hop)
        if run.task is None:
            run.task = asyncio.ensure_future(_settled(work()))
            run.task.add_done_callback(
                lambda task: self._ended(hop, run, task)
            )
        else:
            self.joined += 1
        run.waiters += 1
        try:
            return claim(await asyncio.shield(run.task))
        except slots.Refused as refused:
            if run.ran and refused.reason not in hops.MAY_HAVE_RUN:
                raise slots.Refused(hops.RESTARTED, 'it ran before') from None
            raise
        finally:
            run.waiters -= 1
            if not run.waiters:
                self._last_waiter_left(hop, run, broken())

    def was_sent(self, hop: hops.Hop) -> bool:
        """Return whether the upstream may have received a request before."""
        run = self.runs.get(hop.key)
        return run is not None and run.sent

    def may_have_run(self, hop: hops.Hop) -> bool:
        """Return whether an earlier send of a request may have arrived."""
        return hop.resumed or hop.key in self.runs

    def _find(self, hop: hops.Hop) -> Run:
        now = clock.now()
        self._evict_old(now)
        run = self.runs.get(hop.key)
        if run is None:
            if hop.resumed and not self.is_own_process(hop.process):
                raise slots.Refused(hops.RESTARTED)
            run = self.runs[hop.key] = Run(hop.send_number, now + REMEMBER_S)
            _extend(run, hop, now)
            return run
        _extend(run, hop, now)
        if run.task is not None and run.task.cancelled():
            # Joining it would cancel the new waiter as well.
            raise slots.Refused(hops.RESTARTED, 'it was cancelled')
        refused = run.task is None or (
            run.task.done() and _refusal(run.task) is not None
        )
        if refused:
            if hop.send_number <= run.send_number:
                # An answer already promised that this send did not run.
                raise slots.Refused(hops.STALE)
            run.task = None
        run.send_number = max(run.send_number, hop.send_number)
        return run

    def _ended(self, hop: hops.Hop, run: Run, task: asyncio.Future) -> None:
        """Schedule the end of the answer's retention."""
        refusal = _refusal(task)
        run.ran = run.ran or refusal is None
        shed = refusal is not None and refusal.reason in hops.SENT_TO_UPSTREAM
        run.sent = run.sent or run.ran or shed
        loop = asyncio.get_running_loop()
        # Waiters of an idempotent request get its answer; a later send may
        # run it again.
        keep_s = KEEP_IDEMPOTENT_S if hop.idempotent else KEEP_S
        loop.call_later(keep_s, self._drop_answer, hop, run, task)

    def _drop_answer(
        self, hop: hops.Hop, run: Run, task: asyncio.Future
    ) -> None:
        """Drop an answer, but remember that the request ran.

        A request that was refused may be on its second run by now.  That run
        must be kept: otherwise nobody could cancel it, and it would continue
        after its caller has left.
        """
        if run.task is not task:
            return
        if hop.idempotent or _refusal(task) is not None:
            run.task = None
            return
        run.task = asyncio.get_running_loop().create_future()
        run.task.set_result(Outcome(None, slots.Refused(hops.RESTARTED)))

    def _last_waiter_left(self, hop: hops.Hop, run: Run, broken: bool) -> None:
        """Cancel a run without waiters, unless it may be resumed."""
        if run.task is None:
            return
        if not broken:
            self._cancel(hop, run, 'closed')
            return
        self.orphans += 1
        loop = asyncio.get_running_loop()
        loop.call_later(ORPHAN_TIMEOUT_S, self._cancel_orphan, hop, run)

    def _cancel_orphan(self, hop: hops.Hop, run: Run) -> None:
        self.orphans -= 1
        if not run.waiters and run.task is not None:
            self._cancel(hop, run, 'lost')

    def _cancel(self, hop: hops.Hop, run: Run, why: str) -> None:
        if not run.task.done():
            event = decisions.Abandoned(hop.id, hop.upstream, hop.host, why)
            self.recorder.tell(event, decisions.TROUBLE)
        _cancel(run.task)

    def _evict_old(self, now: float) -> None:
        """Forget the oldest keys, unless a further send may still arrive."""
        runs = self.runs
        for _run in range(len(runs)):
            key, first = next(iter(runs.items()))
            full = len(runs) >= MAX_RUNS
            if now < first.check_at and not full:
                return
            needed = now < first.remember_until and not full
            if first.in_progress or needed:
                first.check_at = now + REMEMBER_S
                runs.move_to_end(key)
            else:
                del runs[key]
            if full and len(runs) < MAX_RUNS:
                return


def _extend(run: Run, hop: hops.Hop, now: float) -> None:
    """Remember a non-idempotent request beyond the deadline of a send."""
    if not hop.idempotent:
        until = now + hop.remaining_ms / MS + LATE_SEND_S
        run.remember_until = max(run.remember_until, until)


def _refusal(task: asyncio.Future) -> slots.Refused | None:
    """Return the refusal of a task if that promises that nothing ran."""
    if task.cancelled() or task.exception() is not None:
        return None
    failure = task.result().failure
    if (
        isinstance(failure, slots.Refused)
        and failure.reason not in hops.MAY_HAVE_RUN
    ):
        return failure
    return None


async def _settled(
    work: typing.Coroutine[typing.Any, typing.Any, answers.Answer],
) -> Outcome:
    """Return what a run comes to."""
    try:
        return Outcome(await work)
    except (answers.Failed, slots.Refused) as failure:
        return Outcome(None, failure.detached())


def claim(outcome: Outcome) -> answers.Answer:
    """Claim the answer of a run for one waiter.

    A long answer can be streamed once only; further waiters fail.

    :raises slots.Refused: when it was not run.
    :raises answers.Failed: when there is no answer.
    """
    if outcome.failure is not None:
        raise outcome.failure.detached()
    answer = outcome.answer
    if answer is None:
        raise answers.Failed(
            interfaces.BROKEN,
            codes.ANSWER_LOST,
            True,
            hops.ALREADY_STREAMED,
        )
    if answer.rest is not None:
        outcome.answer = None
    return answer


def _cancel(task: asyncio.Future) -> None:
    """Cancel a run, or abort its long answer if nobody claimed it."""
    if not task.done():
        task.cancel()
        return
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    answer = outcome.answer
    if answer is not None and answer.rest is not None:
        outcome.answer = None
        answer.rest.abort()
        answer.rest.release_slot()
