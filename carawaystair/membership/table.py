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
from carawaystair.membership import bounds
from carawaystair.membership import digest
from carawaystair.membership import messages
from carawaystair import output

# What may be said of a host; that it has left stands in its record alone.
TOLD = (messages.ALIVE, messages.SUSPECT, messages.DEAD)
# Lines a second about records that are refused, whole or in part: a peer
# that has a malformed one offers it again with each comparison.
REFUSED_LINES = 1
REFUSED = 'refused'
# More hosts than this are not taken in: a faulty or hostile peer that makes
# up names must not fill the memory.  Four times the size designed for.
MAX_HOSTS = 10_000

LOG = logs.get('membership')


class Entry:
    """What is known of one host.

    :ivar record: its newest record.
    :ivar member: who it is, decoded from the record; its incarnation is
        that of its liveness.
    :ivar state: ``messages.ALIVE`` and so on.
    :ivar since: monotonic time at which it came into that state.
    :ivar bucket: its bucket in the digests.
    :ivar marks: what it adds to the two digests.
    """

    __slots__ = (
        'record',
        'member',
        'state',
        'since',
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
        self.since = now
        self.bucket = digest.bucket(record.host)
        self.marks = (0, 0)

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

    @property
    def was_up(self) -> bool:
        """Tell whether the host was believed alive before."""
        return (
            self.old_state is not None and self.old_state <= messages.SUSPECT
        )


def _ignore(_value) -> None:
    """Stand in until somebody listens."""


class Table:
    """The hosts that this process knows of, its own included.

    :param host: the own host.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.entries: dict[str, Entry] = {}
        # Hosts believed dead, to be probed now and then.
        self.dead: set[str] = set()
        self.digests = (digest.Digest(), digest.Digest())
        # Monotonic time of the last change of each digest.
        self.moved = [0.0, 0.0]
        self.listeners: list[typing.Callable[[Change], None]] = []
        # Called when others believe this process dead or suspect, with the
        # incarnation, and when they know of a later start of this host.
        self.accused: typing.Callable[[int], None] = _ignore
        self.outdated: typing.Callable[[int], None] = _ignore
        self.refused = 0
        self.room = output.Room({REFUSED: REFUSED_LINES})
        self.cached: list[Entry] | None = None

    @property
    def me(self) -> Entry:
        """Return the own entry."""
        return self.entries[self.host]

    def up(self) -> list[Entry]:
        """Return the entries believed alive; not to be changed."""
        if self.cached is None:
            self.cached = [e for e in self.entries.values() if e.up]
        return self.cached

    def put(self, record: messages.Record) -> bool:
        """Take in a record.

        :return: whether it is news here.
        """
        if not bounds.record_ok(record):
            self._refuse(record, 'out of bounds')
            return False
        entry = self.entries.get(record.host)
        if entry is not None and record.version <= entry.record.version:
            return False
        if record.host == self.host:
            # Others hold a newer record of this host than this process
            # itself: it restarted behind a clock that was set back.
            self.outdated(record.incarnation)
            return False
        body, left_out = messages.unpack_usable(record.body)
        full = entry is None and len(self.entries) >= MAX_HOSTS
        if body is None or full:
            self._refuse(record, 'no room' if full else 'malformed')
            return False
        if left_out:
            self._tell_refused(record, '%d upstreams left out' % left_out)
        if entry is None:
            self._add(record, body)
        else:
            self._replace(entry, record, body)
        return True

    def _refuse(self, record: messages.Record, why: str) -> None:
        self.refused += 1
        self._tell_refused(record, why)

    def _tell_refused(self, record: messages.Record, why: str) -> None:
        if self.room.take(int(clock.now()), REFUSED):
            LOG.warning(
                'Refused a record.',
                of=record.host[: bounds.MAX_NAME],
                why=why,
                total=self.refused,
                left_out=self.room.tell(),
            )

    def own(self, record: messages.Record, incarnation: int) -> None:
        """Set the record of this process.

        :param incarnation: the incarnation that it answers probes with.
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
        self._tell(change)

    def hear(self, host: str, state: int, incarnation: int) -> bool:
        """Take in what is said of a host's liveness.

        :return: whether it is news here.
        """
        entry = self.entries.get(host)
        if state not in TOLD or not bounds.number_ok(incarnation):
            # A state that nobody knows could never be forgotten, and whoever
            # refuted such a number would have to go above what travels.
            return False
        if entry is None or entry.state == messages.LEFT:
            return False
        known = entry.member.incarnation
        if host == self.host:
            if state != messages.ALIVE and incarnation >= known:
                self.accused(incarnation)
            return False
        if not _overrides(state, incarnation, entry.state, known):
            return False
        newer = messages.process_start(incarnation) > entry.record.incarnation
        if state == messages.ALIVE and newer:
            # Its process has started anew.  Were it taken for alive now,
            # the upstreams that the old process announced would be listed
            # again; the new record says which of them there are.
            return False
        self._turn(entry, state, incarnation)
        return True

    def doubt(self, host: str) -> None:
        """Hold a host for dead without holding it against the host.

        A process that reaches nobody is likely the one that is cut off.
        With the incarnation forgotten, any sign of life brings the host
        back; it need not refute a death that only this process believed in.
        """
        entry = self.entries[host]
        if entry.up and host != self.host:
            self._turn(entry, messages.DEAD, 0)

    def forget(self, host: str) -> None:
        """Drop a host that is not believed alive."""
        entry = self.entries.get(host)
        if entry is not None and not entry.up:
            del self.entries[host]
            self.dead.discard(host)

    def _turn(self, entry: Entry, state: int, incarnation: int) -> None:
        change = Change(entry, entry.state, entry.record)
        if entry.state != state:
            entry.since = clock.now()
        entry.state = state
        entry.member = entry.member._replace(incarnation=incarnation)
        self._tell(change)

    def _add(self, record: messages.Record, body: messages.Body) -> None:
        entry = Entry(record, member(record, body), clock.now())
        self.entries[entry.member.host] = entry
        self._tell(Change(entry, None, None))

    def _replace(
        self, entry: Entry, record: messages.Record, body: messages.Body
    ) -> None:
        change = Change(entry, entry.state, entry.record)
        born = messages.first_incarnation(record.incarnation)
        restarted = born > entry.member.incarnation
        incarnation = max(born, entry.member.incarnation)
        entry.record = record
        entry.member = member(record, body)._replace(incarnation=incarnation)
        if record.left:
            entry.state = messages.LEFT
        elif restarted and record.incarnation > change.old_record.incarnation:
            entry.state = messages.ALIVE
        if entry.state != change.old_state:
            entry.since = clock.now()
        self._tell(change)

    def _tell(self, change: Change) -> None:
        entry = change.entry
        if change.was_up != entry.up:
            self.cached = None
        if entry.state == messages.DEAD:
            self.dead.add(entry.member.host)
        else:
            self.dead.discard(entry.member.host)
        self._mark(entry)
        for listener in self.listeners:
            listener(change)

    def _mark(self, entry: Entry) -> None:
        """Bring the digests up to date with an entry."""
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
                self.moved[kind] = clock.now()
        entry.marks = marks


def _overrides(
    state: int, incarnation: int, old_state: int, old_incarnation: int
) -> bool:
    """Tell whether one statement about a host beats another (SWIM 4.2)."""
    if incarnation != old_incarnation:
        return incarnation > old_incarnation
    return state > old_state


def member(record: messages.Record, body: messages.Body) -> interfaces.Member:
    """Return the process that a record is about."""
    return interfaces.Member(
        sys.intern(record.host),
        sys.intern(body.data_centre),
        sys.intern(body.region),
        sys.intern(body.peer),
        sys.intern(body.gossip),
        messages.first_incarnation(record.incarnation),
        body.control,
    )
