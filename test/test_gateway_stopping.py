"""Answers that are still being sent when a node stops."""

import asyncio
import itertools
import typing

import pytest

from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

BODY = b'x' * 48_000
# How long a caller reads nothing, seconds.
HELD_S = 1.0


async def big(upstream, seen, writer) -> None:
    """Answer with more than a connection buffers."""
    writer.write(fleets.good(BODY))


async def read_slowly(port: int) -> bytes:
    """Send a request, pause, then read the whole answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.transport.pause_reading()
    writer.write(b'GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n')
    await asyncio.sleep(HELD_S)
    writer.transport.resume_reading()
    try:
        return await reader.read()
    finally:
        writer.close()


def test_stop_waits_until_callers_have_their_answers():
    """Guards against an answer that a stop cuts off."""

    async def scenario():
        async with fleets.running(big, lame_duck_s=0.1) as fleet:
            asking = asyncio.ensure_future(read_slowly(8000))
            await asyncio.sleep(0.2)
            await fleet.nodes[0].service.stop()
            return await asking

    assert pipes.run(scenario()).endswith(BODY)


@pytest.mark.parametrize('drain_s', [2.0, 6.0])
def test_stop_ends_although_a_caller_does_not_read(drain_s):
    """Guards against a stop that one caller delays beyond its drain time."""

    async def scenario():
        async with fleets.running(
            big, lame_duck_s=0.1, drain_s=drain_s
        ) as fleet:
            _reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.transport.pause_reading()
            writer.write(b'GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n')
            await asyncio.sleep(0.2)
            loop = asyncio.get_running_loop()
            began = loop.time()
            await fleet.nodes[0].service.stop()
            return loop.time() - began

    assert pipes.run(scenario()) <= drain_s


WORK_S = 0.2
# A request of a caller that keeps its node up while it stops, seconds.
HOLD_S = 4.0
# How late other nodes hear of a change, and how long their requests travel,
# seconds.
NEWS_S = 0.4
WAY_S = 0.02
# What the nodes of these tests have for a stop, seconds.
DRAIN_S = 6.0
LONG_ROUTE = fleets.manifest.Route(
    '/long/', 'portal', idempotent=False, timeout_ms=20_000
)


class Upstream:
    """Script that answers after the usual time, or late if the path says so.

    :param work_s: the usual time, seconds.
    :param hold_s: the other one, seconds.
    """

    def __init__(self, work_s: float, hold_s: float) -> None:
        self.work_s = work_s
        self.hold_s = hold_s
        # When its runs began.
        self.starts: list[float] = []

    async def __call__(self, upstream, seen, writer) -> None:
        """Run one request."""
        self.starts.append(asyncio.get_running_loop().time())
        await asyncio.sleep(
            self.hold_s if 'hold' in seen.line else self.work_s
        )
        writer.write(fleets.good())


class Stopped(typing.NamedTuple):
    """A stop of a node under load, in the loop's time.

    :param began: when it began.
    :param ended: when it had ended.
    :param starts: when runs began at the upstream beside the node.
    :param answers: of all callers, that of the node's own one first.
    :param refused: how often it refused a request because it stops.
    """

    began: float
    ended: float
    starts: list[float]
    answers: list[setups.Answer]
    refused: int


def delay_news(fleet) -> None:
    """Let nodes hear of changes of upstreams as late as in a fleet."""
    publish = fleet.publish
    loop = asyncio.get_running_loop()
    fleet.publish = lambda upstream: loop.call_later(NEWS_S, publish, upstream)


async def stop_under_load(
    method: str,
    path: str,
    work_s: float,
    hold_s: float = HOLD_S,
    per_work: int = 8,
) -> Stopped:
    """Stop the second of two nodes while one of its callers waits long.

    :param per_work: requests that callers begin in the usual time; both
        upstreams are needed for more than five.
    """
    other, beside = (Upstream(work_s, hold_s) for _number in range(2))
    async with fleets.running(
        other, beside, lame_duck_s=0.5, drain_s=DRAIN_S
    ) as fleet:
        loop = asyncio.get_running_loop()
        tasks = [
            asyncio.ensure_future(fleet.ask('/read/warm'))
            for _number in range(40)
        ]
        await asyncio.gather(*tasks)
        delay_news(fleet)
        loop.slow(fleet.nodes[1].gateway, WAY_S)
        loop.queue(fleet.nodes[1].gateway, WAY_S)
        held = asyncio.ensure_future(fleet.ask('/read/hold', node=1))
        await asyncio.sleep(0.5)
        began = loop.time()
        stopping = asyncio.ensure_future(fleet.nodes[1].service.stop())
        asking = []
        while not stopping.done():
            asking.append(
                asyncio.ensure_future(
                    fleet.ask(path, method, body=b'x' * (method == 'POST'))
                )
            )
            await asyncio.sleep(work_s / per_work)
        ended = loop.time()
        answered = await asyncio.gather(held, *asking)
        lines = fleet.nodes[1].lines.lines
    refused = sum(b'"reason":"leaving"' in line for line in lines)
    return Stopped(began, ended, beside.starts, answered, refused)


def test_upstream_has_work_while_its_node_answers_callers():
    """Guards against an upstream that idles for the whole stop of its node."""
    seen = pipes.run(stop_under_load('GET', '/read/x', WORK_S))
    assert seen.ended - seen.began > HOLD_S / 2
    during = [at for at in seen.starts if at > seen.began]
    times = [seen.began, *during, seen.ended]
    assert max(b - a for a, b in itertools.pairwise(times)) < 4 * WORK_S
    assert {answer.status for answer in seen.answers} == {200}


@pytest.mark.parametrize('work_s', [WORK_S, 4 * WORK_S])
def test_stop_begins_no_run_that_it_might_cut_for_good(work_s):
    """Guards against a run that may not be repeated and outlives the stop."""
    seen = pipes.run(stop_under_load('POST', '/pay/x', work_s))
    latest = max(seen.began, seen.began + DRAIN_S - 8 * work_s)
    assert max(seen.starts) <= latest
    # The other node asks again once a second.
    assert seen.refused <= 2 * (seen.ended - seen.began + 1)


@pytest.mark.parametrize('hold_s', [0.1, HOLD_S, 2 * DRAIN_S])
@pytest.mark.parametrize('work_s', [0.02, 4 * WORK_S])
@pytest.mark.parametrize(
    ('method', 'path'), [('GET', '/read/x'), ('POST', '/pay/x')]
)
def test_requests_that_cross_a_stop_are_answered(method, path, work_s, hold_s):
    """Guards against requests that are lost at a gateway that has just left.

    Other nodes hear late that it leaves.
    """
    seen = pipes.run(stop_under_load(method, path, work_s, hold_s, 3))
    assert {answer.status for answer in seen.answers[1:]} == {200}


async def ask_during_stop(offset_s: float) -> setups.Answer:
    """Send work that runs once to a node that stops, at some moment."""
    async with fleets.running(
        None, fleets.serve, lame_duck_s=0.1, drain_s=DRAIN_S
    ) as fleet:
        for _turn in range(5):
            await fleet.ask('/pay/x', 'POST', body=b'x')
        delay_news(fleet)
        asyncio.get_running_loop().slow(fleet.nodes[1].gateway, WAY_S)
        stopping = asyncio.ensure_future(fleet.nodes[1].service.stop())
        await asyncio.sleep(offset_s)
        answer = await fleet.ask('/pay/x', 'POST', body=b'x')
        await stopping
        return answer


def test_work_that_crosses_the_end_of_a_stop_has_a_known_outcome():
    """Guards against work that runs once and reaches a gateway just closed."""
    outcomes = [
        pipes.run(ask_during_stop(0.005 * turn)).outcome for turn in range(120)
    ]
    assert set(outcomes) == {'complete', 'not-run'}


async def _status(fleet, path: str) -> int:
    """Return the status of a request; 503 where it can't be sent."""
    try:
        return (await fleet.ask(path)).status
    except ConnectionRefusedError:
        return 503


