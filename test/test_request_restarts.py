"""Tests of upstreams that restart under their id, without gateways."""

import asyncio

from carawaystair import clock
from carawaystair import interfaces
from test import pipes
from test import request_setup as setups


def test_pooled_connections_belong_to_one_incarnation():
    """Guards against requests on connections to a former incarnation.

    While the upstream restarts, connections are pooled and one is in use.  The
    latter must not return to the pool of the new incarnation.
    """

    async def slow(upstream, seen, writer):
        if 'slow' in seen.line:
            await asyncio.sleep(0.5)
        writer.write(setups.reply(upstream.name.encode()))

    async def scenario():
        upstream = setups.Upstream(9001, slow)
        async with setups.running(upstream) as setup:
            await setup.ask()
            asking = asyncio.create_task(setup.ask('/portal/slow'))
            await asyncio.sleep(0.1)
            before = upstream.connections
            setup.directory.put(setups.announce(upstream, incarnation=9))
            first = await asking
            second = await setup.ask('/portal/x', 'POST', body=b'x')
            return before, upstream.connections, first, second

    before, after, first, second = pipes.run(scenario())
    assert (first.outcome, second.outcome) == ('complete', 'complete')
    assert after == before + 1


def test_target_of_new_incarnation_starts_clean_and_cold():
    """Guards against measuring a new incarnation by its predecessor.

    Late answers, work in progress and the end of the warm-up belong to the
    former incarnation and not to the id.
    """

    async def hang(upstream, seen, writer):
        await asyncio.sleep(30.0)

    async def scenario():
        upstream = setups.Upstream(9001, hang)
        async with setups.running(upstream) as setup:
            asking = asyncio.create_task(setup.ask())
            await asyncio.sleep(5.0)
            selector = setup.sender.selector
            former = selector.targets[upstream.name]
            former.observe(3.0, clock.now())
            new = setups.announce(upstream, incarnation=9, warmup_s=3.0)
            setup.directory.put(new)
            target = selector.target(new, clock.now())
            asking.cancel()
            return (
                target is not former,
                former.upstream.state,
                target.in_flight,
                target.late_attempts,
                target.latency(clock.now()),
                target.warmup_share(clock.now()) < 1.0,
            )

    found = pipes.run(scenario())
    assert found == (True, interfaces.GONE, 0, [], 0.0, True)


def test_end_of_former_incarnation_elsewhere_is_ignored():
    """Guards against discarding a healthy upstream that moved to another host.

    Its id continues at the new host when the former incarnation is reported as
    gone.
    """

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(upstream) as setup:
            selector = setup.sender.selector
            current = setups.announce(upstream, incarnation=9)
            setup.directory.put(current)
            target = selector.target(current, clock.now())
            former = current._replace(
                incarnation=5, host='h0', state=interfaces.GONE
            )
            selector.on_change(former)
            kept = selector.targets.get(upstream.name) is target
            return kept, target.upstream.state, dict(selector.leaving_since)

    assert pipes.run(scenario()) == (True, interfaces.UP, {})
