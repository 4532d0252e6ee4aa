"""Transfers the keys of a partition to another replica, page by page."""

import struct
import typing

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import partition_replica as partition_replicas
from carawaystair.reservations import replica_server as replica_servers
from carawaystair.reservations import store
from carawaystair.reservations import windows

# Approximate size limit and maximum number of keys of a page: building a page
# must not block the event loop for long.
PAGE_BYTES = 128 * 1024
MAX_PAGE_KEYS = 512
# Maximum number of open transfers.  Further ones are refused, and their
# readers retry after a pause.  If a new transfer replaced the oldest one
# instead, whose reader would then start again, a larger number of readers
# would never finish.
MAX_TRANSFERS = 64
# An open transfer is dropped if no page was requested for this long; its
# reader waits one second for a page.
IDLE_TIMEOUT_S = 3.0


class OpenTransfer(typing.NamedTuple):
    """A transfer with pages left to send.

    :param key_digests: keys of the partition at the start of the transfer.
    :param last_read: monotonic time of the last request for a page.
    """

    key_digests: list[bytes]
    last_read: float


class TransferServer:
    """Serves the keys of the partition replicas of one process.

    :param server: partition replicas of the process.
    """

    def __init__(self, server: replica_servers.ReplicaServer) -> None:
        self.replica_server = server
        self.started = clock.now()
        # By partition and host of the reader.
        self.open_transfers: dict[tuple[int, str], OpenTransfer] = {}

    def window_passed(self) -> bool:
        """Return whether all votes of earlier runs of this process expired.

        Without this wait a key can be granted again after a restart: the
        replica votes, restarts without records, and votes for another token,
        because it doesn't know its own earlier vote.
        """
        window = self.replica_server.placement_table.key_space.window_s
        if not window:
            return False
        return clock.now() - self.started >= windows.abstention_s(window)

    def on_fetch(self, _sender: str, ask: messages.Fetch) -> messages.Page:
        """Return one page of keys."""
        server = self.replica_server
        server.placement_table.update([ask.placement])
        replica = server.partitions.get(ask.placement.partition)
        if replica is None or replica.placement.epoch != ask.placement.epoch:
            placement = server.placement_table.get(ask.placement.partition)
            known = messages.pack_rows([placement] if placement else [])
            return messages.Page(messages.NOT_READY, rows=known)
        state = self._source_state(replica, ask.reason)
        if state == messages.NOT_READY:
            return messages.Page(state)
        if ask.reason == messages.RECOVER:
            # Recorded before any key is sent: every later vote of this replica
            # then lists the new session, and coordinators discard votes of
            # the earlier one.
            known = replica.record_session(ask.host, ask.session)
            if known > ask.session:
                return messages.Page(messages.STALE_SESSION, known)
        return self._page(replica, ask, state)

    def _source_state(
        self, replica: partition_replicas.PartitionReplica, reason: int
    ) -> int:
        """Return the state of a replica as a source of keys."""
        if replica.state == partition_replicas.ACTIVE:
            return messages.ACTIVE
        if reason == messages.RECOVER:
            return messages.NOT_READY
        was_member = replica.placement.was_member(self.replica_server.host)
        if was_member and (
            replica.state == partition_replicas.SEALED or self.window_passed()
        ):
            return messages.SEALED
        return messages.NOT_READY

    def _page(
        self,
        replica: partition_replicas.PartitionReplica,
        ask: messages.Fetch,
        state: int,
    ) -> messages.Page:
        transfer_id = (ask.placement.partition, ask.host)
        key_digests = self._transfer_keys(transfer_id, replica, ask.start)
        if key_digests is None:
            return messages.Page(messages.NOT_READY)
        next_start = ask.start
        entries, size = [], 0
        for key_digest in key_digests[ask.start : ask.start + MAX_PAGE_KEYS]:
            next_start += 1
            entry = _entry(replica.store, key_digest)
            if entry is not None:
                entries.append(entry)
                size += len(entry.record)
            if size >= PAGE_BYTES:
                break
        if next_start >= len(key_digests):
            del self.open_transfers[transfer_id]
            next_start = 0
        return messages.Page(
            state,
            ask.session,
            tuple(replica.known_sessions.items()),
            tuple(entries),
            next_start,
        )

    def _transfer_keys(
        self,
        transfer_id: tuple[int, str],
        replica: partition_replicas.PartitionReplica,
        start: int,
    ) -> list[bytes] | None:
        """Return the keys of a transfer, or None if it can't be served."""
        now = clock.now()
        transfer = self.open_transfers.pop(transfer_id, None)
        if start and transfer is None:
            return None
        if not start:
            if not self._evict_idle(now):
                return None
            # The keys at this time suffice: later votes list the new session,
            # and records that are removed later need not be sent.
            transfer = OpenTransfer(list(replica.store.records), now)
        self.open_transfers[transfer_id] = transfer._replace(last_read=now)
        return transfer.key_digests

    def _evict_idle(self, now: float) -> bool:
        """Drop idle transfers; return whether another one may start."""
        self.open_transfers = {
            transfer_id: transfer
            for transfer_id, transfer in self.open_transfers.items()
            if now - transfer.last_read < IDLE_TIMEOUT_S
        }
        return len(self.open_transfers) < MAX_TRANSFERS


def _entry(
    source: store.RecordStore, key_digest: bytes
) -> messages.Entry | None:
    data = source.records.get(key_digest)
    if data is None:
        return None
    remaining_s = store.unpack(data).expires - clock.now()
    return (
        messages.Entry(key_digest, remaining_s, data)
        if remaining_s > 0
        else None
    )


def merge_entries(
    target: store.RecordStore,
    entries: typing.Iterable[messages.Entry],
    released: typing.Container[bytes],
) -> bool:
    """Merge fetched keys into the store of a replica that doesn't vote yet.

    :param target: store of the replica.
    :param entries: fetched keys.
    :param released: tokens that were released in the meantime.
    :return: False if an entry is invalid.
    """
    now = clock.now()
    for entry in entries:
        try:
            record = store.unpack(entry.record)
        except struct.error:
            return False
        record = record._replace(expires=now + entry.remaining_s)
        if record.token in released and record.state == store.HELD:
            continue
        own = target.get(entry.key_digest, now)
        target.put(
            entry.key_digest, merge_records(own, record) if own else record
        )
    return True


def merge_records(first: store.Record, second: store.Record) -> store.Record:
    """Return the record that follows from those of two replicas.

    If they hold the key for different tokens, one of these may have been
    granted with a vote that was lost.  It is not known which one, so neither
    gets a vote here before the window has passed.
    """
    expires = max(first.expires, second.expires)
    if first.token != second.token or store.BLOCKED in (
        first.state,
        second.state,
    ):
        return first._replace(
            token=b'',
            expires=expires,
            state=store.BLOCKED,
            status=0,
            answer=b'',
        )
    settled = second if first.state == store.HELD else first
    return settled._replace(expires=expires)
