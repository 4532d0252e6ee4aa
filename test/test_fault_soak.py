"""The soak itself: its plan, its ways, its faults, and what it notices."""

import asyncio
import contextlib
import errno
import functools
import json
import math
import random
import signal
import types

import aiohttp
import pytest

from carawaystair import clock
from carawaystair.control import files
from soak import callers
from soak import carriers
from soak import fleet as soak_fleet
from soak import host as hosts
from soak import plan as plans
from soak import play as plays
from soak import run as soak_run
from soak import watch as watches
from soak import ways
from standin import content
from standin import faults as upstream_faults
from standin import fleet as fleets
from standin import runs as runs_module
from standin import upstream as upstreams
from test import fakes

PLANNED_SEED = 3
ROLLS_SEED = 105
FAULTS_SEED = 2
STATED_SEED = 22
FORGET_SEED = 11
SHORT = soak_run.Size(controls=3, nodes=3, upstreams=3, seconds=4.0)


# The plan


def test_seed_fixes_the_plan():
    assert plans.draw(5, 20.0) == plans.draw(5, 20.0)
    assert plans.draw(5, 20.0) != plans.draw(6, 20.0)


def test_every_kind_comes_in_some_plan_and_strikes_something():
    kinds = {event.kind for n in range(60) for event in plans.draw(n, 30.0)}
    drawn = set(plans.WEIGHTS) | {
        plans.STORM,
        plans.ROLL,
        plans.FATAL,
        plans.FORGET,
        plans.CROWD,
        plans.LIMIT,
        plans.NOTICE,
    }
    assert kinds == drawn == set(plans.STRIKES)


@pytest.mark.parametrize(
    ('kind', 'every', 'which'),
    [
        (plans.STORM, 'STORM_EVERY', 'STORM_SEED'),
        (plans.ROLL, 'ROLL_EVERY', 'ROLL_SEED'),
        (plans.FATAL, 'FATAL_EVERY', 'FATAL_SEED'),
        (plans.FORGET, 'FORGET_EVERY', 'FORGET_SEED'),
        (plans.CROWD, 'CROWD_EVERY', 'CROWD_SEED'),
        ((plans.LIMIT, plans.NOTICE), 'STATED_EVERY', 'STATED_SEED'),
    ],
)
def test_series_of_some_seeds_leave_the_rest_of_a_plan_as_it_was(
    kind, every, which, monkeypatch
):
    """Seeds that failed once are to play what they played then."""
    first = getattr(plans, which)
    seed = getattr(plans, every) + first
    whole = plans.draw(seed, 20.0)
    monkeypatch.setattr(plans, which, first + 1)
    rest = plans.draw(seed, 20.0)
    kinds = (kind,) if isinstance(kind, str) else kind
    assert [e for e in whole if e.kind not in kinds] == rest
    assert len(whole) > len(rest)


def test_roll_stops_half_of_the_hosts_at_least_each_once():
    names = ['h%d' % number for number in range(10)]
    for x in (0.0, 0.5, 0.99):
        event = plans.Event(1.0, plans.ROLL, 0.3, 0.0, x)
        struck = [name for name, _pause_s in plans.roll(event, names)]
        assert len(set(struck)) == len(struck) >= 5
        assert set(struck) <= set(names)


def test_conditions_hold_on_seeds_with_rolls_only():
    for seed in range(60):
        rolls = any(e.kind == plans.ROLL for e in plans.draw(seed, 20.0))
        assert plans.conditions(seed).rolls == rolls
        assert rolls or plans.conditions(seed) == plans.Conditions()


def test_some_seeds_have_planned_work_only():
    for event in plans.draw(PLANNED_SEED, 60.0):
        assert event.kind in plans.PLANNED


# Ways


@contextlib.asynccontextmanager
async def way_here(address, target):
    """Open a way in this process."""
    way = ways.Way(address, target, random.Random())
    async with ways.opened(way):
        yield way


