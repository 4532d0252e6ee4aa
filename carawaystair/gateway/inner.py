"""Calls that the upstreams of this host make while they run a request.

An upstream that fails because a service that it called has failed is not
gray.  The node sees both: the call goes out through it, and the answer of the
request comes back through its gateway.
"""

from carawaystair import clock

# An upstream answers its own caller so soon after a call of it failed,
# seconds: it has nothing left to do.
BLAME_S = 0.25


class InnerCalls:
    """What this host knows of the calls of its upstreams."""

    def __init__(self) -> None:
        self.failed_at = -BLAME_S

    def failed(self) -> None:
        """Take note that a call failed just now."""
        self.failed_at = clock.now()

    def failed_lately(self) -> bool:
        """Tell whether a failure of an upstream may come from a call."""
        return clock.now() - self.failed_at <= BLAME_S
