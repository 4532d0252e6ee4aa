"""The stored form of an answer, for callers that repeat their key."""

import hashlib
import typing

import msgspec

from carawaystair import codes
from carawaystair.request import answer as answers
from carawaystair.request import call as calls
from carawaystair.request import headers


class Stored(typing.NamedTuple):
    """An answer as the reservations keep it.

    :param status: its status; 0 when it was too long to keep.
    :param reason: the phrase that goes with the status.
    :param headers: names and values.
    :param connection: the values of its ``Connection`` header, or None.
    :param body: its body.
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
    """Return the answer that was stored, or why there is none."""
    stored = _DECODER.decode(data)
    if stored == TOO_LONG:
        return codes.KEY_ANSWER_GONE
    return answers.Answer(*stored)


def request_digest(call: calls.Call) -> bytes:
    """Return what tells a request from another with the same key."""
    hashed = hashlib.blake2b(digest_size=16)
    path = call.path.encode('utf-8', 'surrogateescape')
    for part in (call.method.encode(), path, call.body):
        hashed.update(b'%d ' % len(part))
        hashed.update(part)
    return hashed.digest()
