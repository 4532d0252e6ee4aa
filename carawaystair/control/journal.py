"""The journal: an append-only file of checksummed rows, in segments.

Everything that a replica must not forget is one kind of row: its term and
vote, the entries of its log, and where the log begins after a snapshot was
installed.  Nothing is ever overwritten; an entry row with an index that was
there before replaces that entry and all later ones.

A row on disk is a header of 24 bytes and a payload::

    length u32 | crc32c u32 | sequence u64 | synced u64 | payload

The checksum covers all that follows it.  ``sequence`` numbers the rows
without a gap, so that a missing row or segment shows.  ``synced`` is the last
sequence that was known to be on disk when the row was written: a damaged row
below it was acknowledged, so that its loss is corruption; one above it was
not, and is cut off.
"""

import struct
import typing

import crc32c
import msgspec

from carawaystair.control import files as files_module

FORMAT = 1
HEAD = struct.Struct('<IIQQ')
# Where the part of the header that the checksum covers begins.
COVERED = 8
PREFIX = 'segment-'
SEGMENT_BYTES = 4 * 1024 * 1024
# A longer row is never written, so that a damaged length is seen as such.
MAX_ROW_BYTES = 16 * 1024 * 1024

# Kinds of rows.
START = 0  # first row of a segment; repeats the newest term and vote
HARD = 1  # a new term or vote
ENTRY = 2  # an entry of the log
RESET = 3  # the log is empty and goes on after (term, index)


class Row(typing.NamedTuple):
    """One row.

    :param kind: one of the kinds above.
    :param term: the term of the entry, or the current term.
    :param index: the index of the entry, or 0.
    :param sort: the entry's kind; the format's number in START rows.
    :param data: the entry's content, or the vote.
    """

    kind: int
    term: int
    index: int = 0
    sort: int = 0
    data: bytes = b''


class Segment(typing.NamedTuple):
    """A segment that is complete.

    :param name: its file.
    :param last: the highest index of an entry or reset in it.
    """

    name: str
    last: int


_ENCODE = msgspec.msgpack.Encoder().encode


def encode(row: Row, sequence: int, synced: int) -> bytes:
    """Return the bytes of one row."""
    payload = _ENCODE(row)
    head = HEAD.pack(len(payload), 0, sequence, synced)
    check = crc32c.crc32c(payload, crc32c.crc32c(head[COVERED:]))
    return HEAD.pack(len(payload), check, sequence, synced) + payload


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return '%s%012d' % (PREFIX, number)


def segment_number(name: str) -> int:
    """Return the number in the file name of a segment."""
    return int(name.removeprefix(PREFIX))


class Journal:
    """Writes rows; every call blocks.

    A failed sync leaves the journal unusable: the kernel may have dropped
    the pages and marked them clean, so that a second sync would succeed
    without the data being there.  A write for which there is no room does
    not: its rows were never synced, and are cut off before the next write.

    :param files: the folder.
    :param segment_bytes: a segment is closed once it is this long.
    """

    def __init__(
        self,
        files: files_module.Files,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self.files = files
        self.segment_bytes = segment_bytes
        self.closed: list[Segment] = []
        self.number = 0
        self.size = 0
        self.last = 0
        self.sequence = 0
        self.synced = 0
        self.hard = Row(HARD, 0)
        self.broken = False
        # Whether the newest segment has bytes beyond ``size``.
        self.torn = False

    def commit(self, rows: typing.Sequence[Row]) -> None:
        """Write rows and return once they are on disk.

        :raises OSError: when the disk failed, now or earlier, or is full.
        """
        if self.broken:
            raise OSError('the journal failed before')
        try:
            if self.torn:
                self.files.cut(segment_name(self.number), self.size)
                self.torn = False
            if not self.number or self.size >= self.segment_bytes:
                self._rotate()
            if not self.size:
                self._begin()
            self._write(rows)
            self.files.sync(segment_name(self.number))
        except OSError:
            self.broken = not self.torn
            raise
        self.synced = self.sequence

    def drop_before(self, index: int) -> None:
        """Remove the oldest segments, as far as all their entries are
        below ``index``.
        """
        while self.closed and self.closed[0].last < index:
            self.files.remove(self.closed.pop(0).name)

    def _write(self, rows: typing.Sequence[Row]) -> None:
        before = self.last, self.sequence, self.hard
        data = b''.join(self._encode(row) for row in rows)
        try:
            self.files.append(segment_name(self.number), data)
        except OSError as error:
            self.last, self.sequence, self.hard = before
            self.torn = error.errno in files_module.FULL
            raise
        self.size += len(data)

    def _encode(self, row: Row) -> bytes:
        self.sequence += 1
        self.last = max(self.last, row.index)
        if row.kind == HARD:
            self.hard = row
        return encode(row, self.sequence, self.synced)

    def _rotate(self) -> None:
        """Close the newest segment, if there is one, and go on to the next."""
        if self.number:
            name = segment_name(self.number)
            self.closed.append(Segment(name, self.last))
        self.number += 1
        self.size = 0

    def _begin(self) -> None:
        """Begin a segment that can be read without those before it."""
        # The highest index, not the last one, since a truncated entry must
        # stay readable until what replaced it is dropped as well.
        start = Row(START, self.hard.term, 0, FORMAT, self.hard.data)
        self._write([start])
        self.files.sync(segment_name(self.number))
        self.files.sync_folder()
