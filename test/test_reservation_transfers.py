"""Many replicas fetch the keys of partitions from one at the same time."""

import asyncio
import types

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import partition_replica as partition_replicas
from carawaystair.reservations import store
from carawaystair.reservations import transfer
from test import fakes

# More than the transfers that one process serves at once.
READERS = 2 * transfer.MAX_TRANSFERS + 10
KEYS = 3 * transfer.MAX_PAGE_KEYS - 1


def record():
    """Return a packed key that lasts."""
    expires = clock.now() + 1000
    return store.pack(store.Record(b't' * 16, b'd' * 16, 1, expires))


def serving():
    """Return the transfers of a process with many partitions of keys."""
    data = record()
    kept = {b'%d' % number: data for number in range(KEYS)}
    replicas = {
        number: types.SimpleNamespace(
            placement=types.SimpleNamespace(partition=number, epoch=1),
            state=partition_replicas.ACTIVE,
            store=types.SimpleNamespace(records=kept),
            known_sessions={},
        )
        for number in range(READERS)
    }
    server = types.SimpleNamespace(
        partitions=replicas,
        placement_table=types.SimpleNamespace(update=lambda _placements: None),
    )
    return transfer.TransferServer(server), replicas


def ask(replica, start):
    return messages.Fetch(
        replica.placement, 'asker', 1, messages.TAKE_OVER, start
    )


def test_transfers_end_although_more_are_asked_for_than_served_at_once():
    """Transfers took each other's place, and none ever ended.

    A process remembered the keys of 64 transfers and dropped the oldest for
    each new one.  The reader of a dropped one began again, and dropped
    another that way: with more than twice as many readers, asking by turns,
    all began again without an end.
    """

    async def scenario():
        transfer_server, replicas = serving()
        starts = dict.fromkeys(replicas, 0)
        for _turn in range(12):
            for number, start in list(starts.items()):
                page = transfer_server.on_fetch(
                    'asker', ask(replicas[number], start)
                )
                starts[number] = page.next_start
                if page.state == messages.ACTIVE and not page.next_start:
                    del starts[number]
        return starts

    assert not fakes.run(scenario())


def test_transfer_that_nobody_reads_on_makes_place():
    async def scenario():
        transfer_server, replicas = serving()
        for number in range(transfer.MAX_TRANSFERS):
            transfer_server.on_fetch('asker', ask(replicas[number], 0))
        late = ask(replicas[READERS - 1], 0)
        assert (
            transfer_server.on_fetch('asker', late).state == messages.NOT_READY
        )
        await asyncio.sleep(transfer.IDLE_TIMEOUT_S)
        assert transfer_server.on_fetch('asker', late).state == messages.ACTIVE
        assert len(transfer_server.open_transfers) == 1

    fakes.run(scenario())
