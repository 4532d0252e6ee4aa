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

from carawaystair.load import retrying

# No run begins for so long, seconds, that rests on a slack that was spent.
PAUSE_S = 2.0
# Calls that fewer runs make than this share are not paid for in advance.
RARE = 0.05
# Counts are halved once so many runs were seen, so that they follow changes.
MOST_RUNS = 512


class Paid(typing.NamedTuple):
    """A call that was paid for and not made yet.

    :param service: the service that is called.
    :param budget: what it was taken from.
    :param at: when it was taken.
    """

    service: str
    budget: retrying.Budget
    at: float


class CallCounts:
    """How many calls the runs of each service make."""

    def __init__(self) -> None:
        self.runs: collections.Counter = collections.Counter()
        self.calls: dict[str, collections.Counter] = {}

    def ran(self, service: str) -> None:
        """Count a run of a service."""
        self.runs[service] += 1
        if self.runs[service] >= MOST_RUNS:
            self.runs[service] //= 2
            halved = self.calls.get(service, {})
            self.calls[service] = collections.Counter(
                {name: count / 2 for name, count in halved.items()}
            )

    def called(self, service: str, other: str) -> None:
        """Count a call that a run of a service made to another one."""
        calls = self.calls.setdefault(service, collections.Counter())
        calls[other] += 1

    def expected(self, service: str) -> dict[str, int]:
        """Return the calls to expect of one run, by the service called."""
        runs = max(self.runs[service], 1)
        shares = {
            name: count / runs
            for name, count in self.calls.get(service, {}).items()
        }
        return {
            name: math.ceil(share - RARE)
            for name, share in shares.items()
            if share > RARE
        }


class Payer:
    """Takes calls of repeated runs out of the bound of the called services.

    :param share: the repeats that the calls of this host earn.
    """

    def __init__(self, share: retrying.Budgets) -> None:
        self.share = share
        self.counts = CallCounts()
        # By request, what was paid and not used yet.
        self.paid: dict[str, list[Paid]] = {}
        # Services that had no repeats left, and when that was.
        self.spent_at: dict[str, float] = {}

    def pay(self, request: str, service: str, now: float) -> bool:
        """Pay for the calls of a repeat that is about to run.

        :param request: its id.
        :param service: the service that runs it.
        :return: whether it may begin; otherwise nothing is paid.
        """
        taken: list[Paid] = []
        for called, count in self.counts.expected(service).items():
            budget = self.share.of(called)
            for _call in range(count):
                if budget.repeat(now, 1):
                    taken.append(Paid(called, budget, now))
                elif not self._may_find_slack(called, now):
                    _give_back(taken)
                    return False
        if taken:
            self.paid.setdefault(request, []).extend(taken)
        return True

    def _may_find_slack(self, service: str, now: float) -> bool:
        return now - self.spent_at.get(service, -math.inf) >= PAUSE_S

    def refused(self, service: str, now: float) -> None:
        """Take note that a call found no slack at the called service."""
        self.spent_at[service] = now

    def use(self, request: str, service: str) -> bool:
        """Use one of the calls paid for; tell whether there was one.

        :param request: the running request that makes the call.
        """
        paid = self.paid.get(request, [])
        found = [one for one in paid if one.service == service]
        if found:
            paid.remove(found[0])
        return bool(found)

    def ended(self, request: str) -> None:
        """Give back what was paid for calls that a run did not make."""
        _give_back(self.paid.pop(request, []))


def _give_back(taken: typing.Iterable[Paid]) -> None:
    for one in taken:
        one.budget.give_back(one.at)
