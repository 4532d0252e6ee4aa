"""A small model of upstreams and callers, for experiments on detection.

Real ``outlier.service.OutlierDetection`` parts run in virtual time over the
network of ``test.fakes``; upstreams, callers and the request path are
modelled here as simply as they can be: servers with slots and a queue, Poisson
arrivals at every node, power of two choices on requests in flight, no retries.
"""

import asyncio
import collections
import itertools
import math
import random
import typing

from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.outlier import service as outliers
from carawaystair import timeline
from carawaystairplug import detector_consecutive
from carawaystairplug import detector_sequential
from carawaystairplug import detector_siblings
from test import fakes

SERVICE = 'portal'
FACTORIES = {
    'siblings': detector_siblings.make,
    'sequential': detector_sequential.make,
    'consecutive': detector_consecutive.make,
}
# Budget of an attempt, seconds.  A long one would only make the baselines
# look worse, which learn of a hang at the timeout.
TIMEOUT_S = 2.0
# The request path gives up on an old connection that stays silent so long
# and races a new one.
SILENT_S = 0.4
LINK_S = 0.0015
# A connection is known to work when it answered within this time.
FRESH_S = 1.0
ERROR_S = 0.003
# Copies share the budget of retries: extra attempts earned by a first one,
# the most that is kept, and what is left for retries.
EXTRA = 0.1
RESERVE = 10.0
KEPT = 3.0


class Site(typing.NamedTuple):
    """The size of a deployment.

    :param name: shown in figures.
    :param servers: upstreams of the service.
    :param slots: of each.
    :param nodes: processes, one on each upstream host of all services.
    :param data_centres: that they go round.
    :param rate: requests a second for each upstream.
    """

    name: str
    servers: int
    slots: int
    nodes: int
    data_centres: int
    rate: float


REYKJAVIK = Site('reykjavik', 8, 5, 26, 4, 5.0)
SETTLEMENT = Site('reykjavik-settlement', 10, 5, 26, 4, 5.0)
AMMAN = Site('amman', 8, 4, 24, 4, 5.0)
BUSY = Site('reykjavik-busy', 8, 5, 26, 4, 25.0)
LARGE = Site('large', 60, 5, 300, 5, 6.3)


class Route(typing.NamedTuple):
    """Requests of one kind.

    :param name: key of the route.
    :param share: of all requests.
    :param median_s: of the time a server works on one.
    :param sigma: of its lognormal distribution.
    :param idempotent: whether it may be copied.
    """

    name: str
    share: float
    median_s: float
    sigma: float
    idempotent: bool


ROUTES = (
    Route('route//status', 0.6, 0.015, 0.6, True),
    Route('route//search', 0.25, 0.035, 0.7, True),
    Route('route//claims', 0.15, 0.050, 0.6, False),
)
CUSTOMERS = ('big', *('firm-%d' % number for number in range(20)))
BIG_SHARE = 0.6


class Policy(typing.NamedTuple):
    """What is compared.

    :param name: shown in figures.
    :param detection: as in the manifest.
    :param detector: as in the manifest, or empty for no detection at all.
    :param copies: whether the request path sends copies as trials.
    """

    name: str
    detection: str = manifest.CONSERVATIVE
    detector: str = 'siblings'
    copies: bool = True


class Request(typing.NamedTuple):
    """One request at a server.

    :param route: its route.
    :param customer: its customer.
    :param node: number of the node that sent it.
    :param done: called with the outcome.
    """

    route: Route
    customer: str
    node: int
    done: typing.Callable[[str], None]


class Server:
    """One upstream.

    :param number: its number.
    :param slots: requests that it works on at once.
    :param rng: source of randomness.
    """

    def __init__(self, number: int, slots: int, rng: random.Random) -> None:
        self.number = number
        self.name = 'u%02d' % number
        self.slots = slots
        self.rng = rng
        self.busy = 0
        self.queue: collections.deque[Request] = collections.deque()
        # Faults, see ``detection_faults``.
        self.hung = False
        self.errors = 0.0
        self.deaf_to: frozenset[int] = frozenset()
        self.factor: typing.Callable[[Request], float] = usual
        self.stuck: list[Request] = []

    def offer(self, request: Request) -> None:
        """Take a request."""
        if request.node in self.deaf_to:
            return
        if self.errors and self.rng.random() < self.errors:
            loop = asyncio.get_running_loop()
            loop.call_later(ERROR_S, request.done, interfaces.ERROR)
            return
        if self.busy >= self.slots:
            self.queue.append(request)
            return
        self._start(request)

    def release(self) -> None:
        """Go on with what was stuck in a hang."""
        stuck, self.stuck = self.stuck, []
        for request in stuck:
            self._work(request)

    def _start(self, request: Request) -> None:
        self.busy += 1
        if self.hung:
            self.stuck.append(request)
        else:
            self._work(request)

    def _work(self, request: Request) -> None:
        route = request.route
        took = self.rng.lognormvariate(math.log(route.median_s), route.sigma)
        loop = asyncio.get_running_loop()
        loop.call_later(took * self.factor(request), self._end, request)

    def _end(self, request: Request) -> None:
        if self.hung:
            self.stuck.append(request)
            return
        self.busy -= 1
        request.done(interfaces.GOOD)
        if self.queue:
            self._start(self.queue.popleft())


