"""What the parts of a node know of each other.

Each ``Protocol`` here is kept by one part and used by others; tests put small
fakes in their place.  The values that pass between parts are ``NamedTuple``
types.
"""

import typing

import expression

from carawaystair import codes
from carawaystair.load import crash_suspects

# States of an upstream, as it announces them itself.
UP = 'up'
DRAINING = 'draining'
GONE = 'gone'

# What came of one attempt at an upstream, as evidence about it.
GOOD = 'good'  # a whole answer that is no server error
SHED = 'shed'  # a refusal before running (503 with Retry-After): not gray
ERROR = 'error'  # a server error
TIMEOUT = 'timeout'  # no answer within its time
BROKEN = 'broken'  # the connection died with the request on it
REFUSED = 'refused'  # no connection could be made
SILENT = 'silent'  # an open connection went silent while new ones work
CANCELLED = 'cancelled'  # the caller went away; says nothing about it


class Upstream(typing.NamedTuple):
    """One upstream, as its host's node last announced it.

    :param id: unique in the fleet.
    :param service: the service that it runs.
    :param address: ``ip:port`` that takes requests.
    :param host: the host that it runs on.
    :param data_centre: the data centre of that host.
    :param slots: requests that it works on at once.
    :param weight: share of work relative to its siblings, normally 1.0.
    :param warmup_s: seconds from its start until it carries full load.
    :param state: one of :data:`UP`, :data:`DRAINING`, :data:`GONE`.
    :param incarnation: grows with every start of the upstream.
    :param sequence: grows with every change within an incarnation.
    """

    id: str
    service: str
    address: str
    host: str
    data_centre: str
    slots: int
    weight: float = 1.0
    warmup_s: float = 0.0
    state: str = UP
    incarnation: int = 0
    sequence: int = 0


class Member(typing.NamedTuple):
    """One process of the fleet, as membership knows it.

    :param host: the name of its host, unique in the fleet.
    :param data_centre: the data centre of the host.
    :param region: the region of the data centre.
    :param peer: ``ip:port`` for messages (pyzmq).
    :param gossip: ``ip:port`` for datagrams (UDP).
    :param incarnation: grows with every start and every refutation.
    :param control: whether it is a control host.
    """

    host: str
    data_centre: str
    region: str
    peer: str
    gossip: str
    incarnation: int = 0
    control: bool = False


class Attempt(typing.NamedTuple):
    """What one attempt at an upstream showed.

    :param service: the service asked for.
    :param upstream: id of the upstream.
    :param customer: the customer that the request belongs to.
    :param outcome: one of the constants above, such as :data:`GOOD`.
    :param latency_s: from the first byte sent to the last byte that counts.
    :param started: monotonic time at which it began, see ``clock.now``.
    :param route: key of the route, so that like is compared with like.
    """

    service: str
    upstream: str
    customer: str
    outcome: str
    latency_s: float
    started: float
    route: str = ''


class ControlGroup(typing.NamedTuple):
    """What a process knows of the control group.

    :param index: place in the group's log of the change that made it so; 0
        where no host of the group has told.
    :param peers: ``ip:port`` of the links of the hosts that vote; those of
        the settings, if any, until one has told.
    :param founded: whether the group was founded since this process started,
        so that the fleet is as young as the process.
    """

    index: int = 0
    peers: tuple[str, ...] = ()
    founded: bool = False


class Transport(typing.Protocol):
    """Messages to other processes; ``links`` has the one over pyzmq.

    A message may be lost, late, doubled or out of order; nothing here
    repeats one.
    """

    address: str

    def send(self, to: str, message) -> None:
        """Send a one-way message; drops it when the queue is full."""

    async def call(
        self, to: str, message, timeout_s: float
    ) -> expression.Result[typing.Any, codes.Failure]:
        """Send a question and wait for its answer.

        :return: the answer, or ``PEER_SILENT`` after ``timeout_s``.
        """

    def handle(self, kind: type, handler) -> None:
        """Give messages of one type to ``await handler(sender, message)``.

        What the handler returns, unless None, goes back as the answer.
        """


class Directory(typing.Protocol):
    """The upstreams that this node knows of."""

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return those not gone, draining ones included."""

    def subscribe(self, callback: typing.Callable[[Upstream], None]) -> None:
        """Call ``callback`` with every upstream that changes."""


class Members(typing.Protocol):
    """The processes of the fleet that this one believes to be alive."""

    me: Member

    def alive(self) -> tuple[Member, ...]:
        """Return the members believed alive, this process included."""


class Health(typing.Protocol):
    """What this node makes of upstreams' health, own and told."""

    def ejected(self, service: str) -> frozenset[str]:
        """Return ids that get no new work, after this node's own clamp."""

    def weight(self, upstream: str, customer: str = '') -> float:
        """Return a factor from 0.0 to 1.0 on the upstream's share.

        :param customer: the request's customer, where the caller knows it:
            an upstream may be slow for one customer's work only.
        """

    def trial(self, service: str) -> str | None:
        """Return an upstream that wants a copy of the next short request.

        Called once for each idempotent short request, after its first
        attempt was given an upstream.  The copy goes out beside that first
        attempt, like a hedge without a delay: the first whole answer is
        used, both attempts run to their end and both are recorded.  So an
        upstream under suspicion shows what it does with real work while no
        caller waits for it alone.  It goes out on a new connection, so that
        a silent old one is not taken for a dead upstream.  Each wish is
        handed out once.
        """


