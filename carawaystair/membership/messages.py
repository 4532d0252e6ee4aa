"""Messages between the membership services, and the records of hosts.

Wire numbers 60 to 79.  Records travel over links, probes in datagrams.
"""

import typing
import zlib

import msgspec

from carawaystair import interfaces
from carawaystair.membership import bounds
from carawaystair import wire

# Liveness states of a host, as encoded in messages.
ALIVE = 0
SUSPECT = 1
DEAD = 2
LEFT = 3
STATE_NAMES = ('alive', 'suspect', 'dead', 'left')

# The liveness incarnation of a host holds the start number of its process in
# the upper bits and the number of refutations since then in these lower bits.
REFUTATION_BITS = bounds.REFUTATION_BITS

# States of an upstream inside a record; a record omits upstreams that left.
STATES = (interfaces.UP, interfaces.DRAINING)
MILLI = bounds.MILLI
# Upper limit of a decompressed body.  Bodies are compressed, which halves
# their size in memory and on the wire and lets them fit a datagram.
# Decompression stops at the limit: a few hundred compressed bytes could
# otherwise expand to gigabytes.
MAX_BODY_BYTES = 64 * 1024
RAW_DEFLATE = -15


def first_incarnation(start: int) -> int:
    """Return the first liveness incarnation of a process.

    :param start: the incarnation of its record.
    """
    return start << REFUTATION_BITS


def process_start(incarnation: int) -> int:
    """Return the process start number inside a liveness incarnation."""
    return incarnation >> REFUTATION_BITS


