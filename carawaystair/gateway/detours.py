"""Passes a request on to the gateway that another node can't reach."""

from carawaystair import clock
from carawaystair import codes
from carawaystair.gateway import hops
from carawaystair.gateway import pacer as pacers
from carawaystair.gateway import send_attempts
from carawaystair.gateway import streaming
from carawaystair import interfaces
from carawaystair.load import upstream_selection
from carawaystair import logs
from carawaystair.request import answer as answers
from carawaystair.request import body as bodies
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server
from carawaystair.request import target as targets
from carawaystair.request import validation

MS = 1000
# Bodies of detours are held whole; longer ones are not sent this way.
MOST_BODY = bodies.MAX_BUFFERED_BYTES
# What a node says that knows nothing of an upstream.
NOTHING = upstream_selection.LoadReport('', False, 0, 0, 0, 0, 0, 0)

LOG = logs.get('gateway')


async def pass_on(
    hop: hops.Hop, request: http_server.Request, pacer: pacers.Pacer
) -> bool:
    """Hand a request to its gateway and its answer back.

    Signs of life are passed on and none are made here: the sender wants to
    know of that gateway, not of this node.

    :param pacer: shares the link of this host.
    :return: whether another request may follow on the connection.
    """
    now = clock.now()
    deadline = now + hop.left_ms / MS
    try:
        body = await bodies.read(
            request.content, MOST_BODY, MOST_BODY, deadline
        )
    except validation.Refused:
        return False
    onward = hop._replace(detour='')
    call = hops.call(hop, request, body.data, deadline)
    upstream = interfaces.Upstream(
        hop.upstream, hop.service, hop.detour, '', '', 0
    )
    target = targets.Target(upstream, now)
    attempt = send_attempts.GatewayAttempt(call, target, onward, True)
    try:
        await attempt.connect()
        attempt.send()
        while not await attempt.sign(deadline):
            hops.write(request, hops.INTERIM)
        answer = await attempt.answer(deadline)
    except (answers.Failed, TimeoutError, *send_attempts.BROKEN) as error:
        attempt.take_back()
        hops.write(request, _no_answer(attempt, error))
        return request.keep_alive
    except BaseException:
        _let_go(attempt, request)
        raise
    way = pacer.way(hop.host)
    try:
        return await _answer(hop, request, attempt, answer, way)
    finally:
        way.end()


def _let_go(
    attempt: send_attempts.GatewayAttempt, request: http_server.Request
) -> None:
    """End the way on as the way here has ended.

    A closed connection tells the gateway that nobody waits any more.  Closed
    although the one here broke, it would cancel a run that the sender asks
    for again, and a caller would be told that its outcome is unknown.
    """
    if request.connection.broken:
        attempt.take_back()
    else:
        attempt.leave()


def _no_answer(
    attempt: send_attempts.GatewayAttempt, error: Exception
) -> bytes:
    if attempt.sent:
        return hops.failure(codes.ANSWER_LOST.label, repr(error), NOTHING)
    return hops.refusal(hops.UNREACHABLE, repr(error), NOTHING)


async def _answer(
    hop: hops.Hop,
    request: http_server.Request,
    attempt: send_attempts.GatewayAttempt,
    answer: answers.Answer,
    way: pacers.Throttle,
) -> bool:
    told = hops.says(answer, hops.REFUSAL) or hops.says(answer, hops.FAILURE)
    if told:
        attempt.abort()
        hops.write(request, hops.passed_on(answer))
        return request.keep_alive
    exchange = exchanges.Exchange(request, hop.id)
    extra = hops.lines(answer.headers)
    if answer.rest is None:
        attempt.abort()
        await streaming.whole(answer, exchange, extra, way)
        return exchange.keep_alive
    why = await streaming.pass_on(attempt, answer, exchange, extra, way)
    if why:
        LOG.warning('An answer broke off on a detour.', id=hop.id, why=why)
    return exchange.keep_alive and not why
