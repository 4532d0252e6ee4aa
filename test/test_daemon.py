"""Tests of the daemon as a process and of its settings on the way in."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

import mode

from carawaystair import daemon
from carawaystair import plugins
from carawaystair import reload_signal
from carawaystair import settings as settings_module
from test import test_links

ROOT = pathlib.Path(__file__).parent.parent
START_TRIES = 300


def settings(folder: pathlib.Path, **changes) -> pathlib.Path:
    """Write the settings of one process; return the file."""
    peer = test_links.free_address()
    document = {
        'host': 'h1',
        'data_centre': 'dc-1',
        'region': 'r-1',
        'peer': peer,
        'gossip': peer,
        'node': {
            'listen': test_links.free_address(),
            'local': test_links.free_address(),
        },
    }
    file = folder / 'settings.json'
    file.write_text(json.dumps(document | changes))
    return file


def test_unknown_key_starts_nothing_and_names_the_nearest(tmp_path, capsys):
    file = settings(tmp_path, seed=['127.0.0.1:1'])
    assert daemon.main(['--settings', str(file)]) == daemon.EXIT_SETTINGS
    text = capsys.readouterr().err
    assert 'CS-1003' in text
    assert "$.seed: unknown key; did you mean 'seeds'?" in text


def test_missing_file_is_numbered(tmp_path, capsys):
    file = str(tmp_path / 'none.json')
    assert daemon.main(['--settings', file]) == daemon.EXIT_SETTINGS
    assert 'CS-1001' in capsys.readouterr().err


def _get(url: str) -> dict:
    for _try in range(START_TRIES):
        try:
            with urllib.request.urlopen(url) as answer:
                return json.load(answer)
        except OSError:
            time.sleep(0.05)
    raise AssertionError('%s never answered' % url)


def test_process_starts_shows_itself_and_ends_on_sigterm(tmp_path):
    file = settings(tmp_path)
    process = subprocess.Popen(
        [sys.executable, '-m', 'carawaystair.start', '--settings', file],
        cwd=ROOT,
        stderr=subprocess.PIPE,
    )
    try:
        local = json.loads(file.read_text())['node']['local']
        status = _get('http://%s/v1/status' % local)
        assert status['host'] == 'h1'
        assert not status['ready']
        kinds = [e['kind'] for e in _get('http://%s/v1/timeline' % local)]
        assert 'process-started' in kinds
        process.send_signal(signal.SIGTERM)
        _out, errors = process.communicate(timeout=30)
        assert process.returncode == daemon.EXIT_OK, errors
    finally:
        process.kill()
        process.wait()


def test_address_in_use_is_numbered_and_leaves_nothing_running(tmp_path):
    file = settings(tmp_path)
    first = subprocess.Popen(
        [sys.executable, '-m', 'carawaystair.start', '--settings', file],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    try:
        local = json.loads(file.read_text())['node']['local']
        _get('http://%s/v1/status' % local)
        second = subprocess.run(
            [sys.executable, '-m', 'carawaystair.start', '--settings', file],
            cwd=ROOT,
            capture_output=True,
            timeout=30,
        )
        assert second.returncode == daemon.EXIT_FAILED
        assert b'CS-1004' in second.stderr
    finally:
        first.kill()
        first.wait()


class Crashing(mode.Service):
    """A role whose task ends by an exception."""

    @mode.Service.task
    async def _work(self):
        await asyncio.sleep(0.01)
        raise ValueError('lost track')


class CrashingPlugin(plugins.Plugin):
    """Brings the crashing role in place of a node."""

    def roles(self):
        return {'node': lambda _kernel: Crashing()}


def test_crashed_part_ends_the_process(tmp_path):
    """A process must not go on without one of its parts.

    Symptom: a node routes by what it knew hours ago.  Sequence: the task
    that follows membership ends by an exception, all other tasks go on.
    Cause: nobody notices the end of a task.
    """
    loaded = settings_module.load(str(settings(tmp_path))).ok
    registry = plugins.Registry([CrashingPlugin()])
    code = asyncio.run(daemon.run(loaded, registry))
    # The processes of later tests would inherit it.
    reload_signal.release()
    assert code == daemon.EXIT_FAILED


class Interrupted(mode.Service):
    """A role in whose start the process is asked to stop."""

    async def on_start(self):
        os.kill(os.getpid(), signal.SIGTERM)


class InterruptedPlugin(plugins.Plugin):
    """Brings that role in place of a node."""

    def roles(self):
        return {'node': lambda _kernel: Interrupted()}


def test_signal_during_a_start_starts_nothing_more(tmp_path):
    """Guards against a start that uses up the time of the stop."""
    loaded = settings_module.load(str(settings(tmp_path))).ok
    registry = plugins.Registry([InterruptedPlugin()])
    made = []

    def extend(process):
        process.extensions.append(
            lambda _process: made.append(1) or mode.Service()
        )

    code = asyncio.run(daemon.run(loaded, registry, extend=extend))
    reload_signal.release()
    assert (code, made) == (daemon.EXIT_OK, [])
