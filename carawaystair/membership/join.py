"""Joining the fleet through any of a few seeds."""

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
# Pause between attempts at seeds, in seconds, until one has answered.
RETRY_S = 1.0
# Later a seed that is not a member is asked by all processes together about
# this often, in seconds, and by each no more often than RECALL_S.
SEED_S = 0.05
RECALL_S = 10.0
# Records that a seed gives a newcomer; the rest comes by anti-entropy, from
# many members in place of a few seeds.
GREETING = 16
# Time for each of two probes of a newcomer.
REACH_S = 0.4

LOG = logs.get('membership')


class Joining(mode.Service):
    """Asks seeds until one answers, and answers as a seed.

    :param table: the table of hosts.
    :param flooder: passes records on.
    :param prober: probes newcomers.
    :param dead_prober: probes hosts that others believe alive.
    :param transport: the messages of this process.
    :param seeds: addresses for messages of some processes.
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
        own = table.me.member.peer
        self.seeds = tuple(seed for seed in seeds if seed != own)
        self.rng = rng
        transport.handle(messages.Hello, self._hello)

    @mode.Service.task
    async def _join(self) -> None:
        """Ask the seeds that are not members, for ever.

        Were it to end once a seed answered, two halves of a fleet that were
        apart until they forgot each other would never meet again.
        """
        while not self.should_stop:
            seeds = self.missing()
            if seeds:
                await self._ask(self.rng.choice(seeds))
            await asyncio.sleep(self._pause() * self.rng.uniform(0.5, 1.5))

    def missing(self) -> list[str]:
        """Return the seeds that are not believed alive."""
        alive = {entry.member.peer for entry in self.table.up()}
        return [seed for seed in self.seeds if seed not in alive]

    def _pause(self) -> float:
        """Return the seconds until the next attempt.

        A seed that comes back must not be met by the whole fleet at once.
        """
        others = len(self.table.up()) - 1
        return max(RECALL_S, SEED_S * others) if others else RETRY_S

    async def _ask(self, seed: str) -> None:
        mine = self.table.me.record
        result = await self.transport.call(
            seed, messages.Hello(mine), TIMEOUT_S
        )
        if result.is_error():
            LOG.debug('A seed does not answer.', seed=seed)
            return
        if result.ok.incarnation:
            self.table.outdated(result.ok.incarnation)
        self.flooder.accept(result.ok.records, forward=False)
        # After a long cut they are known and believed dead.
        for record in result.ok.records:
            self.dead_prober.probe_soon(record.host)

    async def _hello(
        self, _sender: str, hello: messages.Hello
    ) -> messages.Greeting | None:
        """Let a process join, once a round trip shows that it hears us.

        One whose datagrams get through in one direction only would be
        believed alive by all until each had found out for itself.
        """
        record = hello.record
        body = messages.unpack(record.body)
        if body is None or record.host == self.table.host:
            return None
        known = self.table.entries.get(record.host)
        if known is not None and known.record.version > record.version:
            return messages.Greeting(known.record.incarnation, ())
        stranger = tables.Entry(record, tables.member(record, body), 0.0)
        if not await self.prober.reach(known or stranger, REACH_S):
            return None
        self.flooder.accept((record,))
        return messages.Greeting(0, self._sample(record.host))

    def _sample(self, newcomer: str) -> tuple[messages.Record, ...]:
        """Return the own record and those of some other members."""
        others = [
            entry.record
            for entry in self.table.up()
            if entry.member.host not in (newcomer, self.table.host)
        ]
        chosen = self.rng.sample(others, min(GREETING, len(others)))
        return (self.table.me.record, *chosen)
