"""Tests of the administration API over HTTP on loopback."""

import asyncio
import copy
import json
import random
import types
import urllib.parse

from aiohttp import test_utils
import expression
import hypothesis
from hypothesis import strategies
import pytest

from carawaystair.admin import audit
from carawaystair.admin import capacity
from carawaystair.admin import changes
from carawaystair.admin import fields
from carawaystair.admin import fleet as fleets
from carawaystair.admin import gate
from carawaystair.admin import guard as guards
from carawaystair.admin import members
from carawaystair.admin import observe
from carawaystair.admin import resources
from carawaystair.admin import service
from carawaystair.admin import stops
from carawaystair.admin import teams
from carawaystair import codes
from carawaystair.control import disk
from carawaystair.control import files
from carawaystair.control import interfaces as control
from carawaystair.control import joining
from carawaystair.control import replica as replicas
from carawaystair.control import replicated
from carawaystair.control import submissions
from carawaystair import interfaces
from carawaystair import manifest as manifests
from carawaystair import publisher
from carawaystair import routing
from carawaystair import rows
from carawaystair import settings as settings_module
from carawaystair import timeline as timelines
from test import fakes
from test import test_admin_openapi
from test import test_manifest

CONTROL = '127.0.0.1:7000'
NODE = '127.0.0.1:7001'

MANIFEST = {
    'format': 1,
    'name': 'rvk',
    'regions': {'is-south': {'data_centres': ['rvk-a', 'rvk-b']}},
    'services': {
        'portal': {'team': 'portal', 'floor_percent': 50},
        'docvault': {'team': 'docs'},
    },
    'routes': [
        {'prefix': '/portal', 'service': 'portal'},
        {'prefix': '/docs', 'service': 'docvault'},
    ],
    'customers': {'north': {'weight': 2}},
}


class Group(replicated.Replicated):
    """A group of one on real files, whose quorum a test can take away."""

    lost = False

    async def current(self):
        if self.lost:
            return expression.Error(control.Refusal(codes.NOT_LEADER))
        return await super().current()


def group_of_one(transport, timeline, folder) -> Group:
    """Return a control group of one host."""
    machine = submissions.Submissions()
    seat = joining.Seat('control-1', CONTROL)
    replica = replicas.make(
        seat,
        (seat,),
        transport,
        files.Folder(folder),
        disk.make(),
        machine,
        random.Random(1),
    )
    return Group(replica, machine, timeline)


class Publisher:
    """Knows one node, at the version that a test puts here."""

    version = rows.NONE

    def nodes(self):
        return [publisher.NodeVersion('rvk-a-1', NODE, self.version, 0.0)]


class Health:
    """Nothing is ejected."""

    def ejected(self, _service):
        return frozenset()


