"""Tests of valid and invalid heartbeats and leaves of upstreams."""

import asyncio
import json

from aiohttp import test_utils
from aiohttp import web
import hypothesis
from hypothesis import strategies
import pytest

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.membership import registry as registries
from test import fakes
from test import platform_setup  # makes the next import possible

from adapter import fields
from adapter import upstreams

PATH = '/carawaystair/instances/%s'
SERVICES = ('huvo11a', 'kafi81c')
HEARTBEAT = platform_setup.HEARTBEAT
BORN = HEARTBEAT['born']


def encoded(**changes) -> bytes:
    """Return a heartbeat with fields changed; None removes a field."""
    heartbeat = {**HEARTBEAT, **changes}
    kept = {
        key: value for key, value in heartbeat.items() if value is not None
    }
    return json.dumps(kept).encode()


class Host:
    """A host to which tests send the calls of upstreams."""

    def __init__(self, client, registry) -> None:
        self.client = client
        self.registry = registry

    async def put(self, data: bytes, name: str = 'i-1') -> tuple[int, str]:
        """Send a heartbeat; return status and message."""
        return await _response(await self.client.put(PATH % name, data=data))

    async def delete(self, data: bytes = b'', name: str = 'i-1'):
        """Send a leave; return status and message."""
        return await _response(
            await self.client.delete(PATH % name, data=data)
        )

    def announced(self):
        """Return the upstreams that the host announces."""
        return [
            (row.id, row.incarnation, row.slots, row.warmup_ms, row.state)
            for row in self.registry.rows()
        ]


async def _response(answer) -> tuple[int, str]:
    body = await answer.json()
    return answer.status, body.get('message', '')


def run(steps) -> None:
    """Run the steps of a test against one host."""

    async def _run():
        registry = registries.Registry(6.0, lambda urgent: None, '10.0.0.1:1')
        app = web.Application()
        handlers = upstreams.UpstreamHandlers(
            registry, fakes.Departures(), SERVICES.__contains__
        )
        app.add_routes(handlers.routes())
        server = test_utils.TestServer(app)
        async with test_utils.TestClient(server) as client:
            await steps(Host(client, registry))

    asyncio.run(_run())


# Incarnations


def test_start_time_becomes_the_incarnation():
    heartbeat = upstreams.parse_heartbeat(encoded())
    assert heartbeat.announcement.incarnation == BORN
    assert heartbeat.announcement.state == interfaces.UP


def test_restarted_upstream_does_not_keep_its_old_state():
    """Guards against a restarted upstream being refused, or announced with
    the slots and the warm-up of its former incarnation.

    An upstream sends heartbeats, crashes and starts again under the same id.
    It failed when sequence numbers and warm-up were kept by id.
    """

    async def _steps(host):
        assert await host.put(encoded(cold_remaining='0ms', seq=90)) == (
            200,
            '',
        )
        new = BORN + 5000
        heartbeat = encoded(born=new, seq=1, slots=2, cold_remaining='3s')
        assert (await host.put(heartbeat))[0] == 200
        assert host.announced() == [('i-1', new, 2, 3000, 0)]
        # Heartbeats send the rest of the warm-up; the fleet counts it down by
        # itself from the first one.
        later = encoded(born=new, seq=2, slots=2, cold_remaining='1s')
        assert (await host.put(later))[0] == 200
        assert host.announced() == [('i-1', new, 2, 3000, 0)]

    run(_steps)


@pytest.mark.parametrize('born', [BORN, None])
def test_upstream_that_left_by_its_answers_is_not_brought_back(born):
    """Guards against heartbeats as ready that bring work to an upstream whose
    answers say that it leaves, and against refusing them, which would end its
    lease.
    """

    async def _steps(host):
        assert (await host.put(encoded(born=born, seq=1)))[0] == 200
        host.registry.drain('i-1')
        for seq in (2, 3):
            assert (await host.put(encoded(born=born, seq=seq)))[0] == 200
            assert [row[-1] for row in host.announced()] == [1]
        draining = encoded(born=born, seq=4, state='draining')
        assert (await host.put(draining))[0] == 200
        # Its next lifetime is free of it.
        name, born_later = ('i-1', BORN + 5000) if born else ('i-2', None)
        later = encoded(born=born_later, seq=1)
        assert (await host.put(later, name))[0] == 200
        assert host.announced()[-1][-1] == 0

    run(_steps)


@pytest.mark.parametrize('announced', [True, False])
@pytest.mark.parametrize('late_s', [0.0, 6.1, 29.0])
def test_late_heartbeat_after_a_leave_is_refused(announced, late_s):
    """Guards against requests to an upstream that left, at any node."""

    async def _steps(host):
        if announced:
            assert (await host.put(encoded(born=None, seq=7)))[0] == 200
        assert (await host.delete())[0] == 200
        host.registry.expire(clock.now() + late_s, 0.0)
        assert (await host.put(encoded(born=None, seq=8)))[0] == 409
        assert host.announced() == []

    run(_steps)


