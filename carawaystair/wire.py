"""Encoding of the messages between the processes of the fleet.

Every message is a ``NamedTuple`` registered under a number; it travels as a
msgpack array behind a small header.  Numbers are given out by part:

- 1-19: kernel
- 20-39: replicated log (raft)
- 40-59: distribution of the configuration
- 60-79: membership and directory
- 80-99: coordinators and outlier detection
- 100-119: reservations
- 120-139: admission shares
- 140-159: administration and time line
- 160-179: requests that crash upstreams
- 180-199: quotas of customers
- 200-219: gateways

A field may be added at the end of a message when it has a default; any other
change needs a new number or a new :data:`VERSION`.
"""

import typing

import expression
import msgspec

from carawaystair import codes

VERSION = 1
# Larger messages are refused before they are decoded: a peer that sends one
# is broken or hostile, and decoding it would cost unbounded memory.
MAX_BYTES = 4 * 1024 * 1024

_NUMBERS: dict[int, type] = {}
_DECODERS: dict[int, msgspec.msgpack.Decoder] = {}
_KINDS: dict[type, int] = {}
_ENCODER = msgspec.msgpack.Encoder()


class Header(typing.NamedTuple):
    """What stands before every message.

    :param version: the wire version of the sender, see :data:`VERSION`.
    :param kind: the registered number of the message that follows.
    :param sender: the sender's address for answers, ``ip:port``.
    :param call: pairs an answer with its question; 0 for one-way messages.
    :param answer: whether this is the answer to ``call``.
    :param time: the sender's hybrid logical clock, see ``timeline``.
    """

    version: int
    kind: int
    sender: str
    call: int = 0
    answer: bool = False
    time: int = 0


class Envelope(typing.NamedTuple):
    """A decoded message with its header.

    :param header: the header.
    :param message: the message, an instance of a registered type.
    """

    header: Header
    message: typing.Any


_HEADER = msgspec.msgpack.Decoder(Header)


def register(number: int):
    """Return a class decorator that registers a message type.

    :param number: the wire number, unique over the fleet.
    """

    def _register(kind: type) -> type:
        if number in _NUMBERS:
            raise ValueError('message number %d is taken' % number)
        _NUMBERS[number] = kind
        _DECODERS[number] = msgspec.msgpack.Decoder(kind)
        _KINDS[kind] = number
        return kind

    return _register


def registered() -> dict[int, type]:
    """Return the registered message types by number."""
    return dict(_NUMBERS)


def encode(
    message,
    sender: str,
    call: int = 0,
    answer: bool = False,
    time: int = 0,
) -> bytes:
    """Return the bytes of a message behind its header."""
    header = Header(VERSION, _KINDS[type(message)], sender, call, answer, time)
    head = _ENCODER.encode(header)
    return (
        bytes((len(head) >> 8, len(head) & 255))
        + head
        + (_ENCODER.encode(message))
    )


def decode(data: bytes) -> expression.Result[Envelope, codes.Failure]:
    """Decode the bytes of one message, see :func:`read`."""
    found = read(data)
    if isinstance(found, Envelope):
        return expression.Ok(found)
    return expression.Error(found)


def read(data: bytes) -> Envelope | codes.Failure:
    """Decode the bytes of one message.

    Nothing that a peer sends may crash a process: every defect comes back
    as a numbered failure.
    """
    if len(data) > MAX_BYTES:
        return codes.Failure(codes.MESSAGE_TOO_LARGE, '%d bytes' % len(data))
    if len(data) < 2:
        return codes.Failure(codes.MESSAGE_MALFORMED, 'no header')
    end = 2 + (data[0] << 8 | data[1])
    try:
        header = _HEADER.decode(data[2:end])
        if header.version != VERSION:
            return codes.Failure(
                codes.MESSAGE_VERSION, 'version %d' % header.version
            )
        decoder = _DECODERS.get(header.kind)
        if decoder is None:
            return codes.Failure(
                codes.MESSAGE_VERSION, 'kind %d' % header.kind
            )
        message = decoder.decode(data[end:])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return codes.Failure(codes.MESSAGE_MALFORMED, str(error))
    return Envelope(header, message)