class Rig:
    """One control host and one node behind fakes, and an HTTP client."""

    def __init__(self, folder, *given: settings_module.Team) -> None:
        self.network = fakes.Network(delay_s=(0.0, 0.0))
        self.links = self.network.transport(CONTROL)
        self.timeline = timelines.Timeline('control-1')
        self.group = group_of_one(self.links, self.timeline, folder)
        self.directory = fakes.Directory()
        capacity.Answerer(
            self.network.transport(NODE),
            self.directory,
            Health(),
            lambda: routing.Routing(self.group.version(), self.group.table()),
        )
        settings = settings_module.Control(
            CONTROL, given, None, reads_per_s=50.0, changes_per_s=50.0
        )
        self.publisher = Publisher()
        fleet = fleets.Fleet(self.links, self.publisher, ())
        rng = random.Random(1)
        guard = guards.Guard(self.group, self.links, fleet.addresses, rng)
        trail = audit.Trail(self.group, self.timeline)
        served = resources.every(
            changes.Changes(self.group, guard),
            stops.Stops(self.group, guard, fleet),
            members.Members(self.group),
            observe.Observe(self.group, fleet, trail, self.timeline),
        )
        entrance = gate.make(settings)
        self.admin = service.Admin(settings, entrance, trail, served)

    def drive(self, scenario) -> None:
        """Run ``await scenario(self)`` against a listening API."""

        async def _run() -> None:
            await self.group.start()
            while self.group.status().role != control.LEADER:
                await asyncio.sleep(0.001)
            server = test_utils.TestServer(self.admin.app)
            async with test_utils.TestClient(server) as self.client:
                await scenario(self)
            await self.group.stop()

        asyncio.run(_run())

    async def ask(self, method, path, body=None, token='', **headers):
        """Ask the API; return status and decoded answer.

        :param body: a JSON value, or the bytes or stream to send as it is.
        """
        named = {k.replace('_', '-'): v for k, v in headers.items()}
        if token:
            named['Authorization'] = 'Bearer %s' % token
        raw = isinstance(body, (bytes, type(None)))
        raw = raw or hasattr(body, '__aiter__')
        data = body if raw else json.dumps(body).encode()
        answer = await self.client.request(
            method, path, data=data, headers=named
        )
        if answer.content_type != 'application/json':
            return answer.status, await answer.text()
        value = await answer.json()
        assert answer.headers['Caraway-Code'] == value_code(value)
        return answer.status, value

    async def submit(self, manifest, name, parent=None, token='', path=''):
        """Submit a manifest on the current version, or on ``parent``."""
        digest = self.group.digest().hex() if parent is None else parent
        return await self.ask(
            'POST',
            '/v1/manifests' + path,
            manifest,
            token,
            Caraway_Parent=digest,
            Caraway_Submission=name,
        )


def value_code(value) -> str:
    """Return the code that an answer's body stands for."""
    return (
        value.get('code', 'CS-0000') if isinstance(value, dict) else 'CS-0000'
    )


def team(name: str, *scopes: str) -> settings_module.Team:
    """Return a team whose token is its name."""
    return settings_module.Team(name, teams.digest(name), scopes)


def changed(**parts) -> dict:
    """Return the manifest with other parts."""
    return copy.deepcopy(MANIFEST) | parts


def upstream(name: str, service_name: str, host: str, data_centre: str):
    """Return an upstream with four slots."""
    return interfaces.Upstream(
        name, service_name, '127.0.0.1:1', host, data_centre, 4
    )


ALL = (
    team('portal', 'read', 'submit'),
    team('docs', 'read', 'submit', 'drain'),
    team('ops', 'admin'),
    team('viewer', 'read'),
    team('roller', 'rollback'),
)


def test_submission_is_in_force_and_shown(tmp_path):
    async def scenario(rig):
        status, answer = await rig.submit(MANIFEST, 'one')
        assert status == 200
        assert answer['version'] == str(rig.group.version())
        _status, current = await rig.ask('GET', '/v1/manifests/current')
        assert current['digest'] == answer['digest']
        assert not current['stale']
        assert current['manifest']['services']['portal']['team'] == 'portal'
        again = current['manifest']
        _status, dry = await rig.submit(again, 'x', path='?dry_run=1')
        assert dry['changes'] == []

    Rig(tmp_path).drive(scenario)


def test_dry_run_does_not_show_the_whole_digest_of_a_key(tmp_path):
    """Guards against a digest by which a key can be guessed."""

    async def scenario(rig):
        await rig.submit(MANIFEST, 'one')
        customers = {'north': {'keys': ['sesame']}}
        keyed = changed(customers=customers)
        _status, dry = await rig.submit(keyed, 'x', path='?dry_run=1')
        key, text = rows.credential('sesame'), json.dumps(dry)
        assert rows.shown(key) in text and key not in text

    Rig(tmp_path).drive(scenario)