async def stop_late(late_s: float, path: str) -> tuple[float, int, int]:
    """Stop a node whose process was asked to some time before.

    :param late_s: how much later the stop begins, seconds.
    :param path: of a request that comes as the stop begins.
    :return: time from the request for the stop to its end, seconds, and the
        statuses of a run that outlasts the stop and of that request.
    """
    async with fleets.running(
        None,
        fleets.slow(60.0),
        routes=(*fleets.ROUTES, LONG_ROUTE),
        lame_duck_s=2.4,
        drain_s=DRAIN_S,
    ) as fleet:
        loop = asyncio.get_running_loop()
        asking = asyncio.ensure_future(
            fleet.ask(
                '/long/x', 'POST', body=b'x', Caraway_Deadline_Ms='20000'
            )
        )
        await asyncio.sleep(0.1)
        asked_at = fleet.nodes[0].kernel.shutdown.request()
        await asyncio.sleep(late_s)
        stopping = asyncio.ensure_future(fleet.nodes[0].service.stop())
        await asyncio.sleep(0.1)
        late = await _status(fleet, path)
        await stopping
        return loop.time() - asked_at, (await asking).status, late


@pytest.mark.parametrize('late_s', [0.6, 2.0, 3.0])
def test_stop_that_begins_late_ends_in_time(late_s):
    """Guards against a stop that is counted from its begin and is killed."""
    took_s, long, late = pipes.run(stop_late(late_s, '/tight/x'))
    assert (took_s <= DRAIN_S, long) == (True, 504), (took_s, long)
    assert late == (503 if late_s > 2.4 else 504)


