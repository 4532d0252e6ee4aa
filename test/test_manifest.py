"""Tests of reading manifests: every mistake, every bound, any noise."""

import copy
import json

import hypothesis
from hypothesis import strategies
import pytest

from carawaystair import codes
from carawaystair import manifest as manifests
from carawaystair import rows
from carawaystair import shape

GOOD = {
    'format': 1,
    'name': 'rvk',
    'regions': {'is-south': {'data_centres': ['rvk-a', 'rvk-b']}},
    'services': {'portal': {'team': 'portal', 'floor_percent': 50}},
    'routes': [
        {'prefix': '/', 'service': 'portal'},
        {'prefix': '/x', 'service': 'portal', 'host': 'A.is', 'kind': 'bulk'},
    ],
    'customers': {'north': {'weight': 2, 'limit': 9}},
    'drains': {'hosts': ['rvk-a-1'], 'data_centres': []},
}

# Where a value is put, the value, the path of the mistake, part of its text.
WRONG = [
    (('format',), 2, '$.format', 'expected 1'),
    (('name',), '', '$.name', 'empty'),
    (('regions',), {}, '$.regions', 'no region'),
    (('regions', 'is-south', 'data_centres'), [], '$.regions.is-south', 'no'),
    (('regions', 'other'), {'data_centres': ['rvk-a']}, '$.regions', '2 time'),
    (
        ('regions', 'other'),
        {'data_centres': ['a/b']},
        '$.regions.other.data_centres[0]',
        'odd signs',
    ),
    (('services', 'a b'), {}, '$.services.a b', 'odd signs'),
    (('services', 'a/b'), {}, '$.services.a/b', 'odd signs'),
    (('services', 'x' * 129), {}, "$.services.'" + 'x' * 64 + "'", 'long'),
    (('services', 'portal', 'team'), '', '$.services.portal.team', 'empty'),
    (
        ('services', 'portal', 'floor_percent'),
        101,
        '$.services.portal.floor_percent',
        '0 to 100',
    ),
    (
        ('services', 'portal', 'floor_percent'),
        True,
        '$.services.portal.floor_percent',
        'whole number',
    ),
    (
        ('services', 'portal', 'floor_percnt'),
        9,
        '$.services.portal.floor_percnt',
        "did you mean 'floor_percent'?",
    ),
    (
        ('services', 'portal', 'detection'),
        [],
        '$.services.portal.detection',
        "'fast', 'conservative'",
    ),
    (
        ('services', 'portal', 'balancer'),
        'best',
        '$.services.portal.balancer',
        'there are peak',
    ),
    (
        ('services', 'portal', 'detector'),
        'x',
        '$.services.portal.detector',
        'siblings',
    ),
    (
        ('services', 'portal', 'key_region'),
        'x',
        '$.services.portal.key_region',
        'no region',
    ),
    (('routes', 0, 'service'), 'no', '$.routes[0].service', 'no service'),
    (('routes', 0, 'prefix'), 'x', '$.routes[0].prefix', 'leading slash'),
    (('routes', 0, 'prefix'), '/a//b', '$.routes[0].prefix', 'leading slash'),
    (('routes', 0, 'prefix'), '/a?b', '$.routes[0].prefix', 'leading slash'),
    (('routes', 1, 'host'), 'a/b', '$.routes[1].host', 'without port'),
    (('routes', 1, 'host'), 'a:80', '$.routes[1].host', 'without port'),
    (
        ('routes', 0),
        {'prefix': '/x', 'host': 'a.IS', 'service': 'portal'},
        '$.routes[1]',
        'of $.routes[0]',
    ),
    (('customers', 'north', 'weight'), 0, '$.customers.north.weight', '1 to'),
    (('customers', 'a\nb'), {}, "$.customers.'a\\nb'", 'odd signs'),
    (('drains', 'hosts'), ['a', 'a'], '$.drains.hosts', '2 times'),
    (('drains', 'data_centres'), ['x'], '$.drains.data_centres[0]', 'named'),
    (('rotes',), [], '$.rotes', "did you mean 'routes'?"),
]


