"""The baseline of the latency experiment: a relay of a few lines.

It sends each request to the next upstream in turn and hands the answer back.
It knows no deadline, no outcome, no key, no failure.
"""

import asyncio
import itertools
import typing

import aiohttp
from aiohttp import web

from standin import process

HOP_BY_HOP = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'host')
)


class Options(typing.NamedTuple):
    """Command line.

    :param listen: ``ip:port`` for callers.
    :param upstreams: ``ip:port`` of upstreams, with commas.
    """

    listen: str
    upstreams: str


def kept(headers: typing.Mapping[str, str]) -> dict[str, str]:
    """Return the headers that go on."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
    }


def session() -> aiohttp.ClientSession:
    """Return a session that does no more than it must."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )


def relay(
    client: aiohttp.ClientSession, upstreams: typing.Sequence[str]
) -> typing.Callable:
    """Return the handler that relays."""
    turn = itertools.cycle(upstreams)

    async def _relay(request: web.BaseRequest) -> web.Response:
        async with client.request(
            request.method,
            'http://' + next(turn) + request.path_qs,
            headers=kept(request.headers),
            data=await request.read(),
        ) as answer:
            return web.Response(
                status=answer.status,
                headers=kept(answer.headers),
                body=await answer.read(),
            )

    return _relay


async def run(options: Options) -> None:
    """Relay until a signal."""
    client = session()
    handler = relay(client, options.upstreams.split(','))
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    ip, _colon, port = options.listen.rpartition(':')
    await web.TCPSite(runner, ip, int(port)).start()
    await process.until_signal()
    await runner.cleanup()
    await client.close()


if __name__ == '__main__':
    asyncio.run(run(process.read_options(Options, __doc__)))
