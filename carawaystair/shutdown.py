"""When a process was asked to stop.

Whoever asks for a stop kills the process some time after the signal.  The
event loop may notice the signal much later, while the process starts or has
stood still, so the time of a stop is counted from the signal itself.
"""

import asyncio
import contextlib
import signal
import typing

from carawaystair import clock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Shutdown:
    """The stop of one process; further requests for it change nothing."""

    def __init__(self) -> None:
        # Monotonic time of the first request, in seconds.
        self.requested_at: float | None = None
        self.event = asyncio.Event()

    @property
    def requested(self) -> bool:
        """Return whether the process was asked to stop."""
        return self.requested_at is not None

    def request(self) -> float:
        """Ask for the stop; return when that was done first, seconds."""
        if self.requested_at is None:
            self.requested_at = clock.now()
        self.event.set()
        return self.requested_at

    def age_s(self) -> float:
        """Return the time since the first request; 0.0 before it."""
        if self.requested_at is None:
            return 0.0
        return clock.now() - self.requested_at


@contextlib.contextmanager
def requested_by_signals(shutdown: Shutdown) -> typing.Iterator[None]:
    """Let signals ask for the stop; for the main thread.

    Handlers of the event loop run only once it is free again, these at once.
    """
    loop = asyncio.get_running_loop()

    def handle(_number, _frame) -> None:
        if not shutdown.requested:
            shutdown.requested_at = loop.time()
        loop.call_soon_threadsafe(shutdown.event.set)

    former = {number: signal.signal(number, handle) for number in STOP_SIGNALS}
    try:
        yield
    finally:
        for number, handler in former.items():
            signal.signal(number, handler)
