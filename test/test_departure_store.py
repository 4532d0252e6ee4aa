"""Tests of departures on the disks of the processes that remember them."""

import asyncio
import errno
import math
import os
import random
import threading
import time
import types
import typing

import msgspec
import pytest

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import disk as disks
from carawaystair.control import files as files_module
from carawaystair import interfaces
from carawaystair import kernel as kernels
from carawaystair.membership import departure_store
from carawaystair.membership import departures
from carawaystair.membership import lifetimes
from carawaystair.membership import messages
from test import control_fakes
from test import fakes
from test import test_membership as membership_tests

GONE = 1
KEEPERS = (0, 1)
LEAVER = 2
HANGS_S = 5.0
NO_GROUP = interfaces.ControlGroup()
# Numbers of five control hosts.
CONTROL = (0, 1, 3, 4, 5)


class Setup(typing.NamedTuple):
    """A fleet whose seeds have disks.

    :param network: carries its messages.
    :param folders: the folder of each seed.
    :param nodes: its processes by number.
    :param groups: the control group that each of them knows.
    """

    network: fakes.Network
    folders: dict[int, control_fakes.Folder]
    nodes: dict[int, typing.Any]
    groups: dict[int, interfaces.ControlGroup]

    async def start(self, number, incarnation=1, seeds=KEEPERS):
        """Start the next process of a host."""
        store = None
        if number in self.folders:
            disk = control_fakes.Disk(random.Random(number))
            store = departure_store.DepartureStore(self.folders[number], disk)
        self.nodes[number] = membership_tests.make_node(
            self.network,
            number,
            seeds,
            incarnation,
            store=store,
            control_group=lambda: self.groups.get(number, NO_GROUP),
        )
        await self.nodes[number].start()

    async def wait_complete(self):
        """Wait until nothing can have been forgotten any more."""
        await asyncio.sleep(lifetimes.RETENTION_S)
        await asyncio.sleep(2 * departure_store.COMPLETENESS_S)

    async def kill(self, *numbers, power=False):
        """Kill processes at the same moment."""
        for number in numbers:
            membership_tests.crash(self.network, self.nodes[number])
            if number in self.folders:
                self.nodes[number].departures.store.disk.dead = True
                await self.nodes[number].departures.store.stop()
                if power:
                    self.folders[number].crash()
        self.network.heal()

    async def leave(self):
        """Let the upstream leave; return what is acknowledged."""
        assert self.nodes[LEAVER].registry.remove('a').is_ok()
        return await self.nodes[LEAVER].departures.keep('a')

    async def announce_late(self):
        """Return the result of an announcement that arrives late."""
        node = self.nodes[LEAVER]
        while (await node.departures.wait_accepting()).is_error():
            pass
        return membership_tests.announce(node, 'a')


def peers(*numbers):
    """Return the addresses of processes."""
    return tuple(fakes.member(number).peer for number in numbers)


def run(steps, keepers=KEEPERS, groups=None):
    """Run the steps of a test in virtual time.

    :param keepers: numbers of the processes with disks.
    :param groups: the control group that processes know, by their numbers.
    """

    async def _run():
        rng = random.Random(1)
        folders = {number: control_fakes.Folder(rng) for number in keepers}
        setup = Setup(fakes.Network(), folders, {}, {})
        if groups:
            setup.groups.update(groups)
        for number in sorted({*KEEPERS, *keepers, LEAVER}):
            await setup.start(number)
        await asyncio.sleep(3.0)
        membership_tests.announce(setup.nodes[LEAVER], 'a')
        await steps(setup)

    fakes.run(_run())


@pytest.mark.parametrize('power', [False, True])
@pytest.mark.parametrize('times', [1, 2])
def test_departure_outlives_a_kill_of_all_who_remember_it(power, times):
    """Guards against an upstream that a late announcement brings back when
    its node and all who remember its departure were killed.
    """

    async def _steps(setup):
        assert (await setup.leave()).is_ok()
        for number in range(times):
            await setup.kill(*KEEPERS, LEAVER, power=power)
            for host in (*KEEPERS, LEAVER):
                await setup.start(host, incarnation=2 + number)
            await asyncio.sleep(1.0)
        late = await setup.announce_late()
        assert late.error.code is codes.ANNOUNCEMENT_OLD

    run(_steps)


def test_new_life_is_accepted_after_a_kill_of_all():
    """Guards against departures that keep the next start out as well."""

    async def _steps(setup):
        node = setup.nodes[LEAVER]
        assert node.registry.remove('a').is_ok()
        assert (await node.departures.keep('a')).is_ok()
        await setup.kill(*KEEPERS, LEAVER)
        for host in (*KEEPERS, LEAVER):
            await setup.start(host, incarnation=2)
        await setup.announce_late()
        following = setup.nodes[LEAVER]
        newer = membership_tests.announce(following, 'a', incarnation=2**42)
        assert newer.is_ok()

    run(_steps)


