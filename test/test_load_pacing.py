"""Order and rate of long bodies on a link, replayed without I/O."""

import collections
import random

from carawaystair.load import pacing

MBPS = 5.0
DOWNLOAD = 90_000


def replay(arrivals: list[tuple[float, int]]) -> list[float]:
    """Send bodies over one link; return how long each took, in seconds.

    :param arrivals: time at which each is ready, ascending, and its size.
    """
    link = pacing.PacedLink(MBPS)
    pending = collections.deque(enumerate(arrivals))
    owners: dict[int, tuple[int, int]] = {}
    durations: dict[int, float] = {}
    now = 0.0
    while pending or owners:
        while pending and pending[0][1][0] <= now:
            index, (at, size) = pending.popleft()
            position = link.queue_position(size, at)
            link.enqueue(position, size)
            owners[position.number] = index, size
        body = link.pop_due(now)
        if body is None:
            idle = not owners
            now = pending[0][1][0] if idle else now + link.wait_s(now) + 1e-9
            continue
        index, remaining = owners.pop(body.position.number)
        remaining -= link.take_chunk(remaining, now)
        if remaining:
            link.enqueue(body.position, remaining)
            owners[body.position.number] = index, remaining
        else:
            durations[index] = link.free_at - arrivals[index][0]
    return [durations[index] for index in range(len(arrivals))]


def duration_alone_s(size: int) -> float:
    """Return the seconds that a body takes alone."""
    return size / (pacing.LINK_SHARE * MBPS * pacing.BYTES_PER_S_PER_MBPS)


def test_equal_bodies_go_in_order_of_arrival():
    durations = replay([(number / 1000, DOWNLOAD) for number in range(10)])
    ends = [number / 1000 + each for number, each in enumerate(durations)]
    assert ends == sorted(ends)
    for number, each in enumerate(durations):
        assert (
            each <= duration_alone_s((number + 1) * DOWNLOAD) + pacing.CHUNK_S
        )


def test_simultaneous_equal_bodies_do_not_share_the_link():
    """Guards against sending chunks of equal bodies in turn: ten answers that
    were ready at the same time were all late.
    """
    durations = replay([(0.0, DOWNLOAD)] * 10)
    for number, each in enumerate(durations):
        assert (
            each <= duration_alone_s((number + 1) * DOWNLOAD) + pacing.CHUNK_S
        )


def test_body_does_not_wait_long_for_a_much_longer_one():
    """Guards against a body of 90 KB that waits seconds for one of 1 MB."""
    _long, short = replay([(0.0, 1_000_000), (0.1, DOWNLOAD)])
    assert short <= duration_alone_s(DOWNLOAD) + 2 * pacing.CHUNK_S


def test_long_body_does_not_starve():
    """Guards against sending the shortest body first: a long one would wait as
    long as short ones fill the link.
    """
    steady = [(0.2 * number, DOWNLOAD) for number in range(100)]
    durations = replay([(0.0, 500_000), *steady])
    assert durations[0] <= (pacing.DUE_FACTOR + 2) * duration_alone_s(500_000)


def test_link_is_used_fully_and_not_exceeded():
    """Guards against sending faster than the link: the excess bytes would wait
    in the link, ahead of short messages.
    """
    rng = random.Random(5)
    link = pacing.PacedLink(MBPS)
    now, sent = 0.0, 0
    while now < 10.0:
        if link.wait_s(now) > 0.0:
            # Timers fire late.
            now += link.wait_s(now) + rng.uniform(0.0, 0.01)
            continue
        sent += link.take_chunk(DOWNLOAD, now)
        on_the_link_s = link.free_at - now
        assert on_the_link_s <= pacing.CHUNK_S + 1e-9
        assert sent <= link.bytes_per_s * (now + 2 * pacing.CHUNK_S) + 1
    assert sent >= 0.95 * link.bytes_per_s * now


def test_refunded_bytes_are_available_again():
    link = pacing.PacedLink(MBPS)
    before = link.take_chunk(100, 0.0), link.free_at
    count = link.take_chunk(DOWNLOAD, 0.0)
    link.refund(count)
    assert abs(link.free_at - before[1]) < 1e-9
