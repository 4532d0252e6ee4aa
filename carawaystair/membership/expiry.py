"""Forgets hosts that left or died long ago.

What is kept of them has a bounded life, or a fleet that replaces hosts for
years would carry all their names.  It must be long enough, too: a late
message about a forgotten host would be taken for a new host.
"""

import asyncio
import typing

import mode

from carawaystair import clock
from carawaystair.membership import messages
from carawaystair.membership import table as tables

# A host that left is remembered for an hour: longer than any process goes on
# believing it alive, since a round trip through the whole fleet takes each
# process n probe periods, 21 minutes at 2,500 hosts.
LEFT_S = 3600.0
# A dead host is kept, and probed, for a day: regions lose each other for an
# hour, and both sides must find the other again.
DEAD_S = 86_400.0
SWEEP_S = 10.0


class HostExpiry(mode.Service):
    """Drops old entries from the table.

    :param table: the table of hosts.
    """

    def __init__(self, table: tables.Table, **kwargs) -> None:
        super().__init__(**kwargs)
        self.table = table

    @mode.Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(SWEEP_S)
            for host in old(self.table.entries.values(), clock.now()):
                self.table.forget(host)


def old(entries: typing.Iterable[tables.Entry], now: float) -> list[str]:
    """Return the hosts to forget.

    :param now: monotonic time.
    """
    lives = {messages.LEFT: LEFT_S, messages.DEAD: DEAD_S}
    return [
        entry.member.host
        for entry in entries
        if not entry.up and now - entry.since > lives[entry.state]
    ]
