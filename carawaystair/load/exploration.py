"""Whether a node also offers requests to upstreams it has not heard from.

A node normally sends requests to the upstreams with the highest expected
value.  With few nodes that have callers, some healthy upstreams may then never
be asked: in effect they are ejected, with no decision behind it and no floor
to bound it.  So while the failure share of a service is too high for the few
upstreams that a node knows, the node also asks upstreams without a recent
report, and gateways run trial requests sooner.
"""

# Weight of a new outcome in the moving failure share: about twenty outcomes
# count, so that one or two failures of a healthy service don't raise it much.
NEW_OUTCOME_WEIGHT = 0.05
# Failure share above which a node explores.
MAX_FAILURE_SHARE = 0.1
# Failure share assumed before the first outcome, and the number of outcomes it
# counts for.  It is above the threshold, so that a node explores at its start.
INITIAL_FAILURE_SHARE = 0.2
INITIAL_OUTCOMES = 5


class Exploration:
    """Moving failure share of one node's requests to one service."""

    def __init__(self) -> None:
        self.failure_share = INITIAL_FAILURE_SHARE
        # Share of the requests that were not served, whatever a retry mended;
        # without the assumption that the node has to explore at its start.
        self.unserved_share = 0.5 * MAX_FAILURE_SHARE
        self.outcomes = INITIAL_OUTCOMES

    @property
    def active(self) -> bool:
        """Return whether the node explores."""
        return self.failure_share > MAX_FAILURE_SHARE

    @property
    def far_share(self) -> float:
        """Return how likely the node explores other data centres, 0 to 1.

        Upstreams at a data centre without callers get work only from others.
        The moving share varies around its mean, so that all of them are
        explored before it reaches the threshold.
        """
        excess = self.unserved_share / MAX_FAILURE_SHARE - 0.5
        return min(max(2.0 * excess, 0.0), 1.0)

    def record(self, good: bool, final: bool = True) -> None:
        """Record an outcome.

        :param good: whether a run succeeded.
        :param final: whether it is not retried if it failed.
        """
        self.outcomes += 1
        weight = max(NEW_OUTCOME_WEIGHT, 1 / self.outcomes)
        self.failure_share += weight * ((not good) - self.failure_share)
        if good or final:
            self.unserved_share += weight * ((not good) - self.unserved_share)
