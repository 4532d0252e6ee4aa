"""A model of nodes, upstreams and callers in virtual time.

The code that decides is the product's own; upstreams, network and callers
are models.  Callers are an open loop: they don't slow down when answers do.
"""

import asyncio
import collections
import itertools
import random
import typing

from carawaystair.admission import controller
from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import manifest
from carawaystair import routing
from carawaystair import rows
from carawaystair import timeline
from test import fakes

SERVICE = 'portal'
GOOD = 'good'
SHED = 'shed'
LATE = 'late'
# Second tries after a shed, as a share of first ones.
RETRY_SHARE = 0.1
# There and back, when an upstream sheds at once.
SHED_S = 0.002


class Kind(typing.NamedTuple):
    """A kind of request.

    :param mean_s: mean time at an upstream.
    :param patience_s: time until its deadline.
    :param bulk: whether it is a long transfer.
    :param spread: draws a factor on the mean; exponential by default.
    """

    mean_s: float
    patience_s: float = 5.0
    bulk: bool = False
    spread: typing.Callable[[random.Random], float] = lambda rng: (
        rng.expovariate(1)
    )


class Stream(typing.NamedTuple):
    """An open loop of requests.

    :param customer: whose they are.
    :param node: index of the node that they reach.
    :param rate: requests a second.
    :param kind: their kind.
    :param begin_s: when it begins.
    :param end_s: when it ends.
    """

    customer: str
    node: int
    rate: float
    kind: Kind
    begin_s: float = 0.0
    end_s: float = 1e9


class Sample(typing.NamedTuple):
    """What came of one request.

    :param customer: whose it was.
    :param kind: its kind.
    :param begun: when it arrived.
    :param latency_s: until its final answer.
    :param outcome: ``good``, ``shed``, ``late`` or the name of a code.
    :param held_s: slot time that it used.
    """

    customer: str
    kind: Kind
    begun: float
    latency_s: float
    outcome: str
    held_s: float


