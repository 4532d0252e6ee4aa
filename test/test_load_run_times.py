"""How long runs may take, from those that have ended."""

from carawaystair.load import run_times


def test_runs_that_go_on_are_no_evidence_of_short_ones():
    """Guards against an expectation from the first runs to end alone."""
    times = run_times.RunTimes()
    for _number in range(5):
        short = times.begin('pay', 0.0)
        times.begin('pay', 0.0)
        times.end(short, True, 0.1)
    assert times.ended('pay') == (5, 0.1)
    assert times.oldest_s('pay', 3.0) == 3.0
    assert times.oldest_s('read', 3.0) == 0.0


def test_failures_are_no_evidence_of_what_runs_take():
    """Guards against bounds from an upstream that fails at once or hangs."""
    times = run_times.RunTimes()
    for took_s in (0.001, 6.0):
        times.end(times.begin('pay', 0.0), False, took_s)
    assert times.ended('pay') == run_times.NONE
    assert times.oldest_s('pay', 9.0) == 0.0


def test_longest_run_counts_until_many_others_have_ended():
    """Guards against one slow hour that binds all stops after it."""
    times = run_times.RunTimes()
    lengths = [3.0] + [0.1] * (2 * run_times.WINDOW_RUNS)
    longest = []
    for took_s in lengths:
        times.end(times.begin('pay', 0.0), True, took_s)
        longest.append(times.ended('pay').longest_s)
    assert set(longest[: run_times.WINDOW_RUNS]) == {3.0}
    assert longest[-1] == 0.1


def test_runs_of_other_processes_count_until_others_tell():
    """Guards against a process that starts from nothing, or hears for ever."""
    times = run_times.RunTimes()
    for number in range(2 * run_times.MAX_TELLERS):
        times.hear('node %d' % number, {'pay': run_times.Seen(10, 9 - number)})
    assert len(times.told) == run_times.MAX_TELLERS
    assert times.seen('pay') == (10 * run_times.MAX_TELLERS, 1)
    assert times.ended('pay') == run_times.NONE


def test_runs_at_the_same_time_end_apart():
    """Guards against a hedge on the same host that ends the first run."""
    times = run_times.RunTimes()
    first, second = times.begin('pay', 0.0), times.begin('pay', 1.0)
    times.end(second, True, 2.0)
    assert (times.ended('pay'), times.oldest_s('pay', 3.0)) == ((1, 1.0), 3.0)
    times.end(first, True, 4.0)
    assert (times.ended('pay'), times.oldest_s('pay', 5.0)) == ((2, 4.0), 0.0)
