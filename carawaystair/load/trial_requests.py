"""When an upstream gets a request to show how it does.

The load that this answers: only work shows how an upstream does.  If work
went only where it is worth most, one that was gray would never be seen to be
sound again, and one of which nothing is known never get any: an ejection that
nobody decided and that no floor bounds.  So an upstream that had none for
some time gets a request as a trial.

Requests that may be repeated try first, and soon, as their failures cost a
repeat only.  As long as they are offered here often, what may run once leaves
it to them to try an upstream that is likely to fail: it would else be tried
every few seconds by whatever comes first, and most of that is lost.
"""

import math

# Without work for so long, an upstream gets a request that may be repeated.
# It fails most of these while it is gray, each costs a repeat, and those of a
# small service are few: as long as they fail, trials grow apart up to the
# second figure, by a factor each time.  Seconds.
MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 1.7
INTERVAL_GROWTH = 1.5
# Without work for so long it gets one that may run once, and for so much
# longer the surer it is to fail that one, seconds.
IDLE_S = 0.6
FAILING_IDLE_S = 2.0
# While the others serve the service well, that may take so many times longer:
# each trial that fails loses a request.  Where they don't, all sound ones are
# to have work within two seconds.
HEALTHY_SERVICE_FACTOR = 2.0
# Requests that may be repeated come often to an upstream that was offered two
# of them within so long, seconds.  They come to each one by chance, and many
# while its trial is not due.
FREQUENT_OFFERS_S = 8.0
# Where they come often, upstreams that fail more than this share are tried by
# them alone.
RETRYABLE_ONLY_PROBABILITY = 0.2


class Trials:
    """The trials of one upstream."""

    def __init__(self) -> None:
        self.interval_s = MIN_INTERVAL_S
        # When it last began any run, and when it last failed one.
        self.began_at = -math.inf
        self.failed_at = -math.inf
        # When it was offered the last two requests that may be repeated.
        self.offered_at = (-math.inf, -math.inf)

    def record_offer(self, now: float) -> None:
        """Take note of an offer of a request that may be repeated."""
        self.offered_at = (self.offered_at[1], now)

    def record_start(self, now: float) -> None:
        """Take note that a run begins."""
        self.began_at = now

    def record_failure(self, now: float) -> None:
        """Take note that a run failed."""
        self.failed_at = now
        self.interval_s = min(
            INTERVAL_GROWTH * self.interval_s, MAX_INTERVAL_S
        )

    def record_success(self) -> None:
        """Take note that a run succeeded."""
        self.interval_s = MIN_INTERVAL_S

    def idle_s(self, now: float) -> float:
        """Return how long no run has begun, seconds; infinite before any."""
        return now - self.began_at

    def due(
        self, repeatable: bool, failing: float, calm: bool, now: float
    ) -> bool:
        """Tell whether a request should run here for what it shows.

        :param repeatable: whether it can be sent once more if it fails.
        :param failing: how likely it fails.
        :param calm: whether the service is served well.
        """
        if repeatable:
            return self.idle_s(now) >= self.interval_s
        often = now - self.offered_at[0] < FREQUENT_OFFERS_S
        if often and failing > RETRYABLE_ONLY_PROBABILITY:
            return False
        patience_s = IDLE_S + FAILING_IDLE_S * failing
        quiet_s = now - max(self.failed_at, self.began_at)
        return (
            quiet_s >= (HEALTHY_SERVICE_FACTOR if calm else 1.0) * patience_s
        )
