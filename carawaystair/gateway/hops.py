"""What one node tells another about a request that it hands over.

A request travels as HTTP/1.1 on a kept connection, one at a time on each:
its own head and body unchanged, with one header of ours in front.  So bodies
of any length pass with back-pressure, a caller that leaves shows as a closed
connection within a round trip, and a long answer never holds up a short one.

The gateway answers with an interim answer (102) as soon as it has the
request, and again while it works: silence means a lost connection, not a slow
upstream.  Then comes the upstream's answer, a refusal, which promises that
the request has not run and will not run, or a failure, which promises
nothing.
"""

import typing

import msgspec

from carawaystair.load import upstream_selection
from carawaystair.request import answer as answers
from carawaystair.request import call as calls
from carawaystair.request import headers
from carawaystair.request import http_server

HOP = 'Caraway-Hop'
REPORT = b'caraway-report'
REFUSAL = b'caraway-refusal'
FAILURE = b'caraway-failure'

# Why a gateway refuses a request, beside the reasons of ``load.rejection`` and
# ``load.upstream_gate``.
LEAVING = 'leaving'  # the upstream or its node is about to stop
ABSENT = 'absent'  # no such upstream is announced here
UNREACHABLE = 'unreachable'  # no connection to the upstream could be made
SPENT = 'spent'  # no more repeats may reach the service
SHED = 'shed'  # the upstream itself refused; it was sent there
MOVED = 'moved'  # another upstream has the address; it was sent there
STALE = 'stale'  # a later send of the same request was seen before
RESTARTED = 'restarted'  # another process had the request; it may have run
MALFORMED = 'malformed'  # the hop could not be read
CRASHING = 'crashing'  # upstreams crashed under this request
GIVEN_UP = 'given up'  # its sender waits for it no more

# Refusals after which the upstream has seen the request, without running it.
ARRIVED = frozenset((SHED, MOVED))
# A refusal that is none: an earlier send may have been run.
UNSURE = frozenset((RESTARTED, STALE, GIVEN_UP))

# Why a second question for a long answer brings none: it comes once.
PASSED_ON = 'passed on before'

INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
# Lets the body come that was not sent with its head.
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Hop(typing.NamedTuple):
    """A request on its way between two nodes.

    :param id: its id.
    :param host: the host that hands it over.
    :param upstream: id of the upstream that is to run it.
    :param service: the service.
    :param caller_service: the service on the host where it began.
    :param route: key of its route.
    :param left_ms: time until its answer is owed, ms.
    :param goal_ms: time until which its answer is worth most, ms; negative
        when that has passed.
    :param priority: rank of its kind, 0 first.
    :param idempotent: whether it may run twice.
    :param inner: whether another running request waits for it.
    :param stays: whether it may wait here for a slot, whatever it is worth.
    :param repeat: whether it may have run elsewhere, or was sent to an
        upstream that refused it.
    :param echo: whether it is a call of a run that was itself a repeat.
    :param number: counts its sends; grows with each.
    :param process: the process of the gateway, as the sender knows it; empty
        when it does not.
    :param again: whether an earlier send to this gateway may have arrived.
    :param detour: address of the gateway that is to get it, when it is
        handed to another node on the way; empty otherwise.
    :param trip: tells apart requests that bear one id.
    :param least: what it must be worth here to be taken, in thousandths, see
        ``load.request_value``; what is not is worth more elsewhere.
    :param second: what it is worth if it fails here, in thousandths.
    :param calm: whether the sender sees its service served well.
    :param usual_ms: service time of its route, as the sender knows it, ms; 0
        where it does not.
    :param sent_ms: when it was sent, in the gateway's time, see ``ages``; 0
        where the sender does not know that.
    :param patience_ms: for how long its sender waits for a sign, ms.
    :param last: whether it may not be sent once more if it fails, although it
        may be repeated.
    :param paid: whether its sender counted it among the repeats that it may
        send.
    :param asks: whether its body comes only when the gateway has a slot for
        it and says so.
    :param digest: names what it asks for, see ``digests``.
    """

    id: str
    host: str
    upstream: str
    service: str
    caller_service: str
    route: str
    left_ms: int
    goal_ms: int
    priority: int
    idempotent: bool
    inner: bool
    stays: bool
    repeat: bool
    echo: bool
    number: int
    process: str
    again: bool = False
    detour: str = ''
    trip: str = ''
    least: int = 0
    second: int = 0
    calm: bool = False
    usual_ms: int = 0
    sent_ms: int = 0
    patience_ms: int = 0
    last: bool = False
    paid: bool = False
    asks: bool = False
    digest: str = ''

    @property
    def key(self) -> str:
        """Return what names this request and no other one."""
        return '%s %s' % (self.id, self.trip)


