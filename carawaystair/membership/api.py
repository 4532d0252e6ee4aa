"""The node's local HTTP interface, for the upstreams of its host."""

import typing

from aiohttp import web
import msgspec

from carawaystair import clock
from carawaystair import codes
from carawaystair.membership import directory as directories
from carawaystair.membership import registry as registries
from carawaystair import shape

MAX_BODY = 16 * 1024


class Answer(typing.NamedTuple):
    """The answer to an announcement.

    :param code: ``CS-0000``, or what is wrong.
    :param text: the same for a person.
    :param id: id of the upstream.
    :param state: its state as the node has it now.
    :param incarnation: its incarnation as the node has it.
    :param lease_s: seconds until it must renew; a third of it is a good
        period.
    """

    code: str
    text: str
    id: str = ''
    state: str = ''
    incarnation: int = 0
    lease_s: float = 0.0


class Listing(typing.NamedTuple):
    """The answer to a question for upstreams.

    :param services: upstreams by service.
    """

    services: dict


class Api:
    """Handlers of the routes.

    :param registry: the leases of this host.
    :param directory: the upstreams of the fleet.
    """

    def __init__(
        self,
        registry: registries.Registry,
        directory: directories.Directory,
    ) -> None:
        self.registry = registry
        self.directory = directory

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.put('/v1/upstreams/{id}', self.put),
            web.delete('/v1/upstreams/{id}', self.delete),
            web.get('/v1/upstreams', self.listing),
        ]

    async def put(self, request: web.Request) -> web.Response:
        """Announce an upstream or renew its lease."""
        name = request.match_info['id']
        if (request.content_length or 0) > MAX_BODY:
            return _refuse(codes.Failure(codes.ANNOUNCEMENT_INVALID, 'size'))
        try:
            value = msgspec.json.decode(await request.read())
        except (msgspec.DecodeError, RecursionError) as error:
            failure = codes.Failure(codes.ANNOUNCEMENT_INVALID, str(error))
            return _refuse(failure)
        result = registries.read(value).bind(
            lambda said: self.registry.announce(name, said, clock.wall_ms())
        )
        if result.is_error():
            return _refuse(result.error)
        said = result.ok
        return _answer(
            codes.OK.status,
            Answer(
                codes.OK.label,
                codes.OK.text,
                name,
                said.state,
                said.incarnation,
                self.registry.lease_s,
            ),
        )

    async def delete(self, request: web.Request) -> web.Response:
        """Take the leave of an upstream."""
        name = request.match_info['id']
        text = request.query.get('incarnation', '0')
        if not text.isdecimal():
            failure = codes.Failure(codes.ANNOUNCEMENT_INVALID, 'incarnation')
            return _refuse(failure)
        result = self.registry.remove(name, int(text))
        if result.is_error():
            return _refuse(result.error)
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
