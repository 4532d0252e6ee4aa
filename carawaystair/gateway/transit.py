"""Transit time of requests between two nodes.

A slow or interrupted link delays requests.  Without a correction, a request
that arrives a second late is started with its full original timeout, although
its sender has given up and sent it elsewhere.

The hosts' clocks are not synchronised.  A gateway reports with each answer
when it read the request, which is never before the request was sent.  The
smallest difference between the two times that a node has seen is therefore
the offset of the gateway's clock plus the shortest transit time, and the node
can state in the gateway's time when it sent a request.
"""

import collections

from carawaystair.gateway import hops

MS = 1000
# Samples kept for each clock.  The estimate follows a clock that was reset
# after this number of answers.
MAX_SAMPLES = 32
# Clocks kept, one for each gateway process.
MAX_CLOCKS = 4096


class ClockOffset:
    """Estimated offset of one gateway's clock from this node's.

    Times count from the starts of the hosts, in ms, and include times in
    which a host was suspended.
    """

    def __init__(self) -> None:
        self.offsets: collections.deque[int] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def observe(self, sent_ms: int, read_ms: int) -> None:
        """Record when the gateway read a request.

        :param sent_ms: when the request was sent, in this node's time.
        :param read_ms: when it was read, in the gateway's time.
        """
        self.offsets.append(read_ms - sent_ms)

    def to_remote(self, here_ms: int) -> int:
        """Convert this node's time to the gateway's; 0 if unknown."""
        return here_ms + min(self.offsets) if self.offsets else 0


class ClockOffsets:
    """Clock offsets of all gateways to which a node sends."""

    def __init__(self) -> None:
        self.by_process: dict[tuple[str, str], ClockOffset] = {}

    def of(self, host: str, process: str) -> ClockOffset:
        """Return the clock offset of a gateway.

        :param host: its host; processes of several hosts may share a name.
        :param process: identifies one start of its process.
        """
        found = self.by_process.pop((host, process), None) or ClockOffset()
        self.by_process[host, process] = found
        if len(self.by_process) > MAX_CLOCKS:
            del self.by_process[next(iter(self.by_process))]
        return found


def deduct_transit_time(hop: hops.Hop, now_ms: int) -> hops.Hop | None:
    """Return a request with its transit time deducted from its timeouts.

    None when its sender has given up: nobody would receive the answer.

    :param now_ms: this gateway's time.
    """
    if not hop.sent_ms:
        return hop
    age_ms = max(now_ms - hop.sent_ms, 0)
    if age_ms > hop.sender_timeout_ms or age_ms >= hop.remaining_ms:
        return None
    return hop._replace(
        remaining_ms=hop.remaining_ms - age_ms,
        goal_ms=max(hop.goal_ms - age_ms, -1),
        sender_timeout_ms=hop.sender_timeout_ms - age_ms,
    )
