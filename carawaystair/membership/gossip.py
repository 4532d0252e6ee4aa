"""Gossip: news of liveness, with probes and on its own.

News rides on probes and their answers.  While there is some, it is also sent
on its own, so that a suspicion and its refutation reach everybody well
within the time that the suspected host has.
"""

import asyncio
import operator
import random
import typing

import mode

from carawaystair.membership import messages
from carawaystair.membership import news_queue
from carawaystair.membership import table as tables

# While there is news, it goes to so many processes in so much time.
PERIOD_S = 0.2
FANOUT = 2
# A refutation goes to so many processes at once.
REFUTE_FANOUT = 3


class Gossip(mode.Service):
    """Spreads news and takes it in.

    :param table: the table of hosts.
    :param datagrams: the datagrams of this process.
    :param rng: the source of randomness.
    """

    def __init__(
        self, table: tables.Table, datagrams, rng: random.Random, **kwargs
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.datagrams = datagrams
        self.rng = rng
        self.queue = news_queue.Queue(lambda: len(table.up()))
        # Takes each piece of news that is to be believed, see suspicion.
        self.believe: typing.Callable[[messages.News], None] = self.queue.add
        datagrams.handle(messages.Rumour, self._rumoured)

    def refute(self) -> None:
        """Tell that this process lives, at its new incarnation."""
        me = self.table.me.member
        self.queue.add(messages.News(me.host, messages.ALIVE, me.incarnation))
        self._tell(REFUTE_FANOUT)

    def take(self, host: str, news: typing.Iterable[messages.News]) -> None:
        """Take in news; from a host believed dead only what is about us.

        A host that can send but hears nothing suspects everybody.  Once it
        is itself believed dead, its word about others counts no more.
        """
        entry = self.table.entries.get(host)
        trusted = entry is not None and entry.up
        for item in news:
            if trusted or item.host == self.table.host:
                self.believe(item)

    @mode.Service.task
    async def _spread(self) -> None:
        """Send news on its own while there is some."""
        while not self.should_stop:
            await self.queue.filled.wait()
            await asyncio.sleep(PERIOD_S)
            self._tell(FANOUT)

    def _tell(self, count: int) -> None:
        up = self.table.up()
        chosen = self.rng.sample(up, min(2 * count + 1, len(up)))
        others = [entry for entry in chosen if entry is not self.table.me]
        # Those under suspicion likely hear nothing.
        others.sort(key=operator.attrgetter('state'))
        for entry in others[:count]:
            news = self.queue.pick()
            if not news:
                return
            rumour = messages.Rumour(self.table.host, news)
            self.datagrams.send(entry.member.gossip, rumour)

    def _rumoured(self, _sender: str, rumour: messages.Rumour) -> None:
        self.take(rumour.host, rumour.news)
