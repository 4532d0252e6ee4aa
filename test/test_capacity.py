"""Tests of the page on capacity."""

from bench import capacity


def test_page_is_worked_out_from_the_newest_results():
    text = capacity.PAGE.read_text()
    fresh = capacity.page(text, capacity.Measured())
    assert text == fresh, 'run "python -m bench.capacity"'
