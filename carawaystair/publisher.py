"""The control side of distribution: answers nodes and tells them of news."""

import random
import typing

import mode

from carawaystair import answering
from carawaystair import clock
from carawaystair.control import interfaces as control
from carawaystair import distribution
from carawaystair import interfaces
from carawaystair import rows
from carawaystair import table as tables

# Nodes told directly of a new version; they tell the others.
FANOUT = 16
# A node that has not asked for so long is no longer listed.
FORGET_S = 60.0


class NodeVersion(typing.NamedTuple):
    """What a node said of itself when it last asked.

    :param host: its name.
    :param address: its address for messages.
    :param version: the version that it had.
    :param seen: monotonic time of the question.
    """

    host: str
    address: str
    version: rows.Version
    seen: float


class Publisher(mode.Service):
    """Answers the nodes' questions on one control host.

    :param transport: messages to other processes.
    :param group: the control group.
    :param rng: picks the nodes that are told first.
    """

    def __init__(
        self,
        transport: interfaces.Transport,
        group: control.Control,
        rng: random.Random,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.transport = transport
        self.group = group
        self.rng = rng
        self.seen: dict[str, NodeVersion] = {}
        self.held = rows.NONE
        self.rows = tables.EMPTY
        self.answerer = answering.Answerer(self)
        transport.handle(distribution.Ask, self._on_ask)
        group.subscribe(self._on_accepted)

    def nodes(self) -> tuple[NodeVersion, ...]:
        """Return what the nodes heard of lately said of themselves."""
        oldest = clock.now() - FORGET_S
        self.seen = {k: n for k, n in self.seen.items() if n.seen >= oldest}
        return tuple(self.seen.values())

    async def _on_ask(
        self, sender: str, ask: distribution.Ask
    ) -> distribution.Answer:
        self.seen[ask.host] = NodeVersion(
            ask.host, sender, ask.have, clock.now()
        )
        # A control host that was cut off may hold an old version without
        # knowing it; only a quorum's word makes a node ready.
        result = await self.group.current()
        self._refresh()
        return self.answerer.answer(ask, result.is_ok())

    def version(self) -> rows.Version:
        """Return the version that is handed out."""
        return self.held

    def table(self) -> tables.Table:
        """Return its rows."""
        return self.rows

    def delta_since(self, version: rows.Version) -> rows.Delta | None:
        """Return what leads from ``version`` to the newest one."""
        delta = self.group.delta_since(version)
        # The group may have moved on; its delta then leads too far.
        if delta is None or delta.version != self.held:
            return None
        return delta

    def _refresh(self) -> None:
        """Catch up with what the group has accepted."""
        newest = self.group.version()
        if newest == self.held:
            return
        delta = self.group.delta_since(self.held)
        if self.held == rows.NONE or delta is None:
            self.rows = tables.from_rows(self.group.table())
        else:
            self.rows = tables.apply(self.rows, delta)
        self.held = newest

    def _on_accepted(self, version: rows.Version) -> None:
        nodes = self.nodes()
        news = distribution.News(version)
        for node in self.rng.sample(nodes, min(FANOUT, len(nodes))):
            self.transport.send(node.address, news)
