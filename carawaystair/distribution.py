"""Distribution of accepted versions: messages and the answering side.

Versions travel as deltas from one to the next; a node that is too far behind
gets the whole table in pieces.  A control host answers :class:`Ask`, a node
answers :class:`AskPeer` from what it has in force itself.
"""

import typing

from carawaystair import rows
from carawaystair import table as tables
from carawaystair import wire

# Rows of a step in one message; a longer one travels as a whole table, in
# pieces.
MAX_STEP = 2000
# Steps that a node keeps for its peers.
KEPT_DELTAS = 64


@wire.register(40)
class Ask(typing.NamedTuple):
    """Asks a control host for what came after a version.

    :param have: the version that the asker has in force.
    :param host: name of the asking host.
    :param whole: the version whose table is being read in pieces, or
        :data:`rows.NONE`.
    :param start: buckets of it to pass over.
    """

    have: rows.Version
    host: str = ''
    whole: rows.Version = rows.NONE
    start: int = 0


@wire.register(43)
class AskPeer(typing.NamedTuple):
    """Asks a node the same; the fields are those of :class:`Ask`."""

    have: rows.Version
    host: str = ''
    whole: rows.Version = rows.NONE
    start: int = 0


@wire.register(41)
class Answer(typing.NamedTuple):
    """Answers :class:`Ask` and :class:`AskPeer`.

    :param newest: the newest version that the answerer has.
    :param delta: a step on from ``have``; or a piece of the whole table,
        with base :data:`rows.NONE`; or None when there is nothing newer.
    :param more: whether further pieces of the whole table follow.
    :param confirmed: whether a quorum of control vouches that no newer
        version was accepted before this answer.
    """

    newest: rows.Version
    delta: rows.Delta | None = None
    more: bool = False
    confirmed: bool = False


@wire.register(42)
class News(typing.NamedTuple):
    """Tells that a version exists; the hearer asks for it.

    :param version: the version.
    """

    version: rows.Version


class Source(typing.Protocol):
    """Where accepted versions come from."""

    def version(self) -> rows.Version:
        """Return the newest version."""

    def table(self) -> tables.Table:
        """Return its rows."""

    def delta_since(self, version: rows.Version) -> rows.Delta | None:
        """Return the step on from ``version``, if it is still kept."""


def answer(
    source: Source, ask: Ask | AskPeer, confirmed: bool = False
) -> Answer:
    """Answer a question from what ``source`` holds.

    :param confirmed: passed on, see :class:`Answer`.
    """
    newest = source.version()
    if newest <= ask.have:
        return Answer(newest, confirmed=confirmed)
    step = source.delta_since(ask.have)
    if step is not None and len(step.put) <= MAX_STEP:
        return Answer(newest, step, confirmed=confirmed)
    # A reader whose table changed under it starts over with the new one.
    start = ask.start if ask.whole == newest else 0
    return _piece(source, newest, start, confirmed)


def _piece(
    source: Source, newest: rows.Version, start: int, confirmed: bool
) -> Answer:
    table = source.table()
    put = table.piece(start)
    delta = rows.Delta(rows.NONE, newest, put, (), table.digest())
    more = start + tables.PIECE < tables.BUCKETS
    return Answer(newest, delta, more, confirmed)


class Steps:
    """The newest steps from one version to the next, a bounded number.

    :param limit: how many to keep.
    """

    def __init__(self, limit: int = KEPT_DELTAS) -> None:
        self.limit = limit
        self.by_base: dict[rows.Version, rows.Delta] = {}

    def add(self, delta: rows.Delta) -> None:
        """Keep a step; drops the oldest beyond the limit."""
        self.by_base[delta.base] = delta
        while len(self.by_base) > self.limit:
            self.by_base.pop(next(iter(self.by_base)))

    def after(self, version: rows.Version) -> rows.Delta | None:
        """Return the step on from ``version``, if it is still kept."""
        return self.by_base.get(version)

    def clear(self) -> None:
        """Forget all steps: they no longer join up."""
        self.by_base.clear()
