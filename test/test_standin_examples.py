"""Tests of the example deployments: accepted, and of the users' sizes."""

import collections
import json
import pathlib

import pytest

from carawaystair import manifest as manifests
from carawaystair import settings as settings_module

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
SIZES = {
    'reykjavik': {'portal': 8, 'settlement': 10, 'docvault': 8},
    'amman': {'stockview': 8, 'holddesk': 8, 'docvault': 8},
}
SLOTS = {'reykjavik': 5, 'amman': 4}
DETECTION = {'reykjavik': 'conservative', 'amman': 'fast'}

each = pytest.mark.parametrize('name', sorted(SIZES))


def manifest(name):
    """Return an example's manifest."""
    result = manifests.read((EXAMPLES / name / 'manifest.json').read_bytes())
    assert result.is_ok(), result.error
    return result.ok


def hosts(name):
    """Return the settings of an example's hosts."""
    files = sorted((EXAMPLES / name / 'settings').glob('*.json'))
    results = [settings_module.load(str(file)) for file in files]
    assert all(result.is_ok() for result in results), results
    return [result.ok for result in results]


@each
def test_manifest_names_the_services_and_their_detection(name):
    document = manifest(name)
    assert set(document.services) == set(SIZES[name])
    found = {service.detection for service in document.services.values()}
    assert found == {DETECTION[name]}
    weights = sorted(c.weight for c in document.customers.values())
    assert weights[-1] >= sum(weights[:-1]), 'one customer is dominant'


@each
def test_hosts_fit_together(name):
    every = hosts(name)
    centres = manifests.data_centres(manifest(name))
    assert {host.data_centre for host in every} == set(centres)
    assert len(centres) == 4
    assert len({host.host for host in every}) == len(every)
    peers = {host.peer for host in every}
    assert len(peers) == len(every)
    control = [host for host in every if 'control' in host.roles]
    assert len({host.data_centre for host in control}) == 3
    assert all(host.data_folder for host in control)
    for host in every:
        assert set(host.control_hosts) == {c.peer for c in control}
        assert set(host.seeds) <= peers - {host.peer}


@each
def test_servers_are_those_of_the_users(name):
    servers = json.loads((EXAMPLES / name / 'upstreams.json').read_text())
    counts = collections.Counter(server['service'] for server in servers)
    assert counts == SIZES[name]
    assert {server['slots'] for server in servers} == {SLOTS[name]}
    known = {host.host for host in hosts(name)}
    assert {server['host'] for server in servers} <= known
