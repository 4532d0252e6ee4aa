"""How likely an upstream fails the next request that it gets.

The load that this answers: upstreams turn gray from one moment to the next.
Their health answers stay good, and most of what they are given fails at once,
or hangs, or is run and its answer lost, for some seconds.  Sound ones fail
about one request in a hundred, after they have worked on it.  One failure
tells little, then, or nearly all, by what else was seen lately.

So an upstream is in one of three states that nobody sees, and what is seen of
its runs makes each of them more or less likely.  What is known fades, towards
what holds for upstreams of its service as a rule: they change state, and one
of which nothing was seen for some seconds may be in any.
"""

import math
import typing

# The states.
HEALTHY, FLAKY, GRAY = range(3)

# How much of what is known now still holds after so long, seconds.
DECAY_S = 4.0
# What the states of a service's upstreams are as a rule is learnt over so
# long, seconds; some spells of trouble.
TYPICAL_DECAY_S = 60.0
# And what is taken for it before anything was seen.
INITIAL_PROBABILITIES = (0.85, 0.03, 0.12)
# A state is never ruled out further than this: what was seen is seconds old.
MIN_PROBABILITY = 0.01
# Above this chance an upstream is said to be likely to fail.
SUSPECT_PROBABILITY = 0.5


class Observation(typing.NamedTuple):
    """Something that is seen of a run, and how likely it is in each state.

    :param likely: by state.
    """

    likelihoods: tuple[float, float, float]


# A run fails before it can have been worked on, or survives that.
FAILED_AT_ONCE = Observation((0.003, 0.02, 0.80))
NOT_FAILED_AT_ONCE = Observation((0.997, 0.98, 0.20))
# One that survived fails, takes far longer than its route does, or succeeds.
FAILED = Observation((0.015, 0.40, 0.30))
OVERDUE = Observation((0.03, 0.30, 0.60))
SUCCEEDED = Observation((0.985, 0.60, 0.70))
# It sheds a request, which has not run.  All of a service may shed a part at
# once, so that one tells little; some in a row show one that takes nothing.
SHED = Observation((0.15, 0.30, 0.50))
# What each state fails of the requests that it gets.
FAILURE_PROBABILITIES = tuple(
    1.0 - survived * succeeded
    for survived, succeeded in zip(
        NOT_FAILED_AT_ONCE.likelihoods, SUCCEEDED.likelihoods
    )
)


class Estimate:
    """What is known of one upstream's state."""

    def __init__(self) -> None:
        self.state_probabilities = INITIAL_PROBABILITIES
        # How likely each state is as a rule.
        self.typical_probabilities = INITIAL_PROBABILITIES
        self.updated_at = 0.0

    def observe(self, sight: Observation, now: float) -> None:
        """Take note of something that was seen of a run."""
        self._advance(now)
        weights = [
            max(state, MIN_PROBABILITY) * likely
            for state, likely in zip(
                self.state_probabilities, sight.likelihoods
            )
        ]
        total = sum(weights)
        self.state_probabilities = tuple(weight / total for weight in weights)

    def failure_probability(self, now: float) -> float:
        """Return how likely the next request fails, 0 to 1."""
        faded = _decayed(
            self.state_probabilities,
            self.typical_probabilities,
            now - self.updated_at,
        )
        return mean_failure_probability(faded)

    def typical_failure_probability(self) -> float:
        """Return the same for an upstream of which nothing is known."""
        return mean_failure_probability(self.typical_probabilities)

    def _advance(self, now: float) -> None:
        """Let what is known fade until now, and learn from how it was."""
        passed_s = max(now - self.updated_at, 0.0)
        share = (
            1.0 - math.exp(-passed_s / TYPICAL_DECAY_S)
            if self.updated_at
            else 0.0
        )
        self.typical_probabilities = tuple(
            usual + share * (state - usual)
            for usual, state in zip(
                self.typical_probabilities, self.state_probabilities
            )
        )
        self.state_probabilities = _decayed(
            self.state_probabilities, self.typical_probabilities, passed_s
        )
        self.updated_at = now


def _decayed(states, usual, passed_s: float) -> tuple:
    keep = math.exp(-max(passed_s, 0.0) / DECAY_S)
    return tuple(
        rule + keep * (state - rule) for state, rule in zip(states, usual)
    )


def mean_failure_probability(states: typing.Sequence[float]) -> float:
    """Return how likely a request fails, by how likely each state is."""
    return sum(
        state * fails for state, fails in zip(states, FAILURE_PROBABILITIES)
    )


def decayed_failure_probability(
    failing: float, usual: float, age_s: float
) -> float:
    """Return what a chance to fail that was told some time ago says now.

    :param usual: that of an upstream of which nothing is known.
    """
    return usual + math.exp(-max(age_s, 0.0) / DECAY_S) * (failing - usual)


# What is taken for the chance to fail before anything was seen.
UNOBSERVED_FAILURE_PROBABILITY = mean_failure_probability(
    INITIAL_PROBABILITIES
)
