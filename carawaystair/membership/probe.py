"""Probes over UDP: who lives is shown by round trips alone.

The protocol is SWIM (Das, Gupta and Motivala, 2002): each period one member
is probed, directly and then through others.  That a process hears another
proves nothing: with a one-way partition it may hear a host that can't hear
it.  So only the answer to a probe of one's own counts, and a host that can
send but not receive, or the reverse, fails every probe.
"""

import asyncio
import contextlib
import itertools
import random
import typing

import mode

from carawaystair import clock
from carawaystair.membership import awareness
from carawaystair.membership import gossip as gossips
from carawaystair.membership import messages
from carawaystair.membership import suspicion
from carawaystair.membership import table as tables

PERIOD_S = 0.5
# Time for a direct answer; the probe is sent up to so many times within it.
# Regions are some 50 ms apart, and a busy process may take as long to get to
# it.  Were it sent once, a loss of 20% would fail one probe in a hundred, and
# in a large fleet the refutations alone would fill every datagram.
DIRECT_S = 0.2
DIRECT_TRIES = 3
# Processes asked to probe in one's place, and how often each is asked.
HELPERS = 3
ASK_TRIES = 2
ASK_S = 0.1
# Of all who hear of a suspicion about so many probe the host next, so that
# its time is shortened, or the suspicion refuted, without waiting for chance.
SECOND_OPINIONS = 6
# Probes done for others at once; more are refused.
MAX_RELAYS = 64


