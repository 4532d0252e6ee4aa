"""Orders that would outlive the stop of the gateway that runs them."""

import asyncio
import typing

import pytest

from carawaystair.gateway import messages
from carawaystair.load import stopping
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

DRAIN_S = 6.0
TIMEOUT_S = 6.0
ORDERS = fleets.manifest.Route(
    '/order/', 'portal', idempotent=False, timeout_ms=int(TIMEOUT_S * 1000)
)
# Keeps a node up while it stops.
HOLDING = fleets.manifest.Route(
    '/hold/', 'other', idempotent=True, timeout_ms=20_000
)
# The route's timeout binds, not the caller's.
PATIENT = {'Caraway_Deadline_Ms': '20000'}


class Upstream:
    """Script whose runs take what the path says, up to their deadline."""

    def __init__(self) -> None:
        # When runs began, in the loop's time, and of which request.
        self.starts: list[tuple[float, str]] = []

    async def __call__(self, upstream, seen, writer) -> None:
        """Run one request."""
        now = asyncio.get_running_loop().time()
        self.starts.append((now, seen.line.split()[1]))
        takes_s = float(seen.line.split()[1].rpartition('/')[2])
        left_s = int(seen.headers['caraway-deadline-ms']) / 1000
        await asyncio.sleep(min(takes_s, left_s))
        if takes_s > left_s:
            writer.write(setups.reply(b'late', 504, X_Receipt='r'))
        else:
            writer.write(fleets.good())


class Stopped(typing.NamedTuple):
    """What came of orders that were sent while their gateway stopped.

    :param answers: those to the orders.
    :param runs: runs of them at the upstream beside the gateway.
    :param cut: runs that the gateway broke off.
    """

    answers: list[setups.Answer]
    runs: int
    cut: int


def count_cut(fleet) -> int:
    """Return how many runs the second node has broken off."""
    lines = fleet.nodes[1].lines.lines
    return sum(b'"outcome":"cancelled"' in line for line in lines)


async def order_during_stop(
    before: typing.Sequence[float], order_s: float
) -> Stopped:
    """Send orders to a fleet whose only gateway to upstreams stops.

    :param before: what the runs before the stop took, seconds.
    :param order_s: what the orders take, seconds.
    """
    upstream = Upstream()
    async with fleets.running(
        None,
        upstream,
        fleets.slow(2 * DRAIN_S),
        services=('portal', 'portal', 'other'),
        routes=(ORDERS, HOLDING),
        lame_duck_s=2.4,
        drain_s=DRAIN_S,
    ) as fleet:
        for took_s in before:
            await fleet.ask('/order/%g' % took_s, 'POST', body=b'x')
        held = asyncio.ensure_future(fleet.ask('/hold/x', node=1, **PATIENT))
        await asyncio.sleep(0.1)
        ending = asyncio.ensure_future(fleet.nodes[1].service.stop())
        orders = []
        for _turn in range(8):
            await asyncio.sleep(0.4)
            asking = fleet.ask(
                '/order/%g' % order_s, 'POST', body=b'x', **PATIENT
            )
            orders.append(asyncio.ensure_future(asking))
        answers = await asyncio.gather(*orders)
        await ending
        await held
        during = upstream.starts[len(before) :]
        return Stopped(answers, len(during), count_cut(fleet))


@pytest.mark.parametrize('before', [[], [0.05], [0.05] * 5 + [0.4]])
def test_gateway_that_has_just_started_cuts_no_order_as_it_stops(before):
    """Guards against orders begun on a guess that the stop breaks off."""
    seen = pipes.run(order_during_stop(before, 4.8))
    assert seen.cut == 0
    assert {(one.status, one.outcome) for one in seen.answers} <= {
        (200, 'complete'),
        (503, 'not-run'),
    }


def test_order_far_longer_than_all_before_ends_before_its_gateway():
    """Guards against an order that is cut though its upstream knew no better.

    The upstream is told until when its answer can be passed on.
    """
    seen = pipes.run(order_during_stop([0.1] * 400, 5.5))
    assert seen.cut == 0
    assert 0 < seen.runs
    assert {one.status for one in seen.answers} <= {200, 503, 504}
    late = [one for one in seen.answers if one.status == 504]
    assert {one.body for one in late} == {b'late'}


async def _ask_in_turn(fleet, until: float) -> list[setups.Answer]:
    """Send short orders up to a time of the loop; return their answers."""
    loop = asyncio.get_running_loop()
    asked = []
    while loop.time() < until:
        asked.append(
            asyncio.ensure_future(
                fleet.ask('/order/0.05', 'POST', body=b'x', **PATIENT)
            )
        )
        await asyncio.sleep(0.02)
    return await asyncio.gather(*asked)


