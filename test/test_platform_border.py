"""Only the adapter uses the platform's names, and it stays small."""

import pathlib
import platform
import re
import subprocess
import sys
import tomllib

from carawaystair import settings
from test import platform_setup  # makes the next import possible

from adapter import main
from adapter import platform_settings

ROOT = pathlib.Path(__file__).parent.parent
OUTSIDE = ('carawaystair', 'carawaystairplug', 'standin', 'bench', 'tools')
# Paths, fields and headers of the platform.
NAMES = re.compile(
    r'X-(Request-Id|Deadline-Ms|Target-Instance|Caller-Service|'
    r'Response-Signature|Not-Executed|Instance-Id)|'
    r'/carawaystair/(ready|instances|config)|'
    r'heartbeat_addr|cold_remaining|base_version|traffic_split|path_prefix|'
    r'route_type|target_latency|resource_type|control_plane|sidecar|'
    r'CARAWAYSTAIR_CONFIG|\bapp_addr\b|\bnode_name\b',
    re.IGNORECASE,
)
MAX_LINES = 1500


def test_folder_does_not_hide_the_standard_module():
    assert platform.python_implementation()
    script = 'import platform; print(platform.python_version())'
    found = subprocess.run(
        [sys.executable, '-c', script],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    assert found.stdout.decode().startswith('3.')


def test_names_of_the_platform_occur_only_in_the_adapter():
    found = [
        '%s:%d: %s' % (path, number, line.strip())
        for folder in OUTSIDE
        for path in sorted((ROOT / folder).rglob('*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []


def test_no_other_code_imports_the_adapter():
    importing = re.compile(r'^\s*(from|import) adapter\b')
    found = [
        str(path)
        for folder in OUTSIDE
        for path in sorted((ROOT / folder).rglob('*.py'))
        for line in path.read_text().splitlines()
        if importing.search(line)
    ]
    assert found == []


def test_adapter_is_below_the_limit_of_lines():
    lines = sum(
        len(path.read_text().splitlines())
        for path in platform_setup.FOLDER.rglob('*.py')
    )
    assert lines < MAX_LINES


def test_adapter_maps_all_headers_of_the_settings():
    assert set(platform_settings.HEADERS) == set(settings.Headers._fields)


def test_deploy_file_has_the_metrics_port_and_pins_match_dependencies():
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    ports = {role['metrics'] for role in deploy['roles'].values()}
    assert ports == {'%d/metrics' % main.METRICS_PORT}
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())
    pinned = (ROOT / 'requirements.txt').read_text().split()
    assert sorted(pinned) == sorted(project['project']['dependencies'])


def test_process_with_invalid_settings_exits_with_one_line(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text('[self]\nip = "10.0.0.1"\n')
    found = subprocess.run(
        [sys.executable, str(platform_setup.FOLDER / 'start.py')],
        cwd=ROOT,
        env={'CARAWAYSTAIR_CONFIG': str(path), 'PATH': '/usr/bin'},
        capture_output=True,
        check=False,
    )
    assert found.returncode == 2
    lines = found.stderr.decode().splitlines()
    assert lines == ['settings: settings.network is missing.']
