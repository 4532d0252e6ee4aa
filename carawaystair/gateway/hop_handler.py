"""Handles requests that other nodes send to the gateway of this host.

The gateway is the only way to the upstreams of its host.  It gives requests a
slot of their upstream or refuses them, and sees every outcome.  So it knows
the running and waiting requests, limits load to what the upstream can do,
stops new work as soon as the upstream announces that it leaves, and can
promise that a refused request has not run.
"""

import asyncio
import functools
import math

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import answer_memory
from carawaystair.gateway import back_pressure
from carawaystair.gateway import detours
from carawaystair.gateway import executor as executors
from carawaystair.gateway import hops
from carawaystair.gateway import pacer as pacers
from carawaystair.gateway import request_metrics
from carawaystair.gateway import runs as runs_module
from carawaystair.gateway import send_attempts
from carawaystair.gateway import slots as slots_module
from carawaystair.gateway import spool as spools
from carawaystair.gateway import streaming
from carawaystair.gateway import transit
from carawaystair.load import intake as intakes
from carawaystair.load import rejection
from carawaystair.load import upstream_selection
from carawaystair import logs
from carawaystair.request import answer as answers
from carawaystair.request import body as bodies
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server
from carawaystair.request import reception as receptions
from carawaystair.request import validation

# Delay of the first interim answer: most refusals and short answers are sent
# sooner, seconds.
FIRST_INTERIM_S = 0.03
# Interval of further ones; a node that receives none for three intervals takes
# the connection for lost, seconds.
INTERIM_INTERVAL_S = 0.3
# An answer that waits longer for the link is recorded as trouble: its host has
# more to send than its link carries, seconds.
LONG_PACING_S = 0.3
# The size of bodies is limited by the node that took them from the caller.
NO_LIMIT = 2**62
# The listener, in metrics.
NODES = 'nodes'
SENDER_LEFT = 'its sender has left'
MS = 1000

LOG = logs.get('gateway')


