"""Takes callers' requests at a node with a gateway."""

import asyncio
import math
import re
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import dispatcher as relays
from carawaystair.gateway import dispatches
from carawaystair.gateway import nested_calls as inners
from carawaystair.gateway import request_metrics as figures_module
from carawaystair.gateway import splitting
from carawaystair.gateway import startup as settlings
from carawaystair.gateway import streaming
from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.request import answer as answers
from carawaystair.request import base_handler
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import digests
from carawaystair.request import exchange as exchanges
from carawaystair.request import headers
from carawaystair.request import http_server
from carawaystair.request import meters as meters_module
from carawaystair.request import validation
from carawaystair import routing as routings
from carawaystair import rows
from carawaystair import settings as settings_module

MS = 1000
# Of what callers send, so much is shown in a log line.
MOST_SHOWN = 200
ID = re.compile(r'[!-~]{1,128}')
# Statuses that promise that a request was not run.
PROMISES = frozenset((408, 421, 429, 503))
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502


class CallerHandler(base_handler.BaseHandler):
    """Answers callers; one for each node.

    :param settings: of the process.
    :param prefix: begins the ids of requests that bring none.
    :param routing: returns the configuration in force.
    :param behind_s: returns since when a newer one is known, seconds; 0.0
        while none is.
    :param relay: sends requests to gateways.
    :param settling: waits for a configuration right after the start.
    :param splits: chooses among the services of a route.
    :param inner: is told of failed calls of this host's upstreams.
    :param meters: counts what callers are told.
    :param figures: counts requests by route and outcome.
    :param recorder: takes note of decisions.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        prefix: str,
        routing: typing.Callable[[], routings.Routing],
        behind_s: typing.Callable[[], float],
        relay: relays.Dispatcher,
        settling: settlings.StartupWait,
        splits: splitting.Splitter,
        inner: inners.NestedCalls,
        meters: meters_module.Meters,
        figures: figures_module.RequestMetrics,
        recorder: decisions.Recorder,
    ) -> None:
        super().__init__(prefix, 0.0, routing, behind_s, meters)
        self.names = settings.headers
        self.service = settings.node.service
        self.relay = relay
        self.settling = settling
        self.splits = splits
        self.nested_calls = inner
        self.figures = figures
        self.recorder = recorder
        # The configuration that was last read with, and since when.
        self.version, self.version_at = rows.NONE, 0.0
        # The tasks that answer callers now.
        self.tasks: set[asyncio.Task] = set()
        # While the node stops: until when new requests are taken.
        self.last_new: float | None = None
        # These are ours to set; what a caller sends under them is dropped.
        self.ours = frozenset(
            name.lower().encode()
            for name in (
                self.names.request_id,
                self.names.deadline_ms,
                self.names.upstream,
                self.names.caller_service,
            )
        )

    def bounds(self) -> http_server.Bounds:
        """Return what callers may send, by the configuration in force."""
        limits = self.routing().limits
        return http_server.Bounds(
            limits.max_header_bytes,
            limits.header_timeout_ms / MS,
            limits.idle_timeout_ms / MS,
        )

    def may_pipeline(self, request: http_server.Request) -> bool:
        """Tell whether a request may run before those in front of it on its
        connection are answered.

        What may run once may not: if an answer in front of it closes the
        connection, its caller takes it for not read and sends it again.  Nor
        what carries long transfers: it would hold a slot for bytes that
        can't be sent yet.  A node that stops begins nothing new.
        """
        if self.stop_deadline is not None or not self._bodiless(request):
            return False
        try:
            place = validation.read_target(request)
        except validation.Refused:
            return False
        path = place.path.partition('?')[0]
        match = self.routing().match(place.host, path)
        return (
            match is not None
            and match.route.kind == manifest.SHORT
            and self._idempotent(match.route, request)
        )

    def _bodiless(self, request: http_server.Request) -> bool:
        return bodies.declared_length(request) == 0 and (
            'Expect' not in request.headers
        )

    def _idempotent(
        self, route: manifest.Route, request: http_server.Request
    ) -> bool:
        if route.idempotent is None:
            return request.method not in validation.NON_IDEMPOTENT
        return route.idempotent

    def _new_request_id(self, request: http_server.Request) -> str:
        """Return the caller's id of a request, or one of our own."""
        given = request.headers.get(self.names.request_id, '')
        return (
            given if ID.fullmatch(given) else super()._new_request_id(request)
        )

    async def _answer(
        self, request: http_server.Request, exchange: exchanges.Exchange
    ) -> None:
        began = request.arrived_at
        await self.settling.wait(self._configured, math.inf)
        routing = self.routing()
        if routing.version != self.version:
            self.version, self.version_at = routing.version, began
        try:
            self._check_serving(routing, began)
            trip = await self._read(request, exchange, routing, began)
        except validation.Refused as refused:
            self._tell_rejected(request, exchange.id, refused)
            raise
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._pass_on(trip, exchange, began)
        except validation.Refused as refused:
            outcome = codes.NOT_RUN
            self._tell(trip, outcome, began, refused.code, refused.detail)
            raise
        except answers.Failed as failed:
            outcome = codes.UNKNOWN if failed.sent else codes.NOT_RUN
            self._tell(trip, outcome, began, failed.code, failed.detail)
            raise
        except asyncio.CancelledError:
            if not request.connection.open or exchange.outcome is not None:
                self._tell_left(trip, request, began)
                raise
            # This node stops, and its caller is still there.
            asyncio.current_task().uncancel()
            failed = answers.Failed(
                interfaces.CANCELLED, codes.ANSWER_LATE, True, 'node stopped'
            )
            outcome = codes.UNKNOWN
            self._tell(trip, outcome, began, failed.code, failed.detail)
            raise failed from None
        except Exception as error:
            if request.connection.open and exchange.outcome is None:
                code = codes.INVARIANT_BROKEN
                self._tell(trip, codes.UNKNOWN, began, code, repr(error))
            else:
                self._tell_left(trip, request, began)
            raise
        finally:
            self.tasks.discard(task)

    def _configured(self) -> bool:
        return self.routing().version != rows.NONE

    def give_up(self) -> None:
        """Answer what is left: this node's time to stop is over.

        A connection that is closed without a word tells a caller nothing; an
        answer tells it that the request may have run.
        """
        for task in list(self.tasks):
            task.cancel()

    def _check_serving(self, routing: routings.Routing, now: float) -> None:
        """Refuse all while there is no configuration, and after a stop."""
        if routing.version == rows.NONE:
            raise validation.Refused(codes.NOT_READY)
        if self.last_new is not None and now > self.last_new:
            raise validation.Refused(codes.LEAVING)

    # Reading

    async def _read(
        self,
        request: http_server.Request,
        exchange: exchanges.Exchange,
        routing: routings.Routing,
        now: float,
    ) -> dispatches.Dispatch:
        """Read a request; raises :class:`validation.Refused`."""
        place = validation.read_target(request)
        match = routing.match(place.host, place.path.partition('?')[0])
        if match is None:
            raise self._no_route()
        route = match.route
        name = self.splits.service(match.key, route)
        service = routing.service(name)
        if service is None:
            raise self._no_route()
        most = min(service.max_body, routing.limits.max_body_bytes)
        service = service._replace(max_body=most)
        match = routings.Match(match.key, route, service)
        call = self._call(request, exchange, place, match, now)
        length = bodies.declared_length(request)
        if length != 0 or 'Expect' in request.headers:
            call = await self._read_body(request, call, exchange, length)
        credentials = request.headers.get('Authorization', '')
        call = digests.with_digest(call, place.host, credentials)
        goal_s = route.goal_ms / MS if route.goal_ms else call.deadline - now
        parent = self.nested_calls.parent(call.id)
        need = dispatches.Params(
            name,
            now + goal_s,
            self.nested_calls.rank(call.id, route.priority),
            bool(parent),
            parent in self.nested_calls.repeated,
            bool(parent) and self.nested_calls.called(parent, name),
            self.service,
            route.max_attempts or relays.DEFAULT_MAX_RUNS,
            str(routing.version),
        )
        return dispatches.Dispatch(call, need)

    def _call(
        self,
        request: http_server.Request,
        exchange: exchanges.Exchange,
        place: validation.RequestTarget,
        match: routings.Match,
        now: float,
    ) -> calls.Call:
        route = match.route
        idempotent = self._idempotent(route, request)
        most_ms = route.timeout_ms or match.service.timeout_ms
        left_ms = validation.read_timeout_ms(
            request.headers, match.service, self.names.deadline_ms
        )
        return calls.Call(
            exchange.id,
            match,
            '',
            manifest.OTHER,
            now + min(left_ms, most_ms) / MS,
            idempotent,
            '',
            request.method,
            place.path,
            self._head(request, place),
        )

    def _head(
        self, request: http_server.Request, place: validation.RequestTarget
    ) -> bytes:
        """Return the request line and the headers that go on."""
        raw = [
            pair
            for pair in request.raw_headers
            if pair[0].lower() not in self.ours
        ]
        if place.authority:
            raw = [pair for pair in raw if pair[0].lower() != b'host']
            raw.append((b'Host', place.authority.encode()))
        return headers.request_head(
            request.method, place.path, request.headers, raw
        )

    # Answering

    async def _pass_on(
        self,
        trip: dispatches.Dispatch,
        exchange: exchanges.Exchange,
        began: float,
    ) -> None:
        answer = await self.relay.send(trip)
        why = ''
        if answer.rest is None:
            exchange.write_answer(answer, codes.OK)
            await exchange.wait_drained()
        else:
            why = await streaming.pass_on(answer.rest, answer, exchange)
        if why:
            exchange.keep_alive = False
            self.meters.record_broken(trip.call.id, why)
        else:
            self.meters.record_complete(clock.now() - began)
        if trip.need.inner and answer.status >= 500:
            self.nested_calls.failed(trip.call.id)
        code = codes.ANSWER_LOST if why else codes.OK
        self._tell(trip, codes.COMPLETE, began, code, why, answer.status)

    def _tell(
        self,
        trip: dispatches.Dispatch,
        outcome: str,
        began: float,
        code: codes.Code,
        detail: str,
        status: int = 0,
    ) -> None:
        """Take note of what a caller was told."""
        total_s = clock.now() - began
        key, service = trip.call.match.key, trip.need.service
        self.figures.answered(key, service, outcome, code.label, total_s)
        good = code is codes.OK and status < 500
        if not status and trip.need.inner:
            self.nested_calls.failed(trip.call.id)
        if not status and trip.need.echo and trip.one_too_many:
            self.nested_calls.payer.record_refusal(service, clock.now())
        self.recorder.tell(
            decisions.Answered(
                trip.call.id,
                key,
                service,
                status or _status(code, outcome),
                outcome,
                code.label,
                trip.offers,
                int(total_s * MS),
                trip.call.digest,
                detail,
            ),
            decisions.ROUTINE if good else decisions.TROUBLE,
        )

    def _tell_rejected(
        self,
        request: http_server.Request,
        name: str,
        refused: validation.Refused,
    ) -> None:
        self.recorder.tell(
            decisions.Rejected(
                name,
                request.method,
                request.headers.get('Host', '')[:MOST_SHOWN],
                request.raw_path[:MOST_SHOWN],
                _status(refused.code, codes.NOT_RUN),
                refused.code.label,
                str(self.version),
                int((clock.now() - self.version_at) * MS),
                int(self.behind_s() * MS),
                refused.detail[:MOST_SHOWN],
            ),
            decisions.TROUBLE,
        )

    def _tell_left(
        self,
        trip: dispatches.Dispatch,
        request: http_server.Request,
        began: float,
    ) -> None:
        total_ms = int((clock.now() - began) * MS)
        closed_by = 'caller' if request.connection.closed_by_caller else 'node'
        self.recorder.tell(
            decisions.Left(trip.call.id, trip.offers, total_ms, closed_by),
            decisions.TROUBLE,
        )

    def _write_error(
        self,
        exchange: exchanges.Exchange,
        code: codes.Code,
        outcome: str,
        detail: str,
        retry_after_s: float,
    ) -> None:
        """Answer with a status that promises what is true, and no more.

        A caller repeats a request after 503, whatever else the answer says,
        and takes a 502 or 504 of one that was not run for a run.
        """
        status = _status(code, outcome)
        exchange.write_error(code, outcome, detail, retry_after_s, status)


def _status(code: codes.Code, outcome: str) -> int:
    """Return the status that tells callers of an outcome."""
    if outcome == codes.NOT_RUN and code.status >= 500:
        return NOT_RUN_STATUS
    if outcome != codes.NOT_RUN and code.status in PROMISES:
        return UNKNOWN_STATUS
    return code.status
