"""Decides how many requests of callers a process works on at the same time.

The load it answers: callers that send requests without end and don't read the
answers, several at a time on each connection.  Each request in progress takes
descriptors and memory at this node and at its gateway, whatever its answer's
size.

Beyond the bound, requests wait, first come, first served; while few places
are left, no connection has more than one.  So a caller with one request waits
no longer than for one of each connection.
"""

import collections
import math

# While less than this part of the bound is free, requests on a connection wait
# for those before them.
PIPELINED_SHARE = 1 / 2


class RequestRoom:
    """The requests in progress.

    :param limit: most of them; infinite for no bound.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.entered = 0
        # Those that wait, the first one first.
        self.waiting: collections.OrderedDict[object, None] = (
            collections.OrderedDict()
        )

    @property
    def may_pipeline(self) -> bool:
        """Return whether a connection may have several requests."""
        return self.entered < PIPELINED_SHARE * self.limit

    def enter(self, request: object) -> bool:
        """Let a request enter, or wait; return whether it has entered."""
        if self.entered < self.limit:
            self.entered += 1
            return True
        self.waiting[request] = None
        return False

    def leave(self) -> object | None:
        """End a request; return the one that enters in its place, if any."""
        if self.waiting:
            return self.waiting.popitem(last=False)[0]
        self.entered -= 1
        return None

    def give_up(self, request: object) -> None:
        """Let a request wait no longer."""
        self.waiting.pop(request, None)
