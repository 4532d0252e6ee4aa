"""Whether this node's own path is at fault: all it talks to looks bad."""

# What an upstream showed counts for so long, seconds.
DECAY_S = 2.0
# So many upstreams must look bad, and so large a share of those tried.
MIN_BAD = 4
MIN_BAD_SHARE = 0.75
MAX_UPSTREAMS = 256
CHECK_INTERVAL_S = 0.2


class LocalPath:
    """The upstreams that this node tried lately."""

    def __init__(self) -> None:
        self.good: dict[str, float] = {}
        self.bad: dict[str, float] = {}
        self.suspected = False
        self.checked_at = -CHECK_INTERVAL_S

    def add(self, upstream: str, bad: bool, now: float) -> None:
        """Take note of what an upstream showed."""
        table, other = (self.bad, self.good)
        if not bad:
            table, other = other, table
        other.pop(upstream, None)
        if len(table) < MAX_UPSTREAMS:
            table[upstream] = now

    def tick(self, now: float) -> bool:
        """Look again.

        :return: whether the path has just become suspect.
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
