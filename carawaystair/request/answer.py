"""The answer of an upstream, and why there may be none."""

import typing

from aiohttp import http

from carawaystair import codes
from carawaystair.request import headers

# Statuses and a method that never have a body (RFC 9110 6.4.1).
BODILESS_STATUSES = frozenset((204, 304))


class Answer(typing.NamedTuple):
    """The answer to a request.

    :param status: its status.
    :param reason: the phrase that goes with the status.
    :param headers: as they arrived.
    :param connection: the values of its ``Connection`` header, or None.
    :param body: the body as far as it is here.
    :param rest: the attempt that the rest of a long body comes from; None
        when ``body`` is the whole.
    """

    status: int
    reason: str
    headers: headers.Raw
    connection: str | None
    body: bytes
    rest: typing.Any = None


class Failed(Exception):
    """An attempt brought no answer.

    :param outcome: what it shows about the upstream, see ``interfaces``.
    :param code: what the caller is told when no other attempt is made.
    :param sent: whether the request may have run.
    :param detail: the circumstances, for a person.
    """

    def __init__(
        self, outcome: str, code: codes.Code, sent: bool, detail: str = ''
    ) -> None:
        super().__init__(outcome, code, sent, detail)
        self.outcome = outcome
        self.code = code
        self.sent = sent
        self.detail = detail


def body_size(answer: Answer) -> int:
    """Return the bytes of an answer's body, as far as they are known."""
    if answer.rest is None:
        return len(answer.body)
    length = headers.value(answer.headers, b'content-length')
    return int(length) if length is not None else len(answer.body)


def has_no_body(message: http.RawResponseMessage, method: str) -> bool:
    """Tell whether an answer has no body whatever its headers say."""
    return method == 'HEAD' or message.code in BODILESS_STATUSES


def declared_length(message: http.RawResponseMessage) -> int | None:
    """Return the length that an answer declares, None for chunks.

    :raises ValueError: when the answer does not tell where it ends, or
        tells it in two ways, which a proxy and an upstream may read
        differently (RFC 9112 6.3).
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
    """Tell whether an upstream says that it refused before running."""
    return (
        answer.status == 503
        and headers.value(answer.headers, b'caraway-outcome') == b'not-run'
    )
