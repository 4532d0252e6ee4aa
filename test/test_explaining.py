"""Explaining a failed request from logs; the pages of events and metrics."""

import json
import pathlib
import re
import types

import pytest

from carawaystair.control import interfaces as control
from carawaystair import explain
from carawaystair import nodemetrics
from carawaystair import rows
from carawaystair.ui import main
from test import gateway_setup as fleets
from test import pipes
from tools import events_page

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / 'docs'


def logs_of(fleet) -> list[str]:
    """Return the log lines of all nodes, as a collector mixes them."""
    return [
        '   1.234 node %s' % line.decode()
        for node in fleet.nodes
        for line in node.lines.lines
    ]


def failing(script, path, **options):
    """Return the log lines and the answer of one request that fails."""

    async def scenario():
        async with fleets.running(None, script) as fleet:
            answer = await fleet.ask(path, Caraway_Request_Id='abc', **options)
            return logs_of(fleet), answer

    return pipes.run(scenario())


def test_story_of_a_failure_is_in_causal_order_and_names_its_cause():
    lines, answer = failing(fleets.fail, '/read/x')
    events = explain.story(explain.read(lines), 'abc')
    names = [event['event'] for event in events]
    assert answer.status == 500
    assert names.index('began') < names.index('ended')
    assert names[-1] == 'answered'
    assert 'u9001 made it error' in explain.cause(events)


def test_story_tells_a_rejection_with_its_inputs():
    async def shed(upstream, seen, writer):
        writer.write(fleets.setups.reply(b'full', 503, Caraway_Not_Run='1'))

    lines, answer = failing(shed, '/pay/x', method='POST', body=b'x')
    events = explain.story(explain.read(lines), 'abc')
    assert answer.status == 503
    told = ' '.join(map(explain.sentence, events))
    assert 'refused by the gateway of u9001: shed' in told
    assert 'not-run' in told
    assert '?' not in told


def test_cause_is_the_run_whose_answer_the_caller_got_and_its_call():
    """Symptom: a cause that sends engineers to the wrong upstream.
    Sequence: a call of a run fails, so does the run, and the next upstream
    leaves before the request is sent to it.  Cause: the last thing that
    went wrong is not what the caller was told.
    """
    lines = [
        json.dumps({'id': name, 'event': event, 'time_ms': at, **rest})
        for name, event, at, rest in (
            ('a.b', 'answered', 990, {'status': 500, 'outcome': 'complete'}),
            (
                'a',
                'ended',
                1000,
                {
                    'upstream': 'u1',
                    'outcome': 'error',
                    'status': 500,
                    'service_ms': 300,
                },
            ),
            ('a', 'broke', 1500, {'upstream': 'u2', 'code': 'CS-4008'}),
            ('a', 'answered', 1501, {'status': 500, 'outcome': 'complete'}),
        )
    ]
    told = explain.cause(explain.story(explain.read(lines), 'a'))
    assert told.startswith('u1 made it error, status 500')
    assert 'its call a.b was answered with 500' in told


def test_request_without_a_route_is_told_with_the_version_in_force():
    """Symptom: a route that was just added is answered 404 at one node.
    Sequence: the node has not got the new configuration yet.
    Cause: only its version and age tell that from a wrong path.
    """
    lines, answer = failing(fleets.serve, '/nowhere')
    events = explain.story(explain.read(lines), 'abc')
    assert answer.status == 404
    told = explain.cause(events)
    assert told.startswith('rejected with 404 CS-3001: GET h /nowhere')
    assert 'configuration 1.1, in force here for' in told


def test_calls_of_a_request_belong_to_its_story():
    lines = [
        json.dumps({'id': name, 'event': 'left', 'total_ms': 1, 'time_ms': t})
        for t, name in enumerate(('a', 'a.b', 'ab', 'a.b.c'))
    ]
    found = explain.story(explain.read([*lines, 'no event', '{"x"']), 'a')
    assert [event['id'] for event in found] == ['a', 'a.b', 'a.b.c']


