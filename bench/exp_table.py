"""Memory and time of a node's configuration at the size to design for."""

import gc
import random
import time
import tracemalloc

from bench import figures
from carawaystair import manifest as manifests
from carawaystair import rows
from carawaystair import table as tables

TITLE = 'Configuration in a node: compact table against plain dicts'

ROUTES = 26_000
CUSTOMERS = 84_000
SERVICES = 520
LOOKUPS = 5000
CHANGES = 50


def plain_rows(share: float) -> rows.Table:
    """Return made-up rows, ``share`` of the full size."""
    services = {
        rows.SERVICE + 'service-%03d' % n: rows.encode(manifests.Service())
        for n in range(int(SERVICES * share))
    }
    routes = (
        manifests.Route(
            '/area-%03d/part-%05d' % (n % 97, n),
            'service-%03d' % (n % SERVICES),
            'host-%03d.example' % (n % SERVICES),
        )
        for n in range(int(ROUTES * share))
    )
    coded = {
        rows.ROUTE + route.host + route.prefix: rows.encode(route)
        for route in routes
    }
    customers = {
        rows.CUSTOMER + 'organisation-%05d' % n: rows.encode(
            manifests.Customer(n % 7 + 1, n % 50)
        )
        for n in range(int(CUSTOMERS * share))
    }
    return services | coded | customers


def decoded(plain: rows.Table) -> dict:
    """Return the baseline: every row decoded into its value."""
    kinds = {
        rows.SERVICE: manifests.Service,
        rows.ROUTE: manifests.Route,
        rows.CUSTOMER: manifests.Customer,
    }
    return {
        key: rows.decode(kinds[key[: key.index('/') + 1]], value)
        for key, value in plain.items()
    }


def _megabytes(build) -> float:
    """Return the memory that the result of ``build`` holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    del kept
    return size


def _each_us(action, items) -> float:
    begin = time.perf_counter()
    for item in items:
        action(item)
    return (time.perf_counter() - begin) / len(items) * 1e6


def _longest_step_ms(table: tables.Table, keys) -> float:
    """Return the longest time that a change keeps others waiting."""
    change = tables.Change(table, [(key, b'\x92\x05\x06') for key in keys])
    longest = 0.0
    more = True
    while more:
        begin = time.perf_counter()
        more = change.step()
        longest = max(longest, time.perf_counter() - begin)
    return longest * 1e3


def _memory(share: float) -> tuple[float, float]:
    plain = plain_rows(share)
    compact = _megabytes(lambda: tables.from_rows(plain))
    return compact, _megabytes(lambda: decoded(plain))


def run(seed: int, quick: bool) -> list:
    """Measure memory at three sizes and times at the full one."""
    scale = 0.1 if quick else 1.0
    sizes = [scale / 4, scale / 2, scale]
    measured = [(share, *_memory(share)) for share in sizes]
    points = [
        (share * (ROUTES + CUSTOMERS), compact * 1e6)
        for share, compact, _baseline in measured
    ]
    plain = plain_rows(scale)
    table = tables.from_rows(plain)
    rng = random.Random(seed)
    keys = rng.sample(sorted(plain), LOOKUPS)
    baseline = decoded(plain)
    customers = [key for key in keys if key.startswith(rows.CUSTOMER)]
    changes = [
        rows.Delta(rows.NONE, rows.NONE, ((key, b'\x92\x05\x06'),), (), b'')
        for key in customers[:CHANGES]
    ]
    one_us = _each_us(lambda delta: tables.apply(table, delta), changes)
    _share, compact, decoded_mb = measured[-1]
    return [
        figures.Figure('table.compact', compact, 'MB'),
        figures.Figure('table.decoded', decoded_mb, 'MB'),
        figures.Figure('table.ratio', compact / decoded_mb, 'ratio'),
        figures.Figure('table.get', _each_us(table.get, keys), 'us'),
        figures.Figure('table.dict_get', _each_us(baseline.get, keys), 'us'),
        figures.Figure('table.one_row_change', one_us / 1e3, 'ms'),
        figures.Figure(
            'table.longest_step_of_1000_rows',
            _longest_step_ms(table, customers[:1000]),
            'ms',
        ),
        figures.fit('table.bytes.by_rows', 'bytes/row', points),
    ]
