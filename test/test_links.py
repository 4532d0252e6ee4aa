"""Tests of messages over real loopback sockets."""

import asyncio
import os
import random
import time
import typing

import zmq

from carawaystair import codes
from carawaystair import datagrams
from carawaystair import links
from carawaystair import sockets
from carawaystair import wire
from standin import fleet


@wire.register(65002)
class Ping(typing.NamedTuple):
    """A question of these tests."""

    number: int


@wire.register(65003)
class Pong(typing.NamedTuple):
    """Its answer."""

    number: int


@wire.register(65004)
class Text(typing.NamedTuple):
    """A message of any length."""

    text: str


# Every process of a test run looks for its ports in an order of its own.
PORTS = random.Random(os.getpid())
TAKEN: set[str] = set()


def free_address() -> str:
    """Return a loopback address that nobody uses and no test had before."""
    return fleet.free_address(PORTS, TAKEN)


def test_no_address_is_handed_out_twice():
    """Two links of one test must not meet at one address.

    Symptom: a test fails with an address in use, and another one hangs when
    the links left behind are collected.  Sequence: two addresses are asked
    for before the first is bound.  Cause: the system picks among some
    thousand ports and knows nothing of those that were only looked at.
    """
    many = [free_address() for _ in range(1000)]
    assert len(set(many)) == len(many)
    TAKEN.difference_update(many)


async def _pair() -> tuple[links.Links, links.Links]:
    pair = links.Links(free_address()), links.Links(free_address())
    for link in pair:
        await link.start()
    return pair


def test_answers_find_their_questions():
    async def scenario():
        one, two = await _pair()

        async def slow_when_even(_sender, ping):
            await asyncio.sleep(0.02 * (ping.number % 2 == 0))
            return Pong(ping.number)

        two.handle(Ping, slow_when_even)
        calls = [one.call(two.address, Ping(n), 5.0) for n in range(50)]
        answers = await asyncio.gather(*calls)
        assert [a.ok.number for a in answers] == list(range(50))
        await one.stop()
        await two.stop()

    asyncio.run(scenario())


def test_silent_peer_gets_a_number_and_costs_bounded_memory():
    """A peer that is gone must not fill this process's memory.

    Symptom: memory grows while a peer is away.  Sequence: its host is lost,
    messages to it go on.  Cause: a queue without bound.
    """

    async def scenario():
        one, two = await _pair()
        await two.stop()
        result = await one.call(two.address, Ping(1), 0.05)
        assert result.error.code == codes.PEER_SILENT
        for number in range(links.QUEUE * 3):
            one.send(two.address, Ping(number))
        assert one.dropped >= links.QUEUE
        assert not one.pending
        await one.stop()

    asyncio.run(scenario())


