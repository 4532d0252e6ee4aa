"""Tests of the registry of leases and of its HTTP interface."""

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

SAID = registries.Announcement('stock', '127.0.0.1:9000', 4)


class Changes:
    """A registry and what it published."""

    def __init__(self, lease_s=6.0):
        self.urgent = []
        self.registry = registries.Registry(lease_s, self.urgent.append)

    def say(self, **changes):
        """Announce the upstream ``a``."""
        return self.registry.announce('a', SAID._replace(**changes), 77)


def test_renewals_stay_local_and_an_end_is_published():
    async def _run():
        changes = Changes()
        await changes.registry.start()
        for _time in range(5):
            changes.say()
            await asyncio.sleep(3)
        assert changes.urgent == [False]
        assert changes.registry.rows()[0].incarnation == 77
        await asyncio.sleep(4)
        assert changes.urgent == [False, True]
        assert changes.registry.rows() == ()
        # It was late, it did not leave.
        assert changes.say().is_ok()
        await changes.registry.stop()

    fakes.run(_run())


def test_a_late_renewal_does_not_undo_a_drain():
    """A renewal is overtaken by the drain that was sent after it.

    Symptom: an upstream that drains gets new work.  Sequence: renewal and
    drain cross.  Cause: the last to arrive wins.
    """

    async def _run():
        changes = Changes()
        changes.say(incarnation=5)
        changes.say(incarnation=5, state='draining')
        late = changes.say(incarnation=5)
        assert late.error.code == codes.ANNOUNCEMENT_OLD
        changes.registry.remove('a', 5)
        late = changes.say(incarnation=5, state='draining')
        assert late.error.code == codes.ANNOUNCEMENT_OLD
        assert changes.say(incarnation=4).is_error()
        assert changes.say(incarnation=6).is_ok()
        # The leave of the start before does not end the new one.
        assert changes.registry.remove('a', 5).is_error()
        assert len(changes.registry.rows()) == 1

    fakes.run(_run())


def test_without_incarnation_a_leave_holds_for_a_lease():
    async def _run():
        changes = Changes()
        changes.say()
        changes.registry.remove('a')
        assert changes.say().is_error()
        changes.registry.expire(asyncio.get_running_loop().time() + 6.1, 0)
        assert changes.say().is_ok()

    fakes.run(_run())


def test_a_process_that_stood_still_ends_no_lease():
    """The process stands still for longer than a lease.

    Symptom: all upstreams of the host are gone at once.  Sequence: ten
    seconds of standstill, during which renewals wait in the socket.  Cause:
    leases are ended by the clock before the renewals are read.
    """

    async def _run():
        changes = Changes()
        changes.say()
        changes.registry.expire(10.0, 9.75)
        assert len(changes.registry.rows()) == 1
        changes.registry.expire(16.0, 0.0)
        assert changes.registry.rows() == ()

    fakes.run(_run())


@pytest.mark.parametrize(
    'wrong',
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
def test_wrong_announcements_are_refused(wrong):
    async def _run():
        refused = Changes().say(**wrong)
        assert refused.error.code == codes.ANNOUNCEMENT_INVALID

    fakes.run(_run())


def test_a_host_has_a_bounded_number_of_upstreams():
    async def _run():
        changes = Changes()
        for number in range(registries.MAX_UPSTREAMS):
            changes.registry.announce('u%d' % number, SAID, 1)
        refused = changes.say()
        assert refused.error.code == codes.TOO_MANY_UPSTREAMS
        assert changes.registry.announce('u3', SAID, 1).is_ok()

    fakes.run(_run())


def test_the_local_interface():
    async def _run():
        node = membership_tests.make_node(fakes.Network(), 0)
        await node.start()
        app = web.Application()
        app.add_routes(node.routes())
        async with test_utils.TestClient(test_utils.TestServer(app)) as client:
            path = '/v1/upstreams/a'
            said = {
                'service': 'stock',
                'address': '127.0.0.1:9000',
                'slots': 4,
                'incarnation': 9,
            }
            answer = await client.put(path, json=said)
            body = await answer.json()
            assert answer.status == 200
            assert (body['lease_s'], body['state']) == (6.0, 'up')
            answer = await client.put(path, json=said | {'solts': 4})
            assert answer.status == 400
            assert 'did you mean' in (await answer.json())['text']
            answer = await client.put(path, data=b'{')
            assert (await answer.json())['code'] == 'CS-7005'
            # Arrivals are gathered for a moment.
            await asyncio.sleep(service.GATHER_S * 1.5)
            answer = await client.get('/v1/upstreams')
            listed = (await answer.json())['services']['stock']
            assert listed[0]['id'] == 'a'
            answer = await client.delete(path + '?incarnation=8')
            assert answer.status == 409
            answer = await client.delete(path + '?incarnation=9')
            assert answer.status == 200
            answer = await client.put(path, json=said)
            assert (await answer.json())['code'] == 'CS-7006'
        await node.stop()

    asyncio.run(_run())


def test_what_another_writer_says_is_refused_and_changes_nothing():
    """Symptom: a node answers 500, and its log holds a trace of an error.
    Sequence: a program that isn't ours writes to a node's local API; among
    what it sends are thousands of lists within each other.
    Cause: the decoder raises an error of its own kind at its depth limit.
    """

    async def _run():
        node = membership_tests.make_node(fakes.Network(), 0)
        await node.start()
        node.registry.announce('a', SAID, 5)
        before = node.registry.rows()
        app = web.Application()
        app.add_routes(node.routes())
        async with test_utils.TestClient(test_utils.TestServer(app)) as client:
            got = [
                (body[:20], (await client.put(path, data=body)).status)
                for path in ('/v1/upstreams/a', '/v1/upstreams/b')
                for body in entries.MALFORMED
            ]
        assert [one for one in got if not 400 <= one[1] < 500] == []
        assert node.registry.rows() == before
        await node.stop()

    asyncio.run(_run())
