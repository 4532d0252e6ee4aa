"""What it takes to remember a departure: in memory, and on a disk.

One node and three control hosts in one event loop, real links and files.  In
memory is what control hosts did before they had the file.
"""

import asyncio
import pathlib
import tempfile
import time
import typing

from bench import exp_links
from bench import figures
from carawaystair.control import disk as disks
from carawaystair.control import files as files_module
from carawaystair import interfaces
from carawaystair import links as links_module
from carawaystair.membership import departure_store
from carawaystair.membership import departures as departures_module
from carawaystair.membership import messages
from carawaystair.membership import registry as registries
from carawaystair.membership import table as tables

TITLE = 'Departures: acknowledged alone and 200 within a second'

HOSTS = 3
ALONE = 100
TOGETHER = 200
SECOND_S = 1.0
LEASE_S = 6.0
MS = 1000.0


class Keeper(typing.NamedTuple):
    """A control host.

    :param departures: its part of the protocol.
    :param store: what it keeps.
    """

    departures: departures_module.Departures
    store: typing.Any


def _own_table(number: int, peer: str) -> tables.Table:
    """Return the table of a host that knows nobody else yet."""
    host = 'host-%d' % number
    table = tables.Table(host)
    body = messages.Body('dc', 'region', peer, peer, number < HOSTS, ())
    record = messages.Record(host, 1, 1, False, messages.pack(body))
    table.set_own_record(record, messages.first_incarnation(1))
    return table


async def _start(
    number: int, peers: list[str], folder: pathlib.Path | None
) -> tuple[Keeper, links_module.Links]:
    link = links_module.Links(peers[number])
    await link.start()
    store: typing.Any = departure_store.MemoryOnly()
    if folder is not None:
        store = departure_store.DepartureStore(
            files_module.Folder(folder), disks.make()
        )
    group = interfaces.ControlGroup(1, tuple(peers[:HOSTS]))
    made = departures_module.Departures(
        _own_table(number, peers[number]),
        registries.Registry(LEASE_S, lambda _urgent: None),
        link,
        peers[:HOSTS],
        store,
        lambda: group,
    )
    await made.start()
    return Keeper(made, store), link


async def _keep(node: departures_module.Departures, name: str) -> float:
    """Return the time until a departure is acknowledged, in ms."""
    began = time.perf_counter()
    node.registry.remove(name)
    kept = await node.keep(name)
    if kept.is_error():
        raise RuntimeError(kept.error.sentence())
    return MS * (time.perf_counter() - began)


async def _measure(folder: pathlib.Path | None) -> list[figures.Figure]:
    """Return the figures of one kind of store."""
    kind = 'memory' if folder is None else 'disk'
    peers = exp_links.addresses(HOSTS + 1)
    started = []
    for number in range(HOSTS + 1):
        own = None
        if folder is not None and number < HOSTS:
            own = folder / str(number)
            own.mkdir()
        started.append(await _start(number, peers, own))
    node = started[-1][0].departures
    await _keep(node, 'first')
    alone = []
    for number in range(ALONE):
        await asyncio.sleep(2 * departure_store.MAX_PAUSE_S)
        alone.append(await _keep(node, 'alone-%d' % number))
    stores = [keeper.store for keeper, _link in started[:HOSTS]]
    writes = sum(store.writes for store in stores)
    size = sum(store.written_bytes for store in stores)
    began, cpu = time.perf_counter(), time.process_time()

    async def _later(number: int) -> float:
        await asyncio.sleep(SECOND_S * number / TOGETHER)
        return await _keep(node, 'roll-%d' % number)

    rolled = await asyncio.gather(*map(_later, range(TOGETHER)))
    took_s = time.perf_counter() - began
    cpu_ms = MS * (time.process_time() - cpu)
    writes = sum(store.writes for store in stores) - writes
    size = sum(store.written_bytes for store in stores) - size
    for keeper, link in started:
        await keeper.departures.stop()
        await link.stop()
    found = []
    for name, times in (('alone', alone), ('roll', rolled)):
        for label, share in (('p50', 0.5), ('p99', 0.99)):
            value = figures.percentile(times, share)
            title = 'departures.%s.%s.%s' % (kind, name, label)
            found.append(
                figures.Figure(title, value, 'ms', samples=len(times))
            )
    # A write of the file is a sync of it and one of its folder.
    per_host = 1 / HOSTS / took_s
    prefix = 'departures.%s.roll.' % kind
    return [
        *found,
        figures.Figure(prefix + 'syncs', 2 * writes * per_host, 'syncs/s'),
        figures.Figure(prefix + 'bytes', size * per_host, 'B/s', note='host'),
        figures.Figure(prefix + 'cpu', cpu_ms, 'ms', note='all four hosts'),
    ]


def run(seed: int, quick: bool) -> list:
    """Measure both kinds of store."""
    del seed, quick
    found = asyncio.run(_measure(None))
    with tempfile.TemporaryDirectory(dir='.') as folder:
        found += asyncio.run(_measure(pathlib.Path(folder)))
    return found
