"""The processes of a soak, the ways to them, and its upstreams."""

import asyncio
import json
import math
import os
import pathlib
import random
import signal
import sys

import aiohttp

from carawaystair import clock
from carawaystair import interfaces
from soak import carriers
from soak import entries
from soak import fatal as fatals
from soak import host as hosts
from soak import plan as plans
from soak import stated as stated_module
from soak import watch as watches
from soak import ways as ways_module
from standin import content
from standin import fleet as fleets
from standin import runs as runs_module
from standin import stage as stages
from standin import upstream as upstreams

# Changes a second that control takes of an operator: storms make up to
# fourteen.
CHANGES_S = 100.0
# Processes listen at addresses of their own; what others use leads to them.
# Soaks that run side by side use other networks, by the number of the
# process: 127.NETWORK.x.y.
NETWORKS = 200
IPS = 250
UPSTREAM_SLOTS = 5
SERVICE_MS = {'portal': 20.0, 'settlement': 30.0}
# Downloads are part of the plays with long requests, and wait for slots.
DOWNLOADS = 'docvault'
DOWNLOAD_MS = 400.0
DOWNLOAD_SLOTS = 1
# A process that stops is killed so long after its time is over, seconds: as
# much as the settings of the platform leave between the two.
KILLED_S = 0.1
BYTES = 1e6 / 8
READY_S = 40.0
# A new life is announced in this time, or its node is struck itself, seconds.
ANNOUNCED_S = 6.0
# What a leaver said before is repeated for so long until a process of its node
# answers, seconds.
LATE_LEAVER_S = 6.0
# A node knows so long after control is back what was acknowledged, seconds:
# control starts, and the node asks again.
RECALLED_S = 6.0


class WatchedRuns(runs_module.Runs):
    """Tells a watch of each run as it begins.

    :param options: of the upstream.
    :param watch: is told.
    """

    def __init__(
        self, options: upstreams.Options, watch: watches.Watch
    ) -> None:
        super().__init__()
        self.options = options
        self.watch = watch

    def begin(self, run: runs_module.Run) -> int:
        """Add a run that starts."""
        self.watch.began(self.options.service, run, self.options.host)
        return super().begin(run)

    def end(self, number: int, how: str) -> None:
        """Take note of how a run ended."""
        super().end(number, how)
        if number in self.table:
            self.watch.ended(self.table[number])


class Upstream(upstreams.Upstream):
    """A stand-in upstream behind a way.

    :param options: how it is set up; its address is the real one.
    :param way: leads to it.
    :param watch: is told of its runs.
    """

    limit_header = stated_module.LIMIT
    leaving_header = stated_module.LEAVING

    def __init__(
        self,
        options: upstreams.Options,
        way: ways_module.Way | carriers.Way,
        watch: watches.Watch,
    ) -> None:
        super().__init__(options)
        self.way = way
        self.watch = watch
        self.runs = WatchedRuns(options, watch)
        # Is told when a request has crashed it.
        self.fell = _nobody

    def announcement(self):
        """Return what is announced: the way, not the address."""
        return super().announcement()._replace(address=self.way.address)

    def arrives(self, call: upstreams.Call) -> None:
        """Tell the watch of a request."""
        marker = call.marker or call.bundle
        self.watch.stated.arrives(self.options.id, marker, call.request)

    def fall(self) -> None:
        """Crash under a request."""
        self.fell(self)

    def say_no_more(self) -> None:
        """Go on serving without another word to the node."""
        self.announcer.announce = _nothing
        self.announcer.withdraw = _nothing

    async def crash(self) -> None:
        """Be gone without a word."""
        if self.announcer is not None:
            self.say_no_more()
        for connection in self.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self.stop()


def _nobody(_upstream: Upstream) -> None:
    """Stand for who starts a crashed upstream again."""


async def _nothing() -> None:
    """Stand for a message that an upstream does not send."""


