"""Messages between control hosts, wire numbers 20 to 39."""

import typing

from carawaystair.control import group as groups
from carawaystair.control import log as log_module
from carawaystair.control import state_files
from carawaystair import rows
from carawaystair import wire


@wire.register(20)
class Vote(typing.NamedTuple):
    """A candidate asks for a vote.

    :param group: id of its group.
    :param term: the term that it stands in.
    :param identity: its identity.
    :param last_term: term of the last entry of its log.
    :param last_index: index of that entry.
    :param trial: whether it only asks what the answer would be (pre-vote).
    :param handover: whether the leader asked it to stand.
    """

    group: str
    term: int
    identity: str
    last_term: int
    last_index: int
    trial: bool = False
    handover: bool = False


@wire.register(21)
class VoteAnswer(typing.NamedTuple):
    """The answer to :class:`Vote`.

    :param term: the term of the host that answers.
    :param identity: its identity.
    :param granted: whether the candidate has its vote.
    """

    term: int
    identity: str
    granted: bool


@wire.register(22)
class Append(typing.NamedTuple):
    """The leader sends entries, or none as a heartbeat.

    :param group: id of the group.
    :param term: the leader's term.
    :param leader: its identity.
    :param prev_term: term of the entry before the first one sent.
    :param prev_index: index of that entry.
    :param commit: index of the last committed entry.
    :param entries: the entries.
    :param round: comes back in the answer, to confirm that the leader led
        after it asked.
    :param age_ms: how long ago a quorum last confirmed the leader.
    :param known: what voters acknowledged, so that it outlives the leader.
    :param member: the identity that the leader means to send to.
    """

    group: str
    term: int
    leader: str
    prev_term: int
    prev_index: int
    commit: int
    entries: tuple[log_module.Entry, ...] = ()
    round: int = 0
    age_ms: int = 0
    known: tuple[tuple[str, state_files.Known], ...] = ()
    member: str = ''


@wire.register(23)
class Appended(typing.NamedTuple):
    """The answer to :class:`Append`, sent once its entries are on disk.

    :param term: the follower's term.
    :param identity: its identity.
    :param start: how often a process has started on its disk.
    :param ok: whether its log agrees up to ``match``.
    :param match: the last index that agrees; when not ``ok``, the last that
        may.
    :param prev_index: the one of the question.
    :param round: the one of the question.
    """

    term: int
    identity: str
    start: int
    ok: bool
    match: int
    prev_index: int
    round: int = 0


@wire.register(24)
class Install(typing.NamedTuple):
    """The leader sends a piece of its snapshot.

    :param group: id of the group.
    :param term: the leader's term.
    :param leader: its identity.
    :param last_term: term of the snapshot.
    :param last_index: index of the snapshot.
    :param offset: where the piece begins.
    :param total: bytes of the whole.
    :param data: the piece.
    """

    group: str
    term: int
    leader: str
    last_term: int
    last_index: int
    offset: int
    total: int
    data: bytes


@wire.register(25)
class Installed(typing.NamedTuple):
    """The answer to :class:`Install`.

    :param term: the follower's term.
    :param identity: its identity.
    :param received: bytes received so far, where the next piece begins.
    :param done: whether the snapshot is on disk and in force.
    """

    term: int
    identity: str
    received: int
    done: bool = False


@wire.register(26)
class RollCall(typing.NamedTuple):
    """A host that starts asks what the others know of it.

    :param name: its name.
    :param identity: its identity.
    :param peer: its ``ip:port`` for messages.
    :param fresh: whether its disk has never belonged to a group.
    """

    name: str
    identity: str
    peer: str
    fresh: bool


@wire.register(27)
class Present(typing.NamedTuple):
    """The answer to :class:`RollCall`.

    :param name: the name of the host that answers.
    :param identity: its identity.
    :param fresh: whether its disk has never belonged to a group.
    :param group: the members as it knows them.
    :param known: what it saw the caller promise.
    :param leader: ``ip:port`` of the leader, or empty.
    :param place: term and index of the entry that made the group.
    """

    name: str
    identity: str
    fresh: bool
    group: groups.Group
    known: state_files.Known
    leader: str = ''
    place: tuple[int, int] = (0, 0)


@wire.register(28)
class Found(typing.NamedTuple):
    """The first host of the settings founds a group.

    :param group: the group.
    """

    group: groups.Group


@wire.register(29)
class Rejoin(typing.NamedTuple):
    """A host with a new disk asks the leader to be a learner.

    :param name: its name, which the group must know.
    :param identity: its new identity.
    :param peer: its ``ip:port`` for messages.
    """

    name: str
    identity: str
    peer: str


@wire.register(30)
class Propose(typing.NamedTuple):
    """A host passes a change on to the leader.

    :param data: the entry of the state machine.
    """

    data: bytes


@wire.register(31)
class MemberChange(typing.NamedTuple):
    """A host passes a change of the members on to the leader.

    :param action: ``add``, ``promote`` or ``remove``.
    :param name: the member's name.
    :param peer: its ``ip:port`` for messages, to add it.
    """

    action: str
    name: str
    peer: str = ''


@wire.register(32)
class Outcome(typing.NamedTuple):
    """The leader's answer to :class:`Propose`, :class:`MemberChange`,
    :class:`Rejoin` and :class:`Confirm`.

    :param code: number of the result code.
    :param detail: the detail of a failure.
    :param version: of the entry, or the committed version.
    :param data: the state machine's result.
    """

    code: int
    detail: str = ''
    version: rows.Version = rows.NONE
    data: bytes = b''


@wire.register(33)
class Confirm(typing.NamedTuple):
    """A host asks the leader for the index that a read must reach."""


@wire.register(34)
class Handover(typing.NamedTuple):
    """A leader that stops asks a follower to stand at once.

    :param term: the leader's term.
    :param leader: its identity.
    """

    term: int
    leader: str


@wire.register(35)
class Hello(typing.NamedTuple):
    """The leader asks a host for its identity, to add it."""
