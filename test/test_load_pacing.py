"""Which long body goes next on a link, replayed without I/O."""

import collections
import random

from carawaystair.load import pacing

MBPS = 5.0
DOWNLOAD = 90_000


def replay(arrivals: list[tuple[float, int]]) -> list[float]:
    """Send bodies over one link; return how long each took, in seconds.

    :param arrivals: when each is ready, rising, and its bytes.
    """
    link = pacing.PacedLink(MBPS)
    yet = collections.deque(enumerate(arrivals))
    owners: dict[int, tuple[int, int]] = {}
    took: dict[int, float] = {}
    now = 0.0
    while yet or owners:
        while yet and yet[0][1][0] <= now:
            index, (at, size) = yet.popleft()
            place = link.queue_position(size, at)
            link.enqueue(place, size)
            owners[place.number] = index, size
        turn = link.pop_due(now)
        if turn is None:
            idle = not owners
            now = yet[0][1][0] if idle else now + link.wait_s(now) + 1e-9
            continue
        index, left = owners.pop(turn.position.number)
        left -= link.take_chunk(left, now)
        if left:
            link.enqueue(turn.position, left)
            owners[turn.position.number] = index, left
        else:
            took[index] = link.free_at - arrivals[index][0]
    return [took[index] for index in range(len(arrivals))]


def own_s(size: int) -> float:
    """Return the time that a body takes by itself."""
    return size / (pacing.LINK_SHARE * MBPS * pacing.BYTES_PER_S_PER_MBPS)


def test_equals_go_in_the_order_in_which_they_came():
    took = replay([(number / 1000, DOWNLOAD) for number in range(10)])
    ends = [number / 1000 + each for number, each in enumerate(took)]
    assert ends == sorted(ends)
    for number, each in enumerate(took):
        assert each <= own_s((number + 1) * DOWNLOAD) + pacing.CHUNK_S


def test_equals_of_one_moment_do_not_share_the_link():
    """Ten answers that were ready at one moment went in turns, a part each,
    and all of them were late.
    """
    took = replay([(0.0, DOWNLOAD)] * 10)
    for number, each in enumerate(took):
        assert each <= own_s((number + 1) * DOWNLOAD) + pacing.CHUNK_S


def test_body_waits_little_for_one_that_is_much_longer():
    """A body of 90 KB waited seconds for one of a megabyte."""
    _long, short = replay([(0.0, 1_000_000), (0.1, DOWNLOAD)])
    assert short <= own_s(DOWNLOAD) + 2 * pacing.CHUNK_S


def test_long_body_does_not_starve():
    """Were the shortest always first, a long body would wait for as long as
    short ones fill the link.
    """
    steady = [(0.2 * number, DOWNLOAD) for number in range(100)]
    took = replay([(0.0, 500_000), *steady])
    assert took[0] <= (pacing.DUE_FACTOR + 2) * own_s(500_000)


def test_link_carries_what_it_can_and_no_more():
    """Bytes that leave a host faster than its link carries them wait on the
    link, before all short messages.
    """
    rng = random.Random(5)
    link = pacing.PacedLink(MBPS)
    now, sent = 0.0, 0
    while now < 10.0:
        if link.wait_s(now) > 0.0:
            # Timers ring late.
            now += link.wait_s(now) + rng.uniform(0.0, 0.01)
            continue
        sent += link.take_chunk(DOWNLOAD, now)
        on_the_link_s = link.free_at - now
        assert on_the_link_s <= pacing.CHUNK_S + 1e-9
        assert sent <= link.bytes_per_s * (now + 2 * pacing.CHUNK_S) + 1
    assert sent >= 0.95 * link.bytes_per_s * now


def test_room_that_was_not_used_goes_to_the_next():
    link = pacing.PacedLink(MBPS)
    before = link.take_chunk(100, 0.0), link.free_at
    count = link.take_chunk(DOWNLOAD, 0.0)
    link.refund(count)
    assert abs(link.free_at - before[1]) < 1e-9
