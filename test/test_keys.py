"""Tests of keys on real loopback sockets: strangers, old keys, rotation."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest
import zmq

from carawaystair import codes
from carawaystair import daemon
from carawaystair import datagrams
from carawaystair import freshness
from carawaystair import keys
from carawaystair import links
from carawaystair import timeline
from carawaystair import wire
from test import fakes
from test import test_daemon
from test import test_links

OLD, NEW, OTHER = keys.generate(), keys.generate(), keys.generate()
CALL_S = 5.0
REFUSED_S = 0.3
POLL_S = 0.01


async def echo(_sender, ping):
    return test_links.Pong(ping.number)


@contextlib.asynccontextmanager
async def linked(*helds: list[keys.Key]):
    """Yield started links that answer, one for each list of keys."""
    made = [
        links.Links(test_links.free_address(), held=held) for held in helds
    ]
    try:
        for each in made:
            each.handle(test_links.Ping, echo)
            await each.start()
        yield made
    finally:
        for each in made:
            await each.stop()


async def reaches(source, target, timeout_s: float = CALL_S) -> bool:
    """Tell whether a question of ``source`` is answered."""
    ping = test_links.Ping(1)
    result = await source.call(target.address, ping, timeout_s)
    return result.is_ok()


async def counts_stranger(host, before: int = 0) -> bool:
    """Tell whether a host counts one more stranger.

    It does so at the end of a handshake, which has no bound of its own. At a
    load of 36 one run found none counted after 0.3 s; in 60 rounds at a load
    of 30 it took 0.056 s at most.
    """
    try:
        async with asyncio.timeout(CALL_S):
            while host.strangers <= before:
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        return False
    return True


def test_holders_of_a_key_talk_and_strangers_are_refused_and_counted():
    """A stranger must not be able to vote, eject or configure.

    Symptom: a configuration that nobody submitted.  Sequence: somebody in
    the same network connects and speaks the fleet's protocol.  Cause: links
    without proof of who connects.
    """

    async def scenario():
        half = OTHER._replace(curve_public=OLD.curve_public)
        helds = ([OLD], [OLD], [], [OTHER], [half])
        async with linked(*helds) as (host, friend, *strangers):
            assert await reaches(friend, host)
            for stranger in strangers:
                before = host.strangers
                assert not await reaches(stranger, host, REFUSED_S)
                assert await counts_stranger(host, before)
            assert await reaches(friend, host)

    asyncio.run(scenario())


def test_public_half_alone_does_not_admit():
    """Somebody learned the public key, as public keys are.

    Symptom and cause as for any stranger: the server must ask the client
    for its own proof, too.
    """

    async def scenario():
        public, secret = zmq.curve_keypair()
        async with linked([OLD]) as (host,):
            socket = host.context.socket(zmq.DEALER)
            socket.curve_serverkey = OLD.curve_public.encode()
            socket.curve_publickey, socket.curve_secretkey = public, secret
            socket.connect('tcp://%s' % host.address)
            await socket.send(wire.encode(test_links.Ping(1), 'x:1', 1))
            answer = asyncio.ensure_future(socket.recv())
            counted = await counts_stranger(host)
            await asyncio.wait([answer], timeout=REFUSED_S)
            answered = answer.done()
            answer.cancel()
            socket.close(0)
            assert counted and not answered

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'here,there',
    [
        ([OLD], [OLD, NEW]),
        ([OLD, NEW], [NEW, OLD]),
        ([NEW, OLD], [NEW]),
    ],
)
def test_neighbouring_steps_of_a_rotation_talk_both_ways(here, there):
    async def scenario():
        async with linked(here, there) as (one, two):
            assert await reaches(one, two)
            assert await reaches(two, one)

    asyncio.run(scenario())


def test_rotation_under_load_loses_no_message():
    """Keys are changed on running processes.

    Symptom: questions go unanswered while keys change.  Sequence: one
    process after the other takes the new key beside the old, then first,
    then alone.  Cause: links are cut, or wait for a listener that is gone.
    """

    async def scenario():
        answered = []
        done = asyncio.Event()

        async def ask(source, target):
            while not done.is_set():
                ping = test_links.Ping(len(answered))
                result = await source.call(target.address, ping, CALL_S)
                assert result.is_ok()
                answered.append(result.ok)

        async with linked([OLD], [OLD], [OLD]) as (one, two, late):
            pairs = ((one, two), (two, one))
            asking = [asyncio.create_task(ask(*pair)) for pair in pairs]
            for held in ([OLD, NEW], [NEW, OLD], [NEW]):
                for each in (one, two):
                    await each.use(held)
                    count = len(answered)
                    while len(answered) < count + 50:
                        assert not any(task.done() for task in asking)
                        await asyncio.sleep(0.001)
            done.set()
            await asyncio.gather(*asking)
            assert not await reaches(late, one, REFUSED_S)

    asyncio.run(scenario())


def test_question_on_a_retired_link_is_asked_again():
    """Keys are changed while a link is still being made.

    Symptom: now and then a question stays without an answer while keys
    change.  Sequence: a link with the old key meets the listener of the
    other one and is tried again; meanwhile the first key changes, so that
    the link is retired with the question in it, and the peer drops the old
    key, so that it never gets in.  Cause: only a silent link that is still
    in use was opened anew, and nobody had asked on the new one.
    """

    async def scenario():
        async with linked([OLD], [NEW]) as (one, two):
            ping = test_links.Ping(1)
            asking = asyncio.create_task(one.call(two.address, ping, CALL_S))
            await asyncio.sleep(0.1)
            await one.use([NEW, OLD])
            result = await asking
            assert result.is_ok()

    asyncio.run(scenario())


def test_open_link_of_a_dropped_key_is_cut(monkeypatch):
    """A key was stolen, and its thief has a link open.

    Symptom: the thief goes on after the key was changed everywhere.
    Sequence: the thief connects, the fleet drops the key.  Cause: a key is
    asked for only when a link is made.
    """
    monkeypatch.setattr(links, 'RETIRE_S', 0.05)

    async def scenario():
        async with linked([OLD], [OLD]) as (host, thief):
            assert await reaches(thief, host)
            for held in ([OLD, NEW], [NEW, OLD], [NEW]):
                await host.use(held)
                assert await reaches(thief, host)
            await asyncio.sleep(links.RETIRE_S * 2)
            assert not await reaches(thief, host, REFUSED_S)

    asyncio.run(scenario())


def test_links_go_over_to_the_first_key(monkeypatch):
    """All processes took a new key, and the old one is dropped.

    Symptom: some time after the drop no process reaches any other.
    Sequence: links stay open under the old key until they are cut, and then
    try the old key for ever.  Cause: a link keeps the key it was made with.
    """
    monkeypatch.setattr(links, 'RETIRE_S', 0.05)

    async def scenario():
        async with linked([OLD], [OLD]) as (one, two):
            for held in ([OLD], [OLD, NEW], [NEW, OLD], [NEW]):
                await one.use(held)
                await two.use(held)
                assert await reaches(one, two)
            await asyncio.sleep(links.RETIRE_S * 2)
            assert await reaches(one, two, REFUSED_S)

    asyncio.run(scenario())


def test_second_process_on_the_address_is_refused():
    """Two processes run with the same settings.

    Symptom: each gets about half of the links.  Sequence: a second one is
    started by hand.  Cause: listeners of several keys share a port, which
    the system would grant the second process, too.
    """

    async def scenario():
        async with linked([OLD]) as (first,):
            second = links.Links(first.address, held=[OLD])
            try:
                with pytest.raises(OSError):
                    await second.on_start()
            finally:
                await second.stop()

    asyncio.run(scenario())


def test_recorded_datagram_sent_again_later_is_refused():
    """Somebody records "host X is dead" and sends it again days later.

    Symptom: a healthy host is suspected.  Sequence: datagrams are recorded
    and replayed with their valid authenticators.  Cause: an authenticator
    proves who made a datagram, not when.
    """

    async def scenario():
        heard = []
        key = OLD.datagram_bytes()
        target = datagrams.Datagrams('127.0.0.1:1', keys=[key])
        target.handle(test_links.Ping, lambda _s, ping: heard.append(ping))

        def arrive(number, at_ms):
            time = at_ms << timeline.COUNTER_BITS
            ping = test_links.Ping(number)
            data = wire.encode(ping, '127.0.0.1:2', time=time)
            target.received(datagrams.tag(key, data) + data)

        start = fakes.WALL_START_MS
        arrive(1, start)
        arrive(2, start + 60_000)
        arrive(1, start)
        assert [ping.number for ping in heard] == [1, 2]
        assert target.replayed == 1
        # Late or doubled within the window is the network's doing.
        arrive(3, start + 60_000 - freshness.WINDOW_MS)
        assert heard[-1].number == 3
        # A host that restarts with a wrong clock is heard again in the end.
        await asyncio.sleep(freshness.FORGET_S)
        arrive(4, start - 3_600_000)
        assert heard[-1].number == 4

    fakes.run(scenario())


def test_senders_remembered_are_bounded():
    async def scenario():
        fresh = freshness.Freshness()
        for number in range(freshness.MAX_SENDERS + 10):
            assert fresh.accept('sender-%d' % number, 1)
        assert len(fresh.newest) == freshness.MAX_SENDERS

    fakes.run(scenario())


@pytest.mark.parametrize(
    'change,text',
    [
        ({'id': ''}, '$.id'),
        ({'curve_secret': 'x'}, '$.curve_secret'),
        ({'curve_public': OTHER.curve_public}, '$.curve_public'),
        ({'datagram': 'zz'}, '$.datagram'),
        ({'secret': 'x'}, "did you mean 'curve_secret'?"),
    ],
)
def test_damaged_key_file_is_numbered(tmp_path, change, text):
    file = tmp_path / 'fleet.key'
    keys.write(OLD, file)
    assert keys.read(str(file)).ok == OLD
    file.write_text(json.dumps(OLD._asdict() | change))
    failure = keys.read(str(file)).error
    assert failure.code == codes.KEY_FILE_INVALID
    assert text in failure.detail


def test_key_file_that_others_may_read_is_refused(tmp_path):
    file = tmp_path / 'fleet.key'
    keys.write(OLD, file)
    os.chmod(file, 0o644)
    assert keys.read(str(file)).error.code == codes.KEY_FILE_INVALID


def test_daemon_with_a_missing_key_starts_nothing(tmp_path, capsys):
    settings = {'host': 'h', 'data_centre': 'd', 'region': 'r'}
    settings['keys'] = [str(tmp_path / 'none.key')]
    file = tmp_path / 'settings.json'
    file.write_text(json.dumps(settings))
    assert daemon.main(['--settings', str(file)]) == daemon.EXIT_SETTINGS
    assert codes.KEY_FILE_INVALID.label in capsys.readouterr().err


def test_daemon_takes_the_keys_of_its_settings_at_sighup(tmp_path):
    """Keys are rotated on a running process; one step goes wrong.

    Symptom: the process stops, or goes on without keys.  Sequence: settings
    name the new key and SIGHUP is sent; then they name a file that is not
    there.  Cause: the old keys are let go before the new ones are read.
    """
    paths = [str(tmp_path / name) for name in ('old.key', 'new.key')]
    for key, path in zip((OLD, NEW), paths):
        keys.write(key, pathlib.Path(path))
    file = test_daemon.settings(tmp_path, keys=paths[:1])
    local = json.loads(file.read_text())['node']['local']
    process = subprocess.Popen(
        [sys.executable, '-m', 'carawaystair.start', '--settings', file],
        cwd=pathlib.Path(__file__).parent.parent,
        stderr=subprocess.PIPE,
    )
    try:
        test_daemon._get('http://%s/v1/status' % local)
        document = json.loads(file.read_text())
        for named in (paths, [str(tmp_path / 'none')]):
            file.write_text(json.dumps(document | {'keys': named}))
            process.send_signal(signal.SIGHUP)
            told = _told(process, 'Took other keys', 'Kept the old keys')
        assert 'Kept the old keys' in told and 'CS-1014' in told
        events = test_daemon._get('http://%s/v1/timeline' % local)
        changed = [e['text'] for e in events if e['kind'] == 'keys-changed']
        assert changed == ['now %s, %s' % (OLD.id, NEW.id)]
    finally:
        process.kill()
        process.communicate()


def _told(process: subprocess.Popen, *texts: str) -> str:
    """Return the next log line that holds one of ``texts``."""
    for line in process.stderr:
        if any(text in line.decode() for text in texts):
            return line.decode()
    raise AssertionError('the process ended')
