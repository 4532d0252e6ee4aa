"""Tests of transfers: many replicas fetch keys from one process."""

import asyncio
import types

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import partition_replica as partition_replicas
from carawaystair.reservations import store
from carawaystair.reservations import transfer
from test import fakes

# More than the maximum number of open transfers.
READERS = 2 * transfer.MAX_TRANSFERS + 10
KEYS = 3 * transfer.MAX_PAGE_KEYS - 1


def record():
    """Return a packed record that does not expire during the test."""
    expires = clock.now() + 1000
    return store.pack(store.Record(b't' * 16, b'd' * 16, 1, expires))


def make_server():
    """Return the transfer server of a process and its replicas."""
    data = record()
    records = {b'%d' % number: data for number in range(KEYS)}
    replicas = {
        number: types.SimpleNamespace(
            placement=types.SimpleNamespace(partition=number, epoch=1),
            state=partition_replicas.ACTIVE,
            store=types.SimpleNamespace(records=records),
            known_sessions={},
        )
        for number in range(READERS)
    }
    server = types.SimpleNamespace(
        partitions=replicas,
        placement_table=types.SimpleNamespace(update=lambda _placements: None),
    )
    return transfer.TransferServer(server), replicas


def fetch_message(replica, start):
    return messages.Fetch(
        replica.placement, 'asker', 1, messages.TAKE_OVER, start
    )


def test_more_readers_than_open_transfers_all_finish():
    """Guards against transfers that displace each other forever.

    A process kept 64 open transfers and dropped the oldest for each new one.
    The reader of a dropped transfer started again and displaced another one:
    with more than twice as many readers, requesting in turn, none finished.
    """

    async def scenario():
        transfer_server, replicas = make_server()
        starts = dict.fromkeys(replicas, 0)
        for _turn in range(12):
            for number, start in list(starts.items()):
                page = transfer_server.on_fetch(
                    'asker', fetch_message(replicas[number], start)
                )
                starts[number] = page.next_start
                if page.state == messages.ACTIVE and not page.next_start:
                    del starts[number]
        return starts

    assert not fakes.run(scenario())


def test_idle_transfer_is_dropped_for_a_new_one():
    async def scenario():
        transfer_server, replicas = make_server()
        for number in range(transfer.MAX_TRANSFERS):
            transfer_server.on_fetch(
                'asker', fetch_message(replicas[number], 0)
            )
        late_request = fetch_message(replicas[READERS - 1], 0)
        assert (
            transfer_server.on_fetch('asker', late_request).state
            == messages.NOT_READY
        )
        await asyncio.sleep(transfer.IDLE_TIMEOUT_S)
        assert (
            transfer_server.on_fetch('asker', late_request).state
            == messages.ACTIVE
        )
        assert len(transfer_server.open_transfers) == 1

    fakes.run(scenario())
