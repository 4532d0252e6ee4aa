"""Reads the next version of the configuration from another process."""

import asyncio
import typing

import expression

from carawaystair import codes
from carawaystair import distribution
from carawaystair import interfaces
from carawaystair import lag
from carawaystair import routing
from carawaystair import rows
from carawaystair import table as tables

# A question without an answer is asked elsewhere as well after so long,
# seconds.
CALL_S = 0.5
# And given up after so long.  Were it given up as soon as it is asked
# elsewhere, no answer would ever come where all of them take longer.
PATIENCE_S = 3.0


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
        whole: bool,
        silent: asyncio.Event,
    ) -> Fetched | None:
        """Read one step or a whole table, in pieces where it is long.

        When the version changes between two pieces, those read so far are
        dropped: together they would be a mixture of two versions.  Who
        answers keeps to one version for as long as it is read.

        :param address: the process to ask.
        :param kind: ``distribution.Ask`` or ``distribution.AskPeer``.
        :param held: what the asker has.
        :param whole: whether a whole table is wanted where there is no step.
        :param silent: set while an answer takes long.
        :return: None when there was no answer, or no step, or when the
            process does not serve yet.
        """
        reading, start, pieces = rows.NONE, 0, _Pieces(held.table)
        in_step = False
        while True:
            ask = kind(held.version, self.name, reading, start, True, in_step)
            result = await self._call(address, ask, silent)
            if result.is_error():
                return None
            answer = result.ok
            if isinstance(answer, distribution.NotReady):
                return None
            delta = answer.delta
            if delta is None:
                return Fetched(answer)
            step = delta.base != rows.NONE
            if not step and not whole:
                return None
            if (delta.version, step) != (reading, in_step):
                reading, in_step, start = delta.version, step, 0
                pieces = _Pieces(held.table)
                self._count(tables_begun=int(not step))
            await pieces.add(delta)
            start = answer.after or start + distribution.OLD_PIECE
            if not answer.more:
                self._count(steps=int(step), tables_read=int(not step))
                return Fetched(answer, await pieces.table())

    async def _call(
        self, address: str, ask: typing.Any, silent: asyncio.Event
    ) -> expression.Result[
        distribution.Answer | distribution.NotReady, codes.Failure
    ]:
        """Ask once; tell when the answer takes long."""
        timer = asyncio.get_running_loop().call_later(CALL_S, silent.set)
        try:
            return await self.transport.call(address, ask, PATIENCE_S)
        finally:
            timer.cancel()

    def _count(self, **more: int) -> None:
        sums = {
            name: getattr(self.counts, name) + n for name, n in more.items()
        }
        self.counts = self.counts._replace(**sums)


class _Pieces:
    """What was read so far of a step or of a whole table.

    The pieces of a table hold different buckets, each of which is made once.
    Those of a step hold rows of any bucket, so that they are put together
    before they are applied.

    :param held: the table that a step leads from.
    """

    def __init__(self, held: tables.Table) -> None:
        self.held = held
        self.whole = tables.EMPTY
        self.steps: list[rows.Delta] = []

    async def add(self, delta: rows.Delta) -> None:
        """Take a piece."""
        if delta.base == rows.NONE:
            self.whole = await _apply(self.whole, delta)
        else:
            self.steps.append(delta)

    async def table(self) -> tables.Table:
        """Return the table that all pieces come to."""
        if not self.steps:
            return self.whole
        put, drop = rows.merge((step.put, step.drop) for step in self.steps)
        step = self.steps[-1]._replace(put=put, drop=drop)
        return await _apply(self.held, step)


async def _apply(table: tables.Table, delta: rows.Delta) -> tables.Table:
    """Apply a delta without keeping requests waiting for long.

    A step that touches many buckets takes tens of milliseconds; other tasks
    run between two buckets.
    """
    change = tables.Change(table, delta.put, delta.drop)
    while change.step():
        await asyncio.sleep(0)
    return change.table()
