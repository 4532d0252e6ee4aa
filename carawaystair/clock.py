"""Time, as every part of the fleet reads it.

All durations are in seconds unless a name ends in ``_ms``.  Code never calls
:mod:`time` for a deadline: it asks the running event loop, so that tests can
run hours of failures in a virtual loop within a second.
"""

import asyncio
import time


def now() -> float:
    """Return the monotonic time of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()


def uptime_ms() -> int:
    """Return the time since the start of the host, in whole milliseconds.

    It goes on while the host is suspended, which :func:`now` does not.  A
    loop may bring its own clock in an attribute ``uptime_ms``.
    """
    own = getattr(asyncio.get_running_loop(), 'uptime_ms', None)
    if own is not None:
        return own()
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms() -> int:
    """Return the wall clock, in whole milliseconds since 1970.

    A loop may bring its own wall clock in an attribute ``wall_ms``, as the
    virtual loop of the tests does; otherwise the system's is read.  Wall time
    is for display and for ordering events only, never for a lease.
    """
    try:
        own = getattr(asyncio.get_running_loop(), 'wall_ms', None)
    except RuntimeError:
        own = None
    return own() if own is not None else time.time_ns() // 1_000_000
