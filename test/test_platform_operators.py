"""Tests of operators' configurations over HTTP, with a group of one voter."""

import asyncio
import contextlib
import json

from aiohttp import test_utils

from carawaystair import localapi
from carawaystair import manifest as manifests
from carawaystair import timeline as timelines
from test import fakes
from test import platform_setup
from test import test_admin

from adapter import configuration
from adapter import operators
from adapter import upstreams
from carawaystair.membership import registry as registries

CONSTANTS = configuration.ManifestConstants({'r': ('a', 'b')}, 70, 20)
PATH = operators.PATH


@contextlib.asynccontextmanager
async def running(folder):
    """Run a control host with the listener for operators."""
    transport = fakes.Network().transport(test_admin.CONTROL)
    timeline = timelines.Timeline('c')
    group = test_admin.group_of_one(transport, timeline, folder)
    await group.start()
    handlers = operators.OperatorHandlers(group, CONSTANTS)
    local = localapi.LocalApi(
        '127.0.0.1:1', handlers.routes(), manifests.MAX_BYTES
    )
    client = test_utils.TestClient(test_utils.TestServer(local.app))
    await client.start_server()
    try:
        await group.current()
        yield group, client
    finally:
        await client.close()
        await group.stop()


def run_scenario(folder, scenario):
    """Run a scenario against a control host; return its result."""

    async def _run():
        async with running(folder) as (group, client):
            return await scenario(group, client)

    return asyncio.run(_run())


async def put(client, document, method='PUT'):
    """Send a configuration; return the status."""
    answer = await client.request(method, PATH, json=document)
    body = await answer.json()
    assert body['message']
    return answer.status


def test_configuration_is_accepted_returned_and_accepted_again(tmp_path):
    sent = platform_setup.configuration(version=2)

    async def scenario(_group, client):
        before = (await client.get(PATH)).status
        first = await put(client, sent)
        again = await put(client, sent)
        back = await (await client.get(PATH)).json()
        return before, first, again, back

    before, first, again, back = run_scenario(tmp_path, scenario)
    assert (before, first, again) == (503, 200, 200)
    assert back['version'] == 2
    assert len(back['resources']) == len(sent['resources'])


def test_one_of_two_changes_on_the_same_version_is_refused(tmp_path):
    """Guards against two operators who both get their change acknowledged.

    Both build on the same version and send at the same time.  It failed when
    a change was compared with the version read before, not with the version
    in the log when the change is applied.
    """

    async def scenario(_group, client):
        await put(client, platform_setup.configuration(version=2))
        changes = [
            platform_setup.configuration(
                platform_setup.route(path_prefix='/%s/' % name),
                version=3,
                base=2,
            )
            for name in 'ab'
        ]
        found = await asyncio.gather(*(put(client, c) for c in changes))
        again = [await put(client, change) for change in changes]
        return found, again

    found, again = run_scenario(tmp_path, scenario)
    assert sorted(found) == [200, 412]
    assert again == found


def test_accepted_change_is_acknowledged_again_after_later_ones(tmp_path):
    async def scenario(_group, client):
        first = platform_setup.configuration(version=2)
        change = {
            'version': 5,
            'base_version': 2,
            'upsert': {'resources': []},
            'remove': {'routes': []},
        }
        return (
            await put(client, first),
            await put(client, change, 'PATCH'),
            await put(client, first),
            await put(client, change | {'version': 6}, 'PATCH'),
        )

    assert run_scenario(tmp_path, scenario) == (200, 200, 200, 412)


