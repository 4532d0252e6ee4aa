"""Messages about quotas, wire numbers 180 to 199."""

import typing

from carawaystair.quota import ledger
from carawaystair import wire

# Answers to :class:`Acquire`.
GRANTED = 0
OVER = 1  # the customer's window is full
NOT_LEADER = 2  # another host grants
RECOVERING = 3  # this leader does not know yet what was granted before
UNREACHABLE = 4  # a node that was to pass the question on gets no answer
DECIDED = frozenset((GRANTED, OVER))


@wire.register(180)
class Acquire(typing.NamedTuple):
    """A node asks the leader of control for the grant of one request.

    :param customer: name of the customer.
    :param id: identifies the request; asked again, it is granted once.
    """

    customer: str
    id: str


@wire.register(181)
class Acquired(typing.NamedTuple):
    """The answer to :class:`Acquire`.

    :param result: one of the constants above.
    :param retry_ms: when to ask again, ms.
    :param leader: ``ip:port`` of the leader, or empty.
    """

    result: int
    retry_ms: int = 0
    leader: str = ''


@wire.register(182)
class GiveBack(typing.NamedTuple):
    """A node tells the leader of control that a request was not run.

    :param customer: name of the customer.
    :param id: identifies the request.
    """

    customer: str
    id: str


@wire.register(183)
class Record(typing.NamedTuple):
    """The leader sends grants to the other voters before they count.

    :param group: id of the control group.
    :param term: the leader's term.
    :param grants: the grants.
    :param returned: grants of requests that were not run.
    """

    group: str
    term: int
    grants: tuple[ledger.Grant, ...]
    returned: tuple[ledger.Grant, ...] = ()


@wire.register(184)
class Recorded(typing.NamedTuple):
    """The answer to :class:`Record`.

    :param identity: identity of the host that answers.
    :param term: its term.
    :param ok: whether it holds the grants now.
    """

    identity: str
    term: int
    ok: bool


@wire.register(185)
class Collect(typing.NamedTuple):
    """A new leader asks a voter which grants it holds.

    :param group: id of the control group.
    :param term: the leader's term.
    """

    group: str
    term: int


@wire.register(186)
class Collected(typing.NamedTuple):
    """The answer to :class:`Collect`.

    :param identity: identity of the host that answers.
    :param term: its term; the answer counts if it is that of the question.
    :param complete: whether it holds all grants of the last window that it
        ever recorded.
    :param grants: the grants.
    """

    identity: str
    term: int
    complete: bool
    grants: tuple[ledger.Grant, ...] = ()


@wire.register(187)
class Relay(typing.NamedTuple):
    """A node that can't reach control asks another one to do so.

    :param customer: as in :class:`Acquire`.
    :param id: as in :class:`Acquire`.
    """

    customer: str
    id: str