class Row(typing.NamedTuple):
    """One upstream inside a record.

    :param id: id of the upstream.
    :param service: name of its service.
    :param address: ``ip:port``.
    :param slots: number of requests that it serves at the same time.
    :param weight: weight for balancing, in thousandths of the normal weight.
    :param warmup_ms: milliseconds from its start to full load.
    :param state: index into :data:`STATES`.
    :param incarnation: increases with every start of the upstream.
    :param sequence: sequence number of the record at the last change of the
        upstream.
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
    """Contents of a record.

    :param data_centre: the data centre of the host.
    :param region: the region of the data centre.
    :param peer: ``ip:port`` that accepts links.
    :param gossip: ``ip:port`` that accepts datagrams.
    :param control: whether the host is a control host only.
    :param upstreams: the upstreams of the host, without those that left.
    """

    data_centre: str
    region: str
    peer: str
    gossip: str
    control: bool
    upstreams: tuple[Row, ...] = ()


class Record(typing.NamedTuple):
    """Everything that one host announces, versioned by its process.

    A newer record replaces the older one as a whole; an upstream that is
    missing from it has left.  A delayed older record can therefore not bring
    back an upstream that left, and no tombstone per upstream is needed.

    :param host: name of the host.
    :param incarnation: start number of its process; increases with every
        start.
    :param sequence: increases with every change within an incarnation.
    :param left: whether the process has left for good; the record is then
        the tombstone of the host.
    :param body: an encoded :class:`Body`; stored and forwarded in encoded
        form.
    """

    host: str
    incarnation: int
    sequence: int
    left: bool
    body: bytes

    @property
    def version(self) -> tuple[int, int]:
        """Return the version by which records of one host are ordered."""
        return self.incarnation, self.sequence


@wire.register(60)
class Hello(typing.NamedTuple):
    """Asks a seed to admit the sender to the fleet; answered by a Greeting.

    :param record: the record of the process.
    """

    record: Record


@wire.register(61)
class Greeting(typing.NamedTuple):
    """Answers a Hello.

    :param incarnation: highest incarnation known of the process that asked,
        which must raise its own above it; 0 when the process was admitted.
    :param records: records of some members, which can be asked for the rest.
    """

    incarnation: int
    records: tuple[Record, ...]


@wire.register(62)
class Batch(typing.NamedTuple):
    """Records that are new to the sender, forwarded along the overlay.

    :param records: the records.
    """

    records: tuple[Record, ...]


@wire.register(63)
class Taken(typing.NamedTuple):
    """Acknowledges a Batch.

    :param newer: the receiver's records of hosts for which it holds a newer
        one than the batch.
    """

    newer: tuple[Record, ...] = ()


@wire.register(76)
class Offer(typing.NamedTuple):
    """Lists record versions that the sender can send; answered by a Wanted.

    :param versions: encoded by :func:`pack_versions`.
    """

    versions: bytes


@wire.register(77)
class Wanted(typing.NamedTuple):
    """Answers an Offer.

    :param hosts: hosts whose records the receiver lacks.
    :param already_requested: hosts whose records it lacks, too, but has
        requested from another process; these are to be offered again.
    """

    hosts: tuple[str, ...]
    already_requested: tuple[str, ...] = ()


# Kinds of digests that can be compared.
RECORDS = 0
LIVENESS = 1


@wire.register(64)
class Compare(typing.NamedTuple):
    """Compares digests for anti-entropy; answered by a Differ.

    :param kind: :data:`RECORDS` or :data:`LIVENESS`.
    :param buckets: digests of the sender's buckets, 8 bytes each.
    """

    kind: int
    buckets: bytes


class Version(typing.NamedTuple):
    """The version that a process holds of one host.

    :param host: name of the host.
    :param incarnation: incarnation of its record, or of its liveness.
    :param sequence: sequence number of its record; 0 for liveness.
    """

    host: str
    incarnation: int
    sequence: int


@wire.register(65)
class Differ(typing.NamedTuple):
    """Answers a Compare with the hosts in some of the buckets that differ.

    :param buckets: numbers of the buckets that the answer covers.
    :param versions: versions that the answering process holds in them.
    """

    buckets: tuple[int, ...]
    versions: tuple[Version, ...]


@wire.register(66)
class Fetch(typing.NamedTuple):
    """Requests the records of some hosts; answered by Records."""

    hosts: tuple[str, ...]


@wire.register(67)
class Records(typing.NamedTuple):
    """Answers a Fetch; empty when the sender has used up its byte rate."""

    records: tuple[Record, ...]


class News(typing.NamedTuple):
    """A statement about the liveness of a host.

    :param host: name of the host.
    :param state: :data:`ALIVE`, :data:`SUSPECT` or :data:`DEAD`.
    :param incarnation: liveness incarnation that the statement refers to.
    :param suspected_by: the host that suspects it; empty for other states.
    """

    host: str
    state: int
    incarnation: int
    suspected_by: str = ''


class Digests(typing.NamedTuple):
    """The digests that two processes compare with every probe.

    :param records: digest of the records of live hosts.
    :param liveness: digest of the incarnations of live hosts.
    """

    records: int
    liveness: int


@wire.register(68)
class Ping(typing.NamedTuple):
    """A direct probe; answered by an Ack.

    :param target: the probed host; another host may have taken over its
        address.
    :param nonce: matches the Ack to the Ping.
    :param known_incarnation: incarnation of the target known to the sender.
    :param host: the sender's host.
    :param digests: the sender's digests.
    :param news: liveness news piggybacked on the probe.
    """

    target: str
    nonce: int
    known_incarnation: int
    host: str
    digests: Digests
    news: tuple[News, ...] = ()


@wire.register(69)
class Ack(typing.NamedTuple):
    """Answers a Ping.

    :param nonce: nonce of the Ping.
    :param host: the host that answers.
    :param incarnation: its liveness incarnation.
    :param digests: its digests.
    :param news: liveness news piggybacked on the answer.
    """

    nonce: int
    host: str
    incarnation: int
    digests: Digests
    news: tuple[News, ...] = ()


@wire.register(70)
class Relay(typing.NamedTuple):
    """Requests an indirect probe from a helper; answered by a Relayed.

    :param target: the host to probe.
    :param nonce: matches the answer to the request.
    """

    target: str
    nonce: int


@wire.register(71)
class Relayed(typing.NamedTuple):
    """Answers a Relay.

    :param nonce: nonce of the Relay.
    :param reached: whether the probed host answered.
    :param incarnation: incarnation of the probed host known to the helper.
    """

    nonce: int
    reached: bool
    incarnation: int = 0


@wire.register(72)
class Rumour(typing.NamedTuple):
    """Liveness news sent without a probe, while any is queued.

    :param host: the sender's host.
    :param news: the news.
    """

    host: str
    news: tuple[News, ...]


@wire.register(73)
class Push(typing.NamedTuple):
    """A record sent directly by its host to a registered process."""

    record: Record


@wire.register(74)
class Pushed(typing.NamedTuple):
    """Acknowledges a Push.

    :param incarnation: incarnation of the record.
    :param sequence: sequence number of the record.
    """

    incarnation: int
    sequence: int


@wire.register(75)
class Interest(typing.NamedTuple):
    """Registers the sender as a process that uses upstreams of the host.

    :param host: the sender's host.
    """

    host: str


class Departure(typing.NamedTuple):
    """An upstream that leaves or has left, as its node acknowledged.

    :param id: id of the upstream.
    :param incarnation: its incarnation; 0 if the node knew none.
    :param state: index into :data:`DEPARTURE_STATES`.
    :param remaining_ms: time for which it must be remembered, ms.
    """

    id: str
    incarnation: int
    state: int
    remaining_ms: int


# States of an upstream that leaves.
DEPARTURE_STATES = (interfaces.DRAINING, interfaces.GONE)


@wire.register(78)
class KeepDepartures(typing.NamedTuple):
    """Asks a process to remember departures; answered by KeptDepartures.

    :param host: host of the upstreams, which is the sender's.
    :param departures: may be empty, to ask for what is remembered.
    """

    host: str
    departures: tuple[Departure, ...] = ()


@wire.register(79)
class KeptDepartures(typing.NamedTuple):
    """Answers a KeepDepartures.

    :param departures: all that is remembered of the host.
    :param complete: whether the sender has all departures that it was ever
        given and that are to be remembered; false after a start without them.
    :param group: ``ip:port`` of the control hosts that vote, as far as the
        sender knows.
    :param group_index: place in their log where they became so; 0 if unknown.
    """

    departures: tuple[Departure, ...]
    complete: bool = False
    group: tuple[str, ...] = ()
    group_index: int = 0


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Body)
_VERSIONS = msgspec.msgpack.Decoder(tuple[Version, ...])


def pack(body: Body) -> bytes:
    """Encode the body of a record."""
    return zlib.compress(_ENCODER.encode(body), wbits=RAW_DEFLATE)


def pack_versions(versions: tuple[Version, ...]) -> bytes:
    """Encode versions, compressed since host names resemble each other."""
    return zlib.compress(_ENCODER.encode(versions), wbits=RAW_DEFLATE)


def unpack_versions(data: bytes) -> tuple[Version, ...] | None:
    """Decode versions; return None if they are malformed or too large."""
    return _inflate(data, _VERSIONS)


def ends_upstreams(old: Record | None, new: Record) -> bool:
    """Tell whether upstreams of the old record stop taking new requests.

    Nodes must learn this at once, or they keep sending requests there.
    """
    if new.left:
        return True
    before, after = _upstream_states(old), _upstream_states(new)
    return any(
        after.get(name) != interfaces.UP
        for name, state in before.items()
        if state == interfaces.UP
    ) or any(
        name not in before
        for name, state in after.items()
        if state != interfaces.UP
    )


def _upstream_states(record: Record | None) -> dict[tuple[str, int], str]:
    """Return the states of a record's upstreams by id and incarnation."""
    body = None if record is None else unpack(record.body)
    if body is None:
        return {}
    return {
        (row.id, row.incarnation): STATES[row.state] for row in body.upstreams
    }


class Unpacked(typing.NamedTuple):
    """The decoded body of a record.

    :param body: None when the body is malformed.
    :param left_out: number of upstreams that were dropped as invalid.
    """

    body: Body | None
    left_out: int = 0


def unpack(data: bytes) -> Body | None:
    """Decode the body of a record, see :func:`unpack_usable`."""
    return unpack_usable(data).body


def unpack_usable(data: bytes) -> Unpacked:
    """Decode the body of a record and drop upstreams with invalid values."""
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
    """Decode compressed msgpack; return None if malformed or too large."""
    inflater = zlib.decompressobj(RAW_DEFLATE)
    try:
        text = inflater.decompress(data, MAX_BODY_BYTES)
        return decoder.decode(text) if inflater.eof else None
    except (zlib.error, msgspec.DecodeError, ValueError, RecursionError):
        return None
