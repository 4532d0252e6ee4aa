"""Requests between two nodes that are delayed in transit."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from carawaystair.gateway import hops
from carawaystair.gateway import transit
from test import gateway_setup as fleets
from test import pipes

DEADLINE_MS = 4000


async def shed(_upstream, _seen, writer) -> None:
    """Refuse a request: it was not run."""
    writer.write(fleets.setups.reply(b'full', 503, Caraway_Not_Run='1'))


async def warm(fleet) -> None:
    """Let the first node receive reports on all upstreams."""
    for _ in range(12):
        await fleet.ask('/read/warm')
        await asyncio.sleep(0.7)


def delayed_runs(method: str, path: str, delay_s: float):
    """Send requests while the paths to one of two gateways are slow.

    :return: the answer's status, and when each run of the request began,
        seconds after it was sent, with the deadline that it was given, ms.
    """
    began = []

    async def script(upstream, seen, writer):
        if path in seen.line:
            now = asyncio.get_running_loop().time()
            left_ms = int(seen.headers['caraway-deadline-ms'])
            began.append((now, left_ms))
        await asyncio.sleep(0.05)
        writer.write(fleets.good(upstream.name.encode()))

    async def scenario():
        async with fleets.running(None, script, script) as fleet:
            await warm(fleet)
            loop = asyncio.get_running_loop()
            assert loop.slow(7001, delay_s)
            found = []
            for number in range(6):
                sent = loop.time()
                begun = len(began)
                answer = await fleet.ask(
                    path,
                    method,
                    body=b'x' if method == 'POST' else b'',
                    Caraway_Deadline_Ms=str(DEADLINE_MS),
                )
                await asyncio.sleep(3 * delay_s)
                runs = [(at - sent, left) for at, left in began[begun:]]
                found.append((answer.status, runs))
            return found

    return pipes.run(scenario())


def test_request_that_its_sender_gave_up_is_not_started():
    """Guards against runs whose answers nobody receives.

    A request waited in the queue of a link of 3.4 Mbit/s.  Meanwhile its
    sender resumed it on another connection and got its answer.  When it
    arrived a second later, the gateway had forgotten the run and ran it again.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            process = str(fleet.nodes[1].membership.incarnation)
            loop = asyncio.get_running_loop()
            first = HOP._replace(
                upstream='u9001', process=process, sent_ms=loop.uptime_ms()
            )
            await send_hop(first)
            await asyncio.sleep(1.2)
            delayed = first._replace(send_number=2, resumed=True)
            answer = await send_hop(delayed)
            return answer, [seen.line for seen in fleet.runs]

    answer, runs = pipes.run(scenario())
    assert runs == ['GET /read/x HTTP/1.1']
    # The request may have run, so the answer must not promise anything.
    assert answer.startswith(b'HTTP/1.1 502')


@pytest.mark.parametrize('slack', [0, 50])
@pytest.mark.parametrize('script', [fleets.serve, shed])
def test_second_send_to_the_same_upstream_is_a_repeat(script, slack):
    """Guards against arrivals that nobody pays for: a sender whose
    connection was lost asks the gateway again, after the upstream has shed
    the request, or after its answer was forgotten.
    """

    async def scenario():
        options = {'retry_ratio': 0.0, 'retry_slack': slack}
        async with fleets.running(None, script, **options) as fleet:
            node = fleet.nodes[1]
            loop = asyncio.get_running_loop()
            hop = HOP._replace(
                upstream='u9001',
                service='portal',
                process=str(node.membership.incarnation),
                budgeted=True,
            )
            await send_hop(hop._replace(sent_ms=loop.uptime_ms()))
            await asyncio.sleep(1.2)
            again = hop._replace(
                sent_ms=loop.uptime_ms(), send_number=2, resumed=True
            )
            await send_hop(again)
            budget = node.service.executor.retry_budgets.for_service('portal')
            return len(fleet.runs), budget.total_retries

    sent, charged = pipes.run(scenario())
    assert (sent, charged) == ((2, 1) if slack else (1, 0))