def test_command_prints_text_and_json(tmp_path, capsys):
    lines, _answer = failing(fleets.fail, '/read/x')
    path = tmp_path / 'log'
    path.write_text('\n'.join(lines))
    assert main.main(['explain', 'abc', str(path)]) == 0
    assert 'Cause: u9001 made it error' in capsys.readouterr().out
    assert main.main(['explain', 'abc', '--json', str(path)]) == 0
    assert json.loads(capsys.readouterr().out)['events']
    assert main.main(['explain', 'nobody', str(path)]) == 1
    assert main.main(['explain', 'abc', str(tmp_path / 'none')]) == 2


def test_lines_that_are_no_decisions_are_told_in_their_place(tmp_path, capsys):
    """Guards against a story that ends at a line of the log with an id.

    Symptom: ``explain`` ends with ``KeyError: 'time_ms'``.  Sequence: an
    answer of the request broke off, which is a line of the log.  Cause: such
    a line has a time stamp in place of the time of a decision.
    """
    lines = [
        {
            'event': 'gateway: Answer interrupted.',
            'host': 'h1',
            'id': 'a',
            'timestamp': '1970-01-01T00:00:01.500000Z',
            'why': 'caller left',
        },
        {'event': 'left', 'host': 'h2', 'id': 'a', 'time_ms': 1000},
        {'event': 'left', 'host': 'h2', 'id': 'a', 'time_ms': 2000},
        {'id': 7, 'event': 'of another program', 'time_ms': 1},
        {'id': 'a', 'of': 'another program', 'time_ms': 1},
        {'id': 'a', 'event': 'of another program'},
        {'id': 'a', 'event': 'of another program', 'timestamp': 'now'},
    ]
    path = tmp_path / 'log'
    path.write_text('\n'.join(map(json.dumps, lines)))
    assert main.main(['explain', 'a', str(path)]) == 0
    told = capsys.readouterr().out.splitlines()
    assert len(told) == 4
    assert 'Answer interrupted. caller left' in told[1]


def test_every_event_has_a_sentence():
    events = {name for _part, name in events_page.decisions.NAMES.values()}
    assert events - set(explain.SENTENCES) == {'noted'}


def test_page_of_events_is_made_of_the_types():
    text = (DOCS / 'EVENTS.md').read_text()
    assert text == events_page.page(), 'run "make docs"'


def test_page_of_metrics_has_every_name():
    named = re.compile(r"(?:Sample|summary)\(\s*'([a-z_]+)'")
    code = {
        name
        for path in (ROOT / 'carawaystair').rglob('*.py')
        for name in named.findall(path.read_text())
    }
    for part in ('links', 'datagrams'):
        code |= {part + e for e in ('_sent_total', '_sent_bytes_total')}
        code.add(part + '_refused_total')
    page = (DOCS / 'METRICS.md').read_text()
    rows = [line.split(' | ')[0] for line in page.splitlines()]
    told = {
        name
        for row in rows
        if row.startswith('| `')
        for name in re.findall(r'`([a-z_]+)`', row)
    }
    assert told == code


@pytest.mark.parametrize('name', ['relayed_total', 'gateway_runs_total'])
def test_gateway_counts(name):
    async def scenario():
        async with fleets.running(fleets.serve) as fleet:
            await fleet.ask('/read/a')
            samples = list(fleet.nodes[0].service.request_metrics.samples())
            samples += list(fleet.nodes[0].service.samples())
            return {sample.name: sample.value for sample in samples}

    assert pipes.run(scenario())[name] == 1


def test_control_host_counts():
    member = control.Voter('a', '127.0.0.1:1')
    status = control.Status(
        'a', control.LEADER, 3, 'a', '', 7, 7, 8, 0.0, (member,)
    )
    group = types.SimpleNamespace(
        status=lambda: status, version=lambda: rows.Version(3, 7)
    )
    found = nodemetrics.ControlMetrics(group).samples()
    counted = {(s.name, *s.labels): s.value for s in found}
    assert counted['control_voters',] == 1
    assert counted['control_term',] == 3
    assert counted['control_role', ('role', 'leader')] == 1
