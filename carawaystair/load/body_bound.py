"""Bounds the request bodies that one upstream has at the same time.

The load it answers: long requests that many nodes send to an upstream that
reads or works slowly.  Its slots bound their number, but not their bytes, and
an upstream that holds more than its memory crashes with all of them.
"""


class BodyBound:
    """Tracks the bodies in progress at one upstream.

    :param limit: most bytes of them; 0 for no bound.
    """

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.bytes = 0

    def take(self, size: int) -> bool:
        """Return whether a body may be sent; it is counted if so.

        A single one may always: no other upstream could take it either.  So
        may a request without one.
        """
        exceeds = self.bytes + size > self.limit
        if self.limit and size and self.bytes and exceeds:
            return False
        self.bytes += size
        return True

    def give(self, size: int) -> None:
        """Record that a body is no longer in progress."""
        self.bytes -= size
