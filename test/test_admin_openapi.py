"""Holds the OpenAPI page and the code of the administration API together."""

import json
import pathlib
import typing

import pytest

from carawaystair.admin import audit
from carawaystair.admin import changes
from carawaystair.admin import fleet
from carawaystair.admin import members
from carawaystair.admin import observe
from carawaystair.admin import replies
from carawaystair.admin import resources
from carawaystair.admin import stops
from carawaystair import manifest as manifests
from carawaystair import shape
from carawaystair import timeline as timelines

ROOT = pathlib.Path(__file__).parent.parent
PAGE = json.loads((ROOT / 'docs' / 'openapi.json').read_text())
TYPES = {
    str: 'string',
    int: 'integer',
    bool: 'boolean',
    float: 'number',
}
SCHEMAS = {
    'Accepted': replies.Accepted,
    'AuditEntry': audit.Entry,
    'Back': changes.Back,
    'Change': changes.Change,
    'Changed': members.Changed,
    'Current': observe.Current,
    'Drains': manifests.Drains,
    'DryRun': changes.DryRun,
    'Entry': observe.Entry,
    'Event': timelines.Event,
    'Group': observe.Group,
    'Member': observe.Member,
    'MemberChange': members.MemberChange,
    'Mistake': shape.Mistake,
    'Problem': replies.Problem,
    'Seen': fleet.Seen,
    'Status': observe.Status,
    'Stop': stops.Stop,
    'Stopped': stops.Stopped,
}


def served() -> tuple[resources.Resource, ...]:
    """Return the resources, bound to nothing."""
    return resources.every(
        changes.Changes(None, None),
        stops.Stops(None, None, None),
        members.Members(None),
        observe.Observe(None, None, None, None),
    )


def test_page_has_every_resource_with_its_scope():
    page = {
        (method.upper(), path): operation.get('description', '')
        for path, methods in PAGE['paths'].items()
        for method, operation in methods.items()
    }
    code = {
        (each.method, each.path): each.scope
        and 'Needs scope `%s`.' % each.scope
        for each in served()
    }
    assert page == code


@pytest.mark.parametrize('name', sorted(SCHEMAS))
def test_schema_has_the_fields_of_its_type(name):
    properties = PAGE['components']['schemas'][name]['properties']
    hints = typing.get_type_hints(SCHEMAS[name])
    assert list(properties) == list(hints)
    for field, kind in hints.items():
        if kind in TYPES:
            assert properties[field]['type'] == TYPES[kind], field


def test_no_schema_is_left_unchecked():
    assert set(PAGE['components']['schemas']) == {*SCHEMAS, 'Manifest'}
