"""A second run of a request whose first one takes too long.

The load that this answers: some upstreams hang, or run a request and lose its
answer, and a request that may be repeated stays with one until its caller
leaves.  What usually ends after half a second and has not after twice as long
is therefore asked of another upstream as well, if one has a free slot and the
bound of repeats has room; the first good answer counts, the other run is
cancelled.
"""

import asyncio
import math
import typing

from carawaystair.request import answer as answers

Sending = typing.Coroutine[typing.Any, typing.Any, answers.Answer | None]


async def hedged(
    first: Sending,
    after_s: float,
    hurry: asyncio.Future,
    second: typing.Callable[[], Sending],
) -> answers.Answer | None:
    """Return the answer of a request, by its first or a second run.

    :param first: the first run; its result is None when it failed.
    :param after_s: when a second one begins, seconds; infinite for never.
    :param hurry: lets it begin before that, once done.
    :param second: begins it; None when nobody took it.
    """
    tasks = {asyncio.ensure_future(first)}
    try:
        await asyncio.wait(
            {*tasks, hurry},
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
