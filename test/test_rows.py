"""Tests of the configuration as rows, and of routing by them."""

import types

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from carawaystair.admin import ownership
from carawaystair import manifest as manifests
from carawaystair import routing
from carawaystair import rows

MANIFEST = manifests.Manifest(
    1,
    'test',
    {'is-south': manifests.Place(('rvk-a', 'rvk-b'))},
    {'portal': manifests.Service(), 'docvault': manifests.Service()},
    (
        manifests.Route('/', 'portal'),
        manifests.Route('/docs', 'docvault'),
        manifests.Route('/docs', 'portal', 'Other.example'),
    ),
    {'firm-a': manifests.Customer(4, 20)},
)


def test_manifest_survives_the_way_through_rows():
    table = rows.from_manifest(MANIFEST)
    back = rows.to_manifest(table)
    assert back._replace(routes=set(back.routes)) == MANIFEST._replace(
        routes=set(MANIFEST.routes)
    )


def test_delta_leads_to_the_new_table_and_its_digest():
    old = rows.from_manifest(MANIFEST)
    changed = MANIFEST._replace(customers={'firm-b': manifests.Customer()})
    new = rows.from_manifest(changed)
    one, two = rows.Version(1, 1), rows.Version(1, 2)
    delta = rows.difference(old, new, one, two)
    assert len(delta.put) == 1 and len(delta.drop) == 1
    assert rows.apply(old, delta) == new
    assert rows.digest(new) == delta.digest != rows.digest(old)


TABLES = strategies.dictionaries(
    strategies.text(max_size=2), strategies.binary(max_size=2), max_size=6
)


@hypothesis.given(old=TABLES, new=TABLES)
def test_digest_that_follows_from_the_old_one_is_that_of_the_new(old, new):
    one, two = rows.Version(1, 1), rows.Version(1, 2)
    delta = rows.difference(old, new, one, two, rows.digest(old))
    assert delta == rows.difference(old, new, one, two)
    assert delta.digest == rows.digest(new)
    assert rows.apply(old, delta) == new


@pytest.mark.parametrize(
    ('host', 'path', 'key'),
    [
        ('x', '/status?id=1', 'route//'),
        ('x', '/docs', 'route//docs'),
        ('x', '/docs/a/b', 'route//docs'),
        ('x', '/docsy', 'route//'),
        ('other.EXAMPLE', '/docs/a', 'route/other.example/docs'),
        ('other.example', '/else', 'route//'),
    ],
)
def test_longest_prefix_at_segment_borders_wins(host, path, key):
    table = rows.from_manifest(MANIFEST)
    match = routing.Routing(rows.Version(1, 1), table).match(host, path)
    assert match.key == key


def test_no_route_is_no_match():
    assert routing.Routing().match('x', '/') is None


def test_rows_without_new_fields_keep_their_bytes():
    """Guards against digests that change with the version of the program."""
    customer = manifests.Customer(4, 20)
    route = manifests.Route('/', 'portal', timeout_ms=5)
    assert rows.encode(customer) == msgspec.msgpack.encode([4, 20])
    assert rows.encode(route) == msgspec.msgpack.encode(list(route[:-1]))
    for value in (
        customer,
        route,
        customer._replace(burst=3),
        customer._replace(keys=('k',), priority=0),
        route._replace(public=True),
    ):
        assert rows.decode(type(value), rows.encode(value)) == value


def test_one_key_more_changes_two_rows_of_many_customers():
    """Guards against versions that cost what stays."""
    customers = {
        'c%d' % n: manifests.Customer(keys=('k%d' % n,)) for n in range(300)
    }
    old = rows.from_manifest(MANIFEST._replace(customers=customers))
    customers['c7'] = manifests.Customer(keys=('k7', 'new'))
    new = rows.from_manifest(MANIFEST._replace(customers=customers))
    one, two = rows.Version(1, 1), rows.Version(1, 2)
    delta = rows.difference(old, new, one, two)
    assert [key for key, _value in delta.put] == [
        rows.credential('new'),
        'customer/c7',
    ]
    assert routing.Routing(two, new).customer_of(rows.credential('new')) == (
        'c7'
    )


@pytest.mark.parametrize(
    'key',
    [rows.HEAD, rows.LIMITS, rows.KEYS_REQUIRED, rows.credential('k')],
)
def test_team_without_a_scope_may_not_change_a_shared_row(key):
    """Guards against a row of which nobody said who may change it."""
    caller = types.SimpleNamespace(team='a', may=lambda _scope: False)
    delta = rows.Delta(rows.NONE, rows.Version(1, 1), ((key, b'x'),), (), b'')
    found = ownership.foreign({}, delta, caller)
    assert [mistake.path for mistake in found] == [rows.shown(key)]


def test_a_key_of_a_customer_is_shown_by_a_part_of_its_digest():
    """Guards against a digest by which a key can be guessed."""
    key = rows.credential('sesame')
    digest = key.removeprefix(rows.CREDENTIAL)
    shown = rows.shown(key).removeprefix(rows.CREDENTIAL)
    assert digest.startswith(shown) and 2 * len(shown) < len(digest)
    assert rows.shown('customer/north') == 'customer/north'
