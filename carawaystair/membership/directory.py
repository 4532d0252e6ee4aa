"""The directory: upstreams by service, out of the records of live hosts.

Records stay encoded; only the services that requests ask for are decoded
into :class:`interfaces.Upstream` tuples, and a service that nobody asked for
lately is dropped again.  So the whole fleet's directory is small and a lookup
is one dictionary access.
"""

import asyncio
import sys
import typing

import mode

from carawaystair import interfaces
from carawaystair.membership import messages
from carawaystair.membership import table as tables

# A service that no request asked for so long is no longer kept decoded.
IDLE_S = 300.0

Callback = typing.Callable[[interfaces.Upstream], None]


class Directory(mode.Service):
    """Keeps ``interfaces.Directory``.

    :param table: the table of hosts.
    :param timeline: takes the events of upstreams.
    """

    def __init__(self, table: tables.Table, timeline, **kwargs) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.timeline = timeline
        # Hosts by service, as tuples: half the size of sets.
        self.hosts: dict[str, tuple[str, ...]] = {}
        self.cache: dict[str, tuple[interfaces.Upstream, ...]] = {}
        self.touched: set[str] = set()
        # Services that requests of this node go to.
        self.used: set[str] = set()
        # Services in which two hosts announce the same id.
        self.doubled: set[str] = set()
        self.callbacks: list[Callback] = []
        table.listeners.append(self._changed)

    def upstreams(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Return those not gone, draining ones included."""
        self.touched.add(service)
        found = self.cache.get(service)
        if found is None:
            found = self._build(service)
            # An unknown name is not kept: callers could fill the memory.
            if found:
                self.cache[service] = found
        return found

    def using(self, service: str) -> None:
        """Note that this node sends requests to a service."""
        self.used.add(service)

    def peek(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Return the same as ``upstreams``, without keeping it decoded."""
        return self.cache.get(service) or self._build(service)

    def life(self, service: str, name: str) -> int:
        """Return the incarnation of an upstream that stands, or 0."""
        found = self._standing(service, name)
        return 0 if found is None else found.incarnation

    def services(self) -> tuple[str, ...]:
        """Return the services that have an upstream."""
        return tuple(self.hosts)

    def subscribe(self, callback: Callback) -> None:
        """Call ``callback`` with every upstream that changes."""
        self.callbacks.append(callback)

    @mode.Service.task
    async def _expire(self) -> None:
        """Drop the decoded services that nobody asks for."""
        while not self.should_stop:
            self.touched.clear()
            await asyncio.sleep(IDLE_S)
            for service in self.cache.keys() - self.touched:
                del self.cache[service]
                self.used.discard(service)

    def _changed(self, change: tables.Change) -> None:
        """Carry a change of a host over to its upstreams."""
        entry = change.entry
        same = change.old_record is entry.record
        if same and change.was_up == entry.up:
            return
        old = _rows(change.old_record) if change.was_up else ()
        new = _rows(entry.record) if entry.up else ()
        before = {row.id: row for row in old}
        after = {row.id: row for row in new}
        touched = _services(old) | _services(new)
        for service in touched:
            self._index(service, entry, new)
        gone = [row for row in old if row.id not in after]
        news = [row for row in new if before.get(row.id) != row]
        for row in gone:
            self._tell_gone(entry, row)
        for row in news:
            self._tell_news(entry, row)

    def _index(
        self, service: str, entry: tables.Entry, rows: tuple[messages.Row, ...]
    ) -> None:
        """Bring one service up to date with the new rows of a host."""
        host = entry.member.host
        mine = [row for row in rows if row.service == service]
        hosts = self.hosts.get(service, ())
        if mine and host not in hosts:
            self.hosts[sys.intern(service)] = (*hosts, host)
        elif not mine:
            rest = tuple(name for name in hosts if name != host)
            self.hosts[service] = rest
            if not rest:
                del self.hosts[service]
        cached = self.cache.get(service)
        if cached is None:
            return
        if service in self.doubled:
            self.cache[service] = self._build(service)
            return
        others = [item for item in cached if item.host != host]
        others.extend(upstream(entry.member, row) for row in mine)
        self.cache[service] = self._settle(service, others)

    def _build(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Decode the upstreams of a service from the records."""
        entries = (self.table.entries[h] for h in self.hosts.get(service, ()))
        found = [
            upstream(entry.member, row)
            for entry in entries
            for row in _rows(entry.record)
            if row.service == service
        ]
        return self._settle(service, found)

    def _settle(
        self, service: str, found: list[interfaces.Upstream]
    ) -> tuple[interfaces.Upstream, ...]:
        """Order the upstreams; of two with one id the newer one counts.

        Two hosts announce the same id for a while when an upstream moves
        after its old host was lost.  Listed twice, it would get twice the
        work; so the newest incarnation stands, and the service is built
        anew at each change until they are one again.
        """
        found.sort(key=lambda u: (u.id, u.incarnation, u.sequence, u.host))
        single = {item.id: item for item in found}
        if len(single) == len(found):
            self.doubled.discard(service)
            return tuple(found)
        self.doubled.add(service)
        return tuple(single.values())

    def _standing(self, service: str, name: str) -> interfaces.Upstream | None:
        """Return the newest life of an upstream, wherever it is."""
        found = (u for u in self.peek(service) if u.id == name)
        return next(found, None)

    def _listed(self, row: messages.Row) -> interfaces.Upstream | None:
        """Return the newest life of a row's id, in a service in use.

        Services that nobody here asks for aren't decoded for this: when a
        data centre is lost, that would be thousands at once.
        """
        if row.service in self.cache or row.service in self.doubled:
            return self._standing(row.service, row.id)
        return None

    def _tell_news(self, entry: tables.Entry, row: messages.Row) -> None:
        """Tell of a row, unless a newer life stands elsewhere.

        Symptom if it were told: an upstream that has moved drains or is
        full for those who listen, because its former life did or was.
        """
        item = upstream(entry.member, row)
        stands = self._listed(row)
        if stands is None or stands.host == item.host:
            self._tell(item)

    def _tell_gone(self, entry: tables.Entry, row: messages.Row) -> None:
        """Tell that an upstream is gone, unless it stands elsewhere.

        Where its newest life was listed here, the one that stands now is
        told in its place; where it was not, nothing has changed.
        """
        stands = self._listed(row)
        if stands is None:
            item = upstream(entry.member, row)
            version = max(entry.record.sequence, item.sequence)
            gone = item._replace(state=interfaces.GONE, sequence=version)
            self._tell(gone)
        elif (row.incarnation, row.sequence) > (
            stands.incarnation,
            stands.sequence,
        ):
            self._tell(stands)

    def _tell(self, item: interfaces.Upstream) -> None:
        if item.service in self.used or item.host == self.table.host:
            self.timeline.record(
                'upstream-%s' % item.state,
                'on %s at %s' % (item.host, item.address),
                service=item.service,
                upstream=item.id,
            )
        for callback in self.callbacks:
            callback(item)


def upstream(member, row: messages.Row) -> interfaces.Upstream:
    """Return a row of a record as the other parts know it."""
    return interfaces.Upstream(
        row.id,
        sys.intern(row.service),
        row.address,
        member.host,
        member.data_centre,
        row.slots,
        row.weight / messages.MILLI if row.weight != messages.MILLI else 1.0,
        row.warmup_ms / messages.MILLI,
        messages.STATES[row.state],
        row.incarnation,
        row.sequence,
    )


def _rows(record: messages.Record | None) -> tuple[messages.Row, ...]:
    body = messages.unpack(record.body) if record is not None else None
    return body.upstreams if body is not None else ()


def _services(rows: typing.Iterable[messages.Row]) -> set[str]:
    return {row.service for row in rows}
