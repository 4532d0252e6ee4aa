"""Hedging: a second run of a request whose first run takes too long.

Some upstreams hang, or run a request and lose its answer; an idempotent
request would stay there until its caller gives up.  After a multiple of its
route's typical service time it is therefore sent to a second upstream as
well, if one has a free slot and the retry budget allows it.  The first good
answer is used and the other run cancelled.
"""

import asyncio
import math
import typing

from carawaystair.request import answer as answers

Sending = typing.Coroutine[typing.Any, typing.Any, answers.Answer | None]


async def hedged(
    first: Sending,
    after_s: float,
    hedge_early: asyncio.Future,
    second: typing.Callable[[], Sending],
) -> answers.Answer | None:
    """Return the answer of the first run that succeeds.

    :param first: the first run; its result is None when it failed.
    :param after_s: delay of the second run, seconds; infinite for none.
    :param hedge_early: starts the second run early once it is done.
    :param second: starts the second run; its result is None when no upstream
        took the request.
    """
    tasks = {asyncio.ensure_future(first)}
    done = waiting = set()
    try:
        await asyncio.wait(
            {*tasks, hedge_early},
            timeout=None if math.isinf(after_s) else after_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = {task for task in tasks if task.done()}
        waiting = tasks - done
        if not done:
            tasks.add(asyncio.ensure_future(second()))
            waiting = tasks
        while True:
            found = [task.result() for task in done]
            good = [answer for answer in found if answer is not None]
            if good or not waiting:
                return good[0] if good else None
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
    finally:
        for task in tasks:
            task.cancel()
        # Breaks the reference cycle of a failed task with this frame.
        tasks, done, waiting = set(), set(), set()
