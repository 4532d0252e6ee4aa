"""The answer to the caller of one request, which is written exactly once."""

import asyncio
import functools
import http
import typing

import msgspec

from carawaystair import codes
from carawaystair import invariants
from carawaystair.request import answer as answers
from carawaystair.request import headers
from carawaystair.request import http_server

# A caller that reads nothing for this time counts as gone.
CALLER_STALL_TIMEOUT_S = 30.0
MAX_PHRASE_LENGTH = 64
CLOSE_HEADER = b'\r\nConnection: close\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Problem(typing.NamedTuple):
    """The JSON body of an error answer of this node."""

    code: str
    name: str
    text: str
    detail: str
    request: str


class Exchange:
    """One request and the one answer that it gets.

    :param request: the request.
    :param id: the request's id.
    :param stops: returns whether this node stops.
    """

    __slots__ = ('id', 'keep_alive', 'outcome', 'request', 'stops')

    def __init__(
        self,
        request: http_server.Request,
        id: str,
        stops: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self.request = request
        self.id = id
        self.stops = stops
        self.keep_alive = request.keep_alive
        # The outcome that was sent to the caller, None before that.
        self.outcome: str | None = None

    def write_answer(
        self, answer: answers.Answer, code: codes.Code, extra: bytes = b''
    ) -> None:
        """Write a complete answer of an upstream.

        :param extra: header lines to add.
        """
        self.write(self.encode_answer(answer, code, extra))

    def encode_answer(
        self, answer: answers.Answer, code: codes.Code, extra: bytes = b''
    ) -> bytes:
        """Return the bytes of a complete answer of an upstream.

        :param extra: header lines to add.
        """
        bodiless = answer.status in answers.BODILESS_STATUSES
        if self.request.method == 'HEAD' or answer.status == 304:
            length = headers.value(answer.headers, b'content-length')
        else:
            length = None if bodiless else b'%d' % len(answer.body)
        framing = b''
        if length is not None:
            framing = b'Content-Length: %b\r\n' % length
        head = self.head(answer, codes.COMPLETE, code, framing + extra)
        return head + answer.body

    def begin_answer(
        self,
        answer: answers.Answer,
        length: int | None,
        extra: bytes = b'',
    ) -> None:
        """Write the head of an answer whose body is streamed.

        :param length: bytes of its body, None when unknown.
        :param extra: header lines to add.
        """
        if length is not None:
            framing = b'Content-Length: %d\r\n' % length
        elif self.request.version >= (1, 1):
            framing = b'Transfer-Encoding: chunked\r\n'
            self.request.writer.enable_chunking()
        else:
            framing = b''
            self.keep_alive = False
        framing += extra
        self.write(self.head(answer, codes.COMPLETE, codes.OK, framing))

    def write_error(
        self,
        code: codes.Code,
        outcome: str,
        detail: str = '',
        retry_after_s: float = 1.0,
        status: int = 0,
    ) -> None:
        """Write an error answer of this node.

        :param status: the status code; 0 for that of the result code.
        """
        answer = error_answer(code, detail, self.id, retry_after_s, status)
        framing = b'Content-Length: %d\r\n' % len(answer.body)
        head = self.head(answer, outcome, code, framing)
        self.write(
            head + (b'' if self.request.method == 'HEAD' else answer.body)
        )

    def head(
        self,
        answer: answers.Answer,
        outcome: str,
        code: codes.Code,
        framing: bytes,
    ) -> bytes:
        """Return the head of the answer, and remember its outcome."""
        invariants.check(invariants.ONE_OUTCOME, self.outcome is None, self.id)
        self.outcome = outcome
        if not self.request.content.is_eof():
            # The rest of its body must not be parsed as a request.
            self.keep_alive = False
        if self.stops() and self.request.connection.is_last(self.request):
            # The connection would be closed behind the caller's back.
            self.keep_alive = False
        return b''.join(
            (
                status_line(answer.status, answer.reason),
                headers.forwarded_lines(answer.headers, answer.connection),
                framing,
                outcome_headers(outcome, code),
                self.id.encode(),
                b'\r\n\r\n' if self.keep_alive else CLOSE_HEADER,
            )
        )

    def write(self, data: bytes) -> None:
        """Write to the caller.

        :raises ConnectionError: when the caller has left.
        """
        self.request.write(data)

    def send_continue(self) -> None:
        """Send ``100 Continue`` to a caller that waits for it."""
        self.write(CONTINUE)

    def abort(self) -> None:
        """Abort the caller's connection, so that its answer is not whole."""
        transport = self.request.connection.transport
        if transport is not None:
            transport.abort()

    async def wait_drained(self) -> None:
        """Wait until the caller has read most of what was written.

        :raises ConnectionError: when it has left, or reads nothing for
            ``CALLER_STALL_TIMEOUT_S``.
        """
        buffered = self.request.unsent is not None
        if buffered or not self.request.connection.writing_paused:
            return
        try:
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                await self.request.writer.drain()
        except TimeoutError:
            self.abort()
            raise ConnectionAbortedError('caller stopped reading') from None


@functools.lru_cache(256)
def status_line(status: int, reason: str) -> bytes:
    """Return the status line of an answer."""
    line = 'HTTP/1.1 %d %s\r\n' % (status, reason[:MAX_PHRASE_LENGTH])
    return line.encode('utf-8', 'surrogateescape')


@functools.lru_cache(256)
def outcome_headers(outcome: str, code: codes.Code) -> bytes:
    """Return the headers that carry the outcome, code and request id.

    The id itself is to be appended.
    """
    lines = '%s: %s\r\n%s: %s\r\n%s: ' % (
        headers.OUTCOME,
        outcome,
        headers.CODE,
        code.label,
        headers.REQUEST_ID,
    )
    return lines.encode()


def error_answer(
    code: codes.Code,
    detail: str,
    id: str,
    retry_after_s: float,
    status: int = 0,
) -> answers.Answer:
    """Return an error answer of this node.

    :param retry_after_s: whole seconds, or a fraction if callers accept
        one.
    :param status: the status code; 0 for that of the result code.
    """
    status = status or code.status
    problem = Problem(code.label, code.name, code.text, detail, id)
    body = msgspec.json.encode(problem._asdict())
    extra = [(b'Content-Type', b'application/json')]
    if status in (429, 503) or code is codes.KEY_RUNNING:
        extra.append((b'Retry-After', b'%g' % round(retry_after_s, 2)))
    return answers.Answer(status, reason_phrase(status), extra, None, body)


def encode_error(
    code: codes.Code, outcome: str, detail: str, id: str
) -> bytes:
    """Return the bytes of an error answer that closes a connection."""
    answer = error_answer(code, detail, id, 1.0)
    return b''.join(
        (
            status_line(answer.status, answer.reason),
            headers.forwarded_lines(answer.headers, None),
            b'Content-Length: %d\r\n' % len(answer.body),
            outcome_headers(outcome, code),
            id.encode(),
            CLOSE_HEADER,
            answer.body,
        )
    )


def reason_phrase(status: int) -> str:
    """Return the reason phrase of a status."""
    return http.HTTPStatus(status).phrase