class HopHandler:
    """Answers other nodes; one for each process.

    :param executor: runs requests at the upstreams of this host.
    :param metrics: counts refusals.
    :param recorder: records events.
    :param pacer: paces sending over the link of this host.
    :param memory: holds answers for slow readers.
    :param max_bodies: long bodies that are received at the same time at most.
    """

    def __init__(
        self,
        executor: executors.Executor,
        metrics: request_metrics.RequestMetrics,
        recorder: decisions.Recorder,
        pacer: pacers.Pacer,
        memory: answer_memory.AnswerMemory,
        max_bodies: float = math.inf,
    ) -> None:
        self.receiver = receptions.Receiver(NODES, max_bodies)
        # The long bodies of requests in progress.
        self.receptions: dict[http_server.Request, receptions.Reception] = {}
        self.pacer = pacer
        self.memory = memory
        self.executor = executor
        self.metrics = metrics
        self.recorder = recorder
        self.runs = runs_module.Runs(executor.is_own_process, recorder)
        self.active = 0

    # One request

    async def handle(self, request: http_server.Request) -> bool:
        """Answer a request; return whether the connection can be reused."""
        hop = hops.parse(request.headers.get(hops.HOP, ''))
        if hop is None:
            LOG.warning('Refused a request with a malformed hop header.')
            report = self.executor.report('')
            hops.write(request, hops.refusal(hops.MALFORMED, '', report))
            return False
        if request.connection.peer_watch is not None:
            # Its sender has read the answer before.
            request.connection.peer_watch.close()
        self.active += 1
        interim = InterimAnswers(request)
        try:
            return await self._answer(hop, request, interim)
        except ConnectionError:
            return False
        finally:
            interim.stop()
            self.active -= 1
            reception = self.receptions.pop(request, None)
            if reception is not None:
                self.receiver.end(reception.body)

    async def _answer(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        interim: 'InterimAnswers',
    ) -> bool:
        if hop.detour:
            interim.stop()
            return await detours.forward(hop, request, self.pacer, self.memory)
        self.executor.hear(hop)
        fresh = transit.deduct_transit_time(hop, clock.uptime_ms())
        if fresh is None:
            interim.stop()
            self._refuse(hop, request, slots_module.Refused(hops.GIVEN_UP))
            return _can_reuse(request)
        hop = fresh
        try:
            answer = await self._run(hop, request)
        except slots_module.Refused as refused:
            interim.stop()
            self._refuse(hop, request, refused)
            return _can_reuse(request)
        except answers.Failed as failed:
            interim.stop()
            return self._fail(hop, request, failed.code, failed.detail)
        except validation.Refused:
            # The body is incomplete because its sender has gone.
            return False
        except Exception as error:
            interim.stop()
            return self._answer_defect(hop, request, error)
        throttle = self.pacer.throttle(hop.host)
        ready_at = clock.now()
        try:
            if answer.rest is None:
                await throttle.wait_first(len(answer.body))
            interim.stop()
            first_at = clock.now()
            keep_alive = await self._forward(hop, request, answer, throttle)
        finally:
            throttle.close()
        if throttle.backlog_s is not None:
            self._record_paced(
                hop, answer, throttle.backlog_s, ready_at, first_at
            )
        return keep_alive

    def _record_paced(
        self,
        hop: hops.Hop,
        answer: answers.Answer,
        backlog_s: float,
        ready_at: float,
        first_at: float,
    ) -> None:
        """Record an answer that waited for the link."""
        event = decisions.Paced(
            hop.id,
            hop.upstream,
            hop.host,
            len(answer.body),
            int((first_at - ready_at) * MS),
            int((clock.now() - ready_at) * MS),
            int(backlog_s * MS),
        )
        late = first_at - ready_at > LONG_PACING_S
        category = decisions.TROUBLE if late else decisions.ROUTINE
        self.recorder.tell(event, category)

    async def _forward(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        answer: answers.Answer,
        throttle: pacers.Throttle,
    ) -> bool:
        """Write an upstream's answer."""
        exchange = exchanges.Exchange(request, hop.id)
        extra_headers = hops.report_line(self._report(hop, request))
        if answer.rest is None:
            await streaming.write_whole(
                answer, exchange, extra_headers, throttle
            )
            return exchange.keep_alive
        source = self._source(answer.rest)
        watch = back_pressure.PeerWatch(request.connection)
        extra_headers += back_pressure.OFFER
        owner = hop.customer or hop.host
        try:
            async with self.memory.hold(owner, exchange) as held:
                why = await streaming.stream(
                    source, answer, exchange, held, extra_headers, throttle
                )
        finally:
            watch.end()
            source.close()
        if why:
            LOG.warning('Answer interrupted.', id=hop.id, why=why)
        return exchange.keep_alive and not why

    def _source(self, attempt: send_attempts.UpstreamAttempt) -> spools.Source:
        """Return the rest of an upstream's long answer.

        Its slot is released with its connection.
        """
        kind = spools.Spool if self.memory.is_bounded else spools.Direct
        return kind(attempt, attempt.release_slot, attempt.call.deadline)

    async def _run(
        self, hop: hops.Hop, request: http_server.Request
    ) -> answers.Answer:
        """Run a request, or join its run."""
        receive_body = functools.partial(self._receive_body, hop, request)
        if not hop.expects_continue:
            # Read the body first, so that a slow one holds no slot.
            receive_body = functools.partial(
                _already_read, await receive_body()
            )
        # When a suspended process continues, it finds a request and the end
        # of its connection at the same time.  The event loop reports the end
        # one iteration later, and it must be handled first.
        await asyncio.sleep(0)
        return await self.runs.run_once(
            hop,
            lambda: self.executor.run(
                self._marked(hop), request, receive_body
            ),
            lambda: request.connection.broken,
        )

    def _marked(self, hop: hops.Hop) -> hops.Hop:
        """Return a hop that is marked as a repeat if this send is one here.

        Its sender can't know that a send which it took for lost has reached
        the upstream, and has charged that one only.
        """
        if self.runs.was_sent(hop):
            return hop._replace(retry=True, budgeted=False)
        return hop

    async def _receive_body(
        self, hop: hops.Hop, request: http_server.Request
    ) -> executors.Body:
        """Receive the body; a long one is left to be read from its source."""
        length = bodies.declared_length(request)
        if length == 0:
            return executors.Body(b'')
        if hop.expects_continue:
            if not request.connection.open:
                raise validation.Refused(codes.BODY_MALFORMED, SENDER_LEFT)
            hops.write(request, hops.CONTINUE)
        deadline = clock.now() + hop.remaining_ms / MS
        content = request.content
        long = length is None or length > intakes.FREE_BYTES
        if long and not self.runs.may_have_run(hop):
            content = self._receive(hop, request)
        if length is not None and length > bodies.MAX_BUFFERED_BYTES:
            data = b''
            if hop.expects_continue:
                # Without any data the sender may assume that the body was
                # not asked for, and send the request elsewhere.
                start = await bodies.read(content, 0, NO_LIMIT, deadline)
                data = start.data
            source = bodies.Source(content, length, data, NO_LIMIT)
            return executors.Body(None, source)
        if content is request.content:
            start = await bodies.read_start(content, NO_LIMIT, deadline)
        else:
            start = await bodies.read(
                content, bodies.MAX_BUFFERED_BYTES, NO_LIMIT, deadline
            )
        if start.complete:
            return executors.Body(start.data)
        source = bodies.Source(content, None, start.data, NO_LIMIT)
        return executors.Body(None, source)

    def _receive(
        self, hop: hops.Hop, request: http_server.Request
    ) -> receptions.Reception:
        """Return the reader of a long body.

        :raises slots.Refused: when there is no room for it.
        """
        try:
            reception = self.receiver.receive(
                request.content, hop.customer or hop.host
            )
        except validation.Refused as refused:
            raise slots_module.Refused(
                rejection.BUSY, refused.detail
            ) from None
        self.receptions[request] = reception
        return reception

    def _answer_defect(
        self, hop: hops.Hop, request: http_server.Request, error: Exception
    ) -> bool:
        """Answer with a failure after an unexpected exception.

        If the connection was just closed, the sender would take it for lost
        and resume the request again and again until its deadline.
        """
        LOG.error('Handling a request failed.', id=hop.id, error=repr(error))
        return self._fail(hop, request, codes.INVARIANT_BROKEN, repr(error))

    def _fail(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        code: codes.Code,
        detail: str,
    ) -> bool:
        """Answer with a failure, which promises nothing."""
        report = self._report(hop, request)
        hops.write(request, hops.failure(code.label, detail, report))
        return _can_reuse(request)

    def _report(
        self, hop: hops.Hop, request: http_server.Request
    ) -> upstream_selection.LoadReport:
        """Return the upstream's state for the sender of a request."""
        held_ms = int((clock.now() - request.arrived_at) * MS)
        report = self.executor.report(hop.upstream, hop.route)
        return report._replace(read_ms=clock.uptime_ms() - held_ms)

    # Refusals

    def _refuse(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        refused: slots_module.Refused,
    ) -> None:
        report = self._report(hop, request)
        self.metrics.record_refusal(hop.service, refused.reason)
        self.recorder.tell(
            decisions.Declining(
                hop.id,
                hop.upstream,
                hop.host,
                refused.reason,
                refused.detail,
                report.running,
                report.waiting,
                report.slots,
            ),
            decisions.TROUBLE,
        )
        if refused.reason in hops.MAY_HAVE_RUN:
            label = codes.ANSWER_LOST.label
            data = hops.failure(label, refused.reason, report)
        else:
            data = hops.refusal(refused.reason, refused.detail, report)
        hops.write(request, data)


class InterimAnswers:
    """Sends interim answers while a request waits or runs.

    :param request: the request.
    """

    def __init__(self, request: http_server.Request) -> None:
        self.request = request
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(FIRST_INTERIM_S, self._send)

    def _send(self) -> None:
        connection = self.request.connection
        if not connection.open:
            return
        connection.transport.write(hops.INTERIM)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(INTERIM_INTERVAL_S, self._send)

    def stop(self) -> None:
        """Send no more of them."""
        self.timer.cancel()


async def _already_read(body: executors.Body) -> executors.Body:
    """Return a body that was read before."""
    return body


def _can_reuse(request: http_server.Request) -> bool:
    """Return whether the connection can carry another request."""
    return request.keep_alive and request.content.is_eof()
