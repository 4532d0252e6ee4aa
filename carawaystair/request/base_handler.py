"""Base class of the handlers of callers' requests."""

import itertools
import math
import typing

from carawaystair import codes
from carawaystair.load import intake as intakes
from carawaystair import logs
from carawaystair.request import answer as answers
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server
from carawaystair.request import meters as meters_module
from carawaystair.request import reception as receptions
from carawaystair.request import validation
from carawaystair import routing as routings

LOG = logs.get('request')

# The listener, in metrics.
CALLERS = 'callers'

# Time in which a node usually catches up with a newer configuration: the
# median of 128 nodes during frequent changes.
CATCH_UP_S = 0.6


class BaseHandler:
    """Handles requests and writes error answers.

    :param prefix: prefix of request ids, different after every start.
    :param drain_s: time that a stop waits for requests in flight, seconds;
        it bounds their deadlines, since a stop would cut off longer ones.
    :param routing: returns the configuration in force.
    :param behind_s: returns for how long a newer configuration has been
        known, seconds; 0.0 while none is.
    :param meters: counts requests by outcome.
    :param max_bodies: long bodies that are received at the same time at most.
    """

    def __init__(
        self,
        prefix: str,
        drain_s: float,
        routing: typing.Callable[[], routings.Routing | None],
        behind_s: typing.Callable[[], float],
        meters: meters_module.Meters,
        max_bodies: float = math.inf,
    ) -> None:
        self.prefix = prefix
        self.request_numbers = itertools.count(1)
        # Without a drain time, deadlines are not bounded by it.
        self.max_duration_s = drain_s or math.inf
        self.routing = routing
        self.behind_s = behind_s
        self.meters = meters
        self.keyed_bodies = bodies.KeyedBodies()
        self.receiver = receptions.Receiver(CALLERS, max_bodies)
        # The long bodies of requests in progress.
        self.receptions: dict[http_server.Request, receptions.Reception] = {}
        self.active = 0
        # While the node stops: the time by which all requests must end.
        self.stop_deadline: float | None = None

    async def handle(self, request: http_server.Request) -> bool:
        """Answer one request.

        :return: whether another one may follow on the connection.
        """
        exchange = exchanges.Exchange(
            request, self._new_request_id(request), self._stops
        )
        if self.stop_deadline is not None:
            exchange.keep_alive = False
        self.active += 1
        try:
            await self._answer(request, exchange)
        except validation.Refused as refused:
            self._answer_error(
                exchange,
                refused.code,
                codes.NOT_RUN,
                refused.detail,
                refused.retry_after_s,
            )
        except answers.Failed as failed:
            outcome = codes.UNKNOWN if failed.sent else codes.NOT_RUN
            self._answer_error(exchange, failed.code, outcome, failed.detail)
        except ConnectionError as error:
            exchange.keep_alive = False
            # If the caller's connection is still open, the error comes from
            # another one, and the caller must get an answer.
            if request.connection.open:
                self._answer_internal_error(exchange, error)
        except Exception as error:
            self._answer_internal_error(exchange, error)
        finally:
            self.active -= 1
            reception = self.receptions.pop(request, None)
            if reception is not None:
                self.receiver.end(reception.body)
        return exchange.keep_alive

    def _stops(self) -> bool:
        """Return whether the node stops."""
        return self.stop_deadline is not None

    def _no_route(self) -> validation.Refused:
        """Return the refusal of a request that no route matches.

        While a newer configuration is known but not in force, a route may
        have been added.  Callers don't retry after a 404, but they do after
        the other refusal, and then find the route.
        """
        if not self.behind_s():
            return validation.Refused(codes.NO_ROUTE)
        return validation.Refused(
            codes.CONFIG_BEHIND, retry_after_s=CATCH_UP_S
        )

    def _new_request_id(self, request: http_server.Request) -> str:
        """Return a new id for a request."""
        return '%s-%x' % (self.prefix, next(self.request_numbers))

    async def _answer(
        self, request: http_server.Request, exchange: exchanges.Exchange
    ) -> None:
        """Answer a request.

        :raises validation.Refused: when it is refused.
        :raises answers.Failed: when no upstream answered it.
        """
        raise NotImplementedError

    def _check_stopping(self, call: calls.Call) -> None:
        """Refuse a request that might not end before the node stops."""
        if call.bulk or call.deadline > self.stop_deadline:
            raise validation.Refused(codes.LEAVING)

    # The body of the request

    async def _read_body(
        self,
        request: http_server.Request,
        call: calls.Call,
        exchange: exchanges.Exchange,
        length: int | None,
        held: bool = False,
        owner: str = '',
    ) -> calls.Call:
        """Return the request with its body, buffered or streamed.

        :param length: its length, None when it is chunked.
        :param held: whether there is memory for the whole of a long one.
        :param owner: whose part of all long bodies it uses.
        """
        limit = call.match.service.max_body
        bodies.check_length(length, limit)
        if bodies.expects_continue(request):
            exchange.send_continue()
        content = self._body_reader(request, call)
        if call.key:
            body = await self.keyed_bodies.read(
                content, length, limit, call.deadline
            )
            return call._replace(body=body)
        if held:
            body = await bodies.read(content, length, limit, call.deadline)
            return call._replace(body=body.data)
        if length is not None and length > bodies.MAX_BUFFERED_BYTES:
            reception = self._receive(request, content, owner)
            start = await bodies.read(
                reception, bodies.PREFIX_BYTES, limit, call.deadline
            )
            return await self._streamed(call, reception, start, length)
        start = bodies.PartialBody(b'', False)
        if length is None or length <= intakes.FREE_BYTES:
            start = await bodies.read_start(
                content, limit, call.deadline, intakes.FREE_BYTES
            )
        if start.complete and len(start.data) <= bodies.MAX_BUFFERED_BYTES:
            return call._replace(body=start.data)
        reception = self._receive(request, content, owner)
        start = await bodies.read(
            reception,
            bodies.MAX_BUFFERED_BYTES,
            limit,
            call.deadline,
            start.data,
        )
        if start.complete and len(start.data) <= bodies.MAX_BUFFERED_BYTES:
            return call._replace(body=start.data)
        return await self._streamed(call, reception, start, None)

    async def _streamed(
        self,
        call: calls.Call,
        reception: receptions.Reception,
        start: bodies.PartialBody,
        length: int | None,
    ) -> calls.Call:
        """Return a request whose body is streamed.

        While the node stops, more of it is read first: until an upstream has
        a part of it, the request can be refused as not run.

        :param start: what was read of its body.
        :param length: its length, None when it is chunked.
        """
        if self._stops():
            limit = call.match.service.max_body
            start = await bodies.read(
                reception,
                bodies.MAX_HELD_BYTES,
                limit,
                call.deadline,
                start.data,
            )
            if start.complete:
                return call._replace(body=start.data)
        return call._replace(
            body=None,
            stream=reception,
            length=length,
            body_prefix=start.data,
        )

    def _body_reader(
        self, request: http_server.Request, call: calls.Call
    ) -> bodies.Reader:
        """Return the reader of the body of a request."""
        return request.content

    def _receive(
        self, request: http_server.Request, content: bodies.Reader, owner: str
    ) -> receptions.Reception:
        """Return the reader of the long body of a request."""
        reception = self.receiver.receive(content, owner)
        self.receptions[request] = reception
        return reception

    # Errors

    def _answer_error(
        self,
        exchange: exchanges.Exchange,
        code: codes.Code,
        outcome: str,
        detail: str,
        retry_after_s: float = 1.0,
    ) -> None:
        """Count a failure and write an error answer."""
        self.meters.record_failed(outcome, code, exchange.id, detail)
        try:
            self._write_error(exchange, code, outcome, detail, retry_after_s)
        except ConnectionError:
            exchange.keep_alive = False

    def _write_error(
        self,
        exchange: exchanges.Exchange,
        code: codes.Code,
        outcome: str,
        detail: str,
        retry_after_s: float,
    ) -> None:
        # Callers expect whole seconds.
        whole_s = float(max(int(retry_after_s), 1))
        exchange.write_error(code, outcome, detail, whole_s)

    def _answer_internal_error(
        self, exchange: exchanges.Exchange, error: Exception
    ) -> None:
        """Answer after an unexpected error of this program.

        The outcome of the request is unknown.  If its answer has been begun,
        the caller's connection is aborted.
        """
        LOG.error('A request failed.', id=exchange.id, error=repr(error))
        if exchange.outcome is not None:
            exchange.keep_alive = False
            exchange.abort()
            return
        self._answer_error(exchange, codes.INVARIANT_BROKEN, codes.UNKNOWN, '')
