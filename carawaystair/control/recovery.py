"""Reads the journal back and tells a torn tail from corruption."""

import typing

import crc32c
import msgspec

from carawaystair import codes
from carawaystair.control import files as files_module
from carawaystair.control import journal as journals

# A sequence further ahead than this is noise, not a later row.
MAX_AHEAD = 1 << 32

_DECODER = msgspec.msgpack.Decoder(journals.Row)


class Corrupt(Exception):
    """The files cannot be what a replica wrote and synced.

    :param failure: the numbered code with the place.
    """

    def __init__(self, failure: codes.Failure) -> None:
        super().__init__(failure.sentence())
        self.failure = failure


class Found(typing.NamedTuple):
    """One valid row in the bytes of a segment.

    :param row: the row.
    :param sequence: its number.
    :param synced: what was known to be synced when it was written.
    :param end: offset of the byte after it.
    """

    row: journals.Row
    sequence: int
    synced: int
    end: int


class Recovered(typing.NamedTuple):
    """What the files hold.

    :param journal: ready to go on after the last row.
    :param rows: all rows, oldest first.
    :param cut: bytes of a torn tail that were cut off.
    """

    journal: journals.Journal
    rows: list[journals.Row]
    cut: int


def read_row(data: bytes, offset: int) -> Found | None:
    """Return the row at ``offset``, or None when there is no valid one."""
    begin = offset + journals.HEAD.size
    if begin > len(data):
        return None
    size, check, sequence, synced = journals.HEAD.unpack_from(data, offset)
    end = begin + size
    if size == 0 or size > journals.MAX_ROW_BYTES or end > len(data):
        return None
    covered = memoryview(data)[offset + journals.COVERED : end]
    if crc32c.crc32c(covered) != check:
        return None
    try:
        row = _DECODER.decode(data[begin:end])
    except msgspec.DecodeError:
        return None
    return Found(row, sequence, synced, end)


def later_row(data: bytes, offset: int, sequence: int) -> Found | None:
    """Return a row after a damaged one that proves it had been synced.

    Pages of an unsynced write reach the disk in any order, so that a torn
    batch may hold good rows behind bad ones.  Only a row that says that
    ``sequence`` was synced before it proves corruption.
    """
    for start in range(offset + 1, len(data) - journals.HEAD.size):
        head = journals.HEAD.unpack_from(data, start)
        size, _check, number, synced = head
        plausible = 0 < size <= journals.MAX_ROW_BYTES
        if not plausible or not sequence <= synced < number:
            continue
        if number - sequence > MAX_AHEAD:
            continue
        found = read_row(data, start)
        if found is not None:
            return found
    return None


class _Reader:
    """Reads the segments in order."""

    def __init__(self, files: files_module.Files) -> None:
        self.files = files
        self.journal = journals.Journal(files)
        self.rows: list[journals.Row] = []
        self.cut = 0

    def read(self) -> Recovered:
        """Read every segment."""
        names = [
            name
            for name in self.files.names()
            if name.startswith(journals.PREFIX)
        ]
        for position, name in enumerate(names):
            self._segment(name, position == len(names) - 1)
        if self.journal.number:
            # A process that was killed may not have synced what is read.
            self.files.sync(journals.segment_name(self.journal.number))
            self.files.sync_folder()
        self.journal.synced = self.journal.sequence
        return Recovered(self.journal, self.rows, self.cut)

    def _segment(self, name: str, newest: bool) -> None:
        journal = self.journal
        if journal.number:
            closed = journals.Segment(
                journals.segment_name(journal.number), journal.last
            )
            journal.closed.append(closed)
        journal.number = journals.segment_number(name)
        data = self.files.read(name)
        offset = 0
        while offset < len(data):
            found = read_row(data, offset)
            if found is None:
                self._damaged(name, data, offset, newest)
                break
            self._take(name, offset, found)
            offset = found.end
        journal.size = offset
        if offset == 0:
            self._empty(name, newest)

    def _take(self, name: str, offset: int, found: Found) -> None:
        journal = self.journal
        row = found.row
        first = not journal.sequence and row.kind == journals.START
        if found.sequence != journal.sequence + 1 and not first:
            text = 'row %d follows row %d' % (found.sequence, journal.sequence)
            raise corrupt(name, offset, text)
        if (row.kind == journals.START) != (offset == 0):
            raise corrupt(name, offset, 'the segment does not begin here')
        if row.kind == journals.START and row.sort != journals.FORMAT:
            raise corrupt(name, offset, 'format %d is unknown' % row.sort)
        journal.sequence = found.sequence
        journal.last = max(journal.last, row.index)
        if row.kind in (journals.START, journals.HARD):
            journal.hard = row._replace(kind=journals.HARD, sort=0)
        self.rows.append(row)

    def _damaged(
        self, name: str, data: bytes, offset: int, newest: bool
    ) -> None:
        """Cut a torn tail; anything else is corruption."""
        expected = self.journal.sequence + 1
        if not newest:
            raise corrupt(name, offset, 'row %d is damaged' % expected)
        later = later_row(data, offset, expected)
        if later is not None:
            text = 'row %d is damaged; it was synced before row %d'
            raise corrupt(name, offset, text % (expected, later.sequence))
        self.cut = len(data) - offset
        self.files.cut(name, offset)

    def _empty(self, name: str, newest: bool) -> None:
        """Forget a segment that was begun but never synced."""
        alone = not self.journal.closed and self.journal.number > 1
        if not newest or alone:
            raise corrupt(name, 0, 'the segment is empty')
        self.files.remove(name)
        self.journal.number = 0
        if self.journal.closed:
            before = self.journal.closed.pop()
            self.journal.number = journals.segment_number(before.name)
            self.journal.size = self.journal.segment_bytes


def corrupt(name: str, offset: int, text: str) -> Corrupt:
    """Return the exception for a defect of the log."""
    detail = '%s at byte %d: %s' % (name, offset, text)
    return Corrupt(codes.Failure(codes.LOG_CORRUPT, detail))


def read(files: files_module.Files) -> Recovered:
    """Read the journal of a folder.

    :raises Corrupt: when a synced row is damaged or missing.
    :raises OSError: when the disk cannot be read.
    """
    return _Reader(files).read()