def test_process_that_is_asked_to_stop_does_not_begin_to_listen():
    """Guards against callers of a process that ends before it has started."""

    async def scenario():
        fleet = fleets.Fleet([None])
        node = fleet.nodes[0]
        node.kernel.shutdown.request()
        await node.service.start()
        try:
            await asyncio.open_connection('127.0.0.1', node.listen)
        except OSError:
            return True
        finally:
            await node.service.stop()
        return False

    assert pipes.run(scenario())


async def ask_while_upstream_is_full(full_s: float) -> tuple:
    """Send an order to a node that stops while the only upstream is full.

    :param full_s: how long the upstream stays full, seconds.
    :return: the answer, when it came, seconds from the stop, and how often
        the order ran.
    """
    upstream = Upstream(WORK_S, full_s)
    async with fleets.running(
        None,
        upstream,
        routes=(*fleets.ROUTES, LONG_ROUTE),
        slots=1,
        lame_duck_s=2.4,
        drain_s=DRAIN_S,
    ) as fleet:
        loop = asyncio.get_running_loop()
        for _turn in range(20):
            await fleet.ask('/long/warm', 'POST', body=b'x')
        patient = {'body': b'x', 'Caraway_Deadline_Ms': '20000'}
        filling = asyncio.ensure_future(
            fleet.ask('/long/hold', 'POST', node=1, **patient)
        )
        await asyncio.sleep(0.1)
        began = loop.time()
        stopping = asyncio.ensure_future(fleet.nodes[0].service.stop())
        await asyncio.sleep(1.0)
        answer = await fleet.ask('/long/x', 'POST', **patient)
        answered_s = loop.time() - began
        await stopping
        await filling
        await asyncio.sleep(1.0)
        return answer, answered_s, fleets.run_count(fleet, '/long/x')


def test_order_waits_no_longer_than_its_node_can_answer():
    """Guards against an order that begins when its node is about to end."""
    answer, answered_s, ran = pipes.run(
        ask_while_upstream_is_full(2 * DRAIN_S)
    )
    assert (answer.status, answer.outcome, ran) == (503, 'not-run', 0)
    assert answered_s < DRAIN_S - 4 * WORK_S


def test_order_that_its_node_can_answer_waits():
    """Guards against a node that rejects all that waits when it stops."""
    answer, _answered_s, ran = pipes.run(ask_while_upstream_is_full(3.0))
    assert (answer.status, ran) == (200, 1)


