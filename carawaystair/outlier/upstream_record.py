"""The coordinator's record of one upstream."""

import typing

from carawaystair.outlier import messages
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import tuning as tunings

HEALTHY = 'healthy'
SUSPECTED = 'suspected'
EJECTED = 'ejected'
ON_TRIAL = 'tried'
RETURNING = 'returning'

# Below this weight an upstream counts as out of service.
OUT_OF_SERVICE_WEIGHT = 0.1
# Weight of a suspect when the floor doesn't allow more or evidence is old.
REDUCED_WEIGHT = 0.3
# Half-life of the count of recent ejections, seconds.
EJECTIONS_HALF_LIFE_S = 300.0
MAX_DOUBLINGS = 5
MAX_BACKOFF_S = 300.0
# A lease for a suspicion is longer than ``hold_s`` by this, seconds.
LEASE_SLACK_S = 2.0
MILLI = 1000
MICRO = 1_000_000


class UpstreamRecord:
    """One upstream.

    :param upstream: its id.
    :param now: monotonic time.
    """

    def __init__(self, upstream: str, now: float) -> None:
        self.upstream = upstream
        self.state = HEALTHY
        self.state_since = now
        self.serial = 0
        self.weight = 1.0
        self.tested_by_copies = False
        self.scope = scopes.Scope(scopes.EVERYBODY)
        self.severity = 0.0
        self.episode: scopes.Episode | None = None
        # Trials answered since the state was entered.
        self.good_trials = 0.0
        self.backoff_until = now
        self.recent_ejections = 0.0
        self.recent_ejections_at = now
        self.refused_at = -1e9
        self.hinted_at = -1e9
        self.suspected_at = -1e9
        # When the evidence was dropped for a common cause, see
        # ``state_machine``.
        self.evidence_reset_at = -1e9
        self.incarnation: int | None = None
        # Whether it was announced to nodes that don't use the service.
        self.announced_to_all = False

    def set_state(self, state: str, weight: float, now: float) -> None:
        """Enter a state."""
        self.state = state
        self.weight = weight
        self.state_since = now
        self.good_trials = 0.0

    def decayed_ejections(self, now: float) -> float:
        """Return the number of recent ejections, decayed."""
        age = now - self.recent_ejections_at
        return self.recent_ejections * 0.5 ** (age / EJECTIONS_HALF_LIFE_S)

    def back_off(self, base_s: float, jitter: float, now: float) -> None:
        """Count this ejection and set the time of the next trial.

        :param base_s: backoff of the first ejection, seconds.
        :param jitter: factor about 1.0, so that upstreams ejected together are
            not tried together.
        """
        recent_ejections = self.decayed_ejections(now)
        wait = base_s * 2 ** min(recent_ejections, MAX_DOUBLINGS) * jitter
        self.backoff_until = now + min(wait, MAX_BACKOFF_S)
        self.recent_ejections, self.recent_ejections_at = (
            recent_ejections + 1.0,
            now,
        )

    def forgettable(self, now: float) -> bool:
        """Return whether the record holds nothing worth keeping."""
        quiet = self.episode is None or self.episode.ended(now)
        return (
            self.state == HEALTHY
            and quiet
            and self.decayed_ejections(now) < 0.1
        )

    @property
    def global_scope(self) -> bool:
        """Return whether the state applies to all callers."""
        return self.scope.kind == scopes.EVERYBODY

    @property
    def out_of_service(self) -> bool:
        """Return whether it is out of service for all callers.

        A returning upstream is not yet counted as capacity, so that a second
        loss right after its return can't bring the capacity below the floor.
        """
        if self.state == HEALTHY or not self.global_scope:
            return False
        return self.weight < OUT_OF_SERVICE_WEIGHT or self.state == RETURNING

    def entry(
        self, tuning: tunings.Tuning, trial: float, lease_s: float, now: float
    ) -> messages.Entry:
        """Return the entry for nodes.

        :param trial: chance that a request is copied to it, while tested.
        :param lease_s: length of an ejection's lease, seconds.
        """
        kind, ttl = KINDS[self.state], lease_s
        on_trial = self.state in (SUSPECTED, ON_TRIAL)
        if self.state == SUSPECTED:
            ttl = tuning.hold_s + LEASE_SLACK_S
        elif self.state == RETURNING:
            ttl = max(self.state_since + tuning.slow_start_s - now, 0.0)
        elif self.state == ON_TRIAL and not self.tested_by_copies:
            kind = messages.SUSPECTED
        data_centre_only = self.scope.kind == scopes.DATA_CENTRE
        customer_only = self.scope.kind == scopes.CUSTOMER
        return messages.Entry(
            self.upstream,
            kind,
            self.serial,
            int(ttl * MILLI),
            int(self.weight * MILLI),
            int(trial * MICRO) if on_trial and self.tested_by_copies else 0,
            int(self.severity * MILLI),
            self.scope.group if data_centre_only else '',
            int(self.scope.group) if customer_only else -1,
            int(tuning.test_share * MILLI)
            if on_trial and not self.tested_by_copies
            else 0,
        )


KINDS = {
    HEALTHY: messages.CLEAR,
    SUSPECTED: messages.SUSPECTED,
    EJECTED: messages.EJECTED,
    ON_TRIAL: messages.EJECTED,
    RETURNING: messages.RETURNING,
}


class Transition(typing.NamedTuple):
    """A change of state as shown in the timeline.

    :param kind: name of the event.
    :param upstream: the upstream.
    :param text: one sentence.
    """

    kind: str
    upstream: str
    text: str
