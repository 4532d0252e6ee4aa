"""The table of hosts: the newest record and the liveness of each.

Record and liveness of a host are versioned independently.  The *record* is
numbered by the host alone.  The *liveness* follows the rules of SWIM (Das,
Gupta and Motivala, 2002): any process may suspect a host or declare it dead
at an incarnation, and only the host itself increases the incarnation.
"""

import sys
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import bounds
from carawaystair.membership import digest
from carawaystair.membership import messages
from carawaystair import output

# States that other processes may report of a host.  That it has left is only
# in its own record.
REPORTED_STATES = (messages.ALIVE, messages.SUSPECT, messages.DEAD)
# Log lines per second about records that are refused completely or in part.
# Limited, because a peer that holds a malformed record offers it again with
# each comparison.
REFUSED_LINES_PER_S = 1
REFUSED = 'refused'
# Limit on the number of hosts, so that a faulty or hostile peer that invents
# names can't exhaust the memory.  Four times the size designed for.
MAX_HOSTS = 10_000

LOG = logs.get('membership')


class Entry:
    """Record and liveness of one host.

    :ivar record: its newest record.
    :ivar member: its identity, decoded from the record; the incarnation is
        that of its liveness.
    :ivar state: one of ``messages.ALIVE``, ``SUSPECT``, ``DEAD``, ``LEFT``.
    :ivar state_since: monotonic time of the last change of the state.
    :ivar bucket: its bucket in the digests.
    :ivar marks: its contribution to each of the two digests.
    """

    __slots__ = (
        'record',
        'member',
        'state',
        'state_since',
        'bucket',
        'marks',
    )

    def __init__(
        self,
        record: messages.Record,
        member: interfaces.Member,
        now: float,
    ) -> None:
        self.record = record
        self.member = member
        self.state = messages.LEFT if record.left else messages.ALIVE
        self.state_since = now
        self.bucket = digest.bucket(record.host)
        self.marks = (0, 0)

    @property
    def up(self) -> bool:
        """Tell whether the host is believed to be alive."""
        return self.state <= messages.SUSPECT


class Change(typing.NamedTuple):
    """A change of one entry of the table.

    :param entry: the entry after the change.
    :param old_state: state before the change; None for a new host.
    :param old_record: record before the change; None for a new host.
    """

    entry: Entry
    old_state: int | None
    old_record: messages.Record | None

    @property
    def was_up(self) -> bool:
        """Tell whether the host was believed to be alive before."""
        return (
            self.old_state is not None and self.old_state <= messages.SUSPECT
        )


def _ignore(_value) -> None:
    """Do nothing; the default of a callback."""


