"""Forwards requests to gateways that their senders can't reach directly."""

from carawaystair import clock
from carawaystair import codes
from carawaystair.gateway import answer_memory
from carawaystair.gateway import back_pressure
from carawaystair.gateway import hops
from carawaystair.gateway import pacer as pacers
from carawaystair.gateway import send_attempts
from carawaystair.gateway import spool as spools
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
# Bodies on detours are buffered whole; longer ones are not sent this way.
MAX_BODY_BYTES = bodies.MAX_BUFFERED_BYTES
# Report of a node that knows nothing of the upstream.
NO_REPORT = upstream_selection.LoadReport('', False, 0, 0, 0, 0, 0, 0)

LOG = logs.get('gateway')


async def forward(
    hop: hops.Hop,
    request: http_server.Request,
    pacer: pacers.Pacer,
    memory: answer_memory.AnswerMemory,
) -> bool:
    """Forward a request to its gateway and the answer to its sender.

    Interim answers are only forwarded, never generated here: they must show
    that the gateway is alive, not that this node is.

    :param pacer: paces sending over the link of this host.
    :param memory: holds answers for slow readers.
    :return: whether the connection can carry another request.
    """
    now = clock.now()
    deadline = now + hop.remaining_ms / MS
    try:
        body = await bodies.read(
            request.content, MAX_BODY_BYTES, MAX_BODY_BYTES, deadline
        )
    except validation.Refused:
        return False
    onward = hop._replace(detour='')
    call = hops.to_call(hop, request, body.data, deadline)
    upstream = interfaces.Upstream(
        hop.upstream, hop.service, hop.detour, '', '', 0
    )
    target = targets.Target(upstream, now)
    attempt = send_attempts.GatewayAttempt(call, target, onward, True)
    try:
        await attempt.connect()
        attempt.send()
        while not await attempt.wait_sign(deadline):
            hops.write(request, hops.INTERIM)
        answer = await attempt.answer(deadline)
    except (
        answers.Failed,
        TimeoutError,
        *send_attempts.CONNECTION_ERRORS,
    ) as error:
        attempt.reset()
        hops.write(request, _failure(attempt, error))
        return request.keep_alive
    except BaseException:
        _end_attempt(attempt, request)
        raise
    throttle = pacer.throttle(hop.host)
    try:
        return await _forward_answer(
            hop, request, attempt, answer, throttle, memory
        )
    finally:
        throttle.close()


def _end_attempt(
    attempt: send_attempts.GatewayAttempt, request: http_server.Request
) -> None:
    """End the onward connection in the way in which the inbound one ended.

    A gateway takes an orderly close for a caller that has left, and cancels
    the run.  If the inbound connection broke, or this process ended it, the
    sender asks for that run again, and would have to report an unknown outcome
    if it was cancelled.
    """
    connection = request.connection
    if connection.closed_by_caller and not connection.broken:
        attempt.abandon()
    else:
        attempt.reset()


def _failure(attempt: send_attempts.GatewayAttempt, error: Exception) -> bytes:
    if attempt.sent:
        return hops.failure(codes.ANSWER_LOST.label, repr(error), NO_REPORT)
    return hops.refusal(hops.UNREACHABLE, repr(error), NO_REPORT)


async def _forward_answer(
    hop: hops.Hop,
    request: http_server.Request,
    attempt: send_attempts.GatewayAttempt,
    answer: answers.Answer,
    throttle: pacers.Throttle,
    memory: answer_memory.AnswerMemory,
) -> bool:
    from_gateway = hops.header_value(
        answer, hops.REFUSAL
    ) or hops.header_value(answer, hops.FAILURE)
    if from_gateway:
        attempt.abort()
        hops.write(request, hops.forwarded(answer))
        return request.keep_alive
    exchange = exchanges.Exchange(request, hop.id)
    extra_headers = hops.node_header_lines(answer.headers)
    if answer.rest is None:
        attempt.abort()
        await streaming.write_whole(answer, exchange, extra_headers, throttle)
        return exchange.keep_alive
    attempt.start_heartbeats()
    watch = back_pressure.PeerWatch(request.connection)
    extra_headers += back_pressure.OFFER
    source = spools.Direct(attempt)
    try:
        async with memory.hold(hop.customer or hop.host, exchange) as held:
            why = await streaming.stream(
                source, answer, exchange, held, extra_headers, throttle
            )
    finally:
        watch.end()
        source.close()
    if why:
        LOG.warning('Answer interrupted on a detour.', id=hop.id, why=why)
    return exchange.keep_alive and not why
