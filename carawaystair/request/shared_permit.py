"""The admission permit of one request, shared with its attempts."""

from carawaystair import interfaces


class SharedPermit:
    """A reference-counted permit, released by its last holder.

    The request holds it, and so does every cancelled attempt until its
    upstream is known to have stopped: releasing the permit earlier would let
    more requests run than the upstreams have slots.

    :param permit: the permit.
    :param waited: whether the request had to wait for it, which means that
        no slot is spare.
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
        """Set the outcome and latency that admission will get."""
        self.outcome = outcome
        self.latency_s = latency_s

    def retain(self) -> None:
        """Add a holder."""
        self.holders += 1

    def release(self) -> None:
        """Remove a holder; the last one releases the permit."""
        self.holders -= 1
        if self.holders == 0:
            self.permit.release(self.outcome, self.latency_s)
