"""Failure detection by probes over UDP.

The protocol is SWIM (Das, Gupta and Motivala, 2002): each period one member
is probed, first directly and then through helpers.  Receiving a message from
a host doesn't prove that it is alive: in a one-way partition the host may be
unable to receive.  Only a completed round trip counts, so a host that can
send but not receive, or receive but not send, fails every probe.
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
# Timeout of a direct probe, and the number of pings sent within it.  Regions
# are about 50 ms apart, and a busy process may need as long to answer.  With a
# single ping, 20% packet loss would fail one probe in a hundred; in a large
# fleet the refutations alone would then fill every datagram.
DIRECT_TIMEOUT_S = 0.2
DIRECT_TRIES = 3
# Helpers asked for an indirect probe, and the number and interval of the
# requests to each.
HELPER_COUNT = 3
HELPER_REQUEST_TRIES = 2
HELPER_REQUEST_PERIOD_S = 0.1
# Expected number of processes that probe a host next when they learn of a
# suspicion.  Their confirmations shorten its timeout, or the host refutes it,
# sooner than probes in random order would.
CONFIRMING_PROBERS = 6
# Concurrent indirect probes for other processes; further requests are ignored.
MAX_RELAYS = 64


class Prober(mode.Service):
    """Probes other members and answers their probes.

    :param table: the table of hosts.
    :param gossip: liveness news to piggyback on probes.
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
            lambda entry: self.probe_directly(entry, DIRECT_TIMEOUT_S),
        )
        gossip.on_news = self.suspicions.receive
        table.listeners.append(self._on_table_change)
        # Nonces start at a random number, so that an answer to an earlier
        # process on this address is not mistaken for one to this process.
        self.nonces = itertools.count(rng.randrange(1 << 48))
        self.pending: dict[int, asyncio.Future] = {}
        self.round_hosts: list[str] = []
        self.relay_tasks: set[asyncio.Task] = set()
        # Called with a host and its digests on each Ping and Ack.
        self.digest_listeners: list[typing.Callable] = []
        self.failed_probes = 0
        datagrams.handle(messages.Ping, self._handle_ping)
        datagrams.handle(messages.Ack, self._handle_ack)
        datagrams.handle(messages.Relay, self._handle_relay)
        datagrams.handle(messages.Relayed, self._handle_relayed)

    async def on_start(self) -> None:
        """Start the tracking of suspicions."""
        await self.add_runtime_dependency(self.suspicions)

    async def on_stop(self) -> None:
        """Cancel indirect probes for other processes."""
        for task in self.relay_tasks:
            task.cancel()

    def digests(self) -> messages.Digests:
        """Return the digests of this process."""
        return messages.Digests(*(d.total for d in self.table.digests))

    @mode.Service.task
    async def _probe(self) -> None:
        """Probe one member per period, and each member once per round."""
        await asyncio.sleep(self.rng.uniform(0, PERIOD_S))
        while not self.should_stop:
            period_s = PERIOD_S * self.awareness.time_factor
            deadline = clock.now() + period_s
            entry = self._next_target()
            if entry is not None:
                await self.probe_member(entry, deadline)
            await asyncio.sleep(max(deadline - clock.now(), 0))

    async def probe_member(self, entry: tables.Entry, deadline: float) -> bool:
        """Probe a member directly, then through helpers.

        If all of this fails, the member is suspected.

        :param deadline: monotonic time by which an answer must arrive.
        :return: whether it answered.
        """
        with self._expect_answer() as (nonce, answer):
            direct_s = DIRECT_TIMEOUT_S * self.awareness.time_factor
            if await self._send_pings(entry, nonce, answer, direct_s):
                self.awareness.record_success()
                return True
            helpers = self._helpers(entry)
            rest_s = max(deadline - clock.now(), 0)
            replies = await asyncio.gather(
                *(
                    self._ask_helper(helper, entry, rest_s)
                    for helper in helpers
                )
            )
            # The direct answer may have arrived after the direct timeout.
            if answer.done() or any(
                reply and reply.reached for reply in replies
            ):
                self.awareness.record_success()
                return True
        self.failed_probes += 1
        silent_helpers = sum(reply is None for reply in replies)
        self.awareness.record_failure(silent_helpers if helpers else 1)
        self.suspicions.suspect(entry)
        # Notify the suspected host first, so that it can refute the suspicion.
        self._send_ping(entry, next(self.nonces))
        return False

    async def probe_directly(self, entry: tables.Entry, time_s: float) -> bool:
        """Probe a host directly; return whether it answered.

        :param time_s: seconds within which it must answer.
        """
        with self._expect_answer() as (nonce, answer):
            return await self._send_pings(entry, nonce, answer, time_s)

    @contextlib.contextmanager
    def _expect_answer(self):
        """Yield a new nonce and the future of its answer."""
        nonce = next(self.nonces)
        answer = asyncio.get_running_loop().create_future()
        self.pending[nonce] = answer
        try:
            yield nonce, answer
        finally:
            del self.pending[nonce]

    async def _send_pings(
        self,
        entry: tables.Entry,
        nonce: int,
        answer: asyncio.Future,
        time_s: float,
    ) -> bool:
        """Send pings until one is answered; return whether one was."""
        for _try in range(DIRECT_TRIES):
            self._send_ping(entry, nonce)
            await asyncio.wait((answer,), timeout=time_s / DIRECT_TRIES)
            if answer.done():
                return True
        return False

    async def _ask_helper(
        self, helper: tables.Entry, entry: tables.Entry, time_s: float
    ) -> messages.Relayed | None:
        """Request an indirect probe; return None if the helper is silent."""
        with self._expect_answer() as (nonce, answer):
            host = entry.member.host
            relay = messages.Relay(host, nonce)
            rest_s = max(
                time_s - HELPER_REQUEST_PERIOD_S * (HELPER_REQUEST_TRIES - 1),
                0,
            )
            for wait_s in (
                *[HELPER_REQUEST_PERIOD_S] * (HELPER_REQUEST_TRIES - 1),
                rest_s,
            ):
                self.datagrams.send(helper.member.gossip, relay)
                await asyncio.wait((answer,), timeout=wait_s)
                if answer.done():
                    break
            if not answer.done():
                return None
            if answer.result().reached:
                self._record_reply(host, answer.result().incarnation)
            return answer.result()

    def _next_target(self) -> tables.Entry | None:
        """Return the next member of a shuffled round over all members."""
        while self.round_hosts:
            entry = self.table.entries.get(self.round_hosts.pop())
            if entry is not None and entry.up:
                return entry
        others = self._others()
        self.round_hosts = [entry.member.host for entry in others]
        self.rng.shuffle(self.round_hosts)
        return others[0] if others else None

    def _others(self) -> list[tables.Entry]:
        return [
            e
            for e in self.table.live_entries()
            if e is not self.table.own_entry
        ]

    def _helpers(self, entry: tables.Entry) -> list[tables.Entry]:
        """Choose random helpers for an indirect probe of a host."""
        fit = [
            other
            for other in self._others()
            if other is not entry and other.state == messages.ALIVE
        ]
        return self.rng.sample(fit, min(HELPER_COUNT, len(fit)))

    def _on_table_change(self, change: tables.Change) -> None:
        """Probe a newly suspected host next, with a limited probability."""
        suspected = change.entry.state == messages.SUSPECT
        if not suspected or change.old_state == messages.SUSPECT:
            return
        if (
            self.rng.random() * len(self.table.live_entries())
            < CONFIRMING_PROBERS
        ):
            self.round_hosts.append(change.entry.member.host)

    def _record_reply(self, host: str, incarnation: int) -> None:
        """Record that a host answered with an incarnation."""
        news = messages.News(host, messages.ALIVE, incarnation)
        self.suspicions.receive(news)

    def _send_ping(self, entry: tables.Entry, nonce: int) -> None:
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
            about + self.gossip.queue.take_batch(),
        )
        self.datagrams.send(member.gossip, ping)

    def _handle_ping(self, sender: str, ping: messages.Ping) -> None:
        # Another host may have used this address before; an answer to a probe
        # meant for it would make it seem alive.
        if ping.target != self.table.host:
            return
        # After leaving, an answer would make this host seem alive again to
        # processes that missed the leave.
        if self.table.own_entry.state == messages.LEFT:
            return
        if ping.known_incarnation > self.table.own_entry.member.incarnation:
            # Only an earlier process of this host can have announced it.
            self.table.on_newer_start(
                messages.process_start(ping.known_incarnation)
            )
        self.gossip.receive(ping.host, ping.news)
        ack = messages.Ack(
            ping.nonce,
            self.table.host,
            self.table.own_entry.member.incarnation,
            self.digests(),
            self.gossip.queue.take_batch(),
        )
        self.datagrams.send(sender, ack)
        self._notify_digest_listeners(ping.host, ping.digests)

    def _handle_ack(self, _sender: str, ack: messages.Ack) -> None:
        answer = self.pending.get(ack.nonce)
        if answer is None:
            return
        if not answer.done():
            answer.set_result(ack)
        self._record_reply(ack.host, ack.incarnation)
        self.gossip.receive(ack.host, ack.news)
        self._notify_digest_listeners(ack.host, ack.digests)

    def _notify_digest_listeners(
        self, host: str, digests: messages.Digests
    ) -> None:
        for callback in self.digest_listeners:
            callback(host, digests)

    def _handle_relay(self, sender: str, relay: messages.Relay) -> None:
        entry = self.table.entries.get(relay.target)
        if entry is None or len(self.relay_tasks) >= MAX_RELAYS:
            return
        task = asyncio.create_task(self._probe_for(sender, relay, entry))
        self.relay_tasks.add(task)
        task.add_done_callback(self.relay_tasks.discard)

    async def _probe_for(
        self, sender: str, relay: messages.Relay, entry: tables.Entry
    ) -> None:
        """Probe a host for another process and send it the result."""
        reached = await self.probe_directly(entry, DIRECT_TIMEOUT_S)
        incarnation = entry.member.incarnation
        answer = messages.Relayed(relay.nonce, reached, incarnation)
        self.datagrams.send(sender, answer)

    def _handle_relayed(self, _sender: str, relayed: messages.Relayed) -> None:
        answer = self.pending.get(relayed.nonce)
        if answer is not None and not answer.done():
            answer.set_result(relayed)