class VaryingUpstream(Upstream):
    """Script whose runs take mostly little and at times much longer.

    Each eighth run takes ``hold_s``.
    """

    async def __call__(self, upstream, seen, writer) -> None:
        """Run one request."""
        long = len(self.starts) % 8 == 7
        self.starts.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.hold_s if long else self.work_s)
        writer.write(fleets.good())


async def stop_beside_long_runs(long_s: float, turn: int) -> tuple:
    """Stop a node up to the end of its time while its upstream is at work.

    :param long_s: what each eighth run takes, seconds.
    :param turn: shifts which run that is.
    :return: runs that the stop cut, whether the upstream was at work in the
        second half of the stop, and the status of what held it up.
    """
    other_route = fleets.manifest.Route(
        '/other/', 'other', idempotent=True, timeout_ms=20_000
    )
    beside = VaryingUpstream(WORK_S, long_s)
    async with fleets.running(
        fleets.slow(2 * DRAIN_S),
        beside,
        services=('other', 'portal'),
        routes=(*fleets.ROUTES, other_route),
        lame_duck_s=0.5,
        drain_s=DRAIN_S,
    ) as fleet:
        for _turn in range(10):
            warm = (fleet.ask('/read/warm') for _number in range(4))
            await asyncio.gather(*warm)
        for _turn in range(turn):
            await fleet.ask('/read/warm')
        held = asyncio.ensure_future(
            fleet.ask('/other/x', node=1, Caraway_Deadline_Ms='20000')
        )
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(fleet.nodes[1].service.stop())
        asking = []
        while not stopping.done():
            asking.append(asyncio.ensure_future(fleet.ask('/read/x')))
            await asyncio.sleep(0.15)
        answered = await asyncio.gather(held, *asking)
        begun = [at for at in beside.starts if at > DRAIN_S / 2]
        lines = fleet.nodes[1].lines.lines
        cut = sum(b'"outcome":"cancelled"' in line for line in lines)
        return cut, len(begun) > 5, answered[0].status


@pytest.mark.parametrize('turn', range(8))
def test_stop_cuts_no_run_of_a_route_whose_runs_vary(turn):
    """Guards against a gateway whose stop cuts runs longer than the mean."""
    assert pipes.run(stop_beside_long_runs(1.6, turn)) == (0, True, 504)


@pytest.mark.parametrize('turn', range(8))
def test_stop_cuts_no_run_that_takes_many_means(turn):
    """Guards against a gateway whose stop cuts runs of five means."""
    assert pipes.run(stop_beside_long_runs(2.4, turn)) == (0, True, 504)


@pytest.mark.parametrize(('left_s', 'status'), [(0.5, 503), (2.0, 200)])
def test_node_about_to_end_offers_nothing_that_it_could_not_answer(
    left_s, status
):
    """Guards against an unknown outcome for what could still be refused."""

    async def scenario():
        async with fleets.running(None, fleets.slow(0.3)) as fleet:
            for _turn in range(20):
                await fleet.ask('/pay/warm', 'POST', body=b'x')
            ends_at = asyncio.get_running_loop().time() + left_s
            fleet.nodes[0].service.dispatcher.stop(ends_at)
            answer = await fleet.ask('/pay/x', 'POST', body=b'x')
            return answer.status, fleets.run_count(fleet, '/pay/x')

    assert pipes.run(scenario()) == (status, int(status == 200))


def test_lookup_that_a_stop_cut_waits_for_the_next_upstream():
    """Guards against 502 for a lookup that has time for another run."""

    async def scenario():
        async with fleets.running(
            None,
            fleets.slow(2.0),
            fleets.serve,
            lame_duck_s=0.1,
            drain_s=1.0,
        ) as fleet:
            fleet.nodes[2].announce('draining')
            asking = asyncio.ensure_future(fleet.ask('/read/x'))
            while not fleets.run_count(fleet, '/read/x'):
                await asyncio.sleep(0.01)
            await fleet.nodes[1].service.stop()
            await asyncio.sleep(1.0)
            fleet.nodes[2].announce(incarnation=2)
            answer = await asking
            return answer.status, answer.body

    assert pipes.run(scenario()) == (200, b'u9002')
