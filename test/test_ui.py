"""Tests of the CLI against an HTTP server with fixed responses."""

import http.server
import json
import threading
import typing

import pytest

from carawaystair.admin import teams
from carawaystair import codes
from carawaystair import settings as settings_module
from carawaystair.ui import command
from carawaystair.ui import main
from carawaystairplug import commands_customers

EVENT = {'time': 1 << 16, 'host': 'a', 'kind': 'started', 'service': 'portal'}


class Request(typing.NamedTuple):
    """One request that the server received."""

    method: str
    path: str
    headers: dict
    body: bytes


class Api(http.server.ThreadingHTTPServer):
    """Responds from a table by method and path; records the requests."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(('127.0.0.1', 0), _Handler)
        self.responses: dict = {}
        self.requests: list[Request] = []
        self.base = 'http://127.0.0.1:%d' % self.server_port


class _Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self) -> None:
        size = int(self.headers.get('Content-Length', 0))
        body = self.rfile.read(size)
        headers = dict(self.headers)
        self.server.requests.append(
            Request(self.command, self.path, headers, body)
        )
        key = (self.command, self.path.partition('?')[0])
        status, value = self.server.responses.get(key, (404, {'x': 1}))
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_POST = do_GET

    def log_message(self, *_arguments) -> None:
        pass


@pytest.fixture
def server():
    api = Api()
    thread = threading.Thread(target=api.serve_forever, args=(0.01,))
    thread.start()
    yield api
    api.shutdown()
    thread.join()
    api.server_close()


def test_check_lists_every_mistake_with_path_and_nearest_key(tmp_path, capsys):
    file = tmp_path / 'node.json'
    file.write_text('{"host": "a", "data_center": "x", "region": 1}')
    assert main.main(['check', str(file)]) == command.EXIT_INVALID
    error = capsys.readouterr().err
    assert codes.SETTINGS_INVALID.label in error
    assert "$.data_center: unknown key; did you mean 'data_centre'?" in error
    assert '$.region: expected text' in error


def test_check_recognises_a_manifest_by_its_keys(tmp_path, capsys):
    file = tmp_path / 'm.json'
    file.write_text('{"format": 1, "services": {}}')
    assert main.main(['check', '--json', str(file)]) == command.EXIT_INVALID
    answer = json.loads(capsys.readouterr().out)
    assert answer['kind'] == 'manifest'
    assert answer['code'] == codes.MANIFEST_INVALID.label
    assert {'path': '$.routes', 'text': 'is missing'} in answer['mistakes']


def test_missing_file_is_reported_with_its_code(tmp_path, capsys):
    assert main.main(['check', str(tmp_path / 'no')]) == command.EXIT_REFUSED
    assert codes.FILE_UNREADABLE.label in capsys.readouterr().err


def test_submit_sends_parent_id_and_token(server, tmp_path, capsys):
    (tmp_path / 'm.json').write_text('{}')
    (tmp_path / 'token').write_text('secret\n')
    accepted = {'version': '2.7', 'digest': 'ab12'}
    server.responses['POST', '/v1/manifests'] = (200, accepted)
    line = ['submit', str(tmp_path / 'm.json'), '--parent', 'ff00']
    line += ['--id', 'build-1', '--api', server.base]
    line += ['--token-file', str(tmp_path / 'token')]
    assert main.main(line) == command.EXIT_OK
    assert '2.7' in capsys.readouterr().out
    request = server.requests[0]
    assert request.body == b'{}'
    assert request.headers['Caraway-Parent'] == 'ff00'
    assert request.headers['Caraway-Submission'] == 'build-1'
    assert request.headers['Authorization'] == 'Bearer secret'


def test_refused_submission_shows_code_and_mistakes(server, tmp_path, capsys):
    (tmp_path / 'm.json').write_text('{}')
    refusal = {
        'code': codes.MANIFEST_INVALID.label,
        'detail': '',
        'mistakes': [{'path': '$.routes', 'text': 'is missing'}],
    }
    server.responses['POST', '/v1/manifests'] = (422, refusal)
    line = ['submit', str(tmp_path / 'm.json'), '--parent', 'none']
    code = main.main([*line, '--api', server.base])
    assert code == command.EXIT_INVALID
    error = capsys.readouterr().err
    assert '$.routes: is missing' in error
    assert 'Submission id: ' in error


def test_unreachable_api_has_its_own_exit_code(capsys):
    line = ['status', '--api', 'http://127.0.0.1:1']
    assert main.main(line) == command.EXIT_UNREACHABLE
    assert codes.API_UNREACHABLE.label in capsys.readouterr().err


def test_drain_sends_hosts(server, capsys):
    answer = {'version': '2.8', 'drains': {'hosts': ['a']}}
    server.responses['POST', '/v1/drains'] = (200, answer)
    line = ['drain', '--host', 'a', '--api', server.base]
    assert main.main(line) == command.EXIT_OK
    body = json.loads(server.requests[0].body)
    assert body == {'hosts': ['a'], 'data_centres': [], 'undo': False}
    assert 'Hosts: a' in capsys.readouterr().out


def test_timeline_sorts_events_causally_and_filters_them(server, capsys):
    other = EVENT | {'time': 2 << 16, 'host': 'b', 'service': 'docvault'}
    third = EVENT | {'time': 3 << 16, 'kind': 'stopped'}
    answer = [third, EVENT, other]
    server.responses['GET', '/v1/timeline'] = (200, answer)
    line = ['timeline', '--json', '--service', 'portal', '--node', server.base]
    assert main.main(line) == command.EXIT_OK
    lines = capsys.readouterr().out.splitlines()
    assert [json.loads(each)['kind'] for each in lines] == [
        'started',
        'stopped',
    ]


def test_event_read_from_two_apis_is_printed_once(server, capsys):
    server.responses['GET', '/v1/timeline'] = (200, [EVENT])
    line = ['timeline', '--json', '--api', server.base]
    assert main.main([*line, '--node', server.base]) == command.EXIT_OK
    assert len(capsys.readouterr().out.splitlines()) == 1


def test_malformed_response_is_reported_with_its_code(server, capsys):
    server.responses['GET', '/v1/timeline'] = (200, [{'time': 'x'}])
    line = ['timeline', '--node', server.base]
    assert main.main(line) == command.EXIT_REFUSED
    assert codes.API_ANSWER_ODD.label in capsys.readouterr().err


def test_generated_token_matches_its_settings_entry(tmp_path, capsys):
    file = tmp_path / 'portal.token'
    line = ['token', 'portal', str(file), '--scope', 'submit']
    assert main.main(line) == command.EXIT_OK
    entry = json.loads(capsys.readouterr().out)
    team = settings_module.Team(
        entry['name'], entry['token_digest'], tuple(entry['scopes'])
    )
    bearer = 'Bearer %s' % file.read_text().strip()
    caller = teams.Teams([team]).caller(bearer).ok
    assert (caller.team, caller.scopes) == ('portal', {'submit'})


def test_codes_prints_the_remedy_of_one_code(capsys):
    assert main.main(['codes', 'cs-8002']) == command.EXIT_OK
    assert codes.CONFLICT.remedy in capsys.readouterr().out
    assert main.main(['codes', '7']) == command.EXIT_REFUSED


def test_keygen_does_not_overwrite_a_file(tmp_path):
    file = tmp_path / 'fleet.key'
    assert main.main(['keygen', str(file)]) == command.EXIT_OK
    before = file.read_bytes()
    assert file.stat().st_mode & 0o077 == 0
    assert main.main(['keygen', str(file)]) == command.EXIT_REFUSED
    assert file.read_bytes() == before


def test_members_shows_and_changes_the_control_group(server, capsys):
    group = {'members': [{'name': 'c1', 'peer': 'x:1', 'voting': True}]}
    server.responses['GET', '/v1/status'] = (200, {'control': group})
    server.responses['POST', '/v1/members'] = (200, group | {'index': 7})
    api = ['--api', server.base]
    assert main.main(['members', *api]) == command.EXIT_OK
    assert 'voter' in capsys.readouterr().out
    line = ['members', 'add', 'c2', '--peer', '127.0.0.1:7401']
    assert main.main([*line, *api]) == command.EXIT_OK
    assert json.loads(server.requests[-1].body)['action'] == 'add'
    assert main.main(['members', 'add', *api]) == command.EXIT_USAGE


# Customers

CURRENT = {
    'version': '1.4',
    'digest': 'ab12',
    'manifest': {
        'format': 1,
        'customers': {
            'north': {'keys': ['k-1', 'k-2'], 'rate_per_s': 2.5, 'burst': 4},
            'south': {},
        },
    },
}
ACCEPTED = {'version': '1.5', 'digest': 'cd34'}


def _customers(server, *words) -> int:
    server.responses['GET', '/v1/manifests/current'] = (200, CURRENT)
    server.responses['POST', '/v1/manifests'] = (200, ACCEPTED)
    return main.main(['customers', *words, '--api', server.base])


def test_customers_are_listed_without_their_keys(server, capsys):
    assert _customers(server) == 0
    shown = capsys.readouterr().out
    assert 'north' in shown and '2.5/s' in shown
    assert commands_customers.shown_key('k-1') in shown
    assert 'k-1' not in shown


def test_key_is_added_on_the_version_in_force(server, capsys, tmp_path):
    file = tmp_path / 'key'
    file.write_text('k-3\n')
    assert _customers(server, 'add-key', 'north', '--key-file', str(file)) == 0
    sent = server.requests[-1]
    assert sent.headers['Caraway-Parent'] == 'ab12'
    keys = json.loads(sent.body)['customers']['north']['keys']
    assert keys == ['k-1', 'k-2', 'k-3']
    assert 'k-3' not in capsys.readouterr().out


def test_key_is_removed_by_its_digest(server):
    digest = commands_customers.shown_key('k-1')
    words = ('remove-key', 'north', '--key', digest, '--parent', 'ef56')
    assert _customers(server, *words) == 0
    sent = server.requests[-1]
    assert sent.headers['Caraway-Parent'] == 'ef56'
    assert json.loads(sent.body)['customers']['north']['keys'] == ['k-2']


@pytest.mark.parametrize(
    'words',
    [
        ('add-key', 'west', '--key-file', 'x'),
        ('add-key', 'north'),
        ('remove-key', 'north', '--key', ''),
        ('remove-key', 'north', '--key', 'zz'),
    ],
    ids=str,
)
def test_wrong_change_of_keys_is_not_sent(server, words):
    """Guards against a key that is taken away from somebody else."""
    assert _customers(server, *words) != 0
    assert [request.method for request in server.requests] == ['GET']
