"""Where log lines go: standard output, bounded, never blocking.

Symptom without it: whoever reads the logs stops reading, the pipe fills up
within seconds, the next line waits for ever and with it every request of the
process.  So a thread writes, and only it ever waits.  What it has not written
yet is kept up to a bound; what comes beyond that is dropped and counted.
"""

import collections
import os
import threading
import time
import typing

# Lines that are kept while nobody reads: some seconds' worth of the most that
# one process may write.
MOST_KEPT = 200
# A longer line is cut: one line must not take the place of hundreds.
MOST_BYTES = 4096
# Lines are gathered for so long, so that a busy second costs few wakeups.
GATHER_S = 0.02
# At the end of the process, what is left may take so long, seconds.
FLUSH_S = 0.3


class Output:
    """Writes lines to a descriptor, in a thread of its own.

    :param descriptor: an open file, pipe or terminal.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.kept: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self.waiting = threading.Event()
        self.idle = threading.Event()
        self.idle.set()
        # It ends with the process, also while it waits for a reader.
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def line(self, data: bytes) -> None:
        """Keep one line until it is written; returns at once."""
        if len(self.kept) >= MOST_KEPT:
            self.dropped += 1
            return
        self.kept.append(data[:MOST_BYTES] + b'\n')
        if not self.waiting.is_set():
            self.idle.clear()
            self.waiting.set()

    def _run(self) -> None:
        while True:
            self.waiting.wait()
            time.sleep(GATHER_S)
            self.waiting.clear()
            self._write()
            if not self.kept:
                self.idle.set()

    def _write(self) -> None:
        """Write all that is kept; waits for the reader."""
        while self.kept:
            count = len(self.kept)
            batch = b''.join(self.kept.popleft() for _ in range(count))
            try:
                while batch:
                    batch = batch[os.write(self.descriptor, batch) :]
            except OSError:
                # Nobody will ever read it; there is nowhere to say so.
                self.dropped += count

    # As a text stream, for the logs of the parts.

    def write(self, text: str) -> int:
        """Write text that is one line, with or without its end."""
        data = text.rstrip('\n').encode('utf-8', 'backslashreplace')
        if data:
            self.line(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written soon by themselves."""

    def close(self) -> None:
        """Wait a moment for what is left, before the process ends."""
        self.idle.wait(FLUSH_S)


def standard() -> Output:
    """Return the standard output of this process."""
    return Output(1)


class Room:
    """Bounds the lines of each second, and counts those left out.

    :param lines: lines a second, by sort.
    """

    def __init__(self, lines: typing.Mapping[str, int]) -> None:
        self.lines = lines
        self.second = 0
        self.left = dict(lines)
        # Lines left out, over the life of the process and since the last
        # line.
        self.left_out = 0
        self.untold = 0

    def take(self, second: int, sort: str) -> bool:
        """Tell whether there is room for one more line in a second."""
        if second != self.second:
            self.second = second
            self.left = dict(self.lines)
        if self.left[sort] <= 0:
            self.left_out += 1
            self.untold += 1
            return False
        self.left[sort] -= 1
        return True

    def tell(self) -> int:
        """Return how many were left out since this was last asked."""
        untold, self.untold = self.untold, 0
        return untold


class Sink(typing.Protocol):
    """What takes log lines."""

    def line(self, data: bytes) -> None:
        """Take one line, without its end."""
