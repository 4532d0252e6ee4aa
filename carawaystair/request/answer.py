"""Answers of upstreams, and the failure of attempts to get one."""

import typing

from aiohttp import http

from carawaystair import codes
from carawaystair.request import errors
from carawaystair.request import headers

# Statuses whose answers never have a body (RFC 9110 6.4.1).
BODILESS_STATUSES = frozenset((204, 304))


class Answer(typing.NamedTuple):
    """The answer to a request.

    :param status: the status code.
    :param reason: the reason phrase.
    :param headers: names and values as they arrived.
    :param connection: the values of its ``Connection`` header, or None.
    :param body: the whole body, or the beginning of a long one.
    :param rest: the attempt from which the rest of a long body is read;
        None when ``body`` is complete.
    """

    status: int
    reason: str
    headers: headers.Raw
    connection: str | None
    body: bytes
    rest: typing.Any = None


class Failed(Exception):
    """Raised when an attempt brought no answer.

    :param outcome: the outcome recorded for the upstream, see
        ``interfaces``.
    :param code: result code for the caller if no other attempt is made.
    :param sent: whether the request may have run.
    :param detail: human-readable details.
    """

    def __init__(
        self, outcome: str, code: codes.Code, sent: bool, detail: str = ''
    ) -> None:
        detail = errors.shortened(detail)
        super().__init__(outcome, code, sent, detail)
        self.outcome = outcome
        self.code = code
        self.sent = sent
        self.detail = detail

    def detached(self) -> 'Failed':
        """Return it without the frames that it was raised in.

        One that is kept would keep all that they refer to.
        """
        return Failed(self.outcome, self.code, self.sent, self.detail)


def body_size(answer: Answer) -> int:
    """Return the length of an answer's body in bytes.

    For a long body without ``Content-Length`` this is the length of the
    part that was read.
    """
    if answer.rest is None:
        return len(answer.body)
    length = headers.value(answer.headers, b'content-length')
    return int(length) if length is not None else len(answer.body)


def has_no_body(message: http.RawResponseMessage, method: str) -> bool:
    """Return whether an answer has no body, whatever its headers say."""
    return method == 'HEAD' or message.code in BODILESS_STATUSES


def declared_length(message: http.RawResponseMessage) -> int | None:
    """Return the length that an answer declares, None when it is chunked.

    :raises ValueError: when the answer declares no length, or declares it
        in two ways, which proxy and upstream may interpret differently
        (RFC 9112 6.3).
    """
    length = message.headers.get('Content-Length')
    if message.chunked:
        if length is not None:
            raise ValueError('both Content-Length and chunks')
        return None
    if length is None or not length.isdecimal() or not length.isascii():
        raise ValueError('no length')
    return int(length)


def is_refusal(answer: Answer) -> bool:
    """Return whether an upstream states that it did not run the request."""
    return (
        answer.status == 503
        and headers.value(answer.headers, b'caraway-outcome') == b'not-run'
    )
