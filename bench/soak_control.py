"""Long randomised runs of the control group in virtual time.

``python -m bench.soak_control --seed 1 --runs 100 --seconds 300``.  Each run
is fixed by its seed and its size; a broken promise ends the run with it.
"""

import argparse
import logging
import sys
import traceback

import structlog

from carawaystair import invariants
from test import raft_runs

SIZES = (3, 5, 3, 5, 1)


def soak(seed: int, runs: int, seconds: float) -> list[int]:
    """Run a number of seeds; return those whose promises were broken.

    :param seed: the first seed.
    :param seconds: virtual time of each run.
    """
    invariants.RAISE = True
    broken = []
    for number in range(seed, seed + runs):
        size = SIZES[number % len(SIZES)]
        try:
            print(raft_runs.run(number, seconds, size), flush=True)
        except (AssertionError, ExceptionGroup):
            broken.append(number)
            traceback.print_exc()
    return broken


def main(arguments: list[str] | None = None) -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.soak_control',
        description='Randomised runs of a control group, with its promises.',
    )
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--runs', type=int, default=50, help='seeds to run')
    parser.add_argument('--seconds', type=float, default=120.0)
    options = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    broken = soak(options.seed, options.runs, options.seconds)
    print('broken: %s' % (broken or 'none'))
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
