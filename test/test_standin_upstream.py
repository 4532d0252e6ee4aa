"""Tests of the stand-in upstream: it must show the faults it is told to."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from standin import content
from standin import faults
from standin import runs
from standin import slots
from standin import upstream

SHORT_S = 0.15


@contextlib.asynccontextmanager
async def running(**fields):
    """Run one stand-in and a client session."""
    fields = {'service_ms': 1.0, 'spread': 0.0, 'health_ms': 0.0} | fields
    one = upstream.make('portal', 'portal-1', **fields)
    await one.start()
    timeout = aiohttp.ClientTimeout(total=5)
    try:
        async with aiohttp.ClientSession(
            'http://' + one.address, timeout=timeout
        ) as session:
            yield one, session
    finally:
        await one.stop()


async def ask(session, path='/x?marker=m&bytes=2000', **kwargs):
    """Return status and body, or the name of what went wrong."""
    method = kwargs.pop('method', 'GET')
    try:
        async with session.request(method, path, **kwargs) as response:
            return response.status, await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        return type(error).__name__, b''


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.005)


def test_answers_with_the_body_of_the_marker_and_records_the_run():
    async def body():
        async with running() as (one, session):
            got = await ask(session, headers={'Caraway-Request-Id': 'r1'})
            assert got == (200, content.make('m', 2000))
            (run,) = one.runs.all()
            assert (run.request, run.marker, run.how) == ('r1', 'm', runs.DONE)

    asyncio.run(body())


def test_doubles_counts_one_marker_at_two_upstreams():
    run = runs.Run('portal-1', 'r1', 'm', 'POST', '', 1)
    other = run._replace(upstream='portal-2')
    get = run._replace(method='GET', marker='g')
    assert runs.doubles([run, other, get, get], 'POST') == {'m': 2}


def test_bundle_resumes_only_with_the_same_tag():
    path = '/bundles/evidence?bytes=100000'

    async def body():
        async with running() as (one, session):
            whole = content.bundle('evidence', 100_000)
            assert await ask(session, path) == (200, whole)
            tag = content.etag('evidence', 100_000)
            rest = {'Range': 'bytes=70000-', 'If-Range': tag}
            got = await ask(session, path, headers=rest)
            assert got == (206, whole[70_000:])
            one.set_faults(faults.Faults(revision=1))
            status, other = await ask(session, path, headers=rest)
            assert status == 200 and other != whole

    asyncio.run(body())


@pytest.mark.parametrize(
    'fault, expected',
    [
        ({'error_share': 1.0, 'error_status': 502}, 502),
        ({'truncate_share': 1.0}, 'ClientPayloadError'),
        ({'reset_share': 1.0}, 'ClientOSError'),
        ({'hang_share': 1.0}, 'TimeoutError'),
        ({'stall_share': 1.0}, 'TimeoutError'),
        ({'slow': 1000.0}, 'TimeoutError'),
        ({'slow_customers': {'big': 1000.0}}, 'TimeoutError'),
        ({'slow_customers': {'other': 1000.0}}, 200),
        ({'late_share': 1.0, 'late_ms': 1000.0}, 'TimeoutError'),
        ({'flap_s': 100.0, 'flap_share': 0.0, 'error_share': 1.0}, 200),
    ],
)
def test_fault_shows(fault, expected):
    async def body():
        async with running() as (one, session):
            one.set_faults(faults.Faults(**fault))
            patience = SHORT_S if expected == 'TimeoutError' else 5.0
            got, _body = await ask(
                session,
                headers={'Caraway-Customer': 'big'},
                timeout=aiohttp.ClientTimeout(total=patience),
            )
            names = {'ClientPayloadError', 'ClientOSError'}
            reset = fault.get('reset_share') and got in names
            assert got == expected or reset

    asyncio.run(body())


def test_silent_connection_while_new_ones_work():
    async def body():
        async with running() as (one, session):
            await ask(session)
            one.set_faults(faults.Faults(silent=True))
            short = aiohttp.ClientTimeout(total=SHORT_S)
            assert (await ask(session, timeout=short))[0] == 'TimeoutError'
            # The timed-out connection was closed; the next one is new.
            assert (await ask(session))[0] == 200
            assert one.runs.total == 2

    asyncio.run(body())


@pytest.mark.parametrize(
    'cancel, how', [('seen', runs.CANCELLED), ('ignored', runs.DONE)]
)
def test_cancellation(cancel, how):
    async def body():
        async with running(service_ms=100.0) as (one, session):
            one.set_faults(faults.Faults(cancel=cancel))
            asked = asyncio.create_task(ask(session))
            await until(lambda: one.slots.busy)
            asked.cancel()
            await until(lambda: not one.slots.busy)
            assert [run.how for run in one.runs.all()] == [how]

    asyncio.run(body())


def test_full_queue_and_passed_deadline_are_refused_before_running():
    async def body():
        options = {'service_ms': 400.0, 'slots': 1, 'queue': 1}
        async with running(**options) as (one, session):
            late = {'Caraway-Deadline-Ms': '100'}
            first = asyncio.create_task(ask(session))
            await until(lambda: one.slots.busy)
            waits = asyncio.create_task(ask(session, headers=late))
            await until(lambda: one.slots.waiting)
            assert (await ask(session))[0] == 503
            assert (await waits)[0] == 503
            assert (await first)[0] == 200
            assert one.runs.total == 1
            assert one.counts == {slots.FULL: 1, slots.LATE: 1}

    asyncio.run(body())


@pytest.mark.parametrize('granted', [False, True])
def test_slots_pass_on_when_one_gives_up(granted):
    """Symptom: a slot stays taken for ever.

    Sequence: a request waits, is granted the slot, and is cancelled before
    it has run on.  Cause: nobody gives the granted slot back.
    """

    async def body():
        queue = slots.Slots(1, 10)
        await queue.take()
        gone = asyncio.create_task(queue.take())
        kept = asyncio.create_task(queue.take())
        await asyncio.sleep(0)
        if granted:
            queue.release()
        gone.cancel()
        await asyncio.sleep(0)
        if not granted:
            queue.release()
        assert await asyncio.wait_for(kept, 1) == slots.TAKEN
        queue.release()
        assert queue.busy == 0

    asyncio.run(body())


def test_health_lies_and_lags():
    async def body():
        async with running() as (one, session):
            one.set_faults(faults.Faults(hang_share=1.0))
            assert (await ask(session, '/health'))[0] == 503
            one.set_faults(faults.Faults(hang_share=1.0, health='good'))
            assert (await ask(session, '/health'))[0] == 200
            one.set_faults(faults.Faults(health='bad'))
            assert (await ask(session, '/health'))[0] == 503
            one.set_faults(faults.Faults(hang_share=1.0, lag_s=60.0))
            assert (await ask(session, '/health'))[0] == 200

    asyncio.run(body())


def test_knobs_by_http_and_unknown_knob_refused():
    async def body():
        async with running() as (one, session):
            put = {'method': 'PUT', 'json': {'slow': 3}}
            assert (await ask(session, '/standin/faults', **put))[0] == 200
            assert one.dice.faults.slow == 3.0
            put = {'method': 'PUT', 'json': {'slw': 3}}
            status, text = await ask(session, '/standin/faults', **put)
            assert status == 400 and b"did you mean 'slow'" in text

    asyncio.run(body())


def test_announces_drains_and_withdraws():
    """A node's local API sees up, then draining, then the withdrawal."""
    seen = []

    async def local(request):
        if request.method == 'DELETE':
            seen.append('gone')
            return web.json_response({})
        document = await request.json()
        seen.append((document['state'], document['slots']))
        return web.json_response({'lease_s': 6.0})

    async def body():
        runner = web.ServerRunner(web.Server(local))
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        address = '%s:%d' % runner.addresses[0][:2]
        try:
            async with running(
                announce=address, grace_s=0.05, service_ms=200.0
            ) as (one, session):
                await until(lambda: one.announcer.accepted)
                asked = asyncio.create_task(ask(session))
                await until(lambda: one.slots.busy)
                await one.leave()
                assert (await asked)[0] == 200
        finally:
            await runner.cleanup()
        assert seen == [('up', 5), ('draining', 5), 'gone']

    asyncio.run(body())