@pytest.mark.parametrize('error', [errno.ENOSPC, errno.EIO])
def test_departure_is_not_acknowledged_while_no_disk_takes_it(error):
    """Guards against an acknowledgement of what no disk has."""

    async def _steps(setup):
        for folder in setup.folders.values():
            folder.errors['replace'] = error
        refused = await setup.leave()
        assert refused.error.code is codes.DEPARTURE_NOT_KEPT
        for folder in setup.folders.values():
            folder.errors.clear()
        assert (await setup.leave()).is_ok()

    run(_steps)


def test_disk_that_hangs_delays_nothing_else():
    """Guards against a disk that holds up answers, or questions for ever."""

    async def _steps(setup):
        stores = [setup.nodes[n].departures.store for n in KEEPERS]
        for store in stores:
            await store.disk.lock.acquire()
        began = asyncio.get_running_loop().time()
        refused = await setup.leave()
        assert refused.error.code is codes.DEPARTURE_NOT_KEPT
        waited_s = asyncio.get_running_loop().time() - began
        assert waited_s < 2 * departure_store.DISK_WAIT_S
        recall = messages.KeepDepartures('127.0.0.1')
        peer = setup.nodes[0].identity.peer
        transport = setup.nodes[LEAVER].transport
        assert (await transport.call(peer, recall, 0.1)).is_ok()
        await asyncio.sleep(HANGS_S)
        for store in stores:
            store.disk.lock.release()
        assert (await setup.leave()).is_ok()

    run(_steps)


def test_process_that_has_not_read_its_file_does_not_answer():
    """Guards against "nothing is remembered" before the file was read."""

    async def _steps(setup):
        assert (await setup.leave()).is_ok()
        await setup.kill(*KEEPERS, LEAVER)
        for folder in setup.folders.values():
            folder.errors['read'] = errno.EIO
        for host in (*KEEPERS, LEAVER):
            await setup.start(host, incarnation=2)
        starting = await setup.nodes[LEAVER].departures.wait_accepting()
        assert starting.error.code is codes.REGISTRY_STARTING
        for folder in setup.folders.values():
            folder.errors.clear()
        late = await setup.announce_late()
        assert late.error.code is codes.ANNOUNCEMENT_OLD

    run(_steps)


def test_stopping_process_keeps_its_folder_until_its_write_has_ended(tmp_path):
    """Guards against an old file in place of what the next process wrote."""
    writing = threading.Event()
    refused = []

    class Slow(files_module.Folder):
        def replace(self, name, data):
            writing.set()
            time.sleep(0.1)
            super().replace(name, data)
            try:
                files_module.Folder(tmp_path).hold()
            except BlockingIOError as error:
                refused.append(error)

    async def _run():
        store = departure_store.DepartureStore(Slow(tmp_path), disks.make())
        await store.start()
        assert await store.load()
        await asyncio.to_thread(writing.wait)
        await store.stop()
        assert refused
        files_module.Folder(tmp_path).hold()

    asyncio.run(_run())


@pytest.mark.parametrize(
    'damage', ['torn', 'foreign', 'flipped', 'other', 'nan']
)
def test_damaged_file_costs_no_start(damage):
    """Guards against a control host that a damaged file keeps out."""

    async def _steps(setup):
        assert (await setup.leave()).is_ok()
        await setup.kill(*KEEPERS)
        for folder in setup.folders.values():
            content = folder.read(departure_store.FILE)
            damaged = {
                'torn': content[:-3],
                'foreign': b'something else',
                'flipped': content[:-1] + bytes([content[-1] ^ 1]),
                'other': files_module.frame(b'\x93\x01\x02\x03'),
                'nan': files_module.frame(
                    msgspec.msgpack.encode(
                        departure_store.Image({}, math.nan, math.inf)
                    )
                ),
            }
            folder.replace(departure_store.FILE, damaged[damage])
        for host in KEEPERS:
            await setup.start(host, incarnation=2)
        await asyncio.sleep(3.0)
        assert (await setup.leave()).is_ok()

    run(_steps)


def test_one_write_carries_the_departures_that_wait():
    """Guards against as many syncs as upstreams when many hosts stop."""

    async def _steps(setup):
        store = setup.nodes[0].departures.store
        transport = setup.nodes[LEAVER].transport
        peer = setup.nodes[0].identity.peer
        before = store.writes
        asked = [
            transport.call(
                peer,
                messages.KeepDepartures(
                    'h%d' % number,
                    (messages.Departure('a', 1, GONE, 30_000),),
                ),
                1.0,
            )
            for number in range(200)
        ]
        answers = await asyncio.gather(*asked)
        assert all(answer.is_ok() for answer in answers)
        assert store.writes - before < len(asked) / 10

    run(_steps)