def test_repeated_submission_gets_the_first_answer(tmp_path):
    """An operator resends a change after losing the answer.

    Symptom: the change is refused as a conflict, or made twice.
    Sequence: submit, the answer is lost, another change is accepted, the
    first is sent again with the same id and its old parent.
    Cause: the parent was checked before the id.
    """

    async def scenario(rig):
        _status, first = await rig.submit(MANIFEST, 'one', '')
        await rig.submit(changed(name='other'), 'two')
        assert await rig.submit(MANIFEST, 'one', '') == (200, first)
        assert await rig.ask('GET', '/v1/submissions/one') == (200, first)
        status, answer = await rig.ask('GET', '/v1/submissions/never')
        assert (status, answer['code']) == (404, 'CS-8004')

    Rig(tmp_path).drive(scenario)


def test_racing_operators_get_one_winner_and_a_numbered_conflict(tmp_path):
    """Two operators build on the same version.

    Symptom: the second silently undoes the first.  Sequence: both read
    version 1, both submit.  Cause: no parent is compared.
    """

    async def scenario(rig):
        await rig.submit(MANIFEST, 'base')
        parent = rig.group.digest().hex()
        both = await asyncio.gather(
            rig.submit(changed(name='a'), 'a', parent),
            rig.submit(changed(name='b'), 'b', parent),
        )
        assert sorted(status for status, _answer in both) == [200, 409]
        loser = next(answer for status, answer in both if status == 409)
        assert loser['code'] == 'CS-8002'
        assert loser['version'] == str(rig.group.version())
        assert loser['digest'] == rig.group.digest().hex()

    Rig(tmp_path).drive(scenario)


def test_every_mistake_of_a_manifest_is_listed(tmp_path):
    async def scenario(rig):
        wrong = changed(routes=[{'prefix': 'x', 'service': 'no'}])
        status, answer = await rig.submit(wrong, 'one')
        assert (status, answer['code']) == (422, 'CS-2002')
        paths = {mistake['path'] for mistake in answer['mistakes']}
        assert paths == {'$.routes[0].prefix', '$.routes[0].service'}
        assert rig.group.version() == rows.NONE

    Rig(tmp_path).drive(scenario)


def test_missing_headers_are_listed_at_once(tmp_path):
    async def scenario(rig):
        status, answer = await rig.ask('POST', '/v1/manifests', MANIFEST)
        assert (status, answer['code']) == (400, 'CS-8106')
        paths = [mistake['path'] for mistake in answer['mistakes']]
        assert paths == [fields.SUBMISSION, fields.PARENT]

    Rig(tmp_path).drive(scenario)


@pytest.mark.parametrize(
    'given,code',
    [
        ({}, 'CS-8101'),
        ({'token': 'guess'}, 'CS-8101'),
        ({'token': 'viewer'}, 'CS-8102'),
    ],
)
def test_strangers_and_missing_scopes_are_refused(tmp_path, given, code):
    async def scenario(rig):
        _status, answer = await rig.submit(MANIFEST, 'one', **given)
        assert answer['code'] == code
        assert rig.group.version() == rows.NONE

    Rig(tmp_path, *ALL).drive(scenario)


def test_a_team_changes_only_its_own_services(tmp_path):
    """A team's pipeline submits a manifest with another team's part changed.

    Symptom: a rival firm's routes or limits change.  Sequence: one team
    submits a whole manifest, in which others' rows differ.  Cause: only the
    token was checked, not what the submission changes.
    """

    async def scenario(rig):
        await rig.submit(MANIFEST, 'base', token='ops')
        services = MANIFEST['services']
        own = {'team': 'portal', 'floor_percent': 40}
        mine = changed(services=services | {'portal': own})
        status, _answer = await rig.submit(mine, 'one', token='portal')
        assert status == 200
        for number, wrong in enumerate(_foreign_changes()):
            status, answer = await rig.submit(
                wrong, 'w%d' % number, token='portal'
            )
            assert (status, answer['code']) == (403, 'CS-8103'), wrong
            assert answer['mistakes']
        assert len(rig.group.history()) == 2

    Rig(tmp_path, *ALL).drive(scenario)


