"""Tests of the ledger of grants: every sliding window, on a clock."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from carawaystair.quota import ledger as ledgers

WINDOW_MS = 1000
CUSTOMERS = ('north', 'south')


def busiest_window(times: list[int]) -> int:
    """Return the most grants in any closed window."""
    return max(
        (
            sum(start <= at <= start + WINDOW_MS for at in times)
            for start in times
        ),
        default=0,
    )


def test_allowance_lets_a_token_bucket_pass():
    """Guards against refusals of customers that keep to their rate."""
    ledger = ledgers.Ledger(WINDOW_MS)
    rate, burst = 7, 5
    most = ledgers.allowance(rate, burst, WINDOW_MS)
    tokens, last_ms, rng = float(burst), 0, random.Random(3)
    for number in range(4000):
        now_ms = last_ms + rng.choice((0, 0, 10, 300))
        tokens = min(burst, tokens + rate * (now_ms - last_ms) / 1000)
        last_ms = now_ms
        if tokens >= 1.0:
            tokens -= 1.0
            verdict = ledger.take('north', str(number), most, now_ms)
            assert verdict.granted


def test_refused_requests_return_at_different_times_and_find_room():
    """Guards against all refused callers returning in the same moment."""
    ledger = ledgers.Ledger(WINDOW_MS)
    for number in range(4):
        ledger.take('north', str(number), 4, 100 * number)
    times = [
        500 + ledger.take('north', 'x%d' % number, 4, 500).retry_ms
        for number in range(4)
    ]
    assert times == [1000, 1100, 1200, 1300]
    for number, at_ms in enumerate(times):
        assert ledger.take('north', 'y%d' % number, 4, at_ms + 1).granted


def test_lowered_limit_binds_at_once():
    """Guards against spending on at the old limit."""
    ledger = ledgers.Ledger(WINDOW_MS)
    for number in range(10):
        ledger.take('north', str(number), 10, 10 * number)
    assert not ledger.take('north', 'x', 2, 500).granted
    assert ledger.take('north', 'x', 2, 500).retry_ms > 500


def test_grant_that_is_asked_for_again_counts_once():
    """Guards against counting a question twice whose answer was lost."""
    ledger = ledgers.Ledger(WINDOW_MS)
    for _time in range(5):
        assert ledger.take('north', 'same', 1, 0).granted
    assert ledger.used('north', 0) == 1


def test_nothing_is_kept_of_customers_without_grants():
    ledger = ledgers.Ledger(WINDOW_MS)
    for number in range(100):
        ledger.take('c%d' % number, 'id', 1, 0)
    ledger.evict(WINDOW_MS + 1)
    assert not ledger.grants


class Ledgers(stateful.RuleBasedStateMachine):
    """Two hosts that grant by turns, the next one told by the last.

    A grant reaches the other host some time later; the host that takes over
    knows all of them.
    """

    make = staticmethod(ledgers.Ledger)

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.number = 0
        self.limits = {name: 3 for name in CUSTOMERS}
        self.raised_ms = dict.fromkeys(CUSTOMERS, 0)
        self.leader, self.follower = (
            self.make(WINDOW_MS),
            self.make(WINDOW_MS),
        )
        self.granted: dict[str, dict[str, int]] = {c: {} for c in CUSTOMERS}

    @stateful.rule(ms=strategies.integers(0, 700))
    def wait(self, ms):
        self.now_ms += ms

    @stateful.rule(
        customer=strategies.sampled_from(CUSTOMERS),
        count=strategies.integers(1, 5),
        delay_ms=strategies.integers(0, 50),
    )
    def ask(self, customer, count, delay_ms):
        for _time in range(count):
            self.number += 1
            name = str(self.number)
            most = self.limits[customer]
            before = self.leader.used(customer, self.now_ms)
            verdict = self.leader.take(customer, name, most, self.now_ms)
            assert verdict.granted == (before < most)
            if verdict.granted:
                self.granted[customer][name] = self.now_ms
                self.now_ms += delay_ms
                self.follower.record(
                    [ledgers.Grant(customer, name)], self.now_ms
                )

    @stateful.rule(customer=strategies.sampled_from(CUSTOMERS))
    def give_back(self, customer):
        if self.granted[customer]:
            name = next(reversed(self.granted[customer]))
            del self.granted[customer][name]
            self.leader.give_back(customer, name)
            self.follower.give_back(customer, name)

    @stateful.rule(
        customer=strategies.sampled_from(CUSTOMERS),
        most=strategies.integers(0, 6),
    )
    def change_limit(self, customer, most):
        self.limits[customer] = most
        # Windows that hold grants of the old limit are not checked.
        self.now_ms += WINDOW_MS + 1
        self.granted[customer].clear()

    @stateful.rule()
    def take_over(self):
        grants = self.leader.current(self.now_ms)
        self.follower.record(grants, self.now_ms)
        self.leader, self.follower = self.follower, self.leader

    @stateful.invariant()
    def no_window_holds_too_many(self):
        for customer in CUSTOMERS:
            times = list(self.granted[customer].values())
            assert busiest_window(times) <= self.limits[customer]


TestLedgers = Ledgers.TestCase
TestLedgers.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


class ShortWindow(ledgers.Ledger):
    """Planted fault: a grant leaves the window too early."""

    def __init__(self, window_ms: int) -> None:
        super().__init__(window_ms - 100)


class LaterTimes(ledgers.Ledger):
    """Planted fault: a grant that is heard of again is counted as older."""

    def record(self, grants, now_ms):
        aged = [g._replace(age_ms=g.age_ms + 400) for g in grants]
        super().record(aged, now_ms)


class OneTooFew(ledgers.Ledger):
    """Planted fault: the first grant of a window is not counted."""

    def take(self, customer, request, most, now_ms):
        return super().take(customer, request, most + 1, now_ms)


def broken_by(fault, seed: int) -> bool:
    """Return whether a seeded play of the rules finds a fault."""

    class Faulty(Ledgers):
        make = staticmethod(fault)

    rng, machine = random.Random(seed), Faulty()
    try:
        for _step in range(200):
            customer = rng.choice(CUSTOMERS)
            rng.choice(
                (
                    lambda: machine.wait(rng.randrange(700)),
                    lambda: machine.ask(customer, rng.randint(1, 5), 0),
                    lambda: machine.give_back(customer),
                    machine.take_over,
                )
            )()
            machine.no_window_holds_too_many()
    except AssertionError:
        return True
    return False


@pytest.mark.parametrize('fault', [ShortWindow, LaterTimes, OneTooFew])
def test_planted_fault_is_found(fault):
    """Guards against a check that passes whatever the ledger does."""
    assert any(broken_by(fault, seed) for seed in range(40))
    assert not any(broken_by(ledgers.Ledger, seed) for seed in range(40))
