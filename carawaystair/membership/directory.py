"""The directory: upstreams by service, from the records of live hosts.

Records stay encoded.  A service is decoded into :class:`interfaces.Upstream`
tuples when it is looked up, and dropped after it has not been looked up for
some minutes.  So the directory of the whole fleet needs little memory, and a
lookup is one dictionary access.
"""

import asyncio
import sys
import typing

import mode

from carawaystair import interfaces
from carawaystair.membership import messages
from carawaystair.membership import table as tables

# Decoded services without a lookup in an interval of this length, in seconds,
# are dropped.
IDLE_S = 300.0

Callback = typing.Callable[[interfaces.Upstream], None]


class Directory(mode.Service):
    """Implementation of ``interfaces.Directory``.

    :param table: the table of hosts.
    :param timeline: receives the events of upstreams.
    """

    def __init__(self, table: tables.Table, timeline, **kwargs) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.timeline = timeline
        # Tuples, since they take half the memory of sets.
        self.hosts_by_service: dict[str, tuple[str, ...]] = {}
        self.cache: dict[str, tuple[interfaces.Upstream, ...]] = {}
        # Services looked up since idle ones were last dropped.
        self.requested: set[str] = set()
        # Services to which this node sends requests.
        self.services_in_use: set[str] = set()
        # Services in which two hosts announce the same id.
        self.duplicated: set[str] = set()
        self.callbacks: list[Callback] = []
        table.listeners.append(self._changed)

    def upstreams(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Return the upstreams of a service, including draining ones."""
        self.requested.add(service)
        found = self.cache.get(service)
        if found is None:
            found = self._build(service)
            # Names of unknown services are not cached, so that callers can't
            # exhaust the memory.
            if found:
                self.cache[service] = found
        return found

    def mark_in_use(self, service: str) -> None:
        """Record that this node sends requests to a service.

        Events are recorded for the upstreams of such services.
        """
        self.services_in_use.add(service)

    def peek(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Return the same as ``upstreams`` without caching the result."""
        return self.cache.get(service) or self._build(service)

    def incarnation(self, service: str, name: str) -> int:
        """Return the newest incarnation of an upstream; 0 if not listed."""
        found = self._newest(service, name)
        return 0 if found is None else found.incarnation

    def services(self) -> tuple[str, ...]:
        """Return the names of the services that have an upstream."""
        return tuple(self.hosts_by_service)

    def subscribe(self, callback: Callback) -> None:
        """Call ``callback`` with each upstream that changes."""
        self.callbacks.append(callback)

    @mode.Service.task
    async def _drop_idle(self) -> None:
        """Drop decoded services that are no longer looked up."""
        while not self.should_stop:
            self.requested.clear()
            await asyncio.sleep(IDLE_S)
            for service in self.cache.keys() - self.requested:
                del self.cache[service]
                self.services_in_use.discard(service)

    def _changed(self, change: tables.Change) -> None:
        """Apply a change of a host to its upstreams."""
        entry = change.entry
        same_record = change.old_record is entry.record
        if same_record and change.was_up == entry.up:
            return
        old_rows = _rows(change.old_record) if change.was_up else ()
        new_rows = _rows(entry.record) if entry.up else ()
        old_by_id = {row.id: row for row in old_rows}
        new_by_id = {row.id: row for row in new_rows}
        services = _services(old_rows) | _services(new_rows)
        for service in services:
            self._update_service(service, entry, new_rows)
        removed = [row for row in old_rows if row.id not in new_by_id]
        changed = [row for row in new_rows if old_by_id.get(row.id) != row]
        for row in removed:
            self._notify_gone(entry, row)
        for row in changed:
            self._notify_changed(entry, row)

    def _update_service(
        self, service: str, entry: tables.Entry, rows: tuple[messages.Row, ...]
    ) -> None:
        """Update the index and cache of a service with the rows of a host."""
        host = entry.member.host
        own_rows = [row for row in rows if row.service == service]
        hosts = self.hosts_by_service.get(service, ())
        if own_rows and host not in hosts:
            self.hosts_by_service[sys.intern(service)] = (*hosts, host)
        elif not own_rows:
            remaining = tuple(name for name in hosts if name != host)
            self.hosts_by_service[service] = remaining
            if not remaining:
                del self.hosts_by_service[service]
        cached = self.cache.get(service)
        if cached is None:
            return
        if service in self.duplicated:
            self.cache[service] = self._build(service)
            return
        others = [item for item in cached if item.host != host]
        others.extend(to_upstream(entry.member, row) for row in own_rows)
        self.cache[service] = self._deduplicate(service, others)

    def _build(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Decode the upstreams of a service from the records."""
        entries = (
            self.table.entries[h]
            for h in self.hosts_by_service.get(service, ())
        )
        found = [
            to_upstream(entry.member, row)
            for entry in entries
            for row in _rows(entry.record)
            if row.service == service
        ]
        return self._deduplicate(service, found)

    def _deduplicate(
        self, service: str, found: list[interfaces.Upstream]
    ) -> tuple[interfaces.Upstream, ...]:
        """Sort upstreams by id and keep the newest one of each id.

        Two hosts announce the same id for a while when an upstream moves
        after its old host was lost.  Listed twice, it would get twice the
        requests.  So only the newest incarnation is listed, and the service
        is rebuilt at each change until the ids are unique again.
        """
        found.sort(key=lambda u: (u.id, u.incarnation, u.sequence, u.host))
        by_id = {item.id: item for item in found}
        if len(by_id) == len(found):
            self.duplicated.discard(service)
            return tuple(found)
        self.duplicated.add(service)
        return tuple(by_id.values())

    def _newest(self, service: str, name: str) -> interfaces.Upstream | None:
        """Return the newest incarnation of an upstream on any host."""
        found = (u for u in self.peek(service) if u.id == name)
        return next(found, None)

    def _newest_if_cached(
        self, row: messages.Row
    ) -> interfaces.Upstream | None:
        """Return the newest upstream with the id of a row.

        Return None for a service that is neither cached nor has duplicate
        ids.  Such services aren't decoded for this: when a data centre is
        lost, that would be thousands at once.
        """
        if row.service in self.cache or row.service in self.duplicated:
            return self._newest(row.service, row.id)
        return None

    def _notify_changed(self, entry: tables.Entry, row: messages.Row) -> None:
        """Notify of a changed row, unless another host has a newer one.

        Otherwise subscribers would take an upstream that has moved for
        draining or full because its previous incarnation was.
        """
        item = to_upstream(entry.member, row)
        newest = self._newest_if_cached(row)
        if newest is None or newest.host == item.host:
            self._notify(item)

    def _notify_gone(self, entry: tables.Entry, row: messages.Row) -> None:
        """Notify that an upstream is gone, unless another host has it.

        If the removed row was the newest one, subscribers are notified of
        the upstream that is listed now; if it wasn't, nothing has changed.
        """
        newest = self._newest_if_cached(row)
        if newest is None:
            item = to_upstream(entry.member, row)
            version = max(entry.record.sequence, item.sequence)
            gone = item._replace(state=interfaces.GONE, sequence=version)
            self._notify(gone)
        elif (row.incarnation, row.sequence) > (
            newest.incarnation,
            newest.sequence,
        ):
            self._notify(newest)

    def _notify(self, item: interfaces.Upstream) -> None:
        if (
            item.service in self.services_in_use
            or item.host == self.table.host
        ):
            self.timeline.record(
                'upstream-%s' % item.state,
                'on %s at %s' % (item.host, item.address),
                service=item.service,
                upstream=item.id,
            )
        for callback in self.callbacks:
            callback(item)


def to_upstream(member, row: messages.Row) -> interfaces.Upstream:
    """Return the upstream that a row of a record describes.

    :param member: the process that wrote the record.
    """
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
