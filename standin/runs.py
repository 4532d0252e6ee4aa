"""The record of every run at a stand-in upstream."""

import collections
import typing

import msgspec

from carawaystair import clock

KEPT_RUNS = 200_000

RUNNING = 'running'
DONE = 'done'
FAILED = 'failed'
CANCELLED = 'cancelled'
EXPIRED = 'expired'


class Run(typing.NamedTuple):
    """One request that took a slot and was worked on.

    :param upstream: id of the upstream.
    :param request: the ``Caraway-Request-Id`` header.
    :param marker: the caller's own marker of the request.
    :param method: the HTTP method.
    :param customer: the customer.
    :param start_ms: wall clock at the start.
    :param end_ms: wall clock at the end, 0 while it runs.
    :param how: how it ended, such as :data:`DONE`.
    :param fault: the fault that it met, or ``good``.
    """

    upstream: str
    request: str
    marker: str
    method: str
    customer: str
    start_ms: int
    end_ms: int = 0
    how: str = RUNNING
    fault: str = 'good'


class Runs:
    """The newest runs of one upstream, in the order of their start."""

    def __init__(self, kept: int = KEPT_RUNS) -> None:
        self.kept = kept
        self.table: dict[int, Run] = {}
        self.total = 0

    def begin(self, run: Run) -> int:
        """Add a run that starts.

        :return: its number, for :meth:`end`.
        """
        self.total += 1
        self.table[self.total] = run
        self.table.pop(self.total - self.kept, None)
        return self.total

    def end(self, number: int, how: str) -> None:
        """Take note of how a run ended."""
        run = self.table.get(number)
        if run is not None:
            ended = run._replace(end_ms=clock.wall_ms(), how=how)
            self.table[number] = ended

    def all(self) -> tuple[Run, ...]:
        """Return the runs kept."""
        return tuple(self.table.values())


def dump(every: typing.Iterable[Run]) -> bytes:
    """Return runs as JSON lines of plain lists."""
    return b'\n'.join(msgspec.json.encode(run) for run in every)


def load(data: bytes) -> list[Run]:
    """Return the runs that :func:`dump` wrote."""
    return [msgspec.json.decode(line, type=Run) for line in data.splitlines()]


def doubles(runs: typing.Iterable[Run], method: str) -> dict[str, int]:
    """Return the markers that ran more than once under a method.

    :param runs: of all upstreams together.
    :return: number of runs by marker.
    """
    counts = collections.Counter(
        run.marker for run in runs if run.method == method
    )
    return {marker: count for marker, count in counts.items() if count > 1}
