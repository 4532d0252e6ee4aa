"""Holds the pages of keys, commands and resources to the code."""

import json
import pathlib
import re
import typing

import pytest

from carawaystair import manifest as manifests
from carawaystair import manifest_rules
from carawaystair import settings as settings_module
from test import test_admin_openapi
from tools import cli_page

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


def table(page: str) -> dict[str, list[str]]:
    """Return the rows of a page's tables that begin with a code word."""
    lines = (DOCS / page).read_text().splitlines()
    cells = [
        line.strip('| ').split(' | ') for line in lines if line[:2] == '| '
    ]
    return {
        row[0].strip('`'): row[1:] for row in cells if row[0].startswith('`')
    }


def leaves(kind, path: str) -> typing.Iterator[tuple[str, typing.Any]]:
    """Yield the paths of a type with their defaults, as pages write them."""
    hints = typing.get_type_hints(kind)
    for name in kind._fields:
        default = kind._field_defaults.get(name, ...)
        yield from _leaves(hints[name], '%s%s' % (path, name), default)


def _leaves(kind, path, default) -> typing.Iterator:
    inner = [k for k in typing.get_args(kind) if hasattr(k, '_fields')]
    origin = typing.get_origin(kind)
    if hasattr(kind, '_fields'):
        yield from leaves(kind, path + '.')
    elif not inner:
        yield path, default
    elif origin is dict:
        yield from leaves(inner[0], path + '.NAME.')
    elif origin is tuple:
        yield path, default
        yield from leaves(inner[0], path + '[].')
    else:
        yield path, default
        yield from leaves(inner[0], path + '.')


def shown(default) -> str:
    """Return a default as pages write it."""
    if default is ...:
        return 'must be set'
    return '`%s`' % json.dumps(default)


def test_settings_page_has_every_key_with_its_default():
    defaults = settings_module.defaults()

    def _default(path: str, own) -> str:
        value: typing.Any = defaults
        for step in path.split('.'):
            found = isinstance(value, dict) and step in value
            value = value[step] if found else own
        return shown(value)

    code = {
        path: _default(path, own)
        for path, own in leaves(settings_module.Settings, '')
    }
    page = {key: row[0] for key, row in table('SETTINGS.md').items()}
    assert page == code


def test_defaults_file_names_every_key():
    """The file is what an operator copies from."""
    text = settings_module.DEFAULTS.read_text()
    for path, _default in leaves(settings_module.Settings, ''):
        if '[]' not in path and not path.startswith('control.tls.'):
            assert '"%s"' % path.rpartition('.')[2] in text, path


def test_manifest_page_has_every_key_with_default_and_bounds():
    code = {}
    for path, default in leaves(manifests.Manifest, ''):
        if path == 'routes':
            continue
        path += '[]' * path.startswith('drains.')
        code[path] = 'must be set' if '[]' in path[-2:] else shown(default)
    page = table('MANIFEST.md')
    assert {key: row[0] for key, row in page.items()} == code
    bounds = {
        **{
            'services.NAME.%s' % name: '%d to %d' % (low, high)
            for name, low, high in manifest_rules.SERVICE_BOUNDS
        },
        **{
            'customers.NAME.%s' % name: '%d to %d' % (low, high)
            for name, low, high in manifest_rules.CUSTOMER_BOUNDS
        },
    }
    assert {key: page[key][1] for key in bounds} == bounds


def test_command_page_is_the_programs_own_help(monkeypatch):
    monkeypatch.setenv('COLUMNS', str(cli_page.WIDTH))
    assert (DOCS / 'CLI.md').read_text() == cli_page.page(), 'run "make docs"'


def test_api_page_has_every_resource_and_scope():
    text = (DOCS / 'API.md').read_text()
    rows = re.findall(r'^\| `([A-Z]+)` \| `(/\S+)` \| `?(\w*)', text, re.M)
    code = {(r.method, r.path, r.scope) for r in test_admin_openapi.served()}
    assert set(rows) == code
    scopes = [s for s in settings_module.SCOPES if '| `%s` |' % s in text]
    assert scopes == list(settings_module.SCOPES)


@pytest.mark.parametrize(
    'page', [p.relative_to(DOCS) for p in sorted(DOCS.rglob('*.md'))], ids=str
)
def test_links_between_pages_lead_somewhere(page):
    text = (DOCS / page).read_text()
    for target in re.findall(r'\]\(([^)#:]+)[^):]*\)', text):
        assert ((DOCS / page).parent / target).exists(), target


def test_unit_on_the_install_page_reloads_only_what_handles_it():
    """Guards against a unit under which a reload ends a host that starts."""
    page = (DOCS / 'operate' / 'install.md').read_text()
    unit = [line.strip() for line in page.splitlines()]
    (start,) = (line for line in unit if line.startswith('ExecStart='))
    assert start.startswith('ExecStart=/usr/bin/nohup /')
    assert (
        'Type=notify' in unit and 'ExecReload=/bin/kill -HUP $MAINPID' in unit
    )
