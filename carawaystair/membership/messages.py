"""The messages and records of membership.

Wire numbers 60 to 79.  Links carry records; datagrams carry probes.
"""

import typing
import zlib

import msgspec

from carawaystair import interfaces
from carawaystair.membership import bounds
from carawaystair import wire

# Liveness of a host, as it travels.
ALIVE = 0
SUSPECT = 1
DEAD = 2
LEFT = 3
STATE_NAMES = ('alive', 'suspect', 'dead', 'left')

# The incarnation of a host's liveness counts the starts of its process in the
# upper bits and the refutations of each start in these lower bits.
REFUTATION_BITS = bounds.REFUTATION_BITS

# States of an upstream inside a record; those gone are absent from it.
STATES = (interfaces.UP, interfaces.DRAINING)
MILLI = bounds.MILLI
# A body is compressed, which halves it: in memory, on the wire, and so that
# it fits a datagram.  Larger than this it is refused before it is inflated:
# a few hundred bytes could otherwise ask for gigabytes.
MAX_BODY_BYTES = 64 * 1024
RAW_DEFLATE = -15


def first_incarnation(start: int) -> int:
    """Return the liveness incarnation that a process starts with.

    :param start: the incarnation of its record.
    """
    return start << REFUTATION_BITS


def process_start(incarnation: int) -> int:
    """Return the start of the process that a liveness is about."""
    return incarnation >> REFUTATION_BITS


class Row(typing.NamedTuple):
    """One upstream inside a record.

    :param id: its id.
    :param service: its service.
    :param address: ``ip:port``.
    :param slots: requests at once.
    :param weight: thousandths of a normal share.
    :param warmup_ms: milliseconds from its start to full load.
    :param state: index into :data:`STATES`.
    :param incarnation: grows with every start of the upstream.
    :param sequence: the record's sequence at its last change.
    """

    id: str
    service: str
    address: str
    slots: int
    weight: int
    warmup_ms: int
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


@wire.register(76)
class Offer(typing.NamedTuple):
    """Names records that the sender can pass on; answered by a Wanted.

    :param versions: encoded by :func:`pack_versions`.
    """

    versions: bytes


@wire.register(77)
class Wanted(typing.NamedTuple):
    """The answer to an Offer.

    :param hosts: hosts whose records the receiver lacks.
    :param expected: hosts whose records it lacks as well, but has asked
        another process for; to be offered once more.
    """

    hosts: tuple[str, ...]
    expected: tuple[str, ...] = ()


# Which digests a comparison is about.
RECORDS = 0
LIVENESS = 1


@wire.register(64)
class Compare(typing.NamedTuple):
    """A question of anti-entropy; answered by a Differ.

    :param kind: :data:`RECORDS` or :data:`LIVENESS`.
    :param buckets: the digests of the sender's buckets, 8 bytes each.
    """

    kind: int
    buckets: bytes


class Version(typing.NamedTuple):
    """What a process holds of one host.

    :param host: the host.
    :param incarnation: of its record, or of its liveness.
    :param sequence: of its record; 0 for liveness.
    """

    host: str
    incarnation: int
    sequence: int


@wire.register(65)
class Differ(typing.NamedTuple):
    """The hosts in some of the buckets that differ.

    :param buckets: the buckets covered.
    :param versions: what the answering process holds in them.
    """

    buckets: tuple[int, ...]
    versions: tuple[Version, ...]


@wire.register(66)
class Fetch(typing.NamedTuple):
    """Asks for the records of some hosts; answered by Records."""

    hosts: tuple[str, ...]


@wire.register(67)
class Records(typing.NamedTuple):
    """Records that were asked for; none when the process is too busy."""

    records: tuple[Record, ...]


class News(typing.NamedTuple):
    """What somebody says of a host's liveness.

    :param host: the host.
    :param state: :data:`ALIVE`, :data:`SUSPECT` or :data:`DEAD`.
    :param incarnation: the incarnation that it is said of.
    :param by: who suspects it; empty otherwise.
    """

    host: str
    state: int
    incarnation: int
    by: str = ''


class Digests(typing.NamedTuple):
    """What two processes compare with every probe.

    :param records: digest of the records of live hosts.
    :param liveness: digest of the incarnations of live hosts.
    """

    records: int
    liveness: int


@wire.register(68)
class Ping(typing.NamedTuple):
    """A direct probe; answered by an Ack.

    :param to: the host that is meant: another one may have its address now.
    :param nonce: pairs the Ack with it.
    :param known: the incarnation that the sender knows of ``to``.
    :param host: the sender's host.
    :param digests: the sender's digests.
    :param news: what spreads with it.
    """

    to: str
    nonce: int
    known: int
    host: str
    digests: Digests
    news: tuple[News, ...] = ()


