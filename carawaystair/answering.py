"""Answers questions for newer versions of the configuration.

A reader that is given something must get closer to the newest version with
each answer, however fast versions follow each other.  Two things stand in
the way of that.  A step that begins at one version only is of use to nobody
who skipped that version; and a table that changes while it is read in pieces
would have to be read from its beginning again, without an end.
"""

import collections
import itertools
import typing

from carawaystair import clock
from carawaystair import distribution
from carawaystair import rows
from carawaystair import table as tables

# Rows of a step in one message to processes that don't take steps in parts;
# a longer one travels to them as a whole table.
MAX_STEP = 2000
# Steps that a node keeps for its peers: 9 s of changes each 0.15 s.
KEPT_STEPS = 64
# Bytes of their rows at most, but for the newest one.
KEPT_BYTES = 1024 * 1024

# What is put aside and nobody read a piece of for so long is let go of,
# seconds: a reader gives up a question after 0.5 s and asks somebody else.
UNREAD_S = 2.0
# A reader who begins gets the newest table that others read, if it is not
# older than this, seconds: so that a table is put aside once in this time at
# most, and few are, without ever taking one away from its reader.
FRESH_S = 1.0
# Tables put aside at most.  Beyond them readers share the newest one.  They
# hold the buckets that have changed since, the others are shared.
MOST_TABLES = 16
# Long steps and tables put aside at most.  Beyond them a reader who has no
# step of its own there gets a whole table.
MOST = 64


class Source(typing.Protocol):
    """Where accepted versions come from."""

    def version(self) -> rows.Version:
        """Return the newest version."""

    def table(self) -> tables.Table:
        """Return its rows."""

    def delta_since(self, version: rows.Version) -> rows.Delta | None:
        """Return the step on from ``version``, if it is still kept."""


class Piece(typing.NamedTuple):
    """A piece of what is read in pieces.

    :param delta: its rows, with the digest of the whole.
    :param after: where the next piece begins.
    :param more: whether there is one.
    """

    delta: rows.Delta
    after: int
    more: bool


class Steps:
    """The newest steps of a node, each from where the one before led.

    :param limit: how many to keep.
    """

    def __init__(self, limit: int = KEPT_STEPS) -> None:
        self.limit = limit
        self.kept: collections.deque[rows.Delta] = collections.deque()
        self.size = 0
        # By the version that is asked for: all peers ask for the same few.
        self.merged: dict[rows.Version, rows.Delta] = {}

    def add(self, delta: rows.Delta) -> None:
        """Keep a step; drops the oldest beyond the limits."""
        self.kept.append(delta)
        self.size += delta.size()
        while len(self.kept) > 1 and (
            len(self.kept) > self.limit or self.size > KEPT_BYTES
        ):
            self.size -= self.kept.popleft().size()
        self.merged.clear()

    def after(self, version: rows.Version) -> rows.Delta | None:
        """Return one step from a version to the newest, if it is known.

        Nodes take several versions at a time, so that the one asked for may
        lie within a step of this node.  That step holds as they are now all
        rows that change after its base: the rows that change after the
        version asked for, and some that the asker has already.
        """
        if version not in self.merged:
            steps = [step for step in self.kept if step.version > version]
            if not steps or steps[0].base > version:
                return None
            if len(self.merged) >= KEPT_STEPS:
                self.merged.clear()
            self.merged[version] = _joined(version, steps)
        return self.merged[version]

    def clear(self) -> None:
        """Forget all steps: they no longer join up."""
        self.kept.clear()
        self.size = 0
        self.merged.clear()


def _joined(
    version: rows.Version, steps: typing.Sequence[rows.Delta]
) -> rows.Delta:
    put, drop = rows.merge((step.put, step.drop) for step in steps)
    newest = steps[-1]
    return rows.Delta(version, newest.version, put, drop, newest.digest)


class Reading(typing.Protocol):
    """What is put aside while others read it in pieces.

    :param begun: monotonic time of the first piece.
    :param used: of the last one.
    """

    begun: float
    used: float

    def piece(self, start: int, parts: bool) -> Piece:
        """Return the piece that begins at ``start``.

        :param parts: see ``distribution.Ask``.
        """


