"""Runs experiments: ``python -m bench.run [NAME ...]``."""

import argparse
import importlib
import pathlib
import pkgutil
import sys
import time
import traceback

import bench
from bench import figures
from bench import machine
from bench import results

PREFIX = 'exp_'
DEFAULT_SEED = 1
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
# Above this spread of a fixed piece of work, figures deserve little trust.
NOISY_SPREAD = 0.5


def names() -> list[str]:
    """Return the names of all experiments."""
    return sorted(
        info.name.removeprefix(PREFIX)
        for info in pkgutil.iter_modules(bench.__path__)
        if info.name.startswith(PREFIX)
    )


def load(name: str) -> figures.Experiment:
    """Import an experiment."""
    return importlib.import_module('bench.%s%s' % (PREFIX, name))


def run(
    name: str, experiment: figures.Experiment, seed: int, quick: bool
) -> results.Result:
    """Run one experiment and return its result."""
    commit = results.commit()
    before = machine.noise()
    started = time.perf_counter()
    found = experiment.run(seed, quick)
    took_s = time.perf_counter() - started
    return results.Result(
        name,
        experiment.TITLE,
        commit,
        results.now(),
        seed,
        quick,
        round(took_s, 3),
        machine.machine(),
        before,
        machine.noise(),
        tuple(item for item in found if isinstance(item, figures.Figure)),
        tuple(item for item in found if isinstance(item, figures.Slope)),
    )


# Printing


def number(value: float) -> str:
    """Return a number with four digits that count."""
    return '%.4g' % value if abs(value) < 10_000 else '%.0f' % value


def figure_row(figure: figures.Figure) -> tuple[str, ...]:
    """Return the cells of a figure."""
    interval = ''
    if figure.low is not None and figure.high is not None:
        interval = '%s .. %s' % (number(figure.low), number(figure.high))
    return (
        figure.name,
        number(figure.value),
        figure.unit,
        interval,
        str(figure.samples),
        figure.note,
    )


def slope_row(slope: figures.Slope) -> tuple[str, ...]:
    """Return the cells of a slope."""
    return (
        slope.name,
        number(slope.slope),
        slope.unit,
        'from %s, r2 %.3f' % (number(slope.intercept), slope.r2),
        str(len(slope.points)),
        ' '.join('%s:%s' % tuple(map(number, p)) for p in slope.points),
    )


def table(rows: list[tuple[str, ...]]) -> str:
    """Return rows in columns."""
    widths = [max(map(len, column)) for column in zip(*rows)]
    return '\n'.join(
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths))
        .rstrip()
        .join(('  ', ''))
        for row in rows
    )


def show(result: results.Result) -> str:
    """Return a result as text."""
    noise = max(result.before.spread, result.after.spread)
    head = '%s: %s' % (result.name, result.title)
    facts = '  commit %s, seed %d, %.1f s, load %.1f, spread of noise %.0f%%'
    rows = [('figure', 'value', 'unit', '95% interval', 'samples', 'note')]
    rows.extend(map(figure_row, result.figures))
    rows.extend(map(slope_row, result.slopes))
    lines = [
        head,
        facts
        % (
            result.commit,
            result.seed,
            result.took_s,
            result.after.load,
            noise * 100,
        ),
        table(rows),
    ]
    if noise > NOISY_SPREAD:
        lines.append('  The machine was busy: compare ratios only.')
    return '\n'.join(lines)


def show_changes(old: results.Result, new: results.Result) -> str:
    """Return a comparison as text."""
    rows = [('figure', old.commit, new.commit, 'new/old', 'unit', '')]
    rows.extend(
        (
            change.name,
            number(change.old),
            number(change.new),
            '' if change.ratio is None else '%.3f' % change.ratio,
            change.unit,
            'intervals apart' if change.clear else '',
        )
        for change in results.compare(old, new)
    )
    return table(rows)


# Command line


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    result = argparse.ArgumentParser(
        prog='python -m bench.run',
        description='Run experiments and keep their results.',
        epilog='Example: python -m bench.run latency --compare 64d1dd5',
    )
    result.add_argument('names', nargs='*', help='experiments; none: all')
    result.add_argument('--list', action='store_true', help='name them all')
    result.add_argument('--seed', type=int, default=DEFAULT_SEED)
    result.add_argument(
        '--quick', action='store_true', help='short runs that prove little'
    )
    result.add_argument('--compare', metavar='COMMIT', default='')
    result.add_argument('--folder', type=pathlib.Path, default=results.FOLDER)
    return result


def measure(name: str, options: argparse.Namespace) -> None:
    """Run one experiment, print it and keep it."""
    result = run(name, load(name), options.seed, options.quick)
    print(show(result))
    target = results.write(result, options.folder)
    print('  kept in %s' % target)
    if options.compare:
        old = results.find(name, options.compare, options.folder)
        missing = '  no result of commit %s' % options.compare
        print(show_changes(old, result) if old else missing)
    print(flush=True)


def main(arguments: list[str] | None = None) -> int:
    """Entry point."""
    options = parser().parse_args(arguments)
    known = names()
    if options.list:
        for name in known:
            print('%s: %s' % (name, load(name).TITLE))
        return EXIT_OK
    unknown = [name for name in options.names if name not in known]
    if unknown:
        text = 'no experiment is named %s; there are: %s'
        print(text % (unknown[0], ', '.join(known)), file=sys.stderr)
        return EXIT_USAGE
    failed = []
    for name in options.names or known:
        try:
            measure(name, options)
        except Exception:
            # One broken experiment must not cost the others their results.
            failed.append(name)
            print('%s failed:' % name, file=sys.stderr)
            traceback.print_exc()
    return EXIT_FAILED if failed else EXIT_OK


if __name__ == '__main__':
    sys.exit(main())
