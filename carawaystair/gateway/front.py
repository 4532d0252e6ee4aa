"""Takes callers' requests at a node with a gateway."""

import asyncio
import math
import re
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import figures as figures_module
from carawaystair.gateway import inner as inners
from carawaystair.gateway import relay as relays
from carawaystair.gateway import settling as settlings
from carawaystair.gateway import splitting
from carawaystair.gateway import streaming
from carawaystair.gateway import trips
from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.request import answer as answers
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import caller
from carawaystair.request import digests
from carawaystair.request import exchange as exchanges
from carawaystair.request import handling
from carawaystair.request import headers
from carawaystair.request import incoming
from carawaystair.request import meters as meters_module
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


class Front(handling.Handling):
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
        relay: relays.Relay,
        settling: settlings.Settling,
        splits: splitting.Splitter,
        inner: inners.InnerCalls,
        meters: meters_module.Meters,
        figures: figures_module.Figures,
        recorder: decisions.Recorder,
    ) -> None:
        super().__init__(prefix, 0.0, routing, behind_s, meters)
        self.names = settings.headers
        self.service = settings.node.service
        self.relay = relay
        self.settling = settling
        self.splits = splits
        self.inner = inner
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

    def bounds(self) -> incoming.Bounds:
        """Return what callers may send, by the configuration in force."""
        limits = self.routing().limits
        return incoming.Bounds(
            limits.max_header_bytes,
            limits.header_timeout_ms / MS,
            limits.idle_timeout_ms / MS,
        )

    def may_run_ahead(self, request: incoming.Request) -> bool:
        """Tell whether a request may run before those in front of it on its
        connection are answered.

        What may run once may not: if an answer in front of it closes the
        connection, its caller takes it for not read and sends it again.  Nor
        what carries long transfers: it would hold a slot for bytes that
        can't be sent yet.  A node that stops begins nothing new.
        """
        if self.ends is not None or not self._bodiless(request):
            return False
        try:
            place = caller.target(request)
        except caller.Refused:
            return False
        path = place.path.partition('?')[0]
        match = self.routing().match(place.host, path)
        return (
            match is not None
            and match.route.kind == manifest.SHORT
            and self._idempotent(match.route, request)
        )

    def _bodiless(self, request: incoming.Request) -> bool:
        return bodies.declared(request) == 0 and (
            'Expect' not in request.headers
        )

    def _idempotent(
        self, route: manifest.Route, request: incoming.Request
    ) -> bool:
        if route.idempotent is None:
            return request.method not in caller.NON_IDEMPOTENT
        return route.idempotent

    def _name(self, request: incoming.Request) -> str:
        """Return the caller's id of a request, or one of our own."""
        given = request.headers.get(self.names.request_id, '')
        return given if ID.fullmatch(given) else super()._name(request)

    async def _answer(
        self, request: incoming.Request, exchange: exchanges.Exchange
    ) -> None:
        began = request.arrived
        await self.settling.wait(self._configured, math.inf)
        routing = self.routing()
        if routing.version != self.version:
            self.version, self.version_at = routing.version, began
        try:
            self._check_serving(routing, began)
            trip = await self._read(request, exchange, routing, began)
        except caller.Refused as refused:
            self._tell_rejected(request, exchange.id, refused)
            raise
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._pass_on(trip, exchange, began)
        except caller.Refused as refused:
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
            raise caller.Refused(codes.NOT_READY)
        if self.last_new is not None and now > self.last_new:
            raise caller.Refused(codes.LEAVING)

    # Reading

    async def _read(
        self,
        request: incoming.Request,
        exchange: exchanges.Exchange,
        routing: routings.Routing,
        now: float,
    ) -> trips.Trip:
        """Read a request; raises :class:`caller.Refused`."""
        place = caller.target(request)
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
        length = bodies.declared(request)
        if length != 0 or 'Expect' in request.headers:
            call = await self._take_body(request, call, exchange, length)
        credentials = request.headers.get('Authorization', '')
        call = digests.named(call, place.host, credentials)
        goal_s = route.goal_ms / MS if route.goal_ms else call.deadline - now
        parent = self.inner.parent(call.id)
        need = trips.Need(
            name,
            now + goal_s,
            self.inner.rank(call.id, route.priority),
            bool(parent),
            parent in self.inner.repeated,
            bool(parent) and self.inner.called(parent, name),
            self.service,
            route.max_attempts or relays.MOST_RUNS,
            str(routing.version),
        )
        return trips.Trip(call, need)

    def _call(
        self,
        request: incoming.Request,
        exchange: exchanges.Exchange,
        place: caller.Target,
        match: routings.Match,
        now: float,
    ) -> calls.Call:
        route = match.route
        idempotent = self._idempotent(route, request)
        most_ms = route.timeout_ms or match.service.timeout_ms
        left_ms = caller.budget_ms(
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

    def _head(self, request: incoming.Request, place: caller.Target) -> bytes:
        """Return the request line and the headers that go on."""
        raw = [
            pair
            for pair in request.raw_headers
            if pair[0].lower() not in self.ours
        ]
        if place.authority:
            raw = [pair for pair in raw if pair[0].lower() != b'host']
            raw.append((b'Host', place.authority.encode()))
        return headers.head(request.method, place.path, request.headers, raw)

    # Answering

    async def _pass_on(
        self, trip: trips.Trip, exchange: exchanges.Exchange, began: float
    ) -> None:
        answer = await self.relay.send(trip)
        why = ''
        if answer.rest is None:
            exchange.whole(answer, codes.OK)
            await exchange.drained()
        else:
            why = await streaming.pass_on(answer.rest, answer, exchange)
        if why:
            exchange.keep_alive = False
            self.meters.cut(trip.call.id, why)
        else:
            self.meters.complete(clock.now() - began)
        if trip.need.inner and answer.status >= 500:
            self.inner.failed(trip.call.id)
        code = codes.ANSWER_LOST if why else codes.OK
        self._tell(trip, codes.COMPLETE, began, code, why, answer.status)

    def _tell(
        self,
        trip: trips.Trip,
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
            self.inner.failed(trip.call.id)
        if not status and trip.need.echo and trip.one_too_many:
            self.inner.payer.record_refusal(service, clock.now())
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
        self, request: incoming.Request, name: str, refused: caller.Refused
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
        self, trip: trips.Trip, request: incoming.Request, began: float
    ) -> None:
        total_ms = int((clock.now() - began) * MS)
        closed_by = 'caller' if request.connection.left else 'node'
        self.recorder.tell(
            decisions.Left(trip.call.id, trip.offers, total_ms, closed_by),
            decisions.TROUBLE,
        )

    def _write_refusal(
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
        exchange.refuse(code, outcome, detail, retry_after_s, status)


def _status(code: codes.Code, outcome: str) -> int:
    """Return the status that tells callers of an outcome."""
    if outcome == codes.NOT_RUN and code.status >= 500:
        return NOT_RUN_STATUS
    if outcome != codes.NOT_RUN and code.status in PROMISES:
        return UNKNOWN_STATUS
    return code.status