class Prober(mode.Service):
    """Probes others and answers probes.

    :param table: the table of hosts.
    :param gossip: news that rides on probes.
    :param datagrams: the datagrams of this process.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        table: tables.Table,
        gossip: gossips.Gossip,
        datagrams,
        rng: random.Random,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.datagrams = datagrams
        self.rng = rng
        self.awareness = awareness.Awareness()
        self.gossip = gossip
        self.suspicions = suspicion.Suspicions(
            table,
            gossip.queue,
            PERIOD_S,
            self.awareness.isolated,
            lambda entry: self.reach(entry, DIRECT_S),
        )
        gossip.believe = self.suspicions.take
        table.listeners.append(self._changed)
        # Nonces begin anywhere, so that an answer to an earlier process on
        # this address is not taken for one to this process.
        self.nonces = itertools.count(rng.randrange(1 << 48))
        self.pending: dict[int, asyncio.Future] = {}
        self.order: list[str] = []
        self.relays: set[asyncio.Task] = set()
        # Called with a host and its digests whenever it tells them.
        self.compared: list[typing.Callable] = []
        self.failed = 0
        datagrams.handle(messages.Ping, self._pinged)
        datagrams.handle(messages.Ack, self._acked)
        datagrams.handle(messages.Relay, self._asked)
        datagrams.handle(messages.Relayed, self._relayed)

    async def on_start(self) -> None:
        """Start to watch the suspected."""
        await self.add_runtime_dependency(self.suspicions)

    async def on_stop(self) -> None:
        """Drop the probes for others."""
        for task in self.relays:
            task.cancel()

    def digests(self) -> messages.Digests:
        """Return the digests of this process."""
        return messages.Digests(*(d.total for d in self.table.digests))

    @mode.Service.task
    async def _probe(self) -> None:
        """Probe one member each period, each once a round."""
        await asyncio.sleep(self.rng.uniform(0, PERIOD_S))
        while not self.should_stop:
            period_s = PERIOD_S * self.awareness.scale
            ends = clock.now() + period_s
            entry = self._next()
            if entry is not None:
                await self.check(entry, ends)
            await asyncio.sleep(max(ends - clock.now(), 0))

    async def check(self, entry: tables.Entry, ends: float) -> bool:
        """Probe a member, directly and through others.

        :param ends: monotonic time by which an answer must be there.
        :return: whether it answered.
        """
        with self._expect() as (nonce, answer):
            direct_s = DIRECT_S * self.awareness.scale
            if await self._direct(entry, nonce, answer, direct_s):
                self.awareness.succeeded()
                return True
            helpers = self._helpers(entry)
            rest_s = max(ends - clock.now(), 0)
            heard = await asyncio.gather(
                *(self._ask(helper, entry, rest_s) for helper in helpers)
            )
            # The direct answer may have come late.
            if answer.done() or any(said and said.reached for said in heard):
                self.awareness.succeeded()
                return True
        self.failed += 1
        silent = sum(said is None for said in heard)
        self.awareness.failed(silent if helpers else 1)
        self.suspicions.suspect(entry)
        # The suspected host is the first to hear of it and may refute it.
        self._ping(entry, next(self.nonces))
        return False

    async def reach(self, entry: tables.Entry, time_s: float) -> bool:
        """Probe a host directly.

        :param time_s: seconds that it has to answer.
        """
        with self._expect() as (nonce, answer):
            return await self._direct(entry, nonce, answer, time_s)

    @contextlib.contextmanager
    def _expect(self):
        """Expect the answer to a new nonce."""
        nonce = next(self.nonces)
        answer = asyncio.get_running_loop().create_future()
        self.pending[nonce] = answer
        try:
            yield nonce, answer
        finally:
            del self.pending[nonce]

    async def _direct(
        self,
        entry: tables.Entry,
        nonce: int,
        answer: asyncio.Future,
        time_s: float,
    ) -> bool:
        """Send a probe a few times, until one is answered."""
        for _try in range(DIRECT_TRIES):
            self._ping(entry, nonce)
            await asyncio.wait((answer,), timeout=time_s / DIRECT_TRIES)
            if answer.done():
                return True
        return False

    async def _ask(
        self, helper: tables.Entry, entry: tables.Entry, time_s: float
    ) -> messages.Relayed | None:
        """Let a helper probe; None when the helper does not answer."""
        with self._expect() as (nonce, answer):
            host = entry.member.host
            relay = messages.Relay(host, nonce)
            rest_s = max(time_s - ASK_S * (ASK_TRIES - 1), 0)
            for wait_s in (*[ASK_S] * (ASK_TRIES - 1), rest_s):
                self.datagrams.send(helper.member.gossip, relay)
                await asyncio.wait((answer,), timeout=wait_s)
                if answer.done():
                    break
            if not answer.done():
                return None
            if answer.result().reached:
                self._proved(host, answer.result().incarnation)
            return answer.result()

    def _next(self) -> tables.Entry | None:
        """Return the next member of a shuffled round."""
        while self.order:
            entry = self.table.entries.get(self.order.pop())
            if entry is not None and entry.up:
                return entry
        others = self._others()
        self.order = [entry.member.host for entry in others]
        self.rng.shuffle(self.order)
        return others[0] if others else None

    def _others(self) -> list[tables.Entry]:
        return [e for e in self.table.up() if e is not self.table.me]

    def _helpers(self, entry: tables.Entry) -> list[tables.Entry]:
        """Choose who is asked to probe a host."""
        fit = [
            other
            for other in self._others()
            if other is not entry and other.state == messages.ALIVE
        ]
        return self.rng.sample(fit, min(HELPERS, len(fit)))

    def _changed(self, change: tables.Change) -> None:
        """Turn to a host that others suspect, as one of a few."""
        suspected = change.entry.state == messages.SUSPECT
        if not suspected or change.old_state == messages.SUSPECT:
            return
        if self.rng.random() * len(self.table.up()) < SECOND_OPINIONS:
            self.order.append(change.entry.member.host)

    def _proved(self, host: str, incarnation: int) -> None:
        """Take note that a host answered at an incarnation."""
        news = messages.News(host, messages.ALIVE, incarnation)
        self.suspicions.take(news)

    def _ping(self, entry: tables.Entry, nonce: int) -> None:
        member = entry.member
        about = (
            (messages.News(member.host, entry.state, member.incarnation),)
            if entry.state != messages.ALIVE
            else ()
        )
        ping = messages.Ping(
            member.host,
            nonce,
            member.incarnation,
            self.table.host,
            self.digests(),
            about + self.gossip.queue.pick(),
        )
        self.datagrams.send(member.gossip, ping)

    def _pinged(self, sender: str, ping: messages.Ping) -> None:
        # Another host may have had this address before; its probes must
        # not be answered as if it lived.
        if ping.to != self.table.host:
            return
        # One that has left would be believed alive again where its leave was
        # lost.
        if self.table.me.state == messages.LEFT:
            return
        if ping.known > self.table.me.member.incarnation:
            # Only an earlier process of this host can have said that.
            self.table.outdated(messages.process_start(ping.known))
        self.gossip.take(ping.host, ping.news)
        ack = messages.Ack(
            ping.nonce,
            self.table.host,
            self.table.me.member.incarnation,
            self.digests(),
            self.gossip.queue.pick(),
        )
        self.datagrams.send(sender, ack)
        self._compare(ping.host, ping.digests)

    def _acked(self, _sender: str, ack: messages.Ack) -> None:
        answer = self.pending.get(ack.nonce)
        if answer is None:
            return
        if not answer.done():
            answer.set_result(ack)
        self._proved(ack.host, ack.incarnation)
        self.gossip.take(ack.host, ack.news)
        self._compare(ack.host, ack.digests)

    def _compare(self, host: str, digests: messages.Digests) -> None:
        for callback in self.compared:
            callback(host, digests)

    def _asked(self, sender: str, relay: messages.Relay) -> None:
        entry = self.table.entries.get(relay.to)
        if entry is None or len(self.relays) >= MAX_RELAYS:
            return
        task = asyncio.create_task(self._help(sender, relay, entry))
        self.relays.add(task)
        task.add_done_callback(self.relays.discard)

    async def _help(
        self, sender: str, relay: messages.Relay, entry: tables.Entry
    ) -> None:
        """Probe a host in place of another process."""
        reached = await self.reach(entry, DIRECT_S)
        incarnation = entry.member.incarnation
        answer = messages.Relayed(relay.nonce, reached, incarnation)
        self.datagrams.send(sender, answer)

    def _relayed(self, _sender: str, relayed: messages.Relayed) -> None:
        answer = self.pending.get(relayed.nonce)
        if answer is not None and not answer.done():
            answer.set_result(relayed)
