"""Which headers travel, in both directions, as raw bytes.

Headers are passed on as the bytes that arrived, so that nothing is decoded
and encoded again on the path of a good request.
"""

import typing

CUSTOMER = 'Caraway-Customer'
DEADLINE = 'Caraway-Deadline-Ms'
REQUEST_ID = 'Caraway-Request-Id'
OUTCOME = 'Caraway-Outcome'
CODE = 'Caraway-Code'
IDEMPOTENCY_KEY = 'Idempotency-Key'
FLEET_PREFIX = b'caraway-'

# RFC 9110 7.6.1: these concern one connection and end at each hop.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# This node frames bodies anew and answers expectations itself.
REFRAMED = HOP_BY_HOP | {b'content-length', b'expect'}
# Names in Connection that say nothing about other headers.
PERSISTENCE = frozenset((b'close', b'keep-alive'))
# Longer names are not remembered: a caller could fill memory with them.
MAX_CACHED_LENGTH = 48
MAX_CACHED_NAMES = 1024

Raw = typing.Sequence[tuple[bytes, bytes]]


# What was found out about names, so that each is looked at once.
_FORWARDED: dict[bytes, bool] = {}


def is_forwarded(name: bytes) -> bool:
    """Tell whether a header goes on to the other side.

    The fleet's own headers do not: nobody outside may speak for it.
    """
    lower = name.lower()
    found = lower not in REFRAMED and not lower.startswith(FLEET_PREFIX)
    if len(name) <= MAX_CACHED_LENGTH and len(_FORWARDED) < MAX_CACHED_NAMES:
        _FORWARDED[name] = found
    return found


def connection_options(connection: str) -> frozenset[bytes]:
    """Return the header names that a ``Connection`` value lists."""
    names = connection.encode('utf-8', 'surrogateescape').lower().split(b',')
    return frozenset(name.strip() for name in names) - PERSISTENCE


def forwarded_lines(raw: Raw, connection: str | None) -> bytes:
    """Return the lines of the headers that go on, each with its line end.

    :param raw: names and values as they arrived.
    :param connection: all values of ``Connection``, joined by commas.
    """
    if connection:
        dropped = connection_options(connection)
        raw = [pair for pair in raw if pair[0].lower() not in dropped]
    known = _FORWARDED
    kept = []
    for pair in raw:
        goes = known.get(pair[0])
        if goes is None:
            goes = is_forwarded(pair[0])
        if goes:
            kept.append(b'%b: %b\r\n' % pair)
    return b''.join(kept)


def connection_value(given) -> str | None:
    """Return all values of ``Connection``, joined by commas.

    :param given: a multidict of the headers.
    """
    if 'Connection' not in given:
        return None
    return ','.join(given.getall('Connection'))


def request_head(method: str, path: str, given, raw: Raw) -> bytes:
    """Return the request line and the lines of the headers that go on.

    :param given: the headers as they arrived, for ``Connection``.
    :param raw: those of them that may go on.
    """
    first = '%s %s HTTP/1.1\r\n' % (method, path)
    return first.encode() + forwarded_lines(raw, connection_value(given))


def value(raw: Raw, wanted: bytes) -> bytes | None:
    """Return the first value of a header.

    :param wanted: its name in lower case.
    """
    found = (value for name, value in raw if name.lower() == wanted)
    return next(found, None)
