"""Tests of pipelined requests, sent before earlier ones are answered.

They run concurrently, and are answered in the order of their arrival.
"""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from carawaystair import manifest
from carawaystair.request import http_server
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

ROUTES = (
    manifest.Route('/pay/', 'portal', idempotent=False, goal_ms=2000),
    manifest.Route('/read/', 'portal', idempotent=True, goal_ms=2000),
    manifest.Route(
        '/bulk/', 'portal', idempotent=True, kind=manifest.BULK, goal_ms=2000
    ),
)
MANY = 12


async def work(upstream, seen, writer) -> None:
    """Work for as many ms as the path says, and answer with the path."""
    path = seen.line.split()[1]
    parts = path.rpartition('/')[2].partition('-')
    await asyncio.sleep(int(parts[0]) / 1000)
    if parts[2] == 'break':
        writer.close()
    elif parts[2].startswith('long'):
        writer.write(fleets.good(b'x' * 300_000))
    else:
        writer.write(fleets.good(path.encode()))


def encode_requests(*paths: str, last: str = '') -> bytes:
    """Return the bytes of requests; those below ``/pay/`` are POSTs.

    :param last: a header line of the last one.
    """
    heads = [
        '%s %s HTTP/1.1\r\nHost: x\r\nCaraway-Deadline-Ms: 5000\r\n'
        % ('POST' if path.startswith('/pay/') else 'GET', path)
        for path in paths
    ]
    heads[-1] += last
    return ''.join(
        head
        + ('Content-Length: 0\r\n\r\n' if head.startswith('POST') else '\r\n')
        for head in heads
    ).encode()


async def answers(reader, count: int) -> list[setups.Answer]:
    """Read answers until the count is reached or the connection ends."""
    found = []
    try:
        while len(found) < count:
            line, headers = await setups.read_head(reader)
            body = await setups.read_body(reader, headers)
            found.append(setups.Answer(int(line.split()[1]), headers, body))
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return found


def ask(*paths: str, upstreams: int = 2):
    """Send requests at once on one connection.

    :return: the answers, the seconds that they took, and what was run.
    """

    async def scenario():
        scripts = [None] + [work] * upstreams
        async with fleets.running(*scripts, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', 8000, limit=2**21
            )
            began = loop.time()
            writer.write(encode_requests(*paths))
            found = await answers(reader, len(paths))
            took_s = loop.time() - began
            writer.close()
            await asyncio.sleep(3.0)
            return found, took_s, [seen.line for seen in fleet.runs]

    return pipes.run(scenario())


def test_pipelined_requests_run_concurrently():
    """Guards against pipelined requests that run one after another.

    When a node started each request only after it had answered the one before,
    the median latency was 984 ms at the caller and 486 ms at the node.
    """
    paths = ['/read/400', '/read/401', '/read/402', '/read/403']
    found, took_s, _runs = ask(*paths)
    assert [answer.status for answer in found] == [200] * 4
    assert [answer.body.decode() for answer in found] == paths
    assert took_s < 2 * 0.4


def test_answers_are_in_the_order_of_their_requests():
    paths = ['/read/500', '/read/1', '/read/200', '/read/2']
    found, _took_s, runs = ask(*paths)
    assert [answer.body.decode() for answer in found] == paths
    assert len(runs) == 4


def test_non_idempotent_waits_for_earlier_answers():
    """Guards against a second run of a request that may run only once.

    When an earlier answer closes the connection, the caller takes the request
    for not read and sends it again, so it must not have run.
    """
    paths = ['/read/100', '/pay/10', '/read/1']
    found, took_s, runs = ask(*paths)
    assert [answer.body.decode() for answer in found] == paths
    assert took_s >= 0.11
    assert [line for line in runs if 'pay' in line] == [
        'POST /pay/10 HTTP/1.1'
    ]


