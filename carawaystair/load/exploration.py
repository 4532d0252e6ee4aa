"""Whether a node looks further for upstreams than it usually does.

The load that this answers: what a service gets fails more often than the few
upstreams that a node knows can explain away.  Work goes where it is worth
most by what was seen lately, so that with few nodes that have callers some
sound upstreams are never asked.  That is an ejection that nobody decided and
that no floor bounds.  So while too much fails, those of which nothing was
heard are asked as well, and gateways try out what they know little of sooner.
"""

# Weight of one outcome in the running share of failures: about twenty count,
# so that one or two failures of a sound service don't look like more.
NEW_OUTCOME_WEIGHT = 0.05
# Above this share of failures a node looks further.
MAX_FAILURE_SHARE = 0.1
# What is taken for the share before any outcome was seen, and how many
# outcomes that counts for: right after a start all are asked.
INITIAL_FAILURE_SHARE = 0.2
INITIAL_OUTCOMES = 5


class Exploration:
    """What became of one node's requests to one service."""

    def __init__(self) -> None:
        self.failure_share = INITIAL_FAILURE_SHARE
        self.outcomes = INITIAL_OUTCOMES

    @property
    def active(self) -> bool:
        """Tell whether the node looks further now."""
        return self.failure_share > MAX_FAILURE_SHARE

    def record(self, good: bool) -> None:
        """Take note of an outcome."""
        self.outcomes += 1
        weight = max(NEW_OUTCOME_WEIGHT, 1 / self.outcomes)
        self.failure_share += weight * ((not good) - self.failure_share)