class Server:
    """An upstream with slots and a short queue; it sheds beyond.

    :param slots: requests that it truly works on at once.
    :param queue: requests that it lets wait, where it does not shed.
    """

    def __init__(self, slots: int, queue: int = 0) -> None:
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.sheds = 0

    async def serve(self, seconds: float) -> bool:
        """Work on one request; False when it was shed."""
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                self.sheds += 1
                return False
            await self._wait()
        else:
            self.running += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self._leave()
        return True

    async def _wait(self) -> None:
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn.done() and not turn.cancelled():
                self._leave()
            raise

    def _leave(self) -> None:
        """Hand the slot on, or free it."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


class Health:
    """All upstreams are well."""

    def ejected(self, _service: str) -> frozenset[str]:
        """Return none."""
        return frozenset()

    def weight(self, _upstream: str) -> float:
        """Return full weight."""
        return 1.0


class Plan(typing.NamedTuple):
    """What a run is made of.

    :param nodes: how many nodes.
    :param servers: how many upstreams.
    :param announced: slots that each announces.
    :param true: slots that each truly has; None for as announced.
    :param server_queue: requests that an upstream lets wait.
    :param customers: weights by customer.
    :param queue: requests that may wait at one node.
    :param warm_s: samples of requests that came earlier are dropped.
    :param end_s: when arrivals end.
    """

    nodes: int = 1
    servers: int = 1
    announced: int = 5
    true: int | None = None
    server_queue: int = 0
    customers: dict[str, int] = {'dominant': 1, 'small': 1}
    queue: int = 256
    warm_s: float = 5.0
    end_s: float = 65.0


class Fleet:
    """Nodes and upstreams of one service.

    :param plan: what it is made of.
    :param seed: of all randomness.
    :param make: makes the admission part of a node:
        ``make(fleet, number)``.
    """

    def __init__(
        self, plan: Plan, seed: int, make: typing.Callable | None = None
    ) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.network = fakes.Network(seed)
        self.routing = _routing(plan)
        true = plan.announced if plan.true is None else plan.true
        self.servers = [
            Server(true, plan.server_queue) for _number in range(plan.servers)
        ]
        self.members = [fakes.member(number) for number in range(plan.nodes)]
        make = make or admission
        self.nodes = [make(self, number) for number in range(plan.nodes)]
        self.busy = [[0] * plan.servers for _number in range(plan.nodes)]
        self.samples: list[Sample] = []
        self.tries = 0
        self.retries = 0
        self.tasks: set[asyncio.Task] = set()

    def directory(self) -> fakes.Directory:
        """Return a directory of all upstreams."""
        return fakes.Directory(
            *(
                interfaces.Upstream(
                    'up-%d' % number,
                    SERVICE,
                    '127.0.0.1:1',
                    'host-%03d' % number,
                    'dc-%d' % (number % 4),
                    self.plan.announced,
                )
                for number in range(self.plan.servers)
            )
        )

    def member_view(self, number: int) -> fakes.Members:
        """Return membership as one node sees it."""
        others = [m for m in self.members if m is not self.members[number]]
        return fakes.Members(self.members[number], others)

    async def request(self, customer: str, node: int, kind: Kind) -> None:
        """Run one request as the request path would."""
        begun = clock.now()
        deadline = begun + kind.patience_s
        admission = self.nodes[node]
        permit = admission.try_admit(SERVICE, customer, deadline, kind.bulk)
        if permit is None:
            result = await admission.admit(
                SERVICE, customer, deadline, kind.bulk
            )
            if result.is_error():
                self._note(customer, kind, begun, result.error.code.name, 0.0)
                return
            permit = result.ok
        await self._attempt(permit, customer, node, kind, begun)

    async def _attempt(self, permit, customer, node, kind, begun) -> None:
        started = clock.now()
        seconds = kind.mean_s * kind.spread(self.rng)
        deadline = begun + kind.patience_s
        first = self._choose(self.busy[node], None)
        outcome = await self._serve(node, first, seconds, deadline)
        self.tries += 1
        # A shed request was not run: a second try is safe, within a budget.
        if outcome is SHED and self.retries < RETRY_SHARE * self.tries:
            self.retries += 1
            other = self._choose(self.busy[node], first)
            outcome = await self._serve(node, other, seconds, deadline)
        held = clock.now() - started
        word = {GOOD: interfaces.GOOD, SHED: interfaces.SHED}
        permit.release(word.get(outcome, interfaces.TIMEOUT), held)
        self._note(customer, kind, begun, outcome, held)

    async def _serve(self, node, number, seconds, deadline) -> str:
        """Make one attempt at one upstream."""
        busy = self.busy[node]
        busy[number] += 1
        try:
            serving = self.servers[number].serve(seconds)
            left = deadline - clock.now()
            served = await asyncio.wait_for(serving, left)
        except asyncio.TimeoutError:
            return LATE
        finally:
            busy[number] -= 1
        if not served:
            await asyncio.sleep(SHED_S)
        return GOOD if served else SHED

    def _choose(self, busy: list[int], avoid: int | None) -> int:
        """Choose an upstream by this node's own requests.

        Two random choices; when both have all announced slots taken by this
        node alone, the one with the fewest.
        """
        choices = [n for n in range(len(busy)) if n != avoid] or [0]
        two = [self.rng.choice(choices) for _number in range(2)]
        number = min(two, key=busy.__getitem__)
        if busy[number] < self.plan.announced:
            return number
        return min(choices, key=busy.__getitem__)

    def _note(self, customer, kind, begun, outcome, held) -> None:
        if begun >= self.plan.warm_s:
            latency = clock.now() - begun
            self.samples.append(
                Sample(customer, kind, begun, latency, outcome, held)
            )

    async def load(self, stream: Stream, rng: random.Random) -> None:
        """Send the requests of one stream."""
        end = min(stream.end_s, self.plan.end_s)
        await asyncio.sleep(stream.begin_s)
        while True:
            await asyncio.sleep(rng.expovariate(stream.rate))
            if clock.now() >= end:
                return
            request = self.request(stream.customer, stream.node, stream.kind)
            task = asyncio.create_task(request)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def play(self, streams: typing.Sequence[Stream]) -> list[Sample]:
        """Run all streams to their end."""
        for node in self.nodes:
            await node.start()
        loads = (
            self.load(stream, random.Random(self.rng.random()))
            for stream in streams
        )
        await asyncio.gather(*loads)
        await asyncio.gather(*list(self.tasks))
        for node in self.nodes:
            await node.stop()
        return self.samples


def _routing(plan: Plan) -> routing.Routing:
    document = manifest.Manifest(
        1,
        'bench',
        {'is-south': manifest.Place(('dc-0', 'dc-1', 'dc-2', 'dc-3'))},
        {SERVICE: manifest.Service(queue=plan.queue)},
        (),
        {
            name: manifest.Customer(weight)
            for name, weight in plan.customers.items()
        },
    )
    return routing.Routing(rows.Version(1, 1), rows.from_manifest(document))


def admission(fleet: Fleet, number: int) -> controller.Admission:
    """Make the product's admission part of one node."""
    return controller.Admission(
        fleet.member_view(number),
        fleet.directory(),
        Health(),
        lambda: fleet.routing,
        timeline.Timeline(fleet.members[number].host),
    )


def play(
    plan: Plan,
    streams: typing.Sequence[Stream],
    seed: int,
    make: typing.Callable | None = None,
) -> list[Sample]:
    """Run one plan in virtual time and return its samples."""

    async def _main() -> list[Sample]:
        return await Fleet(plan, seed, make).play(streams)

    return fakes.run(_main())


def latencies(
    samples: typing.Iterable[Sample], customer: str, bulk: bool = False
) -> list[float]:
    """Return the latencies of a customer, a failure as its patience.

    A request that failed did not give its caller an answer in time,
    whatever the refusal took; leaving it out would flatter the policy.
    """
    return [
        sample.latency_s
        if sample.outcome == GOOD
        else max(sample.latency_s, sample.kind.patience_s)
        for sample in samples
        if sample.customer == customer and sample.kind.bulk is bulk
    ]


def goodput(samples: typing.Iterable[Sample], plan: Plan) -> float:
    """Return good answers a second."""
    good = sum(sample.outcome == GOOD for sample in samples)
    return good / (plan.end_s - plan.warm_s)


def outcomes(samples: typing.Iterable[Sample]) -> collections.Counter:
    """Count outcomes by customer."""
    return collections.Counter((s.customer, s.outcome) for s in samples)


def refusals(samples: typing.Iterable[Sample]) -> list[float]:
    """Return how long refused callers waited for their final answer."""
    names = {code.name for code in codes.TABLE.values()}
    return [s.latency_s for s in samples if s.outcome in names]


def spread(streams: Stream, nodes: typing.Iterable[int]) -> list[Stream]:
    """Spread a stream evenly over several nodes."""
    nodes = list(nodes)
    share = streams.rate / len(nodes)
    return [
        streams._replace(node=node, rate=share)
        for node in itertools.chain(nodes)
    ]
