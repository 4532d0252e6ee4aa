"""What every answer to a caller needs, whoever sends the request on."""

import itertools
import math
import typing

from carawaystair import codes
from carawaystair import logs
from carawaystair.request import answer as answers
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server
from carawaystair.request import meters as meters_module
from carawaystair.request import validation
from carawaystair import routing as routings

LOG = logs.get('request')

# A node that is behind the configuration has caught up within this time, as
# a rule: the median of 128 nodes during a storm of changes (exp_storms).
CATCH_UP_S = 0.6


class BaseHandler:
    """Takes requests, and answers what can't be served.

    :param prefix: begins the ids of requests, other at every start.
    :param drain_s: time that a stop gives to requests in flight; none may
        have more, or a stop would cut it off.
    :param routing: returns the configuration in force.
    :param behind_s: returns since when a newer one is known, seconds; 0.0
        while none is.
    :param meters: counts what callers are told.
    """

    def __init__(
        self,
        prefix: str,
        drain_s: float,
        routing: typing.Callable[[], routings.Routing | None],
        behind_s: typing.Callable[[], float],
        meters: meters_module.Meters,
    ) -> None:
        self.prefix = prefix
        self.request_numbers = itertools.count(1)
        # Without a drain, a stop cuts off whatever there is.
        self.max_duration_s = drain_s or math.inf
        self.routing = routing
        self.behind_s = behind_s
        self.meters = meters
        self.keyed_bodies = bodies.KeyedBodies()
        self.active = 0
        # While the node stops: the time by which everything must be over.
        self.stop_deadline: float | None = None

    async def handle(self, request: http_server.Request) -> bool:
        """Answer one request; return whether another may follow."""
        exchange = exchanges.Exchange(request, self._new_request_id(request))
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
            # That of another connection tells nothing of this caller, who
            # would hear nothing.
            if request.connection.open:
                self._answer_internal_error(exchange, error)
        except Exception as error:
            self._answer_internal_error(exchange, error)
        finally:
            self.active -= 1
        return exchange.keep_alive

    def _no_route(self) -> validation.Refused:
        """Return the refusal of a request that no route matches.

        A node that knows of a newer configuration can't say that there is no
        route: one may have been added.  Callers don't repeat a request after
        a 404; after the other refusal they do, and find the route.
        """
        if not self.behind_s():
            return validation.Refused(codes.NO_ROUTE)
        return validation.Refused(
            codes.CONFIG_BEHIND, retry_after_s=CATCH_UP_S
        )

    def _new_request_id(self, request: http_server.Request) -> str:
        """Return the id of a request."""
        return '%s-%x' % (self.prefix, next(self.request_numbers))

    async def _answer(
        self, request: http_server.Request, exchange: exchanges.Exchange
    ) -> None:
        """Answer a request that was read; raises what it is refused for."""
        raise NotImplementedError

    def _check_stopping(self, call: calls.Call) -> None:
        """Refuse what might have to be cut when the node is gone."""
        if call.bulk or call.deadline > self.stop_deadline:
            raise validation.Refused(codes.LEAVING)

    # The body of the request

    async def _read_body(
        self,
        request: http_server.Request,
        call: calls.Call,
        exchange: exchanges.Exchange,
        length: int | None,
    ) -> calls.Call:
        """Return the request with its body, or with the way to read it."""
        limit = call.match.service.max_body
        bodies.check_length(length, limit)
        if bodies.expects_continue(request):
            exchange.send_continue()
        content = request.content
        if call.key:
            body = await self.keyed_bodies.read(
                content, length, limit, call.deadline
            )
            return call._replace(body=body)
        if length is not None and length > bodies.MAX_BUFFERED_BYTES:
            first = await bodies.read(
                content, bodies.PREFIX_BYTES, limit, call.deadline
            )
            return call._replace(
                body=None,
                stream=content,
                length=length,
                body_prefix=first.data,
            )
        begun = await bodies.read_start(content, limit, call.deadline)
        if begun.complete and len(begun.data) <= bodies.MAX_BUFFERED_BYTES:
            return call._replace(body=begun.data)
        return call._replace(
            body=None, stream=content, length=None, body_prefix=begun.data
        )

    # What goes wrong

    def _answer_error(
        self,
        exchange: exchanges.Exchange,
        code: codes.Code,
        outcome: str,
        detail: str,
        retry_after_s: float = 1.0,
    ) -> None:
        """Answer with a failure of this node's own."""
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
        # Callers read whole seconds.
        whole_s = float(max(int(retry_after_s), 1))
        exchange.write_error(code, outcome, detail, whole_s)

    def _answer_internal_error(
        self, exchange: exchanges.Exchange, error: Exception
    ) -> None:
        """Answer although this program is at fault.

        The caller is promised nothing, and a half-written answer is broken.
        """
        LOG.error('A request failed.', id=exchange.id, error=repr(error))
        if exchange.outcome is not None:
            exchange.keep_alive = False
            exchange.abort()
            return
        self._answer_error(exchange, codes.INVARIANT_BROKEN, codes.UNKNOWN, '')
