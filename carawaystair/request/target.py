"""What this node knows of one upstream that it sends requests to."""

import math
import typing

from carawaystair import interfaces

# Time constant of the exponential decay of the latency average.
DECAY_S = 10.0
# An average younger than this is used without decay.
FRESH_S = 0.1
# Share of its full load that an upstream gets right after its start.
MIN_WARMUP_SHARE = 0.1


class Target:
    """The state that this node keeps of one upstream.

    :param upstream: its last announcement.
    :param now: monotonic time.
    """

    __slots__ = (
        'cost',
        'suspected',
        'idle_connections',
        'in_flight',
        'late_attempts',
        'lingering',
        'pacer',
        'has_served',
        'share',
        'lost_before',
        'first_seen',
        'cost_updated',
        'upstream',
    )

    def __init__(self, upstream: interfaces.Upstream, now: float) -> None:
        self.upstream = upstream
        # Open connections without a request, the most recently used last.
        self.idle_connections: list = []
        self.in_flight = 0
        # Attempts whose answers are late, oldest first.
        self.late_attempts: list = []
        # Number of attempts that continue although no request waits for
        # them.
        self.lingering = 0
        # Peak-sensitive average of the latency, seconds, and when it was
        # last updated.
        self.cost = 0.0
        self.cost_updated = now
        # When this node first saw this incarnation.
        self.first_seen = now
        # Connections opened before this time are known to be lost.
        self.lost_before = -math.inf
        # A silent attempt that may be due to a lost connection rather than
        # to the upstream.
        self.suspected: typing.Any = None
        # Shares the link to the upstream among long bodies; may be None.
        self.pacer: typing.Any = None
        # This node's share of the rate that the upstream asks for; None until
        # it has stated something.
        self.share: typing.Any = None
        # Whether this incarnation has served a request successfully.
        self.has_served = False

    def observe(self, latency_s: float, now: float) -> None:
        """Update the latency average; it rises at once and falls slowly.

        This is the peak-sensitive exponential average (peak EWMA) of
        Finagle's load balancer.
        """
        cost = self.cost * math.exp((self.cost_updated - now) / DECAY_S)
        self.cost_updated = now
        self.cost = max(latency_s, cost + (latency_s - cost) * 0.1)

    def latency(self, now: float) -> float:
        """Return the decayed average latency, in seconds.

        While an answer is late, the time it has taken so far is a lower
        bound.
        """
        if self.late_attempts:
            return max(now - self.late_attempts[0].started, self.cost)
        age_s = now - self.cost_updated
        if age_s < FRESH_S:
            return self.cost
        return self.cost * math.exp(-age_s / DECAY_S)

    def warmup_share(self, now: float) -> float:
        """Return the share of its full load that an upstream may get now.

        It rises to 1.0 during the warm-up after the upstream's start.
        """
        warmup = self.upstream.warmup_s
        if warmup <= 0.0 or now - self.first_seen >= warmup:
            return 1.0
        return max((now - self.first_seen) / warmup, MIN_WARMUP_SHARE)


def is_outdated(target: Target, upstream: interfaces.Upstream) -> bool:
    """Return whether an update is about an older incarnation at another host.

    When an upstream id moves to another host and another service, the
    directory reports changes of both incarnations.  The end of the older
    one must not discard the state of the newer one.
    """
    known = target.upstream
    older = upstream.incarnation < known.incarnation
    return older and upstream.host != known.host


class Candidates(typing.NamedTuple):
    """The upstreams that may get the next request of a service.

    :param targets: the upstreams.
    :param cumulative_shares: running sums of their shares of the load, in
        the order of ``targets``.
    """

    targets: tuple[Target, ...]
    cumulative_shares: tuple[float, ...]


class Balancer(typing.Protocol):
    """Chooses among candidates; one instance for each service of a node."""

    def choose(
        self, candidates: Candidates, customer: str, now: float
    ) -> Target:
        """Return one of the candidates, of which there is at least one.

        :param customer: whose request it is.
        :param now: monotonic time.
        """