@wire.register(69)
class Ack(typing.NamedTuple):
    """The answer to a Ping.

    :param nonce: of the Ping.
    :param host: the host that answers.
    :param incarnation: its incarnation.
    :param digests: its digests.
    :param news: what spreads with it.
    """

    nonce: int
    host: str
    incarnation: int
    digests: Digests
    news: tuple[News, ...] = ()


@wire.register(70)
class Relay(typing.NamedTuple):
    """Asks another process to probe a host; answered by a Relayed.

    :param to: the host to probe.
    :param nonce: pairs the answer with it.
    """

    to: str
    nonce: int


@wire.register(71)
class Relayed(typing.NamedTuple):
    """The answer to a Relay.

    :param nonce: of the Relay.
    :param reached: whether the host answered.
    :param incarnation: the incarnation that it answered with.
    """

    nonce: int
    reached: bool
    incarnation: int = 0


@wire.register(72)
class Rumour(typing.NamedTuple):
    """News on its own, while there is some.

    :param host: the sender's host.
    :param news: the news.
    """

    host: str
    news: tuple[News, ...]


@wire.register(73)
class Push(typing.NamedTuple):
    """A record, straight from its host to one that sends there."""

    record: Record


@wire.register(74)
class Pushed(typing.NamedTuple):
    """The answer to a Push: it arrived.

    :param incarnation: of the record.
    :param sequence: of the record.
    """

    incarnation: int
    sequence: int


@wire.register(75)
class Interest(typing.NamedTuple):
    """Tells a host that the sender sends requests to its upstreams.

    :param host: the sender's host.
    """

    host: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Body)
_VERSIONS = msgspec.msgpack.Decoder(tuple[Version, ...])


def pack(body: Body) -> bytes:
    """Encode the body of a record."""
    return zlib.compress(_ENCODER.encode(body), wbits=RAW_DEFLATE)


def pack_versions(versions: tuple[Version, ...]) -> bytes:
    """Encode versions; names of hosts have much in common."""
    return zlib.compress(_ENCODER.encode(versions), wbits=RAW_DEFLATE)


def unpack_versions(data: bytes) -> tuple[Version, ...] | None:
    """Decode versions; None where they are malformed or too many."""
    return _inflate(data, _VERSIONS)


def ends_upstreams(old: Record | None, new: Record) -> bool:
    """Tell whether a record ends work at upstreams of the former one.

    Nodes must hear of that at once, or they send new work there.
    """
    if new.left:
        return True
    before, after = _states(old), _states(new)
    return any(
        after.get(name) != interfaces.UP
        for name, state in before.items()
        if state == interfaces.UP
    ) or any(
        name not in before
        for name, state in after.items()
        if state != interfaces.UP
    )


def _states(record: Record | None) -> dict[tuple[str, int], str]:
    """Return the states of upstreams in a record, by id and incarnation."""
    body = None if record is None else unpack(record.body)
    if body is None:
        return {}
    return {
        (row.id, row.incarnation): STATES[row.state] for row in body.upstreams
    }


class Unpacked(typing.NamedTuple):
    """What the body of a record holds.

    :param body: None when it is malformed.
    :param left_out: upstreams of it that can't be, and are not in it.
    """

    body: Body | None
    left_out: int = 0


def unpack(data: bytes) -> Body | None:
    """Decode the body of a record, see :func:`read`."""
    return unpack_usable(data).body


def unpack_usable(data: bytes) -> Unpacked:
    """Decode the body of a record, without the upstreams that can't be."""
    body = _decode(data)
    if body is None or all(map(bounds.row_ok, body.upstreams)):
        return Unpacked(body)
    usable = tuple(row for row in body.upstreams if bounds.row_ok(row))
    left_out = len(body.upstreams) - len(usable)
    return Unpacked(body._replace(upstreams=usable), left_out)


def _decode(data: bytes) -> Body | None:
    body = _inflate(data, _DECODER)
    return body if body is not None and bounds.body_ok(body) else None


def _inflate(data: bytes, decoder: msgspec.msgpack.Decoder) -> typing.Any:
    """Decode compressed msgpack; None where it is malformed or too large."""
    inflater = zlib.decompressobj(RAW_DEFLATE)
    try:
        text = inflater.decompress(data, MAX_BODY_BYTES)
        return decoder.decode(text) if inflater.eof else None
    except (zlib.error, msgspec.DecodeError, ValueError, RecursionError):
        return None
