"""Hands the keys of a partition to another replica, page by page."""

import struct
import typing

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import partition_replica as partition_replicas
from carawaystair.reservations import replica_server as replica_servers
from carawaystair.reservations import store
from carawaystair.reservations import windows

# Bytes of a page, about, and keys in it at most: a page must not keep the
# event loop from requests for long.
PAGE_BYTES = 128 * 1024
MAX_PAGE_KEYS = 512
# Transfers under way.  Beyond them further ones are refused, and asked for
# again after a pause: if a new one took the place of the oldest, whose reader
# then begins anew, more readers than this would never come to an end.
MAX_TRANSFERS = 64
# A transfer of which no page was asked for so long makes place, seconds: its
# reader gives up a page after one second.
IDLE_TIMEOUT_S = 3.0


class OpenTransfer(typing.NamedTuple):
    """A transfer that has begun.

    :param names: the keys, as they were at its beginning.
    :param used: monotonic time at which a page was last asked for.
    """

    key_digests: list[bytes]
    last_read: float


class TransferServer:
    """The transfers that one process serves.

    :param replica: its partitions.
    """

    def __init__(self, server: replica_servers.ReplicaServer) -> None:
        self.replica_server = server
        self.started = clock.now()
        # By partition and reader.
        self.open_transfers: dict[tuple[int, str], OpenTransfer] = {}

    def window_passed(self) -> bool:
        """Tell whether all votes of an earlier run of this process are void.

        Symptom without the wait: a key is granted again after a restart.
        Sequence: a replica votes, starts again empty, and votes for another
        token.  Cause: it doesn't know its own earlier vote.
        """
        window = self.replica_server.placement_table.key_space.window_s
        if not window:
            return False
        return clock.now() - self.started >= windows.abstention_s(window)

    def on_fetch(self, _sender: str, ask: messages.Fetch) -> messages.Page:
        """Answer one page."""
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
            # Before any key is sent: every later vote of this replica then
            # tells owners not to count votes of the earlier session.
            known = replica.record_session(ask.host, ask.session)
            if known > ask.session:
                return messages.Page(messages.STALE_SESSION, known)
        return self._page(replica, ask, state)

    def _source_state(
        self, replica: partition_replicas.PartitionReplica, reason: int
    ) -> int:
        """Return how a seat stands as a source of keys."""
        if replica.state == partition_replicas.ACTIVE:
            return messages.ACTIVE
        if reason == messages.RECOVER:
            return messages.NOT_READY
        before = replica.placement.was_member(self.replica_server.host)
        if before and (
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
        end = ask.start
        entries, size = [], 0
        for key_digest in key_digests[ask.start : ask.start + MAX_PAGE_KEYS]:
            end += 1
            entry = _entry(replica.store, key_digest)
            if entry is not None:
                entries.append(entry)
                size += len(entry.record)
            if size >= PAGE_BYTES:
                break
        if end >= len(key_digests):
            del self.open_transfers[transfer_id]
            end = 0
        return messages.Page(
            state,
            ask.session,
            tuple(replica.known_sessions.items()),
            tuple(entries),
            end,
        )

    def _transfer_keys(
        self,
        transfer_id: tuple[int, str],
        replica: partition_replicas.PartitionReplica,
        start: int,
    ) -> list[bytes] | None:
        """Return the keys of a transfer, None when it can't be served."""
        now = clock.now()
        transfer = self.open_transfers.pop(transfer_id, None)
        if start and transfer is None:
            return None
        if not start:
            if not self._evict_idle(now):
                return None
            # The names as of now: what is voted later carries the new
            # session, and what is dropped later needs no sending.
            transfer = OpenTransfer(list(replica.store.records), now)
        self.open_transfers[transfer_id] = transfer._replace(last_read=now)
        return transfer.key_digests

    def _evict_idle(self, now: float) -> bool:
        """Let go of transfers that nobody reads on; tell if there is room."""
        self.open_transfers = {
            transfer_id: transfer
            for transfer_id, transfer in self.open_transfers.items()
            if now - transfer.last_read < IDLE_TIMEOUT_S
        }
        return len(self.open_transfers) < MAX_TRANSFERS


def _entry(
    target: store.RecordStore, key_digest: bytes
) -> messages.Entry | None:
    data = target.records.get(key_digest)
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
    """Take fetched keys into a store that doesn't vote yet.

    :param released: tokens that were given back meanwhile.
    :return: False when an entry can't be read.
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
    """Return what two replicas together say of a key.

    Where they hold it for two tokens, one of these may have been granted
    with a vote that is lost.  Which one can't be told, so neither gets a
    vote here before the window has passed.
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