def test_step_of_the_time_of_day_does_not_change_what_is_remembered():
    """Guards against departures that end early after a step of the clock."""
    rng = random.Random(1)
    folder = control_fakes.Folder(rng)

    async def _run():
        store = departure_store.DepartureStore(folder, control_fakes.Disk(rng))
        await store.start()
        departure = messages.Departure('a', 1, GONE, 30_000)
        assert await store.load()
        store.memory.add('h', departure, asyncio.get_running_loop().time())
        assert await store.save()
        await store.stop()
        loop = asyncio.get_running_loop()
        loop.wall_ms = lambda: 0
        following = departure_store.DepartureStore(
            folder, control_fakes.Disk(rng)
        )
        await following.start()
        assert await following.load()
        (left,) = following.memory.of_host('h', loop.time())
        assert 29_000 < left.remaining_ms <= 30_000
        await following.stop()

    fakes.run(_run())


@pytest.mark.parametrize('lost', [KEEPERS, KEEPERS[:1]])
def test_process_that_may_have_forgotten_does_not_count(lost):
    """Guards against "nothing is remembered" taken for knowledge."""

    async def _steps(setup):
        await setup.wait_complete()
        await setup.kill(*KEEPERS, LEAVER)
        for host in lost:
            setup.folders[host] = control_fakes.Folder(random.Random(host))
        for host in (*KEEPERS, LEAVER):
            await setup.start(host, incarnation=2)
        await asyncio.sleep(departures.MAX_RECALL_S / 2)
        following = setup.nodes[LEAVER].departures
        assert not following.accepting.is_set()
        await asyncio.sleep(departures.MAX_RECALL_S / 2 + 0.5)
        assert following.accepting.is_set()

    run(_steps)


def test_node_starts_at_once_where_nothing_was_forgotten():
    """Guards against starts that wait although all disks are there."""

    async def _steps(setup):
        await setup.wait_complete()
        await setup.kill(*KEEPERS, LEAVER)
        for host in (*KEEPERS, LEAVER):
            await setup.start(host, incarnation=2)
        await asyncio.sleep(2 * departures.RETRY_S)
        assert setup.nodes[LEAVER].departures.accepting.is_set()

    run(_steps)


def test_loss_of_a_disk_is_remembered_over_a_second_start():
    """Guards against a new file that passes for one that was never lost."""
    rng = random.Random(1)
    folder = control_fakes.Folder(rng)

    async def _start():
        store = departure_store.DepartureStore(folder, control_fakes.Disk(rng))
        await store.start()
        await asyncio.sleep(1.0)
        return store

    async def _run():
        store = await _start()
        assert not store.complete()
        await store.stop()
        store = await _start()
        assert not store.complete()
        await asyncio.sleep(lifetimes.RETENTION_S)
        await asyncio.sleep(2 * departure_store.COMPLETENESS_S)
        assert store.complete()
        await store.stop()
        store = await _start()
        assert store.complete()
        await store.stop()

    fakes.run(_run())


def test_first_start_of_a_fleet_has_forgotten_nothing():
    """Guards against a first start that waits for what never was."""

    async def _run():
        rng = random.Random(1)
        store = departure_store.DepartureStore(
            control_fakes.Folder(rng), control_fakes.Disk(rng), lambda: True
        )
        await store.start()
        assert await store.load()
        assert store.complete()
        await store.stop()

    fakes.run(_run())


def group(index, *numbers):
    """Return a control group of some processes."""
    return interfaces.ControlGroup(index, peers(*numbers))


def test_departure_is_recalled_from_the_group_and_not_from_the_seeds():
    """Guards against seeds that are a minority of those who confirm."""

    async def _steps(setup):
        await setup.wait_complete()
        setup.network.cut(peers(LEAVER), peers(*KEEPERS))
        assert (await setup.leave()).is_ok()
        await setup.kill(LEAVER)
        await setup.start(LEAVER, incarnation=2)
        late = await setup.announce_late()
        assert late.error.code is codes.ANNOUNCEMENT_OLD

    every = group(1, *CONTROL)
    run(_steps, CONTROL, dict.fromkeys(CONTROL, every))


