"""Queue of liveness news, each sent a bounded number of times.

Each datagram carries the news that this process has sent the fewest times.
News is dropped after a number of sends that grows with log n; by then epidemic
dissemination has reached every process with high probability (SWIM, section
4.1).
"""

import asyncio
import heapq
import itertools
import math
import operator
import typing

from carawaystair.membership import messages

# Sends of each piece of news by each process, as a multiple of log10(n).
SENDS_PER_LOG10_SIZE = 4
# Minimum number of sends.  With only a few hosts, random choice may leave one
# out, and a host that misses a death notices it seconds later on its own.
MIN_SENDS = 8
# Maximum number of hosts with queued news; the oldest is dropped first.
MAX_HOSTS = 2000
# Bytes of news in one datagram.  Together with the tag, the header and the
# fields of a probe this stays below datagrams.MAX_BYTES.
MAX_NEWS_BYTES = 900
MAX_NEWS_ITEMS = 40
# Bytes that msgpack adds to the two names in a piece of news.
ITEM_OVERHEAD_BYTES = 14


class QueuedNews:
    """A queued piece of news.

    :ivar news: the news.
    :ivar send_count: number of datagrams that carried it.
    """

    __slots__ = ('news', 'send_count')

    def __init__(self, news: messages.News) -> None:
        self.news = news
        self.send_count = 0


class Queue:
    """The queued news of all hosts.

    :param alive_count: returns the number of processes believed alive.
    """

    def __init__(self, alive_count: typing.Callable[[], int]) -> None:
        self.alive_count = alive_count
        # By host, then by the suspecting host (empty for other states).
        self.items: dict[str, dict[str, QueuedNews]] = {}

        self.not_empty = asyncio.Event()

    def add(self, news: messages.News) -> None:
        """Queue a piece of news.

        It replaces older news of the host, except that suspicions by several
        processes are kept side by side.
        """
        if news.state != messages.SUSPECT:
            self.items.pop(news.host, None)
        self.items.setdefault(news.host, {})[news.suspected_by] = QueuedNews(
            news
        )
        self.not_empty.set()
        if len(self.items) > MAX_HOSTS:
            del self.items[next(iter(self.items))]

    def remove(self, host: str) -> None:
        """Remove all news of a host."""
        self.items.pop(host, None)

    def take_batch(self) -> tuple[messages.News, ...]:
        """Return news for one datagram and count it as sent."""
        if not self.items:
            self.not_empty.clear()
            return ()
        limit = SENDS_PER_LOG10_SIZE * math.ceil(
            math.log10(self.alive_count() + 1)
        )
        limit = max(limit, MIN_SENDS)
        waiting = itertools.chain.from_iterable(
            by_reporter.values() for by_reporter in self.items.values()
        )
        chosen = heapq.nsmallest(
            MAX_NEWS_ITEMS, waiting, key=operator.attrgetter('send_count')
        )
        sizes = itertools.accumulate(_size(item.news) for item in chosen)
        picked = [
            item
            for item, size in zip(chosen, sizes, strict=True)
            if size <= MAX_NEWS_BYTES
        ]
        for item in picked:
            self._count_send(item, limit)
        return tuple(item.news for item in picked)

    def _count_send(self, item: QueuedNews, limit: int) -> None:
        item.send_count += 1
        if item.send_count < limit:
            return
        by_reporter = self.items[item.news.host]
        del by_reporter[item.news.suspected_by]
        if not by_reporter:
            del self.items[item.news.host]


def _size(news: messages.News) -> int:
    """Return the maximum encoded size of a piece of news, in bytes."""
    return len(news.host) + len(news.suspected_by) + ITEM_OVERHEAD_BYTES
