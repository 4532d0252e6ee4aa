"""Keeps the newest accepted configuration in force at a node.

A node asks control hosts, and its peers too, for what came after its own
version.  It never takes an older one.  It counts as ready only once it knows
that its version is current: a control host that a quorum stands behind said
so, or, while control is away, its peers did (see :mod:`vouching`).
"""

import asyncio
import math
import pathlib
import random
import typing

import mode

from carawaystair import answering
from carawaystair import clock
from carawaystair import decisions
from carawaystair import distribution
from carawaystair import fetching
from carawaystair import interfaces
from carawaystair import invariants
from carawaystair import lag as lags
from carawaystair import logs
from carawaystair import plugins
from carawaystair import routing
from carawaystair import rows
from carawaystair import sources
from carawaystair import table as tables
from carawaystair import timeline as timelines
from carawaystair import versionfile
from carawaystair import vouching

# How often a node asks for news when nobody tells it of any.  Together with
# the spread of News this bounds the time to be in force everywhere.
POLL_S = 2.0
# How soon to ask somebody else when nobody answered.
RETRY_S = 0.2
# How soon a node that starts asks again when control had no quorum yet: the
# question was held there for a while, and is answered as soon as it has one.
AGAIN_S = 0.05
# Peers told of a new version by each node that learns of one, and how often.
# One round of three leaves one node in twenty to its next poll (exp_spread).
FANOUT = 3
ROUNDS = 2
ROUND_S = 0.3
# Questions to one process in a row that bring something newer each.
MOST_IN_A_ROW = 4
# Questions whose answers are still waited for while others are asked.
MOST_OPEN = 4
# Tries before control counts as away for a node that is starting.
CONTROL_TRIES = 4
# A node that stays behind tells it so often, seconds.
TELL_LAG_S = 1.0

MS = 1000

EMPTY = routing.Routing()

LOG = logs.get('follower')


class Question(typing.NamedTuple):
    """A question for what came after the version held.

    :param address: the process to ask.
    :param kind: ``distribution.Ask`` or ``distribution.AskPeer``.
    :param peer: host of a node whose word counts, see :mod:`vouching`.
    :param whole: whether a whole table is wanted where there is no step.
    """

    address: str
    kind: type
    peer: str = ''
    whole: bool = True


