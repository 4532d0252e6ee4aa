"""Suspicions of hosts, and the timeouts after which they are declared dead.

A host that fails a probe is first suspected, and can refute that until the
suspicion times out.  The timeout shrinks as other processes confirm the
suspicion with probes of their own.  Its lower bound is the time that news
needs to reach the host and return, which grows with log n (Lifeguard, Dadgar,
Phillips and Currey, 2018: LHA-Suspicion).
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

# Minimum timeout of a suspicion, as a multiple of log10(n) probe periods.
MIN_TIMEOUT_MULTIPLIER = 3
# Maximum timeout, as a multiple of the minimum.
MAX_TIMEOUT_FACTOR = 5
# Confirmations by further processes that reduce the timeout to the minimum.
CONFIRMATIONS = 3
SWEEP_INTERVAL_S = 0.1
# Interval without any suspicion; a wakeup costs about 80 us.
IDLE_INTERVAL_S = 0.5
# Concurrent final probes; further hosts wait for the next sweep.
MAX_FINAL_PROBES = 64
# A sweep delayed by more than this indicates that the process was paused.
PAUSE_THRESHOLD_S = 0.25

LOG = logs.get('membership')


class Suspicion:
    """The suspicion of one host.

    :ivar incarnation: the suspected liveness incarnation of the host.
    :ivar began: monotonic time at which the suspicion began.
    :ivar suspected_by: the hosts that suspect it.
    :ivar reported_dead: whether another process has declared the host dead.
    :ivar final_probe_running: whether the final probe is in progress.
    """

    __slots__ = (
        'incarnation',
        'began',
        'suspected_by',
        'reported_dead',
        'final_probe_running',
    )

    def __init__(self, incarnation: int, began: float) -> None:
        self.incarnation = incarnation
        self.began = began
        self.suspected_by: set[str] = set()
        self.reported_dead = False
        self.final_probe_running = False

    def timeout_s(self, min_timeout_s: float, needed: int) -> float:
        """Return the timeout, in seconds from the beginning.

        :param min_timeout_s: minimum timeout, in seconds.
        :param needed: confirmations that reduce the timeout to the minimum.
        """
        if needed < 1:
            return min_timeout_s
        max_timeout_s = min_timeout_s * MAX_TIMEOUT_FACTOR
        confirmed = max(len(self.suspected_by) - 1, 0)
        share = math.log(confirmed + 1) / math.log(needed + 1)
        return max(
            min_timeout_s,
            max_timeout_s - (max_timeout_s - min_timeout_s) * share,
        )


class Suspicions(mode.Service):
    """Tracks suspected hosts until they refute it or are declared dead.

    :param table: the table of hosts.
    :param queue: the queue of news to send.
    :param period_s: probe period, in seconds.
    :param isolated: returns whether this process has reached no other process
        since a monotonic time.
    :param probe: probes a host directly.
    """

    def __init__(
        self,
        table: tables.Table,
        queue: news_queue.Queue,
        period_s: float,
        isolated: typing.Callable[[float], bool],
        probe: typing.Callable[[tables.Entry], typing.Awaitable[bool]],
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.queue = queue
        self.period_s = period_s
        self.isolated = isolated
        self.probe = probe
        self.active: dict[str, Suspicion] = {}
        self.final_probes: set[asyncio.Task] = set()
        # Called with the seconds for which the process was paused.
        self.pause_listeners: list[typing.Callable[[float], None]] = []
        table.listeners.append(self._on_table_change)

    def suspect(self, entry: tables.Entry) -> None:
        """Suspect a host that failed a probe by this process."""
        member = entry.member
        self.receive(
            messages.News(
                member.host,
                messages.SUSPECT,
                member.incarnation,
                self.table.host,
            )
        )

    def receive(self, news: messages.News) -> None:
        """Process received news, and queue it for sending if it is new."""
        if news.state == messages.DEAD:
            self._receive_death(news)
            return
        is_new = self.table.apply_liveness(
            news.host, news.state, news.incarnation
        )
        if news.state == messages.SUSPECT:
            is_new = self._add_confirmation(news) or is_new
        if is_new:
            self.queue.add(news)

    def _receive_death(self, news: messages.News) -> None:
        """Process news that another process declared a host dead.

        If such news were accepted as it is, one side of a one-way partition
        would make the other side declare its own members dead.  The host is
        therefore only suspected, and gets a final probe from this process.
        """
        entry = self.table.entries.get(news.host)
        believed = entry is not None and entry.up
        if news.host == self.table.host or not believed:
            self.table.apply_liveness(
                news.host, messages.DEAD, news.incarnation
            )
            return
        self.table.apply_liveness(
            news.host, messages.SUSPECT, news.incarnation
        )
        suspicion = self.active.get(news.host)
        if suspicion is not None and suspicion.incarnation == news.incarnation:
            suspicion.reported_dead = True

    def min_timeout_s(self) -> float:
        """Return the minimum timeout of a suspicion, in seconds."""
        size = max(len(self.table.live_entries()), 1)
        return (
            MIN_TIMEOUT_MULTIPLIER * max(1.0, math.log10(size)) * self.period_s
        )

    @mode.Service.task
    async def _sweep(self) -> None:
        """Check for suspicions that timed out, and for pauses."""
        last = clock.now()
        while not self.should_stop:
            pause_s = SWEEP_INTERVAL_S if self.active else IDLE_INTERVAL_S
            await asyncio.sleep(pause_s)
            now = clock.now()
            late_s = now - last - pause_s
            last = now
            if late_s > PAUSE_THRESHOLD_S:
                for callback in self.pause_listeners:
                    callback(late_s)
            self.expire(now)

    async def on_stop(self) -> None:
        """Cancel the final probes."""
        for task in self.final_probes:
            task.cancel()

    def expire(self, now: float) -> None:
        """Start final probes of hosts whose suspicion timed out.

        :param now: monotonic time.
        """
        timed_out = [
            host
            for host, suspicion in self.active.items()
            if not suspicion.final_probe_running
            and self._timed_out(suspicion, now)
        ]
        for host in timed_out[: MAX_FINAL_PROBES - len(self.final_probes)]:
            task = asyncio.create_task(
                self._make_final_probe(host, self.active[host])
            )
            self.final_probes.add(task)
            task.add_done_callback(self.final_probes.discard)

    def _timed_out(self, suspicion: Suspicion, now: float) -> bool:
        """Tell whether it timed out or another process reported a death."""
        if suspicion.reported_dead:
            return True
        needed = min(CONFIRMATIONS, len(self.table.live_entries()) - 2)
        return now >= suspicion.began + suspicion.timeout_s(
            self.min_timeout_s(), needed
        )

    async def _make_final_probe(self, host: str, suspicion: Suspicion) -> None:
        """Declare a host dead unless it answers a final probe.

        The refutation may have been lost while the news of processes that
        cannot reach the host arrived.  Or this process was paused beyond the
        timeout, and the refutation is still unread in its socket.
        """
        suspicion.final_probe_running = True
        reached = await self.probe(self.table.entries[host])
        suspicion.final_probe_running = False
        same = self.active.get(host) is suspicion
        if reached or not same or not self._timed_out(suspicion, clock.now()):
            return
        self._declare_dead(host, suspicion)

    def _declare_dead(self, host: str, suspicion: Suspicion) -> None:
        """Declare a host dead, or only doubt it if this process is isolated.

        An isolated process would otherwise declare the whole fleet dead and,
        once the network heals, make every host refute that.
        """
        if self.isolated(suspicion.began):
            self.queue.remove(host)
            self.table.presume_dead(host)
            return
        self.table.apply_liveness(host, messages.DEAD, suspicion.incarnation)
        news = messages.News(host, messages.DEAD, suspicion.incarnation)
        self.queue.add(news)

    def _add_confirmation(self, news: messages.News) -> bool:
        """Count a process that suspects a host; return whether it is new."""
        suspicion = self.active.get(news.host)
        if suspicion is None or news.incarnation != suspicion.incarnation:
            return False
        if (
            news.suspected_by in suspicion.suspected_by
            or len(suspicion.suspected_by) > CONFIRMATIONS
        ):
            return False
        suspicion.suspected_by.add(news.suspected_by)
        return True

    def _on_table_change(self, change: tables.Change) -> None:
        host = change.entry.member.host
        incarnation = change.entry.member.incarnation
        if change.entry.state != messages.SUSPECT:
            self.active.pop(host, None)
            return
        suspicion = self.active.get(host)
        if suspicion is None or suspicion.incarnation != incarnation:
            self.active[host] = Suspicion(incarnation, clock.now())
