"""Nodes with gateways and scripted upstreams, in virtual time."""

import asyncio
import contextlib
import random
import types

from carawaystair import decisions
from carawaystair import gateway
from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.membership import registry as registries
from carawaystair import plugins
from carawaystair import quarantine
from carawaystair import routing as routings
from carawaystair import rows
from carawaystair import settings
from carawaystair import shutdown as shutdowns
from carawaystair import timeline
from test import fakes
from test import request_setup as setups

SERVICE = manifest.Service(max_body=2**30)
ROUTES = (
    manifest.Route('/pay/', 'portal', idempotent=False, goal_ms=2000),
    manifest.Route('/read/', 'portal', idempotent=True, goal_ms=2000),
    manifest.Route('/tight/', 'portal', idempotent=True, timeout_ms=300),
)


CONTROL = '127.0.0.1:5000'


class LogLines:
    """Collects log lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def line(self, data: bytes) -> None:
        """Append a line."""
        self.lines.append(data)


class Membership:
    """The part of the membership service that a gateway uses, for one node."""

    def __init__(self, node: 'Node', fleet: 'Fleet') -> None:
        self.node = node
        self.fleet = fleet
        self.incarnation = node.incarnation
        self.directory = fakes.Directory()
        self.registry = registries.Registry(
            6.0, self.publish, node.gateway_address
        )
        self.callbacks: list = []
        self.members = self

    @property
    def table(self):
        """Return the processes of all hosts."""
        entries = {
            other.host: types.SimpleNamespace(
                record=types.SimpleNamespace(
                    incarnation=other.membership.incarnation
                )
            )
            for other in self.fleet.nodes
        }
        return types.SimpleNamespace(entries=entries)

    @property
    def me(self) -> interfaces.Member:
        """Return this process."""
        return self.node.member

    def alive(self) -> tuple[interfaces.Member, ...]:
        """Return all processes."""
        return tuple(node.member for node in self.fleet.nodes)

    def subscribe(self, callback) -> None:
        """Register a callback for processes that join or leave."""
        self.callbacks.append(callback)

    def publish(self, _urgent: bool) -> None:
        """Publish the upstreams of this node to all nodes."""
        upstreams = {row.id: row for row in self.registry.rows()}
        for name in set(self.node.announced) - set(upstreams):
            gone = self.node.announced[name]._replace(state=interfaces.GONE)
            self.fleet.publish(gone)
        self.node.announced = {
            row.id: interfaces.Upstream(
                row.id,
                row.service,
                row.address,
                self.node.host,
                self.node.data_centre,
                row.slots,
                warmup_s=row.warmup_ms / 1000,
                state=('up', 'draining')[row.state],
                incarnation=row.incarnation,
            )
            for row in upstreams.values()
        }
        for upstream in self.node.announced.values():
            self.fleet.publish(upstream)


class Node:
    """One node with its gateway, and the upstream on its host if any.

    :param number: determines its name and its ports.
    :param incarnation: of its process; 0 for that of the first one.
    """

    def __init__(
        self,
        number: int,
        fleet: 'Fleet',
        upstream,
        incarnation: int = 0,
        **node,
    ) -> None:
        self.number = number
        self.incarnation = incarnation or 100 + number
        self.host = 'h%d' % number
        self.data_centre = fleet.data_centre(number)
        self.listen = fleet.first_port + 1000 + number
        self.gateway = fleet.first_port + number
        self.gateway_address = '127.0.0.1:%d' % self.gateway
        self.announced: dict[str, interfaces.Upstream] = {}
        self.upstream = upstream
        self.runs_service = fleet.services[number]
        self.membership = Membership(self, fleet)
        self.member = interfaces.Member(
            self.host,
            self.data_centre,
            'r',
            '127.0.0.1:%d' % (6000 + number),
            '127.0.0.1:%d' % (6000 + number),
            self.membership.incarnation,
        )
        self.lines = LogLines()
        text = {
            'host': self.host,
            'data_centre': self.data_centre,
            'region': 'r',
            'headers': {
                'receipt': 'X-Receipt',
                'customer': 'X-Customer',
                'limit': 'X-Limit',
                'leaving': 'X-Leaving',
            },
            'control_hosts': [CONTROL],
            'control': node.pop('control', {}),
            'node': {
                'listen': '127.0.0.1:%d' % self.listen,
                'gateway': self.gateway_address,
                'service': 'shop',
                'drain_s': 6.0,
                **node,
            },
        }
        parsed = settings.parse(fakes.json.dumps(text))
        self.kernel = types.SimpleNamespace(
            settings=parsed.ok,
            registry=plugins.Registry(()),
            timeline=timeline.Timeline(self.host),
            shutdown=shutdowns.Shutdown(),
            incarnation=self.membership.incarnation,
            random=lambda part: random.Random('%s %d' % (part, number)),
        )
        self.recorder = decisions.Recorder(self.host, self.lines)
        self.kernel.recorder = self.recorder
        self.kernel.links = fleet.network.transport(self.member.peer)
        self.quarantine = quarantine.make(self.kernel, self.membership.members)
        self.service = gateway.make(
            self.kernel,
            self.membership,
            lambda: fleet.routing,
            self.recorder,
            self.quarantine,
            lambda: fleet.behind_s,
            lambda: fleet.age_s,
        )

    def announce(
        self,
        state: str = 'up',
        slots: int = 5,
        incarnation: int = 0,
        wall_ms: int = 1,
    ) -> None:
        """Announce the upstream of this host.

        :param incarnation: its incarnation; 0 for the current one.
        :param wall_ms: incarnation of a new one that gives none.
        """
        announcement = registries.Announcement(
            self.runs_service,
            '127.0.0.1:%d' % self.upstream.port,
            slots,
            state=state,
            incarnation=incarnation,
        )
        self.membership.registry.announce(
            self.upstream.name, announcement, wall_ms
        )

    def events_of(self, request: str) -> list[dict]:
        """Return the events about a request in this node's log."""
        events = [fakes.json.loads(line) for line in self.lines.lines]
        return [event for event in events if event.get('id') == request]


