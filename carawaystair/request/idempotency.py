"""Requests with an idempotency key, which run at most once for each key.

The key is reserved before the first byte is sent.  It is released only when
the request provably was not run.  When the outcome is unknown, the key stays
reserved, and repeats of the request are refused with a code that says so.
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

    :param reservations: reserves the keys and stores the answers.
    :param run: sends a request to an upstream; acquires its own permit.
    :param spawn: runs a coroutine to its end even if the caller leaves.
    :param abort: aborts an attempt whose long answer is not read.
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
        """Return the answer to a keyed request, from this or an earlier run.

        :raises answers.Failed: when there is no answer.
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
        # If the caller leaves, this task is cancelled.  A request that has
        # been sent runs nevertheless, and its outcome must be stored for a
        # repeat.
        task = self.spawn(self._run_granted(call, reserved.token))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._discard_answer)
            raise

    def _discard_answer(self, task: asyncio.Task) -> None:
        """Abort the long answer of a run whose caller has left."""
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
        # The caller does not wait until the replicas have stored the answer.
        self.spawn(
            self.reservations.settle(
                token, stored_answer.encode(answer), answer.status
            )
        )
        return answer


def decode_reserved(reserved: interfaces.Reserved) -> answers.Answer:
    """Return the stored answer of an earlier run.

    :raises answers.Failed: when the answer was not stored, or the earlier
        run has not ended.
    """
    if reserved.status:
        raise answers.Failed(interfaces.CANCELLED, codes.KEY_ANSWER_GONE, True)
    if reserved.answer is None:
        raise answers.Failed(interfaces.CANCELLED, codes.KEY_RUNNING, True)
    answer = stored_answer.decode(reserved.answer)
    if isinstance(answer, codes.Code):
        raise answers.Failed(interfaces.CANCELLED, answer, True)
    return answer
