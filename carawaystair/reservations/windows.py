"""How long a key is remembered, and what clocks may do meanwhile.

Every replica measures with its own monotonic clock, from the moment it
voted.  Nothing compares times of two machines.  Clocks differ in rate only,
by less than :data:`DRIFT`.
"""

# Added to every window: the caller's window begins before the replica's vote
# (an attempt takes up to ``owner.ATTEMPT_S``), and the request goes out after
# it.
MARGIN_S = 60.0
# Rate difference of two clocks that is allowed for, as a share of the window.
# Crystals are within 0.0002 and time daemons slew by at most 0.0005.
MAX_CLOCK_DRIFT = 0.001


def retention_s(window_s: float) -> float:
    """Return how long a replica keeps a key with this window."""
    return window_s * (1 + MAX_CLOCK_DRIFT) + MARGIN_S


def abstention_s(window_s: float) -> float:
    """Return how long a replica that forgot everything must not vote.

    After that nothing counts any more that it may have voted for before it
    started again.  One margin more than the longest keep: its clock may run
    faster than that of the owner of a grant.
    """
    return retention_s(window_s) * (1 + MAX_CLOCK_DRIFT) + MARGIN_S
