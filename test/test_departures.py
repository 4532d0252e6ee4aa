"""Tests of departures that outlive the process that acknowledged them."""

import asyncio

from aiohttp import test_utils
from aiohttp import web
import pytest

from carawaystair import clock
from carawaystair import codes
from carawaystair.membership import bounds
from carawaystair.membership import departure_memory
from carawaystair.membership import departures
from carawaystair.membership import messages
from test import fakes
from test import test_membership as membership_tests

DRAINING, GONE = range(2)
PATH = '/v1/upstreams/a'
BODY = {'service': 'stock', 'address': '127.0.0.1:9000', 'slots': 4}


async def start_fleet(network, **settle):
    """Start four processes; the others' memory is older than departures."""
    nodes = await membership_tests.start_fleet(network, 4, **settle)
    for node in nodes:
        node.departures.store.complete_at = clock.now()
    return nodes


async def start_next(network, node):
    """Kill the process of a host and start the next one."""
    membership_tests.crash(network, node)
    network.heal()
    number = int(node.identity.host[-3:])
    following = membership_tests.make_node(
        network, number, incarnation=node.incarnation + 1
    )
    await following.start()
    return following


async def call(node, method, path=PATH, **changes):
    """Call the local API of a node; return the status."""
    app = web.Application()
    app.add_routes(node.routes())
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        body = {'json': BODY | changes} if method == 'PUT' else {}
        return (await client.request(method, path, **body)).status


@pytest.mark.parametrize('given', [{}, {'incarnation': 5}])
@pytest.mark.parametrize('state', ['draining', 'gone'])
def test_late_announcement_after_a_kill_does_not_bring_an_upstream_back(
    state, given
):
    """Guards against a process that forgets what the one before confirmed."""

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, settle_s=1.5)
        statuses = [await call(nodes[2], 'PUT', **given)]
        if state == 'gone':
            path = PATH + ('?incarnation=5' if given else '')
            statuses.append(await call(nodes[2], 'DELETE', path))
        else:
            leaving = {'state': state, **given}
            statuses.append(await call(nodes[2], 'PUT', **leaving))
        following = await start_next(network, nodes[2])
        statuses.append(await call(following, 'PUT', **given))
        rows = following.registry.rows()
        newer = {'incarnation': 2**42}
        statuses.append(await call(following, 'PUT', **newer))
        for node in (*nodes, following):
            await node.stop()
        return statuses, rows

    assert asyncio.run(_run()) == ([200, 200, 409, 200], ())


def run(steps):
    """Run the steps of a test with four nodes in virtual time."""

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network)
        await steps(network, nodes)

    fakes.run(_run())


async def remove(node, name='a'):
    """Remove an upstream; return the result of what others confirm."""
    assert node.registry.remove(name).is_ok()
    return await node.departures.keep(name)


def test_departure_that_no_other_process_confirms_is_not_acknowledged():
    """Guards against a confirmation that is lost with its process."""

    async def _steps(network, nodes):
        others = [node.identity.peer for node in nodes if node is not nodes[2]]
        network.cut([nodes[2].identity.peer], others)
        kept = await remove(nodes[2])
        assert kept.error.code is codes.DEPARTURE_NOT_KEPT
        network.heal()
        assert (await remove(nodes[2])).is_ok()

    run(_steps)


def test_departure_is_kept_although_one_keeper_has_died():
    async def _steps(network, nodes):
        # One of its keepers has died, which the node does not know yet.
        node = nodes[2]
        node.departures.seeds = [n.identity.peer for n in nodes]
        membership_tests.crash(network, nodes[0])
        assert nodes[0].identity.peer in node.departures.keepers()
        assert (await remove(node)).is_ok()

    run(_steps)


def test_single_process_confirms_by_itself():
    async def _run():
        node = membership_tests.make_node(fakes.Network(), 0, seeds=())
        await node.start()
        assert (await node.departures.wait_accepting()).is_ok()
        assert (await remove(node)).is_ok()

    fakes.run(_run())


