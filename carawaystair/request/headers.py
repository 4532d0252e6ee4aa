"""Forwarding of HTTP headers, in both directions, as raw bytes.

Headers are forwarded as the bytes that arrived, which saves decoding and
encoding them for every request.
"""

import typing

CUSTOMER = 'Caraway-Customer'
DEADLINE = 'Caraway-Deadline-Ms'
REQUEST_ID = 'Caraway-Request-Id'
OUTCOME = 'Caraway-Outcome'
CODE = 'Caraway-Code'
IDEMPOTENCY_KEY = 'Idempotency-Key'
FLEET_PREFIX = b'caraway-'

# Headers that apply to one connection only (RFC 9110 7.6.1).
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
# This node sets the framing of bodies and answers expectations itself.
REFRAMED = HOP_BY_HOP | {b'content-length', b'expect'}
# Options in Connection that don't name other headers.
PERSISTENCE = frozenset((b'close', b'keep-alive'))
# Bounds of the cache below, which a caller could otherwise fill with names.
MAX_CACHED_LENGTH = 48
MAX_CACHED_NAMES = 1024

Raw = typing.Sequence[tuple[bytes, bytes]]

# Results of is_forwarded, by name.
_FORWARDED: dict[bytes, bool] = {}


def is_forwarded(name: bytes) -> bool:
    """Return whether a header is forwarded to the other side.

    The fleet's own headers are not, so that nobody outside can forge them.
    """
    lower = name.lower()
    found = lower not in REFRAMED and not lower.startswith(FLEET_PREFIX)
    if len(name) <= MAX_CACHED_LENGTH and len(_FORWARDED) < MAX_CACHED_NAMES:
        _FORWARDED[name] = found
    return found


def connection_options(connection: str) -> frozenset[bytes]:
    """Return the header names listed in a ``Connection`` value."""
    names = connection.encode('utf-8', 'surrogateescape').lower().split(b',')
    return frozenset(name.strip() for name in names) - PERSISTENCE


def forwarded_lines(raw: Raw, connection: str | None) -> bytes:
    """Return the lines of the headers to forward, each with its line end.

    :param raw: names and values as they arrived.
    :param connection: all values of ``Connection``, joined by commas.
    """
    if connection:
        dropped = connection_options(connection)
        raw = [pair for pair in raw if pair[0].lower() not in dropped]
    known = _FORWARDED
    kept = []
    for pair in raw:
        forwarded = known.get(pair[0])
        if forwarded is None:
            forwarded = is_forwarded(pair[0])
        if forwarded:
            kept.append(b'%b: %b\r\n' % pair)
    return b''.join(kept)


def connection_value(fields) -> str | None:
    """Return all values of ``Connection``, joined by commas.

    :param fields: a multidict of the headers.
    """
    if 'Connection' not in fields:
        return None
    return ','.join(fields.getall('Connection'))


def request_head(method: str, path: str, fields, raw: Raw) -> bytes:
    """Return the request line and the lines of the headers to forward.

    :param fields: the headers as they arrived, for ``Connection``.
    :param raw: those of them that may be forwarded.
    """
    first = '%s %s HTTP/1.1\r\n' % (method, path)
    return first.encode() + forwarded_lines(raw, connection_value(fields))


def value(raw: Raw, wanted: bytes) -> bytes | None:
    """Return the first value of a header.

    :param wanted: its name in lower case.
    """
    found = (value for name, value in raw if name.lower() == wanted)
    return next(found, None)
