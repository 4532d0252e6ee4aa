"""Where log lines go: standard output, bounded, never blocking.

Symptom without it: whoever reads the logs stops reading, the pipe fills up
within seconds, the next line waits for ever and with it every request of the
process.  So a line is written only when the pipe can take it at once; what
can't be written is kept up to a bound, then dropped and counted, and the
count stands in the next line that is written.
"""

import collections
import os
import select
import typing

# A pipe that is ready takes at least this many bytes without blocking
# (POSIX, PIPE_BUF).
ATOMIC_BYTES = 4096
# Lines that are kept while nobody reads: a few seconds' worth at the most
# that one process may write.
MOST_KEPT = 200


class Output:
    """Writes lines to a descriptor.

    :param descriptor: an open file, pipe or terminal.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.kept: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def line(self, data: bytes) -> None:
        """Write one line, or keep it until the reader takes more."""
        if len(self.kept) >= MOST_KEPT:
            self.dropped += 1
            return
        self.kept.append(data[: ATOMIC_BYTES - 1] + b'\n')
        self.pass_on()

    def pass_on(self) -> None:
        """Write what can be written without waiting."""
        while self.kept and self._ready():
            batch = [self.kept.popleft()]
            size = len(batch[0])
            while self.kept and size + len(self.kept[0]) <= ATOMIC_BYTES:
                batch.append(self.kept.popleft())
                size += len(batch[-1])
            try:
                os.write(self.descriptor, b''.join(batch))
            except OSError:
                # Nobody will ever read it; there is nowhere to say so.
                self.dropped += len(batch)

    def _ready(self) -> bool:
        found = self.poll.poll(0)
        return bool(found) and bool(found[0][1] & select.POLLOUT)

    # As a text stream, for the logs of the parts.

    def write(self, text: str) -> int:
        """Write text that is one line, with or without its end."""
        data = text.rstrip('\n').encode('utf-8', 'backslashreplace')
        if data:
            self.line(data)
        return len(text)

    def flush(self) -> None:
        """Write what can be written without waiting."""
        self.pass_on()


def standard() -> Output:
    """Return the standard output of this process."""
    return Output(1)


class Sink(typing.Protocol):
    """What takes log lines."""

    def line(self, data: bytes) -> None:
        """Take one line, without its end."""
