"""The gateway: the only way to the upstreams of this host.

It takes requests that other nodes hand over, gives them a slot of the
upstream or refuses them, and sees every outcome.  So it knows what runs and
what waits, holds work to what the upstream can do, stops new work at the
moment in which the upstream says that it leaves, and can promise that what it
refused was not run.
"""

import asyncio
import functools

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import detours
from carawaystair.gateway import executor as works
from carawaystair.gateway import hops
from carawaystair.gateway import pacer as pacers
from carawaystair.gateway import request_metrics as figures_module
from carawaystair.gateway import runs as runs_module
from carawaystair.gateway import slots as slots_module
from carawaystair.gateway import streaming
from carawaystair.gateway import transit
from carawaystair.load import upstream_selection
from carawaystair import logs
from carawaystair.request import answer as answers
from carawaystair.request import body as bodies
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server
from carawaystair.request import validation

# The first interim answer goes out after this time: most refusals and short
# answers come sooner.
FIRST_SIGN_S = 0.03
# Then one in this time; a node that hears none for three times as long takes
# the connection for lost.
SIGN_EVERY_S = 0.3
# An answer that waits longer than this for the link is told as trouble: its
# host has more to send than its link carries, seconds.
LONG_WAIT_S = 0.3
# Bodies are bounded by the node that took them from the caller.
NO_LIMIT = 2**62
MS = 1000

LOG = logs.get('gateway')


