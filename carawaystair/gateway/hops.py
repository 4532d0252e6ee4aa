"""Protocol between two nodes: a request on its way to a gateway.

A request travels as HTTP/1.1 on a persistent connection, one request at a
time: its own head and body unchanged, with one header of the fleet in front.
So bodies of any length pass with back-pressure, a caller that leaves shows as
a closed connection within a round trip, and a long answer never holds up a
short one.

The gateway sends an interim answer (102) as soon as it has the request and at
intervals while it works, so that silence means a lost connection, not a slow
upstream.  The final answer is that of the upstream, a refusal, which promises
that the request has not run and will not run, or a failure, which promises
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

# Reasons for which a gateway refuses a request, besides those of
# ``load.rejection`` and ``load.upstream_gate``.
LEAVING = 'leaving'  # the upstream or its node is about to stop
ABSENT = 'absent'  # no such upstream is announced here
UNREACHABLE = 'unreachable'  # no connection to the upstream could be made
SPENT = 'spent'  # the retry budget of the service is used up
SHED = 'shed'  # the upstream itself refused the request
MOVED = 'moved'  # another upstream answered at the address
STALE = 'stale'  # a later send of the same request was seen before
RESTARTED = 'restarted'  # another process had the request; it may have run
MALFORMED = 'malformed'  # the hop header could not be parsed
CRASHING = 'crashing'  # upstreams crashed while they ran this request
GIVEN_UP = 'given up'  # its sender no longer waits for it
SENDER_LEAVING = 'sender leaving'  # it may run for longer than its sender

# Refusals of requests that reached the upstream but did not run.
SENT_TO_UPSTREAM = frozenset((SHED, MOVED))
# Refusals that promise nothing, since an earlier send may have run.
MAY_HAVE_RUN = frozenset((RESTARTED, STALE, GIVEN_UP))

# Detail of the failure of a further send for a long answer, which is streamed
# once only.
ALREADY_STREAMED = 'passed on before'

INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
# Asks for a body that was not sent with its head.
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Hop(typing.NamedTuple):
    """A request on its way between two nodes.

    The fields travel by position.

    :param id: id of the request.
    :param host: the host that sends it.
    :param upstream: id of the upstream that is to run it.
    :param service: the service.
    :param caller_service: the service on the host where it began.
    :param route: key of its route.
    :param remaining_ms: time until its deadline, ms.
    :param goal_ms: time until its latency goal, ms; negative once that has
        passed.
    :param priority: its priority, 0 first.
    :param idempotent: whether it may run twice.
    :param nested: whether another running request waits for it.
    :param may_wait: whether it may wait here for a slot, whatever its value.
    :param retry: whether it may have run elsewhere, or was sent to an
        upstream that refused it.
    :param caller_retried: whether it is a nested call of a run that was
        itself a retry.
    :param send_number: number of this send of the request; grows with each.
    :param process: the gateway's process, as the sender knows it; empty if
        unknown.
    :param resumed: whether an earlier send to this gateway may have arrived.
    :param detour: address of the gateway that is to get it, when it goes
        through a third node; empty otherwise.
    :param token: distinguishes requests that have the same id.
    :param min_value: value that it must have here to be accepted, in
        thousandths, see ``load.request_value``; if it is lower, the request is
        worth more elsewhere.
    :param retry_value: value that is left if it fails here, in thousandths.
    :param service_healthy: whether the service serves the sender's requests
        well.
    :param typical_ms: service time of its route, as the sender knows it, ms;
        0 if unknown.
    :param sent_ms: when it was sent, in the gateway's time, see ``transit``;
        0 if unknown.
    :param sender_timeout_ms: for how long its sender waits for an answer, ms;
        less than until its deadline if the sender ends before that.
    :param final_attempt: whether it can't be retried if it fails, although
        it may be idempotent.
    :param budgeted: whether its sender charged it to its retry budget.
    :param expects_continue: whether its body is sent only when the gateway
        asks for it, which it does once the request has a slot.
    :param digest: identifies its content, see ``digests``.
    :param customer: the customer whose key it brought, for the upstream; not
        sent where keys are not required.
    :param stated_incarnation: incarnation of the upstream that made the
        statements that the sender knows of; 0 if it knows of none.
    :param stated_limit: the limit that it stated, in thousandths of requests
        a second; 0 if none.
    :param stated_leaving: whether it stated that it leaves.
    :param ends_with_sender: whether it may begin only if it ends before its
        sender does.
    """

    id: str
    host: str
    upstream: str
    service: str
    caller_service: str
    route: str
    remaining_ms: int
    goal_ms: int
    priority: int
    idempotent: bool
    nested: bool
    may_wait: bool
    retry: bool
    caller_retried: bool
    send_number: int
    process: str
    resumed: bool = False
    detour: str = ''
    token: str = ''
    min_value: int = 0
    retry_value: int = 0
    service_healthy: bool = False
    typical_ms: int = 0
    sent_ms: int = 0
    sender_timeout_ms: int = 0
    final_attempt: bool = False
    budgeted: bool = False
    expects_continue: bool = False
    digest: str = ''
    customer: str = ''
    stated_incarnation: int = 0
    stated_limit: int = 0
    stated_leaving: bool = False
    ends_with_sender: bool = False

    @property
    def sender_ends(self) -> bool:
        """Return whether its sender ends before its deadline."""
        return 0 < self.sender_timeout_ms < self.remaining_ms

    @property
    def key(self) -> str:
        """Return a key that is unique to this request."""
        return '%s %s' % (self.id, self.token)


_HOP_DECODER = msgspec.json.Decoder(Hop)
_REPORT_DECODER = msgspec.json.Decoder(upstream_selection.LoadReport)


def to_call(
    hop: Hop, request: http_server.Request, body: bytes | None, deadline: float
) -> calls.Call:
    """Return a received request in the form in which it is sent on.

    :param body: its body; None if that is not buffered here.
    :param deadline: monotonic time of its deadline.
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
    """Write to the node that sent a request.

    :raises ConnectionResetError: when the connection is closed.
    """
    request.connection.write(data)


