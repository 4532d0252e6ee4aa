"""Probes of the dead, so that a healed network is noticed from both sides."""

import asyncio
import random

import mode

from carawaystair.membership import probe
from carawaystair.membership import table as tables

# Each host believed dead is probed about once in this time by all together.
PERIOD_S = 1.0
# Hosts that others believe alive though they are believed dead here.
MAX_CONTESTED = 256


class DeadProber(mode.Service):
    """Probes hosts believed dead now and then.

    :param table: the table of hosts.
    :param prober: the prober.
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
        self.contested: dict[str, None] = {}

    def probe_soon(self, host: str) -> None:
        """Probe a host soon if it is believed dead here."""
        if host in self.table.dead and len(self.contested) < MAX_CONTESTED:
            self.contested[host] = None

    @mode.Service.task
    async def _revive(self) -> None:
        """Probe at most one dead host in each period.

        Each dead host costs the fleet one probe a second and each process
        sends at most one, whether one host died or a region is cut off.
        """
        while not self.should_stop:
            await asyncio.sleep(PERIOD_S * self.rng.uniform(0.5, 1.5))
            host = self.choose()
            if host is not None:
                entry = self.table.entries[host]
                await self.prober.reach(entry, probe.DIRECT_S)

    def choose(self) -> str | None:
        """Choose a host believed dead, or none this time."""
        while self.contested:
            host = next(iter(self.contested))
            del self.contested[host]
            if host in self.table.dead:
                return host
        dead = self.table.dead
        share = len(dead) / max(len(self.table.up()), 1)
        if not dead or self.rng.random() >= share:
            return None
        return self.rng.choice(sorted(dead))
