"""Expiry of table entries of hosts that left or died long ago.

Without it, a fleet that replaces hosts for years would accumulate all their
names.  Entries must not expire too early either: a delayed message about a
forgotten host would add it to the table as a new host.
"""

import asyncio
import typing

import mode

from carawaystair import clock
from carawaystair.membership import messages
from carawaystair.membership import table as tables

# Retention of hosts that left.  One hour is longer than any process can go on
# believing such a host alive: a process needs n probe periods to probe the
# whole fleet, 21 minutes at 2,500 hosts.
LEFT_RETENTION_S = 3600.0
# Retention of dead hosts, which are still probed.  Regions can be disconnected
# for an hour, and both sides must find each other again afterwards.
DEAD_RETENTION_S = 86_400.0
SWEEP_INTERVAL_S = 10.0


class HostExpiry(mode.Service):
    """Periodically removes expired hosts from the table.

    :param table: the table of hosts.
    """

    def __init__(self, table: tables.Table, **kwargs) -> None:
        super().__init__(**kwargs)
        self.table = table

    @mode.Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for host in expired_hosts(
                self.table.entries.values(), clock.now()
            ):
                self.table.forget(host)


def expired_hosts(
    entries: typing.Iterable[tables.Entry], now: float
) -> list[str]:
    """Return the hosts whose retention time has passed.

    :param now: monotonic time.
    """
    retention_s = {
        messages.LEFT: LEFT_RETENTION_S,
        messages.DEAD: DEAD_RETENTION_S,
    }
    return [
        entry.member.host
        for entry in entries
        if not entry.up and now - entry.state_since > retention_s[entry.state]
    ]
