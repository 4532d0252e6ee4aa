"""Answers questions for newer versions of the configuration.

A reader that is given something must get closer to the newest version with
each answer, however fast versions follow each other.  Two things stand in
the way of that.  A step that begins at one version only is of use to nobody
who skipped that version; and a table that changes while it is read in pieces
would have to be read from its beginning again, without an end.
"""

import collections
import typing

from carawaystair import clock
from carawaystair import distribution
from carawaystair import rows
from carawaystair import table as tables

# Rows of a step in one message; a longer one travels as a whole table, in
# pieces.
MAX_STEP = 2000
# Steps that a node keeps for its peers: 9 s of changes each 0.15 s.
KEPT_STEPS = 64

# A table that nobody read a piece of for so long is let go of, seconds: a
# reader gives up a question after 0.5 s and asks somebody else.
UNREAD_S = 2.0
# A reader who begins gets the newest table that others read, if it is not
# older than this, seconds: so that a table is put aside once in this time at
# most, and few are, without ever taking one away from its reader.
FRESH_S = 1.0
# Tables put aside at most.  Beyond them readers share the newest one.  They
# hold the buckets that have changed since, the others are shared.
MOST_TABLES = 16


class Source(typing.Protocol):
    """Where accepted versions come from."""

    def version(self) -> rows.Version:
        """Return the newest version."""

    def table(self) -> tables.Table:
        """Return its rows."""

    def delta_since(self, version: rows.Version) -> rows.Delta | None:
        """Return the step on from ``version``, if it is still kept."""


class Steps:
    """The newest steps of a node, each from where the one before led.

    :param limit: how many to keep.
    """

    def __init__(self, limit: int = KEPT_STEPS) -> None:
        self.kept: collections.deque[rows.Delta] = collections.deque(
            maxlen=limit
        )
        # By the version that is asked for: all peers ask for the same few.
        self.merged: dict[rows.Version, rows.Delta] = {}

    def add(self, delta: rows.Delta) -> None:
        """Keep a step; drops the oldest beyond the limit."""
        self.kept.append(delta)
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
        self.merged.clear()


def _joined(
    version: rows.Version, steps: typing.Sequence[rows.Delta]
) -> rows.Delta:
    put, drop = rows.merge((step.put, step.drop) for step in steps)
    newest = steps[-1]
    return rows.Delta(version, newest.version, put, drop, newest.digest)


class Reading:
    """A table of one version, put aside while others read it in pieces.

    :param version: the version.
    :param table: its rows.
    """

    def __init__(self, version: rows.Version, table: tables.Table) -> None:
        self.version = version
        self.table = table
        self.begun = self.used = clock.now()

    def piece(self, start: int) -> tuple[rows.Delta, int]:
        """Return one piece as a delta, and where the next one begins."""
        put, after = self.table.piece(start)
        digest = self.table.digest()
        return rows.Delta(rows.NONE, self.version, put, (), digest), after


class Answerer:
    """Answers questions from what a source holds.

    :param source: where versions come from.
    """

    def __init__(self, source: Source) -> None:
        self.source = source
        self.readings: dict[rows.Version, Reading] = {}

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
        # Whoever reads a table gets all of it as it was at the beginning.
        reading = self.readings.get(ask.whole)
        if reading is not None:
            return self._piece(reading, ask.start, newest, confirmed)
        step = self.source.delta_since(ask.have)
        if step is not None and len(step.put) <= MAX_STEP:
            return distribution.Answer(newest, step, confirmed=confirmed)
        return self._piece(self._begin(ask.have), 0, newest, confirmed)

    def _piece(
        self,
        reading: Reading,
        start: int,
        newest: rows.Version,
        confirmed: bool,
    ) -> distribution.Answer:
        reading.used = clock.now()
        delta, after = reading.piece(start)
        more = after < tables.BUCKETS
        return distribution.Answer(newest, delta, more, confirmed, after)

    def _begin(self, have: rows.Version) -> Reading:
        """Return the table that a new reader gets."""
        latest = self.readings.get(max(self.readings, default=rows.NONE))
        if latest is not None and latest.version > have:
            full = len(self.readings) >= MOST_TABLES
            if full or clock.now() - latest.begun < FRESH_S:
                return latest
        version = self.source.version()
        return self.readings.setdefault(
            version, Reading(version, self.source.table())
        )

    def sweep(self) -> None:
        """Let go of the tables that nobody reads any longer."""
        now = clock.now()
        self.readings = {
            version: reading
            for version, reading in self.readings.items()
            if now - reading.used < UNREAD_S
        }