@contextlib.asynccontextmanager
async def way_of_a_carrier(address, target):
    """Open a way in another process."""
    carrier = carriers.Carrier()
    await carrier.start()
    way = carriers.Way(address, target, carrier, 'host', math.inf)
    async with ways.opened(way):
        yield way
    await carrier.stop()


@pytest.fixture(params=[way_here, way_of_a_carrier])
def run_way(request):
    """Run a scenario with a way, in this process and in another one."""
    return functools.partial(run_way_of, request.param)


def run_way_of(opened, scenario):
    """Run a scenario with a way to a server that sends back what it gets."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    async def whole():
        rng, taken = random.Random(), set()
        real, door = (fleets.free_address(rng, taken) for _ in range(2))
        server = await asyncio.start_server(echo, *real.split(':'))
        async with opened(door, real) as way:
            ends = await asyncio.open_connection(*door.split(':'))
            try:
                async with asyncio.timeout(10.0):
                    await scenario(way, *ends)
            finally:
                ends[1].close()
                server.close()

    asyncio.run(whole())


def test_way_passes_on_what_it_gets(run_way):
    async def scenario(_way, reader, writer):
        writer.write(b'hello')
        assert await reader.readexactly(5) == b'hello'

    run_way(scenario)


@pytest.mark.parametrize('direction', [ways.INWARD, ways.OUTWARD])
def test_cut_holds_bytes_back_until_it_heals(direction, run_way):
    async def scenario(way, reader, writer):
        way.set(ways.Spoil(cut=frozenset((direction,))))
        writer.write(b'hello')
        reading = asyncio.ensure_future(reader.readexactly(5))
        await asyncio.sleep(0.1)
        assert not reading.done()
        way.set(ways.SOUND)
        assert await reading == b'hello'

    run_way(scenario)


def test_silenced_connection_passes_nothing_and_a_new_one_works(run_way):
    async def scenario(way, reader, writer):
        writer.write(b'a')
        await reader.readexactly(1)
        way.silence()
        writer.write(b'b')
        reading = asyncio.ensure_future(reader.read(1))
        fresh = await asyncio.open_connection(*way.address.split(':'))
        fresh[1].write(b'c')
        assert await fresh[0].readexactly(1) == b'c'
        assert not reading.done()
        reading.cancel()
        fresh[1].close()

    run_way(scenario)


def test_reset_way_resets_its_connections(run_way):
    async def scenario(way, reader, writer):
        writer.write(b'a')
        await reader.readexactly(1)
        way.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    run_way(scenario)


def test_bytes_wait_for_those_before_them_on_a_thin_link():
    async def scenario():
        lane = ways.Lane(1000.0)
        waits = [lane.take(100), lane.take(50)]
        await asyncio.sleep(0.1)
        return [*waits, lane.take(100), ways.Lane().take(10**9)]

    waits = fakes.run(scenario())
    assert waits == pytest.approx([0.1, 0.15, 0.15, 0.0])


def test_filled_way_holds_bytes_for_a_while(run_way):
    async def scenario(way, reader, writer):
        way.fill(0.5)
        writer.write(b'hello')
        reading = asyncio.ensure_future(reader.readexactly(5))
        await asyncio.sleep(0.1)
        assert not reading.done()
        assert await reading == b'hello'

    run_way(scenario)


def test_full_link_loses_datagrams():
    async def scenario():
        way = ways.Way('', '127.0.0.1:9', random.Random())
        way.lanes = ways.open_lanes(1000.0)
        sent = []
        way._send = sent.append
        way.datagram(b'x' * int(1000 * ways.QUEUE_S) + b'x')
        way.datagram(b'y')
        await asyncio.sleep(2 * ways.QUEUE_S)
        way.datagram(b'z')
        await asyncio.sleep(1.0)
        return [data[:1] for data in sent]

    assert fakes.run(scenario()) == [b'x', b'z']


# Disks and clocks


def test_full_disk_takes_no_bytes_and_an_unsynced_tail_is_lost(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(files, 'Folder', files.Folder)
    monkeypatch.setattr(hosts, 'LOOK_S', 0.0)
    source = hosts.Source(tmp_path / 'faults')
    hosts.spoil_files(source)
    folder = tmp_path / 'log'
    folder.mkdir()
    disk = files.Folder(folder)
    disk.append('a', b'synced')
    disk.sync('a')
    disk.append('a', b' and not')
    hosts.write(source.path, hosts.Faults(full=True))
    with pytest.raises(OSError) as raised:
        disk.append('a', b'more')
    assert raised.value.errno == errno.ENOSPC
    disk.close()
    hosts.lose_unsynced(folder, keep=0.0)
    assert (folder / 'a').read_bytes() == b'synced'


def test_time_of_day_jumps_by_the_faults_in_force(tmp_path, monkeypatch):
    monkeypatch.setattr(clock, 'wall_ms', lambda: 1000)
    source = hosts.Source(tmp_path / 'faults')
    hosts.spoil_clock(source)
    assert clock.wall_ms() == 1000
    source.looked = 0.0
    source.path.write_text(json.dumps({'clock_ms': 500}))
    assert clock.wall_ms() == 1500


def test_process_that_runs_for_a_share_of_the_time_runs_in_the_end():
    """Guards against a play that leaves all its processes stopped."""
    sent = []
    fleet = types.SimpleNamespace(
        conditions=plans.Conditions(True, share=0.5),
        processes={'h1': None, 'h2': None},
        signal=lambda name, number: sent.append((name, number)),
    )
    stage = types.SimpleNamespace(fleet=fleet)

    async def scenario(length_s):
        play = plays.Play(stage, watches.Watch(), 1, 1.0)
        play.paused.add('h2')
        async with plays._beside(play._spare()):
            await asyncio.sleep(length_s)
        return [number for name, number in sent if name == 'h1']

    for length_s in (0.25, 0.5, 0.75, 3.25):
        sent.clear()
        signals = fakes.run(scenario(length_s * plays.PERIOD_S))
        assert signals[0] == signal.SIGSTOP
        assert signals[-1] == signal.SIGCONT
        assert len(sent) == len(signals)


# Callers that keep a connection


def run_caller(answers, scenario):
    """Run a scenario with a caller of a server that gives some answers."""
    opened = []

    async def serve(reader, writer):
        opened.append(writer)
        for answer in answers:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                break
            writer.write(answer)
        writer.close()

    async def whole():
        address = fleets.free_address(random.Random(), set())
        server = await asyncio.start_server(serve, *address.split(':'))
        caller = callers.Caller(address)
        try:
            async with asyncio.timeout(10.0):
                await scenario(caller)
        finally:
            caller.close()
            server.close()

    asyncio.run(whole())
    return len(opened)


FIXED = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
PIECES = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
PIECES += b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n'
CLOSES = b'HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'


def test_caller_keeps_its_connection_until_the_node_ends_it():
    async def scenario(caller):
        for status, body in ((200, b'ok'), (200, b'ok'), (503, b'')):
            got = await caller.ask(asked(method='GET'), '/', {})
            assert (got.status, got.body) == (status, body)
        assert caller.connection is None
        assert (await caller.ask(asked(method='GET'), '/', {})).status == 200

    assert run_caller([FIXED, PIECES, CLOSES], scenario) == 2


@pytest.mark.parametrize('cut', [0, 5, len(FIXED) - 1])
def test_caller_that_is_cut_off_gets_nothing_and_repeats_nothing(cut):
    async def scenario(caller):
        got = await caller.ask(asked(method='GET'), '/', {})
        assert got == watches.Told(0)

    assert run_caller([FIXED[:cut]], scenario) == 1


# The watch


UNKNOWN = watches.Told(502, watches.UNKNOWN)


def asked(marker='m1', method='POST', ends=math.inf):
    """Return a request."""
    return watches.Asked(marker, method, 'node-1', 10, clock.now(), ends)


def ran(marker='m1', method='POST', upstream='u'):
    """Return a run of a request."""
    return runs_module.Run(upstream, marker, marker, method, '', 0)


def told(marker='m1', status=200, outcome='complete', body=None):
    """Return what a caller got."""
    whole = content.make(marker, 10) if body is None else body
    return watches.Told(status, outcome, whole, marker, marker)


def twice(watch):
    watch.began('s', ran())
    watch.began('s', ran())


def ran_and_refused(watch):
    watch.began('s', ran())
    watch.answered(asked(), told(status=503, outcome='not-run'))


def refused_and_ran(watch):
    watch.answered(asked(), told(status=429, outcome=''))
    watch.began('s', ran())


def cut_body(watch):
    watch.began('s', ran())
    watch.answered(asked(), told(body=b'half'))


def foreign_body(watch):
    watch.began('s', ran())
    watch.answered(asked(), told(marker='m2'))


def answered_unrun(watch):
    watch.answered(asked(), told())


def cut_without_fault(watch):
    watch.began('s', ran())
    watch.answered(asked(), watches.Told(0))


def cut_in_a_planned_stop(watch):
    watch.began('s', ran(), 'node-2')
    watch.stops('node-1')
    watch.stops('node-2')
    watch.answered(asked(), UNKNOWN)


def order_cut_that_began_in_a_stop(watch):
    watch.stops('node-2')
    watch.began('s', ran(), 'node-2')
    watch.answered(asked(), UNKNOWN)


def order_cut_at_the_end_of_a_stop_that_it_began_in(watch):
    begin = clock.now() - watches.STOP_S + watches.STOP_SLACK_S / 2
    watch.stopped['node-2'].append(watches.Stop(begin))
    watch.began('s', ran(), 'node-2')
    watch.answered(asked(), UNKNOWN)


def whole_late_and_cut_at_the_end_of_its_nodes_stop(watch):
    begin = clock.now() - watches.STOP_S + watches.STOP_SLACK_S / 2
    watch.stopped['node-1'].append(watches.Stop(begin))
    late = asked(ends=clock.now() + 9.0)._replace(began=begin, body_s=5.0)
    watch.began('s', ran(), 'node-2')
    watch.answered(late, UNKNOWN)


def cut_in_a_late_turn_with_much_time_left(watch):
    watch.began('s', ran(), 'node-2')
    watch.stops('node-2')
    watch.disturbs(clock.now(), clock.now(), watches.RIG)
    watch.answered(asked(ends=clock.now() + 9.0), UNKNOWN)


def cut_with_a_fault_elsewhere(watch):
    watch.began('s', ran(), 'node-2')
    for struck in ('control-1', 'node-3', 'u2'):
        watch.disturbs(clock.now(), clock.now(), struck)
    watch.answered(asked(), watches.Told(0))


def went_back(watch):
    watch.version('node-1', '7', (2, 5))
    watch.version('node-1', '7', (2, 4))


def lost(watch):
    watch.accepted = (2, 5)
    watch.settled('node-1', (2, 4))


def work_after_leaving(watch):
    watch.drained['u'] = clock.now() - watches.DRAIN_S - 0.1
    watch.began('s', ran())


def late_word_taken(watch):
    watch.late('u', 200)


def malformed_taken(watch):
    watch.malformed(b'{}', 200)


def malformed_not_understood(watch):
    watch.malformed(b'{}', 500)


def too_many_repeats(watch):
    for number in range(60):
        for _run in range(2):
            watch.began('s', ran('m%d' % number, 'GET'))
    watch.check_repeats()


@pytest.mark.parametrize(
    ('version', 'disturbed', 'late'),
    [((2, 5), False, True), ((2, 6), False, False), ((2, 5), True, False)],
)
def test_node_that_stays_at_an_old_version_is_noticed(
    version, disturbed, late
):
    async def scenario():
        watch = watches.Watch()
        watch.accepts((2, 5))
        watch.accepts((2, 6))
        await asyncio.sleep(watches.LATE_S + 0.1)
        watch.accepts((2, 7))
        if disturbed:
            watch.disturbs(clock.now() - 1, clock.now())
        watch.check_late('node-1', version)
        return bool(watch.broken)

    assert fakes.run(scenario()) == late


@pytest.mark.parametrize(
    'breaks',
    [
        twice,
        ran_and_refused,
        refused_and_ran,
        cut_body,
        foreign_body,
        answered_unrun,
        cut_without_fault,
        cut_in_a_planned_stop,
        order_cut_that_began_in_a_stop,
        order_cut_at_the_end_of_a_stop_that_it_began_in,
        whole_late_and_cut_at_the_end_of_its_nodes_stop,
        cut_in_a_late_turn_with_much_time_left,
        cut_with_a_fault_elsewhere,
        went_back,
        lost,
        work_after_leaving,
        late_word_taken,
        malformed_taken,
        malformed_not_understood,
        too_many_repeats,
    ],
)
def test_each_broken_promise_is_noticed(breaks):
    async def scenario():
        watch = watches.Watch()
        breaks(watch)
        return watch.broken

    assert len(fakes.run(scenario())) == 1


def test_kept_promises_are_left_alone():
    async def scenario():
        watch = watches.Watch()
        watch.began('s', ran())
        watch.answered(asked(), told())
        # Its connection broke near a fault.
        watch.disturbs(clock.now(), clock.now())
        watch.began('s', ran('m2'))
        watch.answered(asked('m2'), watches.Told(0))
        # It was not at work when a stop began, and may be repeated.
        watch.stops('node-2')
        watch.began('s', ran('before', 'GET'), 'node-2')
        watch.answered(asked('before', 'GET'), UNKNOWN)
        watch.ends('node-2')
        watch.began('s', ran('behind'), 'node-2')
        watch.ended(ran('behind'))
        await asyncio.sleep(0.1)
        watch.stops('node-2')
        watch.answered(asked('behind'), UNKNOWN)
        watch.ends('node-2')
        for place in ('node-1', 'node-2', 'u'):
            watch.unplanned.clear()
            watch.disturbs(clock.now(), clock.now(), place)
            watch.began('s', ran('at ' + place), 'node-2')
            watch.answered(asked('at ' + place), UNKNOWN)
        watch.unplanned.clear()
        # The soak was late as its time was nearly over.
        watch.began('s', ran('hasty'), 'node-2')
        watch.stops('node-2')
        watch.disturbs(clock.now(), clock.now(), watches.RIG)
        sent = asked('hasty', ends=clock.now() + 1.0)
        watch.answered(sent, UNKNOWN)
        watch.ends('node-2')
        watch.unplanned.clear()
        # Its time was over, or that of the stop of its node.
        watch.began('s', ran('late'))
        watch.answered(asked('late', ends=clock.now()), UNKNOWN)
        watch.stops('node-1')
        watch.began('s', ran('stopped'))
        sent = asked('stopped')
        await asyncio.sleep(watches.STOP_S - watches.STOP_SLACK_S + 0.1)
        watch.answered(sent, UNKNOWN)
        watch.ends('node-1')
        # A process that starts again begins from nothing.
        watch.version('node-1', '7', (2, 5))
        watch.version('node-1', '8', (2, 4))
        # The leaving of a former life doesn't bind the new one.
        watch.drained['u'] = clock.now() - watches.DRAIN_S - 0.1
        watch.begins('u')
        watch.began('s', ran('m3'))
        # Refused, or sent to a node that isn't there.
        watch.late('u', 409)
        watch.malformed(b'{}', 400)
        watch.malformed(b'{}', None)
        watch.check_repeats()
        return watch.broken

    assert fakes.run(scenario()) == []


async def limited(per_s, strike=None):
    """Return what is noticed while an upstream with a limit of 2 gets so
    many requests a second of two nodes, for 10 s.

    :param strike: called with the watch, and the time, before each request.
    """
    watch = watches.Watch()
    watch.stated.states('u', 2.0)
    began = clock.now()
    for number in range(int(10 * per_s)):
        if strike is not None:
            strike(watch, clock.now() - began)
        marker, node = 'm%d' % number, 'node-%d' % (number % 2)
        watch.asks('s', asked(marker)._replace(node=node))
        watch.stated.arrives('u', marker, marker)
        watch.stated.passed_on(node, 'u', True, False)
        await asyncio.sleep(1 / per_s)
    return watch.broken


@pytest.mark.parametrize(('per_s', 'breaks'), [(4.0, False), (5.0, True)])
def test_more_than_a_limit_allows_is_noticed(per_s, breaks):
    assert bool(fakes.run(limited(per_s))) == breaks


def test_nodes_that_were_struck_are_excused_until_they_are_told_again():
    def strike(watch, _now):
        watch.stated.struck('node-0')
        watch.stated.struck('node-1', cut=True)

    assert fakes.run(limited(8.0, strike)) == []


def test_limit_that_is_over_binds_nobody():
    def strike(watch, now):
        if now > 3.0:
            watch.stated.ends('u')

    assert fakes.run(limited(8.0, strike)) == []


@pytest.mark.parametrize(
    ('event', 'breaks'),
    [
        (lambda stated: None, True),
        (lambda stated: stated.struck('node-1', cut=True), True),
        (lambda stated: stated.struck('node-1'), False),
        (lambda stated: stated.begins('u'), False),
    ],
)
def test_work_after_a_leave_in_an_answer_is_noticed(event, breaks):
    async def scenario():
        watch = watches.Watch()
        watch.answered(
            asked(), told()._replace(upstream='u', leaving=True, left=False)
        )
        watch.broken.clear()
        event(watch.stated)
        await asyncio.sleep(1.9)
        watch.asks('s', asked('early'))
        await asyncio.sleep(0.2)
        watch.asks('s', asked('late'))
        watch.asks('s', asked('elsewhere')._replace(node='node-2'))
        for marker in ('early', 'elsewhere', 'late'):
            watch.stated.arrives('u', marker, marker)
        return watch.broken

    found = fakes.run(scenario())
    assert len(found) == breaks
    assert all('late' in sentence for sentence in found)


def test_upstream_that_turns_gray_goes_on_stating_what_it_states():
    """Guards against a watch that holds nodes to a limit which the upstream
    states no longer.
    """
    one = upstreams.make('portal', 'u')
    event = plans.Event(0.0, plans.LIMIT, 0.0, 8.0, 0.5)
    play = types.SimpleNamespace(
        fleet=types.SimpleNamespace(running={'u': one}),
        watch=watches.Watch(),
    )

    async def scenario():
        limit = asyncio.ensure_future(plays.Play._limit(play, event, 'u'))
        await asyncio.sleep(1.0)
        short = event._replace(for_s=2.0)
        gray = asyncio.ensure_future(plays.Play._gray(play, short, 'u'))
        found = []
        for _look in range(2):
            await asyncio.sleep(1.5)
            found.append((one.dice.faults.limit, one.dice.faults.slow))
        await asyncio.gather(limit, gray)
        return found, one.dice.faults

    (during, after), end = fakes.run(scenario())
    assert during[0] == after[0] > 0.0
    assert end == upstream_faults.NONE


# Real processes


@pytest.mark.parametrize('seed', [PLANNED_SEED, FAULTS_SEED, ROLLS_SEED])
def test_short_play_keeps_all_promises(tmp_path, seed):
    watch = asyncio.run(soak_run.play(tmp_path, seed, SHORT))
    assert watch.broken == []
    assert watch.counts['complete']


def test_play_in_which_all_who_know_of_a_leaving_end_keeps_all_promises(
    tmp_path,
):
    """Guards against leavings that are forgotten with the processes."""
    watch = asyncio.run(soak_run.play(tmp_path, FORGET_SEED, SHORT))
    assert watch.broken == []
    assert watch.counts['leavings forgotten']
    assert watch.counts['late announcements of leavers']


def test_play_with_limits_and_leaves_in_answers_keeps_all_promises(tmp_path):
    size = SHORT._replace(seconds=10.0)
    watch = asyncio.run(soak_run.play(tmp_path, STATED_SEED, size))
    assert watch.broken == []
    assert watch.counts['answers with a limit']
    assert watch.counts['answers with a leave']


@pytest.mark.parametrize('age_s', [0.0, 0.05, 30.0])
@pytest.mark.parametrize('returncode', [None, -signal.SIGHUP])
def test_reload_strikes_at_any_age_and_starts_nothing(age_s, returncode):
    """Guards against a soak that spares processes which are starting, or
    hides that a reload ended one.
    """
    sent = []

    async def scenario():
        process = types.SimpleNamespace(returncode=returncode)
        fleet = types.SimpleNamespace(
            processes={'node-1': process},
            started={'node-1': clock.now() - age_s},
            signal=lambda *words: sent.append(words),
        )
        play = types.SimpleNamespace(
            fleet=fleet, reloads={}, watch=watches.Watch()
        )
        began = clock.now()
        await plays.Play._hup(play, None, 'node-1')
        assert clock.now() == began
        return plays.Play._ended(play), play.watch.counts

    told, counts = fakes.run(scenario())
    assert sent == [('node-1', signal.SIGHUP)]
    assert ('node-1 ended with -1' in told) == (returncode is not None)
    assert counts['reloads of a new process'] == (age_s < plays.NEW_S)


class Life:
    """Stands in for one life of an upstream."""

    def __init__(self, options, way, watch) -> None:
        self.options, self.way, self.watch = options, way, watch
        self.announcer = types.SimpleNamespace(announcement='said')

    async def start(self) -> None:
        """Do nothing."""

    async def crash(self) -> None:
        """Do nothing."""


@pytest.mark.parametrize('ended', [False, True])
def test_life_that_ends_before_it_is_announced_is_not_told_of(
    ended, monkeypatch
):
    """Guards against a play that breaks off where two events overlap.

    Nor may one end it in the middle of its start.
    """
    told = []
    stage = types.SimpleNamespace(
        running={'u': Life(None, None, None)},
        watch=types.SimpleNamespace(begins=lambda _id: None),
        _upstream=lambda options, way: Life(options, way, None),
    )

    async def until_announced(_one):
        if ended:
            stage.running.pop('u')
        return True

    async def say_late(_one, said):
        told.append(said)

    async def start(_one):
        assert 'u' not in stage.running, 'could be ended while it starts'

    monkeypatch.setattr(Life, 'start', start)
    stage.until_announced, stage._say_late = until_announced, say_late
    fakes.run(soak_fleet.Fleet.reborn(stage, 'u', 0.1))
    assert told == ([] if ended else ['said'])


def test_callers_of_a_pool_send_nothing_twice_by_themselves():
    """Guards against a request of one id that is sent twice and judged as
    one.
    """
    seen = []

    async def serve(reader, writer):
        while head := await reader.readuntil(b'\r\n\r\n'):
            seen.append(head.split()[1])
            if seen[-1] == b'/lost':
                break
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = 'http://%s:%d' % server.sockets[0].getsockname()
        async with plays.open_session() as session:
            async with session.get(address + '/kept') as answer:
                await answer.read()
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(address + '/lost') as answer:
                    await answer.read()
        server.close()

    asyncio.run(scenario())
    assert seen == [b'/kept', b'/lost']
