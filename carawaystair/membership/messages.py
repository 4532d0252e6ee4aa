"""The messages and records of membership.

Wire numbers 60 to 79.  Links carry records; datagrams carry probes.
"""

import typing

import msgspec

from carawaystair import interfaces
from carawaystair import wire

# Liveness of a host, as it travels.
ALIVE = 0
SUSPECT = 1
DEAD = 2
LEFT = 3
NAMES = ('alive', 'suspect', 'dead', 'left')

# States of an upstream inside a record; those gone are absent from it.
STATES = (interfaces.UP, interfaces.DRAINING)
MILLI = 1000


class Row(typing.NamedTuple):
    """One upstream inside a record.

    :param id: its id.
    :param service: its service.
    :param address: ``ip:port``.
    :param slots: requests at once.
    :param weight: thousandths of a normal share.
    :param warmup: milliseconds from its start to full load.
    :param state: index into :data:`STATES`.
    :param incarnation: grows with every start of the upstream.
    :param sequence: the record's sequence at its last change.
    """

    id: str
    service: str
    address: str
    slots: int
    weight: int
    warmup: int
    state: int
    incarnation: int
    sequence: int


class Body(typing.NamedTuple):
    """What a record says.

    :param data_centre: the data centre of the host.
    :param region: the region of the data centre.
    :param peer: ``ip:port`` for messages.
    :param gossip: ``ip:port`` for datagrams.
    :param control: whether it is a control host only.
    :param upstreams: the upstreams of the host that are not gone.
    """

    data_centre: str
    region: str
    peer: str
    gossip: str
    control: bool
    upstreams: tuple[Row, ...] = ()


class Record(typing.NamedTuple):
    """All that one host announces, numbered by its process.

    The newest whole record of a host stands; an upstream that is missing
    from it is gone.  So a late, older announcement can't bring back an
    upstream that left, and no tombstone per upstream is needed.

    :param host: the host.
    :param incarnation: start of its process, grows with every start.
    :param sequence: grows with every change within an incarnation.
    :param left: whether the process has left for good; the record is then
        the tombstone of the host.
    :param body: an encoded :class:`Body`; stays encoded where it is kept
        and passed on.
    """

    host: str
    incarnation: int
    sequence: int
    left: bool
    body: bytes

    @property
    def version(self) -> tuple[int, int]:
        """Return what orders the records of one host."""
        return self.incarnation, self.sequence


@wire.register(60)
class Hello(typing.NamedTuple):
    """A process asks a seed to let it join; answered by a Greeting.

    :param record: the record of the process.
    """

    record: Record


@wire.register(61)
class Greeting(typing.NamedTuple):
    """The answer to a Hello.

    :param incarnation: highest known of the process that asked; one that
        is not above it must raise its own.
    :param records: records of some members, whom to ask for the rest.
    """

    incarnation: int
    records: tuple[Record, ...]


@wire.register(62)
class Batch(typing.NamedTuple):
    """Records that are new to the sender, passed on over the overlay.

    :param records: the records.
    """

    records: tuple[Record, ...]


@wire.register(63)
class Taken(typing.NamedTuple):
    """The answer to a Batch: its records arrived.

    :param newer: records of which the receiver holds newer ones.
    """

    newer: tuple[Record, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Body)


def pack(body: Body) -> bytes:
    """Encode the body of a record."""
    return _ENCODER.encode(body)


def unpack(data: bytes) -> Body | None:
    """Decode the body of a record.

    :return: None when it is malformed.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
