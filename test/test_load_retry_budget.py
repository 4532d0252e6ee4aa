"""Replays bursts of retries around restarts against the retry budget."""

import bisect
import random

import pytest

from carawaystair.load import retry_budget

NODES = 24
GATEWAYS = 8
RATIO = 0.2
SLACK = 56
WINDOW_S = 10.0
PER_S = 55.0
# When upstreams begin to fail, and when the replay ends, seconds.
FAILING_S = 20.0
END_S = 45.0
# How long a process is down when it is restarted, seconds.
DOWN_S = 0.6
MAX_RETRIES = 2


class Host:
    """The parts of the retry budget at one host.

    :param number: the number of the host.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.up_at = 0.0
        self.start(-WINDOW_S)

    def start(self, now: float) -> None:
        """Start a new process that knows nothing of the previous one."""
        self.up_at = now
        name = 'h%d' % self.number
        self.share, self.slack = (
            retry_budget.Budgets(
                ratio, slack, WINDOW_S, '%s of %s' % (part, name), now
            ).for_service('s')
            for part, ratio, slack in (
                ('share', RATIO, 0.0),
                ('slack', 0.0, SLACK),
            )
        )


class Replay:
    """Requests of which a share fails from a moment on.

    :param failing: share of the sends that fail and are retried.
    :param restarts: when all hosts are restarted, seconds.
    :param per_s: requests a second.
    :param nodes: number of hosts.
    :param gateways: number of hosts with an upstream of the service.
    """

    def __init__(
        self,
        failing,
        restarts=(),
        per_s=PER_S,
        nodes=NODES,
        gateways=GATEWAYS,
        seed=1,
    ) -> None:
        self.rng = random.Random(seed)
        self.failing = failing
        self.per_s = per_s
        self.hosts = [Host(number) for number in range(nodes)]
        self.gateways = self.hosts[:gateways]
        self.sent: list[float] = []
        self.retried: list[float] = []
        self.restarts = list(restarts)

    def run(self) -> 'Replay':
        """Play the requests."""
        now = 0.0
        while now < END_S:
            now += self.rng.expovariate(self.per_s)
            if self.restarts and now >= self.restarts[0]:
                self.restarts.pop(0)
                for host in self.hosts:
                    host.start(now + DOWN_S)
            self._request(now, self.rng.choice(self.hosts))
        return self

    def _request(self, now, host) -> None:
        self.sent.append(now)
        if now < host.up_at:
            return
        host.share.record_first_send(now)
        for _retry in range(MAX_RETRIES):
            if now < FAILING_S or self.rng.random() >= self.failing:
                return
            gateway = self.rng.choice(self.gateways)
            if not (
                host.share.take_retry(now, 1)
                or gateway.slack.take_retry(now, len(self.gateways))
            ):
                return
            self.retried.append(now)

    def excess(self) -> float:
        """Return the retries beyond the limit in the worst window."""
        return max(
            count(self.retried, start) - self._limit(start)
            for start in self.retried
        )

    def _limit(self, start) -> float:
        befores = (0.0, WINDOW_S / 2, WINDOW_S)
        most = max(count(self.sent, start - before) for before in befores)
        return RATIO * most + SLACK


def count(times, start) -> int:
    """Return how many of some events, in order, lie in a window."""
    end = bisect.bisect_left(times, start + WINDOW_S)
    return end - bisect.bisect_left(times, start)


@pytest.mark.parametrize(
    ('failing', 'before_s'),
    [(0.35, 4.5), (0.35, 6.0), (0.6, 3.0), (1.0, 1.5), (1.0, 6.0)],
)
def test_restarted_nodes_do_not_spend_again_what_was_spent(failing, before_s):
    """Guards against nodes that earn anew, after a restart of all hosts, what
    their previous processes have spent in the same window.
    """
    for seed in (1, 2, 3):
        replay = Replay(failing, [FAILING_S + before_s], seed=seed).run()
        assert replay.excess() <= 0


@pytest.mark.parametrize(
    'restarts', [(23.0, 27.0), (22.0, 25.0, 28.0), (23.0, 24.5, 26.0)]
)
@pytest.mark.parametrize('failing', [0.35, 0.6, 1.0])
def test_hosts_restarted_in_series_stay_within_the_limit(failing, restarts):
    """Guards against a burst of retries after each of several restarts."""
    assert Replay(failing, restarts).run().excess() <= 0


def test_few_requests_between_restarts_stay_within_the_limit():
    """Guards against gateways that use the slack anew after each of several
    restarts, while first sends earn little and all sends fail.
    """
    assert Replay(1.0, (22.0, 25.0, 28.0), per_s=10.0).run().excess() <= 0


def test_many_nodes_with_few_requests_each_stay_within_the_limit():
    """Guards against nodes that each retry at the best moment of their own
    window: together they retry more than one window of all has earned.
    """
    for seed in (1, 2, 3):
        replay = Replay(1.0, per_s=300.0, nodes=300, gateways=120, seed=seed)
        assert replay.run().excess() <= 0


def test_nodes_that_never_restart_lose_no_retries_to_the_limit_on_bursts():
    """Guards against a limit on bursts that refuses what a window allows."""
    replay = Replay(0.3).run()
    wanted = 0.3 * 1.3 * count(replay.sent, FAILING_S)
    assert count(replay.retried, FAILING_S) >= 0.9 * min(
        wanted, RATIO * count(replay.sent, FAILING_S) + SLACK / 2
    )
