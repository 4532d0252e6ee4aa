"""What the time line costs a process."""

import asyncio
import gc
import time
import tracemalloc

from bench import figures
from carawaystair import timeline

TITLE = 'Time line: memory and time by events'

SIZES = (5000, 10_000, 20_000)


async def _fill(count: int) -> tuple[timeline.Timeline, float]:
    line = timeline.Timeline('host-001', count)
    begin = time.process_time()
    for number in range(count):
        line.record(
            'upstream-ejected',
            'Evidence of %d nats.' % number,
            service='service-%03d' % (number % 520),
            upstream='upstream-%05d' % number,
        )
    return line, time.process_time() - begin


def _memory(count: int) -> float:
    gc.collect()
    tracemalloc.start()
    kept = asyncio.run(_fill(count))
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def run(seed: int, quick: bool) -> list:
    """Measure at three sizes."""
    del seed
    sizes = [size // 10 if quick else size for size in SIZES]
    times = [(size, asyncio.run(_fill(size))[1] * 1e6) for size in sizes]
    memory = [(size, _memory(size)) for size in sizes]
    return [
        figures.fit('timeline.bytes.by_events', 'bytes/event', memory),
        figures.fit('timeline.cpu_us.by_events', 'us/event', times),
    ]
