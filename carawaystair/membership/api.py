"""The node's local HTTP API, for the upstreams of its host."""

import typing

from aiohttp import web
import msgspec

from carawaystair import clock
from carawaystair import codes
from carawaystair import documents
from carawaystair.membership import departures as departures_module
from carawaystair.membership import directory as directories
from carawaystair.membership import registry as registries
from carawaystair import shape

MAX_BODY_BYTES = 16 * 1024
# Mistakes of a malformed body that are listed in the answer.
MAX_MISTAKES_SHOWN = 3
MAX_INCARNATION_DIGITS = 19


class Answer(typing.NamedTuple):
    """The answer to an announcement.

    :param code: ``CS-0000`` or the code of the failure.
    :param text: the meaning of the code, for a person.
    :param id: id of the upstream.
    :param state: current state of the upstream at the node.
    :param incarnation: incarnation of the upstream at the node.
    :param lease_s: seconds within which it must renew the lease; a third of
        it is a good interval.
    """

    code: str
    text: str
    id: str = ''
    state: str = ''
    incarnation: int = 0
    lease_s: float = 0.0


class Listing(typing.NamedTuple):
    """The answer to a request for the list of upstreams.

    :param services: upstreams by service.
    """

    services: dict


class Api:
    """Handlers of the local API.

    :param registry: the leases of this host.
    :param directory: the upstreams of the fleet.
    :param departures: makes other processes remember who leaves.
    """

    def __init__(
        self,
        registry: registries.Registry,
        directory: directories.Directory,
        departures: departures_module.Departures,
    ) -> None:
        self.registry = registry
        self.directory = directory
        self.departures = departures

    def routes(self) -> list[web.RouteDef]:
        """Return the routes and their handlers."""
        return [
            web.put('/v1/upstreams/{id}', self.put),
            web.delete('/v1/upstreams/{id}', self.delete),
            web.get('/v1/upstreams', self.listing),
        ]

    async def put(self, request: web.Request) -> web.Response:
        """Announce an upstream or renew its lease."""
        name = request.match_info['id']
        if (request.content_length or 0) > MAX_BODY_BYTES:
            return _refuse(codes.Failure(codes.ANNOUNCEMENT_INVALID, 'size'))
        value = documents.decode(await request.read(), MAX_BODY_BYTES)
        if value.is_error():
            text = '; '.join(map(str, value.error[:MAX_MISTAKES_SHOWN]))
            failure = codes.Failure(codes.ANNOUNCEMENT_INVALID, text)
            return _refuse(failure)
        parsed = registries.parse_announcement(value.ok).bind(
            lambda announcement: registries.check(name, announcement)
        )
        if parsed.is_error():
            return _refuse(parsed.error)
        accepting = await self.departures.wait_accepting()
        if accepting.is_error():
            return _refuse(accepting.error)
        result = self.registry.announce(name, parsed.ok, clock.wall_ms())
        if result.is_error():
            return _refuse(result.error)
        accepted = result.ok
        kept = await self.departures.keep(name)
        if kept.is_error():
            return _refuse(kept.error)
        return _answer(
            codes.OK.status,
            Answer(
                codes.OK.label,
                codes.OK.text,
                name,
                accepted.state,
                accepted.incarnation,
                self.registry.lease_s,
            ),
        )

    async def delete(self, request: web.Request) -> web.Response:
        """Remove an upstream that leaves."""
        name = request.match_info['id']
        text = request.query.get('incarnation', '0')
        if not text.isdecimal() or len(text) > MAX_INCARNATION_DIGITS:
            failure = codes.Failure(codes.ANNOUNCEMENT_INVALID, 'incarnation')
            return _refuse(failure)
        accepting = await self.departures.wait_accepting()
        if accepting.is_error():
            return _refuse(accepting.error)
        result = self.registry.remove(name, int(text))
        if result.is_error():
            return _refuse(result.error)
        kept = await self.departures.keep(name)
        if kept.is_error():
            return _refuse(kept.error)
        answer = Answer(codes.OK.label, codes.OK.text, name, 'gone')
        return _answer(codes.OK.status, answer)

    async def listing(self, request: web.Request) -> web.Response:
        """List the upstreams of one service or of all."""
        wanted = request.query.get('service')
        names = [wanted] if wanted else sorted(self.directory.services())
        found = {name: self.directory.peek(name) for name in names}
        return _answer(codes.OK.status, Listing(found))


def _refuse(failure: codes.Failure) -> web.Response:
    answer = Answer(failure.code.label, failure.sentence())
    return _answer(failure.code.status, answer)


def _answer(status: int, value) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(shape.plain(value)),
        content_type='application/json',
    )