class Fleet:
    """Several nodes in one process.

    :param scripts: the script of each node's upstream; None for a node
        without an upstream.
    :param remote_count: number of nodes, counted from the last, that are in
        another data centre.
    :param services: the service of each node's upstream; by default the same
        one for all.
    :param first_port: the port of the first gateway.
    """

    def __init__(
        self,
        scripts,
        slots: int = 5,
        routes=ROUTES,
        limits=manifest.Limits(),
        remote_count: int = 0,
        services: tuple[str, ...] = (),
        customers: dict[str, manifest.Customer] | None = None,
        first_port: int = 7000,
        **node,
    ) -> None:
        self.first_port = first_port
        self.remote_count = remote_count
        self.count = len(scripts)
        self.services = services or ('portal',) * len(scripts)
        self.routing = _routing(routes, limits, self.services, customers)
        self.behind_s = 0.0
        # How old the knowledge of the configuration is, seconds.
        self.age_s = 0.0
        self.network = fakes.Network()
        self.nodes: list[Node] = []
        self.slots = slots
        for number, script in enumerate(scripts):
            upstream = None
            if script is not None:
                port = first_port + 2000 + number
                upstream = setups.Upstream(port, script)
            self.nodes.append(Node(number, self, upstream, **node))

    def data_centre(self, number: int) -> str:
        """Return the data centre of a node."""
        return 'b' if number >= self.count - self.remote_count else 'a'

    def publish(self, upstream: interfaces.Upstream) -> None:
        """Publish the state of an upstream to all nodes."""
        for node in self.nodes:
            node.membership.directory.put(upstream)

    @property
    def runs(self) -> list[setups.Seen]:
        """Return the requests that all upstreams ran."""
        return [
            seen
            for node in self.nodes
            if node.upstream is not None
            for seen in node.upstream.runs
        ]

    async def restart(self, number: int) -> None:
        """Replace the process of a node; its upstream stays."""
        former = self.nodes[number]
        await former.service.stop()
        await former.quarantine.stop()
        for upstream in former.announced.values():
            self.publish(upstream._replace(state=interfaces.GONE))
        node = Node(
            number, self, former.upstream, former.membership.incarnation + 100
        )
        self.nodes[number] = node
        for other in self.nodes:
            for upstream in other.announced.values():
                node.membership.directory.put(upstream)
        await node.quarantine.start()
        await node.service.start()
        node.announce(slots=self.slots, wall_ms=2)

    async def ask(
        self, path: str, method: str = 'GET', node: int = 0, **options
    ) -> setups.Answer:
        """Send a request to one node on a connection of its own."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.nodes[node].listen, limit=2**21
        )
        try:
            return await setups.ask(reader, writer, path, method, **options)
        finally:
            writer.close()


def _routing(routes, limits, services, customers) -> routings.Routing:
    document = manifest.Manifest(
        1,
        'test',
        {'r': manifest.Place(('a', 'b'))},
        dict.fromkeys(('portal', 'other', *services), SERVICE),
        routes,
        customers or {},
        limits=limits,
        require_keys=customers is not None,
    )
    return routings.Routing(rows.Version(1, 1), rows.from_manifest(document))


@contextlib.asynccontextmanager
async def running(*scripts, **options):
    """Run nodes, with upstreams that follow the scripts."""
    fleet = Fleet(scripts, **options)
    for node in fleet.nodes:
        if node.upstream is not None:
            await node.upstream.start()
        await node.quarantine.start()
        await node.service.start()
    for node in fleet.nodes:
        if node.upstream is not None:
            node.announce(slots=fleet.slots)
    try:
        yield fleet
    finally:
        for node in fleet.nodes:
            await node.service.stop()
            await node.quarantine.stop()


def good(body: bytes = b'done', **headers: str) -> bytes:
    """Return the bytes of a good answer with a receipt."""
    return setups.reply(body, X_Receipt='r', **headers)


async def serve(upstream, seen, writer) -> None:
    """Script that answers at once."""
    writer.write(good(upstream.name.encode()))


def slow(seconds: float):
    """Return a script that answers after some time."""

    async def script(upstream, seen, writer):
        await asyncio.sleep(seconds)
        writer.write(good(upstream.name.encode()))

    return script


async def fail(upstream, seen, writer) -> None:
    """Script that fails at once."""
    writer.write(setups.reply(b'no', 500, X_Receipt='r'))


def run_count(fleet: Fleet, path: str) -> int:
    """Return how many runs a request had."""
    return sum(path in seen.line for seen in fleet.runs)


async def ask_until_running(
    fleet: Fleet, path: str, method: str, body: bytes = b'x'
) -> asyncio.Task:
    """Send a request to the first node; return once an upstream runs it.

    With more than two nodes, one must have an upstream of ``other``.
    """
    await fleet.ask('/read/warm')
    if fleet.count > 2:
        await fleet.ask('/other/warm')
    body = body if method == 'POST' else b''
    asking = asyncio.ensure_future(fleet.ask(path, method, body=body))
    while not run_count(fleet, path):
        await asyncio.sleep(0.01)
    return asking
