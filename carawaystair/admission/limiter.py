"""Adaptive concurrency: how many of the announced slots are worth using.

Upstreams announce their slots, but the number may mislead.  What answers show
corrects it, by additive increase and multiplicative decrease (Chiu and Jain,
1989).  The signal for less is the share of requests that upstreams shed.
More than the announced slots are tried only on proof that latency is low:
its gradient, that is the median now over the median of requests that began
while little ran (after TCP Vegas; Brakmo and Peterson, 1995).

A high gradient alone never lowers the limit below the announced slots: a
service that became slower would be throttled for nothing, and the gain where
requests queue inside upstreams measured as none (docs/design/admission.md).
"""

from carawaystair.admission import hold_time

# A window takes at least so many answers and so many seconds.
WINDOW_ANSWERS = 100
WINDOW_S = 0.2
# Sheds above this share mean that there are fewer slots than are used.
# Below it they come from several nodes that choose the same upstream.
SHED_HIGH = 0.2
# The limit grows only while sheds stay below this share.
SHED_LOW = 0.05
# The same bounds beyond the announced slots.
SHED_HIGH_BEYOND = 0.02
SHED_LOW_BEYOND = 0.01
# The limit goes beyond the announced slots only while latency stays below
# this multiple of that when little runs, and comes back above the other.
GRADIENT_LOW = 1.2
GRADIENT_HIGH = 1.5
# So long the announced slots are kept to after more of them failed.
HOLD_S = 30.0
DECREASE = 0.9
# Growth in a window, as a part of the announced slots.
INCREASE = 0.05
# Greatest and least multiple of the announced slots.
FACTOR_MAX = 2.0
FACTOR_MIN = 0.1


class Limiter:
    """The multiple of its slots that a gate may use.

    :ivar factor: that multiple, 1.0 at first.
    :ivar low_load_latency: latency of requests that began while little ran.
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
        """Take note of a good answer.

        :param low_load: whether it began while little ran.
        :param saturated: whether others wait for the limit now.
        """
        self.latencies.append(latency_s)
        self.saturated = self.saturated or saturated
        if low_load:
            self.low_load_latency.record_answer(latency_s)

    def record_shed(self) -> None:
        """Take note that an upstream refused a request before running it."""
        self.sheds += 1

    def due(self, now: float) -> bool:
        """Tell whether the window is full."""
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
        """Go on beyond the announced slots, or come back."""
        if sheds > SHED_HIGH_BEYOND or self._gradient() > GRADIENT_HIGH:
            self.factor = 1.0
            self.hold_until = now + HOLD_S
        elif self.saturated and sheds < SHED_LOW_BEYOND:
            self._grow(now)

    def _grow(self, now: float) -> None:
        proven = (
            self.low_load_latency.median and self._gradient() < GRADIENT_LOW
        )
        if proven and now >= self.hold_until:
            self.factor = min(self.factor + INCREASE, FACTOR_MAX)

    def _gradient(self) -> float:
        """Return the median of the window over that when little runs."""
        if not self.latencies or not self.low_load_latency.median:
            return 1.0
        return (
            sorted(self.latencies)[len(self.latencies) // 2]
            / self.low_load_latency.median
        )