class HopHandler:
    """Takes requests from other nodes; one for each process.

    :param work: runs requests at the upstreams of this host.
    :param figures: counts refusals.
    :param recorder: takes note of decisions.
    :param pacer: shares the link of this host.
    """

    def __init__(
        self,
        work: works.Executor,
        figures: figures_module.RequestMetrics,
        recorder: decisions.Recorder,
        pacer: pacers.Pacer,
    ) -> None:
        self.pacer = pacer
        self.work = work
        self.figures = figures
        self.recorder = recorder
        self.runs = runs_module.Runs(work.mine, recorder)
        self.active = 0

    # One request

    async def handle(self, request: http_server.Request) -> bool:
        """Answer one hop; return whether another may follow."""
        hop = hops.read(request.headers.get(hops.HOP, ''))
        if hop is None:
            LOG.warning('Refused a hop that cannot be read.')
            report = self.work.report('')
            hops.write(request, hops.refusal(hops.MALFORMED, '', report))
            return False
        self.active += 1
        signs = InterimAnswers(request)
        try:
            return await self._answer(hop, request, signs)
        except ConnectionError:
            return False
        finally:
            signs.stop()
            self.active -= 1

    async def _answer(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        signs: 'InterimAnswers',
    ) -> bool:
        if hop.detour:
            signs.stop()
            return await detours.pass_on(hop, request, self.pacer)
        fresh = transit.deduct_transit_time(hop, clock.uptime_ms())
        if fresh is None:
            signs.stop()
            self._refuse(hop, request, slots_module.Refused(hops.GIVEN_UP))
            return _whole(request)
        hop = fresh
        try:
            answer = await self._run(hop, request)
        except slots_module.Refused as refused:
            signs.stop()
            self._refuse(hop, request, refused)
            return _whole(request)
        except answers.Failed as failed:
            signs.stop()
            return self._fail(hop, request, failed.code, failed.detail)
        except validation.Refused:
            # The body broke off: whoever sent it has gone.
            return False
        except Exception as error:
            signs.stop()
            return self._defect(hop, request, error)
        way = self.pacer.way(hop.host)
        ready = clock.now()
        try:
            if answer.rest is None:
                await way.begin(len(answer.body))
            signs.stop()
            first = clock.now()
            goes_on = await self._pass_on(hop, request, answer, way)
        finally:
            way.end()
        if way.ahead_s is not None:
            self._tell_paced(hop, answer, way.ahead_s, ready, first)
        return goes_on

    def _tell_paced(
        self,
        hop: hops.Hop,
        answer: answers.Answer,
        ahead_s: float,
        ready: float,
        first: float,
    ) -> None:
        """Take note of an answer that waited for the link."""
        event = decisions.Paced(
            hop.id,
            hop.upstream,
            hop.host,
            len(answer.body),
            int((first - ready) * MS),
            int((clock.now() - ready) * MS),
            int(ahead_s * MS),
        )
        late = first - ready > LONG_WAIT_S
        sort = decisions.TROUBLE if late else decisions.ROUTINE
        self.recorder.tell(event, sort)

    async def _pass_on(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        answer: answers.Answer,
        way: pacers.Throttle,
    ) -> bool:
        """Write an upstream's answer."""
        exchange = exchanges.Exchange(request, hop.id)
        extra = hops.report_line(self._report(hop, request))
        if answer.rest is None:
            await streaming.whole(answer, exchange, extra, way)
            return exchange.keep_alive
        try:
            why = await streaming.pass_on(
                answer.rest, answer, exchange, extra, way
            )
        finally:
            answer.rest.release()
        if why:
            LOG.warning('An answer broke off.', id=hop.id, why=why)
        return exchange.keep_alive and not why

    async def _run(
        self, hop: hops.Hop, request: http_server.Request
    ) -> answers.Answer:
        """Run a request, or wait for its run."""
        take = functools.partial(self._take, hop, request)
        if not hop.asks:
            # A slow body holds no slot.
            take = functools.partial(_ready, await take())
        # A process that was stopped for a while finds the request and its
        # sender's leaving at the same moment; the latter is seen one turn of
        # the loop later, and must come first.
        await asyncio.sleep(0)
        return await self.runs.once(
            hop,
            lambda: self.work.run(hop, request, take),
            lambda: request.connection.broken,
        )

    async def _take(
        self, hop: hops.Hop, request: http_server.Request
    ) -> works.Body:
        """Return the body, or where it is read from when it is long."""
        length = bodies.declared_length(request)
        if length == 0:
            return works.Body(b'')
        if hop.asks:
            hops.write(request, hops.CONTINUE)
        content = request.content
        until = clock.now() + hop.left_ms / MS
        if length is not None and length > bodies.MAX_BUFFERED_BYTES:
            data = b''
            if hop.asks:
                # Until some of it is here, its sender may think that it was
                # not asked for, and send it elsewhere.
                begun = await bodies.read(content, 0, NO_LIMIT, until)
                data = begun.data
            source = bodies.Source(content, length, data, NO_LIMIT)
            return works.Body(None, source)
        begun = await bodies.read_start(content, NO_LIMIT, until)
        if begun.complete:
            return works.Body(begun.data)
        source = bodies.Source(content, None, begun.data, NO_LIMIT)
        return works.Body(None, source)

    def _defect(
        self, hop: hops.Hop, request: http_server.Request, error: Exception
    ) -> bool:
        """Answer although this program is at fault.

        Closed without a word, the connection would be taken for lost, and
        the request asked for again and again until its time is over.
        """
        LOG.error('A hop failed.', id=hop.id, error=repr(error))
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
        return _whole(request)

    def _report(
        self, hop: hops.Hop, request: http_server.Request
    ) -> upstream_selection.LoadReport:
        """Return what the sender of a request should know."""
        held_ms = int((clock.now() - request.arrived_at) * MS)
        report = self.work.report(hop.upstream, hop.route)
        return report._replace(read_ms=clock.uptime_ms() - held_ms)

    # Refusals

    def _refuse(
        self,
        hop: hops.Hop,
        request: http_server.Request,
        refused: slots_module.Refused,
    ) -> None:
        report = self._report(hop, request)
        self.figures.refused(hop.service, refused.reason)
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
        if refused.reason in hops.UNSURE:
            label = codes.ANSWER_LOST.label
            data = hops.failure(label, refused.reason, report)
        else:
            data = hops.refusal(refused.reason, refused.detail, report)
        hops.write(request, data)


class InterimAnswers:
    """Interim answers, while a request waits or runs.

    :param request: the request.
    """

    def __init__(self, request: http_server.Request) -> None:
        self.request = request
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(FIRST_SIGN_S, self._sign)

    def _sign(self) -> None:
        connection = self.request.connection
        if not connection.open:
            return
        connection.transport.write(hops.INTERIM)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(SIGN_EVERY_S, self._sign)

    def stop(self) -> None:
        """Send none any more: the answer comes."""
        self.timer.cancel()


async def _ready(body: works.Body) -> works.Body:
    """Return a body that is here already."""
    return body


def _whole(request: http_server.Request) -> bool:
    """Tell whether another request may follow on a connection."""
    return request.keep_alive and request.content.is_eof()
