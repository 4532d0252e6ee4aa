"""The state machine of submissions: what the replicated log decides.

An entry carries what it changes and not the whole manifest.  Every replica
takes the same decision on it, by nothing but the state that the entries
before it made: who wins when two submissions have the same parent, and which
answer an id gets, are therefore the same everywhere and for ever, also when
the leader changes between a submission and its repetition.
"""

import collections
import typing
import zlib

import msgspec

from carawaystair import codes
from carawaystair.control import interfaces
from carawaystair.control import versions
from carawaystair import invariants
from carawaystair import rows

# Answers that are remembered: a day's worth at 10,000 changes a day.
MAX_ANSWERS = 10_000
# A longer entry does not fit one message between control hosts.
MAX_ENTRY_BYTES = 3 * 1024 * 1024
# Entries are packed from this length on.
PACK_BYTES = 16 * 1024
PACK_LEVEL = 1
# A packed entry that grows beyond this is not unpacked.
MAX_CHANGE_BYTES = 48 * 1024 * 1024

PLAIN = b'p'
PACKED = b'z'


class Change(typing.NamedTuple):
    """An entry of the log.

    :param id: of the submission.
    :param author: who sent it.
    :param kind: ``interfaces.SUBMIT`` or ``interfaces.ROLLBACK``.
    :param wall_ms: wall clock of the host that took it, ms since 1970.
    :param content: digest of all that the sender sent, 16 bytes, so that an
        id which comes back with other content is noticed.
    :param parent: digest of the table that it was built on.
    :param digest: digest of the table that it wants.
    :param put: rows added or changed.
    :param drop: rows removed.
    """

    id: str
    author: str
    kind: str
    wall_ms: int
    content: bytes
    parent: bytes
    digest: bytes
    put: tuple[tuple[str, bytes], ...]
    drop: tuple[str, ...]


class Answer(typing.NamedTuple):
    """What a submission got, for ever.

    :param content: as in :class:`Change`.
    :param code: number of the result code.
    :param version: the version that holds the wanted content; on a conflict
        the one in force.
    :param digest: digest of that version's table.
    :param detail: the detail of a refusal.
    """

    content: bytes
    code: int
    version: rows.Version
    digest: bytes
    detail: str = ''


class Image(typing.NamedTuple):
    """The whole state, in a snapshot.

    :param version: the version in force.
    :param digest: digest of its table.
    :param table: its rows.
    :param answers: the answers, oldest first.
    :param steps: the newest versions, oldest first.
    """

    version: rows.Version
    digest: bytes
    table: rows.Table
    answers: tuple[tuple[str, Answer], ...]
    steps: tuple[versions.Step, ...]


_ENCODE = msgspec.msgpack.Encoder().encode
_CHANGES = msgspec.msgpack.Decoder(Change)
_ANSWERS = msgspec.msgpack.Decoder(Answer)
_IMAGES = msgspec.msgpack.Decoder(Image)


def encode(change: Change) -> bytes:
    """Return the bytes of an entry."""
    data = _ENCODE(change)
    if len(data) < PACK_BYTES:
        return PLAIN + data
    return PACKED + zlib.compress(data, PACK_LEVEL)


def decode(data: bytes) -> Change | None:
    """Return the entry, or None when it is not one."""
    try:
        body = data[1:]
        if data[:1] == PACKED:
            unpack = zlib.decompressobj()
            body = unpack.decompress(body, MAX_CHANGE_BYTES)
            if not unpack.eof:
                return None
        return _CHANGES.decode(body)
    except (msgspec.DecodeError, zlib.error, UnicodeDecodeError):
        return None


def decode_answer(data: bytes) -> Answer:
    """Return the answer that :meth:`Submissions.apply` gave."""
    return _ANSWERS.decode(data)


