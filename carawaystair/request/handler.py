"""Handles callers' requests on nodes that send to upstreams directly."""

import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import attempt_tracker
from carawaystair.request import authentication
from carawaystair.request import base_handler
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import digests
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server
from carawaystair.request import idempotency
from carawaystair.request import meters as meters_module
from carawaystair.request import sender as senders
from carawaystair.request import shared_permit as shared_permits
from carawaystair.request import transfer
from carawaystair.request import validation
from carawaystair import routing as routings
from carawaystair import rows


class Handler(base_handler.BaseHandler):
    """Handles requests by sending them to upstreams; one for each node.

    :param host: the host of the node.
    :param prefix: prefix of request ids, different after every start.
    :param drain_s: time that a stop waits for requests in flight, seconds;
        it bounds their deadlines, since a stop would cut off longer ones.
    :param admission: decides when a request may start.
    :param reservations: reserves idempotency keys.
    :param routing: returns the configuration in force.
    :param behind_s: returns for how long a newer configuration has been
        known, seconds; 0.0 while none is.
    :param sender: sends to upstreams.
    :param meters: counts requests by outcome.
    :param authenticator: checks keys of customers.
    """

    def __init__(
        self,
        host: str,
        prefix: str,
        drain_s: float,
        admission: interfaces.Admission,
        reservations: interfaces.Reservations,
        routing: typing.Callable[[], routings.Routing | None],
        behind_s: typing.Callable[[], float],
        sender: senders.Sender,
        meters: meters_module.Meters,
        authenticator: authentication.Authenticator,
    ) -> None:
        super().__init__(prefix, drain_s, routing, behind_s, meters)
        self.host = host
        self.admission = admission
        self.sender = sender
        self.authenticator = authenticator
        self.keyed = idempotency.KeyedRequests(
            reservations, self._send_keyed, sender.spawn, sender.abort
        )

    async def _answer(
        self, request: http_server.Request, exchange: exchanges.Exchange
    ) -> None:
        routing = self.routing()
        if routing is None or routing.version == rows.NONE:
            raise validation.Refused(codes.NOT_READY)
        now = clock.now()
        target = validation.read_target(request)
        match = validation.match_route(routing, target)
        if match is None or match.service is None:
            raise self._no_route()
        identity = self.authenticator.identify(
            routing, match.route, request.headers, False
        )
        call = validation.read_call(
            request,
            target,
            match,
            routing.customer,
            exchange.id,
            self.host,
            now,
            self.max_duration_s,
            identity.customer if routing.keys_required else None,
        )
        call = call._replace(credential=identity.credential)
        exchange.id = call.id
        if self.stop_deadline is not None:
            self._check_stopping(call)
        length = bodies.declared_length(request)
        if length != 0 or 'Expect' in request.headers:
            call = await self._read_body(
                request, call, exchange, length, owner=call.customer
            )
        credentials = identity.customer or request.headers.get(
            authentication.AUTHORIZATION, ''
        )
        call = digests.with_digest(call, target.host, credentials)
        if call.key:
            await self._answer_keyed(call, exchange)
        else:
            await self._answer_unkeyed(call, exchange)
        self.meters.record_complete(clock.now() - now)

    # Sending

    async def _answer_unkeyed(
        self, call: calls.Call, exchange: exchanges.Exchange
    ) -> None:
        """Answer a request without an idempotency key."""
        permit = await self._admit(call)
        started = clock.now()
        try:
            answer = await self.sender.send(call, permit)
            await self._forward(call, answer, exchange, permit)
            permit.record_outcome(
                attempt_tracker.outcome_of(answer), clock.now() - started
            )
        except answers.Failed as failed:
            permit.record_outcome(failed.outcome, clock.now() - started)
            raise
        finally:
            permit.release()

    async def _answer_keyed(
        self, call: calls.Call, exchange: exchanges.Exchange
    ) -> None:
        """Answer a request with an idempotency key."""
        try:
            answer = await self.keyed.answer(call)
        finally:
            self.keyed_bodies.release(call.body)
        await self._forward(call, answer, exchange, None)

    async def _send_keyed(self, call: calls.Call) -> answers.Answer:
        permit = await self._admit(call)
        started = clock.now()
        try:
            answer = await self.sender.send(call, permit)
            permit.record_outcome(
                attempt_tracker.outcome_of(answer), clock.now() - started
            )
            return answer
        except answers.Failed as failed:
            permit.record_outcome(failed.outcome, clock.now() - started)
            raise
        finally:
            permit.release()

    async def _admit(self, call: calls.Call) -> shared_permits.SharedPermit:
        """Wait for a permit from admission.

        :raises validation.Refused: when the request may not start.
        """
        quarantine = self.sender.quarantine
        if not quarantine.may_begin(call.digest):
            raise validation.crash_refusal(quarantine.standing(call.digest))
        permit = self.admission.try_admit(
            call.service, call.charged, call.deadline, call.bulk
        )
        if permit is not None:
            return shared_permits.SharedPermit(permit)
        permit = await self._wait_admission(call)
        refused = self.authenticator.recheck(
            authentication.Sender(call.customer, call.credential)
        )
        if refused is not None:
            permit.release()
            raise refused
        return permit

    async def _wait_admission(
        self, call: calls.Call
    ) -> shared_permits.SharedPermit:
        result = await self.admission.admit(
            call.service, call.charged, call.deadline, call.bulk
        )
        if result.is_error():
            failure = result.error
            raise validation.Refused(
                failure.code,
                failure.detail,
                self.admission.retry_after(call.service),
            )
        return shared_permits.SharedPermit(result.ok, waited=True)

    async def _forward(
        self,
        call: calls.Call,
        answer: answers.Answer,
        exchange: exchanges.Exchange,
        permit: shared_permits.SharedPermit | None,
    ) -> None:
        """Write the answer to the caller."""
        if answer.rest is None:
            exchange.write_answer(answer, codes.OK)
            await exchange.wait_drained()
            return
        stream = transfer.Transfer(self.sender, call, answer, exchange, permit)
        if not await stream.run():
            exchange.keep_alive = False
            self.meters.record_broken(call.id, 'The answer broke off.')
