"""Calls that upstreams of this host make while they run a request.

A running request holds its slot while it waits for its nested calls, so they
take precedence over other requests.  An upstream whose request fails because
a service that it called has failed is not itself faulty.  The id of a nested
call is that of the running request, a dot and a part of its own.
"""

import collections
import itertools
import math

from carawaystair import clock
from carawaystair.load import nested_call_budget

# A failure of a request within this time of a failed nested call is put down
# to that call: the upstream has nothing left to do, seconds.
FAILURE_LINK_S = 0.5
MAX_FAILURES = 1024
# An upstream may work on a request for this time after the gateway has given
# up the run, seconds; deadlines of requests are shorter as a rule.
WORKS_ON_S = 15.0


class NestedCallTracker:
    """Tracks the running requests of this host and their nested calls.

    :param budget: retry budget for the nested calls of retries.
    """

    def __init__(self, budget: nested_call_budget.NestedCallBudget) -> None:
        self.budget = budget
        # Number of runs of each request at the upstreams of this host, with
        # its priority and its service.
        self.running: collections.Counter = collections.Counter()
        self.ranks: dict[str, int] = {}
        self.services: dict[str, str] = {}
        # Running requests that were sent to another upstream before.
        self.retried: set[str] = set()
        # Those of them that have ended, and when, oldest first.
        self.ended_retries: dict[str, float] = {}
        # When a nested call of a request last failed.
        self.failed_at: dict[str, float] = {}

    def run_started(
        self, request: str, service: str, rank: int, retry: bool
    ) -> None:
        """Record the start of a run on this host.

        :param service: the service that runs the request.
        :param rank: its priority, 0 first.
        :param retry: whether the request was sent to an upstream before, so
            that its nested calls are retries as well.
        """
        self.running[request] += 1
        self.ranks[request] = rank
        self.services[request] = service
        self.budget.counts.record_run(service)
        if retry:
            self.retried.add(request)

    def run_ended(self, request: str) -> None:
        """Record the end of a run."""
        self.running[request] -= 1
        if not self.running[request]:
            del self.running[request]
            del self.ranks[request]
            del self.services[request]
            self.budget.refund_unused(request)
            if request in self.retried:
                self.retried.remove(request)
                self._remember_retry(request)

    def _remember_retry(self, request: str) -> None:
        """Remember a retried run that has ended; forget those long ago."""
        now = clock.now()
        self.ended_retries.pop(request, None)
        self.ended_retries[request] = now
        old = itertools.takewhile(
            lambda entry: now - entry[1] >= WORKS_ON_S,
            self.ended_retries.items(),
        )
        for name, _when in list(old):
            del self.ended_retries[name]

    def is_call_of_retry(self, call: str) -> bool:
        """Return whether a request is a call of a run that was a retry.

        That run may have ended: its upstream may work on, and make its calls,
        although nobody waits for the answer.
        """
        parent = call.rpartition('.')[0]
        if parent in self.running:
            return parent in self.retried
        ended_at = self.ended_retries.get(parent, -math.inf)
        return clock.now() - ended_at < WORKS_ON_S

    def running_parent(self, request: str) -> str:
        """Return the running request that makes a call, or ''."""
        name = request.rpartition('.')[0]
        return name if name in self.running else ''

    def count_call(self, parent: str, service: str) -> bool:
        """Count a nested call; return whether the budget covers it already.

        :param parent: the running request that makes it.
        :param service: the service that is called.
        """
        self.budget.counts.record_call(self.services[parent], service)
        return self.budget.use_prepaid(parent, service)

    def rank(self, call: str, own: int) -> int:
        """Return a request's priority, or its parent's if less urgent.

        :param own: the priority of the request itself.
        """
        return max(own, self.ranks.get(self.running_parent(call), own))

    def call_failed(self, call: str) -> None:
        """Record that a nested call has just failed."""
        parent = self.running_parent(call)
        if not parent:
            return
        self.failed_at.pop(parent, None)
        self.failed_at[parent] = clock.now()
        while len(self.failed_at) > MAX_FAILURES:
            del self.failed_at[next(iter(self.failed_at))]

    def may_explain_failure(self, request: str) -> bool:
        """Return whether a nested call may have caused a failure."""
        when = self.failed_at.pop(request, None)
        return when is not None and clock.now() - when <= FAILURE_LINK_S