class Submissions:
    """The state machine, see ``machine.Machine``.

    :param max_answers: see :data:`MAX_ANSWERS`.
    """

    def __init__(self, max_answers: int = MAX_ANSWERS) -> None:
        self.max_answers = max_answers
        self.version = rows.NONE
        self.digest = b''
        self.table: rows.Table = {}
        self.answers: collections.OrderedDict[str, Answer] = (
            collections.OrderedDict()
        )
        self.versions = versions.Versions()
        self.callbacks: list[typing.Callable[[rows.Version], None]] = []

    # The machine

    def apply(self, version: rows.Version, entry: bytes) -> bytes:
        """Decide on one entry and return the encoded :class:`Answer`."""
        change = decode(entry)
        if change is None:
            # It stands in the log of every replica: refusing it here does
            # no harm, raising would stop them all, again at every start.
            return _ENCODE(self._refuse(b'', codes.MESSAGE_MALFORMED, ''))
        answer = self._known(change) or self._decide(version, change)
        self._remember(change.id, answer)
        return _ENCODE(answer)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _ENCODE(
            Image(
                self.version,
                self.digest,
                self.table,
                tuple(self.answers.items()),
                self.versions.steps(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Take the state of a snapshot."""
        image = _IMAGES.decode(data)
        self._monotone(image.version)
        self.version, self.digest, self.table = image[:3]
        self.answers = collections.OrderedDict(image.answers)
        self.versions = versions.Versions(image.steps)
        self._tell()

    # Deciding

    def _known(self, change: Change) -> Answer | None:
        """Return the answer that an id already has."""
        answer = self.answers.get(change.id)
        if answer is None or answer.content == change.content:
            return answer
        if answer.code != codes.OK.number:
            # A refused id may come back with other content.
            return None
        detail = '%s made %s' % (change.id, answer.version)
        return self._refuse(change.content, codes.ID_REUSED, detail)

    def _decide(self, version: rows.Version, change: Change) -> Answer:
        if change.digest == self.digest:
            # What is wanted is in force already, by whomever.
            return self._answer(change)
        if change.parent != self.digest:
            return self._conflict(change)
        table, digest = self._changed(change)
        if digest != change.digest:
            # The sender's host computed the change on another table.
            return self._conflict(change)
        self._accept(version, change, table)
        return self._answer(change)

    def _changed(self, change: Change) -> tuple[rows.Table, bytes]:
        """Return the changed table and its digest, at the cost of a copy
        and of the rows that change.
        """
        table = dict(self.table)
        total = int.from_bytes(self.digest)
        for key in change.drop:
            total -= _row_digest(key, table.pop(key, None))
        for key, value in change.put:
            total -= _row_digest(key, table.get(key))
            total += rows.row_digest(key, value)
            table[key] = value
        return table, (total % rows.MODULUS).to_bytes(16)

    def _accept(
        self, version: rows.Version, change: Change, table: rows.Table
    ) -> None:
        self._monotone(version)
        record = interfaces.Record(
            version,
            self.version,
            change.digest,
            change.id,
            change.author,
            change.kind,
            change.wall_ms,
            len(change.put),
            len(change.drop),
        )
        undo = versions.undo_of(self.table, change.put, change.drop)
        step = versions.Step(record, change.put, change.drop, *undo)
        self.versions.add(step)
        self.version = version
        self.digest = change.digest
        self.table = table
        self._tell()

    def _monotone(self, version: rows.Version) -> None:
        invariants.check(
            invariants.VERSION_MONOTONE,
            version >= self.version,
            '%s after %s' % (version, self.version),
        )

    def _tell(self) -> None:
        for callback in self.callbacks:
            callback(self.version)

    # Answers

    def _answer(self, change: Change) -> Answer:
        return Answer(
            change.content, codes.OK.number, self.version, self.digest
        )

    def _conflict(self, change: Change) -> Answer:
        winner = self.versions.winner(change.parent)
        detail = 'version %s is in force' % (self.version,)
        if winner is not None:
            detail = 'version %s by %s has the same parent; %s' % (
                winner.version,
                winner.author,
                detail,
            )
        return self._refuse(change.content, codes.CONFLICT, detail)

    def _refuse(self, content: bytes, code: codes.Code, detail: str) -> Answer:
        return Answer(content, code.number, self.version, self.digest, detail)

    def _remember(self, submission_id: str, answer: Answer) -> None:
        before = self.answers.get(submission_id)
        if before is not None and before.code == codes.OK.number:
            return
        self.answers[submission_id] = answer
        while len(self.answers) > self.max_answers:
            self.answers.popitem(last=False)


def _row_digest(key: str, value: bytes | None) -> int:
    return 0 if value is None else rows.row_digest(key, value)
