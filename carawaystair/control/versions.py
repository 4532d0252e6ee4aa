"""The newest versions: their history, deltas between them, the way back."""

import collections
import itertools
import typing

from carawaystair.control import interfaces
from carawaystair import rows

# Versions whose record is kept, and bytes of rows kept for deltas and for
# rollback; older versions keep their record only.
MAX_RECORDS = 1000
MAX_BYTES = 8 * 1024 * 1024

Rows = rows.Put
Keys = rows.Keys


class Step(typing.NamedTuple):
    """One version.

    :param record: what the history shows of it.
    :param put: rows that it added or changed.
    :param drop: rows that it removed.
    :param old_put: the rows that bring back what it changed or removed.
    :param old_drop: the keys of the rows that it added.
    """

    record: interfaces.Record
    put: Rows
    drop: Keys
    old_put: Rows
    old_drop: Keys

    def size(self) -> int:
        """Return about how many bytes its rows take."""
        pairs = itertools.chain(self.put, self.old_put)
        keys = itertools.chain(self.drop, self.old_drop)
        return sum(len(k) + len(v) for k, v in pairs) + sum(map(len, keys))


class Versions:
    """The newest versions, a bounded number of them.

    :param steps: what :meth:`steps` gave, to go on from.
    :param max_records: see :data:`MAX_RECORDS`.
    :param max_bytes: see :data:`MAX_BYTES`.
    """

    def __init__(
        self,
        steps: typing.Iterable[Step] = (),
        max_records: int = MAX_RECORDS,
        max_bytes: int = MAX_BYTES,
    ) -> None:
        self.max_records = max_records
        self.max_bytes = max_bytes
        # Steps by the version that they made, oldest first.  Those before
        # ``whole`` lost their rows.
        self.by_version: collections.OrderedDict[rows.Version, Step] = (
            collections.OrderedDict()
        )
        self.whole: collections.deque[rows.Version] = collections.deque()
        self.size = 0
        # Deltas to the newest version by the version that they lead from:
        # all nodes ask for the same one or two.
        self.deltas: dict[rows.Version, rows.Delta | None] = {}
        for step in steps:
            self.add(step)

    def steps(self) -> tuple[Step, ...]:
        """Return all steps, oldest first."""
        return tuple(self.by_version.values())

    def add(self, step: Step) -> None:
        """Add the newest version."""
        version = step.record.version
        self.deltas.clear()
        self.by_version[version] = step
        self.whole.append(version)
        self.size += step.size()
        while self.size > self.max_bytes and self.whole:
            self._empty(self.whole.popleft())
        while len(self.by_version) > self.max_records:
            oldest, gone = self.by_version.popitem(last=False)
            if self.whole and self.whole[0] == oldest:
                self.whole.popleft()
                self.size -= gone.size()

    def _empty(self, version: rows.Version) -> None:
        step = self.by_version[version]
        self.size -= step.size()
        self.by_version[version] = Step(step.record, (), (), (), ())

    def records(self, limit: int) -> tuple[interfaces.Record, ...]:
        """Return the newest records, newest first."""
        newest = itertools.islice(reversed(self.by_version.values()), limit)
        return tuple(step.record for step in newest)

    def winner(self, parent: bytes) -> interfaces.Record | None:
        """Return the version that was accepted on a parent, if known.

        :param parent: digest of the parent's table.
        """
        newest = [step.record for step in self.by_version.values()]
        pairs = zip(newest, newest[1:], strict=False)
        found = [after for before, after in pairs if before.digest == parent]
        if not found and not parent:
            found = [record for record in newest if record.base == rows.NONE]
        return found[-1] if found else None

    def after(self, version: rows.Version) -> list[Step] | None:
        """Return the steps that lead on from a version, oldest first.

        :return: None when they are not all known with their rows.
        """
        steps: list[Step] = []
        known = set(self.whole)
        for step in reversed(self.by_version.values()):
            if step.record.version == version:
                break
            if step.record.version not in known:
                return None
            steps.append(step)
            if step.record.base == version:
                break
        if not steps or steps[-1].record.base != version:
            return None
        return steps[::-1]

    def delta(self, version: rows.Version) -> rows.Delta | None:
        """Return what leads from a version to the newest one."""
        if version not in self.deltas:
            self.deltas[version] = self._delta(version)
        return self.deltas[version]

    def _delta(self, version: rows.Version) -> rows.Delta | None:
        steps = self.after(version)
        if steps is None:
            return None
        put, drop = rows.merge((step.put, step.drop) for step in steps)
        newest = steps[-1].record
        return rows.Delta(version, newest.version, put, drop, newest.digest)

    def back(self, version: rows.Version) -> tuple[Rows, Keys, bytes] | None:
        """Return what leads from the newest version back to another one.

        :return: rows to put, keys to drop, the digest then; None when the
            way back is not known.
        """
        steps = self.after(version)
        target = self.by_version.get(version)
        if steps is None or target is None:
            return None
        undo = ((s.old_put, s.old_drop) for s in reversed(steps))
        put, drop = rows.merge(undo)
        return put, drop, target.record.digest


def undo_of(table: rows.Table, put: Rows, drop: Keys) -> tuple[Rows, Keys]:
    """Return the change that takes another one back.

    :param table: the rows before the change.
    """
    touched = itertools.chain((key for key, _value in put), drop)
    old_put = tuple((key, table[key]) for key in touched if key in table)
    old_drop = tuple(key for key, _value in put if key not in table)
    return old_put, old_drop
