"""Whether a node that starts may serve by what its peers hold.

While control is away, peers that serve vouch for the version that the node
has read from them.  Several of them must agree, so that one that was cut off
does not pass on old news.  Where fewer serve, waiting for more would keep
the node down for as long as control is away; then it is enough that all
others were asked.
"""

import typing

# Peers that vouch for a version before it is trusted without asking further.
ENOUGH_PEERS = 3
# Peers to ask where not enough of them vouch.
MOST_ASKED = 16


class Vouching:
    """What peers said of the version that a starting node holds."""

    def __init__(self) -> None:
        # Hosts that serve and have nothing newer.
        self.vouchers: set[str] = set()
        # Hosts that were asked, whatever they answered, if anything.
        self.asked: set[str] = set()

    def mark_vouched(self, host: str) -> None:
        """Take note that a peer serves and has nothing newer."""
        self.vouchers.add(host)

    def mark_asked(self, host: str) -> None:
        """Take note that a question to a peer is over."""
        self.asked.add(host)

    def clear(self) -> None:
        """Forget all: the node holds another version now."""
        self.vouchers.clear()
        self.asked.clear()

    def enough(self, peers: typing.Collection[str]) -> bool:
        """Tell whether the version may be served.

        :param peers: hosts of the other nodes that are believed alive.
        """
        if len(self.vouchers) >= ENOUGH_PEERS:
            return True
        needed = min(MOST_ASKED, len(peers))
        return bool(self.vouchers) and len(self.asked & set(peers)) >= needed
