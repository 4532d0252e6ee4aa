"""Handles callers' requests at a node with a gateway."""

import asyncio
import contextlib
import math
import re
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import answer_memory
from carawaystair.gateway import arrivals as arrivals_module
from carawaystair.gateway import call_tracker
from carawaystair.gateway import dispatcher as dispatchers
from carawaystair.gateway import dispatches
from carawaystair.gateway import request_metrics
from carawaystair.gateway import splitting
from carawaystair.gateway import spool as spools
from carawaystair.gateway import startup
from carawaystair.gateway import streaming
from carawaystair import interfaces
from carawaystair.load import held_bytes
from carawaystair import manifest
from carawaystair.quota import client as quotas
from carawaystair.request import answer as answers
from carawaystair.request import authentication
from carawaystair.request import base_handler
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import digests
from carawaystair.request import exchange as exchanges
from carawaystair.request import headers
from carawaystair.request import http_server
from carawaystair.request import meters as meters_module
from carawaystair.request import places
from carawaystair.request import validation
from carawaystair import routing as routings
from carawaystair import rows
from carawaystair import settings as settings_module

MS = 1000
# A whole head may be so many times as long as a line, at least.
HEAD_FACTOR = 2
# Longest part of a caller's text in a log line.
MAX_LOGGED_CHARS = 200
REQUEST_ID_PATTERN = re.compile(r'[!-~]{1,128}')
# Statuses that promise that a request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
# Ranks of routes below one rank of customers.
ROUTE_RANKS = 1000
# Part of the time to the latency goal in which a grant must come.
MAX_GRANT_WAIT = 0.4