async def send_hop(hop: hops.Hop) -> bytes:
    """Send a request on a connection of its own; return the answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', 7001)
    head = b'GET /read/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
    writer.write(head + hops.header_line(hop) + b'\r\n')
    return await reader.read()


def test_delayed_requests_are_answered_soon_and_run_once():
    for status, runs in delayed_runs('GET', '/read/late', 2.0):
        assert status == 200
        assert len(runs) == 1
        assert runs[0][0] < 0.5


def test_non_idempotent_request_is_not_started_late():
    for _status, runs in delayed_runs('POST', '/pay/late', 2.0):
        assert len(runs) <= 1
        assert all(at < 0.5 for at, _left in runs)


def test_upstream_gets_the_time_that_is_left_when_a_request_arrives():
    """Guards against upstreams that get more time than their callers have
    left, such as 1,546 ms instead of 94, because transit was not deducted.
    """
    for status, runs in delayed_runs('GET', '/read/slow', 0.1):
        assert status == 200
        for at, left_ms in runs:
            assert left_ms <= DEADLINE_MS - 1000 * at + 5


HOP = hops.Hop(
    'a', 'h', 'u', 's', 'c', 'r', 900, 500, 0, True, False, False, False,
    False, 1, 'p', sent_ms=10_000, sender_timeout_ms=150,
)  # fmt: skip


def test_transit_time_is_deducted():
    assert transit.deduct_transit_time(HOP, 10_000) == HOP
    late = transit.deduct_transit_time(HOP, 10_100)
    assert (late.remaining_ms, late.goal_ms) == (800, 400)
    # A clock that is a little behind does not add time.
    assert transit.deduct_transit_time(HOP, 9_990) == HOP
    assert transit.deduct_transit_time(HOP, 10_151) is None
    assert (
        transit.deduct_transit_time(HOP._replace(remaining_ms=80), 10_100)
        is None
    )
    # Of an older version, which does not say when it was sent.
    assert (
        transit.deduct_transit_time(
            HOP._replace(sent_ms=0), 99_999
        ).remaining_ms
        == 900
    )


@hypothesis.given(
    strategies.integers(-(10**9), 10**9),
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 300),
            strategies.integers(0, 2000),
            strategies.integers(0, 300),
        ),
        min_size=1,
        max_size=50,
    ),
    strategies.integers(0, 5000),
)
def test_transit_time_is_never_overestimated(ahead, past, way_ms):
    """Holds for any clocks and any service times."""
    clock = transit.ClockOffset()
    now = 10**9
    for there_ms, work_ms, _back_ms in past:
        read_ms = now + there_ms + work_ms + ahead
        clock.observe(now, read_ms)
        now += 1000
    sent_ms = clock.to_remote(now)
    arrived = now + way_ms + ahead
    assert arrived - sent_ms <= way_ms
    # After one fast transit it is not underestimated either.
    clock.observe(now, now + ahead)
    sent_ms = clock.to_remote(now)
    assert way_ms <= arrived - sent_ms or sent_ms > now + ahead


def test_clock_offsets_take_bounded_memory():
    clocks = transit.ClockOffsets()
    for number in range(2 * transit.MAX_CLOCKS):
        clocks.of('h', 'p%d' % number).observe(0, number)
    assert len(clocks.by_process) == transit.MAX_CLOCKS
    assert clocks.of('h', 'unknown').to_remote(5) == 0


def test_processes_of_the_same_name_have_separate_clock_offsets():
    """Guards against requests refused as given up by their senders.

    The name of a process is the time of its start in ms, and processes of a
    fleet may start in the same millisecond.  The clock of one host must not
    be taken for that of another, which has been up for a different time.
    """
    clocks = transit.ClockOffsets()
    clocks.of('one', '1776928789218').observe(1000, 42_861_482)
    assert clocks.of('two', '1776928789218').to_remote(1000) == 0
    clocks.of('two', '1776928789218').observe(1000, 5000)
    assert clocks.of('two', '1776928789218').to_remote(1200) == 5200
    assert clocks.of('one', '1776928789218').to_remote(1200) == 42_861_682
