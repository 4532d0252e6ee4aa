"""Tests of the registry of leases and of the local HTTP API."""

import asyncio

from aiohttp import test_utils
from aiohttp import web
import pytest

from carawaystair import codes
from carawaystair.membership import registry as registries
from carawaystair.membership import service
from soak import entries
from test import fakes
from test import test_membership as membership_tests

ANNOUNCEMENT = registries.Announcement('stock', '127.0.0.1:9000', 4)


class RecordedRegistry:
    """A registry that records whether each publication was urgent."""

    def __init__(self, lease_s=6.0):
        self.urgent = []
        self.registry = registries.Registry(lease_s, self.urgent.append)

    def announce(self, **fields):
        """Announce the upstream ``a`` with the given fields."""
        return self.registry.announce('a', ANNOUNCEMENT._replace(**fields), 77)


def test_renewals_are_not_published_but_an_expired_lease_is():
    async def _run():
        recorded = RecordedRegistry()
        await recorded.registry.start()
        for _renewal in range(5):
            recorded.announce()
            await asyncio.sleep(3)
        assert recorded.urgent == [False]
        assert recorded.registry.rows()[0].incarnation == 77
        await asyncio.sleep(4)
        assert recorded.urgent == [False, True]
        assert recorded.registry.rows() == ()
        # Its lease expired, but it did not leave, so it is accepted again.
        assert recorded.announce().is_ok()
        await recorded.registry.stop()

    fakes.run(_run())


def test_a_delayed_renewal_does_not_undo_a_drain():
    """A drain overtakes the renewal that was sent before it.

    If the last announcement to arrive were decisive, the renewal would undo
    the drain, and the draining upstream would get new requests.
    """

    async def _run():
        recorded = RecordedRegistry()
        recorded.announce(incarnation=5)
        recorded.announce(incarnation=5, state='draining')
        delayed = recorded.announce(incarnation=5)
        assert delayed.error.code == codes.ANNOUNCEMENT_OLD
        recorded.registry.remove('a', 5)
        delayed = recorded.announce(incarnation=5, state='draining')
        assert delayed.error.code == codes.ANNOUNCEMENT_OLD
        assert recorded.announce(incarnation=4).is_error()
        assert recorded.announce(incarnation=6).is_ok()
        # The removal of the previous incarnation does not end the new one.
        assert recorded.registry.remove('a', 5).is_error()
        assert len(recorded.registry.rows()) == 1

    fakes.run(_run())


def test_a_removal_without_incarnation_is_remembered_for_a_lease():
    async def _run():
        recorded = RecordedRegistry()
        recorded.announce()
        recorded.registry.remove('a')
        assert recorded.announce().is_error()
        recorded.registry.expire(asyncio.get_running_loop().time() + 6.1, 0)
        assert recorded.announce().is_ok()

    fakes.run(_run())


@pytest.mark.parametrize('incarnation', [0, 5])
def test_removal_without_a_lease_is_remembered(incarnation):
    """Guards against a late announcement that brings an upstream back."""

    async def _run():
        recorded = RecordedRegistry()
        assert recorded.registry.remove('a', incarnation).is_ok()
        late = recorded.announce(incarnation=incarnation)
        assert late.is_error()
        assert late.error.code == codes.ANNOUNCEMENT_OLD
        assert recorded.registry.rows() == ()
        assert recorded.announce(incarnation=6).is_ok()

    fakes.run(_run())


def test_removal_without_incarnation_is_remembered_for_a_lease_without_one():
    """Guards against refusing an upstream that runs for longer than that."""

    async def _run():
        recorded = RecordedRegistry()
        recorded.registry.remove('a')
        recorded.registry.expire(asyncio.get_running_loop().time() + 6.1, 0)
        assert recorded.announce().is_ok()

    fakes.run(_run())


@pytest.mark.parametrize('again', [{}, {'incarnation': 5}])
def test_repeated_removal_does_not_shorten_the_memory_of_the_first(again):
    """Guards against a late announcement after a removal that was repeated."""

    async def _run():
        recorded = RecordedRegistry()
        recorded.announce(incarnation=5)
        recorded.registry.remove('a', 5)
        recorded.registry.remove('a', **again)
        recorded.registry.expire(asyncio.get_running_loop().time() + 6.1, 0)
        assert recorded.announce(incarnation=5).is_error()
        assert recorded.announce().is_error()

    fakes.run(_run())


