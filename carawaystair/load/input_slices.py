"""Divides what a connection has sent into slices that cost little to parse.

The load it answers: many connections that send bytes of which each few cost a
step of the parser: chunks of one byte, short header lines, blank lines.  What
one of them sends at once would keep all others waiting.

What a step costs hardly depends on its bytes, and each step ends a line.  So
lines measure the cost, and bytes do not.
"""

# Lines of a slice: more than any head has.
SLICE_LINES = 128
# Lines that are parsed as they arrive, without waiting for a turn: a head, or
# the ends of some chunks.
CHEAP_LINES = 128
# Where bytes are lines almost only, a search for the end of a slice stops
# here.
LEAST_BYTES = 64


def is_cheap(data: bytes) -> bool:
    """Return whether some data may be parsed at once.

    Few bytes can't have many lines; most data is not searched for that.
    """
    return len(data) <= CHEAP_LINES or data.count(b'\n') <= CHEAP_LINES


def end(data: bytes) -> int:
    """Return the end of the first slice of some data."""
    size = len(data)
    while size > LEAST_BYTES and data.count(b'\n', 0, size) > SLICE_LINES:
        size //= 2
    return size
