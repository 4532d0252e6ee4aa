"""Distribution of accepted versions: the messages.

Versions travel as steps from one to a newer one, long ones in pieces; a node
that is too far behind reads a whole table in pieces.  A control host answers
:class:`Ask`, a node answers :class:`AskPeer` from what it has in force, or
with :class:`NotReady`.
"""

import typing

from carawaystair import rows
from carawaystair import wire

# Buckets in a piece of a whole table, from and to processes that don't tell
# where it ends.
OLD_PIECE = 4


@wire.register(40)
class Ask(typing.NamedTuple):
    """Asks a control host for what came after a version.

    :param have: the version that the asker has in force.
    :param host: name of the asking host.
    :param whole: the version that is being read in pieces, or
        :data:`rows.NONE`.
    :param start: buckets of a table, or rows of a step, to pass over.
    :param parts: whether the asker takes a step in pieces, too.
    :param in_step: whether it is in the middle of a step, not of a table.
    """

    have: rows.Version
    host: str = ''
    whole: rows.Version = rows.NONE
    start: int = 0
    parts: bool = False
    in_step: bool = False


@wire.register(43)
class AskPeer(typing.NamedTuple):
    """Asks a node the same; the fields are those of :class:`Ask`."""

    have: rows.Version
    host: str = ''
    whole: rows.Version = rows.NONE
    start: int = 0
    parts: bool = False
    in_step: bool = False


@wire.register(41)
class Answer(typing.NamedTuple):
    """Answers :class:`Ask` and :class:`AskPeer`.

    :param newest: the newest version that the answerer has.
    :param delta: a step on from ``have``, or a piece of it; or a piece of
        the whole table, with base :data:`rows.NONE`; or None when there is
        nothing newer.
    :param more: whether further pieces follow.
    :param confirmed: whether a quorum of control vouches that no newer
        version was accepted before this answer.
    :param after: buckets of the whole table, or rows of the step, up to the
        end of this piece; 0 from processes that don't tell.
    """

    newest: rows.Version
    delta: rows.Delta | None = None
    more: bool = False
    confirmed: bool = False
    after: int = 0


@wire.register(44)
class NotReady(typing.NamedTuple):
    """Answers :class:`AskPeer` for a node that does not serve yet.

    :param host: name of the answering host.
    """

    host: str


@wire.register(42)
class News(typing.NamedTuple):
    """Tells that a version exists; the hearer asks for it.

    :param version: the version.
    """

    version: rows.Version
