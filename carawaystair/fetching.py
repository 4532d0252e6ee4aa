"""Reads the next version of the configuration from another process."""

import asyncio
import typing

from carawaystair import distribution
from carawaystair import interfaces
from carawaystair import lag
from carawaystair import routing
from carawaystair import rows
from carawaystair import table as tables

# A question without an answer is given up so soon and asked elsewhere.
CALL_S = 0.5
# Buckets in one piece of a whole table, from processes that don't tell.
OLD_PIECE = 4


class Fetched(typing.NamedTuple):
    """What one process told.

    :param answer: its last answer.
    :param table: the table of the version in ``answer.delta``; None when
        the process has nothing newer.
    """

    answer: distribution.Answer
    table: tables.Table | None = None


class Reader:
    """Reads versions from other processes, and counts what it reads.

    :param transport: messages to other processes.
    :param name: name of the asking host.
    """

    def __init__(self, transport: interfaces.Transport, name: str) -> None:
        self.transport = transport
        self.name = name
        self.counts = lag.Counts()

    async def fetch(
        self,
        address: str,
        kind: type,
        held: routing.Routing,
        whole: bool = True,
    ) -> Fetched | None:
        """Read one step, or a whole table in pieces.

        When the version changes between two pieces, those read so far are
        dropped: together they would be a mixture of two versions.  Who
        answers keeps to one version for as long as it is read.

        :param address: the process to ask.
        :param kind: ``distribution.Ask`` or ``distribution.AskPeer``.
        :param held: what the asker has.
        :param whole: whether a whole table is wanted where there is no step.
        :return: None when there was no answer, or no step.
        """
        reading, start, pieces = rows.NONE, 0, tables.EMPTY
        while True:
            ask = kind(held.version, self.name, reading, start)
            result = await self.transport.call(address, ask, CALL_S)
            if result.is_error():
                return None
            answer: distribution.Answer = result.ok
            delta = answer.delta
            if delta is None:
                return Fetched(answer)
            if delta.base != rows.NONE:
                self._count(steps=1)
                return Fetched(answer, await _apply(held.table, delta))
            if not whole:
                return None
            if delta.version != reading:
                self._count(tables_begun=1)
                reading, start, pieces = delta.version, 0, tables.EMPTY
            pieces = await _apply(pieces, delta)
            start = answer.after or start + OLD_PIECE
            if not answer.more:
                self._count(tables_read=1)
                return Fetched(answer, pieces)

    def _count(self, **more: int) -> None:
        sums = {
            name: getattr(self.counts, name) + n for name, n in more.items()
        }
        self.counts = self.counts._replace(**sums)


async def _apply(table: tables.Table, delta: rows.Delta) -> tables.Table:
    """Apply a delta without keeping requests waiting for long.

    A step that touches many buckets takes tens of milliseconds; other tasks
    run between two buckets.
    """
    change = tables.Change(table, delta.put, delta.drop)
    while change.step():
        await asyncio.sleep(0)
    return change.table()
