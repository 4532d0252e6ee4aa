"""Messages of the reservations, wire numbers 100 to 119."""

import itertools
import typing

from carawaystair.reservations import placement_table
from carawaystair import wire

# What a replica says to an ask.
YES = 1  # it holds the key for the asking token
HELD = 2  # it holds the key for another token
SETTLED = 3  # the request ran; here is its answer
DIGEST_ONLY = 4  # the request ran; its answer was not kept
REUSED = 5  # the key stands for another request
FULL = 6  # no memory left
CUSTOMER_FULL = 7  # the customer's share of the memory is used up
NOT_ACTIVE = 8  # no active replica of the partition at the epoch asked for

# Placements in one answer at most.
MAX_ROWS = 128

# What a control host says that could not have a change decided.
UNDECIDED = -1

# Why a replica fetches the keys of another one.
TAKE_OVER = 1  # it is new in an epoch
RECOVER = 2  # its process started again within an epoch

# How the other one stands.
NOT_READY = 0  # it doesn't know the keys itself
SEALED = 1  # it was active in the epoch before and votes there no more
ACTIVE = 2  # it votes in the epoch
STALE_SESSION = 3  # it knows a greater session of the asking host


@wire.register(100)
class Ask(typing.NamedTuple):
    """Asks a replica to hold a key for a token.

    :param partition: of the key.
    :param epoch: of the placement that the asking node knows.
    :param name: of the key, see ``names.name``.
    :param token: of the attempt; the replica's vote is for it alone.
    :param digest: of the request.
    :param customer: see ``names.customer``.
    :param window_s: how long the key must be remembered.
    """

    partition: int
    epoch: int
    key_digest: bytes
    token: bytes
    request_digest: bytes
    customer_id: int
    window_s: float


@wire.register(101)
class Vote(typing.NamedTuple):
    """A replica's answer to an :class:`Ask`.

    :param token: of the ask.
    :param epoch: of the placement under which it answers.
    :param verdict: one of the constants of this module.
    :param sessions: the newest sessions of the placement's members, in
        their order, that the replica knows; its own is among them.
    :param holder: the token that holds the key here.
    :param status: HTTP status of a settled request.
    :param answer: its answer, or the answer's digest when it was not kept.
    """

    token: bytes
    epoch: int
    verdict: int
    sessions: tuple[int, ...] = ()
    holder: bytes = b''
    status: int = 0
    answer: bytes = b''


@wire.register(102)
class Settle(typing.NamedTuple):
    """Tells a replica that the request of a token ran, and its answer.

    :param kept: whether ``answer`` is the answer or only its digest.
    :param age_s: how long ago the token won the key.
    """

    partition: int
    epoch: int
    key_digest: bytes
    token: bytes
    status: int
    answer_kept: bool
    answer: bytes
    age_s: float


@wire.register(103)
class Release(typing.NamedTuple):
    """Tells a replica that the request of a token never ran nor will."""

    partition: int
    epoch: int
    key_digest: bytes
    token: bytes


@wire.register(104)
class Done(typing.NamedTuple):
    """Acknowledges a :class:`Settle` or :class:`Release`.

    Only a replica that was active when it stored the outcome says so.

    :param token: of that message.
    """

    token: bytes


@wire.register(105)
class Fetch(typing.NamedTuple):
    """Asks for the keys of a partition.

    :param row: the placement that the asking replica knows.
    :param host: the asking replica.
    :param session: its session.
    :param why: :data:`TAKE_OVER` or :data:`RECOVER`.
    :param start: of the page.
    """

    placement: placement_table.Placement
    host: str
    session: int
    reason: int
    start: int


class Entry(typing.NamedTuple):
    """One key as it travels.

    :param name: of the key.
    :param left_s: until its window has passed.
    :param data: the packed record.
    """

    key_digest: bytes
    remaining_s: float
    record: bytes


class Row(typing.NamedTuple):
    """A placement whose replicas are numbers of a list beside it."""

    partition: int
    epoch: int
    version: int
    members: tuple[int, ...]
    previous_members: tuple[int, ...] = ()