def usual(_request: Request) -> float:
    """Return the factor of an upstream that is well."""
    return 1.0


class Sent(typing.NamedTuple):
    """One attempt, for the figures.

    :param time: when it was sent.
    :param server: number of the upstream.
    :param node: number of the node.
    :param customer: its customer.
    :param first: False for copies.
    """

    time: float
    server: int
    node: int
    customer: str
    first: bool


class Frontend:
    """One node: its detection and a plain request path.

    :param number: of the node.
    :param world: everything.
    """

    def __init__(self, number: int, world: 'World') -> None:
        self.number = number
        self.world = world
        self.rng = random.Random(world.rng.random())
        self.flying: collections.Counter = collections.Counter()
        self.answered: dict[int, float] = {}
        self.paused_until = 0.0
        self.tokens = RESERVE
        self.timeline = timeline.Timeline('host-%03d' % number)
        self.outlier = world.outlier(number, self)

    async def sleep(self, seconds: float) -> None:
        """Sleep, and not wake up while this process stands still."""
        await asyncio.sleep(seconds)
        late = self.paused_until - asyncio.get_running_loop().time()
        if late > 0.0:
            await asyncio.sleep(late)

    async def arrive(self) -> None:
        """Send requests for ever."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.world.node_rate()))
            self.request()

    def request(self) -> None:
        """Take one request of a caller."""
        route = self.rng.choices(ROUTES, [route.share for route in ROUTES])[0]
        customer = CUSTOMERS[0]
        if self.rng.random() >= BIG_SHARE:
            customer = self.rng.choice(CUSTOMERS[1:])
        server = self._choose(customer)
        if server is None:
            self.world.refused += 1
            return
        self._attempt(server, route, customer, True)
        self.tokens = min(self.tokens + EXTRA, RESERVE)
        if not (route.idempotent and self.world.policy.copies):
            return
        if self.tokens < 1.0 + KEPT:
            return
        wanted = self.outlier.trial(SERVICE)
        if wanted is not None and wanted != server.name:
            self.tokens -= 1.0
            copy = self.world.by_name[wanted]
            self._attempt(copy, route, customer, False)

    def _choose(self, customer: str) -> Server | None:
        out = self.outlier.ejected(SERVICE)
        able = [
            server
            for server in self.world.in_service
            if server.name not in out
        ]
        if not able:
            return None
        pair = self.rng.sample(able, min(2, len(able)))
        return min(pair, key=lambda one: self._load(one, customer))

    def _load(self, server: Server, customer: str) -> float:
        weight = self.outlier.weight(server.name, customer)
        return (self.flying[server.number] + 1) / max(weight, 1e-6)

    def _attempt(self, server, route, customer, first) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.world.sent.append(
            Sent(started, server.number, self.number, customer, first)
        )
        used = self.answered.get(server.number, -FRESH_S)
        fresh = not first or started - used < FRESH_S
        silent = not fresh and self.world.silent(server, used)
        args = (SERVICE, server.name, customer, started, route.name, fresh)
        self.outlier.begin(*args)
        self.flying[server.number] += 1
        state = Flight(self, server, route, customer, started)
        if silent:
            loop.call_later(SILENT_S, state.race)
        else:
            request = Request(route, customer, self.number, state.answered)
            loop.call_later(LINK_S, server.offer, request)
        loop.call_later(TIMEOUT_S, state.end, interfaces.TIMEOUT)


class Flight:
    """One attempt in flight."""

    def __init__(self, frontend, server, route, customer, started) -> None:
        self.frontend = frontend
        self.server = server
        self.route = route
        self.customer = customer
        self.started = started
        self.over = False

    def race(self) -> None:
        """Give the silent connection up and send again on a new one."""
        loop = asyncio.get_running_loop()
        self.end(interfaces.SILENT)
        self.frontend.answered[self.server.number] = loop.time()
        self.frontend._attempt(self.server, self.route, self.customer, False)

    def answered(self, outcome: str) -> None:
        """Take the answer, which travels a while."""
        loop = asyncio.get_running_loop()
        loop.call_later(LINK_S, self.end, outcome)

    def end(self, outcome: str) -> None:
        """Record the end, when the node can run again."""
        if self.over:
            return
        loop = asyncio.get_running_loop()
        late = self.frontend.paused_until - loop.time()
        if late > 0.0:
            loop.call_later(late, self.end, outcome)
            return
        self.over = True
        now = loop.time()
        frontend, number = self.frontend, self.server.number
        frontend.flying[number] -= 1
        if outcome == interfaces.GOOD:
            frontend.answered[number] = now
        if outcome != interfaces.SILENT:
            frontend.world.latencies.append(now - self.started)
        frontend.outlier.record(
            interfaces.Attempt(
                SERVICE,
                self.server.name,
                self.customer,
                outcome,
                now - self.started,
                self.started,
                self.route.name,
            )
        )


class NoDetection:
    """Health and evidence of a fleet without outlier detection."""

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def ejected(self, service: str) -> frozenset[str]:
        """Return nothing."""
        return frozenset()

    def weight(self, upstream: str, customer: str = '') -> float:
        """Return the same for all."""
        return 1.0

    def trial(self, service: str) -> None:
        """Return nothing."""

    def begin(self, *_args) -> None:
        """Do nothing."""

    def record(self, attempt: interfaces.Attempt) -> None:
        """Do nothing."""


class Routing:
    """A routing with one service."""

    def __init__(self, config: manifest.Service) -> None:
        self.config = config

    def service(self, name: str) -> manifest.Service:
        """Return the service."""
        return self.config

    def drained(self, host: str, data_centre: str) -> bool:
        """Tell that nothing is drained."""
        return False


class World:
    """Upstreams, nodes and callers of one run.

    :param site: sizes.
    :param policy: what is compared.
    :param seed: of all randomness.
    """

    def __init__(self, site: Site, policy: Policy, seed: int) -> None:
        self.site = site
        self.policy = policy
        self.rng = random.Random(seed)
        self.network = fakes.Network(seed, delay_s=(0.0008, 0.002))
        self.rate_factor = 1.0
        self.silent_since = -math.inf
        self.silent_server = -1
        self.refused = 0
        # Restarts of upstreams so far; their incarnations.
        self.starts = 0
        self.sent: list[Sent] = []
        self.latencies: list[float] = []
        self.members = [
            fakes.member(number, site.data_centres)
            for number in range(site.nodes)
        ]
        self.servers = [
            Server(number, site.slots, random.Random(self.rng.random()))
            for number in range(site.servers)
        ]
        self.by_name = {server.name: server for server in self.servers}
        self.in_service = list(self.servers)
        self.directory = fakes.Directory(
            *(self.upstream(server) for server in self.servers)
        )
        self.routing = Routing(
            manifest.Service(
                detection=policy.detection, detector=policy.detector
            )
        )
        self.frontends = [
            Frontend(number, self) for number in range(site.nodes)
        ]
        self.tasks: list[asyncio.Task] = []

    def upstream(self, server: Server, **changes) -> interfaces.Upstream:
        """Return a server's announcement."""
        member = self.members[server.number % len(self.members)]
        return interfaces.Upstream(
            server.name,
            SERVICE,
            '127.0.0.1:%d' % (30_000 + server.number),
            member.host,
            member.data_centre,
            server.slots,
            **changes,
        )

    def node_rate(self) -> float:
        """Return requests a second at one node."""
        total = self.site.rate * self.site.servers * self.rate_factor
        return total / self.site.nodes

    def silent(self, server: Server, used: float) -> bool:
        """Tell whether a connection last used at ``used`` went silent."""
        return server.number == self.silent_server and (
            used < self.silent_since
        )

    def outlier(self, number: int, frontend: Frontend):
        """Return the detection of one node."""
        if not self.policy.detector:
            return NoDetection()
        me = self.members[number]
        transport = self.network.transport(me.gossip)
        others = [one for one in self.members if one.host != me.host]
        return outliers.OutlierDetection(
            members=fakes.Members(me, others),
            directory=self.directory,
            routing=lambda: self.routing,
            links=transport,
            datagrams=transport,
            timeline=frontend.timeline,
            factories=FACTORIES,
            rng=random.Random(self.rng.random()),
            sleep=frontend.sleep,
        )

    async def start(self) -> None:
        """Start nodes and callers."""
        for frontend in self.frontends:
            await frontend.outlier.start()
        self.tasks = [
            asyncio.ensure_future(frontend.arrive())
            for frontend in self.frontends
        ]

    async def stop(self) -> None:
        """Stop them."""
        for task in self.tasks:
            task.cancel()
        for frontend in self.frontends:
            await frontend.outlier.stop()

    def ejected(self) -> frozenset[str]:
        """Return the upstreams that any node ejects."""
        return frozenset(
            itertools.chain.from_iterable(
                frontend.outlier.ejected(SERVICE)
                for frontend in self.frontends
            )
        )

    def events(self, *kinds: str) -> list[timeline.Event]:
        """Return the events of some kinds from all nodes, in order."""
        rings = (frontend.timeline.ring for frontend in self.frontends)
        every = itertools.chain.from_iterable(rings)
        return sorted(
            (event for event in every if not kinds or event.kind in kinds),
            key=lambda event: (event.time, event.host),
        )
