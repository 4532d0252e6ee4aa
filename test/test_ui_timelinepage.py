"""Tests of the time line as a page."""

from html import parser

from carawaystair import timeline
from carawaystair.ui import timelinepage
from test import fakes


class Reader(parser.HTMLParser):
    """Collects what a page shows and what it would fetch."""

    def __init__(self):
        super().__init__()
        self.rows = 0
        self.dots = []
        self.fetched = []

    def handle_starttag(self, tag, attrs):
        values = dict(attrs)
        self.rows += tag == 'tr'
        if tag == 'circle':
            self.dots.append(values['fill'])
        self.fetched += [v for k, v in attrs if k in ('src', 'href')]


def _read(*events):
    reader = Reader()
    text = timelinepage.page(events)
    reader.feed(text)
    return reader, text


def test_each_event_has_a_dot_and_a_row_and_nothing_is_fetched():
    start = fakes.WALL_START_MS << 16
    reader, text = _read(
        timeline.Event(start, 'a', 'upstream-ejected', upstream='portal-1'),
        timeline.Event(start + 1, 'b', 'something-else'),
    )
    assert reader.rows == 2
    assert reader.dots == [timelinepage.BAD, timelinepage.NEUTRAL]
    assert reader.fetched == []
    assert '22:13:20.000' in text
    assert '2 events of 2 hosts' in text


def test_text_of_an_event_cannot_run_in_the_browser():
    """An upstream's name comes from whoever announces it.

    Symptom: opening the page runs a stranger's script.  Sequence: an
    upstream announces itself under a name with markup.  Cause: names that
    go into the page as they are.
    """
    script = '<script>alert(1)</script>'
    event = timeline.Event(0, script, script, script, script, text=script)
    _reader, text = _read(event)
    assert script not in text


def test_empty_time_line_is_a_page_too():
    reader, text = _read()
    assert reader.rows == 0
    assert '0 events of 0 hosts' in text
