"""Messages of the reservations, wire numbers 100 to 119."""

import typing

from carawaystair import wire

# What a replica says to an ask.
YES = 1  # it holds the key for the asking token
HELD = 2  # it holds the key for another token
SETTLED = 3  # the request ran; here is its answer
LARGE = 4  # the request ran; its answer was not kept
REUSED = 5  # the key stands for another request
FULL = 6  # no memory left
SHARE = 7  # the customer's share of the memory is used up
ABSENT = 8  # not an active replica of the partition
STALE = 9  # the ask names another epoch than the replica's


@wire.register(100)
class Ask(typing.NamedTuple):
    """Asks a replica to hold a key for a token.

    :param partition: of the key.
    :param epoch: of the placement that the asking node knows.
    :param name: of the key, see ``names.name``.
    :param token: of the attempt; the replica's vote is for it alone.
    :param digest: of the request.
    :param customer: see ``names.customer``.
    :param window_s: how long the key must be remembered.
    """

    partition: int
    epoch: int
    name: bytes
    token: bytes
    digest: bytes
    customer: int
    window_s: float


@wire.register(101)
class Vote(typing.NamedTuple):
    """A replica's answer to an :class:`Ask`.

    :param token: of the ask.
    :param host: the replica.
    :param epoch: of the placement under which it answers.
    :param verdict: one of the constants of this module.
    :param incarnations: of the placement's members, in their order, as far
        as the replica knows them; its own is among them.
    :param holder: the token that holds the key here.
    :param status: HTTP status of a settled request.
    :param answer: its answer, or the answer's digest when it was not kept.
    """

    token: bytes
    host: str
    epoch: int
    verdict: int
    incarnations: tuple[int, ...] = ()
    holder: bytes = b''
    status: int = 0
    answer: bytes = b''


@wire.register(102)
class Settle(typing.NamedTuple):
    """Tells a replica that the request of a token ran, and its answer.

    :param kept: whether ``answer`` is the answer or only its digest.
    """

    partition: int
    epoch: int
    name: bytes
    token: bytes
    status: int
    kept: bool
    answer: bytes


@wire.register(103)
class Release(typing.NamedTuple):
    """Tells a replica that the request of a token never ran nor will."""

    partition: int
    epoch: int
    name: bytes
    token: bytes


@wire.register(104)
class Done(typing.NamedTuple):
    """Acknowledges a :class:`Settle` or :class:`Release`.

    :param token: of that message.
    :param host: the replica.
    :param epoch: of the placement under which it stored the outcome.
    """

    token: bytes
    host: str
    epoch: int
