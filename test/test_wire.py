"""Tests of the wire encoding."""

import typing

import hypothesis
from hypothesis import strategies

from carawaystair import codes
from carawaystair import wire


@wire.register(65001)
class Sample(typing.NamedTuple):
    """A message of these tests."""

    number: int
    text: str = ''


def test_round_trip():
    data = wire.encode(Sample(7, 'x'), '127.0.0.1:1', 3, True, 9)
    header, message = wire.decode(data).ok
    assert message == Sample(7, 'x')
    assert header == wire.Header(1, 65001, '127.0.0.1:1', 3, True, 9)


def test_unknown_kind_gets_a_number():
    """A newer process sends a message that this one does not know.

    Symptom: the older process dies.  Sequence: half the fleet is upgraded,
    the new half sends a new kind.  Cause: the decoder has no such kind.
    """
    data = wire.encode(Sample(7), '127.0.0.1:1')
    data = data.replace(b'\xcd\xfd\xe9', b'\xcd\xfd\xe8')
    assert wire.decode(data).error.code == codes.MESSAGE_VERSION


def test_too_large_is_refused_before_decoding():
    data = b'\x00' * (wire.MAX_BYTES + 1)
    assert wire.decode(data).error.code == codes.MESSAGE_TOO_LARGE


@hypothesis.given(strategies.binary(max_size=200))
def test_noise_never_raises(data):
    assert wire.decode(data).is_error()


@hypothesis.given(strategies.integers(0, 60), strategies.integers(0, 255))
def test_flipped_byte_never_raises(position, byte):
    data = bytearray(wire.encode(Sample(7, 'text'), '127.0.0.1:1'))
    data[position % len(data)] = byte
    wire.decode(bytes(data))


def test_reading_returns_plain_values():
    """Guards against a failure that is taken for a message."""
    data = wire.encode(Sample(7), '127.0.0.1:1')
    assert wire.read(data).message == Sample(7)
    assert wire.read(data[:1]).code == codes.MESSAGE_MALFORMED
    assert wire.read(data[:-1]).code == codes.MESSAGE_MALFORMED
