"""Joining the fleet through one of several seeds."""

import asyncio
import random
import typing

import mode

from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import dead_prober as dead_probers
from carawaystair.membership import flooding
from carawaystair.membership import messages
from carawaystair.membership import probe
from carawaystair.membership import table as tables

TIMEOUT_S = 1.0
# Pause between attempts until a seed has answered, in seconds.
RETRY_S = 1.0
# Afterwards the fleet as a whole asks seeds that are not members about once
# per SEED_INTERVAL_S, and each process at most once per MIN_ASK_INTERVAL_S.
SEED_INTERVAL_S = 0.05
MIN_ASK_INTERVAL_S = 10.0
# Records in a Greeting.  The newcomer gets the rest by anti-entropy, which
# spreads the load over many members instead of the few seeds.
GREETING_RECORDS = 16
# Timeout of the probe of a newcomer, in seconds.
PROBE_TIMEOUT_S = 0.4

LOG = logs.get('membership')


class Joining(mode.Service):
    """Asks the seeds that are not members, and answers as a seed.

    :param table: the table of hosts.
    :param flooder: accepts and forwards records.
    :param prober: probes newcomers.
    :param dead_prober: probes dead hosts that others believe alive.
    :param transport: the messages of this process.
    :param seeds: ``ip:port`` of the links of some processes.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        table: tables.Table,
        flooder: flooding.Flooder,
        prober: probe.Prober,
        dead_prober: dead_probers.DeadProber,
        transport: interfaces.Transport,
        seeds: typing.Sequence[str],
        rng: random.Random,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.flooder = flooder
        self.prober = prober
        self.dead_prober = dead_prober
        self.transport = transport
        own = table.own_entry.member.peer
        self.seeds = tuple(seed for seed in seeds if seed != own)
        self.rng = rng
        transport.handle(messages.Hello, self._handle_hello)

    @mode.Service.task
    async def _ask_missing_seeds(self) -> None:
        """Ask the seeds that are not members, until the service stops.

        If this ended after the first answer, two halves of a fleet that were
        disconnected until they forgot each other would never rejoin.
        """
        while not self.should_stop:
            seeds = self.missing_seeds()
            if seeds:
                await self._ask_seed(self.rng.choice(seeds))
            await asyncio.sleep(self._pause_s() * self.rng.uniform(0.5, 1.5))

    def missing_seeds(self) -> list[str]:
        """Return the seeds that are not among the members believed alive."""
        alive = {entry.member.peer for entry in self.table.live_entries()}
        return [seed for seed in self.seeds if seed not in alive]

    def _pause_s(self) -> float:
        """Return the seconds until the next attempt.

        It grows with the fleet, so that a seed that restarts isn't contacted
        by all processes at once.
        """
        others = len(self.table.live_entries()) - 1
        return (
            max(MIN_ASK_INTERVAL_S, SEED_INTERVAL_S * others)
            if others
            else RETRY_S
        )

    async def _ask_seed(self, seed: str) -> None:
        own_record = self.table.own_entry.record
        result = await self.transport.call(
            seed, messages.Hello(own_record), TIMEOUT_S
        )
        if result.is_error():
            LOG.debug('A seed does not answer.', seed=seed)
            return
        if result.ok.incarnation:
            self.table.on_newer_start(result.ok.incarnation)
        self.flooder.accept(result.ok.records, forward=False)
        # After a long partition these hosts are known but believed dead.
        for record in result.ok.records:
            self.dead_prober.probe_soon(record.host)

    async def _handle_hello(
        self, _sender: str, hello: messages.Hello
    ) -> messages.Greeting | None:
        """Admit a process once a probe shows that datagrams pass both ways.

        A process with datagrams in one direction only would otherwise be
        believed alive by every member until each had probed it.
        """
        record = hello.record
        body = messages.unpack(record.body)
        if body is None or record.host == self.table.host:
            return None
        known = self.table.entries.get(record.host)
        if known is not None and known.record.version > record.version:
            return messages.Greeting(known.record.incarnation, ())
        stranger = tables.Entry(record, tables.member(record, body), 0.0)
        if not await self.prober.probe_directly(
            known or stranger, PROBE_TIMEOUT_S
        ):
            return None
        self.flooder.accept((record,))
        return messages.Greeting(0, self._greeting_records(record.host))

    def _greeting_records(self, newcomer: str) -> tuple[messages.Record, ...]:
        """Return the own record and those of some other members."""
        others = [
            entry.record
            for entry in self.table.live_entries()
            if entry.member.host not in (newcomer, self.table.host)
        ]
        chosen = self.rng.sample(others, min(GREETING_RECORDS, len(others)))
        return (self.table.own_entry.record, *chosen)
