"""Golden files of whole sessions of a small fleet.

Each session runs the real parts of several nodes in virtual time and
compares the merged time line, with times and ids normalised, to a file in
``test/golden``.  After an intended change of behaviour run the tests with
``GOLDEN=write`` and read what changed.
"""

import asyncio
import os
import pathlib
import random
import re

from carawaystair import clock
from carawaystair import follower
from carawaystair import interfaces
from carawaystair import manifest as manifests
from carawaystair import membership
from carawaystair.membership import registry
from carawaystair import outlier
from carawaystair import publisher
from carawaystair import rows
from carawaystair import timeline
from test import fakes
from test import test_follower

GOLDEN = pathlib.Path(__file__).parent / 'golden'
DATA_CENTRES = ('rvk-a', 'rvk-b', 'rvk-c', 'rvk-d')
CONTROL = '127.0.0.1:9000'
SERVICE_S = 0.02
# Incarnations, shares and the like differ from run to run of a policy.
NUMBERS = re.compile(r'(?<![-\w.])\d[\d.:]*%?')

MANIFEST = manifests.Manifest(
    1,
    'reykjavik',
    {'is-south': manifests.Place(DATA_CENTRES)},
    {'portal': manifests.Service(detection='fast', floor_percent=50)},
    (manifests.Route('/', 'portal'),),
)


class Node:
    """The parts of one node that decide, on a fake network."""

    def __init__(self, network, number):
        peer = '127.0.0.1:%d' % (9100 + number)
        seeds = ['127.0.0.1:%d' % (9100 + seed) for seed in range(2)]
        document = {
            'host': 'host-%d' % number,
            'data_centre': DATA_CENTRES[number % len(DATA_CENTRES)],
            'region': 'is-south',
            'peer': peer,
            'gossip': peer,
            'seeds': seeds,
            'control_hosts': [CONTROL],
        }
        self.kernel = fakes.Kernel(network, document)
        self.membership = membership.make(self.kernel)
        self.directory = self.membership.directory
        members = self.membership.members
        self.follower = follower.make(self.kernel, members)
        self.outlier = outlier.make(
            self.kernel, members, self.directory, self.follower.routing
        )
        self.parts = (self.membership, self.follower, self.outlier)

    async def start(self):
        for part in self.parts:
            await part.start()

    async def stop(self):
        for part in reversed(self.parts):
            await part.stop()

    def announce(self, state=interfaces.UP):
        """Announce the upstream of this host."""
        number = self.kernel.settings.host.removeprefix('host-')
        said = registry.Announcement(
            'portal', '127.0.0.1:1%s' % number, 5, state=state
        )
        self.membership.registry.announce(
            'portal-%s' % number, said, self.kernel.incarnation
        )


