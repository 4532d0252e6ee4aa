"""Interface of outlier detectors: plug-ins that compute evidence.

Every attempt is given a score: how improbable it would be from a healthy
sibling, in nats.  Scores of healthy upstreams average 1.0, whatever the
service; those of a hung one are about 7.  A detector accumulates them.
"""

import math
import typing


class Detector(typing.Protocol):
    """Computes the evidence against the upstreams of one service.

    :cvar pooled: True for a detector that runs at the coordinator on the
        evidence of all nodes, False for one that runs at each node on the
        node's own evidence.
    """

    pooled: typing.ClassVar[bool]

    def observe(
        self, upstream: str, mean_score: float, count: float, now: float
    ) -> None:
        """Add attempts.

        :param score: of each of them, see the module.
        :param count: how many; negative to retract earlier ones.
        :param now: monotonic time; never runs backwards.
        """

    def evidence(self, upstream: str, now: float) -> float:
        """Return the evidence against an upstream, in nats.

        A healthy upstream reaches ``x`` about ``exp(-x)`` of the time.
        """

    def reset(self, upstream: str) -> None:
        """Drop the evidence against an upstream."""


# Scores of an upstream with a gray failure are modelled as exponential with
# mean 1 / (1 - TILT) = 5, those of a healthy one with mean 1.
TILT = 0.8
TILT_BASE = math.log(1.0 - TILT)

Factory = typing.Callable[[], Detector]


def mean_score(upper: float, lower: float = 0.0) -> float:
    """Return the mean score of attempts between two tail shares.

    With P the share of siblings' attempts that are at least as bad, -ln P of a
    healthy upstream's attempts is exponential with mean 1 (Fisher, 1932).
    Attempts are known by level only, so this is the mean over the level.

    :param upper: share of attempts at this level or worse.
    :param lower: share of attempts at a worse level.
    """
    if upper - lower < 1e-9:
        return -math.log(max(upper, 1e-9))
    low = lower * (1.0 - math.log(lower)) if lower > 0.0 else 0.0
    return (upper * (1.0 - math.log(upper)) - low) / (upper - lower)


def log_likelihood_ratio(mean_score: float) -> float:
    """Return the log likelihood ratio of one attempt, gray over healthy.

    :param score: of the attempt, see the module.
    """
    return TILT_BASE + TILT * mean_score
