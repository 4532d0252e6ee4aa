"""Distributes facts about crashes to the neighbours in the overlay.

One task serves each neighbour.  It starts with an exchange of all facts that
either side knows, so that a process that has just started or was partitioned
catches up, and then sends new facts until they are acknowledged.
"""

import asyncio
import itertools
import typing

import mode

from carawaystair import interfaces
from carawaystair.load import crash_suspects
from carawaystair.membership import overlay
from carawaystair.quarantine import messages

# Facts that are not acknowledged within this time are sent again.
RETRY_S = 0.25
# After more consecutive failures than this, retries pause for BACKOFF_S.
MAX_FAST_RETRIES = 8
BACKOFF_S = 2.0
# Facts in one message, and the largest encoded size of one.
MAX_FACTS = 100
FACT_BYTES = 120
# Rate limit for the facts sent to one neighbour.
RATE_BYTES_PER_S = 64 * 1024
# Time between two adaptations of the feeds to changed members, at least.
MIN_UPDATE_INTERVAL_S = 1.0

# Identifies a fact: digest of the request, incarnation that crashed.
Key = tuple[str, str]


class Feed:
    """The facts to be sent to one neighbour.

    :param address: address for messages to the neighbour.
    :param incarnation: incarnation of its process.
    """

    def __init__(self, address: str, incarnation: int) -> None:
        self.address = address
        self.incarnation = incarnation
        self.pending: dict[Key, None] = {}
        self.event = asyncio.Event()
        self.task: asyncio.Task | None = None

    def add(self, keys: typing.Iterable[Key]) -> None:
        """Queue facts for sending."""
        self.pending |= dict.fromkeys(keys)
        self.event.set()


class FactStore(typing.Protocol):
    """Holds the facts that this process knows."""

    def facts_for(
        self, keys: typing.Collection[Key]
    ) -> list[crash_suspects.Fact]:
        """Return those of the facts that are still known."""

    def all_facts(self) -> list[crash_suspects.Fact]:
        """Return all facts, those of refused requests first."""

    def receive(
        self, sender: str, facts: typing.Iterable[crash_suspects.Fact]
    ) -> None:
        """Add facts received from another process."""


class Disseminator(mode.Service):
    """Sends facts to the neighbours; one for each process.

    :param members: the members of the fleet.
    :param transport: sends and receives messages.
    :param source: holds the facts.
    """

    def __init__(
        self,
        members,
        transport: interfaces.Transport,
        source: FactStore,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.members = members
        self.transport = transport
        self.source = source
        self.feeds: dict[str, Feed] = {}
        self.members_changed = asyncio.Event()
        self.members_changed.set()
        transport.handle(messages.Tell, self._handle_tell)
        members.subscribe(self._on_member_change)

    async def on_stop(self) -> None:
        """Stop all feeds."""
        for host in list(self.feeds):
            self._drop(host)

    def broadcast(
        self, keys: typing.Collection[Key], exclude: str = ''
    ) -> None:
        """Send facts to every neighbour.

        :param exclude: address of the neighbour that they came from.
        """
        for feed in self.feeds.values():
            if feed.address != exclude:
                feed.add(keys)

    @mode.Service.task
    async def _track_members(self) -> None:
        """Update the feeds after the members changed."""
        while not self.should_stop:
            await self.members_changed.wait()
            self.members_changed.clear()
            self.update_feeds()
            await asyncio.sleep(MIN_UPDATE_INTERVAL_S)

    def update_feeds(self) -> None:
        """Open and close feeds to match the neighbours in the overlay."""
        alive = {member.host: member for member in self.members.alive()}
        data_centres = {host: each.data_centre for host, each in alive.items()}
        wanted = overlay.neighbours(self.members.me.host, data_centres)
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
        """Send facts to one neighbour until cancelled."""
        feed.add(_keys(self.source.all_facts()))
        wants_all = True
        failures = 0
        while True:
            await feed.event.wait()
            if not feed.pending and not wants_all:
                feed.event.clear()
                continue
            sent = await self._send(feed, wants_all)
            wants_all = wants_all and not sent
            failures = 0 if sent else failures + 1
            await asyncio.sleep(
                BACKOFF_S if failures > MAX_FAST_RETRIES else 0
            )

    async def _send(self, feed: Feed, wants_all: bool) -> bool:
        """Send pending facts; return whether they were acknowledged."""
        keys = list(itertools.islice(feed.pending, MAX_FACTS))
        for key in keys:
            del feed.pending[key]
        facts = tuple(self.source.facts_for(keys))
        if not facts and not wants_all:
            return True
        result = await self.transport.call(
            feed.address, messages.Tell(facts, wants_all), RETRY_S
        )
        if result.is_error():
            feed.add(keys)
            return False
        self.source.receive(feed.address, result.ok.facts)
        await asyncio.sleep(len(facts) * FACT_BYTES / RATE_BYTES_PER_S)
        return True

    async def _handle_tell(
        self, sender: str, tell: messages.Tell
    ) -> messages.Told:
        """Handle a message from a neighbour."""
        self.source.receive(sender, tell.facts[:MAX_FACTS])
        if not tell.wants_all:
            return messages.Told()
        return messages.Told(tuple(self.source.all_facts()[:MAX_FACTS]))

    def _drop(self, host: str) -> None:
        feed = self.feeds.pop(host)
        if feed.task is not None:
            feed.task.cancel()

    def _on_member_change(
        self, _member: interfaces.Member, _alive: bool
    ) -> None:
        self.members_changed.set()


def _keys(facts: typing.Iterable[crash_suspects.Fact]) -> list[Key]:
    return [(fact.digest, fact.incarnation) for fact in facts]
