"""Upstreams that start again under their id, in fleets without gateways."""

import asyncio

from carawaystair import clock
from carawaystair import interfaces
from test import pipes
from test import request_setup as setups


def test_kept_connections_are_those_of_one_life():
    """Symptom: a request that may run once is sent on a connection of a life
    that has ended.
    Sequence: connections are kept, and one is in use, while the upstream
    starts again.
    Cause: the one in use was given back to the new life.
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


def test_target_of_the_new_life_begins_clean_and_cold():
    """Symptom: an upstream that has just started is taken for slow, and for
    warm.
    Sequence: late answers and work in progress, then a start under its id.
    Cause: they stood with the id.
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


def test_end_of_a_former_life_elsewhere_ends_nothing():
    """Symptom: a sound upstream is no longer chosen.
    Sequence: an id goes on at another host; its former one says that it is
    gone.
    Cause: the id was taken for unique.
    """

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(upstream) as setup:
            selector = setup.sender.selector
            stands = setups.announce(upstream, incarnation=9)
            setup.directory.put(stands)
            target = selector.target(stands, clock.now())
            former = stands._replace(
                incarnation=5, host='h0', state=interfaces.GONE
            )
            selector.on_change(former)
            kept = selector.targets.get(upstream.name) is target
            return kept, target.upstream.state, dict(selector.leaving_since)

    assert pipes.run(scenario()) == (True, interfaces.UP, {})
