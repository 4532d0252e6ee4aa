"""Works out docs/CAPACITY.md: what each role costs at the size to design for.

``python -m bench.capacity`` reads the newest slopes in ``bench/results`` and
writes the generated part of the page.  A test holds page and results
together.
"""

import pathlib
import typing

from bench import capacity_lines
from bench import results

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
BEGIN = '<!-- begin: worked out by bench/capacity.py -->'
END = '<!-- end -->'

LINE_HEAD = (
    '| what | messages/s | CPU us/s | bytes/s | memory MB | mechanism '
    '| basis |'
)


class Measured:
    """The newest figures and slopes by name; quick runs do not count."""

    def __init__(self, folder: pathlib.Path = results.FOLDER) -> None:
        self.values: dict[str, float] = {}
        self.sources: dict[str, str] = {}
        self.greatest: dict[str, float] = {}
        kept = [results.read(path) for path in folder.glob('*.json')]
        for result in sorted(kept, key=lambda each: each.date):
            if not result.quick:
                self._add(result)

    def _add(self, result: results.Result) -> None:
        for figure in result.figures:
            self.values[figure.name] = figure.value
            self.sources[figure.name] = result.name
        for slope in result.slopes:
            self.values[slope.name] = slope.slope
            self.values[slope.name + '.intercept'] = slope.intercept
            self.greatest[slope.name] = max(y for _x, y in slope.points)
            self.sources[slope.name] = result.name

    def __getitem__(self, name: str) -> float:
        return self.values[name]

    def get(self, name: str, otherwise: float) -> float:
        """Return a measured value, or ``otherwise`` before it was."""
        return self.values.get(name, otherwise)


def _number(value: float) -> str:
    if not value:
        return ''
    return '%.3g' % value if abs(value) < 1000 else '{:,.0f}'.format(value)


def _line(line: capacity_lines.Line) -> str:
    cells = (
        line.what,
        _number(line.messages_s),
        _number(line.cpu_us_s),
        _number(line.bytes_s),
        _number(line.memory_mb),
        line.mechanism,
        line.basis,
    )
    return '| %s |' % ' | '.join(cells)


def _total(lines: typing.Sequence[capacity_lines.Line]) -> str:
    sums = (
        sum(line.messages_s for line in lines),
        sum(line.cpu_us_s for line in lines),
        sum(line.bytes_s for line in lines),
        sum(line.memory_mb for line in lines),
    )
    return '| **sum** | %s | | |' % ' | '.join(map(_number, sums))


def _role(role: capacity_lines.Role) -> str:
    return '\n'.join(
        (
            '### %s' % role.name,
            '',
            role.text,
            '',
            LINE_HEAD,
            '|%s' % (' --- |' * 7),
            *map(_line, role.lines),
            _total(role.lines),
            '',
        )
    )


def _bound(row: capacity_lines.Bound) -> str:
    cells = (row.what, row.bound, row.reckoned, row.margin, row.mechanism)
    return '| %s | %s |' % (' | '.join(cells), row.basis)


def generated(measured: Measured) -> str:
    """Return the generated part of the page."""
    bounds = capacity_lines.bounds(measured)
    return '\n'.join(
        (
            BEGIN,
            '',
            '## Every number of the letter',
            '',
            '| what | bound | reckoned | margin | mechanism | basis |',
            '|%s' % (' --- |' * 6),
            *map(_bound, bounds),
            '',
            '## Roles',
            '',
            *map(_role, capacity_lines.roles(measured)),
            END,
        )
    )


def page(text: str, measured: Measured) -> str:
    """Return the page with its generated part made anew."""
    head = text[: text.index(BEGIN)]
    tail = text[text.index(END) + len(END) :]
    return head + generated(measured) + tail


def main() -> None:
    """Write the page."""
    PAGE.write_text(page(PAGE.read_text(), Measured()))


if __name__ == '__main__':
    main()