class Session:
    """A fleet of some nodes under steady load, and its time line."""

    def __init__(self, nodes=4, seed=1, manifest=MANIFEST):
        self.manifest = manifest
        self.network = fakes.Network(seed)
        self.rng = random.Random(seed)
        self.group = test_follower.Group()
        self.bad: dict[str, float] = {}
        self.line = timeline.Timeline('session')
        end = self.network.transport(CONTROL)
        self.publisher = publisher.Publisher(end, self.group, self.rng)
        self.nodes = [Node(self.network, number) for number in range(nodes)]
        self.tasks = []

    async def start(self, settle_s=10):
        self.group.take(rows.from_manifest(self.manifest))
        # Without the step the nodes read the whole table in pieces.
        self.group.steps.clear()
        for node in self.nodes:
            await node.start()
        self.tasks = [
            asyncio.create_task(part(node))
            for node in self.nodes
            for part in (self._renew, self._ask)
        ]
        await asyncio.sleep(settle_s)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.stop()

    def mark(self, kind, text=''):
        """Begin a phase, after all that happened so far."""
        for node in self.nodes:
            self.line.clock.merge(node.kernel.timeline.clock.last)
        event = self.line.record(kind, text)
        for node in self.nodes:
            node.kernel.timeline.clock.merge(event.time)

    async def _renew(self, node):
        """Renew the announcement of a node's upstream."""
        while True:
            node.announce()
            await asyncio.sleep(2)

    async def _ask(self, node):
        """Send ten requests a second from one node."""
        while True:
            await asyncio.sleep(self.rng.expovariate(10))
            known = node.directory.upstreams('portal')
            ejected = node.outlier.ejected('portal')
            usable = [
                upstream
                for upstream in known
                if upstream.id not in ejected
                and upstream.state == interfaces.UP
            ]
            if usable:
                chosen = self.rng.choice(usable).id
                asyncio.create_task(self._attempt(node, chosen))

    async def _attempt(self, node, upstream):
        started = clock.now()
        late = self.bad.get(upstream)
        took = late or SERVICE_S * self.rng.uniform(0.5, 1.5)
        outcome = interfaces.TIMEOUT if late else interfaces.GOOD
        await asyncio.sleep(took)
        node.outlier.record(
            interfaces.Attempt(
                'portal', upstream, 'firm-a', outcome, took, started, 'r'
            )
        )

    def text(self, *left_out):
        """Return the time line by phases, without times and numbers.

        A phase begins with an event of the session.  Within it the same
        event of several hosts is one line, and kinds stand in the order in
        which they first came up; so the text holds what happened, not by
        which roll of the dice.
        """
        rings = [node.kernel.timeline.ring for node in self.nodes]
        lines = ['START']
        hosts = {}
        for event in timeline.merge(self.line.ring, *rings):
            if event.host == 'session':
                lines += _phase(hosts) + [event.kind + ' ' + event.text]
                hosts = {}
            elif event.kind not in left_out:
                hosts.setdefault(event.kind, {}).setdefault(
                    _plain(event), set()
                ).add(event.host)
        return '\n'.join(lines + _phase(hosts)) + '\n'


def _plain(event):
    text = NUMBERS.sub('#', event.text)
    words = (event.service, event.upstream, event.version, text)
    return ' '.join(filter(None, words))


def _phase(kinds):
    """Return the lines of one phase."""
    return [
        '  %s %s: %s' % (kind, what, ', '.join(sorted(hosts)))
        for kind, events in kinds.items()
        for what, hosts in sorted(events.items())
    ]


def compare(name, text):
    """Compare with a golden file, or write it when asked to."""
    file = GOLDEN / ('%s.txt' % name)
    if os.environ.get('GOLDEN') == 'write':
        GOLDEN.mkdir(exist_ok=True)
        file.write_text(text)
    assert text == file.read_text(), 'GOLDEN=write, then read the change'


def test_gray_upstream_is_ejected_and_returns():
    async def scenario():
        session = Session()
        await session.start()
        session.mark('FAULT', 'portal-2 answers no real work')
        session.bad['portal-2'] = 1.0
        await asyncio.sleep(30)
        session.mark('MENDED', 'portal-2')
        session.bad.clear()
        await asyncio.sleep(90)
        session.mark('STOP')
        await session.stop()
        return session

    session = fakes.run(scenario())
    compare('gray_upstream', session.text())


def test_drain_reaches_every_node_without_control():
    async def scenario():
        session = Session()
        await session.start()
        session.network.remove(CONTROL)
        session.mark('DRAIN', 'portal-1, control is away')
        session.nodes[1].announce(interfaces.DRAINING)
        await asyncio.sleep(1.9)
        states = {
            upstream.state
            for node in session.nodes
            for upstream in node.directory.upstreams('portal')
            if upstream.id == 'portal-1'
        }
        session.mark('STOP')
        await session.stop()
        return session, states

    session, states = fakes.run(scenario())
    assert states == {interfaces.DRAINING}
    compare('drain', session.text())


def test_partition_heals():
    async def scenario():
        session = Session()
        await session.start()
        peers = [node.kernel.settings.peer for node in session.nodes]
        session.mark('CUT', 'host-0 and host-1 from the others')
        session.network.cut(peers[:2], peers[2:])
        await asyncio.sleep(60)
        session.mark('HEALED')
        session.network.heal()
        await asyncio.sleep(60)
        alive = {len(n.membership.members.alive()) for n in session.nodes}
        session.mark('STOP')
        await session.stop()
        return session, alive

    session, alive = fakes.run(scenario())
    assert alive == {4}
    compare('partition', session.text())
