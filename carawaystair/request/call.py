"""A caller's request after it was read and validated."""

import typing

from carawaystair import manifest
from carawaystair import routing as routings


class Call(typing.NamedTuple):
    """One request of a caller, ready to be sent.

    :param id: id of the request, the same on every attempt and in the time
        line.
    :param match: its route and service.
    :param customer: the customer as the caller named it, or empty.
    :param charged: the customer that admission charges it to.
    :param deadline: monotonic time by which it must be answered.
    :param idempotent: whether it may be run more than once.
    :param key: its idempotency key, or empty.
    :param method: its method.
    :param path: path and query.
    :param head: request line and headers for the upstream, without those
        that differ between attempts.
    :param body: the whole body; None when it is streamed.
    :param stream: the reader of a streamed body.
    :param length: bytes of a streamed body, None when it is chunked.
    :param body_prefix: the part of a streamed body that was already read.
    :param digest: digest of its content, see ``digests``.
    :param credential: row key of its customer's key; '' where none was
        required.
    """

    id: str
    match: routings.Match
    customer: str
    charged: str
    deadline: float
    idempotent: bool
    key: str
    method: str
    path: str
    head: bytes
    body: bytes | None = b''
    stream: typing.Any = None
    length: int | None = None
    body_prefix: bytes = b''
    digest: str = ''
    credential: str = ''

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self.match.route.service

    @property
    def bulk(self) -> bool:
        """Return whether the route carries long transfers."""
        return self.match.route.kind == manifest.BULK
