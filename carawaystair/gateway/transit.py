"""How old a request between two nodes is when it is read.

A link that is slow or was cut for a moment holds bytes up.  Symptom without
this: a request is read a second after it was sent, when its sender has given
it up and sent it elsewhere, and it is still begun, with all the time that it
had when it was sent.

Two hosts share no clock.  But a gateway tells with each answer when it read
the request, which can't have been before that was sent.  So a node
knows how far a gateway's clock is ahead of its own, but for the shortest way
there that it has seen, and can say in the gateway's time when it sent a
request.
"""

import collections

from carawaystair.gateway import hops

MS = 1000
# Of what was heard of a clock, so many of the last answers count.  A clock
# that is set anew is then known again after as many.
SAMPLES = 32
# Processes whose clocks are remembered.
MOST = 4096


class ClockOffset:
    """How far the clock of one gateway is ahead of this node's.

    Times count from the starts of the hosts, in ms, and go on while a host is
    suspended.
    """

    def __init__(self) -> None:
        self.offsets: collections.deque[int] = collections.deque(
            maxlen=SAMPLES
        )

    def observe(self, sent_ms: int, read_ms: int) -> None:
        """Take note of when the gateway read a request.

        :param sent_ms: when the request was sent, in this node's time.
        :param read_ms: when it was read, in the gateway's time.
        """
        self.offsets.append(read_ms - sent_ms)

    def to_remote(self, here_ms: int) -> int:
        """Return a moment of this node in the gateway's time, 0 if unknown."""
        return here_ms + min(self.offsets) if self.offsets else 0


class ClockOffsets:
    """The clocks of all gateways that a node sends to."""

    def __init__(self) -> None:
        self.clocks: dict[tuple[str, str], ClockOffset] = {}

    def of(self, host: str, process: str) -> ClockOffset:
        """Return the clock of a gateway.

        :param host: its host: processes of several hosts may have one name.
        :param process: names the start of its process.
        """
        found = self.clocks.pop((host, process), None) or ClockOffset()
        self.clocks[host, process] = found
        if len(self.clocks) > MOST:
            del self.clocks[next(iter(self.clocks))]
        return found


def deduct_transit_time(hop: hops.Hop, now_ms: int) -> hops.Hop | None:
    """Return a request with the time that is left of it now.

    None when its sender has given it up: what is begun then runs for nobody.

    :param now_ms: this gateway's time.
    """
    if not hop.sent_ms:
        return hop
    age_ms = max(now_ms - hop.sent_ms, 0)
    if age_ms > hop.patience_ms or age_ms >= hop.left_ms:
        return None
    return hop._replace(
        left_ms=hop.left_ms - age_ms, goal_ms=max(hop.goal_ms - age_ms, -1)
    )
