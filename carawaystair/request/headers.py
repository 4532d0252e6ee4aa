"""Which headers travel, in both directions, as raw bytes.

Headers are passed on as the bytes that arrived, so that nothing is decoded
and encoded again on the path of a good request.
"""

import functools
import typing

CUSTOMER = 'Caraway-Customer'
DEADLINE = 'Caraway-Deadline-Ms'
REQUEST_ID = 'Caraway-Request-Id'
OUTCOME = 'Caraway-Outcome'
CODE = 'Caraway-Code'
KEY = 'Idempotency-Key'
OWN = b'caraway-'

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
LONGEST_REMEMBERED = 48

Raw = typing.Sequence[tuple[bytes, bytes]]


@functools.lru_cache(1024)
def _travels(name: bytes) -> bool:
    lower = name.lower()
    return lower not in REFRAMED and not lower.startswith(OWN)


def travels(name: bytes) -> bool:
    """Tell whether a header goes on to the other side.

    The fleet's own headers do not: nobody outside may speak for it.
    """
    if len(name) > LONGEST_REMEMBERED:
        return _travels.__wrapped__(name)
    return _travels(name)


def named(connection: str) -> frozenset[bytes]:
    """Return the header names that a ``Connection`` value lists."""
    names = connection.encode('utf-8', 'surrogateescape').lower().split(b',')
    return frozenset(name.strip() for name in names) - PERSISTENCE


def lines(raw: Raw, connection: str | None) -> bytes:
    """Return the lines of the headers that go on, each with its line end.

    :param raw: names and values as they arrived.
    :param connection: all values of ``Connection``, joined by commas.
    """
    dropped = named(connection) if connection else None
    if dropped:
        raw = [pair for pair in raw if pair[0].lower() not in dropped]
    return b''.join([b'%b: %b\r\n' % pair for pair in raw if travels(pair[0])])


def value(raw: Raw, wanted: bytes) -> bytes | None:
    """Return the first value of a header.

    :param wanted: its name in lower case.
    """
    found = (value for name, value in raw if name.lower() == wanted)
    return next(found, None)