def header_line(hop: Hop) -> bytes:
    """Return the header line that carries a hop."""
    # Processes of earlier versions refuse a longer hop.
    fields = hop
    if not hop.ends_with_sender:
        fields = hop[:-1]
        if not hop.stated_incarnation:
            fields = hop[:-4] if hop.customer else hop[:-5]
    return b'%b: %b\r\n' % (HOP.encode(), msgspec.json.encode(fields))


def parse(value: str) -> Hop | None:
    """Parse the value that :func:`header_line` wrote; None if malformed."""
    try:
        return _HOP_DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeError):
        return None


def report_line(report: upstream_selection.LoadReport) -> bytes:
    """Return the header line that carries a report."""
    # Processes that know nothing of statements refuse a longer report.
    stated = report.limit_milli or report.leaving
    fields = report if stated else report[:-3]
    return b'%b: %b\r\n' % (REPORT, msgspec.json.encode(fields))


def parse_report(value: bytes) -> upstream_selection.LoadReport | None:
    """Parse the value that :func:`report_line` wrote; None if malformed."""
    try:
        return _REPORT_DECODER.decode(value)
    except msgspec.DecodeError:
        return None


def refusal(
    reason: str, detail: str, report: upstream_selection.LoadReport
) -> bytes:
    """Encode a refusal."""
    line = report_line(report)
    return _gateway_answer(
        b'503 Service Unavailable', REFUSAL, reason, detail, line
    )


def failure(
    code: str, detail: str, report: upstream_selection.LoadReport
) -> bytes:
    """Encode a failure.

    :param code: label of the result code for the caller.
    """
    line = report_line(report)
    return _gateway_answer(b'502 Bad Gateway', FAILURE, code, detail, line)


def node_header_lines(raw: headers.Raw) -> bytes:
    """Return the header lines of a gateway's answer that are for nodes."""
    return b''.join(
        b'%b: %b\r\n' % pair
        for pair in raw
        if pair[0].lower() in (REPORT, REFUSAL, FAILURE)
    )


def forwarded(answer: answers.Answer) -> bytes:
    """Encode a refusal or a failure of another gateway as it was received."""
    return b'HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b' % (
        answer.status,
        answer.reason.encode('ascii', 'replace'),
        node_header_lines(answer.headers),
        len(answer.body),
        answer.body,
    )


def header_value(answer: answers.Answer, name: bytes) -> str:
    """Return the value of a header in a gateway's answer, or ''."""
    value = headers.value(answer.headers, name)
    return '' if value is None else value.decode('ascii', 'replace')


def _gateway_answer(
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