def test_no_lease_expires_because_of_a_stall():
    """The process stalls for longer than the duration of a lease.

    During a stall of ten seconds, renewals wait in the socket.  If leases
    expired by the clock before the renewals are read, all upstreams of the
    host would be gone at once.
    """

    async def _run():
        recorded = RecordedRegistry()
        recorded.announce()
        recorded.registry.expire(10.0, 9.75)
        assert len(recorded.registry.rows()) == 1
        recorded.registry.expire(16.0, 0.0)
        assert recorded.registry.rows() == ()

    fakes.run(_run())


@pytest.mark.parametrize(
    'invalid',
    [
        {'address': 'example.org:80'},
        {'slots': 0},
        {'weight': 0.0},
        {'weight': float('nan')},
        {'warmup_s': -1.0},
        {'service': ''},
        {'incarnation': -1},
    ],
)
def test_invalid_announcements_are_refused(invalid):
    async def _run():
        refused = RecordedRegistry().announce(**invalid)
        assert refused.error.code == codes.ANNOUNCEMENT_INVALID

    fakes.run(_run())


def test_the_number_of_upstreams_of_a_host_is_limited():
    async def _run():
        recorded = RecordedRegistry()
        for number in range(registries.MAX_UPSTREAMS):
            recorded.registry.announce('u%d' % number, ANNOUNCEMENT, 1)
        refused = recorded.announce()
        assert refused.error.code == codes.TOO_MANY_UPSTREAMS
        assert recorded.registry.announce('u3', ANNOUNCEMENT, 1).is_ok()

    fakes.run(_run())


def test_upstreams_are_announced_listed_and_removed_by_http():
    async def _run():
        node = membership_tests.make_node(fakes.Network(), 0, seeds=())
        await node.start()
        app = web.Application()
        app.add_routes(node.routes())
        async with test_utils.TestClient(test_utils.TestServer(app)) as client:
            path = '/v1/upstreams/a'
            fields = {
                'service': 'stock',
                'address': '127.0.0.1:9000',
                'slots': 4,
                'incarnation': 9,
            }
            answer = await client.put(path, json=fields)
            body = await answer.json()
            assert answer.status == 200
            assert (body['lease_s'], body['state']) == (6.0, 'up')
            answer = await client.put(path, json=fields | {'solts': 4})
            assert answer.status == 400
            assert 'did you mean' in (await answer.json())['text']
            answer = await client.put(path, data=b'{')
            assert (await answer.json())['code'] == 'CS-7005'
            # New upstreams are published after a delay.
            await asyncio.sleep(service.PUBLISH_DELAY_S * 1.5)
            answer = await client.get('/v1/upstreams')
            listed = (await answer.json())['services']['stock']
            assert listed[0]['id'] == 'a'
            answer = await client.delete(path + '?incarnation=8')
            assert answer.status == 409
            answer = await client.delete(path + '?incarnation=9')
            assert answer.status == 200
            answer = await client.put(path, json=fields)
            assert (await answer.json())['code'] == 'CS-7006'
        await node.stop()

    asyncio.run(_run())


def test_malformed_announcements_are_refused_and_change_nothing():
    """Another program sends malformed bodies to the local API of a node.

    Among them are thousands of nested lists, at which the decoder reaches its
    depth limit and raises an error of another type.  If that weren't caught,
    the node would answer 500 and log a traceback.
    """

    async def _run():
        node = membership_tests.make_node(fakes.Network(), 0)
        await node.start()
        node.registry.announce('a', ANNOUNCEMENT, 5)
        before = node.registry.rows()
        app = web.Application()
        app.add_routes(node.routes())
        async with test_utils.TestClient(test_utils.TestServer(app)) as client:
            answers = [
                (body[:20], (await client.put(path, data=body)).status)
                for path in ('/v1/upstreams/a', '/v1/upstreams/b')
                for body in entries.MALFORMED
            ]
        assert [each for each in answers if not 400 <= each[1] < 500] == []
        assert node.registry.rows() == before
        await node.stop()

    asyncio.run(_run())