@pytest.mark.parametrize('lost', [(0, 1), (3, 5)])
def test_departure_outlives_as_many_lost_disks_as_the_group_bears(lost):
    """Guards against a new disk that is counted like one that remembers."""

    async def _steps(setup):
        await setup.wait_complete()
        assert (await setup.leave()).is_ok()
        await setup.kill(*CONTROL, LEAVER, power=True)
        for number in lost:
            setup.folders[number] = control_fakes.Folder(random.Random(number))
        for number in (*CONTROL, LEAVER):
            await setup.start(number, incarnation=2)
        late = await setup.announce_late()
        assert late.error.code is codes.ANNOUNCEMENT_OLD

    every = group(1, *CONTROL)
    run(_steps, CONTROL, dict.fromkeys(CONTROL, every))


def test_departure_is_not_acknowledged_by_a_minority_of_the_group():
    """Guards against control hosts that come back and were not asked."""

    async def _steps(setup):
        await setup.wait_complete()
        setup.network.cut(peers(LEAVER), peers(*CONTROL[:3]))
        refused = await setup.leave()
        assert refused.error.code is codes.DEPARTURE_NOT_KEPT

    every = group(1, *CONTROL)
    run(_steps, CONTROL, dict.fromkeys(CONTROL, every))


def test_departure_is_kept_by_the_newest_group_that_an_answer_names():
    """Guards against departures left with hosts that were replaced."""

    async def _steps(setup):
        await setup.wait_complete()
        setup.groups.update(dict.fromkeys(CONTROL, group(2, 3, 4, 5)))
        node = setup.nodes[LEAVER]
        assert node.departures.group() == group(1, 0, 1, 3)
        assert (await setup.leave()).is_ok()
        holders = [
            number
            for number in (3, 4, 5)
            if setup.nodes[number].departures.memory.by_host
        ]
        assert len(holders) >= 2
        assert node.departures.group() == group(2, 3, 4, 5)

    former = group(1, 0, 1, 3)
    run(_steps, CONTROL, dict.fromkeys(CONTROL, former))


def test_single_process_with_a_disk_recalls_by_itself():
    """Guards against a process that forgets what it confirmed to itself."""

    async def _run():
        rng = random.Random(1)
        folders = {LEAVER: control_fakes.Folder(rng)}
        setup = Setup(fakes.Network(), folders, {}, {})
        await setup.start(LEAVER, seeds=())
        assert (await setup.nodes[LEAVER].departures.wait_accepting()).is_ok()
        membership_tests.announce(setup.nodes[LEAVER], 'a')
        assert (await setup.leave()).is_ok()
        await setup.kill(LEAVER)
        await setup.start(LEAVER, incarnation=2, seeds=())
        late = await setup.announce_late()
        assert late.error.code is codes.ANNOUNCEMENT_OLD

    fakes.run(_run())


def test_departure_is_not_acknowledged_while_control_is_away():
    """Guards against departures that are in the memory of nodes only."""

    async def _steps(setup):
        for number in (6, 7, 8, 9):
            await setup.start(number)
        await setup.wait_complete()
        await setup.kill(0)
        # Its death is noticed.
        await asyncio.sleep(20.0)
        refused = await setup.leave()
        assert refused.error.code is codes.DEPARTURE_NOT_KEPT
        await setup.start(0, incarnation=2)
        await asyncio.sleep(departures.RETRY_S)
        assert (await setup.leave()).is_ok()

    run(_steps, (0,), dict.fromkeys((0, LEAVER), group(1, 0)))


def test_control_host_with_a_new_disk_is_sent_what_it_missed():
    """Guards against departures that fewer and fewer disks have."""

    async def _steps(setup):
        await setup.wait_complete()
        assert (await setup.leave()).is_ok()
        await setup.kill(0)
        setup.folders[0] = control_fakes.Folder(random.Random(0))
        await setup.start(0, incarnation=2, seeds=(1, 3))
        await asyncio.sleep(3.0)
        held = setup.nodes[0].departures.memory.by_hosts(clock.now())
        assert list(held) == [fakes.member(LEAVER).host]
        assert not setup.nodes[0].departures.store.complete()

    every = group(1, *CONTROL)
    run(_steps, CONTROL, dict.fromkeys(CONTROL, every))


def test_new_folder_is_on_the_disk_before_its_files(tmp_path, monkeypatch):
    """Guards against a loss of power that takes a folder with its files."""
    synced = []
    fsync = os.fsync

    def _fsync(descriptor):
        synced.append(os.fstat(descriptor).st_ino)
        fsync(descriptor)

    monkeypatch.setattr(os, 'fsync', _fsync)
    settings = types.SimpleNamespace(data_folder=str(tmp_path))
    process = types.SimpleNamespace(settings=settings)
    folder = kernels.Kernel.data(process, departure_store.FOLDER)
    assert folder.is_dir()
    assert synced == [tmp_path.stat().st_ino]
