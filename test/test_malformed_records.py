"""What other writers put into gossip and replicated state.

A record holds what many upstreams say; one that can't be used is left out,
and the others hold.
"""

import asyncio

from aiohttp import test_utils
from aiohttp import web
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from carawaystair.control import group as groups
from carawaystair.control import submissions
from carawaystair.membership import flooding
from carawaystair.membership import messages
from carawaystair.membership import table as tables
from carawaystair import rows
from carawaystair import wire
from test import fakes
from test import test_directory as directories
from test import test_membership as membership_tests
from test import test_membership_spread as spread

FIXED = hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
WRONG = {
    'state': 7,
    'state-negative': -1,
    'slots': 0,
    'slots-negative': -4,
    'slots-huge': 2**40,
    'weight': 0,
    'weight-huge': 2**40,
    'warmup_ms': -1,
    'warmup_ms-huge': 2**40,
    'address': '',
    'address-name': 'example.org:80',
    'address-port': '127.0.0.1:99999',
    'id': '',
    'id-long': 'x' * 1000,
    'service': '',
    'service-long': 'x' * 1000,
    'incarnation': -1,
    'incarnation-huge': 2**63,
    'sequence': -1,
    'sequence-huge': 2**63,
}


@pytest.mark.parametrize('kind', WRONG)
def test_malformed_upstream_in_a_record_leaves_the_others(kind):
    """Symptom: a process takes in no records any more, or divides by zero
    with each request.
    Sequence: a record of a peer has an upstream with a value that none can
    have, beside a sound one; a sound record follows in the same batch.
    Cause: values were checked at the host that announces, and nowhere else.
    """

    def _steps(it):
        field = kind.partition('-')[0]
        bad = directories.row('bad')._replace(**{field: WRONG[kind]})
        taken = [
            spread.make_record('h1', 1, 1, (directories.row('a'), bad)),
            spread.make_record('h2', 1, 1, (directories.row('b'),)),
        ]
        flooder = flooding.Flooder(it.table, fakes.Network().transport('x:1'))
        assert flooder.accept(taken) == 2
        assert it.ids() == [('a', 'h1'), ('b', 'h2')]

    directories.run(_steps)


def test_malformed_upstream_does_not_end_a_sound_one_of_its_id():
    """Symptom: an upstream is not listed any more.
    Sequence: another host announces its id with values that none can have.
    Cause: the higher incarnation won before it was checked.
    """

    def _steps(it):
        it.put('h1', 1, directories.row('a', incarnation=5))
        assert it.ids() == [('a', 'h1')]
        bad = directories.row('a', incarnation=9)._replace(slots=0)
        it.put('h2', 1, bad)
        assert it.ids() == [('a', 'h1')]
        assert [u for u in it.told if u[1] != 'h1'] == []

    directories.run(_steps)


@pytest.mark.parametrize(
    'changes',
    [
        {'host': ''},
        {'host': 'x' * 1000},
        {'incarnation': -1},
        {'incarnation': 2**63},
        {'incarnation': 2**50},
        {'sequence': -1},
        {'sequence': 2**64 - 1},
        {'body': b''},
        {'body': b'\xff' * 50},
    ],
)
def test_malformed_record_is_left_out(changes):
    """Symptom: a process can't send probes any more.
    Sequence: a record bears a number that grows beyond what travels.
    Cause: numbers of peers were taken as they came.
    """

    def _steps(it):
        sound = spread.make_record('h2', 1, 1, (directories.row('b'),))
        bad = spread.make_record('h1', 1, 1)._replace(**changes)
        flooder = flooding.Flooder(it.table, fakes.Network().transport('x:1'))
        assert flooder.accept([bad, sound]) == 1
        assert it.ids() == [('b', 'h2')]

    directories.run(_steps)


@pytest.mark.parametrize(
    'changes',
    [{'peer': ''}, {'peer': 'here'}, {'gossip': 'x:y'}, {'region': 'r' * 999}],
)
def test_record_without_a_way_to_its_host_is_left_out(changes):
    def _steps(it):
        bad = spread.make_record('h1', 1, 1)
        body = messages.unpack(bad.body)._replace(**changes)
        assert not it.table.put(bad._replace(body=messages.pack(body)))
        assert 'h1' not in it.table.entries

    directories.run(_steps)