def test_gateway_that_has_just_started_asks_what_runs_take():
    """Guards against an upstream of orders alone that idles for each stop."""

    async def scenario():
        beside = Upstream()
        async with fleets.running(
            None,
            beside,
            Upstream(),
            fleets.slow(2 * DRAIN_S),
            services=('portal', 'portal', 'portal', 'other'),
            routes=(ORDERS, HOLDING),
        ) as fleet:
            loop = asyncio.get_running_loop()
            answers = await _ask_in_turn(fleet, loop.time() + 6.0)
            await fleet.restart(1)
            fleet.nodes[2].announce('draining')
            await asyncio.sleep(0.2)
            held = asyncio.ensure_future(
                fleet.ask('/hold/x', node=1, **PATIENT)
            )
            await asyncio.sleep(0.1)
            began = loop.time()
            ending = asyncio.ensure_future(fleet.nodes[1].service.stop())
            answers += await _ask_in_turn(fleet, began + DRAIN_S)
            await ending
            await held
            at = [start for start, _path in beside.starts if start >= began]
            return at[-1] - began, {answer.outcome for answer in answers}

    last_s, outcomes = pipes.run(scenario())
    assert last_s > DRAIN_S / 2
    assert outcomes <= {'complete', 'not-run'}


def test_gateway_asks_until_another_process_is_known():
    """Guards against a gateway that starts before it knows of others."""

    async def scenario():
        async with fleets.running(None, Upstream(), Upstream()) as fleet:
            for _turn in range(20):
                await fleet.ask('/pay/0.05', 'POST', body=b'x')
            await fleet.restart(1)
            node = fleet.nodes[1]
            news, alive = node.service.run_time_news, node.membership.alive
            times = node.service.executor.run_times['portal']
            node.membership.alive = lambda: (node.member,)
            await asyncio.sleep(1.0)
            times.told.clear()
            await asyncio.sleep(3.0)
            before = len(times.told)
            node.membership.alive = alive
            await asyncio.sleep(3.0)
            return before, len(times.told), news.due

    before, behind, due = pipes.run(scenario())
    assert (before, behind, list(due)) == (0, 1, ['portal'])


def test_answers_about_run_times_count_only_where_they_were_asked_for():
    """Guards against bounds that a stranger sets."""

    async def scenario():
        async with fleets.running(None, Upstream(), Upstream()) as fleet:
            told = messages.RunTimesSeen('portal', {'route': (1000, 1)})
            links = fleet.nodes[0].kernel.links
            links.send(fleet.nodes[1].member.peer, told)
            await asyncio.sleep(20.0)
            times = fleet.nodes[1].service.executor.run_times['portal']
            return times.seen('route')

    assert pipes.run(scenario()) == (0, 0.0)


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('number', [0, 1], ids=['sender', 'gateway'])
def test_upstream_is_told_the_end_of_the_processes_before_it(number, method):
    """Guards against work whose answer nobody can pass on."""
    path, ends_s = '/read/x' if method == 'GET' else '/pay/x', 2.0
    body = b'' if method == 'GET' else b'x'

    async def scenario():
        async with fleets.running(None, fleets.slow(0.05)) as fleet:
            for _turn in range(2 * stopping.KNOWN_RUNS):
                await fleet.ask('/pay/warm', 'POST', body=b'x')
            ends_at = asyncio.get_running_loop().time() + ends_s
            service = fleet.nodes[number].service
            service.dispatcher.stop(ends_at)
            service.executor.stop(ends_at)
            await fleet.ask(path, method, body=body)
            return int(fleet.runs[-1].headers['caraway-deadline-ms'])

    assert 0 < pipes.run(scenario()) <= 1000 * (ends_s - stopping.RETURN_S)


async def stop_at_deadline(upstream, seen, writer) -> None:
    """Script that works for long and stops at the deadline that it got."""
    await asyncio.sleep(int(seen.headers['caraway-deadline-ms']) / 1000)
    writer.write(setups.reply(b'late', 504, X_Receipt='r'))


@pytest.mark.parametrize('back_s', [0.3, 1.0])
def test_lookup_that_ended_with_its_gateway_waits_for_the_next_upstream(
    back_s,
):
    """Guards against 504 for a lookup that has time for another run."""

    async def scenario():
        async with fleets.running(
            None, stop_at_deadline, fleets.serve, lame_duck_s=0.1, drain_s=1.5
        ) as fleet:
            fleet.nodes[2].announce('draining')
            service = fleet.nodes[1].service
            ending = asyncio.ensure_future(service.stop())
            await asyncio.sleep(0.05)
            asking = asyncio.ensure_future(fleet.ask('/read/x'))
            await ending
            await asyncio.sleep(back_s)
            fleet.nodes[2].announce(incarnation=2)
            answer = await asking
            return answer.status, answer.body, fleets.run_count(fleet, '/x')

    assert pipes.run(scenario()) == (200, b'u9002', 2)
