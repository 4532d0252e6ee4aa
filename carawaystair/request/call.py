"""What a caller asks for: one request, read and checked."""

import typing

from carawaystair import manifest
from carawaystair import routing as routings


class Call(typing.NamedTuple):
    """One request of a caller, ready to be sent.

    :param id: names the request on every attempt and in the time line.
    :param match: its route and service.
    :param customer: the customer as the caller named it, or empty.
    :param charged: the customer that admission charges it to.
    :param deadline: monotonic time by which the answer is owed.
    :param idempotent: whether it may be run twice.
    :param key: its idempotency key, or empty.
    :param method: its method.
    :param path: path and query.
    :param head: request line and headers for the upstream, but for those
        that change with every attempt.
    :param body: its body; None while it is not held here.
    :param stream: where a body that is not held is read from.
    :param length: length of that body, None when it comes in chunks.
    :param body_prefix: the part of such a body that was read already.
    :param digest: names what it asks for, see ``digests``.
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

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self.match.route.service

    @property
    def bulk(self) -> bool:
        """Tell whether the route carries long transfers."""
        return self.match.route.kind == manifest.BULK