class Table:
    """All known hosts, including the own one.

    :param host: name of the own host.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.entries: dict[str, Entry] = {}
        # Names of hosts believed to be dead, which are probed occasionally.
        self.dead: set[str] = set()
        self.digests = (digest.Digest(), digest.Digest())
        # Monotonic time of the last change of each digest.
        self.digest_changed_at = [0.0, 0.0]
        self.listeners: list[typing.Callable[[Change], None]] = []
        # Called with the incarnation when other processes believe this one to
        # be suspect or dead, and when they know of a later start of it.
        self.on_accused: typing.Callable[[int], None] = _ignore
        self.on_newer_start: typing.Callable[[int], None] = _ignore
        self.refused_records = 0
        self.line_limit = output.Room({REFUSED: REFUSED_LINES_PER_S})
        # Cache of ``live_entries``.
        self.live: list[Entry] | None = None

    @property
    def own_entry(self) -> Entry:
        """Return the entry of the own host."""
        return self.entries[self.host]

    def live_entries(self) -> list[Entry]:
        """Return the entries of live hosts; not to be modified by callers."""
        if self.live is None:
            self.live = [e for e in self.entries.values() if e.up]
        return self.live

    def put(self, record: messages.Record) -> bool:
        """Store a record that is newer than the one in the table.

        :return: whether it was stored.
        """
        if not bounds.record_ok(record):
            self._refuse(record, 'out of bounds')
            return False
        entry = self.entries.get(record.host)
        if entry is not None and record.version <= entry.record.version:
            return False
        if record.host == self.host:
            # Others hold a newer record of this host: this process was
            # restarted after the clock had been set back.
            self.on_newer_start(record.incarnation)
            return False
        body, left_out = messages.unpack_usable(record.body)
        full = entry is None and len(self.entries) >= MAX_HOSTS
        if body is None or full:
            self._refuse(record, 'host table full' if full else 'malformed')
            return False
        if left_out:
            self._log_refused(
                record, '%d invalid upstreams left out' % left_out
            )
        if entry is None:
            self._add(record, body)
        else:
            self._replace(entry, record, body)
        return True

    def _refuse(self, record: messages.Record, why: str) -> None:
        self.refused_records += 1
        self._log_refused(record, why)

    def _log_refused(self, record: messages.Record, why: str) -> None:
        if self.line_limit.take(int(clock.now()), REFUSED):
            LOG.warning(
                'Refused a record.',
                of=record.host[: bounds.MAX_NAME],
                why=why,
                total=self.refused_records,
                left_out=self.line_limit.tell(),
            )

    def set_own_record(
        self, record: messages.Record, incarnation: int
    ) -> None:
        """Set the record of this process.

        :param incarnation: the one with which it answers probes.
        """
        body = messages.unpack(record.body)
        entry = self.entries.get(record.host)
        if entry is None:
            self._add(record, body)
            return
        change = Change(entry, entry.state, entry.record)
        entry.record = record
        entry.member = member(record, body)._replace(incarnation=incarnation)
        entry.state = messages.LEFT if record.left else messages.ALIVE
        self._notify(change)

    def apply_liveness(self, host: str, state: int, incarnation: int) -> bool:
        """Apply a report of another process on the liveness of a host.

        :return: whether it changed the entry of the host.
        """
        entry = self.entries.get(host)
        if state not in REPORTED_STATES or not bounds.number_ok(incarnation):
            # A host in an unknown state would never be removed from the
            # table, and to refute an incarnation beyond the limit, a host
            # would need one that can't be sent.
            return False
        if entry is None or entry.state == messages.LEFT:
            return False
        known = entry.member.incarnation
        if host == self.host:
            if state != messages.ALIVE and incarnation >= known:
                self.on_accused(incarnation)
            return False
        if not _overrides(state, incarnation, entry.state, known):
            return False
        newer = messages.process_start(incarnation) > entry.record.incarnation
        if state == messages.ALIVE and newer:
            # The process was restarted.  If the host were set alive now, the
            # upstreams in the record of the old process would be listed
            # again.  The new record tells which of them still exist.
            return False
        self._set_state(entry, state, incarnation)
        return True

    def presume_dead(self, host: str) -> None:
        """Set a host dead at incarnation 0.

        A process that reaches no other one is probably isolated itself.
        With incarnation 0, any report that the host is alive sets it alive
        again; it need not refute a death that only this process assumed.
        """
        entry = self.entries[host]
        if entry.up and host != self.host:
            self._set_state(entry, messages.DEAD, 0)

    def forget(self, host: str) -> None:
        """Remove a host from the table, unless it is believed to be alive."""
        entry = self.entries.get(host)
        if entry is not None and not entry.up:
            del self.entries[host]
            self.dead.discard(host)

    def _set_state(self, entry: Entry, state: int, incarnation: int) -> None:
        change = Change(entry, entry.state, entry.record)
        if entry.state != state:
            entry.state_since = clock.now()
        entry.state = state
        entry.member = entry.member._replace(incarnation=incarnation)
        self._notify(change)

    def _add(self, record: messages.Record, body: messages.Body) -> None:
        entry = Entry(record, member(record, body), clock.now())
        self.entries[entry.member.host] = entry
        self._notify(Change(entry, None, None))

    def _replace(
        self, entry: Entry, record: messages.Record, body: messages.Body
    ) -> None:
        change = Change(entry, entry.state, entry.record)
        first_incarnation = messages.first_incarnation(record.incarnation)
        restarted = first_incarnation > entry.member.incarnation
        incarnation = max(first_incarnation, entry.member.incarnation)
        entry.record = record
        entry.member = member(record, body)._replace(incarnation=incarnation)
        if record.left:
            entry.state = messages.LEFT
        elif restarted and record.incarnation > change.old_record.incarnation:
            entry.state = messages.ALIVE
        if entry.state != change.old_state:
            entry.state_since = clock.now()
        self._notify(change)

    def _notify(self, change: Change) -> None:
        entry = change.entry
        if change.was_up != entry.up:
            self.live = None
        if entry.state == messages.DEAD:
            self.dead.add(entry.member.host)
        else:
            self.dead.discard(entry.member.host)
        self._update_digests(entry)
        for listener in self.listeners:
            listener(change)

    def _update_digests(self, entry: Entry) -> None:
        """Update the digests with the contribution of an entry."""
        host = entry.member.host
        marks = (0, 0)
        if entry.up:
            marks = (
                digest.mark(host, *entry.record.version),
                digest.mark(host, entry.member.incarnation),
            )
        pairs = zip(entry.marks, marks, strict=True)
        for kind, (old, new) in enumerate(pairs):
            if old != new:
                self.digests[kind].toggle(entry.bucket, old ^ new)
                self.digest_changed_at[kind] = clock.now()
        entry.marks = marks


def _overrides(
    state: int, incarnation: int, old_state: int, old_incarnation: int
) -> bool:
    """Tell whether a state overrides the old one (SWIM, section 4.2)."""
    if incarnation != old_incarnation:
        return incarnation > old_incarnation
    return state > old_state


def member(record: messages.Record, body: messages.Body) -> interfaces.Member:
    """Return the member that a record describes."""
    return interfaces.Member(
        sys.intern(record.host),
        sys.intern(body.data_centre),
        sys.intern(body.region),
        sys.intern(body.peer),
        sys.intern(body.gossip),
        messages.first_incarnation(record.incarnation),
        body.control,
    )
