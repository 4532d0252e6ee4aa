"""The admission's slot of one request, which several may still need."""

from carawaystair import interfaces


class SharedPermit:
    """A permit that is released when nobody holds it any more.

    The request holds it, and so does every cancelled attempt until its
    upstream is known to have stopped: giving the slot back earlier would
    let more run than the upstreams have shared_permits.

    :param permit: the permit.
    :param waited: whether the request had to wait for it, so that there is
        no slot to spare.
    """

    __slots__ = ('holders', 'latency_s', 'outcome', 'permit', 'waited')

    def __init__(
        self, permit: interfaces.Permit, waited: bool = False
    ) -> None:
        self.permit = permit
        self.waited = waited
        self.holders = 1
        self.outcome = interfaces.CANCELLED
        self.latency_s = 0.0

    def record_outcome(self, outcome: str, latency_s: float) -> None:
        """Take note of what the request showed."""
        self.outcome = outcome
        self.latency_s = latency_s

    def retain(self) -> None:
        """Add a holder."""
        self.holders += 1

    def release(self) -> None:
        """Remove a holder; the last one gives the permit back."""
        self.holders -= 1
        if self.holders == 0:
            self.permit.release(self.outcome, self.latency_s)
