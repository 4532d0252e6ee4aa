"""Runs blocking disk calls beside the event loop, one at a time.

A sync may take seconds on a failing disk.  In the loop it would stop the
heartbeats of a leader whose links are sound.
"""

import asyncio
import concurrent.futures
import typing


class Disk(typing.Protocol):
    """Runs calls in the order in which they were given."""

    async def run(self, function: typing.Callable, *arguments):
        """Run a blocking call and return what it returns."""

    def close(self) -> None:
        """Take no more calls."""


class Threaded:
    """The real :class:`Disk`: one thread."""

    def __init__(self) -> None:
        self.pool = concurrent.futures.ThreadPoolExecutor(1, 'control-disk')

    async def run(self, function: typing.Callable, *arguments):
        """Run a blocking call in the thread."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.pool, function, *arguments)

    def close(self) -> None:
        """Let the thread end; a call that hangs is left behind."""
        self.pool.shutdown(wait=False, cancel_futures=True)


def make() -> Threaded:
    """Return a disk with its own thread."""
    return Threaded()
