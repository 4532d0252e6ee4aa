"""Joining the fleet through any of a few seeds."""

import asyncio
import random
import typing

import mode

from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import flood as floods
from carawaystair.membership import messages
from carawaystair.membership import table as tables

TIMEOUT_S = 1.0
# Pause between attempts at seeds, in seconds.
RETRY_S = (0.5, 1.5)
# Records that a seed gives a newcomer at once; the rest comes by
# anti-entropy from other members.
GREETING = 16

LOG = logs.get('membership')


class Joining(mode.Service):
    """Asks seeds until one answers, and answers as a seed.

    :param table: the table of hosts.
    :param flood: passes records on.
    :param transport: the messages of this process.
    :param seeds: addresses for messages of some processes.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        table: tables.Table,
        flood: floods.Flood,
        transport: interfaces.Transport,
        seeds: typing.Sequence[str],
        rng: random.Random,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.flood = flood
        self.transport = transport
        own = table.entries[table.host].member.peer
        self.seeds = tuple(seed for seed in seeds if seed != own)
        self.rng = rng
        transport.handle(messages.Hello, self._hello)

    @mode.Service.task
    async def _join(self) -> None:
        """Ask the seeds that are not members, for ever.

        Were it to end once a seed answered, two halves of a fleet that
        forgot each other would never meet again.
        """
        while not self.should_stop:
            seeds = self.missing()
            if seeds:
                await self._ask(self.rng.choice(seeds))
            await asyncio.sleep(self.rng.uniform(*RETRY_S))

    def missing(self) -> list[str]:
        """Return the seeds that are not believed alive."""
        alive = {entry.member.peer for entry in self.table.up()}
        return [seed for seed in self.seeds if seed not in alive]

    async def _ask(self, seed: str) -> None:
        mine = self.table.entries[self.table.host].record
        result = await self.transport.call(
            seed, messages.Hello(mine), TIMEOUT_S
        )
        if result.is_error():
            LOG.debug('A seed does not answer.', seed=seed)
            return
        if result.ok.incarnation >= mine.incarnation:
            self.table.accused(result.ok.incarnation)
        self.flood.take(result.ok.records)

    async def _hello(
        self, _sender: str, hello: messages.Hello
    ) -> messages.Greeting:
        known = self.table.entries.get(hello.record.host)
        highest = 0
        if known is not None and known.record.version > hello.record.version:
            highest = known.member.incarnation
        self.flood.take((hello.record,))
        others = [entry.record for entry in self.table.up()]
        return messages.Greeting(highest, tuple(others))
