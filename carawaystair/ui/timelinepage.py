"""Self-contained HTML page of the time line.

Each host has a vertical lane.  Each event is a dot in the lane of its host and
a row of a table, in causal order from top to bottom.  A search field fades
the rows that do not contain all of its words.
"""

import html
import typing

from carawaystair import timeline

LANE_WIDTH_PX = 26
ROW_HEIGHT_PX = 22
DOT_RADIUS_PX = 5
MARGIN_PX = 14

# Colours of the kinds of events by severity; other kinds are gray.
BAD = '#c0392b'
WARNING = '#d68910'
GOOD = '#1e8449'
NEUTRAL = '#85929e'
COLOURS = {
    'invariant-broken': BAD,
    'all-upstreams-bad': BAD,
    'member-dead': BAD,
    'upstream-ejected': BAD,
    'ejection-refused-floor': BAD,
    'member-suspected': WARNING,
    'upstream-suspected': WARNING,
    'upstream-draining': WARNING,
    'upstream-leaving': WARNING,
    'upstream-limited': WARNING,
    'path-suspected': WARNING,
    'member-back': GOOD,
    'upstream-returned': GOOD,
    'upstream-unlimited': GOOD,
    'upstream-up': GOOD,
    'version-in-force': GOOD,
    'manifest-accepted': GOOD,
}

HEAD = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body { font: 14px/22px system-ui, sans-serif; margin: 1em; }
.view { display: flex; }
table { border-collapse: collapse; }
td { height: 22px; padding: 0 .6em; white-space: nowrap; }
td.time, td.kind { font-family: monospace; }
tr.hidden td { opacity: .12; }
input { width: 30em; margin: 0 0 1em; font: inherit; }
</style></head><body>
<h1>Time line</h1>
<p>%s</p>
<input id="words" placeholder="words that a row must contain">
<div class="view">
"""

TAIL = """</div>
<script>
document.getElementById('words').addEventListener('input', function (event) {
  const words = event.target.value.toLowerCase().split(/\\s+/);
  document.querySelectorAll('tbody tr').forEach(function (row) {
    const text = row.textContent.toLowerCase();
    const shown = words.every(function (word) { return text.includes(word); });
    row.classList.toggle('hidden', !shown);
  });
});
</script></body></html>
"""


def page(events: typing.Sequence[timeline.Event]) -> str:
    """Return the HTML page.

    :param events: in causal order.
    """
    hosts = sorted({event.host for event in events})
    lanes = {host: lane for lane, host in enumerate(hosts)}
    summary = '%d events of %d hosts; times in UTC' % (len(events), len(hosts))
    return ''.join(
        (
            HEAD % summary,
            _svg(events, lanes),
            '<table><tbody>\n',
            *map(_row, events),
            '</tbody></table>\n',
            TAIL,
        )
    )


def _svg(events, lanes: dict[str, int]) -> str:
    height = len(events) * ROW_HEIGHT_PX
    width = MARGIN_PX * 2 + max(len(lanes) - 1, 0) * LANE_WIDTH_PX
    lines = (
        '<line x1="{0}" x2="{0}" y1="0" y2="{1}" stroke="#d5d8dc">'
        '<title>{2}</title></line>\n'.format(
            _x(lane), height, html.escape(host)
        )
        for host, lane in lanes.items()
    )
    dots = (
        '<circle cx="%d" cy="%d" r="%d" fill="%s"><title>%s %s</title>'
        '</circle>\n'
        % (
            _x(lanes[event.host]),
            index * ROW_HEIGHT_PX + ROW_HEIGHT_PX // 2,
            DOT_RADIUS_PX,
            COLOURS.get(event.kind, NEUTRAL),
            html.escape(event.host),
            html.escape(event.kind),
        )
        for index, event in enumerate(events)
    )
    return '<svg width="%d" height="%d">\n%s%s</svg>\n' % (
        width,
        height,
        ''.join(lines),
        ''.join(dots),
    )


def _x(lane: int) -> int:
    """Return the x coordinate of the centre of a lane, in pixels."""
    return MARGIN_PX + lane * LANE_WIDTH_PX


def _row(event: timeline.Event) -> str:
    subjects = (event.service, event.upstream, event.request, event.version)
    cells = (
        ('time', timeline.clock_text(event.time)),
        ('host', event.host),
        ('kind', event.kind),
        ('named', ' '.join(filter(None, subjects))),
        ('text', event.text),
    )
    inner = ''.join(
        '<td class="%s">%s</td>' % (name, html.escape(text))
        for name, text in cells
    )
    return '<tr>%s</tr>\n' % inner
