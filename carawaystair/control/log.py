"""The log of a replica in memory: the entries since the last snapshot."""

import bisect
import itertools
import typing

from carawaystair.control import group as groups

# Kinds of entries.
NOOP = 0  # the first entry of a term
CHANGE = 1  # for the state machine
GROUP = 2  # the members from here on


class Entry(typing.NamedTuple):
    """One entry.

    :param term: the term of the leader that made it.
    :param index: its place, counted from 1 without a gap.
    :param kind: one of the kinds above.
    :param data: its content.
    """

    term: int
    index: int
    kind: int
    data: bytes = b''


class Log:
    """Entries after ``base_index``.

    :param base_term: term of the entry at ``base_index``.
    :param base_index: the last index that is no longer here.
    :param group: the members at ``base_index``.
    """

    def __init__(
        self,
        base_term: int = 0,
        base_index: int = 0,
        group: groups.Group = groups.NOBODY,
    ) -> None:
        self.base_term = base_term
        self.base_index = base_index
        self.entries: list[Entry] = []
        self.size = 0
        # Where the members changed, oldest first; never empty.
        self.groups: list[tuple[int, groups.Group]] = [(base_index, group)]

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def group(self) -> groups.Group:
        """The newest members, committed or not."""
        return self.groups[-1][1]

    @property
    def group_index(self) -> int:
        """The index of the entry that made the newest members."""
        return self.groups[-1][0]

    @property
    def group_place(self) -> tuple[int, int]:
        """The term and index of that entry."""
        return self.term_at(self.group_index), self.group_index

    def group_at(self, index: int) -> groups.Group:
        """Return the members as of an index."""
        place = bisect.bisect_right([at for at, _group in self.groups], index)
        return self.groups[max(place - 1, 0)][1]

    def term_at(self, index: int) -> int:
        """Return the term at an index.

        :return: -1 when the index is not here.
        """
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return -1
        return self.entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return the entry at an index that is here."""
        return self.entries[index - self.base_index - 1]

    def slice(self, start: int, count: int, size: int) -> tuple[Entry, ...]:
        """Return entries from ``start`` on.

        :param count: so many at most.
        :param size: so many bytes at most, but always one entry.
        """
        begin = start - self.base_index - 1
        some = self.entries[begin : begin + count]
        sizes = itertools.accumulate(len(entry.data) for entry in some)
        fit = sum(1 for total in sizes if total <= size)
        return tuple(some[: max(fit, 1)])

    def append(self, entry: Entry) -> None:
        """Add an entry; one that is there already and all later go first."""
        if entry.index <= self.last_index:
            self.cut(entry.index)
        self.entries.append(entry)
        self.size += len(entry.data)
        if entry.kind == GROUP:
            group = groups.decode(entry.data)
            if group is not None:
                self.groups.append((entry.index, group))

    def cut(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        keep = index - self.base_index - 1
        self.size -= sum(len(entry.data) for entry in self.entries[keep:])
        del self.entries[keep:]
        while len(self.groups) > 1 and self.groups[-1][0] >= index:
            self.groups.pop()

    def compact(self, index: int) -> None:
        """Let go of the entries up to ``index``, which stays the base."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        group = self.group_at(index)
        gone = index - self.base_index
        self.size -= sum(len(entry.data) for entry in self.entries[:gone])
        del self.entries[:gone]
        self.base_term = term
        self.base_index = index
        later = [(at, g) for at, g in self.groups if at > index]
        self.groups = [(index, group), *later]
