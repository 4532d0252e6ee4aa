"""When an upstream gets a request as a trial.

The state of an upstream shows only in the requests it runs.  If requests went
only to the upstreams with the highest expected value, one that was gray would
never be seen to have recovered, and an unknown one would never get any: in
effect they would be ejected, with no decision behind it and no floor to bound
it.  So an upstream that has been idle for some time gets a trial request.

Requests that may be repeated are tried first, and soon, since a failure only
costs a retry.  While they are offered often, requests that may run only once
leave it to them to try an upstream that is likely to fail.  Otherwise it would
be tried every few seconds with whatever request comes first, and most of these
would be lost.
"""

import math

# Idle time after which an upstream gets a repeatable request as a trial, in
# seconds.  While it is gray, most trials fail and cost a retry, and a small
# service has few retries, so the interval grows by a factor up to a maximum as
# long as trials fail.
MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 1.7
INTERVAL_GROWTH = 1.5
# Idle time after which an upstream gets a request that may run only once, in
# seconds, and the additional time at a failure probability of 1.
IDLE_S = 0.6
FAILING_IDLE_S = 2.0
# Factor on that time while the service is healthy, since each failed trial
# loses a request.  Otherwise all healthy upstreams should get requests within
# two seconds.
HEALTHY_SERVICE_FACTOR = 2.0
# Repeatable requests count as frequent if two were offered within this time,
# in seconds.  They reach each upstream by chance, and many while no trial is
# due.
FREQUENT_OFFERS_S = 8.0
# While they are frequent, upstreams above this failure probability are tried
# with repeatable requests only.
RETRYABLE_ONLY_PROBABILITY = 0.2


class Trials:
    """Decides on the trial requests of one upstream."""

    def __init__(self) -> None:
        self.interval_s = MIN_INTERVAL_S
        # Monotonic times of the last start of any run and of the last failure.
        self.began_at = -math.inf
        self.failed_at = -math.inf
        # Monotonic times of the last two offers of repeatable requests.
        self.offered_at = (-math.inf, -math.inf)

    def record_offer(self, now: float) -> None:
        """Record an offer of a repeatable request."""
        self.offered_at = (self.offered_at[1], now)

    def record_start(self, now: float) -> None:
        """Record the start of a run."""
        self.began_at = now

    def record_failure(self, now: float) -> None:
        """Record a failed run."""
        self.failed_at = now
        self.interval_s = min(
            INTERVAL_GROWTH * self.interval_s, MAX_INTERVAL_S
        )

    def record_success(self) -> None:
        """Record a successful run."""
        self.interval_s = MIN_INTERVAL_S

    def idle_s(self, now: float) -> float:
        """Return seconds since a run last began; infinite before the first."""
        return now - self.began_at

    def due(
        self,
        repeatable: bool,
        failure_probability: float,
        service_healthy: bool,
        now: float,
    ) -> bool:
        """Return whether a request should run here as a trial.

        :param repeatable: whether it can be retried if it fails.
        :param failure_probability: that the upstream fails it.
        :param service_healthy: whether other upstreams serve the service well.
        :param now: monotonic time in seconds.
        """
        if repeatable:
            return self.idle_s(now) >= self.interval_s
        frequent = now - self.offered_at[0] < FREQUENT_OFFERS_S
        if frequent and failure_probability > RETRYABLE_ONLY_PROBABILITY:
            return False
        wait_s = IDLE_S + FAILING_IDLE_S * failure_probability
        quiet_s = now - max(self.failed_at, self.began_at)
        return (
            quiet_s
            >= (HEALTHY_SERVICE_FACTOR if service_healthy else 1.0) * wait_s
        )
