"""``make fault-soak``: plays seeds and tells which promises were broken."""

import argparse
import asyncio
import pathlib
import sys
import tempfile
import typing

from soak import fleet as fleets
from soak import plan as plans
from soak import play as plays
from soak import watch as watches

EXIT_KEPT = 0
EXIT_BROKEN = 1
MOST_SHOWN = 8
MOST_STORIES = 3
CASES = pathlib.Path(__file__).with_name('cases.txt')


class Size(typing.NamedTuple):
    """How large a play is.

    :param controls: control hosts.
    :param nodes: nodes.
    :param upstreams: of each service.
    :param seconds: of load under faults.
    """

    controls: int = 3
    nodes: int = 4
    upstreams: int = 4
    seconds: float = 12.0


def cases() -> list[int]:
    """Return the seeds that failed once, each with its cause in the file."""
    lines = CASES.read_text().splitlines()
    return [
        int(line.split('|')[0])
        for line in lines
        if line.strip() and not line.startswith('#')
    ]


async def play(
    folder: pathlib.Path, seed: int, size: Size, late: bool = False
) -> watches.Watch:
    """Play one seed; prints the stories of what went wrong.

    :param late: whether there are requests whose bodies come late.
    """
    conditions = plans.conditions(seed)
    if late:
        conditions = plans.with_late_bodies(conditions)
    watch = watches.Watch(conditions.stop_s)
    async with fleets.Fleet(folder, seed, watch, conditions) as fleet:
        stage = fleets.Stage(fleet, size.controls, size.nodes, size.upstreams)
        await stage.start()
        watch.accepted = fleets.read_version(stage.accepted)
        await plays.Play(stage, watch, seed, size.seconds).run()
        for id in watch.stories[:MOST_STORIES]:
            print(await fleets.explain(fleet, id))
    return watch


def main(arguments: list[str] | None = None) -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--step', type=int, default=1, help='between seeds')
    parser.add_argument(
        '--cases', action='store_true', help='play the seeds that failed once'
    )
    parser.add_argument(
        '--late', action='store_true', help='with bodies that come late'
    )
    parser.add_argument('--keep', help='folder for settings, logs and data')
    for name, default in Size()._asdict().items():
        parser.add_argument('--' + name, type=type(default), default=default)
    options = parser.parse_args(arguments)
    size = Size(*(getattr(options, name) for name in Size._fields))
    ends = options.seed + options.seeds * options.step
    seeds = list(range(options.seed, ends, options.step))
    if options.cases:
        seeds = cases()
    broken = [
        seed
        for seed in seeds
        if not _kept(seed, size, options.keep, options.late)
    ]
    print('soak: %d seeds, broken: %s' % (len(seeds), broken or 'none'))
    return EXIT_BROKEN if broken else EXIT_KEPT


def _kept(seed: int, size: Size, keep: str | None, late: bool) -> bool:
    """Play one seed; tell whether all promises were kept."""
    with tempfile.TemporaryDirectory(prefix='soak-') as temporary:
        folder = pathlib.Path(temporary)
        if keep:
            folder = pathlib.Path(keep) / str(seed)
            folder.mkdir(parents=True)
        watch = asyncio.run(play(folder, seed, size, late))
    counts = ', '.join('%s %d' % pair for pair in sorted(watch.counts.items()))
    print('soak: seed %d: %s' % (seed, counts), flush=True)
    for sentence in watch.broken[:MOST_SHOWN]:
        print('soak: seed %d: BROKEN: %s' % (seed, sentence), flush=True)
    return not watch.broken


if __name__ == '__main__':
    sys.exit(main())
