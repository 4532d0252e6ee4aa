"""One upstream as the coordinator of its service sees it."""

import typing

from carawaystair.outlier import messages
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import tuning as tunings

HEALTHY = 'healthy'
SUSPECTED = 'suspected'
EJECTED = 'ejected'
TRIED = 'tried'
RETURNING = 'returning'

# Weight below which an upstream counts as taken out of service.
OUT = 0.1
# Weight of a suspect whose hold was softened or refused.
SOFT_WEIGHT = 0.3
# Ejections of late count half after this, seconds.
FLAP_HALF_S = 300.0
MOST_DOUBLINGS = 5
MOST_BACKOFF_S = 300.0
# A suspicion lease outlives its hold by this, seconds.
SLACK_S = 2.0
MILLI = 1000
MICRO = 1_000_000


class Track:
    """One upstream.

    :param upstream: its id.
    :param now: monotonic time.
    """

    def __init__(self, upstream: str, now: float) -> None:
        self.upstream = upstream
        self.state = HEALTHY
        self.since = now
        self.serial = 0
        self.weight = 1.0
        self.copied = False
        self.scope = scopes.Scope(scopes.EVERYBODY)
        self.severity = 0.0
        self.episode: scopes.Episode | None = None
        # Trials answered well and badly in this state.
        self.good = 0.0
        self.backoff_until = now
        self.flaps = 0.0
        self.flaps_time = now
        self.refused = -1e9
        self.hinted = -1e9
        self.suspected_at = -1e9
        # When the evidence was weighed anew, see ``judge``.
        self.weighed_at = -1e9
        self.incarnation: int | None = None
        # Whether nodes beyond those that use the service were told.
        self.told_all = False

    def enter(self, state: str, weight: float, now: float) -> None:
        """Change the state."""
        self.state = state
        self.weight = weight
        self.since = now
        self.good = 0.0

    def flapped(self, now: float) -> float:
        """Return the ejections of late."""
        age = now - self.flaps_time
        return self.flaps * 0.5 ** (age / FLAP_HALF_S)

    def back_off(self, base_s: float, jitter: float, now: float) -> None:
        """Set the time of the next trial and count this ejection.

        :param jitter: factor about 1.0, so that upstreams ejected together
            are not tried together.
        """
        flaps = self.flapped(now)
        wait = base_s * 2 ** min(flaps, MOST_DOUBLINGS) * jitter
        self.backoff_until = now + min(wait, MOST_BACKOFF_S)
        self.flaps, self.flaps_time = flaps + 1.0, now

    def forgettable(self, now: float) -> bool:
        """Tell whether nothing need be remembered of the upstream."""
        quiet = self.episode is None or self.episode.over(now)
        return self.state == HEALTHY and quiet and self.flapped(now) < 0.1

    @property
    def global_scope(self) -> bool:
        """Tell whether what is held concerns every caller."""
        return self.scope.kind == scopes.EVERYBODY

    @property
    def out(self) -> bool:
        """Tell whether it is taken out of service for every caller.

        One that is coming back is not yet counted as capacity, so that a
        second loss right after a return can't bring it below the floor.
        """
        if self.state == HEALTHY or not self.global_scope:
            return False
        return self.weight < OUT or self.state == RETURNING

    def entry(
        self, tuning: tunings.Tuning, trial: float, lease_s: float, now: float
    ) -> messages.Entry:
        """Return what nodes are told.

        :param trial: chance that a request is copied to it, while tried.
        :param lease_s: length of an ejection's lease.
        """
        kind, ttl = KINDS[self.state], lease_s
        tried = self.state in (SUSPECTED, TRIED)
        if self.state == SUSPECTED:
            ttl = tuning.hold_s + SLACK_S
        elif self.state == RETURNING:
            ttl = max(self.since + tuning.slow_start_s - now, 0.0)
        elif self.state == TRIED and not self.copied:
            kind = messages.HELD
        place = self.scope.kind == scopes.DATA_CENTRE
        customer = self.scope.kind == scopes.CUSTOMER
        return messages.Entry(
            self.upstream,
            kind,
            self.serial,
            int(ttl * MILLI),
            int(self.weight * MILLI),
            int(trial * MICRO) if tried and self.copied else 0,
            int(self.severity * MILLI),
            self.scope.group if place else '',
            int(self.scope.group) if customer else -1,
            int(tuning.trickle * MILLI) if tried and not self.copied else 0,
        )


KINDS = {
    HEALTHY: messages.CLEAR,
    SUSPECTED: messages.HELD,
    EJECTED: messages.EJECTED,
    TRIED: messages.EJECTED,
    RETURNING: messages.RETURNING,
}


class Transition(typing.NamedTuple):
    """A change of state that the time line shows.

    :param kind: name of the event.
    :param upstream: the upstream.
    :param text: one sentence.
    """

    kind: str
    upstream: str
    text: str