def test_invalid_configurations_change_nothing(tmp_path):
    good = platform_setup.configuration(version=2)
    bad = [
        platform_setup.configuration(version=2, base=2),
        platform_setup.configuration(
            platform_setup.route(service='nobody'), version=3, base=2
        ),
        {'version': 'x', 'base_version': 2, 'resources': []},
        {},
        [],
        None,
    ]

    async def scenario(_group, client):
        await put(client, good)
        statuses = [await put(client, document) for document in bad]
        cut = await client.put(PATH, data=json.dumps(good)[:-5])
        back = await (await client.get(PATH)).json()
        return statuses, cut.status, back['version']

    statuses, cut, version = run_scenario(tmp_path, scenario)
    assert all(400 <= status < 500 for status in [*statuses, cut])
    assert version == 2


def test_host_without_a_quorum_responds_unavailable(tmp_path):
    async def scenario(group, client):
        await put(client, platform_setup.configuration(version=2))
        group.lost = True
        read = (await client.get(PATH)).status
        change = platform_setup.configuration(version=3, base=2)
        return read, await put(client, change)

    assert run_scenario(tmp_path, scenario) == (503, 503)


def test_large_configurations_are_accepted(tmp_path):
    """Guards against a valid change that is never acknowledged.

    It adds hundreds of routes, and its body is larger than 64 KiB.  It failed
    when the listener had the body limit of small calls.
    """
    routes = [
        platform_setup.route('r-%d' % n, path_prefix='/p%d/' % n)
        for n in range(700)
    ]
    sent = platform_setup.configuration(*routes, version=2)
    assert len(json.dumps(sent)) > 128 * 1024

    async def scenario(_group, client):
        return await put(client, sent)

    assert run_scenario(tmp_path, scenario) == 200


# Heartbeats

HEARTBEAT = {
    'service': 's',
    'address': '10.0.0.9:80',
    'slots': 4,
    'state': 'ready',
    'seq': 1,
    'born': 1_790_000_000_000,
}


def test_heartbeats_and_leave_announce_drain_and_end_an_upstream():
    published = []
    registry = registries.Registry(6.0, published.append, '10.0.0.1:1')
    local = localapi.LocalApi(
        '127.0.0.1:1',
        upstreams.UpstreamHandlers(
            registry, fakes.Departures(), 's'.__eq__
        ).routes(),
    )

    async def scenario():
        client = test_utils.TestClient(test_utils.TestServer(local.app))
        await client.start_server()

        async def heartbeat(name='i-1', **changes):
            path = '/carawaystair/instances/%s' % name
            answer = await client.put(path, json={**HEARTBEAT, **changes})
            return answer.status

        try:
            found = [
                await heartbeat(seq=4),
                await heartbeat(seq=4),
                await heartbeat(seq=3),
                await heartbeat(seq=5, state='draining'),
                await heartbeat(seq=6),
                await heartbeat(seq=7, slots='many'),
                await heartbeat(seq=8, address='nowhere'),
            ]
            gone = await client.delete('/carawaystair/instances/i-1')
            return found, gone.status
        finally:
            await client.close()

    found, gone = asyncio.run(scenario())
    # Late heartbeats and a return from draining are refused; a repeated
    # heartbeat is not.
    assert found == [200, 200, 409, 200, 409, 400, 400]
    assert gone == 200
    assert registry.rows() == ()


def test_successor_at_an_address_ends_the_lease_of_a_crashed_upstream():
    """Guards against half of the requests being sent to a crashed upstream.

    An upstream crashes and another one starts at its address.  It failed when
    the lease of the first one stayed until it expired.
    """
    registry = registries.Registry(6.0, lambda urgent: None, '10.0.0.1:1')

    async def scenario():
        for name in ('i-1', 'i-2'):
            announcement = registries.Announcement('s', '10.0.0.9:80', 4)
            registry.announce(name, announcement, 1, 5)
        first = [row.id for row in registry.rows()]
        # A delayed heartbeat of the first one must not renew its lease.
        announcement = registries.Announcement('s', '10.0.0.9:80', 4)
        late = registry.announce('i-1', announcement, 1, 4)
        return first, late.is_error(), [row.id for row in registry.rows()]

    assert asyncio.run(scenario()) == (['i-2'], True, ['i-2'])
