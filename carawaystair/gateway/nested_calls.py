"""Calls that the upstreams of this host make while they run a request.

A running request holds its slot while it waits for its calls, so they go
before others; and an upstream that fails because a service that it called has
failed is not gray.  A call is told by its id, which extends that of the
running request by a dot and a part of its own.
"""

import collections

from carawaystair import clock
from carawaystair.load import nested_call_budget

# An upstream answers its own caller so soon after a call of it failed,
# seconds: it has nothing left to do.
BLAME_S = 0.5
MOST = 1024


class NestedCalls:
    """What this host knows of the calls of its upstreams.

    :param payer: pays for the calls of repeated runs.
    """

    def __init__(self, payer: nested_call_budget.NestedCallBudget) -> None:
        self.payer = payer
        # How many runs of a request are at the upstreams of this host, and
        # the rank of each.
        self.running: collections.Counter = collections.Counter()
        self.ranks: dict[str, int] = {}
        self.services: dict[str, str] = {}
        # Those that were sent to another upstream before.
        self.repeated: set[str] = set()
        # When a call of a request failed last.
        self.failed_at: dict[str, float] = {}

    def began(
        self, request: str, service: str, rank: int, repeat: bool
    ) -> None:
        """Take note that a request runs here.

        :param service: the service that runs it.
        :param rank: the rank of its kind, 0 first.
        :param repeat: whether it was sent to an upstream before, so that its
            calls are made once more, too.
        """
        self.running[request] += 1
        self.ranks[request] = rank
        self.services[request] = service
        self.payer.counts.record_run(service)
        if repeat:
            self.repeated.add(request)

    def ended(self, request: str) -> None:
        """Take note that a run has ended."""
        self.running[request] -= 1
        if not self.running[request]:
            del self.running[request]
            del self.ranks[request]
            del self.services[request]
            self.payer.refund_unused(request)
            self.repeated.discard(request)

    def parent(self, request: str) -> str:
        """Return the running request that waits for this one, or nothing."""
        name = request.rpartition('.')[0]
        return name if name in self.running else ''

    def called(self, parent: str, service: str) -> bool:
        """Take note of a call; tell whether its arrival was paid for.

        :param parent: the running request that makes it.
        :param service: the service that is called.
        """
        self.payer.counts.record_call(self.services[parent], service)
        return self.payer.use_prepaid(parent, service)

    def rank(self, call: str, own: int) -> int:
        """Return the rank of a request: that of the one that waits for it, if
        it is less urgent.

        :param own: the rank of its own kind.
        """
        return max(own, self.ranks.get(self.parent(call), own))

    def failed(self, call: str) -> None:
        """Take note that a call failed just now."""
        parent = self.parent(call)
        if not parent:
            return
        self.failed_at.pop(parent, None)
        self.failed_at[parent] = clock.now()
        while len(self.failed_at) > MOST:
            del self.failed_at[next(iter(self.failed_at))]

    def to_blame(self, request: str) -> bool:
        """Tell whether a failure of a request may come from its call."""
        when = self.failed_at.pop(request, None)
        return when is not None and clock.now() - when <= BLAME_S
