"""Whether a node looks further for upstreams than it usually does.

The load that this answers: callers of one data centre, and gray upstreams
there.  Upstreams near by go first, so that bytes and time are saved; those
elsewhere get work only when the near ones are full.  While the near ones fail
what they are given, sound upstreams elsewhere stand idle, which is an ejection
that nobody decided and that no floor bounds.  So distance counts only while
what is sent to a service is answered well.

The same holds for upstreams of which a node has heard nothing for long.  What
may run only once goes where sound work was seen last, and with few nodes that
have callers the others are never asked; while it fails there, they are.
"""

# Weight of one outcome in the running share of failures: about ten count,
# which a node with one request a second sees while a gray failure lasts.
NEW_SHARE = 0.1
# Above this share of failures a node looks further.  After one failure the
# next request does, after two among ten some more do.  With all callers in one
# of two data centres and 6 of 20 upstreams gray, 93 of 100 sound upstreams or
# more get work in any two seconds, 43 to 57 without this, and 895 of 900
# searches are served, 882 without (test_gateway_spread, three seeds).
MOST_FAILING = 0.1
# What is taken for the share before any outcome was seen.  Seven good answers
# in a row bring it below the bound.
FIRST_GUESS = 0.2


class Spreading:
    """What became of one node's requests to one service."""

    def __init__(self) -> None:
        self.failing = FIRST_GUESS

    @property
    def everywhere(self) -> bool:
        """Tell whether the node looks further now."""
        return self.failing > MOST_FAILING

    def learn(self, good: bool) -> None:
        """Take note of an outcome."""
        self.failing += NEW_SHARE * ((not good) - self.failing)
