"""Tests of the CLI against a running daemon with both roles."""

import json
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from carawaystair.ui import command
from carawaystair.ui import main
from test import test_admin
from test import test_daemon
from test import test_links

MAX_TRIES = 200


@pytest.fixture
def fleet(tmp_path):
    """Run a fleet of one daemon; yield its settings."""
    peer = test_links.free_address()
    file = test_daemon.settings(
        tmp_path,
        roles=['control', 'node'],
        data_folder=str(tmp_path / 'data'),
        peer=peer,
        gossip=peer,
        control_hosts=[peer],
        control={'admin': test_links.free_address()},
    )
    process = subprocess.Popen(
        [sys.executable, '-m', 'carawaystair.start', '--settings', file],
        cwd=pathlib.Path(__file__).parent.parent,
    )
    try:
        yield json.loads(file.read_text())
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.wait()


def run(capsys, *line: str) -> tuple[int, str]:
    """Run one command line; return its exit code and standard output."""
    capsys.readouterr()
    code = main.main([str(argument) for argument in line])
    return code, capsys.readouterr().out


def run_until(capsys, text: str, *line: str) -> str:
    """Repeat a command until it succeeds and prints ``text``.

    :return: its standard output.
    """
    for _try in range(MAX_TRIES):
        code, out = run(capsys, *line)
        if code == command.EXIT_OK and text in out:
            return out
        time.sleep(0.05)
    raise AssertionError(
        '%s did not print %r; last output: %s' % (line, text, out)
    )


def test_submit_reaches_the_node_and_repeats_give_the_same_answer(
    fleet, tmp_path, capsys
):
    """Guards against an unknown outcome after a lost response.

    A dropped connection loses the response to a submission, and the pipeline
    can't tell whether the change was made.  It submits again under the same
    id or asks for that id, and must get the first answer.
    """
    api = ('--api', 'http://%s' % fleet['control']['admin'])
    node = ('--node', 'http://%s' % fleet['node']['local'])
    run_until(capsys, '', 'status', *api)
    file = tmp_path / 'manifest.json'
    file.write_text(json.dumps(test_admin.MANIFEST))
    submit = ('submit', file, '--parent', 'none', '--id', 'a', '--json', *api)
    code, first = run(capsys, *submit)
    assert code == command.EXIT_OK
    assert run(capsys, *submit) == (command.EXIT_OK, first)
    repeated = run(capsys, 'submission', 'a', '--json', *api)
    assert repeated == (command.EXIT_OK, first)
    run_until(capsys, 'ready                True', 'status', *node)
    run_until(capsys, '1 at this version, 0 behind', 'status', *api)
    version = json.loads(first)['version']
    printed = run(capsys, 'timeline', '--version', version, *api, *node)
    assert 'version-in-force' in printed[1]


def test_suspects_are_listed_and_an_unknown_one_is_not_cleared(fleet, capsys):
    node = ('--node', 'http://%s' % fleet['node']['local'])
    listed = run_until(capsys, 'digest', 'suspects', *node)
    assert listed.split() == [
        'digest',
        'request',
        'age_s',
        'refused_s',
        'cleared',
        'upstreams',
    ]
    code = main.main(['suspects', '--clear', 'none', *node])
    assert code == command.EXIT_REFUSED
    assert 'CS-4010' in capsys.readouterr().err
