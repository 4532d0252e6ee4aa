"""Many replicas fetch the keys of partitions from one at the same time."""

import asyncio
import types

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import seat as seats
from carawaystair.reservations import store
from carawaystair.reservations import transfer
from test import fakes

# More than the transfers that one process serves at once.
READERS = 2 * transfer.MAX_TRANSFERS + 10
KEYS = 3 * transfer.PAGE_KEYS - 1


def record():
    """Return a packed key that lasts."""
    expires = clock.now() + 1000
    return store.pack(store.Record(b't' * 16, b'd' * 16, 1, expires))


def serving():
    """Return the transfers of a process with many partitions of keys."""
    data = record()
    kept = {b'%d' % number: data for number in range(KEYS)}
    found = {
        number: types.SimpleNamespace(
            row=types.SimpleNamespace(partition=number, epoch=1),
            standing=seats.ACTIVE,
            store=types.SimpleNamespace(records=kept),
            known={},
        )
        for number in range(READERS)
    }
    replica = types.SimpleNamespace(
        seats=found, book=types.SimpleNamespace(take=lambda _rows: None)
    )
    return transfer.Transfers(replica), found


def ask(seat, start):
    return messages.Fetch(seat.row, 'asker', 1, messages.TAKE_OVER, start)


def test_transfers_end_although_more_are_asked_for_than_served_at_once():
    """Transfers took each other's place, and none ever ended.

    A process remembered the keys of 64 transfers and dropped the oldest for
    each new one.  The reader of a dropped one began again, and dropped
    another that way: with more than twice as many readers, asking by turns,
    all began again without an end.
    """

    async def scenario():
        transfers, found = serving()
        starts = dict.fromkeys(found, 0)
        for _turn in range(12):
            for number, start in list(starts.items()):
                page = transfers.fetch('asker', ask(found[number], start))
                starts[number] = page.next
                if page.standing == messages.ACTIVE and not page.next:
                    del starts[number]
        return starts

    assert not fakes.run(scenario())


def test_transfer_that_nobody_reads_on_makes_place():
    async def scenario():
        transfers, found = serving()
        for number in range(transfer.MAX_TRANSFERS):
            transfers.fetch('asker', ask(found[number], 0))
        late = ask(found[READERS - 1], 0)
        assert transfers.fetch('asker', late).standing == messages.UNABLE
        await asyncio.sleep(transfer.UNREAD_S)
        assert transfers.fetch('asker', late).standing == messages.ACTIVE
        assert len(transfers.under_way) == 1

    fakes.run(scenario())