def _foreign_changes() -> list[dict]:
    own = {'portal': {'team': 'portal'}}
    docs = MANIFEST['services']['docvault']
    routes = MANIFEST['routes']
    return [
        changed(services=own | {'docvault': docs | {'timeout_ms': 9}}),
        changed(services=own | {'docvault': {'team': 'portal'}}),
        changed(services=own, routes=routes[:1]),
        changed(
            services=own | {'docvault': docs},
            routes=[routes[0], {'prefix': '/docs', 'service': 'portal'}],
        ),
        changed(
            services=own | {'docvault': docs},
            routes=routes + [{'prefix': '/docs/new', 'service': 'portal'}],
        ),
        changed(
            services=own | {'docvault': docs},
            routes=routes
            + [{'prefix': '/', 'host': 'x.is', 'service': 'portal'}],
        ),
        changed(services=own | {'docvault': docs}, customers={}),
        changed(
            services=own | {'docvault': docs},
            drains={'hosts': ['rvk-a-1']},
        ),
        changed(services=own | {'docvault': docs}, name='mine'),
    ]


def test_an_id_of_another_team_is_another_submission(tmp_path):
    async def scenario(rig):
        await rig.submit(MANIFEST, 'same', token='ops')
        status, answer = await rig.ask(
            'GET', '/v1/submissions/same', token='viewer'
        )
        assert (status, answer['code']) == (404, 'CS-8004')

    Rig(tmp_path, *ALL).drive(scenario)


def test_planned_stop_respects_the_floor(tmp_path):
    """Two hosts are drained, one after the other, of three.

    Symptom: a service falls below its floor and its callers queue.
    Sequence: an operator drains one host, a second operator another.
    Cause: each looked at the fleet before the other's stop.
    """

    async def scenario(rig):
        for number, place in enumerate(('rvk-a', 'rvk-a', 'rvk-b')):
            host = 'host-%d' % number
            rig.directory.put(upstream(host, 'portal', host, place))
        await rig.submit(MANIFEST, 'base')
        answers = [
            await rig.ask(
                'POST', '/v1/drains', body, Caraway_Submission='s%d' % index
            )
            for index, body in enumerate(
                (
                    {'hosts': ['host-0']},
                    {'hosts': ['host-2']},
                    {'data_centres': ['rvk-a']},
                    {'hosts': ['host-0'], 'undo': True},
                )
            )
        ]
        assert [status for status, _a in answers] == [200, 409, 409, 200]
        assert answers[0][1]['drains']['hosts'] == ['host-0']
        assert answers[0][1]['unheard'] == ['host-0']
        assert answers[1][1]['code'] == 'CS-8107'
        assert 'portal would keep 4 of 12' in answers[1][1]['detail']
        assert answers[3][1]['drains']['hosts'] == []
        wrong = changed(drains={'data_centres': ['rvk-a', 'rvk-b']})
        _status, answer = await rig.submit(wrong, 'around')
        assert answer['code'] == 'CS-8107'

    Rig(tmp_path).drive(scenario)


def test_planned_stop_needs_a_node_that_answers(tmp_path):
    """No node can be reached.

    Symptom: the last hosts of a service are stopped.  Sequence: control is
    cut off from the nodes, an operator plans a stop.  Cause: no answer was
    taken for "nothing to lose".
    """

    async def scenario(rig):
        await rig.submit(MANIFEST, 'base')
        rig.network.cut([CONTROL], [NODE])
        status, answer = await rig.ask(
            'POST', '/v1/drains', {'hosts': ['a']}, Caraway_Submission='s'
        )
        assert (status, answer['code']) == (503, 'CS-8108')

    Rig(tmp_path).drive(scenario)


