"""Tests of what callers may send, and of the handling of invalid requests."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from carawaystair import manifest
from carawaystair.request import http_server
from test import pipes
from test import request_setup as setups

HEAD = b'GET /portal/x HTTP/1.1\r\nHost: h\r\n'
POST = b'POST /portal/x HTTP/1.1\r\nHost: h\r\n'


def send(*data, pause_s=0.0, within_s=200.0, **options):
    """Send bytes; return all answers until the connection ends.

    :param pause_s: pause after each piece, seconds.
    :param within_s: time in which the connection must end, seconds.
    """

    async def scenario():
        async with setups.running(setups.Upstream(9001), **options) as setup:
            reader, writer = await setups.connect()
            for piece in data:
                writer.write(piece)
                await asyncio.sleep(pause_s)
            answers = []
            try:
                async with asyncio.timeout(within_s):
                    while True:
                        answers.append(await setups.read_answer(reader))
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            held = setup.admission.held
            return answers, setup.runs, held

    answers, runs, held = pipes.run(scenario())
    assert held == 0
    return answers, runs


SHAPES = {
    'both lengths': (
        POST + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\n',
        'CS-3004',
    ),
    'two lengths': (
        POST + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
        'CS-3004',
    ),
    'signed length': (POST + b'Content-Length: +3\r\n\r\nabc', 'CS-3004'),
    'folded header': (HEAD + b'X-A: 1\r\n  more\r\n\r\n', 'CS-3004'),
    'space before colon': (HEAD + b'X-A : 1\r\n\r\n', 'CS-3004'),
    'no host': (b'GET /portal/x HTTP/1.1\r\n\r\n', 'CS-3004'),
    'two hosts': (HEAD + b'Host: other\r\n\r\n', 'CS-3004'),
    'not chunked last': (
        POST + b'Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n',
        'CS-3004',
    ),
    'bare line feed': (HEAD.replace(b'\r', b'') + b'\n', 'CS-3004'),
    'nul': (HEAD + b'X-A: a\0b\r\n\r\n', 'CS-3004'),
    'no http': (b'\x16\x03\x01 hello\r\n\r\n', 'CS-3004'),
    'bad chunk size': (
        POST + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
        'CS-3004',
    ),
    'long line': (HEAD + b'X-A: %b\r\n\r\n' % bytes(b'a' * 9000), 'CS-3005'),
    'long path': (
        b'GET /portal/%b HTTP/1.1\r\nHost: h\r\n\r\n' % (b'a' * 9000),
        'CS-3005',
    ),
    'many headers': (HEAD + b'X-A: 1\r\n' * 101 + b'\r\n', 'CS-3005'),
    'long body': (POST + b'Content-Length: 5000\r\n\r\n', 'CS-3006'),
    'long chunks': (
        POST
        + b'Transfer-Encoding: chunked\r\n\r\n1388\r\n%b\r\n' % bytes(5000),
        'CS-3006',
    ),
    'two customers': (
        HEAD + b'Caraway-Customer: a\r\nCaraway-Customer: b\r\n\r\n',
        'CS-3009',
    ),
    'long customer': (
        HEAD + b'Caraway-Customer: %b\r\n\r\n' % (b'a' * 129),
        'CS-3009',
    ),
    'deadline': (HEAD + b'Caraway-Deadline-Ms: 1.5\r\n\r\n', 'CS-3010'),
    'long deadline': (
        HEAD + b'Caraway-Deadline-Ms: 3600001\r\n\r\n',
        'CS-3010',
    ),
    'empty key': (POST + b'Idempotency-Key:\r\n\r\n', 'CS-5005'),
    'trace': (HEAD.replace(b'GET', b'TRACE') + b'\r\n', 'CS-3012'),
    'tunnel': (b'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n', 'CS-3012'),
    'dots': (HEAD.replace(b'/x', b'/%2e%2E/y') + b'\r\n', 'CS-3013'),
    'plain dots': (HEAD.replace(b'/x', b'/../y') + b'\r\n', 'CS-3013'),
    'expectation': (HEAD + b'Expect: more\r\n\r\n', 'CS-3014'),
    'loop': (HEAD + b'Via: 1.0 x, 1.1 h1 (y)\r\n\r\n', 'CS-3015'),
    'path beyond ascii': (HEAD.replace(b'/x', b'/\xff') + b'\r\n', 'CS-3004'),
    'host beyond ascii': (
        HEAD.replace(b'Host: h', b'Host: h\xff') + b'\r\n',
        'CS-3004',
    ),
    'no route': (HEAD.replace(b'portal', b'other') + b'\r\n', 'CS-3001'),
}


@pytest.mark.parametrize('name', SHAPES)
def test_refused(name):
    """Each invalid request gets its code, and is not sent to an upstream."""
    data, code = SHAPES[name]
    service = manifest.Service(max_body=4000)
    answers, runs = send(data, service=service)
    assert [(a.outcome, a.code) for a in answers] == [('not-run', code)]
    assert runs == []


def test_smuggling():
    """Guards against request smuggling.

    After an ambiguous request, the bytes that follow it look like another
    request.  Nothing more must be read from the connection.
    """
    data, _code = SHAPES['both lengths']
    answers, runs = send(data + HEAD + b'\r\n', HEAD + b'\r\n')
    assert (len(answers), len(runs)) == (1, 0)


def test_forwarded_headers():
    """Hop-by-hop and forged headers are dropped; the others are forwarded."""
    answers, runs = send(
        HEAD
        + b'X-Kept: \xfc a\r\nConnection: close, X-Named\r\nX-Named: 1\r\n'
        b'TE: trailers\r\nUpgrade: h2c\r\nCaraway-Outcome: complete\r\n'
        b'Caraway-Request-Id: mine\r\nCaraway-Anything: 1\r\n'
        b'Caraway-Customer: acme\r\nAccept: a\r\nAccept: b\r\n\r\n'.replace(
            b'\xfc', b'u'
        )
    )
    seen = runs[0].headers
    assert seen.keys() == {
        'via',
        'host',
        'x-kept',
        'accept',
        'caraway-customer',
        'caraway-request-id',
        'caraway-deadline-ms',
    }
    assert seen['caraway-request-id'].startswith('mine.h1-')
    answered = answers[0].headers['caraway-request-id']
    assert answered == seen['caraway-request-id']


def test_absolute_target():
    """The host in the request line overrides the Host header."""
    line = b'GET http://real:80/portal/x HTTP/1.1\r\nHost: forged\r\n\r\n'
    _answers, runs = send(line)
    assert runs[0].headers['host'] == 'real:80'
    assert runs[0].line.startswith('GET /portal/x ')


def test_pipelined_requests():
    """Pipelined requests are answered in order."""
    pieces = b''.join(
        HEAD.replace(b'/x', b'/%d' % n) + b'\r\n' for n in range(30)
    )
    answers, runs = send(pieces, pieces)
    assert len(answers) == 60
    assert [seen.line.split()[1] for seen in runs] == 2 * [
        '/portal/%d' % n for n in range(30)
    ]


def test_continue():
    """A caller that waits for 100 Continue gets it, or a refusal."""
    head = POST + b'Expect: 100-continue\r\nContent-Length: 3\r\n\r\n'
    answers, runs = send(head, b'abc', pause_s=0.1)
    assert [answer.status for answer in answers] == [100, 200]
    assert 'expect' not in runs[0].headers
    answers, runs = send(
        head.replace(b'3\r', b'9000\r'), service=manifest.Service(max_body=9)
    )
    assert [answer.status for answer in answers] == [413]


@pytest.mark.parametrize(
    ('data', 'code'),
    [
        (HEAD + b'X-A: ', None),
        (POST + b'Content-Length: 30\r\n\r\nabc', 'CS-3008'),
    ],
)
def test_slow_caller(data, code):
    """Guards against slow callers that use up a node's connections.

    A request arrives very slowly.  Its head and body must arrive in bounded
    time, and until then occupy neither an upstream nor a slot.
    """
    answers, runs = send(data, within_s=12.0)
    assert [answer.code for answer in answers] == ([code] if code else [])
    assert runs == []


def test_too_many_connections(monkeypatch):
    """A connection beyond the maximum is refused with a code."""
    monkeypatch.setattr('carawaystair.request.listener.MAX_CONNECTIONS', 0)
    answers, _runs = send(b'')
    assert [answer.code for answer in answers] == ['CS-3016']


TOKENS = strategies.sampled_from(
    [
        b'Content-Length: 3',
        b'Content-Length: 0',
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: identity',
        b'Connection: close',
        b'Connection: Content-Length',
        b'Expect: 100-continue',
        b'Idempotency-Key: k',
        b'Caraway-Deadline-Ms: 9',
        b'Host: h',
        b'\r\n',
        b'\r\n\r\n',
        b'GET /portal/y HTTP/1.1',
        b'0\r\n\r\n',
        b'3\r\nabc\r\n',
        b'abc',
        b': ',
    ]
)


@hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    strategies.lists(TOKENS | strategies.binary(max_size=20), max_size=12)
)
def test_any_bytes(pieces):
    """Whatever is sent, answers have codes and no slot is lost."""
    answers, runs = send(POST + b'\r\n'.join(pieces) + b'\r\n\r\n')
    told = [answer for answer in answers if answer.status != 100]
    assert len(runs) <= len(told) + 1
    assert all(answer.code.startswith('CS-') for answer in told)
    complete = [a for a in told if a.outcome == 'complete']
    assert len(complete) <= len(runs)


def test_bounds_are_as_the_page_says():
    """The page for callers states the bounds of a request head."""
    with open('docs/operate/answers.md') as page:
        text = page.read()
    assert '%d bytes' % http_server.MAX_LINE_BYTES in text
    assert '%d headers' % http_server.MAX_HEADERS in text


BLANK = b'\r\n'


def test_blank_line_before_each_request_is_skipped():
    """Guards against a bound on blank lines that ordinary callers meet."""
    answers, runs = send((BLANK + HEAD + BLANK) * 3 + b'GET')
    assert [answer.outcome for answer in answers[:3]] == ['complete'] * 3
    assert len(runs) == 3


@pytest.mark.parametrize(
    ('data', 'code'),
    [
        (BLANK * http_server.MAX_BLANK_BYTES, 'CS-3004'),
        (HEAD + b'X-A: %b\r\n' % bytes(b'a' * 900) * 80, 'CS-3005'),
    ],
    ids=['blank lines', 'long head'],
)
def test_input_that_leads_to_no_request_is_refused(data, code):
    """Guards against callers that send blank lines or a head for ever."""
    answers, runs = send(data, within_s=5.0)
    assert [(a.outcome, a.code) for a in answers] == [('not-run', code)]
    assert runs == []


def test_body_of_line_ends_arrives_whole():
    """Guards against pieces of a body that are taken for heads."""
    body = BLANK * 4000
    chunk = b'%x\r\n%b\r\n' % (len(body), body)
    data = POST + b'Transfer-Encoding: chunked\r\n\r\n' + chunk * 2
    data += b'0\r\n\r\n' + HEAD + b'Connection: close\r\n\r\n'
    pieces = [data[at : at + 997] for at in range(0, len(data), 997)]
    answers, runs = send(*pieces)
    assert [answer.outcome for answer in answers] == ['complete'] * 2
    assert [len(run.body) for run in runs] == [2 * len(body), 0]
