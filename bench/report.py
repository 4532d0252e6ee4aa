"""One HTML page of the newest results: ``python -m bench.report``.

The page stands alone: styles and plots are within it.  Plots are drawn by
matplotlib (the extra ``plot``); without it, slopes get a plain drawing.
"""

import argparse
import html
import io
import pathlib
import re
import sys
import typing

from bench import figures
from bench import results
from bench import run

DEFAULT_TARGET = pathlib.Path('build') / 'bench.html'
PLOT_INCHES = (4.6, 3.0)
PLOT_PIXELS = (420, 260)
PLOT_MARGIN = 34
# Bars begin behind the longest name, pixels; one row is so high.
BARS_LEFT = 190
BARS_ROW = 18
# Fewer figures than these are seen well enough in the table.
BARS_LEAST = 4

STYLE = """
body { font: 15px/1.5 sans-serif; max-width: 62em; margin: 2em auto; }
table { border-collapse: collapse; margin: 0.6em 0; }
td, th { padding: 0.15em 0.9em 0.15em 0; text-align: left;
  border-bottom: 1px solid #ddd; vertical-align: top; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
.facts { color: #666; }
"""


def pyplot() -> typing.Any:
    """Return matplotlib's plotting module, None where it is missing."""
    try:
        import matplotlib
    except ImportError:
        return None
    matplotlib.use('svg')
    # Text stays text, and ids come out the same each time.
    matplotlib.rcParams.update(
        {'svg.fonttype': 'none', 'svg.hashsalt': 'bench'}
    )
    return __import__('matplotlib.pyplot').pyplot


def plot(slope: figures.Slope) -> str:
    """Return an SVG drawing of a slope."""
    library = pyplot()
    if library is None:
        return plain_plot(slope)
    figure, axes = library.subplots(figsize=PLOT_INCHES)
    xs, ys = zip(*slope.points)
    ends = (min(xs), max(xs))
    axes.plot(xs, ys, 'o')
    axes.plot(ends, [slope.intercept + slope.slope * x for x in ends], '-')
    axes.set_title(slope.name, fontsize=9)
    axes.set_ylabel(slope.unit, fontsize=8)
    axes.grid(alpha=0.3)
    figure.tight_layout()
    buffer = io.StringIO()
    figure.savefig(buffer, format='svg', metadata={'Date': None})
    library.close(figure)
    return embedded(buffer.getvalue())


def embedded(svg: str) -> str:
    """Return an SVG file's drawing as it may stand within HTML."""
    svg = svg[svg.index('<svg') :]
    return re.sub(r'<metadata>.*?</metadata>', '', svg, flags=re.DOTALL)


def plain_plot(slope: figures.Slope) -> str:
    """Return a drawing of a slope without a plotting library."""
    width, height = PLOT_PIXELS
    xs, ys = zip(*slope.points)
    high_x = max(xs) or 1
    high_y = max(*ys, 0) or 1

    def _place(x: float, y: float) -> tuple[float, float]:
        across = PLOT_MARGIN + x / high_x * (width - 2 * PLOT_MARGIN)
        down = height - PLOT_MARGIN
        return across, down - y / high_y * (height - 2 * PLOT_MARGIN)

    dots = ''.join(
        '<circle cx="%.1f" cy="%.1f" r="3"/>' % _place(x, y)
        for x, y in slope.points
    )
    ends = [
        _place(x, slope.intercept + slope.slope * x)
        for x in (min(xs), max(xs))
    ]
    line = '<polyline points="%s" fill="none" stroke="#555"/>' % ' '.join(
        '%.1f,%.1f' % end for end in ends
    )
    text = '<text x="8" y="16" font-size="12">%s</text>' % html.escape(
        '%s up to %s at %s' % (slope.name, run.number(max(ys)), max(xs))
    )
    return '<svg width="%d" height="%d">%s%s%s</svg>' % (
        width,
        height,
        dots,
        line,
        text,
    )