_HOPS = msgspec.json.Decoder(Hop)
_REPORTS = msgspec.json.Decoder(upstream_selection.LoadReport)


def call(
    hop: Hop, request: http_server.Request, body: bytes | None, deadline: float
) -> calls.Call:
    """Return a request that was handed over, as it goes on from here.

    :param body: None when it is not held here.
    :param deadline: monotonic time by which its answer is owed.
    """
    return calls.Call(
        hop.id,
        None,
        '',
        '',
        deadline,
        hop.idempotent,
        '',
        request.method,
        request.raw_path,
        headers.request_head(
            request.method,
            request.raw_path,
            request.headers,
            request.raw_headers,
        ),
        body,
    )


def write(request: http_server.Request, data: bytes) -> None:
    """Write to the node that handed a request over.

    :raises ConnectionResetError: when it has gone.
    """
    request.connection.write(data)


def line(hop: Hop) -> bytes:
    """Return the header line that carries a hop."""
    return b'%b: %b\r\n' % (HOP.encode(), msgspec.json.encode(hop))


def read(value: str) -> Hop | None:
    """Return the hop that :func:`line` wrote, None for anything else."""
    try:
        return _HOPS.decode(value)
    except (msgspec.DecodeError, UnicodeError):
        return None


def report_line(report: upstream_selection.LoadReport) -> bytes:
    """Return the header line that carries a report."""
    return b'%b: %b\r\n' % (REPORT, msgspec.json.encode(report))


def read_report(value: bytes) -> upstream_selection.LoadReport | None:
    """Return the report that :func:`report_line` wrote."""
    try:
        return _REPORTS.decode(value)
    except msgspec.DecodeError:
        return None


def refusal(
    reason: str, detail: str, report: upstream_selection.LoadReport
) -> bytes:
    """Return the bytes of a refusal."""
    line = report_line(report)
    return _own(b'503 Service Unavailable', REFUSAL, reason, detail, line)


def failure(
    code: str, detail: str, report: upstream_selection.LoadReport
) -> bytes:
    """Return the bytes of a failure.

    :param code: label of the code that the caller is told.
    """
    line = report_line(report)
    return _own(b'502 Bad Gateway', FAILURE, code, detail, line)


def lines(raw: headers.Raw) -> bytes:
    """Return the header lines of a gateway's answer that are for nodes."""
    return b''.join(
        b'%b: %b\r\n' % pair
        for pair in raw
        if pair[0].lower() in (REPORT, REFUSAL, FAILURE)
    )


def passed_on(answer: answers.Answer) -> bytes:
    """Return a refusal or a failure of another gateway as it came."""
    return b'HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b' % (
        answer.status,
        answer.reason.encode('ascii', 'replace'),
        lines(answer.headers),
        len(answer.body),
        answer.body,
    )


def says(answer: answers.Answer, name: bytes) -> str:
    """Return what a gateway's answer says under a name, or nothing."""
    value = headers.value(answer.headers, name)
    return '' if value is None else value.decode('ascii', 'replace')


def _own(
    status: bytes, name: bytes, what: str, detail: str, report: bytes
) -> bytes:
    body = detail.encode('utf-8', 'replace')
    return b'HTTP/1.1 %b\r\n%b: %b\r\n%bContent-Length: %d\r\n\r\n%b' % (
        status,
        name,
        what.encode(),
        report,
        len(body),
        body,
    )
