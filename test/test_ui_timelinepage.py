"""Tests of the HTML page of the time line."""

from html import parser

from carawaystair import timeline
from carawaystair.ui import timelinepage
from test import fakes


class PageParser(parser.HTMLParser):
    """Collects rows, colours of dots and URLs that a browser would load."""

    def __init__(self):
        super().__init__()
        self.rows = 0
        self.dot_colours = []
        self.urls = []

    def handle_starttag(self, tag, attrs):
        values = dict(attrs)
        self.rows += tag == 'tr'
        if tag == 'circle':
            self.dot_colours.append(values['fill'])
        self.urls += [v for k, v in attrs if k in ('src', 'href')]


def _parse(*events):
    page = PageParser()
    text = timelinepage.page(events)
    page.feed(text)
    return page, text


def test_each_event_has_a_dot_and_a_row_and_nothing_is_loaded():
    start = fakes.WALL_START_MS << 16
    page, text = _parse(
        timeline.Event(start, 'a', 'upstream-ejected', upstream='portal-1'),
        timeline.Event(start + 1, 'b', 'something-else'),
    )
    assert page.rows == 2
    assert page.dot_colours == [timelinepage.BAD, timelinepage.NEUTRAL]
    assert page.urls == []
    assert '22:13:20.000' in text
    assert '2 events of 2 hosts' in text


def test_text_of_an_event_cannot_run_in_the_browser():
    """Guards against script injection through names of upstreams.

    An upstream chooses the name that it announces.  If the page contained
    the name without escaping, markup in it would run as a script in the
    browser of whoever opens the page.
    """
    script = '<script>alert(1)</script>'
    event = timeline.Event(0, script, script, script, script, text=script)
    _page, text = _parse(event)
    assert script not in text


def test_empty_time_line_gives_a_page_without_rows():
    page, text = _parse()
    assert page.rows == 0
    assert '0 events of 0 hosts' in text
