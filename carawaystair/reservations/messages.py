"""Messages of the reservations, with wire numbers 100 to 119."""

import itertools
import typing

from carawaystair.reservations import placement_table
from carawaystair import wire

# Verdicts of a replica on an ask.
YES = 1  # the replica holds the key for the asking token
HELD = 2  # the replica holds the key for another token
SETTLED = 3  # the request ran; the vote carries its answer
DIGEST_ONLY = 4  # the request ran; only the digest of its answer is stored
REUSED = 5  # the key belongs to a request with another digest
FULL = 6  # no memory left
CUSTOMER_FULL = 7  # the customer's share of the memory is used up
NOT_ACTIVE = 8  # no active replica of the partition in the asked epoch

# Maximum number of placements in one message.
MAX_ROWS = 128

# Answer of a control host that could not get a change committed.
UNDECIDED = -1

# Reasons to fetch the keys of another replica.
TAKE_OVER = 1  # the fetching replica is new in the epoch
RECOVER = 2  # its process restarted within the epoch

# States of the replica that keys are fetched from.
NOT_READY = 0  # it doesn't have the keys itself
SEALED = 1  # it was active in the previous epoch and no longer votes there
ACTIVE = 2  # it votes in the epoch
STALE_SESSION = 3  # it knows a greater session of the asking host


@wire.register(100)
class Ask(typing.NamedTuple):
    """Asks a replica to hold a key for a token.

    :param partition: partition of the key.
    :param epoch: epoch of the placement that the asking node knows.
    :param key_digest: see ``identifiers.key_digest``.
    :param token: token of the attempt; the vote is for this token only.
    :param request_digest: digest of the request.
    :param customer_id: see ``identifiers.customer_id``.
    :param window_s: how long the key must be remembered, seconds.
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

    :param token: token of the ask.
    :param epoch: epoch of the placement under which the replica answers.
    :param verdict: one of the constants of this module.
    :param sessions: newest known session of each member of the placement,
        in the order of the members, the replica itself included.
    :param holder: token that holds the key at the replica.
    :param status: HTTP status of a settled request.
    :param answer: answer of a settled request, or its digest with
        :data:`DIGEST_ONLY`.
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
    """Tells a replica that the request of a token ran, with the answer.

    :param answer_kept: whether ``answer`` is the answer or only its digest.
    :param age_s: seconds since the token won the key.
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
    """Tells a replica that the request of a token never ran and never will."""

    partition: int
    epoch: int
    key_digest: bytes
    token: bytes


@wire.register(104)
class Done(typing.NamedTuple):
    """Acknowledges a :class:`Settle` or :class:`Release`.

    Sent only by a replica that was active when it stored the outcome.

    :param token: token of the acknowledged message.
    """

    token: bytes


@wire.register(105)
class Fetch(typing.NamedTuple):
    """Asks for one page of the keys of a partition.

    :param placement: placement that the asking replica knows.
    :param host: host of the asking replica.
    :param session: session of the asking replica.
    :param reason: :data:`TAKE_OVER` or :data:`RECOVER`.
    :param start: index of the first key of the page.
    """

    placement: placement_table.Placement
    host: str
    session: int
    reason: int
    start: int


class Entry(typing.NamedTuple):
    """One key of a page.

    :param key_digest: digest of the key.
    :param remaining_s: seconds until the record expires.
    :param record: packed record, see ``store.pack``.
    """

    key_digest: bytes
    remaining_s: float
    record: bytes


class Row(typing.NamedTuple):
    """A placement whose replicas are indexes into :attr:`Rows.replicas`."""

    partition: int
    epoch: int
    version: int
    members: tuple[int, ...]
    previous_members: tuple[int, ...] = ()


@wire.register(108)
class Rows(typing.NamedTuple):
    """Placements, in answer to :class:`AskRows` or unsolicited.

    :param key_space: None if the asking process has the newest one.
    :param replicas: replicas that the rows refer to.
    :param rows: placements.
    :param more: whether further placements follow on another request.
    """

    key_space: placement_table.KeySpace | None
    replicas: tuple[placement_table.Replica, ...]
    rows: tuple[Row, ...]
    more: bool = False


@wire.register(106)
class Page(typing.NamedTuple):
    """Answers :class:`Fetch` with a part of the keys of a partition.

    :param state: state of the answering replica, one of the constants above.
    :param session: newest known session of the asking host; greater than
        its own with :data:`STALE_SESSION`.
    :param sessions: hosts with their newest known sessions.
    :param entries: keys of this page.
    :param next_start: start of the next page, 0 at the end.
    :param rows: placements that are newer than the one in the request.
    """

    state: int
    session: int = 0
    sessions: tuple[tuple[str, int], ...] = ()
    entries: tuple[Entry, ...] = ()
    next_start: int = 0
    rows: Rows | None = None


@wire.register(107)
class AskRows(typing.NamedTuple):
    """Asks a control host for newer placements.

    :param key_space_version: version of the key space that the asking
        process knows.
    :param after_version: return placements with a greater version ...
    :param after_partition: ... or the same version and a greater partition.
    """

    key_space_version: int
    after_version: int
    after_partition: int


@wire.register(113)
class AskPeerRows(typing.NamedTuple):
    """Asks another node the same while no control host answers."""

    key_space_version: int
    after_version: int
    after_partition: int


@wire.register(109)
class Propose(typing.NamedTuple):
    """Proposes a change of the placement state to a control host.

    :param change: see ``placement_state.encode``.
    """

    change: bytes


@wire.register(110)
class Proposed(typing.NamedTuple):
    """Answers :class:`Propose`.

    :param applied: number of parts of the change that were applied, or
        :data:`UNDECIDED`.
    """

    applied: int


@wire.register(111)
class Probe(typing.NamedTuple):
    """Asks a host for its session and its active partitions.

    :param partitions: partitions of interest.
    """

    partitions: tuple[int, ...]


@wire.register(112)
class Probed(typing.NamedTuple):
    """Answers :class:`Probe`.

    :param replica: the host with its current session.
    :param active_epochs: partitions that it is active in, with their epochs.
    :param memory_used: used share of its memory for keys.
    """

    replica: placement_table.Replica
    active_epochs: tuple[tuple[int, int], ...]
    memory_used: float


def pack_rows(
    placements: typing.Sequence[placement_table.Placement],
    key_space: placement_table.KeySpace | None = None,
    more: bool = False,
) -> Rows:
    """Return a message with placements, each replica listed once."""
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
    """Return the placements that are newer than those of the asker."""
    found = table.newer_than(ask.after_version, ask.after_partition, limit + 1)
    newer = table.key_space.version > ask.key_space_version
    key_space = table.key_space if newer else None
    return pack_rows(found[:limit], key_space, len(found) > limit)


def unpack_rows(message: Rows) -> list[placement_table.Placement]:
    """Reverse :func:`pack_rows`; leave out rows with invalid indexes."""
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
