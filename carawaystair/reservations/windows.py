"""How long replicas retain keys and abstain after a restart.

Every replica measures with its own monotonic clock, starting when it votes.
Times of two machines are never compared, so only the difference in clock
rate matters; it is assumed to be less than :data:`MAX_CLOCK_DRIFT`.
"""

# Added to every window: the caller's window begins before the replica's vote
# (an attempt takes up to ``coordinator.ATTEMPT_TIMEOUT_S``), and the request
# is sent after it.
MARGIN_S = 60.0
# Tolerated rate difference of two clocks, as a fraction.  Crystal oscillators
# are accurate to 0.0002 and time daemons slew by at most 0.0005.
MAX_CLOCK_DRIFT = 0.001


def retention_s(window_s: float) -> float:
    """Return how long a replica retains a key.

    :param window_s: window of the key, seconds.
    """
    return window_s * (1 + MAX_CLOCK_DRIFT) + MARGIN_S


def abstention_s(window_s: float) -> float:
    """Return how long a replica must not vote after losing its records.

    Every vote that it may have cast before the restart has expired by then.
    The time exceeds the longest retention by the drift and one margin,
    because its clock may run faster than that of a coordinator with a grant.

    :param window_s: longest window of any service, seconds.
    """
    return retention_s(window_s) * (1 + MAX_CLOCK_DRIFT) + MARGIN_S
