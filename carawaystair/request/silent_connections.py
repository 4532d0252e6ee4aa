"""Distinguishes lost connections from upstreams that hang.

A middlebox may drop the state of an open connection.  Everything sent on it
is then lost, while new connections work, which looks like an upstream that
hangs.  To distinguish them, a connection that has been silent for too long
becomes suspect, and until that is resolved, requests to its upstream use new
connections only.  If a new connection is answered while the old one is still
silent, the upstream is not to blame, and all its older connections are closed
at once.

Connections become suspect only once in a while: an upstream that hangs on
some requests would otherwise be cleared by those that it answers.
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

# A connection becomes suspect after this multiple of the hedge delay, and
# after MIN_SILENCE_S at the earliest.
HEDGE_DELAY_FACTOR = 3.0
MIN_SILENCE_S = 0.02
# Waits for a suspicion timer end this long after the timer is due.
CHECK_DELAY_S = 0.001
# For this time after connections were found lost, no other connection to the
# upstream becomes suspect.
TRUST_PERIOD_S = 30.0


def late_code(sent: bool) -> codes.Code:
    """Return the result code for a request whose deadline has passed."""
    return codes.ANSWER_LATE if sent else codes.DEADLINE_EXPIRED


# Suspicion


def start_suspicion_timer(attempt: attempts.Attempt, waited_s: float) -> None:
    """Register a late answer; suspect its connection if it stays silent.

    :param waited_s: time since the start of the attempt, seconds.
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
    """Remove the suspicion that an attempt caused, if any."""
    if attempt.target.suspected is attempt:
        attempt.target.suspected = None


def resolve_suspicion(attempt: attempts.Attempt) -> None:
    """Resolve a suspicion after the upstream answered an attempt."""
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
    """Close the connections of an upstream that were opened earlier.

    :param opened: monotonic time.
    """
    target.lost_before = opened
    target.cost = 0.0
    connections.close_idle(target)
    for late in target.late_attempts:
        if late.silent and late.connection.opened_at < opened:
            # Requests on them fail now and not at their deadlines.
            late.connection.proto.abort()


# Attempts that no request waits for


async def linger(
    sender: typing.Any, task: asyncio.Task, attempt: attempts.Attempt
) -> None:
    """Wait until an attempt that no request waits for has ended."""
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
    """Record the end of a lingering attempt that was not cancelled."""
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
    """Send an unanswered request again, on a new connection.

    An answer there resolves the suspicion, see :func:`resolve_suspicion`.
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
