"""Local weights: a node's immediate reaction to its own attempts."""

import math
import typing

from carawaystair import interfaces

# Factors on the weight by outcome.
OUTCOME_FACTORS = {
    interfaces.TIMEOUT: 0.1,
    interfaces.BROKEN: 0.2,
    interfaces.REFUSED: 0.2,
    interfaces.ERROR: 0.5,
    # Shedding is no fault, but more work would be shed too.
    interfaces.SHED: 0.8,
}
# Factors for an answer that is late or overdue and still awaited.
LATE_FACTOR = 0.3
OVERDUE_FACTOR = 0.15
# For either on a connection that may itself have gone silent.
UNPROVEN_FACTOR = 0.5
MIN_WEIGHT = 0.02
# Without further attempts a weight regains 1 - 1/e of its loss in this time,
# seconds.  The time doubles when the next attempt after a pause fails too, so
# that a path that stays broken is tried less and less.
RECOVERY_S = 5.0
MAX_RECOVERY_S = 80.0
RECOVERED_WEIGHT = 0.95
REPEAT_S = 3.0
# Each good answer removes this share of the loss.
RECOVERY_SHARE = 0.3
# Weights this close to 1.0 are removed, which keeps the table small.
FORGET_WEIGHT = 0.99


class LocalWeight(typing.NamedTuple):
    """The local weight of one upstream.

    :param loss: 1.0 minus the weight at ``time``.
    :param time: monotonic time of the last change.
    :param recovery_s: time constant of the recovery, seconds.
    """

    loss: float
    time: float
    recovery_s: float

    def weight(self, now: float) -> float:
        """Return the weight at a time."""
        return 1.0 - self.loss * math.exp((self.time - now) / self.recovery_s)


class LocalWeights:
    """Local weights of the upstreams that recently failed or were slow."""

    def __init__(self) -> None:
        self.by_upstream: dict[str, LocalWeight] = {}

    def lower(self, upstream: str, factor: float, now: float) -> None:
        """Multiply a weight by a factor."""
        old = self.by_upstream.get(upstream, LocalWeight(0.0, now, RECOVERY_S))
        before = old.weight(now)
        weight = max(before * factor, MIN_WEIGHT)
        recovery = old.recovery_s
        if before < RECOVERED_WEIGHT and now - old.time > REPEAT_S:
            recovery = min(recovery * 2, MAX_RECOVERY_S)
        self.by_upstream[upstream] = LocalWeight(1.0 - weight, now, recovery)

    def restore(self, upstream: str, now: float) -> None:
        """Raise a weight after a good answer."""
        old = self.by_upstream.get(upstream)
        if old is None:
            return
        loss = (1.0 - old.weight(now)) * (1.0 - RECOVERY_SHARE)
        self._set(upstream, LocalWeight(loss, now, RECOVERY_S))

    def reset(self, upstream: str) -> None:
        """Set a weight back to 1.0."""
        self.by_upstream.pop(upstream, None)

    def weight(self, upstream: str, now: float) -> float:
        """Return a weight; it recovers with time."""
        weight = self.by_upstream.get(upstream)
        return 1.0 if weight is None else weight.weight(now)

    def sweep(self, now: float) -> None:
        """Remove the weights that have recovered."""
        for upstream, weight in list(self.by_upstream.items()):
            loss = 1.0 - weight.weight(now)
            self._set(upstream, LocalWeight(loss, now, weight.recovery_s))

    def _set(self, upstream: str, weight: LocalWeight) -> None:
        if 1.0 - weight.loss >= FORGET_WEIGHT:
            self.by_upstream.pop(upstream, None)
        else:
            self.by_upstream[upstream] = weight