class CallerHandler(base_handler.BaseHandler):
    """Answers callers; one for each node.

    :param settings: settings of the process.
    :param prefix: prefix of the ids of requests that have none.
    :param routing: returns the configuration in force.
    :param behind_s: returns for how long a newer one has been known, seconds;
        0.0 while there is none.
    :param dispatcher: sends requests to gateways.
    :param startup_wait: waits for a configuration right after the start.
    :param splitter: chooses among the services of a route.
    :param nested: tracks nested calls of this host's upstreams.
    :param authenticator: checks keys of customers.
    :param quota: grants requests of customers that have a rate.
    :param meters: counts outcomes of requests.
    :param metrics: counts requests by route and outcome.
    :param memory: holds answers and bodies for slow callers.
    :param recorder: records events.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        prefix: str,
        routing: typing.Callable[[], routings.Routing],
        behind_s: typing.Callable[[], float],
        dispatcher: dispatchers.Dispatcher,
        startup_wait: startup.StartupWait,
        splitter: splitting.Splitter,
        nested: call_tracker.NestedCallTracker,
        authenticator: authentication.Authenticator,
        quota: quotas.Client,
        meters: meters_module.Meters,
        metrics: request_metrics.RequestMetrics,
        memory: answer_memory.AnswerMemory,
        recorder: decisions.Recorder,
    ) -> None:
        super().__init__(
            prefix, 0.0, routing, behind_s, meters, settings.node.max_bodies
        )
        self.header_names = settings.headers
        self.service = settings.node.service
        self.dispatcher = dispatcher
        self.startup_wait = startup_wait
        self.splitter = splitter
        self.nested_calls = nested
        self.authenticator = authenticator
        self.quota = quota
        self.metrics = metrics
        self.memory = memory
        self.recorder = recorder
        self.places = places.Places(settings.node.max_requests)
        # The version of the configuration last used, and since when.
        self.version, self.version_since = rows.NONE, 0.0
        # Tasks that are answering a caller.
        self.tasks: set[asyncio.Task] = set()
        self.arrivals = arrivals_module.Arrivals()
        # Headers that nodes set themselves; those of callers are dropped.
        self.own_headers = frozenset(
            name.lower().encode()
            for name in (
                self.header_names.request_id,
                self.header_names.deadline_ms,
                self.header_names.upstream,
                self.header_names.caller_service,
            )
        )
        # The same where keys are required: upstreams get no key, and the
        # customer that this node has found.
        self.keyed_headers = self.own_headers | {
            authentication.AUTHORIZATION.lower().encode(),
            self.header_names.customer.lower().encode(),
        }

    def bounds(self) -> http_server.Bounds:
        """Return the limits on callers' requests, as configured."""
        limits = self.routing().limits
        return http_server.Bounds(
            limits.max_header_bytes,
            limits.header_timeout_ms / MS,
            limits.idle_timeout_ms / MS,
            head_bytes=max(
                HEAD_FACTOR * limits.max_header_bytes,
                http_server.MAX_HEAD_BYTES,
            ),
        )

    def may_pipeline(self, request: http_server.Request) -> bool:
        """Return whether a pipelined request may run before its predecessors.

        Non-idempotent requests may not: if an earlier answer closes the
        connection, the caller assumes that later requests were not read, and
        sends them again.  Requests for long transfers may not either, since
        they would hold a slot for data that can't be sent yet.  A node that
        stops, or has many requests, starts nothing ahead of time.
        """
        if self.stop_deadline is not None or not self._has_no_body(request):
            return False
        if not self.places.room.may_pipeline:
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

    def _has_no_body(self, request: http_server.Request) -> bool:
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
        """Return the caller's id of a request, or a generated one."""
        given = request.headers.get(self.header_names.request_id, '')
        return (
            given
            if REQUEST_ID_PATTERN.fullmatch(given)
            else super()._new_request_id(request)
        )

    async def handle(self, request: http_server.Request) -> bool:
        """Answer a request; return whether another one may follow."""
        try:
            return await super().handle(request)
        finally:
            self.memory.release_body(request)
            self.arrivals.end(request)

    async def _answer(
        self, request: http_server.Request, exchange: exchanges.Exchange
    ) -> None:
        started_at = request.arrived_at
        await self.startup_wait.wait(self._configured, math.inf)
        routing = self.routing()
        if routing.version != self.version:
            self.version, self.version_since = routing.version, started_at
        try:
            self._check_serving(routing, started_at)
            dispatch = await self._read(request, exchange, routing, started_at)
        except validation.Refused as refused:
            self._record_rejected(request, exchange.id, refused)
            raise
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._run(dispatch, exchange, started_at)
        except validation.Refused as refused:
            outcome = codes.NOT_RUN
            self._record_answer(
                dispatch, request, outcome, refused.code, refused.detail
            )
            raise
        except answers.Failed as failed:
            outcome = codes.UNKNOWN if failed.sent else codes.NOT_RUN
            self._record_answer(
                dispatch, request, outcome, failed.code, failed.detail
            )
            raise
        except asyncio.CancelledError:
            if not request.connection.open or exchange.outcome is not None:
                self._record_left(dispatch, request, started_at)
                raise
            # The node stops while the caller is still connected.
            asyncio.current_task().uncancel()
            failed = answers.Failed(
                interfaces.CANCELLED, codes.ANSWER_LATE, True, 'node stopped'
            )
            outcome = codes.UNKNOWN
            self._record_answer(
                dispatch, request, outcome, failed.code, failed.detail
            )
            raise failed from None
        except Exception as error:
            if request.connection.open and exchange.outcome is None:
                code = codes.INVARIANT_BROKEN
                self._record_answer(
                    dispatch, request, codes.UNKNOWN, code, repr(error)
                )
            else:
                self._record_left(dispatch, request, started_at)
            raise
        finally:
            self.tasks.discard(task)

    def _configured(self) -> bool:
        return self.routing().version != rows.NONE

    def stop(self, accept_until: float, ends_at: float) -> None:
        """Accept requests for a while, and none that would not end in time.

        :param accept_until: monotonic time until which requests are accepted.
        :param ends_at: monotonic time at which the process ends.
        """
        self.stop_deadline = ends_at
        self.arrivals.stop(accept_until, ends_at)

    def cancel_remaining(self) -> None:
        """Answer remaining callers when the drain time is over.

        A closed connection tells a caller nothing; an answer tells it that
        the request may have run.
        """
        for task in list(self.tasks):
            task.cancel()

    def _check_serving(self, routing: routings.Routing, now: float) -> None:
        """Refuse requests without a configuration and after a stop."""
        if routing.version == rows.NONE:
            raise validation.Refused(codes.NOT_READY)
        if now > self.arrivals.accept_until:
            raise validation.Refused(codes.LEAVING)
        if self.memory.refuses:
            raise validation.Refused(
                codes.MEMORY_FULL, retry_after_s=held_bytes.BLOCKED_S
            )

    # Reading

    async def _read(
        self,
        request: http_server.Request,
        exchange: exchanges.Exchange,
        routing: routings.Routing,
        now: float,
    ) -> dispatches.Dispatch:
        """Read a request.

        :raisesvalidation.Refused: when it is invalid or has no route.
        """
        place = validation.read_target(request)
        match = routing.match(place.host, place.path.partition('?')[0])
        if match is None:
            raise self._no_route()
        route = match.route
        parent = self.nested_calls.running_parent(exchange.id)
        sender = self.authenticator.identify(
            routing, route, request.headers, bool(parent)
        )
        name = self.splitter.service(match.key, route)
        service = routing.service(name)
        if service is None:
            raise self._no_route()
        most = min(service.max_body, routing.limits.max_body_bytes)
        service = service._replace(max_body=most)
        match = routings.Match(match.key, route, service)
        call = self._call(request, exchange, place, match, now)
        dropped = self._dropped_headers(routing)
        call = call._replace(head=self._head(request, place, dropped))
        length = bodies.declared_length(request)
        if length != 0 or 'Expect' in request.headers:
            owner = sender.customer or _peer(request)
            held = self.memory.hold_body(request, owner, length)
            call = await self._read_body(
                request, call, exchange, length, held, owner
            )
        if call.body is None:
            self.arrivals.pass_on(request)
        ends_here = self.arrivals.is_late(request)
        credentials = sender.customer or request.headers.get(
            authentication.AUTHORIZATION, ''
        )
        call = digests.with_digest(call, place.host, credentials)
        goal_s = call.deadline - now
        if route.goal_ms and not parent:
            # A nested call has none: whoever waits for it loses its own work
            # if the call fails, and little if it is late.
            goal_s = route.goal_ms / MS
        params = dispatches.Params(
            name,
            now + goal_s,
            self.nested_calls.rank(call.id, _rank(routing, route, sender)),
            bool(parent),
            self.nested_calls.is_call_of_retry(call.id),
            bool(parent) and self.nested_calls.count_call(parent, name),
            self.service,
            route.max_attempts or dispatchers.DEFAULT_MAX_RUNS,
            str(routing.version),
            sender,
            ends_here,
        )
        return dispatches.Dispatch(call, params, request)

    def _body_reader(
        self, request: http_server.Request, call: calls.Call
    ) -> bodies.Reader:
        if request.content.is_eof():
            return request.content
        durations = self.dispatcher.selector.durations
        return self.arrivals.begin(
            request,
            call.deadline,
            lambda: durations.expected(call.match.key),
        )

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
            request.headers, match.service, self.header_names.deadline_ms
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
            b'',
        )

    def _dropped_headers(self, routing: routings.Routing) -> frozenset[bytes]:
        """Return the headers of callers that upstreams don't get."""
        return (
            self.keyed_headers if routing.keys_required else self.own_headers
        )

    def _head(
        self,
        request: http_server.Request,
        place: validation.RequestTarget,
        dropped: frozenset[bytes],
    ) -> bytes:
        """Return the request line and headers for the upstream.

        :param dropped: names of headers to leave out, in lower case.
        """
        raw = [
            pair
            for pair in request.raw_headers
            if pair[0].lower() not in dropped
        ]
        if place.authority:
            raw = [pair for pair in raw if pair[0].lower() != b'host']
            raw.append((b'Host', place.authority.encode()))
        return headers.request_head(
            request.method, place.path, request.headers, raw
        )

    # Answering

    async def _run(
        self,
        dispatch: dispatches.Dispatch,
        exchange: exchanges.Exchange,
        started_at: float,
    ) -> None:
        """Forward a request once its customer's quota has room for it.

        The grant of a request that was surely not run is given back.
        """
        customer = dispatch.params.sender.customer
        to_goal_s = dispatch.params.goal - clock.now()
        lease = await self.quota.acquire(
            customer,
            self.routing().customer(customer) if customer else None,
            clock.now() + MAX_GRANT_WAIT * to_goal_s,
            dispatch.call.id,
        )
        try:
            async with self._place(dispatch):
                await self._forward(dispatch, exchange, started_at)
        except validation.Refused:
            if lease is not None:
                lease.give_back()
            raise
        except answers.Failed as failed:
            if lease is not None and not failed.sent:
                lease.give_back()
            raise

    def _place(
        self, dispatch: dispatches.Dispatch
    ) -> contextlib.AbstractAsyncContextManager:
        """Return the place of a request while it is in progress.

        A nested call takes none: the request that waits for it may have the
        last one.
        """
        if dispatch.params.nested:
            return contextlib.nullcontext()
        return self.places.take(dispatch.call.deadline)

    async def _forward(
        self,
        dispatch: dispatches.Dispatch,
        exchange: exchanges.Exchange,
        started_at: float,
    ) -> None:
        answer = await self.dispatcher.send(dispatch)
        why = ''
        if answer.rest is None:
            exchange.write_answer(answer, codes.OK)
            await exchange.wait_drained()
        else:
            why = await self._stream(dispatch, answer, exchange)
        if why:
            exchange.keep_alive = False
            self.meters.record_broken(dispatch.call.id, why)
        else:
            self.meters.record_complete(clock.now() - started_at)
        if dispatch.params.nested and answer.status >= 500:
            self.nested_calls.call_failed(dispatch.call.id)
        code = codes.ANSWER_LOST if why else codes.OK
        self._record_answer(
            dispatch,
            exchange.request,
            codes.COMPLETE,
            code,
            why,
            answer.status,
        )

    async def _stream(
        self,
        dispatch: dispatches.Dispatch,
        answer: answers.Answer,
        exchange: exchanges.Exchange,
    ) -> str:
        """Stream a long answer; return why it was interrupted, or ''."""
        # The answer may have to wait for the room that the body uses.
        if self.memory.release_body(exchange.request):
            dispatch.call = dispatch.call._replace(body=None)
            answer.rest.drop_body()
        source = spools.Direct(answer.rest)
        owner = dispatch.params.sender.customer or _peer(exchange.request)
        try:
            # Earlier answers on the connection need the room first.
            await exchange.request.wait_turn()
            async with self.memory.hold(owner, exchange) as held:
                return await streaming.stream(source, answer, exchange, held)
        finally:
            source.close()

    def _record_answer(
        self,
        dispatch: dispatches.Dispatch,
        request: http_server.Request,
        outcome: str,
        code: codes.Code,
        detail: str,
        status: int = 0,
    ) -> None:
        """Record the outcome that a caller was given."""
        total_s = clock.now() - request.arrived_at
        key, service = dispatch.call.match.key, dispatch.params.service
        self.metrics.record_answer(key, service, outcome, code.label, total_s)
        good = code is codes.OK and status < 500
        if not status and dispatch.params.nested:
            self.nested_calls.call_failed(dispatch.call.id)
        if (
            not status
            and dispatch.params.caller_retried
            and dispatch.over_budget
        ):
            self.nested_calls.budget.record_refusal(service, clock.now())
        self.recorder.tell(
            decisions.Answered(
                dispatch.call.id,
                key,
                service,
                status or _status(code, outcome),
                outcome,
                code.label,
                dispatch.offers,
                int(total_s * MS),
                dispatch.call.digest,
                _peername(request),
                *request.place,
                detail,
                request.whole_ms,
            ),
            decisions.ROUTINE if good else decisions.TROUBLE,
        )

    def _record_rejected(
        self,
        request: http_server.Request,
        name: str,
        refused: validation.Refused,
    ) -> None:
        self.recorder.tell(
            decisions.Rejected(
                name,
                request.method,
                request.headers.get('Host', '')[:MAX_LOGGED_CHARS],
                request.raw_path[:MAX_LOGGED_CHARS],
                _status(refused.code, codes.NOT_RUN),
                refused.code.label,
                str(self.version),
                int((clock.now() - self.version_since) * MS),
                int(self.behind_s() * MS),
                refused.detail[:MAX_LOGGED_CHARS],
            ),
            decisions.TROUBLE,
        )

    def _record_left(
        self,
        dispatch: dispatches.Dispatch,
        request: http_server.Request,
        started_at: float,
    ) -> None:
        total_ms = int((clock.now() - started_at) * MS)
        closed_by = 'caller' if request.connection.closed_by_caller else 'node'
        self.recorder.tell(
            decisions.Left(
                dispatch.call.id, dispatch.offers, total_ms, closed_by
            ),
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
        """Answer with a status that does not contradict the outcome.

        Callers retry after 503, whatever else the answer says, and assume
        after 502 or 504 that the request may have run.
        """
        status = _status(code, outcome)
        exchange.write_error(code, outcome, detail, retry_after_s, status)


def _peer(request: http_server.Request) -> str:
    """Return the address of a caller, without its port."""
    return _peername(request).rpartition(':')[0]


def _peername(request: http_server.Request) -> str:
    """Return ``ip:port`` of a caller, '' when its connection is lost."""
    transport = request.connection.transport
    peer = transport and transport.get_extra_info('peername')
    return '%s:%d' % peer[:2] if peer else ''


def _rank(
    routing: routings.Routing,
    route: manifest.Route,
    sender: authentication.Sender,
) -> int:
    """Return the priority of a request, 0 first.

    Where keys are required, that of its customer goes before that of its
    route.
    """
    if not routing.keys_required:
        return route.priority
    customer = routing.customer(sender.customer) if sender.customer else None
    first = route.priority
    if customer is not None and customer.priority is not None:
        first = customer.priority
    return first * ROUTE_RANKS + min(route.priority, ROUTE_RANKS - 1)


def _status(code: codes.Code, outcome: str) -> int:
    """Return the status that expresses an outcome."""
    if outcome == codes.NOT_RUN and code.status >= 500:
        return NOT_RUN_STATUS
    if outcome != codes.NOT_RUN and code.status in NOT_RUN_STATUSES:
        return UNKNOWN_STATUS
    return code.status
