"""A load client with open-loop arrivals that checks every answer.

Arrivals do not wait for answers, and latency counts from the intended start,
so that a stall shows in all the requests that it would have held up
(coordinated omission; Tene, wrk2).  The number of outstanding requests is
bounded: what would exceed it is counted as skipped, never queued.
"""

import asyncio
import collections
import itertools
import json
import random
import typing

import aiohttp
from hdrh import histogram

from carawaystair import clock
from carawaystair import codes
from standin import content
from standin import process

GET = 'GET'
POST = 'POST'

POISSON = 'poisson'
FIXED = 'fixed'

# What a caller found when it compared an answer with its request.
WHOLE = 'whole'  # its own answer, to the last byte
SHORT = 'short'  # shown as whole, yet a part is missing
MIXED = 'mixed'  # bytes that belong to something else
BROKEN = 'broken'  # the connection broke visibly in the middle
ERROR = 'error'  # an answer that is no success
TIMEOUT = 'timeout'  # no answer in time
REFUSED = 'refused'  # no connection to the node

HIGHEST_US = 120_000_000
DIGITS = 3
SKIPPED_MARK = 'skipped'


class Work(typing.NamedTuple):
    """One kind of request of the mix.

    :param path: path of the request; ``/bundles/NAME`` in it asks for a
        bundle.
    :param method: the HTTP method; a POST carries an idempotency key.
    :param share: of all requests, relative to the other kinds.
    :param size: bytes of the answer.
    :param ms: service time asked for, None for the upstream's own.
    :param deadline_ms: budget that the request brings, 0 for none.
    :param host: Host header, empty for the node's address.
    """

    path: str
    method: str = GET
    share: float = 1.0
    size: int = 512
    ms: float | None = None
    deadline_ms: int = 2000
    host: str = ''


class Customer(typing.NamedTuple):
    """A customer with its share of the requests."""

    name: str
    share: float = 1.0


class Plan(typing.NamedTuple):
    """A run of the load client.

    :param targets: ``ip:port`` of the nodes, asked at random.
    :param per_s: requests a second.
    :param seconds: how long requests are sent.
    :param work: the mix.
    :param customers: who asks.
    :param arrivals: :data:`POISSON` or :data:`FIXED`.
    :param outstanding: requests under way at most.
    :param timeout_s: how long a caller waits.
    :param resend_share: POSTs sent twice with the same key, the second time
        at another node, as an impatient caller does.
    :param resend_s: the second comes within so many seconds.
    :param seed: of all randomness.
    :param name: begins every marker, so that two clients differ.
    """

    targets: tuple[str, ...]
    per_s: float
    seconds: float
    work: tuple[Work, ...]
    customers: tuple[Customer, ...] = (Customer('other'),)
    arrivals: str = POISSON
    outstanding: int = 256
    timeout_s: float = 10.0
    resend_share: float = 0.0
    resend_s: float = 0.05
    seed: int = 1
    name: str = 'load'


class Request(typing.NamedTuple):
    """One request, before it is sent."""

    marker: str
    target: str
    customer: str
    work: Work
    intended: float


class Answer(typing.NamedTuple):
    """What came of one request.

    :param marker: of the request; a resend has the same.
    :param method: of the request.
    :param path: of the request.
    :param target: the node asked.
    :param customer: who asked.
    :param intended_ms: wall clock at the intended start.
    :param latency_s: from the intended start to the end.
    :param verdict: :data:`WHOLE` and so on.
    :param status: HTTP status, 0 where none came.
    :param outcome: the ``Caraway-Outcome`` header, or empty.
    :param code: the ``Caraway-Code`` header, or empty.
    :param request: the ``Caraway-Request-Id`` header, or empty.
    :param upstream: the stand-in that answered, or empty.
    """

    marker: str
    method: str
    path: str
    target: str
    customer: str
    intended_ms: int
    latency_s: float
    verdict: str
    status: int = 0
    outcome: str = ''
    code: str = ''
    request: str = ''
    upstream: str = ''


