"""Gossip of liveness news between processes.

News is piggybacked on probes and their answers.  While any is queued it is
also sent in datagrams of its own, so that a suspicion and its refutation reach
every process well before the suspicion times out.
"""

import asyncio
import operator
import random
import typing

import mode

from carawaystair.membership import messages
from carawaystair.membership import news_queue
from carawaystair.membership import table as tables

# Queued news is sent to this many processes once per period.
SEND_PERIOD_S = 0.2
SEND_FANOUT = 2
# Number of processes to which a refutation is sent immediately.
REFUTE_FANOUT = 3


class Gossip(mode.Service):
    """Sends and receives liveness news.

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
        self.queue = news_queue.Queue(lambda: len(table.live_entries()))
        # Called with each trusted piece of news; the prober replaces it.
        self.on_news: typing.Callable[[messages.News], None] = self.queue.add
        datagrams.handle(messages.Rumour, self._handle_rumour)

    def refute(self) -> None:
        """Announce that this process is alive, with its new incarnation."""
        me = self.table.own_entry.member
        self.queue.add(messages.News(me.host, messages.ALIVE, me.incarnation))
        self._send_news(REFUTE_FANOUT)

    def receive(self, host: str, news: typing.Iterable[messages.News]) -> None:
        """Process received news.

        A host that can send but not receive suspects every other host.  Once
        it is believed dead, its news about others is ignored; only what it
        says of this process is still processed.
        """
        entry = self.table.entries.get(host)
        trusted = entry is not None and entry.up
        for item in news:
            if trusted or item.host == self.table.host:
                self.on_news(item)

    @mode.Service.task
    async def _send_while_queued(self) -> None:
        """Send news in datagrams of its own while any is queued."""
        while not self.should_stop:
            await self.queue.not_empty.wait()
            await asyncio.sleep(SEND_PERIOD_S)
            self._send_news(SEND_FANOUT)

    def _send_news(self, count: int) -> None:
        up = self.table.live_entries()
        chosen = self.rng.sample(up, min(2 * count + 1, len(up)))
        others = [
            entry for entry in chosen if entry is not self.table.own_entry
        ]
        # Suspected hosts come last: they probably receive nothing.
        others.sort(key=operator.attrgetter('state'))
        for entry in others[:count]:
            news = self.queue.take_batch()
            if not news:
                return
            rumour = messages.Rumour(self.table.host, news)
            self.datagrams.send(entry.member.gossip, rumour)

    def _handle_rumour(self, _sender: str, rumour: messages.Rumour) -> None:
        self.receive(rumour.host, rumour.news)