def test_id_of_another_content_is_not_answered_for_it(tmp_path):
    """A pipeline forgets to change the id.

    Symptom: it is told "accepted", but its change is not in force.
    Sequence: a change is accepted, another is sent with the same id.
    Cause: the id alone was looked at.
    """

    async def scenario(rig):
        await rig.submit(MANIFEST, 'one')
        status, answer = await rig.submit(changed(name='x'), 'one')
        assert (status, answer['code']) == (409, codes.ID_REUSED.label)
        status, answer = await rig.submit(changed(name='z'), 'one', '')
        assert (status, answer['code']) == (409, codes.ID_REUSED.label)
        # An id that was refused was used up by nothing.
        await rig.submit(changed(name='y'), 'two', '')
        status, _answer = await rig.submit(changed(name='y'), 'two')
        assert status == 200

    Rig(tmp_path).drive(scenario)


def test_rollback_is_a_new_version_and_checked_like_any_change(tmp_path):
    """A rollback brings back what others changed since, or a planned stop.

    Symptom: a rival firm's change is undone, or a service falls below its
    floor.  Sequence: a team rolls back its own mistake, further than that.
    Cause: only the scope was checked.
    """

    async def scenario(rig):
        rig.directory.put(upstream('u', 'portal', 'h', 'rvk-a'))
        _status, first = await rig.submit(MANIFEST, 'base', token='ops')
        stop = await rig.ask(
            'POST',
            '/v1/drains',
            {'hosts': ['x']},
            'ops',
            Caraway_Submission='s',
        )
        await rig.submit(changed(name='x'), 'two', token='ops')
        back = {'to': first['version']}

        async def roll(name, token, to=back):
            return await rig.ask(
                'POST',
                '/v1/manifests/rollback',
                to,
                token,
                Caraway_Parent=rig.group.digest().hex(),
                Caraway_Submission=name,
            )

        status, answer = await roll('r', 'roller')
        assert (status, answer['code']) == (403, 'CS-8103')
        paths = [mistake['path'] for mistake in answer['mistakes']]
        assert paths == ['drains/all', 'head/manifest']
        status, answer = await roll('r', 'ops')
        assert (status, answer['digest']) == (200, first['digest'])
        assert answer['version'] > stop[1]['version']
        # Where its host has the last upstream, the stop must not come back.
        rig.directory.put(upstream('u', 'portal', 'x', 'rvk-a'))
        status, answer = await roll('q', 'ops', {'to': stop[1]['version']})
        assert (status, answer['code']) == (409, 'CS-8107')
        status, answer = await roll('p', 'ops', {'to': '9.9'})
        assert (status, answer['code']) == (404, 'CS-8006')

    Rig(tmp_path, *ALL).drive(scenario)


def test_node_that_knows_little_lets_no_stop_pass():
    """A node has just started and knows one upstream of three.

    Symptom: a stop passes that leaves a third of a service.  Sequence: the
    node with the least left is believed, and its floor, too.  Cause: little
    known means a low floor.
    """

    async def scenario():
        network = fakes.Network()
        manifest = manifests.read(json.dumps(MANIFEST).encode()).ok
        table = rows.from_manifest(manifest)
        now = routing.Routing(rows.Version(1, 1), table)
        every = [upstream(h, 'portal', h, 'rvk-a') for h in 'abc']
        nodes = ['127.0.0.1:1', '127.0.0.1:2']
        for address, known in zip(nodes, (every, every[:1])):
            capacity.Answerer(
                network.transport(address),
                fakes.Directory(*known),
                Health(),
                lambda: now,
            )
        stops = manifests.Drains(hosts=('b', 'c'))
        asked = await capacity.ask(
            network.transport(CONTROL), nodes, stops, random.Random(1)
        )
        assert len(capacity.broken(table, asked.ok)) == 1
        assert '4 of 12' in capacity.broken(table, asked.ok)[0]

    fakes.run(scenario())


