"""What the lines about decisions cost, for a request that goes well."""

import os
import statistics
import time

from bench import figures
from carawaystair import decisions
from carawaystair import output

TITLE = 'Lines of decisions: processor time a request'

ROUNDS = 20
REQUESTS = 1000
PLENTY = 10**9
# What is told of a request that goes well: one line at its node and one at
# the gateway for its beginning and its end each.
STORY = (
    decisions.Offered(
        'c5f1d0a2b3e4f567',
        'portal',
        'portal-17',
        '10.1.0.41',
        '2.17',
        1,
        1900,
        True,
        False,
        False,
        120,
        2,
        8,
        '',
        -1,
        0,
    ),
    decisions.Began(
        'c5f1d0a2b3e4f567',
        'portal-17',
        '10.1.0.42',
        0,
        2,
        0,
        5,
        1890,
        False,
        'portal',
        1,
        '',
        '',
        -1,
        -1,
        118,
        410,
        300,
        -1,
    ),
    decisions.Ended(
        'c5f1d0a2b3e4f567',
        'portal-17',
        'good',
        200,
        120,
        4,
        'q3Zk0cVbT1mYw8aR',
        '',
    ),
    decisions.Answered(
        'c5f1d0a2b3e4f567',
        'route/h/read/',
        'portal',
        200,
        'complete',
        'CS-0000',
        1,
        124,
        'q3Zk0cVbT1mYw8aR',
        '10.1.0.7:40112',
        3,
        0,
        False,
        '',
        0,
    ),
)


def _times(sink: output.Output | None, room: int, rounds: int) -> list[float]:
    """Return the processor time a request of each round, microseconds.

    The time of the thread that writes is in it.

    :param room: lines of a sort that may be written.
    """
    recorder = decisions.Recorder('10.1.0.42', sink)
    recorder.room = output.Room(dict.fromkeys(decisions.ROOM, room))
    found = []
    for _round in range(rounds):
        begin = time.process_time()
        for _request in range(REQUESTS):
            # Each request begins a second of its own.
            recorder.room.second = 0
            for event in STORY:
                recorder.tell(event)
        if sink is not None:
            sink.close()
        found.append((time.process_time() - begin) * 1e6 / REQUESTS)
    return found


def run(seed: int, quick: bool) -> list:
    """Measure lines that are written, that are left out, and none."""
    del seed
    rounds = ROUNDS // 4 if quick else ROUNDS
    with open(os.devnull, 'wb') as nowhere:
        sink = output.Output(nowhere.fileno())
        times = {
            'written': _times(sink, PLENTY, rounds),
            'left_out': _times(sink, 0, rounds),
            'none': _times(None, PLENTY, rounds),
        }
    return [
        figures.bootstrap(
            'logging.%s' % name, 'us/request', found, statistics.median
        )
        for name, found in times.items()
    ]
