"""Estimate of the probability that an upstream fails its next request.

Upstreams turn gray from one moment to the next: their health answers stay
good, but for some seconds most requests fail at once, hang, or run and lose
their answer.  Healthy upstreams fail about one request in a hundred, after
working on it.  So one failure says little or nearly everything, depending on
what else was observed shortly before.

An upstream is therefore modelled as being in one of three hidden states, and
each observation of a run makes some of them more likely (a Bayesian update).
The state probabilities decay towards the typical ones of the service, because
upstreams change state: one without observations for some seconds may be in any
state.
"""

import math
import typing

# The states, as indexes.
HEALTHY, FLAKY, GRAY = range(3)

# Time constant with which state probabilities decay towards the typical ones,
# in seconds.
DECAY_S = 4.0
# Time constant with which the typical probabilities are learned, in seconds:
# long enough to cover several gray periods.
TYPICAL_DECAY_S = 60.0
# State probabilities before the first observation.
INITIAL_PROBABILITIES = (0.85, 0.03, 0.12)
# Lower bound of a state's probability before an update: observations are
# seconds old, so no state is ever ruled out.
MIN_PROBABILITY = 0.01
# Failure probability above which an upstream is reported as likely to fail.
SUSPECT_PROBABILITY = 0.5


class Observation(typing.NamedTuple):
    """An event during a run.

    :param likelihoods: its probability in each state.
    """

    likelihoods: tuple[float, float, float]


# Whether a run fails before the upstream can have worked on it.
FAILED_AT_ONCE = Observation((0.003, 0.02, 0.80))
NOT_FAILED_AT_ONCE = Observation((0.997, 0.98, 0.20))
# How a run goes on that did not fail at once: it fails, takes far longer than
# its route usually does, or succeeds.
FAILED = Observation((0.015, 0.40, 0.30))
OVERDUE = Observation((0.03, 0.30, 0.60))
SUCCEEDED = Observation((0.985, 0.60, 0.70))
# The upstream sheds a request without running it.  All upstreams of a service
# may shed part of their requests at once, so one shed request says little;
# several in a row show an upstream that accepts nothing.
SHED = Observation((0.15, 0.30, 0.50))
# Probability that a request fails, by state.
FAILURE_PROBABILITIES = tuple(
    1.0 - not_at_once * succeeded
    for not_at_once, succeeded in zip(
        NOT_FAILED_AT_ONCE.likelihoods, SUCCEEDED.likelihoods
    )
)


class Estimate:
    """State probabilities of one upstream."""

    def __init__(self) -> None:
        self.state_probabilities = INITIAL_PROBABILITIES
        self.typical_probabilities = INITIAL_PROBABILITIES
        self.updated_at = 0.0

    def observe(self, observation: Observation, now: float) -> None:
        """Update the estimate with an observation."""
        self._advance(now)
        weights = [
            max(probability, MIN_PROBABILITY) * likelihood
            for probability, likelihood in zip(
                self.state_probabilities, observation.likelihoods
            )
        ]
        total = sum(weights)
        self.state_probabilities = tuple(weight / total for weight in weights)

    def failure_probability(self, now: float) -> float:
        """Return the probability that the next request fails."""
        decayed = _decayed(
            self.state_probabilities,
            self.typical_probabilities,
            now - self.updated_at,
        )
        return mean_failure_probability(decayed)

    def typical_failure_probability(self) -> float:
        """Return the probability for an upstream without observations."""
        return mean_failure_probability(self.typical_probabilities)

    def _advance(self, now: float) -> None:
        """Apply the decay up to now and update the typical probabilities."""
        passed_s = max(now - self.updated_at, 0.0)
        share = (
            1.0 - math.exp(-passed_s / TYPICAL_DECAY_S)
            if self.updated_at
            else 0.0
        )
        self.typical_probabilities = tuple(
            typical + share * (state - typical)
            for typical, state in zip(
                self.typical_probabilities, self.state_probabilities
            )
        )
        self.state_probabilities = _decayed(
            self.state_probabilities, self.typical_probabilities, passed_s
        )
        self.updated_at = now


def _decayed(states, typical, passed_s: float) -> tuple:
    keep = math.exp(-max(passed_s, 0.0) / DECAY_S)
    return tuple(
        limit + keep * (state - limit) for state, limit in zip(states, typical)
    )


def mean_failure_probability(states: typing.Sequence[float]) -> float:
    """Return the failure probability for given state probabilities."""
    return sum(
        state * failure
        for state, failure in zip(states, FAILURE_PROBABILITIES)
    )


def decayed_failure_probability(
    reported: float, typical: float, age_s: float
) -> float:
    """Return the present value of a failure probability reported before.

    :param reported: the failure probability in the report.
    :param typical: that of an upstream without observations.
    :param age_s: age of the report in seconds.
    """
    return typical + math.exp(-max(age_s, 0.0) / DECAY_S) * (
        reported - typical
    )


# Failure probability of an upstream without any observation.
UNOBSERVED_FAILURE_PROBABILITY = mean_failure_probability(
    INITIAL_PROBABILITIES
)
