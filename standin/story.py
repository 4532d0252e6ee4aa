"""What happened in one run of the demo."""

import bisect
import itertools
import typing

from carawaystair import timeline
from standin import fleet
from standin import load
from standin import runs

# A sick upstream has been detected when no window of this length brings it
# more than this part of its fair share.
WINDOW_MS = 1000
TRIAL_SHARE = 0.1

# The steps whose wall time is kept.
BEGAN = 'began'
GRAY = 'gray'
HEALED = 'healed'
DRAINED = 'drained'
ACCEPTED = 'accepted'
IN_FORCE = 'in-force'


class Story(typing.NamedTuple):
    """What happened in one run.

    :param answers: what callers got.
    :param skipped: requests not sent, because too many were outstanding.
    :param runs: what all upstreams ran.
    :param events: the merged time line.
    :param statuses: of the nodes, at the end.
    :param ended: how each process ended.
    :param marks: wall time of each step, ms.
    :param gray: the upstream that turned gray.
    :param drained: the upstream that left.
    :param problem: what kept the demo from its end, or empty.
    """

    answers: tuple[load.Answer, ...]
    skipped: int
    runs: tuple[runs.Run, ...]
    events: tuple[timeline.Event, ...]
    statuses: tuple[dict, ...]
    ended: tuple[fleet.Ended, ...]
    marks: dict[str, int]
    gray: str
    drained: str
    problem: str = ''


def first_event(story: Story, kind: str, upstream: str, after_ms: int):
    """Return the first event of a kind about an upstream, or None."""
    return next(
        (
            event
            for event in story.events
            if event.kind == kind
            and event.upstream == upstream
            and timeline.wall_ms(event.time) >= after_ms
        ),
        None,
    )


def starts(story: Story, upstream: str, after_ms: int) -> list[int]:
    """Return wall times at which an upstream began a run, in order."""
    return sorted(
        run.start_ms
        for run in story.runs
        if run.upstream == upstream and run.start_ms >= after_ms
    )


def detection_ms(story: Story, began_ms: int, ended_ms: int) -> int:
    """Return how long the gray upstream kept receiving work, in ms.

    That is until the last window in which it got more than trial work.
    """
    prefix = story.gray.rpartition('-')[0]
    peers = {
        run.upstream
        for run in story.runs
        if run.upstream.rpartition('-')[0] == prefix
    }
    every = sorted(
        itertools.chain.from_iterable(
            starts(story, peer, began_ms) for peer in peers
        )
    )
    count = bisect.bisect(every, ended_ms)
    fair = count / len(peers) * WINDOW_MS / max(ended_ms - began_ms, 1)
    own = [s for s in starts(story, story.gray, began_ms) if s < ended_ms]
    busy = (
        start
        for index, start in enumerate(own)
        if index + 1 - bisect.bisect(own, start - WINDOW_MS)
        > max(fair * TRIAL_SHARE, 1)
    )
    return max(busy, default=began_ms) - began_ms
