"""News of liveness that waits to be spread, each a bounded number of times.

News travels with probes and on its own while there is some.  Each datagram
carries the news that this process has sent the fewest times; after a number
of times that grows with log n it is dropped, and epidemic spreading has then
reached every process with high probability (SWIM, section 4.1).
"""

import asyncio
import heapq
import itertools
import math
import operator
import typing

from carawaystair.membership import messages

# Times that each process sends a piece of news, as a multiple of log10(n).
MULTIPLIER = 4
# Times that it is sent at least: in a fleet of a few hosts chance decides who
# hears of it, and a death that nobody tells again is noticed seconds later.
LEAST_SENDS = 8
# News of more hosts than this is dropped, the oldest first.
MAX_HOSTS = 2000
# Bytes of news in one datagram; below datagrams.MAX_BYTES with its tag,
# header and the fields of a probe.
MAX_BYTES = 900
MAX_PICKED = 40
# What msgpack adds to the two names of a piece of news.
ITEM_BYTES = 14


class Item:
    """A piece of news.

    :ivar news: the news.
    :ivar sent: how often it was sent.
    """

    __slots__ = ('news', 'sent')

    def __init__(self, news: messages.News) -> None:
        self.news = news
        self.sent = 0


class Queue:
    """The news that waits.

    :param size: returns the number of processes believed alive.
    """

    def __init__(self, size: typing.Callable[[], int]) -> None:
        self.size = size
        # By host, then by who says it.
        self.items: dict[str, dict[str, Item]] = {}
        # Set while there is news.
        self.filled = asyncio.Event()

    def add(self, news: messages.News) -> None:
        """Spread a piece of news, in place of older news of the host."""
        if news.state != messages.SUSPECT:
            self.items.pop(news.host, None)
        self.items.setdefault(news.host, {})[news.by] = Item(news)
        self.filled.set()
        if len(self.items) > MAX_HOSTS:
            del self.items[next(iter(self.items))]

    def drop(self, host: str) -> None:
        """Drop the news of a host."""
        self.items.pop(host, None)

    def pick(self) -> tuple[messages.News, ...]:
        """Return the news for one datagram and count it as sent."""
        if not self.items:
            self.filled.clear()
            return ()
        limit = MULTIPLIER * math.ceil(math.log10(self.size() + 1))
        limit = max(limit, LEAST_SENDS)
        waiting = itertools.chain.from_iterable(
            said.values() for said in self.items.values()
        )
        chosen = heapq.nsmallest(
            MAX_PICKED, waiting, key=operator.attrgetter('sent')
        )
        sizes = itertools.accumulate(_size(item.news) for item in chosen)
        picked = [
            item
            for item, size in zip(chosen, sizes, strict=True)
            if size <= MAX_BYTES
        ]
        for item in picked:
            self._sent(item, limit)
        return tuple(item.news for item in picked)

    def _sent(self, item: Item, limit: int) -> None:
        item.sent += 1
        if item.sent < limit:
            return
        said = self.items[item.news.host]
        del said[item.news.by]
        if not said:
            del self.items[item.news.host]


def _size(news: messages.News) -> int:
    """Return how many bytes a piece of news takes at most."""
    return len(news.host) + len(news.by) + ITEM_BYTES
