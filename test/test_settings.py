"""Tests of reading settings."""

import copy
import json

import hypothesis
import pytest

from carawaystair import codes
from carawaystair import settings as settings_module
from test import test_manifest

DIGEST = '0' * 64
GOOD = {
    'host': 'rvk-a-1',
    'data_centre': 'rvk-a',
    'region': 'is-south',
    'roles': ['node', 'control'],
    'data_folder': '/var/lib/carawaystair',
    'node': {'lease_s': 3},
    'control': {
        'admin': '10.0.0.1:7580',
        'teams': [{'name': 'portal', 'token_digest': DIGEST}],
    },
}

# Where a value is put, the value, the path of the mistake, part of its text.
WRONG = [
    (('host',), '', '$.host', 'empty'),
    (('region',), 'a b', '$.region', 'odd signs'),
    (('roles',), [], '$.roles', 'no role'),
    (('roles',), ['node', 'node'], '$.roles', 'twice'),
    (('roles', 1), 'nod', '$.roles[1]', "'node', 'control'"),
    (('log',), {'level': 'loud'}, '$.log.level', "'debug', 'info'"),
    (('node', 'lease_s'), 0, '$.node.lease_s', 'expected 0.5 to 3600'),
    (('node', 'lease_s'), 10**400, '$.node.lease_s', 'a number'),
    (('node', 'lease_s'), '6', '$.node.lease_s', 'a number'),
    (('node', 'drain_s'), -1, '$.node.drain_s', 'expected 0 to'),
    (('node', 'link_mbps'), -1, '$.node.link_mbps', 'expected 0 to'),
    (('timeline_events',), 1, '$.timeline_events', 'expected 100'),
    (('peer',), 'localhost:1', '$.peer', 'not an IPv4'),
    (('peer',), '127.0.0.1:0', '$.peer', 'IPv4 number and a port'),
    (('peer',), '127.0.0.1:65536', '$.peer', 'IPv4 number and a port'),
    (('peer',), '[::1]:7401', '$.peer', 'IPv4 number and a port'),
    (('gossip',), '0.0.0.0:7401', '$.gossip', 'cannot be reached'),
    (('seeds',), ['10.0.0.2'], '$.seeds[0]', 'IPv4 number and a port'),
    (
        ('control_hosts',),
        ['10.0.0.%d:7401' % n for n in range(9)],
        '$.control_hosts',
        '8 are allowed',
    ),
    (('keys',), ['a', 'a'], '$.keys', '2 times'),
    (
        ('node', 'listen'),
        '127.0.0.1:7401',
        '$.node.listen',
        'address of $.peer',
    ),
    (('control', 'admin'), 'x', '$.control.admin', 'IPv4'),
    (('control', 'teams'), [], '$.control.teams', 'from elsewhere'),
    (('control', 'tls'), {'cert': 'a'}, '$.control.tls.key', 'is missing'),
    (
        ('control', 'teams', 0, 'token_digest'),
        'ab',
        '$.control.teams[0].token_digest',
        'carawaystair token',
    ),
    (
        ('control', 'teams', 0, 'scopes'),
        ['root'],
        '$.control.teams[0].scopes[0]',
        "'admin'",
    ),
    (('data_folder',), None, '$.data_folder', 'needed by'),
    (
        ('control_hosts',),
        ['10.0.0.1:1', '10.0.0.2:1'],
        '$.control.voters',
        'names 2 hosts',
    ),
    (
        ('control', 'voters'),
        [{'name': n, 'peer': '10.0.0.%s:7401' % n} for n in '12'],
        '$.control.voters',
        '2 hosts; expected 1, 3',
    ),
    (
        ('control', 'voters'),
        [{'name': 'rvk-a-1', 'peer': '10.0.0.1:7401'}],
        '$.control.voters[0].peer',
        'this host has',
    ),
    (
        ('control', 'voters'),
        [{'name': 'b', 'peer': 'x'}],
        '$.control.voters[0].peer',
        'IPv4',
    ),
    (('control', 'changes_per_s'), 0, '$.control.changes_per_s', '0.1'),
    (('data_center',), 'x', '$.data_center', "'data_centre'"),
]


def put(path, value) -> bytes:
    """Return the good settings with another value somewhere, as JSON."""
    document = copy.deepcopy(GOOD)
    inner = document
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return json.dumps(document).encode()


def test_settings_stand_over_the_defaults():
    settings = settings_module.parse(json.dumps(GOOD)).ok
    assert settings.node.lease_s == 3.0
    assert settings.node.drain_s == 30.0
    assert settings.control.teams[0].scopes == ('read',)


@pytest.mark.parametrize('where,value,path,text', WRONG)
def test_each_mistake_has_path_and_sentence(where, value, path, text):
    code, mistakes = settings_module.parse(put(where, value)).error
    assert code == codes.SETTINGS_INVALID
    assert [mistake.path for mistake in mistakes] == [path]
    assert text.replace('not an IPv4', 'not an IPv4') in mistakes[0].text


def test_comments_keep_the_line_of_a_mistake():
    data = b'// one\n{\n  // two\n  "host": 1,\n}\n'
    code, mistakes = settings_module.parse(data).error
    assert code == codes.SETTINGS_MALFORMED
    assert 'line 5' in mistakes[0].text


def test_line_separators_within_text_are_kept():
    """A name holds U+2028, which some split lines at.

    Symptom: a file that any JSON decoder takes is called malformed.
    Sequence: a template brings the sign from a web page.  Cause: lines were
    split as text, at more than line ends.
    """
    data = json.dumps(GOOD | {'host': 'a\u2028b'}, ensure_ascii=False)
    _code, mistakes = settings_module.parse(data).error
    assert [mistake.path for mistake in mistakes] == ['$.host']


def test_no_roles_but_known_ones_bind_addresses():
    """An address of a role that the process does not hold may be anything."""
    document = GOOD | {'roles': ['node'], 'control': {'teams': []}}
    document['node'] = {'listen': '127.0.0.1:7580'}
    assert settings_module.parse(json.dumps(document)).is_ok()


PLACES = hypothesis.strategies.sampled_from([where for where, *_r in WRONG])


@hypothesis.given(hypothesis.strategies.binary(max_size=100))
def test_noise_never_raises(data):
    assert settings_module.parse(data).is_error()


@hypothesis.given(PLACES, test_manifest.JSON)
def test_any_value_anywhere_is_read_or_refused_with_its_path(where, value):
    result = settings_module.parse(put(where, value))
    if result.is_ok():
        return
    _code, mistakes = result.error
    assert mistakes
    assert all(mistake.path.startswith('$') for mistake in mistakes)