def test_late_calls_of_a_former_incarnation_are_refused():
    """Guards against draining or removing an upstream that has just started.

    A call of its former incarnation arrives after the first heartbeat of the
    new one.  It was taken for a new call when calls were distinguished by id
    and sequence number only.
    """

    async def _steps(host):
        await host.put(encoded(seq=90))
        await host.put(encoded(born=BORN + 5000, seq=1))
        before = host.announced()
        late = encoded(seq=91, state='draining')
        assert (await host.put(late))[0] == 409
        leave = json.dumps({'born': BORN, 'seq': 92}).encode()
        status, message = await host.delete(leave)
        assert (status, bool(message)) == (409, True)
        assert host.announced() == before
        leave = json.dumps({'born': BORN + 5000}).encode()
        assert (await host.delete(leave))[0] == 200
        assert host.announced() == []

    run(_steps)


def test_leave_without_a_body_ends_the_current_incarnation():
    async def _steps(host):
        await host.put(encoded())
        assert (await host.delete())[0] == 200
        assert host.announced() == []
        assert (await host.delete(name='unknown'))[0] == 200

    run(_steps)


def test_upstreams_without_start_times_are_accepted():
    """Guards against a deployment whose upstreams get no requests at all.

    Its heartbeats had no ``born``, as in the deployment's own examples.  Each
    got status 400, and 863 of 863 calls failed in one run.
    """

    async def _steps(host):
        undated = encoded(born=None)
        assert (await host.put(undated))[0] == 200
        ((name, incarnation, *_rest),) = host.announced()
        assert name == 'i-1'
        assert 0 < incarnation < BORN
        assert (await host.put(encoded(born=None, seq=3)))[0] == 409
        later = encoded(born=None, seq=5, state='draining')
        assert (await host.put(later))[0] == 200
        assert host.announced()[0][-1] == 1

    run(_steps)


def test_successor_without_a_start_time_takes_the_address():
    """Guards against a late heartbeat that restores the predecessor of an
    upstream at its address.

    Where heartbeats have no ``born``, the order of the first heartbeats is
    the order of the incarnations.
    """

    async def _steps(host):
        await host.put(encoded(born=None), 'i-1')
        await asyncio.sleep(1.1)
        await host.put(encoded(born=None, seq=1), 'i-2')
        assert (await host.put(encoded(born=None, seq=5), 'i-1'))[0] == 409
        assert [row[0] for row in host.announced()] == ['i-2']

    run(_steps)


def test_first_start_time_ends_leases_without_one():
    """Guards against a heartbeat of another sender that keeps a lease, or
    that keeps the upstream out.

    It has no ``born`` and arrives before the first heartbeat of the upstream,
    when the host can't know yet that upstreams of this deployment send it.
    """

    async def _steps(host):
        foreign = encoded(born=None, seq=70, address='10.128.0.9:9999')
        await host.put(foreign, 'i-9')
        await host.put(foreign, 'i-1')
        assert (await host.put(encoded(seq=1)))[0] == 200
        assert [row[:2] for row in host.announced()] == [('i-1', BORN)]
        assert (await host.put(foreign, 'i-9'))[0] == 400

    run(_steps)


# Other senders

DEEP = b'{"service":' + b'[' * 5000 + b']' * 5000 + b'}'
MALFORMED = {
    'no-born': encoded(born=None),
    'born-true': encoded(born=True),
    'born-text': encoded(born='1790000000000'),
    'born-fraction': encoded(born=1790000000000.5),
    'born-float': encoded(born=1790000000000.0),
    'born-null': b'{"born":null,' + encoded(born=None)[1:],
    'born-zero': encoded(born=0),
    'born-negative': encoded(born=-5),
    'born-seconds': encoded(born=10**14),
    'born-huge': encoded(born=2**63),
    'born-twice': encoded()[:-1] + b',"born":1790000009000}',
    'seq-true': encoded(seq=True),
    'seq-negative': encoded(seq=-1),
    'seq-huge': encoded(seq=2**64),
    'no-seq': encoded(seq=None),
    'no-service': encoded(service=None),
    'service-number': encoded(service=5),
    'service-unknown': encoded(service='wuno96b'),
    'state-unknown': encoded(state='resting'),
    'state-list': encoded(state=['ready']),
    'slots-none': encoded(slots=0),
    'slots-huge': encoded(slots=10**9),
    'slots-true': encoded(slots=True),
    'slots-real': encoded(slots=2.5),
    'address-name': encoded(address='example.org:80'),
    'address-port': encoded(address='10.0.0.1:99999'),
    'address-list': encoded(address=['10.0.0.1', 80]),
    'cold-number': encoded(cold_remaining=3),
    'cold-nan': encoded(cold_remaining='nans'),
    'cold-day': encoded(cold_remaining='90000s'),
    'nan': encoded(born=None)[:-1] + b',"born":NaN}',
    'infinite': encoded(born=None)[:-1] + b',"born":1e999}',
    'digits': encoded(born=None)[:-1] + b',"born":' + b'9' * 5000 + b'}',
    'twice': encoded()[:-1] + b',"slots":1}',
    'deep': DEEP,
    'deeper': b'{"a":' * 60_000,
    'surrogate': encoded(service='\ud800'),
    'not-utf8': b'\xff\xfe' + encoded(),
    'not-utf8-inside': encoded().replace(b'huvo11a', b'huvo\xff1a'),
    'cut': encoded()[:-9],
    'list': b'[]',
    'number': b'7',
    'null': b'null',
    'empty': b'',
}


