"""Whether this node's own path is at fault: all it talks to looks bad."""

# What an upstream showed counts for so long, seconds.
MEMORY_S = 2.0
# So many upstreams must look bad, and so large a share of those tried.
LEAST_BAD = 4
SHARE = 0.75
MOST_UPSTREAMS = 256
LOOK_EVERY_S = 0.2


class Path:
    """The upstreams that this node tried lately."""

    def __init__(self) -> None:
        self.good: dict[str, float] = {}
        self.bad: dict[str, float] = {}
        self.suspect = False
        self.looked = -LOOK_EVERY_S

    def note(self, upstream: str, bad: bool, now: float) -> None:
        """Take note of what an upstream showed."""
        table, other = (self.bad, self.good)
        if not bad:
            table, other = other, table
        other.pop(upstream, None)
        if len(table) < MOST_UPSTREAMS:
            table[upstream] = now

    def tick(self, now: float) -> bool:
        """Look again.

        :return: whether the path has just become suspect.
        """
        if now - self.looked < LOOK_EVERY_S:
            return False
        self.looked = now
        for table in (self.good, self.bad):
            old = [name for name, at in table.items() if now - at > MEMORY_S]
            for name in old:
                del table[name]
        bad, tried = len(self.bad), len(self.bad) + len(self.good)
        before, self.suspect = (
            self.suspect,
            bad >= LEAST_BAD and bad >= SHARE * tried,
        )
        return self.suspect and not before
