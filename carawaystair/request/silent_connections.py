"""Tells a silent connection from a silent upstream.

What stands between two ends may lose track of an open connection: what is
sent on it is then lost for good, while new connections work.  It looks like
an upstream that hangs.  To tell them apart, a connection that has been
silent for too long is suspected: until that is settled, its upstream gets
requests on new connections only.  An answer on a new one, while the old one
is still silent, clears the upstream, and all its older connections are given
up at once.

The benefit of the doubt is given once in a while only: an upstream that
hangs on some requests would otherwise be cleared by those it answers.
"""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import attempt as attempts
from carawaystair.request import connections
from carawaystair.request import target as targets

# A connection is suspected after so many times the delay of a hedge.
HEDGE_DELAY_FACTOR = 3.0
MIN_SILENCE_S = 0.02
# A doubt is looked for so long after it may come up.
CHECK_DELAY_S = 0.001
# Connections opened within this time after others were found lost are not
# suspected again.
TRUST_PERIOD_S = 30.0


def late_code(sent: bool) -> codes.Code:
    """Return what a caller is told when its deadline has passed."""
    return codes.ANSWER_LATE if sent else codes.DEADLINE_EXPIRED


# Doubt


def start_suspicion_timer(attempt: attempts.Attempt, waited_s: float) -> None:
    """Note that an answer is late; doubt its connection if it stays silent.

    :param waited_s: how long it has taken so far.
    """
    attempt.target.late_attempts.append(attempt)
    attempt.suspicion_timer = asyncio.get_running_loop().call_at(
        attempt.started + max(waited_s * HEDGE_DELAY_FACTOR, MIN_SILENCE_S),
        _suspect,
        attempt,
    )


def _suspect(attempt: attempts.Attempt) -> None:
    target = attempt.target
    trusted = clock.now() - target.lost_before <= TRUST_PERIOD_S
    suspicious = attempt.silent and attempt.reused and not trusted
    if suspicious and target.suspected is None:
        target.suspected = attempt


def clear_suspicion(attempt: attempts.Attempt) -> None:
    """End the doubt that an attempt raised, if it did."""
    if attempt.target.suspected is attempt:
        attempt.target.suspected = None


def resolve_suspicion(attempt: attempts.Attempt) -> None:
    """Let an answer settle a doubt about its upstream's connections."""
    target = attempt.target
    suspected = target.suspected
    if suspected is None:
        return
    if suspected is attempt or not suspected.silent:
        target.suspected = None
    elif not attempt.reused:
        target.suspected = None
        _discard_older(target, attempt.connection.opened_at)


def _discard_older(target: targets.Target, opened: float) -> None:
    """Give up the connections of an upstream that are older than this."""
    target.lost_before = opened
    target.cost = 0.0
    connections.close_idle(target)
    for late in target.late_attempts:
        if late.silent and late.connection.opened_at < opened:
            # Whoever waits there learns of it now, not at the deadline.
            late.connection.proto.abort()


# Attempts that nobody waits for


async def linger(
    sender: typing.Any, task: asyncio.Task, attempt: attempts.Attempt
) -> None:
    """Watch an attempt that nobody waits for until it ends."""
    target = attempt.target
    target.lingering += 1
    try:
        await _wait_and_probe(sender, task, attempt)
    finally:
        target.lingering -= 1
        if task.done() and not task.cancelled():
            _record_result(sender, task, attempt)
        else:
            task.cancel()
            sender.cancel(attempt, sender.timeout_outcome(attempt))


async def _wait_and_probe(
    sender: typing.Any, task: asyncio.Task, attempt: attempts.Attempt
) -> None:
    deadline = attempt.call.deadline
    if attempt.suspicion_timer is not None:
        left_s = min(attempt.suspicion_timer.when(), deadline) - clock.now()
        await asyncio.wait((task,), timeout=max(left_s, 0.0) + CHECK_DELAY_S)
    if attempt.target.suspected is attempt:
        await probe_new_connection(sender, attempt)
    left_s = max(deadline - clock.now(), 0.0)
    await asyncio.wait((task,), timeout=left_s)


def _record_result(
    sender: typing.Any, task: asyncio.Task, attempt: attempts.Attempt
) -> None:
    """Take note of a lingering attempt that ended by itself."""
    error = task.exception()
    if isinstance(error, answers.Failed):
        sender.fail(attempt, error)
        return
    if isinstance(error, TimeoutError):
        sender.cancel(attempt, sender.timeout_outcome(attempt))
        return
    if error is not None:
        sender.abort(attempt)
        raise error
    answer = task.result()
    sender.complete(attempt, answer)
    if answer.rest is not None:
        sender.abort(attempt)


async def probe_new_connection(
    sender: typing.Any, attempt: attempts.Attempt
) -> None:
    """Send a silent request again, on a new connection to its upstream.

    Whatever is answered there settles the doubt, see :func:`answered`.
    """
    if not sender.budget(attempt.call.service).spend():
        return
    second = sender.start(attempt.call, attempt.target, fresh=True)
    try:
        await sender.dispatch(second)
        answer = await second.answer(attempt.call.deadline)
    except TimeoutError:
        sender.cancel(second, interfaces.TIMEOUT)
    except answers.Failed as failed:
        sender.fail(second, failed)
    except BaseException:
        sender.cancel(second, interfaces.CANCELLED)
        raise
    else:
        sender.complete(second, answer)
        if answer.rest is not None:
            sender.abort(second)
