"""Every node and its version, over all control hosts.

A node asks any control host for news, so each control host has heard of some
nodes.  They tell each other when an operator asks for the status.
"""

import asyncio
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import wire

TIMEOUT_S = 1.0
# Nodes told of in one message; the size to design for is 2,500.
MAX_NODES = 10_000


class Seen(typing.NamedTuple):
    """A node as a control host last heard of it.

    :param host: its name.
    :param version: the version that it had.
    :param age_s: seconds since.
    """

    host: str
    version: str
    age_s: float


@wire.register(142)
class AskNodes(typing.NamedTuple):
    """Asks a control host which nodes it has heard of lately."""

    none: int = 0


@wire.register(143)
class TellNodes(typing.NamedTuple):
    """Answers :class:`AskNodes`.

    :param nodes: the nodes.
    """

    nodes: tuple[Seen, ...]


class NodeVersion(typing.Protocol):
    """What ``publisher.Publisher`` knows of one node."""

    host: str
    address: str
    version: typing.Any
    seen: float


class Publisher(typing.Protocol):
    """Knows the nodes that asked this control host."""

    def nodes(self) -> typing.Sequence[NodeVersion]:
        """Return the nodes heard of lately."""


class Nobody:
    """A publisher that no node has asked."""

    def nodes(self) -> tuple[NodeVersion, ...]:
        """Return no node."""
        return ()


class Fleet:
    """The nodes, as all control hosts together know them.

    :param transport: messages to the other control hosts.
    :param publisher: knows the nodes heard of here.
    :param control_hosts: addresses of all control hosts.
    """

    def __init__(
        self,
        transport: interfaces.Transport,
        publisher: Publisher,
        control_hosts: typing.Sequence[str],
    ) -> None:
        self.transport = transport
        self.publisher = publisher
        self.control_hosts = tuple(control_hosts)
        transport.handle(AskNodes, self._on_ask)

    def addresses(self) -> list[str]:
        """Return the addresses of the nodes heard of here."""
        return [node.address for node in self.publisher.nodes()]

    async def nodes(self) -> list[Seen]:
        """Return every node, by name, as whoever heard last knows it."""
        others = [a for a in self.control_hosts if a != self.transport.address]
        asked = [
            self.transport.call(address, AskNodes(), TIMEOUT_S)
            for address in others
        ]
        results = await asyncio.gather(*asked)
        newest = {node.host: node for node in self._here()}
        for result in results:
            for node in result.ok.nodes if result.is_ok() else ():
                known = newest.get(node.host)
                if known is None or node.age_s < known.age_s:
                    newest[node.host] = node
        return [node for _host, node in sorted(newest.items())]

    def _here(self) -> list[Seen]:
        now = clock.now()
        return [
            Seen(node.host, str(node.version), round(now - node.seen, 3))
            for node in self.publisher.nodes()
        ]

    async def _on_ask(self, _sender: str, _ask: AskNodes) -> TellNodes:
        return TellNodes(tuple(self._here()[:MAX_NODES]))
