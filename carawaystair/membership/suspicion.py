"""Suspicion: the time that a host has to prove that it lives.

A host that fails a probe is suspected, not dead.  Its time shrinks as others
fail to reach it on their own account, and is bounded below by the time that
news takes both ways, which grows with log n (Lifeguard, Dadgar, Phillips and
Currey, 2018: LHA-Suspicion).
"""

import asyncio
import math
import typing

import mode

from carawaystair import clock
from carawaystair import logs
from carawaystair.membership import messages
from carawaystair.membership import news_queue
from carawaystair.membership import table as tables

# Least time of suspicion, as a multiple of log10(n) and the probe period.
MULTIPLIER = 3
# Greatest time, as a multiple of the least.
MAX_FACTOR = 5
# Processes that must suspect it, besides the first, for the least time.
CONFIRMATIONS = 3
SWEEP_S = 0.1
# Without a suspicion there is less to look at; each wakeup costs some 80 us.
IDLE_S = 0.5
# Last probes under way at once; further hosts wait for the next sweep.
MAX_LAST = 64
# A sweep that comes later than this shows that the process stood still.
LATE_S = 0.25

LOG = logs.get('membership')


class Case:
    """The suspicion of one host.

    :ivar incarnation: the incarnation that it is about.
    :ivar began: monotonic time at which it began.
    :ivar by: the hosts that suspect it.
    :ivar condemned: whether another process has declared the host dead.
    :ivar closing: whether the last probe is under way.
    """

    __slots__ = ('incarnation', 'began', 'by', 'condemned', 'closing')

    def __init__(self, incarnation: int, began: float) -> None:
        self.incarnation = incarnation
        self.began = began
        self.by: set[str] = set()
        self.condemned = False
        self.closing = False

    def time_s(self, least_s: float, needed: int) -> float:
        """Return how long the host has, from the beginning.

        :param least_s: least time, in seconds.
        :param needed: confirmations that bring it down to the least.
        """
        if needed < 1:
            return least_s
        greatest_s = least_s * MAX_FACTOR
        confirmed = max(len(self.by) - 1, 0)
        share = math.log(confirmed + 1) / math.log(needed + 1)
        return max(least_s, greatest_s - (greatest_s - least_s) * share)


class Suspicions(mode.Service):
    """The suspected hosts, and what becomes of them.

    :param table: the table of hosts.
    :param queue: takes news to spread.
    :param period_s: period of probes, in seconds.
    :param isolated: tells whether this process has reached nobody since a
        time.
    :param reach: probes a host directly.
    """

    def __init__(
        self,
        table: tables.Table,
        queue: news_queue.Queue,
        period_s: float,
        isolated: typing.Callable[[float], bool],
        reach: typing.Callable[[tables.Entry], typing.Awaitable[bool]],
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.queue = queue
        self.period_s = period_s
        self.isolated = isolated
        self.reach = reach
        self.cases: dict[str, Case] = {}
        self.closing: set[asyncio.Task] = set()
        # Called with the seconds for which the process stood still.
        self.pause_listeners: list[typing.Callable[[float], None]] = []
        table.listeners.append(self._changed)

    def suspect(self, entry: tables.Entry) -> None:
        """Suspect a host that failed a probe of this process."""
        member = entry.member
        self.take(
            messages.News(
                member.host,
                messages.SUSPECT,
                member.incarnation,
                self.table.host,
            )
        )

    def take(self, news: messages.News) -> None:
        """Take in news, and spread it when it is new here."""
        if news.state == messages.DEAD:
            self._hear_death(news)
            return
        fresh = self.table.hear(news.host, news.state, news.incarnation)
        if news.state == messages.SUSPECT:
            fresh = self._confirm(news) or fresh
        if fresh:
            self.queue.add(news)

    def _hear_death(self, news: messages.News) -> None:
        """Take in that others hold a host for dead.

        Were their word enough, one side of a one-way partition would talk
        the other side into burying its own members.  So the host is only
        suspected, and probed a last time from here.
        """
        entry = self.table.entries.get(news.host)
        believed = entry is not None and entry.up
        if news.host == self.table.host or not believed:
            self.table.hear(news.host, messages.DEAD, news.incarnation)
            return
        self.table.hear(news.host, messages.SUSPECT, news.incarnation)
        case = self.cases.get(news.host)
        if case is not None and case.incarnation == news.incarnation:
            case.condemned = True

    def least_s(self) -> float:
        """Return the least time of a suspicion, in seconds."""
        size = max(len(self.table.up()), 1)
        return MULTIPLIER * max(1.0, math.log10(size)) * self.period_s

    @mode.Service.task
    async def _sweep(self) -> None:
        """End the suspicions whose time is over."""
        last = clock.now()
        while not self.should_stop:
            pause_s = SWEEP_S if self.cases else IDLE_S
            await asyncio.sleep(pause_s)
            now = clock.now()
            late = now - last - pause_s
            last = now
            if late > LATE_S:
                for callback in self.pause_listeners:
                    callback(late)
            self.expire(now)

    async def on_stop(self) -> None:
        """Drop the last probes."""
        for task in self.closing:
            task.cancel()

    def expire(self, now: float) -> None:
        """Turn to the hosts that nobody reached in time."""
        over = [
            host
            for host, case in self.cases.items()
            if not case.closing and self._over(case, now)
        ]
        for host in over[: MAX_LAST - len(self.closing)]:
            task = asyncio.create_task(self._close(host, self.cases[host]))
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)

    def _over(self, case: Case, now: float) -> bool:
        """Tell whether the time of a suspicion is over."""
        if case.condemned:
            return True
        needed = min(CONFIRMATIONS, len(self.table.up()) - 2)
        return now >= case.began + case.time_s(self.least_s(), needed)

    async def _close(self, host: str, case: Case) -> None:
        """Declare a host dead, unless this process reaches it after all.

        The refutation may have been lost on its way here, while the word of
        others that do not reach the host was not.  Or this process stood
        still past the end, and the refutation waits in its socket.
        """
        case.closing = True
        reached = await self.reach(self.table.entries[host])
        case.closing = False
        same = self.cases.get(host) is case
        if reached or not same or not self._over(case, clock.now()):
            return
        self._end(host, case)

    def _end(self, host: str, case: Case) -> None:
        """Declare a host dead, or doubt it when this process may be at fault.

        A process that is cut off alone would declare the whole fleet dead
        and, once the network heals, make every host refute that.
        """
        if self.isolated(case.began):
            self.queue.drop(host)
            self.table.doubt(host)
            return
        self.table.hear(host, messages.DEAD, case.incarnation)
        news = messages.News(host, messages.DEAD, case.incarnation)
        self.queue.add(news)

    def _confirm(self, news: messages.News) -> bool:
        """Count one more that suspects a host; tells whether that is new."""
        case = self.cases.get(news.host)
        if case is None or news.incarnation != case.incarnation:
            return False
        if news.by in case.by or len(case.by) > CONFIRMATIONS:
            return False
        case.by.add(news.by)
        return True

    def _changed(self, change: tables.Change) -> None:
        host = change.entry.member.host
        incarnation = change.entry.member.incarnation
        if change.entry.state != messages.SUSPECT:
            self.cases.pop(host, None)
            return
        case = self.cases.get(host)
        if case is None or case.incarnation != incarnation:
            self.cases[host] = Case(incarnation, clock.now())
