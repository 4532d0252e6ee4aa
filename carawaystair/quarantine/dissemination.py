"""Passes facts about crashes on to the neighbours in the overlay.

One task feeds each neighbour.  It begins with an exchange of all that either
end knows, so that a process that starts or was cut off catches up, and then
sends what is new until that is acknowledged.
"""

import asyncio
import itertools
import typing

import mode

from carawaystair import interfaces
from carawaystair.load import crash_suspects
from carawaystair.membership import ring
from carawaystair.quarantine import messages

# What is not acknowledged in this time is sent again, seconds.
RETRY_S = 0.25
# After so many failures in a row the pause grows.
PATIENCE = 8
BACKOFF_S = 2.0
# Facts in one message, and the bytes that one takes at most.
MOST_FACTS = 100
FACT_BYTES = 120
# Bytes per second to one neighbour.
RATE = 64 * 1024
# The overlay follows the members at most this often, seconds.
SETTLE_S = 1.0

# Names a fact: a digest and the upstream that crashed.
Key = tuple[str, str]


class Feed:
    """What waits for one neighbour.

    :param address: where it takes messages.
    :param incarnation: of its process.
    """

    def __init__(self, address: str, incarnation: int) -> None:
        self.address = address
        self.incarnation = incarnation
        self.waiting: dict[Key, None] = {}
        self.event = asyncio.Event()
        self.task: asyncio.Task | None = None

    def add(self, keys: typing.Iterable[Key]) -> None:
        """Let facts wait."""
        self.waiting |= dict.fromkeys(keys)
        self.event.set()


class Source(typing.Protocol):
    """What knows facts and takes those of others."""

    def known(self, keys: typing.Collection[Key]) -> list[crash_suspects.Fact]:
        """Return facts that are still known."""

    def all_known(self) -> list[crash_suspects.Fact]:
        """Return all facts, those of refused requests first."""

    def take(
        self, sender: str, facts: typing.Iterable[crash_suspects.Fact]
    ) -> None:
        """Take facts that another process told."""


class Spread(mode.Service):
    """Passes facts on; one for each process.

    :param members: the members of the fleet.
    :param transport: the messages of this process.
    :param source: knows the facts.
    """

    def __init__(
        self,
        members,
        transport: interfaces.Transport,
        source: Source,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.members = members
        self.transport = transport
        self.source = source
        self.feeds: dict[str, Feed] = {}
        self.stale = asyncio.Event()
        self.stale.set()
        transport.handle(messages.Tell, self._told)
        members.subscribe(self._changed)

    async def on_stop(self) -> None:
        """End the feeds."""
        for host in list(self.feeds):
            self._drop(host)

    def pass_on(self, keys: typing.Collection[Key], but: str = '') -> None:
        """Pass facts on to every neighbour.

        :param but: address of the one that told them.
        """
        for feed in self.feeds.values():
            if feed.address != but:
                feed.add(keys)

    @mode.Service.task
    async def _follow(self) -> None:
        """Let the overlay follow the members."""
        while not self.should_stop:
            await self.stale.wait()
            self.stale.clear()
            self.align()
            await asyncio.sleep(SETTLE_S)

    def align(self) -> None:
        """Open and close feeds as the overlay has it now."""
        alive = {member.host: member for member in self.members.alive()}
        centres = {host: each.data_centre for host, each in alive.items()}
        wanted = ring.neighbours(self.members.me.host, centres)
        for host in self.feeds.keys() - set(wanted):
            self._drop(host)
        for host in wanted:
            member, feed = alive[host], self.feeds.get(host)
            known = feed and (feed.address, feed.incarnation)
            if known == (member.peer, member.incarnation):
                continue
            if feed is not None:
                self._drop(host)
            self.feeds[host] = self._open(member)

    def _open(self, member: interfaces.Member) -> Feed:
        feed = Feed(member.peer, member.incarnation)
        feed.task = asyncio.create_task(self._feed(feed))
        return feed

    async def _feed(self, feed: Feed) -> None:
        """Feed one neighbour."""
        feed.add(_keys(self.source.all_known()))
        asks = True
        failures = 0
        while True:
            await feed.event.wait()
            if not feed.waiting and not asks:
                feed.event.clear()
                continue
            sent = await self._send(feed, asks)
            asks = asks and not sent
            failures = 0 if sent else failures + 1
            await asyncio.sleep(BACKOFF_S if failures > PATIENCE else 0)

    async def _send(self, feed: Feed, asks: bool) -> bool:
        """Send what waits; tell whether it arrived."""
        keys = list(itertools.islice(feed.waiting, MOST_FACTS))
        for key in keys:
            del feed.waiting[key]
        facts = tuple(self.source.known(keys))
        if not facts and not asks:
            return True
        result = await self.transport.call(
            feed.address, messages.Tell(facts, asks), RETRY_S
        )
        if result.is_error():
            feed.add(keys)
            return False
        self.source.take(feed.address, result.ok.facts)
        await asyncio.sleep(len(facts) * FACT_BYTES / RATE)
        return True

    async def _told(self, sender: str, tell: messages.Tell) -> messages.Told:
        """Take what another process tells."""
        self.source.take(sender, tell.facts[:MOST_FACTS])
        if not tell.asks:
            return messages.Told()
        return messages.Told(tuple(self.source.all_known()[:MOST_FACTS]))

    def _drop(self, host: str) -> None:
        feed = self.feeds.pop(host)
        if feed.task is not None:
            feed.task.cancel()

    def _changed(self, _member: interfaces.Member, _alive: bool) -> None:
        self.stale.set()


def _keys(facts: typing.Iterable[crash_suspects.Fact]) -> list[Key]:
    return [(fact.digest, fact.incarnation) for fact in facts]