@pytest.mark.parametrize('kind', MALFORMED)
def test_malformed_heartbeat_changes_nothing(kind):
    """Guards against an upstream that gets no requests, or a node that fails,
    after a call that no upstream sent.

    After a valid heartbeat, another sender sends a malformed one, for the
    announced id and for another one.  It failed when fields that could not be
    parsed got a default value.
    """

    async def _steps(host):
        await host.put(encoded())
        before = host.announced()
        for name in ('i-1', 'i-2'):
            status, message = await host.put(MALFORMED[kind], name)
            assert 400 <= status < 500, message
            assert message
        assert host.announced() == before
        assert (await host.put(encoded(seq=5)))[0] == 200

    run(_steps)


@pytest.mark.parametrize(
    'data',
    [
        b'{}',
        b'null',
        b'{"born":true}',
        b'{"born":"5"}',
        b'{"born":5.0}',
        b'{"born":0}',
        b'{"born":-5}',
        b'{"born":1790000000000,"born":1790000000000}',
        b'{"born":1790000000000',
        b'\xff',
        b'[' * 5000,
    ],
)
def test_malformed_leave_changes_nothing(data):
    """Guards against a healthy upstream that gets no more requests.

    Another sender sends a leave for it, with a body that names no valid
    incarnation.  It was accepted when the body was not read.
    """

    async def _steps(host):
        await host.put(encoded())
        before = host.announced()
        status, message = await host.delete(data)
        assert 400 <= status < 500
        assert message
        assert host.announced() == before

    run(_steps)


def test_id_that_can_not_be_encoded_is_not_announced():
    async def _steps(host):
        for name in ('%FF', 'x' * 200, '%ED%A0%80'):
            status, _sentence = await host.put(encoded(), name)
            assert status in (200, 400)
        for row in host.registry.rows():
            assert row.id.encode()
            assert len(row.id) <= registries.MAX_NAME

    run(_steps)


def test_announced_upstream_may_drain_without_its_service():
    """Guards against an upstream that leaves without an acknowledgement.

    The configuration removes its service, then it drains.  Its heartbeat was
    refused when its service had to be a known one.
    """

    async def _run():
        services = set(SERVICES)
        registry = registries.Registry(6.0, lambda urgent: None, '10.0.0.1:1')
        app = web.Application()
        handlers = upstreams.UpstreamHandlers(
            registry, fakes.Departures(), lambda name: name in services
        )
        app.add_routes(handlers.routes())
        async with test_utils.TestClient(test_utils.TestServer(app)) as client:
            host = Host(client, registry)
            await host.put(encoded())
            services.clear()
            drain = encoded(seq=5, state='draining')
            assert (await host.put(drain))[0] == 200
            assert host.announced()[0][-1] == 1

    asyncio.run(_run())


LEAF = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(
        ['ready', 'draining', '3s', 'huvo11a', '10.0.0.1:80']
    )
)
VALUE = strategies.recursive(
    LEAF,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=6,
)
CHANGES = strategies.dictionaries(
    strategies.sampled_from(sorted(HEARTBEAT)), VALUE, max_size=4
)


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(
    CHANGES,
    strategies.sets(strategies.sampled_from(sorted(HEARTBEAT)), max_size=2),
)
def test_arbitrary_fields_are_parsed_to_valid_values_or_refused(
    changes, missing
):
    """Guards against a process that fails on a body from another sender.

    Fields are missing or have any type and value.
    """
    heartbeat = {**HEARTBEAT, **changes}
    kept = {key: heartbeat[key] for key in heartbeat if key not in missing}
    data = json.dumps(kept).encode()
    for text in (data, data[: len(data) // 2], data + b'}'):
        try:
            found = upstreams.parse_heartbeat(text)
        except fields.Malformed as error:
            assert str(error)
            continue
        assert type(found.sequence) is int
        incarnation = found.announcement.incarnation
        assert 0 <= incarnation < 2**63
        assert bool(incarnation) == ('born' in kept)
        assert found.announcement.state in (
            interfaces.UP,
            interfaces.DRAINING,
        )


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=64))
def test_arbitrary_bytes_are_parsed_or_refused(data):
    for parse in (upstreams.parse_heartbeat, upstreams.parse_leave):
        try:
            parse(data)
        except fields.Malformed as error:
            assert str(error)
