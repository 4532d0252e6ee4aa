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
SOUND, FLAKY, GRAY = range(3)

# How much of what is known now still holds after so long, seconds.
FADE_S = 4.0
# What the states of a service's upstreams are as a rule is learnt over so
# long, seconds; some spells of trouble.
LEARN_S = 60.0
# And what is taken for it before anything was seen.
FIRST_GUESS = (0.85, 0.03, 0.12)
# A state is never ruled out further than this: what was seen is seconds old.
LEAST = 0.01
# Above this chance an upstream is said to be likely to fail.
LIKELY = 0.5


class Sight(typing.NamedTuple):
    """Something that is seen of a run, and how likely it is in each state.

    :param likely: by state.
    """

    likely: tuple[float, float, float]


# A run fails before it can have been worked on, or survives that.
FAILED_AT_ONCE = Sight((0.003, 0.02, 0.80))
SURVIVED = Sight((0.997, 0.98, 0.20))
# One that survived fails, takes far longer than its route does, or succeeds.
FAILED = Sight((0.015, 0.40, 0.30))
OVERDUE = Sight((0.03, 0.30, 0.60))
SUCCEEDED = Sight((0.985, 0.60, 0.70))
# It sheds a request, which has not run.  All of a service may shed a part at
# once, so that one tells little; some in a row show one that takes nothing.
SHED = Sight((0.15, 0.30, 0.50))
# What each state fails of the requests that it gets.
FAILING = tuple(
    1.0 - survived * succeeded
    for survived, succeeded in zip(SURVIVED.likely, SUCCEEDED.likely)
)


class Estimate:
    """What is known of one upstream's state."""

    def __init__(self) -> None:
        self.states = FIRST_GUESS
        # How likely each state is as a rule.
        self.usual = FIRST_GUESS
        self.at = 0.0

    def see(self, sight: Sight, now: float) -> None:
        """Take note of something that was seen of a run."""
        self._move(now)
        weights = [
            max(state, LEAST) * likely
            for state, likely in zip(self.states, sight.likely)
        ]
        total = sum(weights)
        self.states = tuple(weight / total for weight in weights)

    def failing(self, now: float) -> float:
        """Return how likely the next request fails, 0 to 1."""
        faded = _faded(self.states, self.usual, now - self.at)
        return chance(faded)

    def usually(self) -> float:
        """Return the same for an upstream of which nothing is known."""
        return chance(self.usual)

    def _move(self, now: float) -> None:
        """Let what is known fade until now, and learn from how it was."""
        passed_s = max(now - self.at, 0.0)
        share = 1.0 - math.exp(-passed_s / LEARN_S) if self.at else 0.0
        self.usual = tuple(
            usual + share * (state - usual)
            for usual, state in zip(self.usual, self.states)
        )
        self.states = _faded(self.states, self.usual, passed_s)
        self.at = now


def _faded(states, usual, passed_s: float) -> tuple:
    keep = math.exp(-max(passed_s, 0.0) / FADE_S)
    return tuple(
        rule + keep * (state - rule) for state, rule in zip(states, usual)
    )


def chance(states: typing.Sequence[float]) -> float:
    """Return how likely a request fails, by how likely each state is."""
    return sum(state * fails for state, fails in zip(states, FAILING))


def aged(failing: float, usual: float, age_s: float) -> float:
    """Return what a chance to fail that was told some time ago says now.

    :param usual: that of an upstream of which nothing is known.
    """
    return usual + math.exp(-max(age_s, 0.0) / FADE_S) * (failing - usual)


# What is taken for the chance to fail before anything was seen.
UNKNOWN = chance(FIRST_GUESS)
