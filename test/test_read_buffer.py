"""What connections hold of what they receive."""

import asyncio
import gc
import weakref

import pytest

from carawaystair import read_buffer
from carawaystair.request import errors
from carawaystair.request import listener as listeners

POST = b'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n'


async def read_all(request) -> bool:
    """Read a body to its end."""
    try:
        while not request.content.at_eof():
            await request.content.readany()
    except errors.BodyError:
        return False
    return True


async def hold(request) -> bool:
    """Read nothing of a body."""
    await asyncio.sleep(10.0)
    return False


@pytest.mark.parametrize('handle', [read_all, hold])
@pytest.mark.parametrize('sent', [10, 50_000], ids=['little', 'much'])
def test_ended_connection_holds_nothing(handle, sent):
    """Guards against memory that closed connections keep until garbage is
    collected.
    """

    async def scenario():
        listener = listeners.Listener(handle)
        await listener.listen('127.0.0.1:0')
        address = listener.server.sockets[0].getsockname()
        _reader, writer = await asyncio.open_connection(*address)
        writer.write(POST + bytes(sent))
        while not any(one.answering for one in listener.connections):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        left = weakref.ref(next(iter(listener.connections)))
        writer.transport.abort()
        while listener.connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        listener.close()
        return left()

    gc.disable()
    try:
        assert asyncio.run(scenario()) is None
    finally:
        gc.enable()


def test_received_data_is_no_part_of_the_shared_buffer():
    """Guards against data that a later connection overwrites."""

    class Protocol(read_buffer.SharedBuffer):
        def data_received(self, data: bytes) -> None:
            self.data = data

    one, other = Protocol(), Protocol()
    for protocol, data in ((one, b'first'), (other, b'other')):
        protocol.get_buffer(-1)[: len(data)] = data
        protocol.buffer_updated(len(data))
    assert (one.data, other.data) == (b'first', b'other')