def test_upstreams_wait_for_the_seeds_after_a_start_but_not_for_ever():
    """Guards against hosts that never serve while control is away."""

    async def _run():
        node = membership_tests.make_node(fakes.Network(), 2)
        await node.start()
        refused = await node.departures.wait_accepting()
        assert refused.error.code is codes.REGISTRY_STARTING
        await asyncio.sleep(departures.MAX_RECALL_S)
        assert (await node.departures.wait_accepting()).is_ok()

    fakes.run(_run())


@pytest.mark.parametrize('given', [0, 5])
def test_departure_that_is_recalled_late_ends_a_lease(given):
    """Guards against requests to an upstream that left, when the seeds could
    not be asked before it was announced.
    """

    async def _run():
        network = fakes.Network()
        nodes = await membership_tests.start_fleet(network, 4)
        membership_tests.announce(nodes[2], 'a', incarnation=given)
        assert (await remove(nodes[2])).is_ok()
        others = [node.identity.peer for node in nodes if node is not nodes[2]]
        membership_tests.crash(network, nodes[2])
        following = membership_tests.make_node(network, 2, incarnation=2)
        network.cut([following.identity.peer], others)
        await following.start()
        await asyncio.sleep(departures.MAX_RECALL_S + 1.0)
        assert membership_tests.announce(
            following, 'a', incarnation=given
        ).is_ok()
        network.heal()
        await asyncio.sleep(2 * departures.LATER_RETRY_S)
        assert following.registry.rows() == ()

    fakes.run(_run())


def test_removal_before_the_recall_is_not_undone_by_it():
    async def _steps(network, nodes):
        membership_tests.announce(nodes[2], 'a', 'draining')
        assert (await nodes[2].departures.keep('a')).is_ok()
        following = await start_next(network, nodes[2])
        following.registry.remove('a')
        assert (await following.departures.wait_accepting()).is_ok()
        assert following.registry.lifetimes.by_id['a'][:3] == (1, 0, 'gone')

    run(_steps)


@pytest.mark.parametrize(
    ('known', 'new', 'together'),
    [
        ((5, DRAINING), (5, GONE), (5, GONE)),
        ((5, GONE), (5, DRAINING), (5, GONE)),
        ((5, GONE), (9, DRAINING), (9, DRAINING)),
        ((9, DRAINING), (5, GONE), (9, DRAINING)),
        ((5, DRAINING), (0, GONE), (5, GONE)),
        ((0, GONE), (5, DRAINING), (5, GONE)),
    ],
)
def test_later_departure_of_an_upstream_counts(known, new, together):
    memory = departure_memory.DepartureMemory()
    memory.add('h', messages.Departure('a', *known, 9000), 100.0)
    memory.add('h', messages.Departure('a', *new, 1000), 101.0)
    assert memory.of_host('h', 102.0) == (
        messages.Departure('a', *together, 7000),
    )
    assert memory.of_host('h', 109.0) == memory.of_host('g', 102.0) == ()


def test_memory_of_departures_is_bounded():
    memory = departure_memory.DepartureMemory()
    for number in range(2 * departure_memory.MAX_DEPARTURES):
        memory.add('h', messages.Departure(str(number), 1, GONE, 9000), 0.0)
    assert len(memory.of_host('h', 0.0)) == departure_memory.MAX_DEPARTURES
    for number in range(3):
        host = 'h%d' % number
        memory.add(host, messages.Departure('a', 1, GONE, 9000), 10.0)
    assert list(memory.by_host) == ['h0', 'h1', 'h2']


@pytest.mark.parametrize(
    'invalid',
    [
        messages.Departure('', 1, GONE, 9000),
        messages.Departure('a', -1, GONE, 9000),
        messages.Departure('a', 1, 2, 9000),
        messages.Departure('a', 1, GONE, 0),
        messages.Departure('a', 1, GONE, bounds.MAX_REMAINING_MS + 1),
    ],
)
def test_invalid_departures_are_not_kept(invalid):
    async def _steps(_network, nodes):
        message = messages.KeepDepartures('h9', (invalid,))
        answer = await nodes[0].transport.call(
            nodes[1].identity.peer, message, 1.0
        )
        assert answer.is_error()
        assert not nodes[1].departures.memory.by_host

    run(_steps)