def put(path, value) -> dict:
    """Return the good manifest with another value somewhere."""
    document = copy.deepcopy(GOOD)
    inner = document
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return document


def read(document):
    """Read a document that is not yet JSON."""
    return manifests.read(json.dumps(document).encode())


def test_good_manifest_survives_its_rows():
    manifest = read(GOOD).ok
    again = rows.to_manifest(rows.from_manifest(manifest))
    assert sorted(again.routes) == sorted(manifest.routes)
    assert again._replace(routes=()) == manifest._replace(routes=())


@pytest.mark.parametrize('where,value,path,text', WRONG)
def test_each_mistake_has_path_code_and_sentence(where, value, path, text):
    code, mistakes = read(put(where, value)).error
    assert code == codes.MANIFEST_INVALID
    assert [mistake.path for mistake in mistakes] == [path]
    assert text in mistakes[0].text


def test_service_without_routes_and_routes_below_each_other_are_fine():
    document = put(('services', 'idle'), {})
    document['routes'].append({'prefix': '/x/', 'service': 'portal'})
    assert read(document).is_ok()


def test_key_that_stands_twice_is_refused():
    """A limit stands twice in one object.

    Symptom: another limit is in force than the one that a reader finds.
    Sequence: two people add the same key to a template; the decoder keeps
    the last.  Cause: JSON leaves it open what a doubled key means.
    """
    text = json.dumps(GOOD).replace('"weight": 2', '"weight": 2, "weight": 3')
    code, mistakes = manifests.read(text.encode()).error
    assert code == codes.MANIFEST_MALFORMED
    path = '$.customers.north.weight'
    assert mistakes == [shape.Mistake(path, 'stands twice')]


@pytest.mark.parametrize(
    'data,text',
    [
        (b'[' * 100_000, 'too deep'),
        (b'{"a":' * 100_000 + b'1' + b'}' * 100_000, 'too deep'),
        (b' ' * (manifests.MAX_BYTES + 1), 'are allowed'),
        (b'{"name": NaN}', 'no JSON number'),
        (b'{"name": "\\ud800"}', 'half of a surrogate pair'),
        (b'\xff', 'utf-8'),
        (b'{\n  "a": 1,\n}', 'line 3'),
        (b'{"format": ' + b'9' * 5000 + b'}', 'digits'),
    ],
)
def test_hostile_bytes_get_a_number(data, text):
    code, mistakes = manifests.read(data).error
    assert code == codes.MANIFEST_MALFORMED
    assert text in mistakes[0].text


def test_mistakes_are_bounded():
    """A hostile document is wrong in a million places.

    Symptom: a control host is out of memory.  Sequence: a document of many
    unknown keys; each becomes a mistake with the nearest key.  Cause: no
    bound on mistakes.
    """
    document = {'key %d' % number: 1 for number in range(5000)}
    _code, mistakes = read(document).error
    assert len(mistakes) == shape.MAX_MISTAKES + 1
    customers = {str(number): {'weight': 0} for number in range(5000)}
    _code, mistakes = read(put(('customers',), customers)).error
    assert len(mistakes) == shape.MAX_MISTAKES


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=6,
)
PLACES = strategies.sampled_from([where for where, *_rest in WRONG])


@hypothesis.given(strategies.binary(max_size=100))
def test_noise_never_raises(data):
    assert manifests.read(data).is_error()


@hypothesis.given(PLACES, JSON)
def test_any_value_anywhere_is_read_or_refused_with_its_path(where, value):
    result = read(put(where, value))
    if result.is_ok():
        rows.to_manifest(rows.from_manifest(result.ok))
        return
    _code, mistakes = result.error
    assert mistakes
    assert all(mistake.path.startswith('$') for mistake in mistakes)
