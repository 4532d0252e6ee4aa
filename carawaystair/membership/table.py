"""The table of hosts: the newest record of each, and whether it lives.

Two things are known of a host, each with its own order.  Its *record* is
numbered by the host alone.  Its *liveness* follows the rules of SWIM (Das,
Gupta and Motivala, 2002): any process may suspect it or declare it dead at
an incarnation, and only the host itself raises the incarnation.
"""

import sys
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import messages

# More hosts than this are not taken in: a faulty or hostile peer that makes
# up names must not fill the memory.  Four times the size designed for.
MAX_HOSTS = 10_000

LOG = logs.get('membership')


class Entry:
    """What is known of one host.

    :ivar record: its newest record.
    :ivar member: who it is, decoded from the record.
    :ivar state: ``messages.ALIVE`` and so on.
    :ivar since: monotonic time at which it came into that state.
    :ivar changed: monotonic time at which the record came.
    """

    __slots__ = ('record', 'member', 'state', 'since', 'changed')

    def __init__(self, record: messages.Record, member, since: float) -> None:
        self.record = record
        self.member = member
        self.state = messages.LEFT if record.left else messages.ALIVE
        self.since = since
        self.changed = since

    @property
    def up(self) -> bool:
        """Tell whether the host is believed alive."""
        return self.state <= messages.SUSPECT


class Change(typing.NamedTuple):
    """A change of the table.

    :param entry: the entry, changed already.
    :param old_state: its state before; None for a new host.
    :param old_record: its record before; None for a new host.
    """

    entry: Entry
    old_state: int | None
    old_record: messages.Record | None


class Table:
    """The hosts that this process knows of, its own included.

    :param host: the own host.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.entries: dict[str, Entry] = {}
        self.listeners: list[typing.Callable[[Change], None]] = []
        # Called with the incarnation at which others believe this process
        # dead, suspect or replaced; it must rise above.
        self.accused: typing.Callable[[int], None] = lambda incarnation: None
        self.refused = 0

    def up(self) -> list[Entry]:
        """Return the entries believed alive."""
        return [entry for entry in self.entries.values() if entry.up]

    def put(self, record: messages.Record) -> bool:
        """Take in a record.

        :return: whether it is news here.
        """
        entry = self.entries.get(record.host)
        if entry is not None and record.version <= entry.record.version:
            return False
        if record.host == self.host:
            # Others hold a newer record of this host than this process
            # itself: it restarted behind a clock that was set back.
            self.accused(record.incarnation)
            return False
        body = messages.unpack(record.body)
        full = entry is None and len(self.entries) >= MAX_HOSTS
        if body is None or full:
            self.refused += 1
            LOG.warning('Refused a record.', of=record.host, full=full)
            return False
        if entry is None:
            self._add(record, body)
        else:
            self._replace(entry, record, body)
        return True

    def own(self, record: messages.Record, incarnation: int) -> None:
        """Set the record of this process.

        :param incarnation: the incarnation that it answers probes with.
        """
        body = messages.unpack(record.body)
        entry = self.entries.get(record.host)
        if entry is None:
            self._add(record, body)
            return
        old = entry.record
        entry.record = record
        entry.changed = clock.now()
        entry.member = _member(record, body)._replace(incarnation=incarnation)
        self._tell(Change(entry, entry.state, old))

    def hear(self, host: str, state: int, incarnation: int) -> bool:
        """Take in what another process says of a host's liveness.

        :return: whether it is news here.
        """
        entry = self.entries.get(host)
        if entry is None or entry.state == messages.LEFT:
            return False
        known = entry.member.incarnation
        if host == self.host:
            if state != messages.ALIVE and incarnation >= known:
                self.accused(incarnation)
            return False
        if not _overrides(state, incarnation, entry.state, known):
            return False
        old = entry.state
        entry.state = state
        if old != state:
            entry.since = clock.now()
        if incarnation != known:
            entry.member = entry.member._replace(incarnation=incarnation)
        self._tell(Change(entry, old, entry.record))
        return True

    def forget(self, host: str) -> None:
        """Drop a host."""
        self.entries.pop(host, None)

    def _add(self, record: messages.Record, body: messages.Body) -> None:
        entry = Entry(record, _member(record, body), clock.now())
        self.entries[record.host] = entry
        self._tell(Change(entry, None, None))

    def _replace(
        self, entry: Entry, record: messages.Record, body: messages.Body
    ) -> None:
        change = Change(entry, entry.state, entry.record)
        restarted = record.incarnation > entry.member.incarnation
        incarnation = max(record.incarnation, entry.member.incarnation)
        entry.record = record
        entry.changed = clock.now()
        entry.member = _member(record, body)._replace(incarnation=incarnation)
        if record.left:
            entry.state = messages.LEFT
        elif restarted:
            entry.state = messages.ALIVE
        if entry.state != change.old_state:
            entry.since = clock.now()
        self._tell(change)

    def _tell(self, change: Change) -> None:
        for listener in self.listeners:
            listener(change)


def _overrides(
    state: int, incarnation: int, old_state: int, old_incarnation: int
) -> bool:
    """Tell whether one statement about a host beats another (SWIM 4.2)."""
    if incarnation != old_incarnation:
        return incarnation > old_incarnation
    return state > old_state


def _member(record: messages.Record, body: messages.Body) -> interfaces.Member:
    return interfaces.Member(
        sys.intern(record.host),
        sys.intern(body.data_centre),
        sys.intern(body.region),
        body.peer,
        body.gossip,
        record.incarnation,
        body.control,
    )
