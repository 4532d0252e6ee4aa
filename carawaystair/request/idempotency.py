"""Requests with an idempotency key: at most one run for each key.

The key is reserved before the first byte goes out.  It is given back only
when the request provably was not run; when its end is not known, it stays
reserved, and whoever repeats it is told so.
"""

import asyncio
import typing

from carawaystair import codes
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import call as calls
from carawaystair.request import stored_answer
from carawaystair.request import validation

Run = typing.Callable[[calls.Call], typing.Awaitable[answers.Answer]]


class KeyedRequests:
    """Runs keyed requests.

    :param reservations: holds the keys.
    :param run: sends a request, with a slot of its own.
    :param spawn: runs something to its end even when the caller goes away.
    :param abort: ends an attempt whose long answer nobody takes.
    """

    def __init__(
        self,
        reservations: interfaces.Reservations,
        run: Run,
        spawn: typing.Callable[[typing.Coroutine], asyncio.Task],
        abort: typing.Callable[[typing.Any], None],
    ) -> None:
        self.reservations = reservations
        self.run = run
        self.spawn = spawn
        self.abort = abort

    async def answer(self, call: calls.Call) -> answers.Answer:
        """Return the answer to a keyed request, be it this run's or not.

        :raises answers.Failed: when there is none.
        :raises validation.Refused: when it was not run.
        """
        result = await self.reservations.reserve(
            call.service,
            call.customer,
            call.key,
            stored_answer.request_digest(call),
            call.deadline,
        )
        if result.is_error():
            failure = result.error
            raise validation.Refused(failure.code, failure.detail)
        reserved = result.ok
        if not reserved.granted:
            return decode_reserved(reserved)
        # The caller may go away, and with it this task; what has been sent
        # runs all the same, and its outcome must be stored for the repeat.
        task = self.spawn(self._run_granted(call, reserved.token))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._discard_answer)
            raise

    def _discard_answer(self, task: asyncio.Task) -> None:
        """End the long answer of a run whose caller has gone."""
        if task.cancelled() or task.exception() is not None:
            return
        if task.result().rest is not None:
            self.abort(task.result().rest)

    async def _run_granted(
        self, call: calls.Call, token: str
    ) -> answers.Answer:
        try:
            answer = await self.run(call)
        except validation.Refused:
            await self.reservations.release(token)
            raise
        except answers.Failed as failed:
            if not failed.sent:
                await self.reservations.release(token)
            raise
        # The caller need not wait until the replicas have it.
        self.spawn(
            self.reservations.settle(
                token, stored_answer.encode(answer), answer.status
            )
        )
        return answer


def decode_reserved(reserved: interfaces.Reserved) -> answers.Answer:
    """Return the stored answer of an earlier run.

    :raises answers.Failed: when there is none, or none yet.
    """
    if reserved.status:
        raise answers.Failed(interfaces.CANCELLED, codes.KEY_ANSWER_GONE, True)
    if reserved.answer is None:
        raise answers.Failed(interfaces.CANCELLED, codes.KEY_RUNNING, True)
    answer = stored_answer.decode(reserved.answer)
    if isinstance(answer, codes.Code):
        raise answers.Failed(interfaces.CANCELLED, answer, True)
    return answer