@pytest.mark.parametrize('incarnation', [-1, 2**63, 2**64 - 1])
def test_malformed_news_of_a_host_changes_nothing(incarnation):
    """Symptom: a process numbers itself so high that it can't tell it.
    Sequence: somebody suspects it at a number that none can have.
    Cause: it refuted that by going above.
    """

    async def _run():
        node = membership_tests.make_node(fakes.Network(), 0)
        host = node.identity.host
        before = node.incarnation
        assert not node.table.apply_liveness(
            host, messages.SUSPECT, incarnation
        )
        assert node.incarnation == before
        node.table.put(spread.make_record('h1', 1, 1))
        assert not node.table.apply_liveness('h1', messages.DEAD, incarnation)
        assert node.table.entries['h1'].up

    fakes.run(_run())


def test_refused_records_are_told_a_bounded_number_of_times(monkeypatch):
    """Symptom: the log is full of one peer's malformed record.
    Sequence: it comes again with each comparison.
    Cause: each time was told.
    """
    lines = []

    class _Log:
        def warning(self, *_args, **_fields):
            lines.append(1)

    monkeypatch.setattr(tables, 'LOG', _Log())

    def _steps(it):
        bad = spread.make_record('h1', 1, 1)._replace(body=b'')
        for _time in range(500):
            it.table.put(bad)
        assert it.table.refused_records == 500
        assert 1 <= len(lines) <= 3

    directories.run(_steps)


# Any content

LEAF = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=6)
    | strategies.binary(max_size=6)
)
VALUE = strategies.recursive(
    LEAF,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=2
        )
    ),
    max_leaves=8,
)
SOUND_ROW = directories.row('a')


@strategies.composite
def some_rows(draw):
    """Draw rows with a few fields of any value, as they travel."""
    found = []
    for number in range(draw(strategies.integers(0, 3))):
        fields = list(SOUND_ROW._replace(id='r%d' % number))
        for _change in range(draw(strategies.integers(0, 2))):
            place = draw(strategies.integers(0, len(fields) - 1))
            fields[place] = draw(LEAF)
        found.append(fields)
    return found


@FIXED
@hypothesis.given(some_rows())
def test_any_rows_of_a_record_leave_the_others(drawn):
    def _steps(it):
        address = '127.0.0.1:1'
        body = ['dc', 'region', address, address, False, drawn]
        packer = messages.zlib.compress
        packed = packer(
            msgspec.msgpack.encode(body), wbits=messages.RAW_DEFLATE
        )
        taken = [
            messages.Record('h1', 1, 1, False, packed),
            spread.make_record('h2', 1, 1, (directories.row('b'),)),
        ]
        flooder = flooding.Flooder(it.table, fakes.Network().transport('x:1'))
        flooder.accept(taken)
        assert ('b', 'h2') in it.ids()
        for service in it.directory.services():
            for upstream in it.directory.upstreams(service):
                assert upstream.slots > 0
                assert upstream.state in ('up', 'draining')

    directories.run(_steps)


@FIXED
@hypothesis.given(
    VALUE, strategies.sampled_from(sorted(wire.registered())), LEAF
)
def test_any_message_is_decoded_or_refused(value, kind, other):
    """Symptom: a process ends at a datagram.
    Sequence: content of any shape behind a sound header.
    Cause: an error of the decoder that was not thought of.
    """
    for head in ([1, kind, 'x:1'], [1, kind, other], [other, kind, 'x:1']):
        first = msgspec.msgpack.encode(head)
        size = bytes((len(first) >> 8, len(first) & 255))
        data = size + first + msgspec.msgpack.encode(value)
        for text in (data, data[:-1], data + b'\xc1'):
            result = wire.decode(text)
            if result.is_error():
                assert result.error.sentence()


@FIXED
@hypothesis.given(strategies.binary(max_size=80))
def test_any_bytes_are_decoded_or_refused(data):
    assert wire.decode(data).is_error() or data
    messages.unpack(data)
    submissions.decode(data)
    groups.decode(data)


def test_deep_nesting_is_refused():
    """Symptom: a process ends at a message of a few kilobytes.
    Sequence: arrays in arrays, a hundred thousand deep.
    Cause: the decoder's own stack.
    """
    deep = b'\x91' * 100_000 + b'\x90'
    head = msgspec.msgpack.encode([1, 62, 'x:1'])
    assert wire.decode(bytes((0, len(head))) + head + deep).is_error()
    packed = messages.zlib.compress(deep, wbits=messages.RAW_DEFLATE)
    assert messages.unpack(packed) is None
    assert submissions.decode(b'p' + deep) is None


