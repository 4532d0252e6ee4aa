"""The audit trail: accepted changes and refused attempts.

Accepted changes stand in the replicated history, which every control host
has and keeps.  Refused ones are kept by the host that refused them, a bounded
number of them, so that a stranger cannot fill a disk.
"""

import collections
import itertools
import typing

from carawaystair import clock
from carawaystair.control import interfaces as control
from carawaystair import timeline as timelines

KEPT = 2000


class Entry(typing.NamedTuple):
    """One line of the trail.

    :param wall_ms: wall clock at the host that saw it, ms since 1970.
    :param author: who asked: the team, and the person as it was named.
    :param action: what was asked, such as ``submit`` or ``drain``.
    :param submission: id of the submission, or empty.
    :param code: the numbered code of the answer.
    :param version: the version that came of it, or empty.
    :param detail: what it concerned.
    """

    wall_ms: int
    author: str
    action: str
    submission: str
    code: str
    version: str
    detail: str


class Trail:
    """The audit trail, as one control host sees it.

    :param group: the control group, for what was accepted.
    :param timeline: takes note of what was refused.
    """

    def __init__(
        self, group: control.Control, timeline: timelines.Timeline
    ) -> None:
        self.group = group
        self.timeline = timeline
        self.refused: collections.deque = collections.deque(maxlen=KEPT)
        self.refused_total = 0

    def refuse(
        self,
        author: str,
        action: str,
        submission: str,
        refusal: control.Refusal,
    ) -> None:
        """Take note of a change that was refused."""
        detail = '; '.join([refusal.detail, *map(str, refusal.mistakes)])
        entry = Entry(
            clock.wall_ms(),
            author,
            action,
            submission,
            refusal.code.label,
            '',
            detail[:500],
        )
        self.refused.append(entry)
        self.refused_total += 1
        text = '%s by %s: %s' % (action, author, refusal.sentence())
        self.timeline.record('change-refused', text[:500])

    def entries(self, limit: int) -> list[Entry]:
        """Return the newest entries, newest first."""
        accepted = map(_accepted, self.group.history(limit))
        every = itertools.chain(accepted, reversed(self.refused))
        newest = sorted(every, key=lambda e: e.wall_ms, reverse=True)
        return newest[:limit]


def _accepted(record: control.Record) -> Entry:
    detail = '%d rows put, %d dropped' % (record.put, record.drop)
    return Entry(
        record.wall_ms,
        record.author,
        record.kind,
        record.id.partition('/')[2] or record.id,
        'CS-0000',
        str(record.version),
        detail,
    )