def test_failing_handler_and_noise_do_not_stop_a_link():
    async def scenario():
        one, two = await _pair()

        async def fail_on_zero(_sender, ping):
            return Pong(10 // ping.number)

        two.handle(Ping, fail_on_zero)
        await one.call(two.address, Ping(0), 0.05)
        one._send(two.address, b'\x00\x01noise')
        result = await one.call(two.address, Ping(5), 5.0)
        assert result.ok == Pong(2)
        assert two.refused == 1
        await one.stop()
        await two.stop()

    asyncio.run(scenario())


def test_datagram_of_a_stranger_is_refused():
    """A stranger must not be able to declare hosts dead.

    Symptom: healthy hosts are taken for dead.  Sequence: somebody sends
    datagrams in the fleet's format.  Cause: datagrams carry no proof.
    """

    async def scenario():
        heard = asyncio.Queue()
        new, old, none = b'n' * 32, b'o' * 32, b''
        target = datagrams.Datagrams(free_address(), keys=[new, old])
        target.handle(Ping, lambda _sender, ping: heard.put_nowait(ping))
        await target.start()
        for number, key in enumerate((new, old, b'x' * 32, none)):
            keys = [key] if key else []
            sender = datagrams.Datagrams(free_address(), keys=keys)
            await sender.start()
            sender.send(target.address, Ping(number))
            await asyncio.sleep(0.01)
            await sender.stop()
        assert {(await heard.get()).number for _turn in range(2)} == {0, 1}
        while target.refused < 2:
            await asyncio.sleep(0.001)
        assert heard.empty()
        await target.stop()

    asyncio.run(scenario())


def _echo(address, count):
    """Answer some questions from a thread, without an event loop."""
    with zmq.Context() as context, context.socket(zmq.ROUTER) as router:
        router.linger = 0
        router.bind('tcp://%s' % address)
        for _question in range(count):
            identity, data = router.recv_multipart()
            header = wire.decode(data).ok.header
            answer = Pong(header.call)
            data = wire.encode(answer, address, header.call, True)
            router.send_multipart([identity, data])
        # The one-way message that ends the test.
        router.recv_multipart()


def test_an_answer_that_arrives_just_before_a_send_is_read():
    """An answer comes in while the process is busy, then it sends.

    Symptom: questions time out though they were answered at once.
    Sequence: question, a busy event loop, the answer arrives, a send on the
    same socket.  Cause: the send takes the wakeup of the socket, which comes
    once, for itself.
    """

    async def scenario():
        address = free_address()
        other = asyncio.create_task(asyncio.to_thread(_echo, address, 2))
        link = links.Links(free_address())
        await link.start()
        # The first question waits until the connection stands.
        assert (await link.call(address, Ping(1), 10)).is_ok()
        question = asyncio.create_task(link.call(address, Ping(2), 2))
        await asyncio.sleep(0)
        # The event loop is busy on purpose, until the answer is there.
        time.sleep(0.2)
        link.send(address, Ping(3))
        assert (await question).is_ok()
        await other
        await link.stop()

    asyncio.run(scenario())


def test_burst_of_messages_is_read_to_its_end():
    """Guards against messages that lie unread until the next one comes."""

    async def scenario():
        one, two = await _pair()
        heard = asyncio.Queue()

        async def take(_sender, ping):
            heard.put_nowait(ping.number)

        two.handle(Ping, take)
        count = 3 * sockets.BURST + 1
        for number in range(count):
            one.send(two.address, Ping(number))
        async with asyncio.timeout(20):
            numbers = [await heard.get() for _number in range(count)]
        assert numbers == list(range(count))
        await one.stop()
        await two.stop()

    asyncio.run(scenario())


def test_crash_while_receiving_ends_the_process():
    """Guards against processes that hear nobody and never know."""

    async def scenario():
        one, two = await _pair()

        def fail(_data):
            raise ValueError('crash')

        two._decode = fail
        one.send(two.address, Ping(1))
        async with asyncio.timeout(20):
            while not two.crashed:
                await asyncio.sleep(0.01)
        assert isinstance(two.crash_reason, ValueError)
        await one.stop()
        await two.stop()

    asyncio.run(scenario())


class Relay:
    """Passes bytes of one link on, counts pings, and can go silent."""

    def __init__(self, to: str) -> None:
        self.to = to
        self.address = free_address()
        self.silent = False
        # By whether the end that connected sent them.
        self.pings = {True: 0, False: 0}
        # Set once the end that was connected to has closed.
        self.closed = asyncio.Event()

    async def listen(self) -> asyncio.Server:
        ip, port = self.address.rsplit(':', 1)
        return await asyncio.start_server(self._accept, ip, int(port))

    async def _accept(self, reader, writer) -> None:
        far = await asyncio.open_connection(*self.to.rsplit(':', 1))
        await asyncio.gather(
            self._pass(reader, far[1], True),
            self._pass(far[0], writer, False),
        )

    async def _pass(self, reader, writer, connected: bool) -> None:
        while data := await reader.read(65536):
            self.pings[connected] += data.count(b'\x04PING')
            if not self.silent:
                writer.write(data)
        if not connected:
            self.closed.set()


def test_only_the_end_that_connected_sends_pings():
    """Guards against processes that are woken by pings both ways."""

    async def scenario():
        one, two = await _pair()
        relay = Relay(two.address)
        server = await relay.listen()
        one.send(relay.address, Ping(1))
        async with asyncio.timeout(20):
            while relay.pings[True] < 2:
                await asyncio.sleep(0.01)
        assert not relay.pings[False]
        await one.stop()
        await two.stop()
        server.close()

    asyncio.run(scenario())


def test_end_that_was_connected_to_closes_a_silent_link():
    """Guards against links of lost hosts that are kept for ever."""

    async def scenario():
        one, two = await _pair()
        relay = Relay(two.address)
        server = await relay.listen()
        one.send(relay.address, Ping(1))
        while not relay.pings[True]:
            await asyncio.sleep(0.01)
        relay.silent = True
        await asyncio.wait_for(relay.closed.wait(), 20)
        await one.stop()
        await two.stop()
        server.close()

    asyncio.run(scenario())


def test_idle_link_is_closed_and_opened_again(monkeypatch):
    """Guards against pings to every process that was ever asked."""
    monkeypatch.setattr(links, 'IDLE_S', 0.2)

    async def scenario():
        one, two = await _pair()

        async def answer(_sender, ping):
            return Pong(ping.number)

        two.handle(Ping, answer)
        for number in range(2):
            asked = await one.call(two.address, Ping(number), 20)
            assert asked.ok == Pong(number)
            async with asyncio.timeout(20):
                while one.peers:
                    await asyncio.sleep(0.01)
        await one.stop()
        await two.stop()

    asyncio.run(scenario())


def test_link_is_kept_for_some_pings_at_least():
    """Guards against links that are made anew for each message."""
    assert links.IDLE_S >= 10 * links.HEARTBEAT_MS / 1000


def test_message_beyond_the_bound_is_not_taken():
    """Guards against strangers whose long messages a process holds."""
    taken = []

    async def note(_sender, message) -> None:
        taken.append(message.text)

    async def scenario():
        link = links.Links(free_address(), max_bytes=1000)
        other = links.Links(free_address())
        for one in (link, other):
            await one.start()
        link.handle(Text, note)
        other.send(link.address, Text('x' * 1000))
        while not taken:
            # The long one ends the connection, which is made again.
            await asyncio.sleep(0.05)
            other.send(link.address, Text('short'))
        for one in (link, other):
            await one.stop()

    asyncio.run(scenario())
    assert set(taken) == {'short'}