@FIXED
@hypothesis.given(VALUE)
def test_any_entry_of_the_log_leaves_the_state(value):
    """Symptom: no replica starts any more.
    Sequence: an entry of the log holds what no change can be.
    Cause: applying it failed, here and at each start again.
    """
    data = msgspec.msgpack.encode(value)
    machine = submissions.Submissions()
    sound = submissions.encode(
        submissions.Change(
            'one',
            'me',
            'submit',
            1,
            b'c',
            b'',
            rows.digest({'a': b'b'}),
            (('a', b'b'),),
            (),
        )
    )
    for number, entry in enumerate((data, b'p' + data, b'z' + data, b'')):
        machine.apply(rows.Version(1, number + 1), entry)
    before = machine.version
    machine.apply(rows.Version(1, 9), sound)
    assert (before, machine.version) == (rows.NONE, rows.Version(1, 9))
    assert machine.table == {'a': b'b'}


@FIXED
@hypothesis.given(strategies.binary(max_size=60), VALUE)
def test_any_members_of_a_group_are_read_or_left_out(data, value):
    """Symptom: a control host ends at an entry about its group.
    Sequence: the entry holds no group.
    Cause: reading it raised.
    """
    for text in (data, msgspec.msgpack.encode(value)):
        found = groups.decode(text)
        assert found is None or isinstance(found, groups.Group)


@pytest.mark.parametrize(
    'data',
    [
        b'[' * 5000,
        b'\xff',
        b'{"service":"s","service":"t","address":"127.0.0.1:1","slots":1}',
        b'{"service":"\\ud800","address":"127.0.0.1:1","slots":1}',
        b'{"service":"s","address":"127.0.0.1:1","slots":1e999}',
        b'{"service":"s","address":"127.0.0.1:1","slots":'
        + b'9' * 5000
        + b'}',
    ],
)
def test_malformed_announcement_at_the_local_interface(data):
    """Symptom: the local interface answers 500.
    Sequence: an announcement of another writer.
    Cause: errors of the decoder that were not thought of.
    """

    async def _run():
        node = membership_tests.make_node(fakes.Network(), 0)
        app = web.Application()
        app.add_routes(node.routes())
        async with test_utils.TestClient(test_utils.TestServer(app)) as client:
            answer = await client.put('/v1/upstreams/a', data=data)
            assert answer.status == 400
            assert (await answer.json())['code'] == 'CS-7005'
            path = '/v1/upstreams/a?incarnation=' + '9' * 5000
            answer = await client.delete(path)
            assert answer.status == 400
            assert node.registry.rows() == ()

    asyncio.run(_run())


@pytest.mark.parametrize('state', [-5, messages.LEFT, 7])
def test_malformed_state_in_news_changes_nothing(state):
    """Symptom: a process ends when it forgets old hosts.
    Sequence: news of a host with a state that none can have, or one that
    only its own record can tell.
    Cause: the state was kept as it came.
    """

    def _steps(it):
        it.put('h1', 1)
        incarnation = messages.first_incarnation(1) + 5
        assert not it.table.apply_liveness('h1', state, incarnation)
        assert it.table.entries['h1'].state == messages.ALIVE

    directories.run(_steps)


@pytest.mark.parametrize(
    'data',
    [
        b'noise',
        b'',
        messages.pack_versions(()) + b'more',
        messages.pack_versions((messages.Version('h', 1, 1),))[:-2],
        messages.pack_versions((('h', 'x', 1),)),
        messages.pack_versions((messages.Version('x' * 100, 1, 1),) * 1000),
    ],
)
def test_offer_that_can_not_be_read_is_refused_and_counted(data):
    """Guards against a malformed offer that ends the feeds of others."""

    async def _run():
        network = fakes.Network()
        nodes = await membership_tests.start_fleet(network, 2)
        told = await nodes[0].transport.call(
            nodes[1].identity.peer, messages.Offer(data), 1.0
        )
        assert told.ok == messages.Wanted(())
        membership_tests.announce(nodes[0], 'a')
        await asyncio.sleep(1)
        assert membership_tests.upstream_states(nodes[1]) == {'a': 'up'}
        return nodes[1].flooder.malformed_offers

    assert fakes.run(_run()) == (0 if data.endswith(b'more') else 1)
