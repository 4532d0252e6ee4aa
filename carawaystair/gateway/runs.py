"""At most one run for each request that may not run twice.

The gateway is the only way to its upstream, so it alone decides.  A
connection between two nodes may be lost while a request is on its way, while
it runs, or while its answer returns.  The node that handed it over then asks
again, under the same key, on a new connection: a request that never arrived is
run, one that runs is waited for, and a ready answer is delivered.

Symptom without it: a connection that is lost for a moment costs the answer of
a request that may not be repeated, though it was run and paid for.
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

# A run that nobody waits for is cancelled after so long, when its connection
# broke: whoever handed it over notices within this time and asks again.
ORPHAN_S = 2.5
KEEP_SHORT_S = 1.0
# A ready answer is kept for so long, seconds.
KEEP_S = 20.0
# An id is remembered for so long: requests have shorter deadlines, and a
# send that was held up by a cut must not run behind them.
REMEMBER_S = 90.0
MOST = 20_000


class Run:
    """One request that may not run twice.

    :param number: the highest number of its sends that was seen.
    """

    __slots__ = ('holders', 'number', 'ran', 'seen', 'task')

    def __init__(self, number: int, seen: float) -> None:
        self.number = number
        self.seen = seen
        # None when it was refused, and when its answer is forgotten.
        self.task: asyncio.Task | None = None
        # Whether it may have run, whatever becomes of it when it is asked for
        # again.
        self.ran = False
        self.holders = 0


class Runs:
    """The requests that this process was handed.

    :param mine: tells whether a name is one of this process.
    :param recorder: takes note of decisions.
    """

    def __init__(
        self,
        mine: typing.Callable[[str], bool],
        recorder: decisions.Recorder,
    ) -> None:
        self.mine = mine
        self.recorder = recorder
        self.runs: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )
        self.joined = 0
        # Runs whose last connection broke, until they would be cancelled.
        self.orphans = 0

    async def once(
        self,
        hop: hops.Hop,
        work: typing.Callable[[], typing.Coroutine],
        broken: typing.Callable[[], bool],
    ) -> answers.Answer:
        """Run a request unless it was run; return its answer.

        :param work: runs it; called at most once in a run's life.
        :param broken: tells, once the waiter is cancelled, whether its
            connection broke rather than being closed.
        :raises slots.Refused: when it was not run and will not be.
        :raises answers.Failed: when it may have run.
        """
        run = self._find(hop)
        if run.task is None:
            run.task = asyncio.ensure_future(work())
            run.task.add_done_callback(
                lambda task: self._ended(hop, run, task)
            )
        else:
            self.joined += 1
        run.holders += 1
        try:
            return claimed(await asyncio.shield(run.task))
        except slots.Refused as refused:
            if run.ran and refused.reason not in hops.UNSURE:
                raise slots.Refused(hops.RESTARTED, 'it ran before') from None
            raise
        finally:
            run.holders -= 1
            if not run.holders:
                self._leave(hop, run, broken())

    def _find(self, hop: hops.Hop) -> Run:
        now = clock.now()
        self._forget(now)
        run = self.runs.get(hop.key)
        if run is None:
            if hop.again and not self.mine(hop.process):
                raise slots.Refused(hops.RESTARTED)
            run = self.runs[hop.key] = Run(hop.number, now)
            return run
        if run.task is not None and run.task.cancelled():
            # Its cancellation would pass for that of whoever asks now.
            raise slots.Refused(hops.RESTARTED, 'it was cancelled')
        refused = run.task is None or (
            run.task.done() and _refusal(run.task) is not None
        )
        if refused:
            if hop.number <= run.number:
                # Its sender was told that it did not run.
                raise slots.Refused(hops.STALE)
            run.task = None
        run.number = max(run.number, hop.number)
        return run

    def _ended(self, hop: hops.Hop, run: Run, task: asyncio.Future) -> None:
        """Keep the answer for a while, or only that there was one."""
        run.ran = run.ran or _refusal(task) is None
        loop = asyncio.get_running_loop()
        # Those who wait have an idempotent request's answer; later ones may
        # run it again.
        keep_s = KEEP_SHORT_S if hop.idempotent else KEEP_S
        loop.call_later(keep_s, self._drop_answer, hop, run, task)

    def _drop_answer(
        self, hop: hops.Hop, run: Run, task: asyncio.Future
    ) -> None:
        """Forget an answer, but not that the request was run.

        One that was refused may be on its second run by now.  That one is
        not to be forgotten: nobody could cancel it any more, and it would
        run for a caller who has left long ago.
        """
        if run.task is not task:
            return
        if hop.idempotent or _refusal(task) is not None:
            run.task = None
            return
        run.task = asyncio.get_running_loop().create_future()
        run.task.set_exception(slots.Refused(hops.RESTARTED))
        # Nobody may ever look at it.
        run.task.exception()

    def _leave(self, hop: hops.Hop, run: Run, broken: bool) -> None:
        """Cancel what nobody waits for, unless it may be asked for again."""
        if run.task is None:
            return
        if not broken:
            self._cancel(hop, run, 'closed')
            return
        self.orphans += 1
        loop = asyncio.get_running_loop()
        loop.call_later(ORPHAN_S, self._cancel_orphan, hop, run)

    def _cancel_orphan(self, hop: hops.Hop, run: Run) -> None:
        self.orphans -= 1
        if not run.holders and run.task is not None:
            self._cancel(hop, run, 'lost')

    def _cancel(self, hop: hops.Hop, run: Run, why: str) -> None:
        if not run.task.done():
            event = decisions.Abandoned(hop.id, hop.upstream, hop.host, why)
            self.recorder.tell(event, decisions.TROUBLE)
        _cancel(run.task)

    def _forget(self, now: float) -> None:
        runs = self.runs
        while runs:
            first = next(iter(runs.values()))
            if len(runs) < MOST and now - first.seen < REMEMBER_S:
                return
            runs.popitem(last=False)


def _refusal(task: asyncio.Future) -> slots.Refused | None:
    """Return the promise of a run that it was not run, if it made one."""
    if task.cancelled():
        return None
    error = task.exception()
    if isinstance(error, slots.Refused) and error.reason not in hops.UNSURE:
        return error
    return None


def claimed(answer: answers.Answer) -> answers.Answer:
    """Return an answer that nobody else passes on.

    A long answer comes once; whoever asks for it again is too late.
    """
    if answer.rest is not None:
        if answer.rest.claimed:
            raise answers.Failed(
                interfaces.BROKEN, codes.ANSWER_LOST, True, hops.PASSED_ON
            )
        answer.rest.claimed = True
    return answer


def _cancel(task: asyncio.Future) -> None:
    """Cancel a run, or drop its long answer when nobody took it."""
    if not task.done():
        task.cancel()
        return
    if task.cancelled() or task.exception() is not None:
        return
    rest = task.result().rest
    if rest is not None and not rest.claimed:
        rest.claimed = True
        rest.abort()
        rest.release()
