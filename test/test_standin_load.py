"""Tests of the load client: what it must see, it sees."""

import asyncio
import time

from aiohttp import web

from standin import audit
from standin import content
from standin import faults
from standin import load
from standin import runs
from standin import upstream

WORK = (
    load.Work('/status', load.GET, 0.6, 700),
    load.Work('/claims', load.POST, 0.3, 100),
    load.Work('/bundles/evidence', load.GET, 0.1, 90_000),
)


async def against(handler, **fields):
    """Run a short load against a server with a given handler."""
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    target = '%s:%d' % runner.addresses[0][:2]
    try:
        client = load.Load(plan(target, **fields))
        await client.run()
        return client
    finally:
        await runner.cleanup()


def plan(target, **fields):
    """Return a short plan of 60 requests or so."""
    fields = {'arrivals': load.FIXED, 'work': WORK} | fields
    return load.Plan((target,), 200.0, 0.3, **fields)


def test_healthy_upstream_gives_whole_answers_and_a_clean_audit():
    async def body():
        one = upstream.make('portal', 'p', service_ms=1.0, slots=50)
        await one.start()
        client = load.Load(plan(one.address))
        answers = await client.run()
        await one.stop()
        assert load.tally(answers, 'verdict') == {'whole': 60}
        assert {a.method for a in answers} == {load.GET, load.POST}
        assert load.latency(answers).count == 60
        assert audit.audit(answers, one.runs.all()).clean

    asyncio.run(body())


def test_resends_through_a_relay_that_runs_both_are_caught():
    """Symptom: a payout is made twice.

    Sequence: the caller sends a POST twice with one key; nothing in between
    looks at the key.  Cause: no reservation.
    """

    async def body():
        one = upstream.make('portal', 'p', service_ms=1.0, slots=50)
        await one.start()
        client = load.Load(plan(one.address, resend_share=1.0))
        answers = await client.run()
        await one.stop()
        found = audit.audit(answers, one.runs.all())
        posts = {a.marker for a in answers if a.method == load.POST}
        assert set(found.doubles) == posts and posts

    asyncio.run(body())


def test_short_and_mixed_answers_are_told_from_broken_ones():
    async def body():
        def make(request):
            size = int(request.query['bytes'])
            return content.make(request.query['marker'], size)

        async def short(request):
            return web.Response(body=make(request)[:-1])

        async def mixed(request):
            data = make(request)
            return web.Response(body=data[:50] + data[:-50])

        work = WORK[:2]
        client = await against(short, work=work)
        assert set(load.tally(client.answers, 'verdict')) == {load.SHORT}
        client = await against(mixed, work=work)
        assert set(load.tally(client.answers, 'verdict')) == {load.MIXED}
        one = upstream.make('portal', 'p', service_ms=1.0, slots=50)
        await one.start()
        one.set_faults(faults.Faults(truncate_share=1.0))
        answers = await load.Load(plan(one.address)).run()
        await one.stop()
        assert set(load.tally(answers, 'verdict')) == {load.BROKEN}

    asyncio.run(body())


def test_stall_shows_in_every_request_it_holds_up():
    """Symptom: percentiles look well although the service stood still.

    Sequence: the server blocks; requests due meanwhile are sent late.
    Cause: latency that counts from the send and not from the intended start.
    """

    async def body():
        async def blocking(request):
            if request.query['marker'].endswith('-10'):
                # The client shares this loop and is held up as well.
                time.sleep(0.2)
            return web.Response()

        client = await against(blocking)
        slow = [a for a in client.answers if a.latency_s > 0.02]
        assert len(slow) > 15

    asyncio.run(body())


def test_outstanding_requests_are_bounded():
    async def body():
        async def never(request):
            await asyncio.Event().wait()

        client = await against(never, outstanding=10, timeout_s=5.0)
        assert client.skipped == 50
        assert load.tally(client.answers, 'verdict') == {load.TIMEOUT: 10}

    asyncio.run(body())


def test_audit_names_a_false_not_run_and_an_answer_without_a_run():
    told = load.Answer('m', 'POST', '/', 't', 'c', 1, 0.1, load.ERROR)
    told = told._replace(outcome='not-run')
    ghost = told._replace(marker='g', verdict=load.WHOLE, outcome='complete')
    ran = runs.Run('p', 'r', 'm', 'POST', 'c', 1)
    found = audit.audit([told, ghost], [ran])
    assert found == audit.Audit((), ('m',), ('g',), ())
    # A resend that did run makes the first word true of its own request.
    second = told._replace(outcome='complete')
    assert not audit.audit([told, second], [ran]).false_not_run