def bars(found: typing.Sequence[figures.Figure]) -> str:
    """Return a drawing of figures of one unit beside each other.

    A line shows the interval of each.  Empty where they can't be compared.
    """
    ranged = [one for one in found if one.low is not None]
    if len(ranged) < BARS_LEAST or len({one.unit for one in ranged}) > 1:
        return ''
    low = min(0.0, *(one.low for one in ranged))
    high = max(0.0, *(one.high for one in ranged))
    width = BARS_LEFT + PLOT_PIXELS[0]
    scale = (PLOT_PIXELS[0] - PLOT_MARGIN) / ((high - low) or 1.0)

    def _across(value: float) -> float:
        return BARS_LEFT + (value - low) * scale

    rows = ''.join(
        _bar(one, (number + 0.5) * BARS_ROW, _across)
        for number, one in enumerate(ranged)
    )
    zero = '<path d="M%.1f 0V%d" stroke="#999"/>' % (
        _across(0.0),
        len(ranged) * BARS_ROW,
    )
    return '<svg width="%d" height="%d" font-size="12">%s%s</svg>' % (
        width,
        len(ranged) * BARS_ROW,
        zero,
        rows,
    )


def _bar(
    one: figures.Figure, down: float, across: typing.Callable[[float], float]
) -> str:
    """Return the drawing of one figure: name, interval and value.

    :param down: the middle of its row, pixels.
    :param across: where a value is drawn, pixels.
    """
    text = '<text x="0" y="%.1f">%s</text>' % (
        down + 4,
        html.escape(one.name),
    )
    line = '<path d="M%.1f %.1fH%.1f" stroke="#555"/>' % (
        across(one.low),
        down,
        across(one.high),
    )
    dot = '<circle cx="%.1f" cy="%.1f" r="3"/>' % (across(one.value), down)
    return text + line + dot


def cells(row: typing.Sequence[str], numbers: typing.Container[int]) -> str:
    """Return a table row."""
    return '<tr>%s</tr>' % ''.join(
        '<td%s>%s</td>'
        % (' class="number"' if at in numbers else '', html.escape(cell))
        for at, cell in enumerate(row)
    )


def section(result: results.Result) -> str:
    """Return the part of the page about one experiment."""
    heads = ('figure', 'value', 'unit', '95% interval', 'samples', 'note')
    head = ''.join('<th>%s</th>' % name for name in heads)
    rows = [run.figure_row(item) for item in result.figures]
    rows.extend(run.slope_row(item) for item in result.slopes)
    facts = 'commit %s, %s, seed %d, %.1f s, Python %s, %d cores, %s' % (
        result.commit,
        result.date,
        result.seed,
        result.took_s,
        result.machine.python,
        result.machine.cores,
        'load %.1f' % result.after.load,
    )
    return '\n'.join(
        [
            '<h2>%s</h2>' % html.escape(result.name),
            '<p>%s</p>' % html.escape(result.title),
            '<p class="facts">%s</p>' % html.escape(facts),
            '<table><tr>%s</tr>' % head,
            *(cells(row, (1, 4)) for row in rows),
            '</table>',
            bars(result.figures),
            *map(plot, result.slopes),
        ]
    )


def page(every: typing.Sequence[results.Result]) -> str:
    """Return the whole page."""
    return '\n'.join(
        [
            '<!DOCTYPE html><html lang="en"><meta charset="utf-8">',
            '<title>carawaystair: measurements</title>',
            '<style>%s</style>' % STYLE,
            '<h1>Measurements</h1>',
            *map(section, every),
            '</html>',
        ]
    )


def main(arguments: list[str] | None = None) -> int:
    """Write the page."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.report', description=__doc__
    )
    parser.add_argument('--folder', type=pathlib.Path, default=results.FOLDER)
    parser.add_argument('--out', type=pathlib.Path, default=DEFAULT_TARGET)
    options = parser.parse_args(arguments)
    every = results.newest(options.folder)
    options.out.parent.mkdir(parents=True, exist_ok=True)
    options.out.write_text(page(every))
    print('%d experiments on %s' % (len(every), options.out))
    return 0


if __name__ == '__main__':
    sys.exit(main())
