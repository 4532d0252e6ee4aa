"""State of one request while the caller's node dispatches it."""

import asyncio
import math
import secrets
import typing

from carawaystair import clock
from carawaystair.gateway import hops
from carawaystair.load import request_value
from carawaystair.load import upstream_selection
from carawaystair.request import answer as answers
from carawaystair.request import authentication
from carawaystair.request import call as calls
from carawaystair.request import http_server
from carawaystair.request import target as targets

MS = 1000
THOUSAND = 1000
# Two requests with the same id get the same token with probability 2**-48.
TOKEN_BYTES = 6


class Declined(Exception):
    """A gateway declined a request; it was not run there.

    :param reason: the reason, see ``hops``.
    :param report: the gateway's report on its upstream.
    """

    def __init__(
        self, reason: str, report: upstream_selection.LoadReport | None
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.report = report

    def detached(self) -> 'Declined':
        """Return it without the frames that it was raised in."""
        return Declined(self.reason, self.report)


class Params(typing.NamedTuple):
    """Parameters of a dispatch beside those of the call.

    :param service: the service that is to run the request.
    :param goal: monotonic time of its latency goal.
    :param priority: its priority, 0 first.
    :param nested: whether another running request waits for it.
    :param caller_retried: whether that one was sent to an upstream before.
    :param budgeted: whether it was charged to the retry budget already.
    :param caller_service: the service on this host.
    :param max_runs: number of upstreams that may run it.
    :param config_version: version of the configuration in use.
    :param sender: who sent it.
    :param ends_here: whether it may begin only if it ends before this process
        does.
    """

    service: str
    goal: float
    priority: int
    nested: bool
    caller_retried: bool
    budgeted: bool
    caller_service: str
    max_runs: int
    config_version: str
    sender: authentication.Sender = authentication.NOBODY
    ends_here: bool = False


class LostConnection(typing.NamedTuple):
    """The upstream and process at which a request's connection was lost.

    :param target: the upstream, which may run the request.
    :param process: the process of its gateway.
    :param budgeted: whether the send was charged to the retry budget.
    """

    target: targets.Target
    process: str
    budgeted: bool


class Dispatch:
    """One request on its way to an upstream.

    :param call: the request.
    :param params: its parameters.
    :param request: the request as its caller sends it.
    """

    __slots__ = (
        'body_started',
        'call',
        'crashing',
        'refused_by',
        'fallback',
        'failure',
        'hedge_early',
        'lost_connection',
        'unreached',
        'params',
        'offers',
        'ran_at',
        'reached',
        'refusals',
        'request',
        'sends',
        'spent',
        'waited_at',
        'waited_for_budget',
        'token',
        'tried',
    )

    def __init__(
        self,
        call: calls.Call,
        params: Params,
        request: http_server.Request,
    ) -> None:
        self.call = call
        self.params = params
        self.request = request
        # Callers choose the ids of requests and may use one twice.
        self.token = secrets.token_hex(TOKEN_BYTES)
        self.tried: set[str] = set()
        # Upstreams at which it was offered to wait.
        self.waited_at: set[str] = set()
        # Refusals that may not hold any more later, by upstream.
        self.refused_by: dict[str, tuple[targets.Target, Declined]] = {}
        # All refusals, in the form in which they are logged.
        self.refusals: list[str] = []
        # Upstreams whose gateways could not be reached directly.
        self.unreached: list[targets.Target] = []
        # Number of gateways that were asked, and of all sends to them.
        self.offers = 0
        self.sends = 0
        # Whether a part of its body was sent.
        self.body_started = False
        # Upstreams that may have run it, and upstreams that received it.
        self.ran_at: set[str] = set()
        self.reached: set[str] = set()
        self.failure: answers.Failed | None = None
        # Where it may still run after its connection was lost.
        self.lost_connection: LostConnection | None = None
        # Done once the gateway has shown no sign of life for too long; None
        # if the request can't be hedged.
        self.hedge_early: asyncio.Future | None = None
        self.fallback: answers.Answer | None = None
        # Whether a gateway refused it because it crashes upstreams.
        self.crashing = False
        # Whether a gateway refused it for lack of retry budget since it began
        # or waited for that.
        self.spent = False
        self.waited_for_budget = False

    @property
    def runs(self) -> int:
        """Return how many upstreams may have run it."""
        return len(self.ran_at)

    @property
    def sent(self) -> int:
        """Return how many upstreams received it."""
        return len(self.reached)

    def mark_run(self, upstream: str) -> None:
        """Record that an upstream may have run it."""
        self.ran_at.add(upstream)
        self.reached.add(upstream)

    def mark_not_run(self, upstream: str, reached: bool) -> None:
        """Record that an upstream has not run it.

        :param reached: whether the upstream received it.
        """
        self.ran_at.discard(upstream)
        if reached:
            self.reached.add(upstream)
        else:
            self.reached.discard(upstream)

    @property
    def shed_without_budget(self) -> bool:
        """Return whether it was only shed, and the budget has no room for it.

        Only for requests of customers; nested calls have none.
        """
        shed = self.spent and self.sent > 0 and not self.runs
        return shed and bool(self.params.sender.customer)

    def start_over(self) -> None:
        """Forget what refused it, but not what got it."""
        self.offers = 0
        self.spent = False
        self.waited_for_budget = True
        self.tried = set(self.reached)
        self.refused_by.clear()
        self.waited_at.clear()
        self.unreached.clear()

    @property
    def size(self) -> float:
        """Return the size of its body, bytes; infinite if unknown."""
        call = self.call
        if call.body is not None:
            return len(call.body)
        return math.inf if call.length is None else call.length

    @property
    def over_budget(self) -> bool:
        """Return whether a gateway refused it for lack of retry budget."""
        spent = ':' + hops.SPENT
        return any(refusal.endswith(spent) for refusal in self.refusals)

    @property
    def ends_too_late(self) -> bool:
        """Return whether a gateway refused it because this process ends."""
        leaving = ':' + hops.SENDER_LEAVING
        return any(refusal.endswith(leaving) for refusal in self.refusals)

    @property
    def body_consumed(self) -> bool:
        """Return whether it can't be resent because its body is consumed."""
        return self.body_started and self.call.body is None

    @property
    def final_attempt(self) -> bool:
        """Return whether it can't be retried if the next attempt fails."""
        runs_out = self.runs + 1 >= self.params.max_runs
        return runs_out or not self.call.idempotent or self.sent > 0

    def needs(self, now: float) -> request_value.Need:
        """Return its goal and deadline relative to a time."""
        return request_value.Need(
            self.params.goal - now,
            self.call.deadline - now,
            self.final_attempt,
        )

    def hop(
        self,
        host: str,
        target: targets.Target,
        min_value: float | None,
        retry_value: float,
        budgeted: bool,
        service_healthy: bool,
        typical_s: float,
        process: str,
    ) -> hops.Hop:
        """Return the hop header for the next send.

        :param host: the host of this node.
        :param min_value: value that it must have there to be accepted; None
            when it may wait there whatever its value.
        :param retry_value: value that is left if it fails there, 0 to 1.
        :param budgeted: whether it was charged to this node's retry budget.
        :param service_healthy: whether the service serves this node's
            requests well.
        :param typical_s: service time of its route, seconds.
        :param process: the process of the gateway, '' if unknown.
        """
        self.sends += 1
        now = clock.now()
        call, params = self.call, self.params
        return hops.Hop(
            call.id,
            host,
            target.upstream.id,
            params.service,
            params.caller_service,
            call.match.key,
            int((call.deadline - now) * MS),
            max(int((params.goal - now) * MS), -1),
            params.priority,
            call.idempotent,
            params.nested,
            min_value is None,
            len(self.reached - {target.upstream.id}) > 0,
            params.caller_retried,
            self.sends,
            process,
            token=self.token,
            min_value=int((min_value or 0.0) * THOUSAND),
            retry_value=int(retry_value * THOUSAND),
            service_healthy=service_healthy,
            final_attempt=self.final_attempt,
            budgeted=budgeted,
            typical_ms=int(typical_s * MS),
            digest=call.digest,
            customer=params.sender.customer,
            ends_with_sender=params.ends_here,
        )
