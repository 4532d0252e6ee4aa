"""Takes the calls of a retried run from the retry budget before it begins.

A retried run makes its calls to other services once more, and these count as
retries there.  Where a service that earns many retries calls one that earns
few, these calls alone would exceed the retry budget of the called service.  So
the gateway learns how many calls its upstreams make, and takes them from the
retries that the calls of its host have earned before a retried run begins.
Calls that are not covered take from the slack of the called service when they
arrive there; all its callers share that slack.  Once a call was refused there,
retried runs whose calls can't be prepaid don't begin for a while.
"""

import collections
import math
import typing

from carawaystair.load import retry_budget

# After a call was refused for lack of slack, seconds during which no run
# begins that would depend on that slack.
REFUSAL_PAUSE_S = 2.0
# Calls per run up to which a call is not prepaid.
MIN_CALL_SHARE = 0.05
# Counts are halved at this number of runs, so that they follow changes.
MAX_RUNS = 512


class PrepaidCall(typing.NamedTuple):
    """A call that was taken from a budget and not made yet.

    :param service: the service to be called.
    :param budget: the budget it was taken from.
    :param taken_at: monotonic time at which it was taken, in seconds.
    """

    service: str
    budget: retry_budget.Budget
    taken_at: float


class CallCounts:
    """Number of calls that the runs of each service make."""

    def __init__(self) -> None:
        self.runs: collections.Counter = collections.Counter()
        self.calls: dict[str, collections.Counter] = {}

    def record_run(self, service: str) -> None:
        """Count a run of a service."""
        self.runs[service] += 1
        if self.runs[service] >= MAX_RUNS:
            self.runs[service] //= 2
            calls = self.calls.get(service, {})
            self.calls[service] = collections.Counter(
                {name: count / 2 for name, count in calls.items()}
            )

    def record_call(self, service: str, called: str) -> None:
        """Count a call that a run of a service made to another service."""
        calls = self.calls.setdefault(service, collections.Counter())
        calls[called] += 1

    def expected_calls(self, service: str) -> dict[str, int]:
        """Return the expected calls of one run, by the called service."""
        runs = max(self.runs[service], 1)
        shares = {
            name: count / runs
            for name, count in self.calls.get(service, {}).items()
        }
        return {
            name: math.ceil(share - MIN_CALL_SHARE)
            for name, share in shares.items()
            if share > MIN_CALL_SHARE
        }


class NestedCallBudget:
    """Takes the calls of retried runs from the budgets of called services.

    :param budgets: the retries that the calls of this host have earned.
    """

    def __init__(self, budgets: retry_budget.Budgets) -> None:
        self.budgets = budgets
        self.counts = CallCounts()
        # Calls that were prepaid and not made yet, by request.
        self.prepaid: dict[str, list[PrepaidCall]] = {}
        # Monotonic time of the last refusal for lack of slack, by service.
        self.refused_at: dict[str, float] = {}

    def prepay(self, request: str, service: str, now: float) -> bool:
        """Take the calls of a retried run that is about to begin.

        :param request: id of the request.
        :param service: the service that runs it.
        :param now: monotonic time in seconds.
        :return: whether it may begin; if not, nothing is taken.
        """
        taken: list[PrepaidCall] = []
        for called, count in self.counts.expected_calls(service).items():
            budget = self.budgets.for_service(called)
            for _call in range(count):
                if budget.take_retry(now, 1):
                    taken.append(PrepaidCall(called, budget, now))
                elif not self._slack_expected(called, now):
                    _refund(taken)
                    return False
        if taken:
            self.prepaid.setdefault(request, []).extend(taken)
        return True

    def _slack_expected(self, service: str, now: float) -> bool:
        return now - self.refused_at.get(service, -math.inf) >= REFUSAL_PAUSE_S

    def record_refusal(self, service: str, now: float) -> None:
        """Record that a call was refused for lack of slack.

        :param service: the called service.
        :param now: monotonic time in seconds.
        """
        self.refused_at[service] = now

    def use_prepaid(self, request: str, service: str) -> bool:
        """Use a prepaid call; return whether there was one.

        :param request: id of the running request that makes the call.
        :param service: the called service.
        """
        prepaid = self.prepaid.get(request, [])
        found = [call for call in prepaid if call.service == service]
        if found:
            prepaid.remove(found[0])
        return bool(found)

    def refund_unused(self, request: str) -> None:
        """Refund the prepaid calls that a finished run did not make."""
        _refund(self.prepaid.pop(request, []))


def _refund(taken: typing.Iterable[PrepaidCall]) -> None:
    for call in taken:
        call.budget.refund(call.taken_at)
