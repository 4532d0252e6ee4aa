"""Tests of the configuration as rows, and of routing by them."""

import hypothesis
from hypothesis import strategies
import pytest

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