def test_nothing_runs_after_an_answer_that_closes():
    """Guards against running requests after an answer that closes.

    Callers take requests after such an answer for not read, and send them
    again.
    """
    closing = encode_requests('/read/50', last='Connection: close\r\n')

    async def scenario():
        async with fleets.running(None, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(closing + encode_requests('/pay/10', '/read/10'))
            found = await answers(reader, 3)
            await asyncio.sleep(3.0)
            return found, [seen.line for seen in fleet.runs]

    found, runs = pipes.run(scenario())
    assert [answer.body for answer in found] == [b'/read/50']
    assert found[0].headers['connection'] == 'close'
    assert runs == ['GET /read/50 HTTP/1.1']


def test_failure_in_the_middle_does_not_affect_other_answers():
    paths = ['/read/30', '/read/10-break', '/read/20']
    found, _took_s, _runs = ask(*paths)
    assert [answer.status for answer in found] == [200, 502, 200]
    assert found[2].body == b'/read/20'


def test_long_answers_wait_for_their_turn():
    """Guards against buffering long answers that can't be written yet."""
    paths = ['/read/300', '/read/10-long', '/bulk/10-long', '/read/5']
    found, _took_s, _runs = ask(*paths)
    assert [len(answer.body) for answer in found] == [9, 300_000, 300_000, 7]


def test_more_than_the_limit_are_all_answered():
    """Reading pauses at the limit, and resumes when answers were written."""
    paths = ['/read/%d' % (100 + number) for number in range(MANY * 3)]
    found, _took_s, runs = ask(*paths, upstreams=3)
    assert [answer.body.decode() for answer in found] == paths
    assert len(runs) == len(paths)


def test_garbage_after_a_valid_request_is_refused():
    async def scenario():
        async with fleets.running(None, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(
                encode_requests('/read/50') + b'this is\x00 no request\r\n\r\n'
            )
            found = await answers(reader, 3)
            return found, len(fleet.runs), await reader.read()

    found, runs, rest = pipes.run(scenario())
    assert [answer.status for answer in found] == [200, 400]
    assert (found[0].body, runs, rest) == (b'/read/50', 1, b'')


def test_all_are_cancelled_when_the_caller_leaves():
    """Guards against work for a caller that has left, which occupies slots."""

    async def scenario():
        async with fleets.running(None, work, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            _reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(
                encode_requests('/read/3000', '/read/3001', '/read/3002')
            )
            await asyncio.sleep(0.5)
            running = [
                slots.queue.running
                for node in fleet.nodes
                for slots in node.service.executor.slots.values()
            ]
            writer.close()
            await asyncio.sleep(0.5)
            left = [
                slots.queue.running
                for node in fleet.nodes
                for slots in node.service.executor.slots.values()
            ]
            return running, left, fleet.nodes[0].service.caller_handler.active

    running, left, active = pipes.run(scenario())
    assert sum(running) == 3
    assert (sum(left), active) == (0, 0)


def test_stop_answers_requests_in_progress():
    """Guards against a stop that cuts off pipelined requests.

    Those in progress are answered, and so is a later one, whose answer closes
    the connection.
    """

    async def scenario():
        async with fleets.running(None, work, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(
                encode_requests('/read/900', '/read/901', '/read/902')
            )
            await asyncio.sleep(0.3)
            stopping = asyncio.ensure_future(fleet.nodes[0].service.stop())
            await asyncio.sleep(0.05)
            writer.write(encode_requests('/read/10'))
            found = await answers(reader, 4)
            rest = await reader.read()
            await stopping
            return found, rest, [seen.line for seen in fleet.runs]

    found, rest, runs = pipes.run(scenario())
    assert [answer.status for answer in found] == [200] * 4
    assert found[3].headers['connection'] == 'close'
    assert (rest, len(runs)) == (b'', 4)


def test_time_in_queue_counts_against_the_deadline():
    """Guards against deadlines that don't include the time in the queue.

    The deadline of a request counts from when it was read, and not from when
    the earlier ones were answered.
    """

    async def scenario():
        async with fleets.running(None, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(encode_requests('/pay/700', '/pay/10'))
            await answers(reader, 2)
            return [
                int(seen.headers['caraway-deadline-ms']) for seen in fleet.runs
            ]

    first, second = pipes.run(scenario())
    assert 4900 < first <= 5000
    assert second <= 5000 - 700


SHAPES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['read', 'pay', 'bulk']),
        strategies.integers(1, 400),
        strategies.sampled_from(['', '-break', '-long']),
    ),
    min_size=1,
    max_size=10,
)


@hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
@hypothesis.given(
    SHAPES,
    strategies.lists(strategies.integers(1, 400), max_size=4),
    strategies.none() | strategies.integers(1, 1500),
)
def test_any_requests_get_their_answers_and_run_once_at_most(
    shapes, cuts, leaves_ms
):
    """Guards against mixed up answers and against second runs.

    Each answer belongs to its request, in order and complete.  A request that
    may run only once does so at most once, and only after all earlier ones
    were answered; however the bytes are split, and whenever the caller leaves.
    """
    paths = [
        '/%s/%d%s%s' % (kind, ms, how or '-', '-%d' % number)
        for number, (kind, ms, how) in enumerate(shapes)
    ]

    async def scenario():
        async with fleets.running(
            None, numbered, numbered, routes=ROUTES
        ) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', 8000, limit=2**21
            )
            reading = asyncio.ensure_future(answers(reader, len(paths)))
            data = encode_requests(*paths)
            for cut in cuts:
                writer.write(data[:cut])
                data = data[cut:]
                await asyncio.sleep(0.003)
            writer.write(data)
            if leaves_ms is not None:
                await asyncio.wait([reading], timeout=leaves_ms / 1000)
                writer.close()
            found = await asyncio.wait_for(reading, 60.0)
            await asyncio.sleep(8.0)
            left = sum(
                slots.queue.running
                for node in fleet.nodes
                for slots in node.service.executor.slots.values()
            )
            return found, [seen.line for seen in fleet.runs], left

    found, runs, left = pipes.run(scenario())
    if leaves_ms is None:
        assert len(found) == len(paths)
    for path, answer in zip(paths, found):
        if answer.status == 200:
            assert answer.body.startswith(path.encode() + b'|')
        else:
            assert 'break' in path
    for path in paths:
        if path.startswith('/pay/'):
            assert runs.count('POST %s HTTP/1.1' % path) <= 1
    assert left == 0


async def numbered(upstream, seen, writer) -> None:
    """Work as :func:`work` does, and put the path into every answer."""
    path = seen.line.split()[1]
    parts = path.rpartition('/')[2].split('-')
    await asyncio.sleep(int(parts[0]) / 1000)
    if parts[1] == 'break':
        writer.close()
        return
    size = 200_000 if parts[1] == 'long' else 0
    writer.write(fleets.good(path.encode() + b'|' + b'x' * size))


@pytest.mark.parametrize('broken_at_ms', [20, 150, 260, 420])
def test_connection_that_breaks_between_requests_leaves_nothing_running(
    broken_at_ms,
):
    """The connection breaks between any two of the answers."""

    async def scenario():
        async with fleets.running(None, work, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            paths = ['/read/100', '/pay/101', '/read/102', '/pay/103']
            writer.write(encode_requests(*paths))
            loop.call_later(broken_at_ms / 1000, loop.reset, 8000)
            found = await answers(reader, 4)
            await asyncio.sleep(4.0)
            left = sum(
                slots.queue.running
                for node in fleet.nodes
                for slots in node.service.executor.slots.values()
            )
            return paths, found, [seen.line for seen in fleet.runs], left

    paths, found, runs, left = pipes.run(scenario())
    assert [a.body.decode() for a in found] == paths[: len(found)]
    assert all(runs.count(line) == 1 for line in runs if 'pay' in line)
    assert left == 0


def test_later_answers_hold_nothing_before_their_turn():
    """Guards against later answers that use the room that the first needs."""

    async def scenario():
        async with fleets.running(
            None, work, work, held_mb=4, routes=ROUTES
        ) as fleet:
            await asyncio.sleep(0.1)
            memory, waiting = fleet.nodes[0].service.memory, []
            hold = memory.hold

            def noting(owner, exchange):
                waiting.append(exchange.request.unsent is not None)
                return hold(owner, exchange)

            memory.hold = noting
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', 8000, limit=2**21
            )
            paths = ['/read/300-long', '/read/10-long', '/read/11-long']
            writer.write(encode_requests(*paths))
            found = await answers(reader, 3)
            writer.close()
            return [len(answer.body) for answer in found], waiting

    assert pipes.run(scenario()) == ([300_000] * 3, [False] * 3)


class Written(asyncio.Transport):
    """A caller's connection that collects what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b''
        self.closed = False

    def write(self, data) -> None:
        self.data += data

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


def ask_connection(*paths: str, iterations: int) -> tuple[list[str], bool]:
    """Send requests to a connection.

    :param iterations: iterations of the event loop between two of them.
    :return: the paths of the answers, and whether it is still open.
    """

    async def handle(request) -> bool:
        await asyncio.sleep(0.01 if 'read' in request.raw_path else 0.001)
        request.write(request.raw_path.encode() + b'\n')
        return True

    def may_pipeline(request) -> bool:
        return request.raw_path.startswith('/read/')

    async def scenario():
        loop = asyncio.get_running_loop()
        connection = http_server.Connection(
            loop, handle, lambda *_args: None, set(), may_pipeline=may_pipeline
        )
        transport = Written()
        connection.connection_made(transport)
        for path in paths:
            connection.data_received(encode_requests(path))
            for _iteration in range(iterations):
                await asyncio.sleep(0)
        await asyncio.sleep(1.0)
        is_open = not transport.closed
        connection.connection_lost(None)
        return transport.data.decode().split(), is_open

    return pipes.run(scenario())


@pytest.mark.parametrize('iterations', range(6))
@pytest.mark.parametrize('second', ['/read/2', '/bulk/2', '/pay/2'])
@pytest.mark.parametrize('first', ['/read/1', '/bulk/1', '/pay/1'])
def test_request_that_arrives_while_another_starts_waits_for_its_turn(
    first, second, iterations
):
    """Guards against mixed up answers, and connections closed unanswered."""
    assert ask_connection(first, second, iterations=iterations) == (
        [first, second],
        True,
    )
