"""One request on its way from a caller's node to an upstream."""

import asyncio
import math
import secrets
import typing

from carawaystair import clock
from carawaystair.gateway import hops
from carawaystair.load import request_value
from carawaystair.load import upstream_selection
from carawaystair.request import answer as answers
from carawaystair.request import call as calls
from carawaystair.request import target as targets

MS = 1000
THOUSAND = 1000
# Two requests with one id get the same token once in 2**48 cases.
TOKEN_BYTES = 6


class Declined(Exception):
    """A gateway refused a request; it was not run there.

    :param reason: why, see ``hops``.
    :param report: what the gateway says of its upstream.
    """

    def __init__(
        self, reason: str, report: upstream_selection.LoadReport | None
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.report = report


class Params(typing.NamedTuple):
    """What a request needs, beside what its call says.

    :param service: the service that is to run it.
    :param goal: monotonic time until which its answer is worth most.
    :param priority: rank of its kind, 0 first.
    :param inner: whether another running request waits for it.
    :param echo: whether that one was sent to an upstream before.
    :param paid: whether its arrival was counted among the repeats already.
    :param caller_service: the service on this host.
    :param most_runs: upstreams that may run it.
    :param version: configuration that it was read with.
    """

    service: str
    goal: float
    priority: int
    inner: bool
    echo: bool
    paid: bool
    caller_service: str
    most_runs: int
    version: str


class LostConnection(typing.NamedTuple):
    """Where a request is whose connection was lost.

    :param target: the upstream that may run it.
    :param process: the process of its gateway.
    :param paid: whether this node counted it among its repeats.
    """

    target: targets.Target
    process: str
    paid: bool


class Dispatch:
    """One request on its way.

    :param call: the request.
    :param need: what it needs.
    """

    __slots__ = (
        'begun',
        'call',
        'crashing',
        'declined',
        'fallback',
        'failed',
        'hurry',
        'lost',
        'missed',
        'need',
        'offers',
        'ran_at',
        'reached',
        'refusals',
        'sends',
        'stayed',
        'token',
        'tried',
    )

    def __init__(self, call: calls.Call, need: Params) -> None:
        self.call = call
        self.need = need
        # Callers choose the ids of requests, and may use one twice.
        self.token = secrets.token_hex(TOKEN_BYTES)
        self.tried: set[str] = set()
        # Upstreams at which it was left to wait.
        self.stayed: set[str] = set()
        # Refusals that waiting may turn, by upstream.
        self.declined: dict[str, tuple[targets.Target, Declined]] = {}
        # All refusals, as the log tells them.
        self.refusals: list[str] = []
        # Those whose gateways could not be reached directly.
        self.missed: list[targets.Target] = []
        # Gateways that were asked, and all sends to them.
        self.offers = 0
        self.sends = 0
        # Whether a part of its body went out.
        self.begun = False
        # Upstreams that may have run it, and those that got it, whether they
        # ran it or not.
        self.ran_at: set[str] = set()
        self.reached: set[str] = set()
        self.failed: answers.Failed | None = None
        # Where it may still run, if its connection was lost there.
        self.lost: LostConnection | None = None
        # Done once its gateway has shown no sign of life for long; None
        # where no other upstream may have it.
        self.hurry: asyncio.Future | None = None
        self.fallback: answers.Answer | None = None
        # Whether a gateway refused it because upstreams crashed under it.
        self.crashing = False

    @property
    def runs(self) -> int:
        """Return how many upstreams may have run it."""
        return len(self.ran_at)

    @property
    def sent(self) -> int:
        """Return how many upstreams got it."""
        return len(self.reached)

    def ran(self, upstream: str) -> None:
        """Take note that an upstream may have run it."""
        self.ran_at.add(upstream)
        self.reached.add(upstream)

    def not_run(self, upstream: str, reached: bool) -> None:
        """Take note that an upstream has not run it after all.

        :param reached: whether it got it.
        """
        self.ran_at.discard(upstream)
        if reached:
            self.reached.add(upstream)
        else:
            self.reached.discard(upstream)

    @property
    def size(self) -> float:
        """Return the bytes of its body; infinite when it comes in chunks."""
        call = self.call
        if call.body is not None:
            return len(call.body)
        return math.inf if call.length is None else call.length

    @property
    def one_too_many(self) -> bool:
        """Tell whether it was a repeat that its service may not get."""
        spent = ':' + hops.SPENT
        return any(refusal.endswith(spent) for refusal in self.refusals)

    @property
    def spent(self) -> bool:
        """Tell whether its body is gone: it can't be sent once more."""
        return self.begun and self.call.body is None

    @property
    def final_attempt(self) -> bool:
        """Tell whether it can't be sent once more if it fails."""
        runs_out = self.runs + 1 >= self.need.most_runs
        return runs_out or not self.call.idempotent or self.sent > 0

    def needs(self, now: float) -> request_value.Need:
        """Return what it needs now."""
        return request_value.Need(
            self.need.goal - now, self.call.deadline - now, self.final_attempt
        )

    def hop(
        self,
        host: str,
        target: targets.Target,
        least: float | None,
        again: float,
        paid: bool,
        calm: bool,
        usual_s: float,
        process: str,
    ) -> hops.Hop:
        """Return what the next send of this request tells a gateway.

        :param host: the host of this node.
        :param least: what it must be worth there; None when it stays there
            whatever that is.
        :param again: what it is worth if it fails there.
        :param paid: whether this node counted it among its repeats.
        :param calm: whether this node sees the service served well.
        :param usual_s: service time of its route, seconds.
        :param process: the process of the gateway, as far as is known.
        """
        self.sends += 1
        now = clock.now()
        call, need = self.call, self.need
        return hops.Hop(
            call.id,
            host,
            target.upstream.id,
            need.service,
            need.caller_service,
            call.match.key,
            int((call.deadline - now) * MS),
            max(int((need.goal - now) * MS), -1),
            need.priority,
            call.idempotent,
            need.inner,
            least is None,
            len(self.reached - {target.upstream.id}) > 0,
            need.echo,
            self.sends,
            process,
            trip=self.token,
            least=int((least or 0.0) * THOUSAND),
            second=int(again * THOUSAND),
            calm=calm,
            last=self.final_attempt,
            paid=paid,
            usual_ms=int(usual_s * MS),
            digest=call.digest,
        )
