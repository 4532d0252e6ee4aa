"""What the rest of a process knows of control.

The administration API submits manifests through :class:`Control`; the
distribution to nodes reads versions, tables and deltas from it.
"""

import typing

import expression

from carawaystair import codes
from carawaystair import rows
from carawaystair import shape

# Roles of a control host.
LEADER = 'leader'
FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEARNER = 'learner'
FAILED = 'failed'

# What a record of the history stands for.
SUBMIT = 'submit'
ROLLBACK = 'rollback'


class Submission(typing.NamedTuple):
    """A manifest that an operator wants in force.

    :param id: chosen by the sender; a repeated id gets the first answer.
    :param author: who sends it, for the history.
    :param parent: digest of the table that it was built on, 16 bytes; empty
        for the first manifest of a deployment.
    :param manifest: the JSON document.
    """

    id: str
    author: str
    parent: bytes
    manifest: bytes


class Rollback(typing.NamedTuple):
    """The wish to put the content of an earlier version in force again.

    :param id: as in :class:`Submission`.
    :param author: as in :class:`Submission`.
    :param parent: as in :class:`Submission`.
    :param to: the version to go back to; the result is a new version.
    """

    id: str
    author: str
    parent: bytes
    to: rows.Version


class Accepted(typing.NamedTuple):
    """The answer to an accepted submission.

    :param version: the version that holds its content.
    :param digest: digest of that version's table, 16 bytes: the parent of
        the next submission.
    """

    version: rows.Version
    digest: bytes


class Refusal(typing.NamedTuple):
    """Why something was not accepted.

    :param code: the numbered code.
    :param detail: what this occurrence concerns, for a person.
    :param mistakes: every mistake of a manifest that breaks rules.
    :param version: the version in force, on a conflict: the winner's.
    :param digest: digest of that version's table.
    :param leader: ``ip:port`` for messages of the leading control host,
        where one is known.
    """

    code: codes.Code
    detail: str = ''
    mistakes: tuple[shape.Mistake, ...] = ()
    version: rows.Version = rows.NONE
    digest: bytes = b''
    leader: str = ''

    def sentence(self) -> str:
        """Return the refusal as one line for a person."""
        return codes.Failure(self.code, self.detail).sentence()


class Record(typing.NamedTuple):
    """One accepted change, as the history keeps it.

    :param version: the version that it made.
    :param base: the version before it.
    :param digest: digest of the table of ``version``.
    :param id: id of the submission.
    :param author: who sent it.
    :param kind: :data:`SUBMIT` or :data:`ROLLBACK`.
    :param wall_ms: wall clock at the host that took it, ms since 1970.
    :param put: rows added or changed.
    :param drop: rows removed.
    """

    version: rows.Version
    base: rows.Version
    digest: bytes
    id: str
    author: str
    kind: str
    wall_ms: int
    put: int
    drop: int


class Voter(typing.NamedTuple):
    """A control host as the group knows it.

    :param name: name of its host.
    :param peer: its ``ip:port`` for messages.
    :param identity: names its disk: a host whose disk was lost comes back
        under another one.
    :param voting: False for a learner.
    """

    name: str
    peer: str
    identity: str = ''
    voting: bool = True


class Status(typing.NamedTuple):
    """The state of this control host.

    :param name: name of this host.
    :param role: one of the roles above.
    :param term: the newest term that it knows.
    :param leader: name of the leader, or empty.
    :param leader_peer: ``ip:port`` for messages of the leader, or empty.
    :param commit: index of the last entry known to be committed.
    :param applied: index of the last entry applied here.
    :param last: index of the last entry of its log.
    :param stale_s: seconds since it last was in touch with a leader that
        has a quorum; reads may be that old.  0 at such a leader itself.
    :param members: voters and learners.
    :param failure: why this host takes no part, when it does not.
    """

    name: str
    role: str
    term: int
    leader: str
    leader_peer: str
    commit: int
    applied: int
    last: int
    stale_s: float
    members: tuple[Voter, ...] = ()
    failure: codes.Failure | None = None


class Control(typing.Protocol):
    """The control role; a ``mode.Service`` made by ``make(kernel)``."""

    async def submit(
        self, submission: Submission
    ) -> expression.Result[Accepted, Refusal]:
        """Put a manifest in force, once.

        Any control host takes it; one that does not lead passes it on.  The
        answer comes when the change is committed and applied here.

        :return: ``Accepted``; or a refusal with ``MANIFEST_MALFORMED``,
            ``MANIFEST_INVALID``, ``CONFLICT``, ``NOT_LEADER`` (no quorum can
            be reached; not accepted, or if so under the same id later),
            ``STORAGE_FAILED`` or ``CHANGE_TOO_LARGE``.
        """

    async def rollback(
        self, rollback: Rollback
    ) -> expression.Result[Accepted, Refusal]:
        """Put the content of an earlier version in force as a new version."""

    async def preview(
        self, manifest: bytes
    ) -> expression.Result[rows.Delta, Refusal]:
        """Check a manifest and return what it would change; a dry run."""

    async def preview_rollback(
        self, to: rows.Version
    ) -> expression.Result[rows.Delta, Refusal]:
        """Return what a rollback would change, or ``VERSION_UNKNOWN``."""

    async def answer(
        self, submission_id: str
    ) -> expression.Result[Accepted, Refusal]:
        """Return the answer that a submission got, after it was lost.

        :return: the same as ``submit`` returned, or a refusal with
            ``SUBMISSION_UNKNOWN``.
        """

    async def current(self) -> expression.Result[rows.Version, Refusal]:
        """Return the version in force, confirmed by a quorum just now.

        After it this host's ``table`` is at that version or a later one.
        """

    def version(self) -> rows.Version:
        """Return the version applied here; it may be stale."""

    def digest(self) -> bytes:
        """Return the digest of the table applied here."""

    def table(self) -> rows.Table:
        """Return the table applied here; each version has its own object,
        which nobody may change.
        """

    def delta_since(self, version: rows.Version) -> rows.Delta | None:
        """Return what leads from ``version`` to the version applied here.

        :return: None when ``version`` is too old or unknown: then the whole
            table must be sent.
        """

    def history(self, limit: int = 100) -> tuple[Record, ...]:
        """Return the newest records, newest first."""

    def status(self) -> Status:
        """Return the state of this control host."""

    def subscribe(
        self, callback: typing.Callable[[rows.Version], None]
    ) -> None:
        """Call ``callback`` with each version once it is applied here."""

    async def add_learner(
        self, name: str, peer: str
    ) -> expression.Result[int, Refusal]:
        """Let a host follow the log without a vote; returns the index."""

    async def promote(self, name: str) -> expression.Result[int, Refusal]:
        """Give a learner that has caught up a vote."""

    async def remove(self, name: str) -> expression.Result[int, Refusal]:
        """Take a host out of the group."""
