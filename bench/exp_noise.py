"""The machine itself: how long fixed pieces of work take here.

Every other experiment's figures stand on this one.  It also shows what an
experiment looks like.
"""

import asyncio
import time

from bench import figures

TITLE = 'How fast and how evenly this machine does fixed work'

ROUNDS = 200
QUICK_ROUNDS = 20
SIZES = (1000, 2000, 4000, 8000)
SLEEP_S = 0.001


def spin_us(steps: int) -> float:
    """Return the time of a loop, in us."""
    started = time.perf_counter()
    total = 0
    for step in range(steps):
        total += step
    return (time.perf_counter() - started) * 1e6


async def oversleep_us() -> float:
    """Return by how much a short sleep is too long, in us."""
    started = time.perf_counter()
    await asyncio.sleep(SLEEP_S)
    return (time.perf_counter() - started - SLEEP_S) * 1e6


async def oversleeps(rounds: int) -> list[float]:
    """Return the excess of many short sleeps, in us."""
    return [await oversleep_us() for _round in range(rounds)]


def run(seed: int, quick: bool) -> list:
    """Measure loops of several lengths and short sleeps."""
    rounds = QUICK_ROUNDS if quick else ROUNDS
    spins = {
        size: [spin_us(size) for _round in range(rounds)] for size in SIZES
    }
    sleeps = asyncio.run(oversleeps(rounds))
    points = [
        (size, figures.percentile(times, 0.5)) for size, times in spins.items()
    ]
    return [
        figures.bootstrap('noise.spin', 'us', spins[SIZES[-1]], seed=seed),
        figures.bootstrap('noise.oversleep', 'us', sleeps, seed=seed),
        figures.fit('noise.spin_us.by_steps', 'us/step', points),
    ]
