"""Announcements that another writer might send: none names an upstream."""

import json

import aiohttp

GOOD = {
    'service': 'portal',
    'address': '127.0.0.1:9',
    'slots': 5,
    'state': 'up',
    'incarnation': 1 << 62,
}
DEEP = 5_000


def _with(**changes) -> bytes:
    return json.dumps(GOOD | changes).encode()


def _without(name: str) -> bytes:
    return json.dumps({k: v for k, v in GOOD.items() if k != name}).encode()


MALFORMED = (
    b'',
    _with()[:-1],
    b'\xff\xfe' + _with(),
    b'null',
    b'[' + _with() + b']',
    b'[' * DEEP + b']' * DEEP,
    _with().replace(b'5', b'1e999'),
    _with().replace(b'5', b'NaN'),
    *(_without(name) for name in ('service', 'address', 'slots')),
    *(_with(slots=slots) for slots in ('5', 5.5, True, None, -1, 10**40)),
    *(_with(incarnation=number) for number in ('7', 7.5, -1, 1 << 64)),
    *(_with(address=text) for text in ('', 'somewhere', '127.0.0.1:99999')),
    _with(service=''),
    _with(service=['portal']),
    _with(service='s' * 5_000),
    _with(state='resting'),
    _with(state=3),
)
# Status of a node that is not able to accept an announcement now.
STARTING = 503


async def write(
    session: aiohttp.ClientSession, local: str, id: str, body: bytes
) -> int | None:
    """Announce an upstream with a body of our own.

    :param local: the local API of a node.
    :return: the status, None when the node is not there.
    """
    url = 'http://%s/v1/upstreams/%s' % (local, id)
    try:
        async with session.put(url, data=body) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None


async def announce(
    session: aiohttp.ClientSession, local: str, id: str, said
) -> str | None:
    """Announce an upstream; return its state at the node, '' if refused.

    :param local: the local API of a node.
    :param said: the announcement.
    :return: None when the node is not there or does not accept upstreams yet.
    """
    url = 'http://%s/v1/upstreams/%s' % (local, id)
    try:
        async with session.put(url, json=said._asdict()) as response:
            body = await response.json()
            if response.status == STARTING:
                return None
            return body['state'] if response.status < 400 else ''
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
