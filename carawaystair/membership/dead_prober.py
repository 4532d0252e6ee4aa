"""Probes of hosts believed dead, so that a healed partition is noticed."""

import asyncio
import random

import mode

from carawaystair.membership import probe
from carawaystair.membership import table as tables

# The fleet as a whole probes each dead host about once per period.
PERIOD_S = 1.0
# Queued requests to probe a host that is dead here and alive elsewhere.
MAX_REQUESTED = 256


class DeadProber(mode.Service):
    """Probes hosts believed dead at random times and on request.

    :param table: the table of hosts.
    :param prober: sends the probes.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        table: tables.Table,
        prober: probe.Prober,
        rng: random.Random,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.prober = prober
        self.rng = rng
        self.requested: dict[str, None] = {}

    def probe_soon(self, host: str) -> None:
        """Queue a probe of a host if it is believed dead here."""
        if host in self.table.dead and len(self.requested) < MAX_REQUESTED:
            self.requested[host] = None

    @mode.Service.task
    async def _probe_dead(self) -> None:
        """Probe at most one dead host per period.

        This bounds the load whether one host died or a region is cut off:
        the fleet sends each dead host about one probe a second, and each
        process sends at most one.
        """
        while not self.should_stop:
            await asyncio.sleep(PERIOD_S * self.rng.uniform(0.5, 1.5))
            host = self.choose_host()
            if host is not None:
                entry = self.table.entries[host]
                await self.prober.probe_directly(entry, probe.DIRECT_TIMEOUT_S)

    def choose_host(self) -> str | None:
        """Choose the dead host to probe in this period, or None."""
        while self.requested:
            host = next(iter(self.requested))
            del self.requested[host]
            if host in self.table.dead:
                return host
        dead = self.table.dead
        share = len(dead) / max(len(self.table.live_entries()), 1)
        if not dead or self.rng.random() >= share:
            return None
        return self.rng.choice(sorted(dead))