class Fleet(fleets.Fleet):
    """A fleet of gateways whose addresses lead through ways.

    :param folder: for settings, logs and data.
    :param seed: of the ways.
    :param watch: is told what upstreams see.
    :param conditions: that hold for all its hosts.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        watch: watches.Watch,
        conditions: plans.Conditions = plans.Conditions(),
    ) -> None:
        super().__init__(folder, '', gateways=True)
        self.conditions = conditions
        self.rng = random.Random('ways %d' % seed)
        self.network = 1 + os.getpid() % NETWORKS
        self.watch = watch
        self.ips: dict[str, str] = {}
        # The ways to each host, and to each upstream.
        self.ways: dict[str, list] = {}
        self.carriers: list[carriers.Carrier] = []
        self.running: dict[str, Upstream] = {}
        self.places: dict[str, str] = {}
        self.turns: dict[str, asyncio.Lock] = {}
        # When processes were started, by host.
        self.started: dict[str, float] = {}
        # New starts of upstreams that requests crashed.
        self.restarts: set[asyncio.Task] = set()

    async def __aexit__(self, *error) -> None:
        for one in list(self.running.values()):
            await one.crash()
        for name in list(self.processes):
            self.signal(name, signal.SIGCONT)
        await super().__aexit__(*error)
        for way in [way for some in self.ways.values() for way in some]:
            await way.close()
        for carrier in self.carriers:
            await carrier.stop()

    def address(self) -> str:
        """Return a free address in the network of this soak."""
        port = super().address().rpartition(':')[2]
        return '127.%d.%d.1:%s' % (self.network, IPS + 1, port)

    # Hosts

    def add_host(self, name: str, data_centre: str, *roles: str):
        """Add a host with an IP of its own."""
        part, number = divmod(len(self.ips), IPS)
        self.ips[name] = '127.%d.%d.%d' % (self.network, part, 1 + number)
        self.turns[name] = asyncio.Lock()
        return super().add_host(name, data_centre, *roles)

    def settings(self, host: fleets.Host) -> dict:
        """Return the settings of a host."""
        document = super().settings(host)
        document['bind_ip'] = self.ips[host.name]
        document['log'] = {'form': 'json'}
        document['node']['drain_s'] = self.conditions.stop_s
        document['headers'] = {
            'limit': stated_module.LIMIT,
            'leaving': stated_module.LEAVING,
        }
        document['control'] |= {
            'changes_per_s': CHANGES_S,
            'reads_per_s': CHANGES_S,
        }
        return document

    async def open_ways(self, host: fleets.Host) -> None:
        """Open the ways to a host."""
        addresses = {host.peer: True, host.listen: False, host.gateway: False}
        targets = {
            address: '%s:%s'
            % (self.ips[host.name], address.rpartition(':')[2])
            for address in addresses
        }
        rate = self.conditions.mbit_per_s * BYTES
        self.ways[host.name] = self._ways(host.name, targets, rate)
        for way in self.ways[host.name]:
            await way.open(datagrams=addresses[way.address])

    def _ways(
        self, name: str, targets: dict[str, str], rate: float = math.inf
    ) -> list:
        """Make the ways to a host or an upstream, here or in a carrier.

        :param targets: where each leads, by its address.
        :param rate: of the link that they share, bytes a second.
        """
        if not self.carriers:
            lanes = ways_module.open_lanes(rate)
            return [
                ways_module.Way(*pair, self.rng, lanes)
                for pair in targets.items()
            ]
        carrier = self.carriers[len(self.ways) % len(self.carriers)]
        return [
            carriers.Way(*pair, carrier, name, rate)
            for pair in targets.items()
        ]

    async def start_carriers(self) -> None:
        """Start the processes that open the ways of a large fleet."""
        count = len(self.hosts) // carriers.HOSTS
        self.carriers = [carriers.Carrier() for _carrier in range(count)]
        for carrier in self.carriers:
            await carrier.start()

    def faults_file(self, name: str) -> pathlib.Path:
        """Return the file with what is wrong with a host."""
        return self.folder / ('%s.faults' % name)

    async def start_host(self, name: str) -> None:
        """Start the process of a host."""
        host = self.hosts[name]
        if name not in self.ways:
            await self.open_ways(host)
        file = self.folder / ('%s.json' % name)
        file.write_text(json.dumps(self.settings(host), indent=1))
        words = str(self.faults_file(name)), '--settings', str(file)
        self.started[name] = clock.now()
        await self.start(name, 'soak.host', *words)

    async def restart(
        self, name: str, number: int, down_s: float, power: bool = False
    ) -> None:
        """Stop a process by a signal and start it again after a while.

        :param power: whether it loses what it had not synced.
        """
        async with self.turns[name]:
            if number == signal.SIGTERM:
                self.watch.stops(name)
                self.ways[name][0].fill(self.conditions.queue_s)
            self.signal(name, number)
            await self.wait(name, self.conditions.stop_s + KILLED_S)
            self.watch.ends(name)
            self.watch.stated.struck(name)
            if power:
                self._cut_power(name)
            await asyncio.sleep(down_s)
            await self.start_host(name)

    def _cut_power(self, name: str) -> None:
        data = self.folder / 'data' / name
        for folder in filter(pathlib.Path.is_dir, data.glob('*')):
            hosts.lose_unsynced(folder, self.rng.random())

    # Upstreams

    async def begin(self, service: str, id: str, node: str) -> None:
        """Start an upstream beside a node."""
        door, real = self.address(), self.address()
        self.ways[id] = [way] = self._ways(id, {door: real})
        await way.open()
        options = upstreams.Options(
            service,
            id,
            real,
            node,
            DOWNLOAD_SLOTS if service == DOWNLOADS else UPSTREAM_SLOTS,
            announce=self.hosts[node].local,
            service_ms=SERVICE_MS.get(service, DOWNLOAD_MS),
            grace_s=3.0,
            drain_s=8.0,
        )
        self.places[id] = node
        one = self._upstream(options, way)
        await one.start()
        self.running[id] = one

    def _upstream(self, options: upstreams.Options, way) -> Upstream:
        """Return an upstream that starts again when a request crashes it."""
        one = Upstream(options, way, self.watch)
        one.fell = self._fell
        return one

    def _fell(self, one: Upstream) -> None:
        """Let an upstream that a request crashed start again."""
        id = one.options.id
        self.watch.falls(id, one.options.host)
        if self.running.get(id) is one:
            ending = self.reborn(id, fatals.DOWN_S, True)
        else:
            # It is leaving, and nothing comes in its place.
            ending = one.crash()
        task = asyncio.ensure_future(ending)
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def reborn(
        self, id: str, down_s: float, refuses: bool = False
    ) -> None:
        """Let an upstream crash and start again under its id.

        :param refuses: whether its address refuses connections meanwhile.
        """
        former = self.running.pop(id)
        await former.crash()
        if refuses:
            await former.way.close()
        await asyncio.sleep(down_s)
        if refuses:
            await former.way.open()
        self.watch.begins(id)
        one = self._upstream(former.options, former.way)
        # Another event may end it from then on, not while it starts.
        await one.start()
        self.running[id] = one
        announced = await self.until_announced(one)
        # Another event may have ended this life meanwhile.
        if announced and self.running.get(id) is one:
            await self._say_late(one, former.announcer.announcement)

    async def _say_late(self, one: Upstream, said) -> None:
        """Let what the former life of an upstream said arrive late."""
        node = one.options.host
        process = self.processes.get(node)
        status = await entries.write(
            one.announcer.session,
            self.hosts[node].local,
            one.options.id,
            json.dumps(said._asdict()).encode(),
        )
        if self.processes.get(node) is process:
            # One that has started again knows nothing of either life.
            self.watch.late(one.options.id, status)

    async def _say_late_leaver(self, one: Upstream, said) -> None:
        """Let what a life said before its leaving arrive late.

        Whichever process of its node gets it, the leaving binds.  A node that
        starts while control is away may accept it until control is back.
        """
        await asyncio.sleep(one.options.grace_s / 2)
        began = clock.now()
        async with aiohttp.ClientSession() as session:
            while True:
                state = await entries.announce(
                    session,
                    self.hosts[one.options.host].local,
                    one.options.id,
                    said,
                )
                waits_until = began + LATE_LEAVER_S
                if state == interfaces.UP:
                    waits_until = self._control_back_at() + RECALLED_S
                elif state is not None:
                    break
                if clock.now() > waits_until:
                    break
                await asyncio.sleep(fleets.POLL_S)
        self.watch.late_leaver(one.options.id, state or '')

    def _control_back_at(self) -> float:
        """Return the time since which most control hosts run."""
        names = [host.name for host in self.controls()]
        starts = sorted(
            self.started[name] for name in names if name in self.processes
        )
        needed = len(names) // 2 + 1
        return clock.now() if len(starts) < needed else starts[needed - 1]

    async def until_announced(self, one: Upstream) -> bool:
        """Wait until a node took an upstream; tell whether it did in time."""
        ends = clock.now() + ANNOUNCED_S
        while not one.announcer.accepted and clock.now() < ends:
            await asyncio.sleep(fleets.POLL_S)
        return one.announcer.accepted > 0

    async def end(self, id: str, graceful: bool) -> None:
        """Let an upstream go, with or without a word."""
        one = self.running.pop(id)
        if not graceful:
            await one.crash()
        else:
            said, late = one.announcer.announcement, None
            if await one.announcer.drain():
                self.watch.leaves(id)
                late = asyncio.ensure_future(self._say_late_leaver(one, said))
            await one.leave()
            if late is not None:
                await late
        for way in self.ways.pop(id):
            await way.close()


class Stage(stages.Stage):
    """Sets up a fleet of a number of nodes.

    :param fleet: an empty fleet.
    :param controls: number of control hosts.
    :param nodes: number of nodes.
    :param upstreams: of each service.
    """

    def __init__(
        self, fleet: Fleet, controls: int, nodes: int, upstreams: int
    ) -> None:
        services = [*SERVICE_MS, *([DOWNLOADS] * fleet.conditions.rolls)]
        crews = [stages.Crew(service, upstreams) for service in services]
        super().__init__(fleet, crews)
        self.controls = controls
        self.nodes = nodes

    async def start(self) -> None:
        """Start every process and put the manifest in force."""
        fleet = self.fleet
        fleet.region, place = next(iter(self.document['regions'].items()))
        centres = place['data_centres']
        for number in range(self.controls):
            centre = centres[number % len(centres)]
            fleet.add_host('control-%d' % (number + 1), centre, fleets.CONTROL)
        for number in range(self.nodes):
            centre = centres[number % len(centres)]
            fleet.add_host('node-%d' % (number + 1), centre, fleets.NODE)
        await fleet.start_carriers()
        for host in fleet.hosts.values():
            await fleet.open_ways(host)
        for name in fleet.hosts:
            await fleet.start_host(name)
        await self.start_upstreams()
        await fleet.until(self.has_control, 'the admin API', READY_S)
        await fleet.until(self.first, 'the first version', READY_S)
        await fleet.until(self.ready, 'all nodes ready', READY_S)

    async def start_upstreams(self) -> None:
        """Start the upstreams, spread over the nodes."""
        nodes = [host.name for host in self.fleet.nodes()]
        place = 0
        for crew in self.crews:
            for number in range(1, crew.count + 1):
                id = '%s-%d' % (crew.service, number)
                node = nodes[place % len(nodes)]
                await self.fleet.begin(crew.service, id, node)
                place += 1


async def explain(fleet: Fleet, id: str) -> str:
    """Return the story of a request from the logs of all processes."""
    logs = [str(fleet.log(name)) for name in fleet.hosts]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *('-m', 'carawaystair.ui.main', 'explain', id, *logs),
        cwd=fleets.ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    out, _errors = await process.communicate()
    return out.decode()


def marker_headers(marker: str, left_ms: int) -> dict[str, str]:
    """Return the headers of a request.

    Its marker is its id, too, so that the logs tell of it by that name.
    """
    return {
        content.MARKER: marker,
        'Caraway-Request-Id': marker,
        'Caraway-Deadline-Ms': str(left_ms),
    }


def read_version(text: str) -> tuple[int, ...]:
    """Return a version as it is ordered."""
    return tuple(int(part) for part in text.split('.')) if text else ()


def now() -> float:
    """Return the time on the loop's clock."""
    return clock.now()
