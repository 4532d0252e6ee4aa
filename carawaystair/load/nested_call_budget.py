"""Pays for the calls of repeated runs before the runs begin.

A run that is itself a repeat makes its calls once more, and these count as
repeats at the service that is called.  Where a service that earns many
repeats calls one that earns few, the calls alone would break the bound of the
second one.  So the gateway learns how many calls its upstreams make, and pays
for them before a repeat begins, from what the calls of its host earn.  What
that does not cover takes from the slack of the called service as it arrives
there, where all that call it share one slack.  Once a call was refused there,
repeats that can't be paid for don't begin for a while.
"""

import collections
import math
import typing

from carawaystair.load import retry_budget

# No run begins for so long, seconds, that rests on a slack that was spent.
REFUSAL_PAUSE_S = 2.0
# Calls that fewer runs make than this share are not paid for in advance.
MIN_CALL_SHARE = 0.05
# Counts are halved once so many runs were seen, so that they follow changes.
MAX_RUNS = 512


class PrepaidCall(typing.NamedTuple):
    """A call that was paid for and not made yet.

    :param service: the service that is called.
    :param budget: what it was taken from.
    :param at: when it was taken.
    """

    service: str
    budget: retry_budget.Budget
    taken_at: float


class CallCounts:
    """How many calls the runs of each service make."""

    def __init__(self) -> None:
        self.runs: collections.Counter = collections.Counter()
        self.calls: dict[str, collections.Counter] = {}

    def record_run(self, service: str) -> None:
        """Count a run of a service."""
        self.runs[service] += 1
        if self.runs[service] >= MAX_RUNS:
            self.runs[service] //= 2
            halved = self.calls.get(service, {})
            self.calls[service] = collections.Counter(
                {name: count / 2 for name, count in halved.items()}
            )

    def record_call(self, service: str, other: str) -> None:
        """Count a call that a run of a service made to another one."""
        calls = self.calls.setdefault(service, collections.Counter())
        calls[other] += 1

    def expected_calls(self, service: str) -> dict[str, int]:
        """Return the calls to expect of one run, by the service called."""
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
    """Takes calls of repeated runs out of the bound of the called services.

    :param budgets: the repeats that the calls of this host earn.
    """

    def __init__(self, budgets: retry_budget.Budgets) -> None:
        self.budgets = budgets
        self.counts = CallCounts()
        # By request, what was paid and not used yet.
        self.paid: dict[str, list[PrepaidCall]] = {}
        # Services that had no repeats left, and when that was.
        self.refused_at: dict[str, float] = {}

    def prepay(self, request: str, service: str, now: float) -> bool:
        """Pay for the calls of a repeat that is about to run.

        :param request: its id.
        :param service: the service that runs it.
        :return: whether it may begin; otherwise nothing is paid.
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
            self.paid.setdefault(request, []).extend(taken)
        return True

    def _slack_expected(self, service: str, now: float) -> bool:
        return now - self.refused_at.get(service, -math.inf) >= REFUSAL_PAUSE_S

    def record_refusal(self, service: str, now: float) -> None:
        """Take note that a call found no slack at the called service."""
        self.refused_at[service] = now

    def use_prepaid(self, request: str, service: str) -> bool:
        """Use one of the calls paid for; tell whether there was one.

        :param request: the running request that makes the call.
        """
        prepaid = self.paid.get(request, [])
        found = [one for one in prepaid if one.service == service]
        if found:
            prepaid.remove(found[0])
        return bool(found)

    def refund_unused(self, request: str) -> None:
        """Give back what was paid for calls that a run did not make."""
        _refund(self.paid.pop(request, []))


def _refund(taken: typing.Iterable[PrepaidCall]) -> None:
    for one in taken:
        one.budget.refund(one.taken_at)
