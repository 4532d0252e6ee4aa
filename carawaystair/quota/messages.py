"""Messages about quotas, wire numbers 180 to 199."""

import typing

from carawaystair.quota import ledger
from carawaystair.quota import parts
from carawaystair.quota import tenures as tenure_types
from carawaystair import wire

# Answers to :class:`Acquire`.
GRANTED = 0
OVER = 1  # the customer's window is full
NOT_LEADER = 2  # another host grants
RECOVERING = 3  # this leader does not know yet what was granted before
UNREACHABLE = 4  # a node that was to pass the question on gets no answer
NOT_HELD = 5  # this process may not grant the part
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
    :param room_ms: when the first room may be, ms; ``retry_ms`` differs from
        one caller to the next.
    """

    result: int
    retry_ms: int = 0
    leader: str = ''
    room_ms: int = 0


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
    :param holders: parts of allowances that the leader leaves to nodes;
        voters that leave another number refuse.
    :param recovery: whether the leader does not know earlier grants.
    """

    group: str
    term: int
    grants: tuple[ledger.Grant, ...]
    returned: tuple[ledger.Grant, ...] = ()
    holders: int = 0
    recovery: bool = False


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
    :param holders: as in :class:`Record`.
    """

    group: str
    term: int
    holders: int = 0


@wire.register(186)
class Collected(typing.NamedTuple):
    """The answer to :class:`Collect`.

    :param identity: identity of the host that answers.
    :param term: its term; the answer counts if it is that of the question.
    :param complete: whether it holds all grants of the last window that it
        ever recorded.
    :param grants: the grants.
    :param recovery: those of them by leaders that knew no earlier ones.
    """

    identity: str
    term: int
    complete: bool
    grants: tuple[ledger.Grant, ...] = ()
    recovery: tuple[ledger.Grant, ...] = ()


@wire.register(187)
class Relay(typing.NamedTuple):
    """A node that can't reach control asks another one to do so.

    :param customer: as in :class:`Acquire`.
    :param id: as in :class:`Acquire`.
    """

    customer: str
    id: str


@wire.register(188)
class AcquirePart(typing.NamedTuple):
    """A node asks the holder of a part for the grant of one request.

    The answer is :class:`Acquired`.

    :param customer: name of the customer.
    :param id: identifies the request; asked again, it is granted once.
    :param part: number of the part, see ``parts``.
    """

    customer: str
    id: str
    part: int


@wire.register(189)
class GiveBackPart(typing.NamedTuple):
    """A node tells a holder that a request was not run by its grant.

    :param customer: name of the customer.
    :param id: identifies the request.
    :param part: number of the part.
    """

    customer: str
    id: str
    part: int


@wire.register(190)
class Tend(typing.NamedTuple):
    """A node asks the leader of control which parts it holds, and who others.

    :param process: the process that asks.
    :param quota: how it counts requests; it gets no part by other rules.
    :param claims: its tenures that last.
    :param seen: ``digest`` of the last answer that told who holds what.
    """

    process: tenure_types.Process
    quota: parts.Quota
    claims: tuple[tenure_types.Claim, ...] = ()
    seen: int = 0


class Place(typing.NamedTuple):
    """Who holds a part.

    :param key: the part.
    :param peer: ``ip:port`` of the holder.
    :param data_centre: where it stands.
    """

    key: parts.Key
    peer: str
    data_centre: str


@wire.register(191)
class Tended(typing.NamedTuple):
    """The answer to :class:`Tend`.

    :param result: :data:`GRANTED`, :data:`NOT_LEADER`, :data:`RECOVERING` or
        :data:`NOT_HELD`, by other rules.
    :param leader: ``ip:port`` of the leader, or empty.
    :param held: parts that the process holds from its question on.
    :param places: who holds parts now; empty where the node has seen that.
    :param known: whether these are all holders that there are.
    :param digest: stands for ``places`` and ``known``.
    """

    result: int
    leader: str = ''
    held: tuple[parts.Key, ...] = ()
    places: tuple[Place, ...] = ()
    known: bool = False
    digest: int = 0


@wire.register(192)
class RecordTenures(typing.NamedTuple):
    """The leader sends tenures to the other voters before they count.

    The answer is :class:`Recorded`.

    :param group: id of the control group.
    :param term: the leader's term.
    :param holders: as in :class:`Record`.
    :param tenures: the tenures.
    """

    group: str
    term: int
    holders: int
    tenures: tuple[tenure_types.Tenure, ...]


@wire.register(193)
class CollectTenures(typing.NamedTuple):
    """A new leader asks a voter which tenures it knows.

    :param group: id of the control group.
    :param term: the leader's term.
    :param holders: as in :class:`Record`.
    """

    group: str
    term: int
    holders: int


@wire.register(194)
class CollectedTenures(typing.NamedTuple):
    """The answer to :class:`CollectTenures`.

    :param identity: identity of the host that answers.
    :param term: its term; the answer counts if it is that of the question.
    :param complete: whether it knows all tenures that it ever recorded and
        that may stand.
    :param tenures: the tenures.
    """

    identity: str
    term: int
    complete: bool
    tenures: tuple[tenure_types.Tenure, ...] = ()


@wire.register(195)
class Release(typing.NamedTuple):
    """A process that stops grants nothing any more.

    :param process: the process.
    :param keys: the parts that it held.
    """

    process: tenure_types.Process
    keys: tuple[parts.Key, ...]