class TableReading:
    """A table of one version.

    :param version: the version.
    :param table: its rows.
    """

    def __init__(self, version: rows.Version, table: tables.Table) -> None:
        self.version = version
        self.table = table
        self.begun = self.used = clock.now()

    def piece(self, start: int, parts: bool) -> Piece:
        """Return the piece that begins at a bucket."""
        # Processes that don't take steps in parts don't look where a piece
        # ends, and would pass over what a shorter one leaves out.
        count = 0 if parts else distribution.OLD_PIECE
        put, after = self.table.piece(start, count)
        digest = self.table.digest()
        delta = rows.Delta(rows.NONE, self.version, put, (), digest)
        return Piece(delta, after, after < tables.BUCKETS)


class StepReading:
    """A step that is too long for one message.

    :param step: the step.
    """

    def __init__(self, step: rows.Delta) -> None:
        self.step = step
        # Keys that are dropped have no value.
        self.changes = (*step.put, *((key, None) for key in step.drop))
        self.begun = self.used = clock.now()

    def piece(self, start: int, parts: bool) -> Piece:
        """Return the piece that begins at a row; drops come behind puts."""
        del parts
        start = max(start, 0)
        after = start + _that_fit(self.changes[start:])
        part = self.changes[start:after]
        put = tuple(row for row in part if row[1] is not None)
        drop = tuple(key for key, value in part if value is None)
        delta = self.step._replace(put=put, drop=drop)
        return Piece(delta, after, after < len(self.changes))


def _that_fit(changes: typing.Sequence[tuple[str, bytes | None]]) -> int:
    """Return how many rows go into one message, one at least."""
    sizes = (len(key) + len(value or b'') for key, value in changes)
    sums = itertools.accumulate(sizes)
    fits = itertools.takewhile(lambda size: size <= tables.PIECE_BYTES, sums)
    return max(sum(1 for _size in fits), 1)


class Answerer:
    """Answers questions from what a source holds.

    :param source: where versions come from.
    """

    def __init__(self, source: Source) -> None:
        self.source = source
        # By the version that a reader has, NONE for whole tables, and the
        # one that it reads.
        self.readings: dict[tuple[rows.Version, rows.Version], Reading] = {}

    def answer(
        self,
        ask: distribution.Ask | distribution.AskPeer,
        confirmed: bool = False,
    ) -> distribution.Answer:
        """Answer one question.

        :param confirmed: passed on, see ``distribution.Answer``.
        """
        self.sweep()
        newest = self.source.version()
        if newest <= ask.have:
            return distribution.Answer(newest, confirmed=confirmed)
        reading, start = self._under_way(ask), ask.start
        if reading is None:
            step = self.source.delta_since(ask.have)
            if step is not None and _is_short(step, ask.parts):
                return distribution.Answer(newest, step, confirmed=confirmed)
            reading, start = self._begin(ask, step), 0
        reading.used = clock.now()
        piece = reading.piece(start, ask.parts)
        return distribution.Answer(
            newest, piece.delta, piece.more, confirmed, piece.after
        )

    def _under_way(
        self, ask: distribution.Ask | distribution.AskPeer
    ) -> Reading | None:
        """Return what the asker is in the middle of reading.

        It gets all of it as it was at the beginning, whatever is newest now.
        """
        base = ask.have if ask.in_step else rows.NONE
        return self.readings.get((base, ask.whole))

    def _begin(
        self,
        ask: distribution.Ask | distribution.AskPeer,
        step: rows.Delta | None,
    ) -> Reading:
        """Return what a new reader gets, in pieces."""
        useful = step is not None and ask.parts and ask.have != rows.NONE
        if not useful or len(self.readings) >= MOST:
            return self._begin_table(ask.have)
        key = (ask.have, step.version)
        return self.readings.setdefault(key, StepReading(step))

    def _begin_table(self, have: rows.Version) -> Reading:
        known = [
            version for base, version in self.readings if base == rows.NONE
        ]
        latest = self.readings.get((rows.NONE, max(known, default=rows.NONE)))
        if latest is not None and latest.version > have:
            full = len(known) >= MOST_TABLES
            if full or clock.now() - latest.begun < FRESH_S:
                return latest
        version = self.source.version()
        return self.readings.setdefault(
            (rows.NONE, version), TableReading(version, self.source.table())
        )

    def sweep(self) -> None:
        """Let go of what nobody reads any longer."""
        now = clock.now()
        self.readings = {
            key: reading
            for key, reading in self.readings.items()
            if now - reading.used < UNREAD_S
        }


def _is_short(step: rows.Delta, parts: bool) -> bool:
    """Tell whether a step goes in one message.

    :param parts: whether the asker would take it in parts.
    """
    if not parts:
        return len(step.put) <= MAX_STEP
    return step.size() <= tables.PIECE_BYTES
