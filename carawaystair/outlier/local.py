"""What one node makes of its own attempts, at once and on its own."""

import math
import typing

from carawaystair import interfaces

# Outcomes that speak against an upstream.
BAD = frozenset(
    (
        interfaces.ERROR,
        interfaces.TIMEOUT,
        interfaces.BROKEN,
        interfaces.REFUSED,
    )
)
# Each kind of failure multiplies the soft weight by its factor.
FACTORS = {
    interfaces.TIMEOUT: 0.25,
    interfaces.BROKEN: 0.25,
    interfaces.REFUSED: 0.25,
    interfaces.ERROR: 0.5,
    interfaces.SILENT: 0.7,
}
LEAST_WEIGHT = 0.02
# A weight that nothing happens to gets back two thirds of its loss in this
# time, seconds.
RECOVERY_S = 5.0
# Each good answer takes this share of the loss away.
RECOVERY_SHARE = 0.25
# Weights this close to 1.0 are forgotten, so that the table stays small.
FORGET = 0.99


class Soft(typing.NamedTuple):
    """The soft weight of one upstream.

    :param loss: what the weight lacked to 1.0 at ``time``.
    :param time: monotonic time of the last attempt that changed it.
    """

    loss: float
    time: float


class Weights:
    """Soft weights from this node's own attempts."""

    def __init__(self) -> None:
        self.table: dict[str, Soft] = {}

    def record(self, upstream: str, outcome: str, now: float) -> None:
        """Let one outcome change the upstream's weight."""
        factor = FACTORS.get(outcome)
        if factor is not None:
            weight = max(self.weight(upstream, now) * factor, LEAST_WEIGHT)
            self.table[upstream] = Soft(1.0 - weight, now)
        elif outcome == interfaces.GOOD and upstream in self.table:
            loss = 1.0 - self.weight(upstream, now)
            self._keep(upstream, loss * (1.0 - RECOVERY_SHARE), now)

    def weight(self, upstream: str, now: float) -> float:
        """Return the weight, which recovers with time."""
        soft = self.table.get(upstream)
        if soft is None:
            return 1.0
        return 1.0 - soft.loss * math.exp((soft.time - now) / RECOVERY_S)

    def sweep(self, now: float) -> None:
        """Forget the weights that have recovered."""
        for upstream in list(self.table):
            self._keep(upstream, 1.0 - self.weight(upstream, now), now)

    def _keep(self, upstream: str, loss: float, now: float) -> None:
        if 1.0 - loss >= FORGET:
            self.table.pop(upstream, None)
        else:
            self.table[upstream] = Soft(loss, now)