class Evidence(typing.Protocol):
    """Takes note of what attempts showed."""

    def begin(
        self,
        service: str,
        upstream: str,
        customer: str,
        started: float,
        route: str = '',
        fresh: bool = True,
    ) -> None:
        """Take note that an attempt starts; must return within microseconds.

        An upstream that hangs shows it by answers that are overdue, long
        before their timeout.  ``record`` ends what has the same upstream
        and ``started``.  Calling this is optional: without it a hang is
        noticed at the timeout only.

        :param started: monotonic time, the same as in the later attempt.
        :param fresh: whether the connection is new or has carried an answer
            within the last second.  An overdue answer on an older one may be
            the fault of the connection alone and weighs less.
        """

    def record(self, attempt: Attempt) -> None:
        """Take note of one attempt; must return within microseconds."""


class Permit(typing.Protocol):
    """Leave to run one request; give it back exactly once."""

    def release(self, outcome: str, latency_s: float) -> None:
        """Give the slot back with what the request showed."""


class Admission(typing.Protocol):
    """Decides when a request may start."""

    def try_admit(
        self, service: str, customer: str, deadline: float, bulk: bool
    ) -> Permit | None:
        """Take a free slot at once, without an await.

        The parameters are those of :meth:`admit`, which the caller turns to
        when this returns None; None alone refuses nothing.
        """

    def retry_after(self, service: str) -> float:
        """Return when a refused request may be tried again, in seconds."""

    async def admit(
        self, service: str, customer: str, deadline: float, bulk: bool
    ) -> expression.Result[Permit, codes.Failure]:
        """Wait for a slot.

        :param deadline: monotonic time by which the answer is owed.
        :param bulk: a long transfer, which must not crowd out short ones.
        :return: a permit, or the failure that refuses the request at once.
        """


class Reserved(typing.NamedTuple):
    """What a reservation of an idempotency key brought.

    :param granted: this request may run, and nobody else's with this key.
    :param token: names the grant when its outcome is stored.
    :param answer: the stored answer of the earlier run, where one is known.
    :param running: another request with this key runs or its end is unknown.
    :param status: HTTP status of an earlier run that is complete but whose
        answer was not kept, being too large; 0 otherwise.
    :param digest: BLAKE2b digest of that answer, 16 bytes.
    """

    granted: bool
    token: str = ''
    answer: bytes | None = None
    running: bool = False
    status: int = 0
    digest: bytes = b''


class Reservations(typing.Protocol):
    """At most one run for each idempotency key."""

    async def reserve(
        self,
        service: str,
        customer: str,
        key: str,
        digest: bytes,
        deadline: float,
    ) -> expression.Result[Reserved, codes.Failure]:
        """Reserve a key before the first byte goes to an upstream.

        :param digest: of the request, so that a key with another body is
            refused.
        """

    async def settle(
        self, token: str, answer: bytes, status: int = 200
    ) -> None:
        """Store the answer of the run that ``token`` granted.

        :param answer: whatever lets the caller's side repeat the answer.
        :param status: its HTTP status, kept when the answer is too large.
        """

    async def release(self, token: str) -> None:
        """Give the key back: the request was provably not run."""


class Quarantine(typing.Protocol):
    """Knows of requests that crash upstreams, by their digests."""

    def standing(self, digest: str) -> crash_suspects.Standing:
        """Return what is known of a request."""

    def refuses(self, digest: str) -> bool:
        """Tell whether a request is not to reach an upstream."""

    def may_begin(self, digest: str) -> bool:
        """Tell whether a request of this host's callers may be sent on."""

    def may_retry(self, digest: str) -> bool:
        """Tell whether a request that failed may reach another upstream."""

    def record_success(self, digest: str) -> None:
        """Take note that a request was answered well."""

    def record_crash(
        self,
        incarnation: str,
        requests: typing.Mapping[str, str],
        proven: bool,
        how: str,
    ) -> None:
        """Take note that an upstream crashed.

        :param incarnation: names the upstream and its start.
        :param requests: ids of what it was running, by digest.
        :param proven: whether it had served anything since its start.
        :param how: what shows that it crashed.
        """
