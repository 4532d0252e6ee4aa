"""Results of experiments on disk, one JSON file for each run."""

import datetime
import pathlib
import subprocess
import typing

import msgspec

from bench import figures
from bench import machine
from carawaystair import shape

FOLDER = pathlib.Path(__file__).parent / 'results'
UNKNOWN_COMMIT = 'unknown'
# Commits are shortened so, in file names too.
COMMIT_DIGITS = 10
QUICK = 'quick'


class Result(typing.NamedTuple):
    """What one run of an experiment brought.

    :param name: name of the experiment.
    :param title: its title.
    :param commit: the commit that ran; ``+`` at its end tells of changes
        that were not committed.
    :param date: when it ran, ISO 8601 in UTC.
    :param seed: its seed.
    :param quick: whether it was a short run, which counts for nothing.
    :param took_s: how long it took, seconds.
    :param machine: what it ran on.
    :param before: noise of the machine before the run.
    :param after: and after it.
    :param figures: the figures.
    :param slopes: the slopes.
    """

    name: str
    title: str
    commit: str
    date: str
    seed: int
    quick: bool
    took_s: float
    machine: machine.Machine
    before: machine.Noise
    after: machine.Noise
    figures: tuple[figures.Figure, ...]
    slopes: tuple[figures.Slope, ...]


class Change(typing.NamedTuple):
    """One figure in two results.

    :param name: name of the figure.
    :param unit: its unit.
    :param old: the earlier value.
    :param new: the later value.
    :param clear: whether the two 95% intervals lie apart.
    """

    name: str
    unit: str
    old: float
    new: float
    clear: bool

    @property
    def ratio(self) -> float | None:
        """Return new over old, None where old is 0."""
        return self.new / self.old if self.old else None


def commit() -> str:
    """Return the commit checked out, with ``+`` when files differ."""
    head = _git('rev-parse', '--short=%d' % COMMIT_DIGITS, 'HEAD')
    # Results themselves are no reason to call a tree changed.
    changed = _git('status', '--porcelain', '--', '.', ':!bench/results')
    if head is None:
        return UNKNOWN_COMMIT
    return head + ('+' if changed else '')


def _git(*arguments: str) -> str | None:
    try:
        done = subprocess.run(
            ('git', *arguments),
            capture_output=True,
            text=True,
            check=True,
            cwd=FOLDER.parent.parent,
        )
    except (OSError, subprocess.CalledProcessError):
        return None
    return done.stdout.strip()


def now() -> str:
    """Return the time of day, ISO 8601 in UTC."""
    return datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds')


def path(result: Result, folder: pathlib.Path = FOLDER) -> pathlib.Path:
    """Return where a result is kept; short runs are kept apart."""
    name = '%s-%s.json' % (result.name, result.commit)
    return folder / QUICK / name if result.quick else folder / name


def write(result: Result, folder: pathlib.Path = FOLDER) -> pathlib.Path:
    """Write a result, over that of an earlier run at the same commit."""
    target = path(result, folder)
    target.parent.mkdir(parents=True, exist_ok=True)
    data = msgspec.json.encode(shape.plain(result))
    target.write_bytes(msgspec.json.format(data, indent=1) + b'\n')
    return target


def read(source: pathlib.Path) -> Result:
    """Read a result.

    :raises ValueError: when the file is no result.
    """
    mistakes: list[shape.Mistake] = []
    document = msgspec.json.decode(source.read_bytes())
    result = shape.build(Result, document, '$', mistakes)
    if result is None:
        raise ValueError('%s: %s' % (source, mistakes[0]))
    return result


def find(
    name: str, prefix: str, folder: pathlib.Path = FOLDER
) -> Result | None:
    """Return the result of an experiment at a commit.

    :param prefix: first digits of the commit.
    """
    found = sorted(folder.glob('%s-%s*.json' % (name, prefix)))
    return read(found[0]) if found else None


def newest(folder: pathlib.Path = FOLDER) -> list[Result]:
    """Return the newest result of each experiment, by name."""
    every = sorted(map(read, folder.glob('*.json')), key=lambda r: r.date)
    return [
        result for _n, result in sorted({r.name: r for r in every}.items())
    ]


def compare(old: Result, new: Result) -> list[Change]:
    """Return the figures and slopes that both results have."""
    earlier = {figure.name: figure for figure in old.figures}
    changes = [
        Change(
            figure.name,
            figure.unit,
            earlier[figure.name].value,
            figure.value,
            apart(earlier[figure.name], figure),
        )
        for figure in new.figures
        if figure.name in earlier
    ]
    slopes = {slope.name: slope for slope in old.slopes}
    changes.extend(
        Change(s.name, s.unit, slopes[s.name].slope, s.slope, False)
        for s in new.slopes
        if s.name in slopes
    )
    return changes


def apart(one: figures.Figure, other: figures.Figure) -> bool:
    """Tell whether two intervals lie apart; False when one has none."""
    if None in (one.low, one.high, other.low, other.high):
        return False
    return one.high < other.low or other.high < one.low
