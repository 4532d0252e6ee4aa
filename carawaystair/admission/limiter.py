"""Adaptive concurrency limit, relative to the announced slots.

Upstreams announce their slots, but the number may be wrong.  The answers
correct it, by additive increase and multiplicative decrease (Chiu and Jain,
1989).  The limit is lowered when upstreams shed a large share of requests.  It
is raised above the announced slots only while latency is low, as measured by
its gradient: the present median over the median of requests that began at low
load (after TCP Vegas; Brakmo and Peterson, 1995).

A high gradient alone never lowers the limit below the announced slots.  A
service that became slower would be throttled for nothing, and where requests
queue inside upstreams nothing is gained (docs/design/admission.md).
"""

from carawaystair.admission import hold_time

# Minimum number of answers and of seconds in a window.
WINDOW_ANSWERS = 100
WINDOW_S = 0.2
# A larger share of sheds means that there are fewer slots than are used.
# Smaller shares come from several nodes that choose the same upstream.
SHED_HIGH = 0.2
# The limit grows only below this share of sheds.
SHED_LOW = 0.05
# The same shares above the announced slots.
SHED_HIGH_BEYOND = 0.02
SHED_LOW_BEYOND = 0.01
# The limit is raised above the announced slots only below the first gradient,
# and returns to them above the second.
GRADIENT_LOW = 1.2
GRADIENT_HIGH = 1.5
# Time in seconds before more than the announced slots are tried again.
HOLD_S = 30.0
DECREASE = 0.9
# Growth in a window, as a share of the announced slots.
INCREASE = 0.05
# Maximum and minimum multiple of the announced slots.
FACTOR_MAX = 2.0
FACTOR_MIN = 0.1


class Limiter:
    """Limits the slots that a gate uses.

    :ivar factor: the limit as a multiple of the announced slots.
    :ivar low_load_latency: latency of requests that began at low load.
    """

    __slots__ = (
        'saturated',
        'factor',
        'latencies',
        'hold_until',
        'low_load_latency',
        'sheds',
        'window_start',
    )

    def __init__(self, now: float) -> None:
        self.factor = 1.0
        self.low_load_latency = hold_time.HoldTime()
        self.window_start = now
        self.hold_until = now
        self.latencies: list[float] = []
        self.sheds = 0
        self.saturated = False

    def record_answer(
        self, latency_s: float, low_load: bool, saturated: bool
    ) -> None:
        """Record a good answer.

        :param latency_s: its latency in seconds.
        :param low_load: whether the request began at low load.
        :param saturated: whether other requests wait for a slot.
        """
        self.latencies.append(latency_s)
        self.saturated = self.saturated or saturated
        if low_load:
            self.low_load_latency.record_answer(latency_s)

    def record_shed(self) -> None:
        """Record that an upstream refused a request without running it."""
        self.sheds += 1

    def due(self, now: float) -> bool:
        """Return whether the window is complete."""
        answers = len(self.latencies) + self.sheds
        return (
            answers >= WINDOW_ANSWERS and now - self.window_start >= WINDOW_S
        )

    def update(self, now: float) -> float:
        """Close the window and return the new factor."""
        sheds = self.sheds / (len(self.latencies) + self.sheds)
        if self.factor > 1.0:
            self._update_beyond_announced(now, sheds)
        elif sheds > SHED_HIGH:
            self.factor = max(self.factor * DECREASE, FACTOR_MIN)
        elif self.saturated and sheds < SHED_LOW and self.factor < 1.0:
            self.factor = min(self.factor + INCREASE, 1.0)
        elif self.saturated and sheds < SHED_LOW_BEYOND:
            self._grow(now)
        self.window_start = now
        self.latencies.clear()
        self.sheds = 0
        self.saturated = False
        return self.factor

    def _update_beyond_announced(self, now: float, sheds: float) -> None:
        """Update a factor above 1: grow, or return to the announced slots."""
        if sheds > SHED_HIGH_BEYOND or self._gradient() > GRADIENT_HIGH:
            self.factor = 1.0
            self.hold_until = now + HOLD_S
        elif self.saturated and sheds < SHED_LOW_BEYOND:
            self._grow(now)

    def _grow(self, now: float) -> None:
        latency_low = (
            self.low_load_latency.median and self._gradient() < GRADIENT_LOW
        )
        if latency_low and now >= self.hold_until:
            self.factor = min(self.factor + INCREASE, FACTOR_MAX)

    def _gradient(self) -> float:
        """Return the median latency of the window over that at low load."""
        if not self.latencies or not self.low_load_latency.median:
            return 1.0
        return (
            sorted(self.latencies)[len(self.latencies) // 2]
            / self.low_load_latency.median
        )
