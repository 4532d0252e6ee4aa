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
NEW_SHARE = 0.05
# Above this share of failures a node looks further.
MOST_FAILING = 0.1
# What is taken for the share before any outcome was seen, and how many
# outcomes that counts for: right after a start all are asked.
FIRST_GUESS = 0.2
FIRST_COUNT = 5


class Spreading:
    """What became of one node's requests to one service."""

    def __init__(self) -> None:
        self.failing = FIRST_GUESS
        self.seen = FIRST_COUNT

    @property
    def everywhere(self) -> bool:
        """Tell whether the node looks further now."""
        return self.failing > MOST_FAILING

    def learn(self, good: bool) -> None:
        """Take note of an outcome."""
        self.seen += 1
        weight = max(NEW_SHARE, 1 / self.seen)
        self.failing += weight * ((not good) - self.failing)