def test_reads_without_a_quorum_are_marked_stale(tmp_path):
    """A control host is cut off and still believes that it is current.

    Symptom: an operator trusts an old version.  Sequence: the host loses
    its quorum, others accept a change, someone reads here.  Cause: a local
    read without asking the quorum.
    """

    async def scenario(rig):
        await rig.submit(MANIFEST, 'base')
        rig.group.lost = True
        status, current = await rig.ask('GET', '/v1/manifests/current')
        assert (status, current['stale']) == (200, True)
        status, answer = await rig.submit(changed(name='x'), 'two')
        assert (status, answer['code']) == (503, 'CS-8001')
        status, answer = await rig.ask('GET', '/v1/submissions/base')
        assert (status, answer['code']) == (503, 'CS-8001')

    Rig(tmp_path).drive(scenario)


def test_status_lists_nodes_behind(tmp_path):
    async def scenario(rig):
        await rig.submit(MANIFEST, 'base')
        rig.publisher.version = rig.group.version()
        _status, answer = await rig.ask('GET', '/v1/status')
        assert (answer['nodes_at_version'], answer['nodes_behind']) == (1, 0)
        await rig.submit(changed(name='x'), 'two')
        _status, answer = await rig.ask('GET', '/v1/status')
        assert (answer['nodes_at_version'], answer['nodes_behind']) == (0, 1)
        assert answer['nodes'][0]['host'] == 'rvk-a-1'
        assert answer['control']['role'] == control.LEADER

    Rig(tmp_path).drive(scenario)


def test_what_is_checked_is_what_the_change_is_built_on(tmp_path):
    """A team slips a rival's change out by a version that comes back.

    Symptom: a rival firm's change is undone by a team that may not.
    Sequence: the rival's change is accepted and rolled back; the team sends
    a manifest without it, built on the version that had it; while the
    manifest is checked, the rival's change is accepted again.
    Cause: the change was checked on one version and made on another.
    """

    async def scenario(rig):
        docs = MANIFEST['services']['docvault'] | {'timeout_ms': 9}
        theirs = changed(services=MANIFEST['services'] | {'docvault': docs})
        await rig.submit(MANIFEST, 'base', token='ops')
        parent = (await rig.submit(theirs, 'a', token='docs'))[1]['digest']
        await rig.submit(MANIFEST, 'b', token='docs')
        submit = rig.group.submit

        async def late(wanted):
            rig.group.submit = submit
            await rig.submit(theirs, 'c', token='docs')
            return await submit(wanted)

        rig.group.submit = late
        own = MANIFEST['services']['portal'] | {'timeout_ms': 7}
        mine = changed(services=MANIFEST['services'] | {'portal': own})
        _status, answer = await rig.submit(mine, 'd', parent, 'portal')
        assert answer['code'] == 'CS-8002'
        assert all(r.author != 'portal' for r in rig.group.history())

    Rig(tmp_path, *ALL).drive(scenario)


def test_members_of_the_control_group_change_one_at_a_time(tmp_path):
    async def scenario(rig):
        async def change(**body):
            busy = codes.VOTERS_BUSY.label
            while True:
                status, answer = await rig.ask('POST', '/v1/members', body)
                # The founding entry may still be on its way.
                if answer.get('code') != busy:
                    return status, answer
                await asyncio.sleep(0.05)

        status, answer = await change(action='add', name='c2', peer='x')
        assert (status, answer['mistakes'][0]['path']) == (400, '$.peer')
        status, answer = await change(action='promote', name='c2')
        assert (status, answer['code']) == (409, codes.VOTER_UNFIT.label)
        status, answer = await change(action='remove', name='control-1')
        assert (status, answer['code']) == (409, codes.VOTER_UNFIT.label)
        _status, answer = await rig.ask('GET', '/v1/status')
        names = [member['name'] for member in answer['control']['members']]
        assert names == ['control-1']

    Rig(tmp_path).drive(scenario)