class Follower(mode.Service):
    """The configuration of one node.

    :param transport: messages to other processes.
    :param members: the processes believed alive.
    :param control_hosts: addresses of the control hosts.
    :param timeline: takes note of versions in force.
    :param rng: picks control hosts and peers.
    :param registry: told of each version in force, if given.
    :param memory: the version that the disk remembers, if there is a disk.
    :param poll_s: seconds between questions for news.
    :param recorder: tells when this node is behind, if given.
    """

    def __init__(
        self,
        transport: interfaces.Transport,
        members: interfaces.Members,
        control_hosts: typing.Sequence[str],
        timeline: timelines.Timeline,
        rng: random.Random,
        registry: plugins.Registry | None = None,
        memory: versionfile.VersionFile | None = None,
        poll_s: float = POLL_S,
        recorder: decisions.Recorder | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.transport = transport
        self.members = members
        self.timeline = timeline
        self.rng = rng
        self.registry = registry
        self.memory = memory
        self.recorder = recorder or decisions.Recorder(members.me.host)
        self.held = routing.Routing()
        self.steps = answering.Steps()
        self.answerer = answering.Answerer(self)
        self.ready = False
        self.tries = 0
        # Control hosts that had no quorum or did not answer since one had.
        self.unsure: set[str] = set()
        self.vouching = vouching.Vouching()
        self.floor = rows.NONE
        self.confirmed_at: float | None = None
        # Uptime at which the version held was surely the newest one, ms.
        self.newest_at_ms = -math.inf
        self.lag = lags.Lag()
        self.sources = sources.Sources(
            members, control_hosts, self.lag, poll_s, rng
        )
        self.asked = ''
        # A question to a peer beside those to control.
        self.aside: asyncio.Future | None = None
        # Questions whose answers take long.
        self.open: list[asyncio.Task] = []
        self.reader = fetching.Reader(transport, members.me.host)
        self.wake = asyncio.Event()
        self.rounds = 0
        self.told = asyncio.Event()
        transport.handle(distribution.AskPeer, self._on_ask)
        transport.handle(distribution.News, self._on_news)

    async def on_start(self) -> None:
        """Remember which version was in force before the restart."""
        if self.memory is not None:
            self.floor = self.memory.read()

    async def on_stop(self) -> None:
        """Wait for no answers any more."""
        for task in self.open:
            task.cancel()

    def routing(self) -> routing.Routing:
        """Return the configuration in force, an empty one while not ready.

        The version of the empty one is :data:`rows.NONE`.
        """
        return self.held if self.ready else EMPTY

    def age_s(self) -> float:
        """Return how long ago the version held was surely the newest one.

        It counts on while this host is suspended.  All changes accepted
        before that moment are in force here.
        """
        return (clock.uptime_ms() - self.newest_at_ms) / MS

    @property
    def counts(self) -> lags.Counts:
        """What was read to keep up."""
        return self.reader.counts

    def version(self) -> rows.Version:
        """Return the version that this node has."""
        return self.held.version

    def table(self) -> tables.Table:
        """Return its rows."""
        return self.held.table

    def delta_since(self, version: rows.Version) -> rows.Delta | None:
        """Return a step on from ``version``, if it is still kept."""
        return self.steps.after(version)

    async def _on_ask(
        self, _sender: str, ask: distribution.AskPeer
    ) -> distribution.Answer | distribution.NotReady:
        if self.ready:
            return self.answerer.answer(ask)
        return distribution.NotReady(self.members.me.host)

    async def _on_news(self, sender: str, news: distribution.News) -> None:
        self.lag.told(news.version)
        if news.version > self.held.version:
            self.sources.teller = sender
            self.wake.set()

    @mode.Service.task
    async def _follow(self) -> None:
        """Ask for news when told of some, and now and then anyway."""
        while not self.should_stop:
            self.wake.clear()
            heard = await self._catch_up()
            pause = self.sources.poll_s * self.rng.uniform(0.8, 1.2)
            # Told of a version that nobody asked had yet, it does not wait
            # for more news or for its next poll.
            # Nor does it while control hosts without a quorum answer: keys
            # are accepted for a few polls only.
            unsure = bool(self.tries) or not heard or self.lag.heard
            if not self.ready or unsure:
                pause = AGAIN_S if heard and not self.ready else RETRY_S
            try:
                await asyncio.wait_for(self.wake.wait(), pause)
            except asyncio.TimeoutError:
                pass

    async def _catch_up(self) -> bool:
        """Ask who told of news, else a control host, else a peer.

        The first is asked for a step only: whoever has none for this node
        would send a whole table where control has a step.

        :return: whether anybody answered.
        """
        first = self.sources.first()
        if first and await self._fetch(
            Question(first, distribution.AskPeer, whole=False)
        ):
            return True
        host = self.sources.control(self.unsure)
        before = self.confirmed_at
        heard = bool(host) and await self._fetch(
            Question(host, distribution.Ask)
        )
        if heard and self.confirmed_at != before:
            self.tries = 0
            self.unsure.clear()
            return True
        self.unsure.add(host)
        # A control host without a quorum may have been cut off long ago and
        # not know it: its answer counts no more than none.
        self.tries += 1
        if self.ready or not heard:
            return await self._ask_peers()
        # Where all start at once, peers may be as slow as this node; the next
        # question to control must not wait for them.
        if self.aside is None or self.aside.done():
            self.aside = self.add_future(self._ask_peers())
        return True

    async def _ask_peers(self) -> bool:
        """Ask peers for news; tell whether one of them answered.

        A node that starts asks several at once for their word, but only one
        for the whole table.
        """
        several = not self.ready and len(self.held.table)
        peers = self.sources.some_peers(
            vouching.ENOUGH_PEERS if several else 1,
            () if self.ready else self.vouching.asked,
        )
        heard = await asyncio.gather(
            *(
                self._fetch(
                    Question(peer.peer, distribution.AskPeer, peer.host)
                )
                for peer in peers
            )
        )
        return any(heard)

    async def _fetch(self, question: Question) -> bool:
        """Take what a process has; tell whether it was of use so far.

        One that does not answer for long may still do so: what it says then
        counts, while others are asked.
        """
        silent = asyncio.Event()
        reading = asyncio.ensure_future(self._read_and_weigh(question, silent))
        waiting = asyncio.ensure_future(silent.wait())
        try:
            await asyncio.wait(
                (reading, waiting), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            waiting.cancel()
            if not reading.done():
                self._leave_open(reading)
        return reading.done() and reading.result()

    def _leave_open(self, reading: asyncio.Task) -> None:
        """Let a question go on beside others, a bounded number of them."""
        self.open = [task for task in self.open if not task.done()]
        self.open.append(reading)
        for task in self.open[:-MOST_OPEN]:
            task.cancel()

    async def _read_and_weigh(
        self, question: Question, silent: asyncio.Event
    ) -> bool:
        """Take what a process has, and its word for what this node holds."""
        try:
            return await self._read(question, silent)
        finally:
            if question.peer and not self.ready:
                self.vouching.mark_asked(question.peer)
                self._weigh_peers()

    async def _read(self, question: Question, silent: asyncio.Event) -> bool:
        """Take what a process has; tell whether it was of use.

        A process whose versions follow each other faster than they are
        fetched is asked a bounded number of times in a row, so that one that
        is behind itself does not keep this node behind.
        """
        for _turn in range(MOST_IN_A_ROW):
            self.asked, asked_at = question.address, clock.now()
            asked_ms = clock.uptime_ms()
            got = await self.reader.fetch(
                question.address,
                question.kind,
                self.held,
                question.whole,
                silent,
            )
            if got is None:
                return False
            answer = got.answer
            self.lag.told(answer.newest)
            if got.table is not None:
                if not self._take(answer.delta, got.table):
                    return False
            if answer.newest <= self.held.version:
                self._confirm(answer, asked_at, asked_ms)
                if question.peer:
                    self.vouching.mark_vouched(question.peer)
                return True
        return True

    def _confirm(
        self, got: distribution.Answer, asked_at: float, asked_ms: int
    ) -> None:
        """Take note that control vouches for the version held.

        :param asked_at: monotonic time of the question.
        :param asked_ms: uptime at the question, ms.
        """
        if not got.confirmed or got.newest < self.held.version:
            return
        # The answer may have been on its way for long.
        self.newest_at_ms = max(self.newest_at_ms, asked_ms)
        self.confirmed_at = clock.now()
        self.lag.vouched(asked_at)
        if self.held.version >= self.floor and len(self.held.table):
            self._become_ready('control')

    def _weigh_peers(self) -> None:
        """Serve, while control is away, once enough peers vouch.

        Nothing older than what this node's own disk remembers is put in
        force.
        """
        away = self.tries >= CONTROL_TRIES
        known = len(self.held.table) and self.held.version >= self.floor
        peers = [peer.host for peer in self.sources.peers()]
        if away and known and self.vouching.enough(peers):
            self._become_ready('%d peers' % len(self.vouching.vouchers))

    def _become_ready(self, by: str) -> None:
        if self.ready:
            return
        self.ready = True
        self._announce('vouched for by %s' % by)

    def _take(self, delta: rows.Delta, table: tables.Table) -> bool:
        """Put a version in force, once its digest is right.

        :param delta: the step, or the last piece of a whole table.
        :param table: what came of it.
        :return: whether it was taken.
        """
        step = delta.base != rows.NONE
        if delta.version <= self.held.version:
            # An answer that was overtaken by another one.
            return False
        if step and delta.base != self.held.version:
            return False
        if table.digest() != delta.digest:
            # Taking it would put a mixture of two versions in force.
            LOG.warning('A table does not match its digest.')
            return False
        self._put_in_force(delta, table, step)
        return True

    def _put_in_force(
        self, delta: rows.Delta, table: tables.Table, step: bool
    ) -> None:
        invariants.check(
            invariants.VERSION_MONOTONE,
            delta.version > self.held.version,
            '%s after %s' % (delta.version, self.held.version),
        )
        if self.memory is not None:
            self.memory.write(max(delta.version, self.floor))
        self.held = routing.Routing(delta.version, table)
        self.lag.hold(delta.version)
        self.vouching.clear()
        if step:
            self.steps.add(delta)
        else:
            self.steps.clear()
        if self.ready:
            self._announce('')

    def _announce(self, text: str) -> None:
        """Tell the time line and the plug-ins, and soon a few peers."""
        version = self.held.version
        self.timeline.record('version-in-force', text, version=str(version))
        if self.registry is not None:
            self.registry.send(plugins.CONFIGURED, routing=self.held)
        self.rounds = ROUNDS
        self.told.set()

    @mode.Service.task
    async def _tell(self) -> None:
        """Tell a few peers of each new version, in rounds."""
        while not self.should_stop:
            if not self.rounds:
                self.told.clear()
                await self.told.wait()
            self.rounds -= 1
            news = distribution.News(self.held.version)
            peers = self.sources.peers()
            for peer in self.rng.sample(peers, min(FANOUT, len(peers))):
                self.transport.send(peer.peer, news)
            await asyncio.sleep(ROUND_S)

    @mode.Service.task
    async def _tell_lag(self) -> None:
        """Tell when this node stays behind, and when it has caught up.

        Without it a node that serves by an old version for long leaves no
        line but those of the requests that it refuses.
        """
        behind_s = 0.0
        while not self.should_stop:
            await asyncio.sleep(TELL_LAG_S)
            self.answerer.sweep()
            now_s = self.lag.seconds()
            if now_s >= sources.BEHIND_S:
                self._tell_behind(now_s)
            elif behind_s >= sources.BEHIND_S:
                event = decisions.CaughtUp(
                    str(self.held.version), int(MS * behind_s)
                )
                self.recorder.tell(event, decisions.BELIEF)
            behind_s = now_s

    def _tell_behind(self, behind_s: float) -> None:
        event = decisions.Behind(
            str(self.held.version),
            str(self.lag.newest),
            int(MS * behind_s),
            self.asked,
            *self.counts,
        )
        self.recorder.tell(event, decisions.BELIEF)


def make(kernel, members: interfaces.Members) -> Follower:
    """Return the follower of a node."""
    folder: pathlib.Path | None = kernel.data('node')
    memory = versionfile.VersionFile(folder) if folder else None
    return Follower(
        kernel.links,
        members,
        kernel.settings.control_hosts,
        kernel.timeline,
        kernel.random('follower'),
        kernel.registry,
        memory,
        kernel.settings.node.poll_s,
        kernel.recorder,
    )
