"""The stored form of an answer, returned when a caller repeats its key."""

import hashlib
import typing

import msgspec

from carawaystair import codes
from carawaystair.request import answer as answers
from carawaystair.request import call as calls
from carawaystair.request import headers


class Stored(typing.NamedTuple):
    """An answer as the reservations store it.

    :param status: the status code; 0 when the answer was too long to store.
    :param reason: the reason phrase.
    :param headers: names and values.
    :param connection: the values of its ``Connection`` header, or None.
    :param body: the whole body.
    """

    status: int
    reason: str = ''
    headers: tuple[tuple[bytes, bytes], ...] = ()
    connection: str | None = None
    body: bytes = b''


TOO_LONG = Stored(0)
_DECODER = msgspec.msgpack.Decoder(Stored)


def encode(answer: answers.Answer) -> bytes:
    """Return the stored form of an answer."""
    if answer.rest is not None:
        return msgspec.msgpack.encode(TOO_LONG)
    kept = tuple(
        pair for pair in answer.headers if headers.is_forwarded(pair[0])
    )
    return msgspec.msgpack.encode(
        Stored(answer.status, answer.reason, kept, None, answer.body)
    )


def decode(data: bytes) -> answers.Answer | codes.Code:
    """Return the stored answer, or the code that says why there is none."""
    stored = _DECODER.decode(data)
    if stored == TOO_LONG:
        return codes.KEY_ANSWER_GONE
    return answers.Answer(*stored)


def request_digest(call: calls.Call) -> bytes:
    """Return a digest that detects other requests with the same key."""
    hashed = hashlib.blake2b(digest_size=16)
    path = call.path.encode('utf-8', 'surrogateescape')
    for part in (call.method.encode(), path, call.body):
        hashed.update(b'%d ' % len(part))
        hashed.update(part)
    return hashed.digest()