def test_refused_changes_stand_in_the_audit_trail(tmp_path):
    async def scenario(rig):
        await rig.submit(MANIFEST, 'bad', 'ff' * 16, token='ops')
        _status, entries = await rig.ask('GET', '/v1/audit', token='viewer')
        assert entries[0]['author'] == 'ops'
        assert entries[0]['code'] == 'CS-8002'
        assert entries[0]['submission'] == 'bad'
        await rig.submit(MANIFEST, 'no', token='viewer')
        _status, entries = await rig.ask('GET', '/v1/audit', token='viewer')
        assert entries[0]['author'] == 'viewer'
        assert entries[0]['code'] == 'CS-8102'
        await rig.submit(MANIFEST, 'yes', token='ops', path='?')
        _status, entries = await rig.ask('GET', '/v1/audit', token='viewer')
        assert entries[0]['code'] == 'CS-0000'
        assert entries[0]['submission'] == 'yes'

    Rig(tmp_path, *ALL).drive(scenario)


def test_audit_trail_keeps_the_order_within_a_millisecond(monkeypatch):
    """The newest of two refusals stood second in one run of all tests.

    Both came within one millisecond, ``'ops' == 'viewer'`` was compared: the
    trail sorts by wall clock alone and left equals in the order of arrival,
    oldest first.
    """
    monkeypatch.setattr(audit.clock, 'wall_ms', lambda: fakes.WALL_START_MS)
    group = types.SimpleNamespace(history=lambda _limit: ())
    trail = audit.Trail(group, timelines.Timeline('h1'))
    refusal = control.Refusal(codes.CONFLICT, '')
    for author in ('first', 'second', 'third'):
        trail.refuse(author, 'submit', '', refusal)
    authors = [entry.author for entry in trail.entries(2)]
    assert authors == ['third', 'second']


def test_a_team_that_asks_too_often_waits_and_others_do_not(tmp_path):
    async def scenario(rig):
        rig.admin.gate.reads.size = 2.0
        rig.admin.gate.reads.rate = 0.001
        path = '/v1/manifests/history'
        statuses = [
            (await rig.ask('GET', path, token='viewer'))[0] for _n in range(3)
        ]
        assert statuses == [200, 200, 429]
        assert (await rig.ask('GET', path, token='ops'))[0] == 200

    Rig(tmp_path, *ALL).drive(scenario)


def test_bodies_and_unknown_paths_are_bounded_and_numbered(tmp_path):
    async def scenario(rig):
        large = 'x' * fields.MAX_BODY

        async def _chunked():
            yield json.dumps(large).encode()

        for body in (large, _chunked()):
            status, answer = await rig.ask(
                'POST', '/v1/drains', body, Caraway_Submission='s'
            )
            assert (status, answer['code']) == (413, 'CS-8105')
        for method, path in (('GET', '/nothing'), ('PUT', '/v1/status')):
            status, answer = await rig.ask(method, path)
            assert (status, answer['code']) == (404, 'CS-8109')

    Rig(tmp_path).drive(scenario)


HEADER = strategies.text(
    strategies.characters(min_codepoint=33, max_codepoint=126), max_size=40
)
REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [(r.method, r.path) for r in test_admin_openapi.served()]
        ),
        strategies.binary(max_size=60)
        | test_manifest.JSON.map(lambda v: json.dumps(v).encode()),
        HEADER,
        HEADER,
        HEADER,
    ),
    min_size=20,
    max_size=40,
)


@hypothesis.given(requests=REQUESTS)
@hypothesis.settings(
    max_examples=12, deadline=None, phases=[hypothesis.Phase.generate]
)
def test_no_request_makes_the_api_fail(tmp_path_factory, requests):
    """Whatever is sent is answered with a number that is no defect."""

    async def scenario(rig):
        for (method, path), body, one, two, three in requests:
            status, _answer = await rig.ask(
                method,
                path.replace('{id}', urllib.parse.quote(one))
                + '?limit='
                + urllib.parse.quote(two),
                body,
                Caraway_Parent=one,
                Caraway_Submission=two,
                Caraway_Operator=three,
            )
            assert status < 500, (method, path, body, one, two, three)

    Rig(tmp_path_factory.mktemp('fuzz')).drive(scenario)
