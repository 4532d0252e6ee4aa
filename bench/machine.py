"""How noisy the machine is while an experiment runs."""

import os
import platform
import statistics
import time
import typing

SPIN_ROUNDS = 12
SPIN_STEPS = 40_000


class Noise(typing.NamedTuple):
    """The state of the machine at one moment.

    :param spin_ms: median time of a fixed piece of work, ms.
    :param spread: greatest over least time of that work, less one.
    :param load: load average of the last minute.
    """

    spin_ms: float
    spread: float
    load: float


class Machine(typing.NamedTuple):
    """What an experiment ran on.

    :param python: version of the interpreter.
    :param system: kernel and processor kind.
    :param cores: number of cores.
    """

    python: str
    system: str
    cores: int


def machine() -> Machine:
    """Return what this process runs on."""
    system = '%s %s' % (platform.system(), platform.machine())
    return Machine(platform.python_version(), system, os.cpu_count() or 1)


def noise() -> Noise:
    """Measure how fast and how evenly the machine works now."""
    times = [_spin_ms() for _round in range(SPIN_ROUNDS)]
    spread = max(times) / min(times) - 1
    return Noise(statistics.median(times), spread, os.getloadavg()[0])


def _spin_ms() -> float:
    started = time.perf_counter()
    total = 0
    for step in range(SPIN_STEPS):
        total += step * step
    return (time.perf_counter() - started) * 1000
