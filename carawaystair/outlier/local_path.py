"""Detects faults of this node's own network path.

When nearly all upstreams look bad from here, the path is the likelier cause.
"""

# Results older than this are ignored, seconds.
DECAY_S = 2.0
# The path is suspected when at least this many upstreams look bad, and at
# least this share of those tried.
MIN_BAD = 4
MIN_BAD_SHARE = 0.75
MAX_UPSTREAMS = 256
CHECK_INTERVAL_S = 0.2


class LocalPath:
    """Recent results of the upstreams that this node tried."""

    def __init__(self) -> None:
        self.good: dict[str, float] = {}
        self.bad: dict[str, float] = {}
        self.suspected = False
        self.checked_at = -CHECK_INTERVAL_S

    def add(self, upstream: str, bad: bool, now: float) -> None:
        """Add the result of one attempt."""
        table, other = (self.bad, self.good)
        if not bad:
            table, other = other, table
        other.pop(upstream, None)
        if len(table) < MAX_UPSTREAMS:
            table[upstream] = now

    def tick(self, now: float) -> bool:
        """Update ``suspected``.

        :return: whether the path has just become suspected.
        """
        if now - self.checked_at < CHECK_INTERVAL_S:
            return False
        self.checked_at = now
        for table in (self.good, self.bad):
            old = [name for name, at in table.items() if now - at > DECAY_S]
            for name in old:
                del table[name]
        bad, tried = len(self.bad), len(self.bad) + len(self.good)
        before, self.suspected = (
            self.suspected,
            bad >= MIN_BAD and bad >= MIN_BAD_SHARE * tried,
        )
        return self.suspected and not before