class Latency(typing.NamedTuple):
    """Percentiles of a latency, in ms."""

    count: int
    p50: float
    p99: float
    p999: float
    greatest: float


class Load:
    """One run of the load client; read ``answers`` after :meth:`run`."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.answers: list[Answer] = []
        self.skipped = 0
        self.tasks: set[asyncio.Task] = set()
        self.numbers = itertools.count(1)
        self.wall_offset_ms = 0.0

    async def run(self) -> list[Answer]:
        """Send the plan's requests and wait for every answer."""
        self.wall_offset_ms = clock.wall_ms() - clock.now() * 1000
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=self.plan.timeout_s),
            auto_decompress=False,
        )
        async with session:
            begin = clock.now()
            for offset in self.offsets():
                await asyncio.sleep(begin + offset - clock.now())
                self.send(session, self.draw(begin + offset))
            if self.tasks:
                await asyncio.wait(self.tasks)
        return self.answers

    def offsets(self) -> typing.Iterator[float]:
        """Yield the intended starts, in seconds from the beginning."""
        offset = 0.0
        while offset < self.plan.seconds:
            yield offset
            if self.plan.arrivals == POISSON:
                offset += self.random.expovariate(self.plan.per_s)
            else:
                offset += 1 / self.plan.per_s

    def draw(self, intended: float) -> Request:
        """Draw one request."""
        work = pick(self.random, self.plan.work)
        customer = pick(self.random, self.plan.customers).name
        marker = '%s-%d' % (self.plan.name, next(self.numbers))
        target = self.random.choice(self.plan.targets)
        return Request(marker, target, customer, work, intended)

    def send(self, session: aiohttp.ClientSession, request: Request) -> None:
        """Start a request, and now and then its resend."""
        if len(self.tasks) >= self.plan.outstanding:
            self.skipped += 1
            return
        self.begin(self.ask(session, request))
        again = self.random.random() < self.plan.resend_share
        if again and request.work.method == POST:
            late_s = self.random.uniform(0, self.plan.resend_s)
            target = self.random.choice(self.plan.targets)
            second = request._replace(
                target=target, intended=request.intended + late_s
            )
            self.begin(self.ask(session, second))

    def begin(self, coroutine: typing.Coroutine) -> None:
        """Run a request beside the others."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask(
        self, session: aiohttp.ClientSession, request: Request
    ) -> None:
        """Send a request, check its answer and take note."""
        await asyncio.sleep(max(request.intended - clock.now(), 0))
        answer = Answer(
            request.marker,
            request.work.method,
            request.work.path,
            request.target,
            request.customer,
            int(self.wall_offset_ms + request.intended * 1000),
            0.0,
            REFUSED,
        )
        try:
            async with session.request(
                request.work.method,
                'http://' + request.target + request.work.path,
                params=parameters(request),
                headers=headers(request),
                data=body(request),
                allow_redirects=False,
            ) as response:
                answer = with_head(answer, response)
                data = await response.read()
            verdict = judge(request, response, data)
            answer = answer._replace(verdict=verdict)
        except asyncio.TimeoutError:
            answer = answer._replace(verdict=TIMEOUT)
        except aiohttp.ClientConnectorError:
            answer = answer._replace(verdict=REFUSED)
        except (aiohttp.ClientError, ConnectionError):
            answer = answer._replace(verdict=BROKEN)
        latency_s = clock.now() - request.intended
        self.answers.append(answer._replace(latency_s=latency_s))


def pick(rng: random.Random, choices: typing.Sequence):
    """Choose by the ``share`` of each choice."""
    shares = [choice.share for choice in choices]
    return rng.choices(choices, shares)[0]


def parameters(request: Request) -> dict[str, str]:
    """Return the query of a request."""
    query = {'marker': request.marker, 'bytes': str(request.work.size)}
    if request.work.ms is not None:
        query['ms'] = str(request.work.ms)
    return query


def headers(request: Request) -> dict[str, str]:
    """Return the headers of a request."""
    found = {'Caraway-Customer': request.customer}
    if request.work.deadline_ms:
        found['Caraway-Deadline-Ms'] = str(request.work.deadline_ms)
    if request.work.method == POST:
        found['Idempotency-Key'] = request.marker
    if request.work.host:
        found['Host'] = request.work.host
    return found


def body(request: Request) -> bytes | None:
    """Return the body of a request."""
    if request.work.method != POST:
        return None
    return ('marker=%s' % request.marker).encode()


def with_head(answer: Answer, response: aiohttp.ClientResponse) -> Answer:
    """Take note of the head of an answer."""
    return answer._replace(
        status=response.status,
        outcome=response.headers.get('Caraway-Outcome', ''),
        code=response.headers.get('Caraway-Code', ''),
        request=response.headers.get('Caraway-Request-Id', ''),
        upstream=response.headers.get('Standin-Upstream', ''),
    )


def judge(
    request: Request, response: aiohttp.ClientResponse, data: bytes
) -> str:
    """Compare an answer with its own request."""
    if response.status != 200:
        return ERROR
    _path, _slash, bundle = request.work.path.partition('/bundles/')
    size = request.work.size
    if bundle:
        expected = content.bundle(bundle, size)
    else:
        expected = content.make(request.marker, size)
    if data == expected:
        return WHOLE
    return SHORT if expected.startswith(data) else MIXED


# What a run showed


def latency(answers: typing.Iterable[Answer]) -> Latency:
    """Return percentiles over answers."""
    values = histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
    for answer in answers:
        values.record_value(max(int(answer.latency_s * 1e6), 1))
    if not values.get_total_count():
        return Latency(0, 0.0, 0.0, 0.0, 0.0)
    shares = (50, 99, 99.9, 100)
    found = [values.get_value_at_percentile(s) / 1000 for s in shares]
    return Latency(values.get_total_count(), *found)


def tally(answers: typing.Iterable[Answer], field: str) -> dict[str, int]:
    """Count answers by a field, such as ``verdict`` or ``code``."""
    counts = collections.Counter(getattr(item, field) for item in answers)
    return {str(name): count for name, count in sorted(counts.items())}


def told_not_run(answers: typing.Iterable[Answer]) -> set[str]:
    """Return markers of which every answer said that it was not run."""
    outcomes = collections.defaultdict(set)
    for answer in answers:
        outcomes[answer.marker].add(answer.outcome)
    return {
        marker for marker, told in outcomes.items() if told == {codes.NOT_RUN}
    }


class Options(typing.NamedTuple):
    """Command line of the load client.

    :param targets: ``ip:port`` of nodes, with commas.
    :param path: path asked for.
    :param per_s: requests a second.
    :param seconds: for how long.
    :param post_share: part of the requests that are keyed POSTs.
    :param size: bytes of an answer.
    :param seed: of all randomness.
    """

    targets: str
    path: str = '/'
    per_s: float = 50.0
    seconds: float = 10.0
    post_share: float = 0.0
    size: int = 512
    seed: int = 1


async def run_process(options: Options) -> None:
    """Run once and print what came of it as JSON."""
    work = (
        Work(options.path, GET, 1 - options.post_share, options.size),
        Work(options.path, POST, options.post_share, options.size),
    )
    plan = Plan(
        tuple(options.targets.split(',')),
        options.per_s,
        options.seconds,
        work,
        seed=options.seed,
    )
    load = Load(plan)
    answers = await load.run()
    summary = {
        'latency_ms': latency(answers)._asdict(),
        SKIPPED_MARK: load.skipped,
        **{
            field: tally(answers, field)
            for field in ('verdict', 'status', 'outcome', 'code')
        },
    }
    print(json.dumps(summary, indent=1))


if __name__ == '__main__':
    text = 'Send open-loop load to nodes and check every answer.'
    asyncio.run(run_process(process.read_options(Options, text)))
