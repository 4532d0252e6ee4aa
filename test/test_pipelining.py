"""Requests that a caller sends before the first one is answered.

They run side by side, and their answers go out in the order in which the
requests came.
"""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from carawaystair import manifest
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
    """Work for as long as the path says, in ms, and answer with the path."""
    path = seen.line.split()[1]
    said = path.rpartition('/')[2].partition('-')
    await asyncio.sleep(int(said[0]) / 1000)
    if said[2] == 'break':
        writer.close()
    elif said[2].startswith('long'):
        writer.write(fleets.good(b'x' * 300_000))
    else:
        writer.write(fleets.good(path.encode()))


def sent(*paths: str, last: str = '') -> bytes:
    """Return the bytes of requests; payouts are those below ``/pay/``.

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
    """Read answers until there are so many or the connection ends."""
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
            writer.write(sent(*paths))
            found = await answers(reader, len(paths))
            took_s = loop.time() - began
            writer.close()
            await asyncio.sleep(3.0)
            return found, took_s, [seen.line for seen in fleet.runs]

    return pipes.run(scenario())


def test_requests_sent_ahead_run_side_by_side():
    """Callers of status checks waited twice as long as their requests took.
    They sent the next request before the last one was answered, and a node
    began a request only once it had answered the one before: the median was
    984 ms at the caller, and 486 ms at the node.
    """
    paths = ['/read/400', '/read/401', '/read/402', '/read/403']
    found, took_s, _runs = ask(*paths)
    assert [answer.status for answer in found] == [200] * 4
    assert [answer.body.decode() for answer in found] == paths
    assert took_s < 2 * 0.4


def test_answers_come_in_the_order_of_their_requests():
    paths = ['/read/500', '/read/1', '/read/200', '/read/2']
    found, _took_s, runs = ask(*paths)
    assert [answer.body.decode() for answer in found] == paths
    assert len(runs) == 4


def test_what_may_run_once_waits_for_the_answers_before_it():
    """A request that may run once must not have run when an answer before it
    closes the connection: its caller takes it for not read, and sends it
    again.
    """
    paths = ['/read/100', '/pay/10', '/read/1']
    found, took_s, runs = ask(*paths)
    assert [answer.body.decode() for answer in found] == paths
    assert took_s >= 0.11
    assert [line for line in runs if 'pay' in line] == [
        'POST /pay/10 HTTP/1.1'
    ]


def test_nothing_behind_an_answer_that_closes_is_run_afterwards():
    """Callers take what stands behind an answer that closes the connection
    for not read, and send it again, whatever it is.
    """
    closing = sent('/read/50', last='Connection: close\r\n')

    async def scenario():
        async with fleets.running(None, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(closing + sent('/pay/10', '/read/10'))
            found = await answers(reader, 3)
            await asyncio.sleep(3.0)
            return found, [seen.line for seen in fleet.runs]

    found, runs = pipes.run(scenario())
    assert [answer.body for answer in found] == [b'/read/50']
    assert found[0].headers['connection'] == 'close'
    assert runs == ['GET /read/50 HTTP/1.1']


def test_failure_in_the_middle_leaves_the_others_their_own_answers():
    paths = ['/read/30', '/read/10-break', '/read/20']
    found, _took_s, _runs = ask(*paths)
    assert [answer.status for answer in found] == [200, 502, 200]
    assert found[2].body == b'/read/20'


def test_long_answers_wait_for_their_turn():
    """Bytes of answers that can't be sent yet are not piled up."""
    paths = ['/read/300', '/read/10-long', '/bulk/10-long', '/read/5']
    found, _took_s, _runs = ask(*paths)
    assert [len(answer.body) for answer in found] == [9, 300_000, 300_000, 7]


def test_more_ahead_than_allowed_are_all_answered():
    """Reading stops at the bound, and goes on when answers have gone out."""
    paths = ['/read/%d' % (100 + number) for number in range(MANY * 3)]
    found, _took_s, runs = ask(*paths, upstreams=3)
    assert [answer.body.decode() for answer in found] == paths
    assert len(runs) == len(paths)


def test_garbage_behind_a_good_request_is_refused_after_its_answer():
    async def scenario():
        async with fleets.running(None, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(sent('/read/50') + b'this is\x00 no request\r\n\r\n')
            found = await answers(reader, 3)
            return found, len(fleet.runs), await reader.read()

    found, runs, rest = pipes.run(scenario())
    assert [answer.status for answer in found] == [200, 400]
    assert (found[0].body, runs, rest) == (b'/read/50', 1, b'')


def test_all_ahead_are_cancelled_with_their_caller():
    """Work for a caller who has gone would hold slots for nothing."""

    async def scenario():
        async with fleets.running(None, work, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            _reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(sent('/read/3000', '/read/3001', '/read/3002'))
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


def test_stop_answers_what_was_passed_on_before_it_closes():
    """A stop cuts off nothing in flight: what runs ahead of others is
    answered, and what comes later is told to use another connection.
    """

    async def scenario():
        async with fleets.running(None, work, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(sent('/read/900', '/read/901', '/read/902'))
            await asyncio.sleep(0.3)
            stopping = asyncio.ensure_future(fleet.nodes[0].service.stop())
            await asyncio.sleep(0.05)
            writer.write(sent('/read/10'))
            found = await answers(reader, 4)
            rest = await reader.read()
            await stopping
            return found, rest, [seen.line for seen in fleet.runs]

    found, rest, runs = pipes.run(scenario())
    assert [answer.status for answer in found] == [200] * 4
    assert found[3].headers['connection'] == 'close'
    assert (rest, len(runs)) == (b'', 4)


def test_time_in_line_counts_against_the_deadline():
    """An upstream was handed more time than its caller had left. A request
    that stood behind others had its deadline counted from when its turn
    came, not from when it was read.
    """

    async def scenario():
        async with fleets.running(None, work, routes=ROUTES) as fleet:
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(sent('/pay/700', '/pay/10'))
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
def test_any_shape_gets_its_own_answers_and_runs_once_at_most(
    shapes, cuts, leaves_ms
):
    """Each answer belongs to its own request, in order, whole; what may run
    once does so at most once, and not before all before it were answered;
    wherever the bytes are cut in pieces, and whenever the caller leaves.
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
            data = sent(*paths)
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
    """As :func:`work`, but answers tell whose they are."""
    path = seen.line.split()[1]
    said = path.rpartition('/')[2].split('-')
    await asyncio.sleep(int(said[0]) / 1000)
    if said[1] == 'break':
        writer.close()
        return
    size = 200_000 if said[1] == 'long' else 0
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
            writer.write(sent(*paths))
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
