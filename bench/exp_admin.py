"""What the administration API costs a control host."""

import asyncio
import json
import pathlib
import statistics
import tempfile
import time
import typing

from bench import exp_links
from bench import figures
from carawaystair import clock
from carawaystair.control import interfaces as control
from carawaystair import kernel
from carawaystair import plugins
from carawaystair import publisher
from carawaystair import settings as settings_module
from carawaystair.ui import client

TITLE = 'Administration API: processor time by rows and by nodes'

ROWS = (4_000, 16_000, 64_000)
QUICK_ROWS = (400, 800, 1_600)
NODES = (128, 512, 2_048)
CHANGES = 5
READS = 200
# One route to about three customers, as at the size to design for.
CUSTOMERS_A_ROUTE = 3


def _manifest(rows: int, number: int) -> bytes:
    """Return a manifest of about ``rows`` rows; ``number`` changes one."""
    routes = rows // (1 + CUSTOMERS_A_ROUTE)
    document = {
        'format': 1,
        'name': 'bench',
        'regions': {'r': {'data_centres': ['dc-1', 'dc-2']}},
        'services': {'service': {'timeout_ms': 1000 + number}},
        'routes': [
            {'prefix': '/path-%05d' % n, 'service': 'service'}
            for n in range(routes)
        ],
        'customers': {
            'customer-%06d' % n: {'weight': 2, 'limit': 20}
            for n in range(rows - routes)
        },
    }
    return json.dumps(document).encode()


class _Host:
    """One control host in this process, and a client of its API."""

    def __init__(self, folder: str) -> None:
        peer, admin = exp_links.addresses(2)
        document = {
            'host': 'control',
            'data_centre': 'dc-1',
            'region': 'r',
            'roles': ['control'],
            'data_folder': folder,
            'peer': peer,
            'gossip': peer,
            'control': {
                'admin': admin,
                'reads_per_s': 1e6,
                'changes_per_s': 1e6,
            },
        }
        settings = settings_module.parse(json.dumps(document)).ok
        self.kernel = kernel.Kernel(settings, plugins.load())
        self.client = client.Client('http://%s' % admin)

    async def start(self) -> None:
        """Start, and wait until it leads."""
        await self.kernel.start()
        self.control = self.kernel.roles[0]
        while self.control.group.status().role != control.LEADER:
            await asyncio.sleep(0.01)

    async def submit(self, body: bytes, name: str) -> float:
        """Submit a manifest; return seconds until it is in force."""
        headers = {
            'Caraway-Parent': self.control.group.digest().hex(),
            'Caraway-Submission': name,
        }
        begin = time.perf_counter()
        reply = await self.client.ask('POST', '/v1/manifests', body, headers)
        assert reply.is_ok(), reply.error
        return time.perf_counter() - begin


class _Cost(typing.NamedTuple):
    """What one change took.

    :param cpu_ms: processor time of the process, the client's included.
    :param wall_ms: until it was in force.
    :param blocked_ms: longest time in which the event loop did not run.
    """

    cpu_ms: float
    wall_ms: float
    blocked_ms: float


async def _changes(host: _Host, rows: int) -> _Cost:
    """Return the medians of a few changes of one row each."""
    await host.submit(_manifest(rows, 0), 'first-%d' % rows)
    costs = []
    for number in range(1, CHANGES + 1):
        body = _manifest(rows, number)
        watch = asyncio.create_task(_blocked())
        begin = time.process_time()
        wall = await host.submit(body, '%d-%d' % (rows, number))
        cpu = time.process_time() - begin
        watch.cancel()
        blocked = await watch
        costs.append(_Cost(cpu * 1e3, wall * 1e3, blocked * 1e3))
    return _Cost(*map(statistics.median, zip(*costs)))


async def _blocked() -> float:
    """Return the longest delay of a timer until cancelled, in seconds."""
    longest = 0.0
    try:
        while True:
            begin = time.perf_counter()
            await asyncio.sleep(0.001)
            longest = max(longest, time.perf_counter() - begin - 0.001)
    except asyncio.CancelledError:
        return longest


async def _status(host: _Host, nodes: int) -> float:
    """Return processor ms of one status with ``nodes`` nodes."""
    now, version = clock.now(), host.control.group.version()
    host.control.publisher.seen = {
        'host-%04d' % n: publisher.NodeVersion(
            'host-%04d' % n, '127.0.0.1:%d' % n, version, now
        )
        for n in range(nodes)
    }
    begin = time.process_time()
    for _read in range(CHANGES):
        reply = await host.client.ask('GET', '/v1/status')
        assert reply.is_ok(), reply.error
    return (time.process_time() - begin) * 1e3 / CHANGES


async def _reads(host: _Host) -> float:
    """Return processor us of a small read."""
    begin = time.process_time()
    for _read in range(READS):
        await host.client.ask(
            'GET', '/v1/manifests/history', params={'limit': '1'}
        )
    return (time.process_time() - begin) * 1e6 / READS


async def _measure(folder: str, quick: bool) -> list:
    host = _Host(folder)
    await host.start()
    sizes = QUICK_ROWS if quick else ROWS
    costs = [(rows, await _changes(host, rows)) for rows in sizes]
    shown = [(n, await _status(host, n)) for n in NODES]
    small = await _reads(host)
    await host.kernel.stop()

    def _points(field: str) -> list[tuple[float, float]]:
        return [(rows, getattr(cost, field)) for rows, cost in costs]

    return [
        figures.fit('admin.change.cpu_ms.by_rows', 'ms', _points('cpu_ms')),
        figures.fit('admin.change.wall_ms.by_rows', 'ms', _points('wall_ms')),
        figures.fit(
            'admin.change.blocked_ms.by_rows', 'ms', _points('blocked_ms')
        ),
        figures.fit('admin.status.cpu_ms.by_nodes', 'ms', shown),
        figures.Figure('admin.read.cpu', small, 'us', samples=READS),
    ]


def run(seed: int, quick: bool) -> list:
    """Measure changes by rows, status by nodes, and a small read."""
    del seed
    with tempfile.TemporaryDirectory() as folder:
        path = str(pathlib.Path(folder) / 'data')
        return asyncio.run(_measure(path, quick))
