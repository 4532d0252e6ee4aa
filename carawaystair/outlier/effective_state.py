"""What the leases of a service mean at one node, clamped to the floor."""

import random
import typing

from carawaystair import invariants
from carawaystair.outlier import floor
from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import node_leases
from carawaystair.outlier import tuning as tunings
from carawaystair.outlier import upstream_index

# Share of work of an upstream whose ejection the floor doesn't allow here.
CLAMPED_WEIGHT = 0.2
OUT_OF_SERVICE_MILLI = 100
# Share of work with which a returning upstream starts.
MIN_SHARE = 0.1
# Weight for the other requests: used only when all other upstreams are full.
MIN_WEIGHT = 0.02
# The state is computed again after this time even without a message: leases
# end and upstreams get warm by time alone.
REFRESH_INTERVAL_S = 1.0


class WeightFactor(typing.NamedTuple):
    """Factor of a lease on the weight of an upstream.

    A share of the work is given as full weight for that share of the requests
    and hardly any for the others: with a small weight for all requests, a
    balancer that compares two upstreams would hardly ever choose it.

    :param weight: 0.0 to 1.0.
    :param customer_class: for this class only, or -1.
    :param full_share: of the requests that see full weight.
    :param full_share_at: monotonic time at which a returning upstream has its
        whole share; 0.0 for others.
    :param ramp_s: length of its slow start, seconds.
    """

    weight: float
    customer_class: int = -1
    full_share: float = 0.0
    full_share_at: float = 0.0
    ramp_s: float = 1.0

    def draw(self, customer: str, now: float, rng: random.Random) -> float:
        """Return the factor for one request of a customer, drawn at random."""
        if self.customer_class >= 0:
            if not customer:
                return 1.0
            if levels.customer_class(customer) != self.customer_class:
                return 1.0
        full_share = self.full_share
        if self.full_share_at:
            capacity = (self.full_share_at - now) / self.ramp_s
            full_share = max(1.0 - capacity, MIN_SHARE)
        return 1.0 if full_share and rng.random() < full_share else self.weight


class Trial(typing.NamedTuple):
    """An upstream to which requests are copied as trials.

    :param upstream: its id.
    :param chance: that a request is copied.
    """

    upstream: str
    chance: float


class EffectiveState(typing.NamedTuple):
    """The effective state of one service at this node.

    :param ejected: ids that get no new work.
    :param factors: on the weights, by upstream.
    :param trials: upstreams to which requests are copied.
    :param version: of the upstreams it was computed from.
    :param until: monotonic time until which it is valid.
    """

    ejected: frozenset[str]
    factors: dict[str, WeightFactor]
    trials: tuple[Trial, ...]
    version: int
    until: float

    def trial(self, rng: random.Random) -> str | None:
        """Return an upstream to send a copy to, or None."""
        for trial in self.trials:
            if rng.random() < trial.chance:
                return trial.upstream
        return None


def compute(
    service: str,
    index: upstream_index.UpstreamIndex,
    data_centre: str,
    leases: typing.Mapping[str, node_leases.Lease],
    locally_ejected: typing.Collection[str],
    now: float,
) -> EffectiveState:
    """Return the effective state of one service.

    :param data_centre: of this node.
    :param leases: granted by coordinators.
    :param locally_ejected: ids that this node ejects on its own.
    """
    config = index.service(service)
    upstreams = tuple(index.by_id(service).values())
    applicable = {
        name: lease.entry
        for name, lease in leases.items()
        if lease.until > now and lease.entry.data_centre in ('', data_centre)
    }
    returning = {
        name
        for name, entry in applicable.items()
        if entry.kind == messages.RETURNING
    }

    def usable(upstream) -> bool:
        # A returning upstream is not yet capacity: a second loss right after
        # its return must not find the floor already used up.
        return upstream.id not in returning and index.usable(upstream)

    wanted = [*_by_severity(applicable), *sorted(locally_ejected)]
    allowed = floor.clamp(config, upstreams, wanted, usable)
    capacity = floor.measure(config, upstreams, allowed, usable)
    invariants.check(
        invariants.FLOOR, not allowed or capacity.spare >= 0, service
    )
    tuning = tunings.for_service(config)
    factors = {
        name: _factor(entry, name in allowed, leases[name].until, tuning)
        for name, entry in applicable.items()
    }
    trials = tuple(
        Trial(name, entry.copy_chance / 1e6)
        for name, entry in sorted(applicable.items())
        if entry.copy_chance
    )
    ends = [leases[name].until for name in applicable]
    ejected = frozenset(
        name
        for name in allowed
        if name in locally_ejected or applicable[name].kind == messages.EJECTED
    )
    until = min([now + REFRESH_INTERVAL_S, *ends])
    return EffectiveState(
        ejected, factors, trials, index.version(service), until
    )


def _by_severity(applicable: dict[str, messages.Entry]) -> list[str]:
    """Return the ids that are to get no work, the worst first."""
    removed = [
        entry
        for entry in applicable.values()
        if entry.customer_class < 0
        and entry.kind in (messages.EJECTED, messages.SUSPECTED)
        and entry.weight < OUT_OF_SERVICE_MILLI
    ]
    # Ejections come before suspicions.
    removed.sort(key=lambda one: (-one.kind, -one.severity, one.upstream))
    return [entry.upstream for entry in removed]


def _factor(
    entry: messages.Entry, allowed: bool, until: float, tuning: tunings.Tuning
) -> WeightFactor:
    if entry.kind == messages.RETURNING:
        return WeightFactor(MIN_WEIGHT, -1, 0.0, until, tuning.slow_start_s)
    weight, full_share = entry.weight / 1000, entry.test_share / 1000
    if entry.customer_class >= 0:
        return WeightFactor(
            max(weight, MIN_WEIGHT), entry.customer_class, full_share
        )
    if entry.weight < OUT_OF_SERVICE_MILLI and not allowed:
        weight = CLAMPED_WEIGHT
    return WeightFactor(weight, -1, full_share)
