"""A fleet of reservation services on a fake network, with checked grants."""

import asyncio
import random

import expression

from carawaystair import clock
from carawaystair import invariants
from carawaystair import manifest
from carawaystair.reservations import identifiers
from carawaystair.reservations import placement_server
from carawaystair.reservations import placement_state
from carawaystair.reservations import service
from carawaystair import routing
from carawaystair import rows
from carawaystair import timeline
from test import fakes

CONTROL = '127.0.0.1:1'
DIGEST = b'd' * 16
WINDOW_S = 600


def configuration(window_s=WINDOW_S):
    """Return a configuration with one service."""
    document = manifest.Manifest(
        1,
        'test',
        {'here': manifest.Place(('dc-0', 'dc-1', 'dc-2', 'dc-3', 'dc-4'))},
        {'pay': manifest.Service(key_window_s=window_s)},
        (manifest.Route('/', 'pay'),),
    )
    table = rows.from_manifest(document)
    return routing.Routing(rows.Version(1, 1), table)


class GrantAuditor:
    """Checks that no key is granted twice within its window."""

    def __init__(self, window_s=WINDOW_S):
        self.window_s = window_s
        self.grants = {}
        self.count = 0

    def granted(self, key, token):
        """Record a grant and check that no other one is active."""
        now = clock.now()
        active = [
            (since, other)
            for since, other in self.grants.get(key, [])
            if now - since < self.window_s
        ]
        self.count += 1
        self.grants[key] = [*active, (now, token)]
        detail = '%s at %.3f: %s, now %s' % (key, now, active, token)
        invariants.check(invariants.RESERVED_ONCE, not active, detail)

    def released(self, key, token):
        """Remove a released grant."""
        self.grants[key] = [g for g in self.grants[key] if g[1] != token]


class Group:
    """A control group with one member."""

    def __init__(self):
        self.placement_state = placement_state.PlacementState()

    async def propose(self, entry):
        """Apply an entry."""
        return expression.Ok(self.placement_state.apply(rows.NONE, entry[1:]))


class Fleet:
    """Nodes and one control host.

    :param network: fake network.
    :param size: number of nodes.
    :param data_centres: number of data centres.
    :param capacity: memory for keys of each node, bytes.
    :param window_s: window of the keys, seconds.
    """

    def __init__(
        self,
        network,
        size=6,
        data_centres=3,
        capacity=1 << 20,
        window_s=WINDOW_S,
    ):
        self.network = network
        self.capacity = capacity
        self.routing = configuration(window_s)
        self.members = [
            fakes.member(number, data_centres)._replace(region='here')
            for number in range(size)
        ]
        # Membership as each node sees it; tests change it.
        self.views = {
            member.host: fakes.Members(
                member, [m for m in self.members if m != member]
            )
            for member in self.members
        }
        self.group = Group()
        self.placement_server = placement_server.PlacementServer(
            network.transport(CONTROL), self.group
        )
        self.nodes = {}
        self.starts = 0
        self.auditor = GrantAuditor(window_s)

    async def start(self, *numbers):
        """Start or restart some nodes, or all."""
        for number in numbers or range(len(self.members)):
            member = self.members[number]
            self.starts += 1
            transport = self.network.transport(member.peer)
            node = service.Reservations(
                transport,
                transport,
                self.views[member.host],
                lambda: self.routing,
                [CONTROL],
                timeline.Timeline(member.host),
                random.Random(self.starts),
                clock.wall_ms(),
                self.capacity,
            )
            # Started here in a fixed order: mode starts its tasks in the order
            # of a set, which differs between runs of Python.
            loops = (
                node.placement_updater.run,
                node.planner.run,
                node.run_expiry,
            )
            node.loops = [asyncio.ensure_future(loop()) for loop in loops]
            self.nodes[number] = node

    async def crash(self, *numbers):
        """Remove nodes and all their state."""
        for number in numbers:
            self.network.remove(self.members[number].peer)
            await self._end(self.nodes.pop(number))

    async def stop(self):
        """Stop all nodes."""
        for node in list(self.nodes.values()):
            await self._end(node)

    async def _end(self, node):
        for task in node.loops:
            task.cancel()
        await node.on_stop()

    def set_alive(self, *numbers):
        """Let all nodes see only these nodes as alive."""
        alive = [self.members[number] for number in numbers]
        for host, view in self.views.items():
            view.others = [m for m in alive if m.host != host]
            view.all = None

    def addresses(self, *numbers):
        """Return the addresses of some nodes."""
        return [self.members[number].peer for number in numbers]

    def holders(self, key='k', customer='c'):
        """Return the numbers of the nodes with a replica of a key."""
        table = self.group.placement_state.placement_table
        key_digest = identifiers.key_digest('pay', customer, key)
        placement = table.get(table.partition('pay', key_digest))
        hosts = [member.host for member in self.members]
        return [hosts.index(member.host) for member in placement.members]

    def record(self, number, key='k', customer='c'):
        """Return the record of a key at one node."""
        key_digest = identifiers.key_digest('pay', customer, key)
        node = self.nodes[number]
        replica = node.replica_server.partitions[
            node.placement_table.partition('pay', key_digest)
        ]
        return replica.store.get(key_digest, clock.now())

    def non_holders(self, key='k'):
        """Return the numbers of the nodes without a replica of a key."""
        holders = self.holders(key)
        return [number for number in self.nodes if number not in holders]

    async def reserve(
        self, number, key='k', customer='c', digest=DIGEST, seconds=3.0
    ):
        """Reserve a key at a node and check the grant."""
        result = await self.nodes[number].reserve(
            'pay', customer, key, digest, clock.now() + seconds
        )
        if result.is_ok() and result.ok.granted:
            self.auditor.granted((customer, key), result.ok.token)
        return result

    async def settle(self, number, result, answer=b'answer'):
        """Settle a grant."""
        await self.nodes[number].settle(result.ok.token, answer)

    async def release(self, number, result, key='k', customer='c'):
        """Release a grant."""
        self.auditor.released((customer, key), result.ok.token)
        await self.nodes[number].release(result.ok.token)
