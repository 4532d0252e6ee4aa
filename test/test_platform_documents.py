"""Tests that documents of the platform are parsed or refused with a reason."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from carawaystair import interfaces
from carawaystair import manifest as manifests
from carawaystair import rows
from test import platform_setup

from adapter import configuration
from adapter import fields
from adapter import platform_settings
from adapter import upstreams

CONSTANTS = configuration.ManifestConstants({'r': ('a', 'b')}, 70, 20)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)


def parse(document, complete=True):
    """Parse a configuration given as a document."""
    return configuration.parse(
        json.dumps(document).encode(), complete, CONSTANTS
    )


def manifest_of(document):
    """Return the validated manifest of a complete configuration."""
    manifest = configuration.apply(parse(document), None, CONSTANTS)
    result = manifests.read(configuration.encode_manifest(manifest))
    assert result.is_ok(), result.error
    return result.ok


# Settings


def test_settings_of_a_host_with_an_upstream():
    result = platform_settings.fleet_settings(
        platform_settings.parse(platform_setup.settings())
    )
    assert result.host == '10.1.0.41'
    assert result.roles == ('node',)
    assert result.node.listen == '10.1.0.41:8629'
    assert result.node.gateway == '10.1.0.41:8624'
    assert result.node.service == 'wuno96b'
    assert result.seeds[0] == '10.1.0.48:7600'
    assert result.node.drain_s < 6.0
    assert result.node.retry_slack == 58


@pytest.mark.parametrize(
    'limits,mbps',
    [
        (None, 0.0),
        ({}, 0.0),
        ({'link_mbps': 2.3}, 2.3),
        ({'link_mbps': 1000}, 1000.0),
    ],
)
def test_settings_contain_the_link_rate(limits, mbps):
    document = platform_setup.settings()
    if limits is not None:
        document['self']['limits'] = limits
    result = platform_settings.fleet_settings(
        platform_settings.parse(document)
    )
    assert result.node.link_mbps == mbps


@pytest.mark.parametrize(
    'limits,terms,held_mb,connections',
    [
        ({}, ['base', 'pressure'], 0.0, 20_000),
        ({'memory_mb': 200}, ['base'], 0.0, 20_000),
        ({'memory_mb': 200}, ['base', 'pressure'], 40.0, 1250),
    ],
    ids=['not stated', 'no slow peers', 'slow peers at 200 MB'],
)
def test_settings_bound_memory_where_peers_may_be_slow(
    limits, terms, held_mb, connections
):
    document = platform_setup.settings()
    document['self']['limits'] = limits
    document['terms']['contracts'] = terms
    result = platform_settings.fleet_settings(
        platform_settings.parse(document)
    )
    assert result.node.held_mb == held_mb
    assert result.node.max_connections == connections
    assert result.node.upstream_body_mb == 0.0


@pytest.mark.parametrize(
    'mbps,zones,home_first',
    [
        (2.05, {'a': 'r', 'b': 'r'}, True),
        (2.05, {'a': 'r'}, False),
        (3.4, {'a': 'r', 'b': 'r'}, False),
        (1000, {'a': 'r', 'b': 'r'}, False),
        (None, {'a': 'r', 'b': 'r'}, False),
    ],
)
def test_requests_stay_at_home_on_narrow_links(mbps, zones, home_first):
    document = platform_setup.settings()
    document['network']['zones'] = zones
    if mbps is not None:
        document['self']['limits'] = {'link_mbps': mbps}
    node = platform_settings.fleet_settings(
        platform_settings.parse(document)
    ).node
    assert node.home_first == home_first
    assert node.home_bonus_per_kb == (0.01 if home_first else 0.002)


@pytest.mark.parametrize(
    'limits', [[], {'link_mbps': 'fast'}, {'link_mbps': -1.0}], ids=str
)
def test_invalid_link_rate_is_refused(limits):
    document = platform_setup.settings()
    document['self']['limits'] = limits
    with pytest.raises(fields.Malformed, match='limits|link_mbps'):
        platform_settings.fleet_settings(platform_settings.parse(document))


def test_settings_of_a_control_host():
    document = platform_setup.settings(
        self__serves=['control_plane'],
        self__ip='10.1.0.48',
        self__data_dir='/data',
        self__bootstrap=False,
        self__service=None,
        network__listen={'control': '10.1.0.48:8620'},
    )
    result = platform_settings.fleet_settings(
        platform_settings.parse(document)
    )
    assert result.roles == ('control',)
    assert result.data_folder == '/data'
    assert not result.control.founds
    assert result.control.grow_to == 5
    assert [v.peer for v in result.control.voters] == list(result.seeds)


@pytest.mark.parametrize(
    'path, value, message',
    [
        ('self__ip', None, 'self.ip is missing'),
        ('self__ip', 7, 'self.ip must be text'),
        ('self__bootstrap', 'yes', 'self.bootstrap must be'),
        ('network__listen__ready', None, 'network.listen.ready is missing'),
        ('network__internal_port_range', [7600], 'internal_port_range'),
        ('network__seeds', 'all', 'network.seeds must be a list'),
        ('terms__bounds__grace', '6 s', 'terms.bounds.grace must be a time'),
        ('terms__bounds__budget_slack', 'x', 'budget_slack must be'),
        ('terms', None, 'settings.terms is missing'),
    ],
)
def test_error_names_the_invalid_setting(path, value, message):
    document = platform_setup.settings(**{path: value})
    with pytest.raises(fields.Malformed, match=message):
        platform_settings.parse(document)


def test_unknown_settings_are_ignored():
    document = platform_setup.settings(self__colour='blue')
    document['weather'] = {'rain': True}
    assert platform_settings.parse(document).ip == '10.1.0.41'


@hypothesis.given(JSON)
def test_arbitrary_settings_are_parsed_or_refused(document):
    try:
        platform_settings.parse(document if isinstance(document, dict) else {})
    except fields.Malformed as error:
        assert str(error)


# Configurations


def test_configuration_survives_a_round_trip():
    split = [
        {'service': 'one', 'weight': 90},
        {'service': 'two', 'weight': 10},
    ]
    sent = platform_setup.configuration(
        platform_setup.route(),
        platform_setup.route(
            'r-2',
            path_prefix='/x/y/',
            route_type='unsafe',
            service=None,
            traffic_split=split,
            colour='blue',
        ),
        platform_setup.route('r-3', path_prefix='/z/', route_type='download'),
        platform_setup.route('r-4', path_prefix='/u/', route_type='upload'),
    )
    manifest = manifest_of(sent)
    stored = rows.to_manifest(rows.from_manifest(manifest))
    returned = configuration.to_document(stored)
    assert returned['version'] == sent['version']

    def _sorted(document):
        return sorted(document['resources'], key=json.dumps)

    def _plain(document):
        return [json.dumps(item, sort_keys=True) for item in _sorted(document)]

    assert sorted(_plain(returned)) == sorted(_plain(sent))


def test_route_type_sets_idempotence_and_kind():
    sent = platform_setup.configuration(
        platform_setup.route('a', path_prefix='/a/'),
        platform_setup.route('b', path_prefix='/b/', route_type='unsafe'),
        platform_setup.route('c', path_prefix='/c/', route_type='download'),
        platform_setup.route('d', path_prefix='/d/', route_type='upload'),
    )
    found = {r.name: r for r in manifest_of(sent).routes}
    assert [found[n].idempotent for n in 'abcd'] == [True, False, True, False]
    assert [found[n].kind == manifests.BULK for n in 'abcd'] == [
        False,
        False,
        True,
        True,
    ]
    assert found['a'].timeout_ms == 8000
    assert found['a'].goal_ms == 1500


def test_partial_change_upserts_and_removes_routes():
    now = manifest_of(
        platform_setup.configuration(
            platform_setup.route('a', path_prefix='/a/'),
            platform_setup.route('b', path_prefix='/b/'),
        )
    )
    change = {
        'version': 9,
        'base_version': 7,
        'upsert': {
            'resources': [
                platform_setup.route('a', path_prefix='/a/', service='two'),
                platform_setup.route('c', path_prefix='/c/'),
            ]
        },
        'remove': {'routes': ['b']},
    }
    result = configuration.apply(parse(change, complete=False), now, CONSTANTS)
    assert {r.name: r.service for r in result.routes} == {
        'a': 'two',
        'c': 'one',
    }
    assert result.limits == now.limits
    assert result.revision == 9


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 'nobody'},
        {'timeout': '601s'},
        {'timeout': None},
        {'max_attempts': 0},
        {'route_type': 'odd'},
        {
            'service': None,
            'traffic_split': [{'service': 'one', 'weight': 0}],
        },
        {
            'service': None,
            'traffic_split': [
                {'service': 'one', 'weight': -1},
                {'service': 'two', 'weight': 5},
            ],
        },
        {'service': None, 'traffic_split': []},
    ],
    ids=str,
)
def test_invalid_routes_are_refused(changes):
    sent = platform_setup.configuration(platform_setup.route(**changes))
    try:
        result = configuration.apply(parse(sent), None, CONSTANTS)
    except fields.Malformed as error:
        assert str(error).endswith('.')
        return
    assert manifests.read(configuration.encode_manifest(result)).is_error()


def test_truncated_configuration_is_refused():
    data = json.dumps(platform_setup.configuration()).encode()
    for end in range(0, len(data) - 1, 37):
        with pytest.raises(fields.Malformed):
            configuration.parse(data[:end], True, CONSTANTS)


@hypothesis.given(JSON, strategies.booleans())
def test_arbitrary_configuration_is_parsed_or_refused(document, complete):
    try:
        parse(document, complete)
    except fields.Malformed as error:
        assert str(error)


@hypothesis.given(strategies.binary(max_size=64))
def test_arbitrary_bytes_are_refused_as_a_configuration(data):
    with pytest.raises(fields.Malformed):
        configuration.parse(data, True, CONSTANTS)


# Heartbeats

HEARTBEAT = platform_setup.HEARTBEAT


def test_heartbeat_becomes_an_announcement():
    heartbeat = upstreams.parse_heartbeat(json.dumps(HEARTBEAT).encode())
    announcement = heartbeat.announcement
    assert (announcement.service, announcement.slots, announcement.state) == (
        'huvo11a',
        4,
        interfaces.UP,
    )
    assert (announcement.warmup_s, heartbeat.sequence) == (1.5, 4)
    leaving = upstreams.parse_heartbeat(
        json.dumps(HEARTBEAT | {'state': 'draining'}).encode()
    )
    assert leaving.announcement.state == interfaces.DRAINING


@pytest.mark.parametrize('name', ['service', 'address', 'slots', 'state'])
def test_heartbeat_without_a_field_is_refused(name):
    heartbeat = {key: value for key, value in HEARTBEAT.items() if key != name}
    with pytest.raises(fields.Malformed, match='heartbeat.%s' % name):
        upstreams.parse_heartbeat(json.dumps(heartbeat).encode())


@hypothesis.given(JSON)
def test_arbitrary_heartbeat_is_parsed_or_refused(document):
    try:
        upstreams.parse_heartbeat(json.dumps(document).encode())
    except fields.Malformed as error:
        assert str(error)


@pytest.mark.parametrize(
    'text, ms', [('1500ms', 1500), ('2.5s', 2500), ('0ms', 0), ('0.5ms', 0)]
)
def test_durations_are_parsed(text, ms):
    assert fields.duration_ms({'t': text}, 't', 'x') == ms


@pytest.mark.parametrize(
    'text', ['', '5', '5 s', '-1s', '1h', 's', 5, None, '1e9s', '90000s']
)
def test_invalid_durations_are_refused(text):
    with pytest.raises(fields.Malformed):
        fields.duration_ms({'t': text}, 't', 'x')


# Customers


TENANT = {
    'api_keys': ['k-1', 'k-2'],
    'priority': 1,
    'rate_per_s': 27,
    'burst': 9,
}


def _with_tenants(**tenants):
    document = platform_setup.configuration()
    document['resources'] += [
        platform_setup.resource('tenants', name, **spec)
        for name, spec in tenants.items()
    ]
    return document


def test_customers_are_returned_as_they_were_sent():
    document = _with_tenants(
        north=TENANT,
        zero={'api_keys': [], 'rate_per_s': 0, 'burst': 0, 'note': 'x'},
        bare={'api_keys': ['k-3'], 'rate_per_s': 2.5},
    )
    manifest = manifest_of(document)
    assert manifest.require_keys
    assert manifest.customers['north'].rate_per_s == 27.0
    back = configuration.to_document(
        rows.to_manifest(rows.from_manifest(manifest))
    )
    tenants = {
        item['metadata']['name']: item['spec']
        for item in back['resources']
        if item['resource_type'] == 'tenants'
    }
    assert tenants == {
        item['metadata']['name']: item['spec']
        for item in document['resources']
        if item['resource_type'] == 'tenants'
    }


def test_configuration_without_customers_requires_no_keys():
    manifest = manifest_of(platform_setup.configuration())
    assert not manifest.require_keys
    assert rows.KEYS_REQUIRED not in rows.from_manifest(manifest)


def test_change_adds_and_removes_keys_and_customers():
    current = manifest_of(_with_tenants(north=TENANT, south={'api_keys': []}))
    change = {
        'version': 9,
        'base_version': 7,
        'upsert': {
            'resources': [
                platform_setup.resource(
                    'tenants', 'north', **{**TENANT, 'api_keys': ['k-2']}
                )
            ]
        },
        'remove': {'tenants': ['south']},
    }
    result = configuration.apply(parse(change, False), current, CONSTANTS)
    assert {k: v.keys for k, v in result.customers.items()} == {
        'north': ('k-2',)
    }
    table = rows.from_manifest(result)
    assert rows.credential('k-2') in table
    assert rows.credential('k-1') not in table


@pytest.mark.parametrize(
    'spec, path',
    [
        ({'api_keys': ['k-1']}, '$.customers.south.keys[0]'),
        ({'api_keys': ['a b']}, '$.customers.south.keys[0]'),
        ({'api_keys': ['']}, '$.customers.south.keys[0]'),
        ({'api_keys': ['x' * 257]}, '$.customers.south.keys[0]'),
        (
            {'api_keys': [], 'rate_per_s': -1},
            '$.customers.south.rate_per_s',
        ),
        ({'api_keys': [], 'burst': -1}, '$.customers.south.burst'),
        ({'api_keys': [], 'priority': -1}, '$.customers.south.priority'),
    ],
    ids=str,
)
def test_invalid_customer_is_refused_without_showing_its_key(spec, path):
    """Guards against two customers with one key, and keys in messages."""
    document = _with_tenants(north=TENANT, south=spec)
    manifest = configuration.apply(parse(document), None, CONSTANTS)
    result = manifests.read(configuration.encode_manifest(manifest))
    _code, mistakes = result.error
    assert [mistake.path for mistake in mistakes] == [path]
    keys = [key for key in spec['api_keys'] if key]
    assert not any(key in str(mistakes) for key in keys)


@pytest.mark.parametrize(
    'spec', [{}, {'api_keys': 'k'}, {'api_keys': [1]}], ids=str
)
def test_customer_without_a_list_of_keys_is_refused(spec):
    with pytest.raises(fields.Malformed, match='api_keys'):
        parse(_with_tenants(north=spec))


def test_windows_that_may_be_exceeded_are_granted_by_holders():
    document = platform_setup.settings()
    document['terms']['bounds'] |= {'quota_overage': 0.1, 'quota_slack': 20}
    result = platform_settings.fleet_settings(
        platform_settings.parse(document)
    )
    assert result.control.quota_holders == 2


def test_bounds_of_keys_and_quotas_become_settings():
    document = platform_setup.settings()
    plain = platform_settings.fleet_settings(platform_settings.parse(document))
    assert plain.node.keys_max_age_s == 0.0
    document['terms']['bounds'] |= {
        'strict_revoke': True,
        'revoke': '5000ms',
        'quota_window': '4s',
    }
    result = platform_settings.fleet_settings(
        platform_settings.parse(document)
    )
    # From 0.6 of the bound on nothing is owed; before it none is refused.
    assert 3.0 < result.node.keys_max_age_s < 5.0
    assert result.control.quota_window_s == 4.0
    assert result.control.quota_holders == 0
    assert result.headers.customer == 'X-Tenant-Id'


@pytest.mark.parametrize(
    'limits,connections,hops,requests,bodies,local',
    [
        ({}, 20_000, 20_000, 20_000, 2000, 64),
        ({'memory_mb': 200}, 20_000, 20_000, 20_000, 80, 64),
        ({'memory_mb': 300, 'max_fds': 4100}, 1640, 1230, 615, 120, 82),
        ({'memory_mb': 300, 'max_fds': 100}, 40, 30, 15, 4, 4),
    ],
    ids=['not stated', 'memory', 'usual', 'few descriptors'],
)
def test_settings_bound_what_peers_make_a_process_hold(
    limits, connections, hops, requests, bodies, local
):
    document = platform_setup.settings()
    document['self']['limits'] = limits
    node = platform_settings.fleet_settings(
        platform_settings.parse(document)
    ).node
    assert (node.max_connections, node.max_hops) == (connections, hops)
    assert (node.max_requests, node.max_bodies) == (requests, bodies)
    assert node.max_local == local