@wire.register(108)
class Rows(typing.NamedTuple):
    """Placements, in answer to :class:`AskRows` or unasked.

    :param space: None when the asker has it already.
    :param replicas: those that the rows refer to.
    :param rows: the placements.
    :param more: whether there are more.
    """

    key_space: placement_table.KeySpace | None
    replicas: tuple[placement_table.Replica, ...]
    rows: tuple[Row, ...]
    more: bool = False


@wire.register(106)
class Page(typing.NamedTuple):
    """A part of the keys of a partition.

    :param standing: how the answering replica stands, a constant above.
    :param session: the asker's session that it knows, with :data:`BEHIND`.
    :param sessions: hosts and their newest sessions that it knows.
    :param entries: keys.
    :param next: start of the next page, 0 at the end.
    :param rows: newer placements than the asker's.
    """

    state: int
    session: int = 0
    sessions: tuple[tuple[str, int], ...] = ()
    entries: tuple[Entry, ...] = ()
    next_start: int = 0
    rows: Rows | None = None


@wire.register(107)
class AskRows(typing.NamedTuple):
    """Asks control or a peer for newer placements.

    :param version: of the ledger, as known to the asking process.
    :param stamp: placements after this stamp ...
    :param partition: ... and, with the same stamp, after this partition.
    """

    key_space_version: int
    after_version: int
    after_partition: int


@wire.register(113)
class AskPeerRows(typing.NamedTuple):
    """The same question to a node, while control does not answer."""

    key_space_version: int
    after_version: int
    after_partition: int


@wire.register(109)
class Propose(typing.NamedTuple):
    """Proposes a change of the ledger to a control host.

    :param data: see ``ledger.encode``.
    """

    change: bytes


@wire.register(110)
class Proposed(typing.NamedTuple):
    """Answers :class:`Propose`.

    :param applied: how many parts of the change were applied, or
        :data:`UNDECIDED`.
    """

    applied: int


@wire.register(111)
class Probe(typing.NamedTuple):
    """Asks a host which partitions it holds, before it is chosen.

    :param partitions: those of interest.
    """

    partitions: tuple[int, ...]


@wire.register(112)
class Probed(typing.NamedTuple):
    """Answers :class:`Probe`.

    :param replica: the host with its present session.
    :param active: partitions that it is active in, with their epochs.
    :param used: share of its memory for keys that is used.
    """

    replica: placement_table.Replica
    active_epochs: tuple[tuple[int, int], ...]
    memory_used: float


def pack_rows(
    placements: typing.Sequence[placement_table.Placement],
    key_space: placement_table.KeySpace | None = None,
    more: bool = False,
) -> Rows:
    """Return placements with each replica written once."""
    chains = (
        itertools.chain(p.members, p.previous_members) for p in placements
    )
    replicas = dict.fromkeys(itertools.chain.from_iterable(chains))
    indexes = {replica: index for index, replica in enumerate(replicas)}
    rows = tuple(
        Row(
            p.partition,
            p.epoch,
            p.version,
            tuple(indexes[m] for m in p.members),
            tuple(indexes[m] for m in p.previous_members),
        )
        for p in placements
    )
    return Rows(key_space, tuple(replicas), rows, more)


def newer_rows(
    table: placement_table.PlacementTable,
    ask: AskRows | AskPeerRows,
    limit: int = MAX_ROWS,
) -> Rows:
    """Return what a book has that is newer than the asker's."""
    found = table.newer_than(ask.after_version, ask.after_partition, limit + 1)
    newer = table.key_space.version > ask.key_space_version
    key_space = table.key_space if newer else None
    return pack_rows(found[:limit], key_space, len(found) > limit)


def unpack_rows(message: Rows) -> list[placement_table.Placement]:
    """Return the placements of :func:`pack`; broken rows are left out."""
    replicas = message.replicas
    return [
        placement_table.Placement(
            row.partition,
            row.epoch,
            row.version,
            tuple(replicas[index] for index in row.members),
            tuple(replicas[index] for index in row.previous_members),
        )
        for row in message.rows
        if all(
            0 <= index < len(replicas)
            for index in (*row.members, *row.previous_members)
        )
    ]
