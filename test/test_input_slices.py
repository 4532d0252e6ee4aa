"""How costly input is divided, and who parses it when."""

import asyncio

import pytest

from carawaystair.load import input_slices
from carawaystair.request import turns

TINY_CHUNKS = b'1\r\nx\r\n' * 2000
BLANK_LINES = b'\r\n' * 5000
HEAD = b'GET / HTTP/1.1\r\n' + b'X-A: 1\r\n' * 100 + b'\r\n'


@pytest.mark.parametrize('data', [TINY_CHUNKS, BLANK_LINES])
def test_slice_of_many_lines_has_few(data):
    """Guards against input that keeps the event loop from others."""
    assert not input_slices.is_cheap(data)
    rest, slices = data, 0
    while rest:
        end = input_slices.end(rest)
        assert 0 < end <= len(rest)
        assert rest.count(b'\n', 0, end) <= input_slices.SLICE_LINES
        rest, slices = rest[end:], slices + 1
    assert slices < len(data) / input_slices.LEAST_BYTES


@pytest.mark.parametrize('data', [HEAD, bytes(2**20), b'', b'\n'])
def test_heads_and_long_chunks_are_parsed_at_once(data):
    """Guards against ordinary requests that wait for turns."""
    assert input_slices.is_cheap(data)
    assert input_slices.end(data) == len(data)


class Taker:
    """Takes a number of turns and notes each."""

    def __init__(self, name, shared, count, noted) -> None:
        self.name = name
        self.shared = shared
        self.left = count
        self.noted = noted

    def take_turn(self) -> None:
        self.noted.append(self.name)
        self.left -= 1
        if self.left:
            self.shared.wait(self)


def test_failure_in_a_turn_ends_no_others(caplog):
    """Guards against connections that wait for ever behind one that fails."""
    noted = []

    class Fails:
        """Fails in its turn."""

        def take_turn(self) -> None:
            raise ValueError('it fails')

    async def scenario():
        shared = turns.Turns()
        shared.wait(Fails())
        shared.wait(Taker('a', shared, 3, noted))
        for _iteration in range(10):
            await asyncio.sleep(0)

    asyncio.run(scenario())
    assert noted == ['a'] * 3


def test_turns_go_round_and_leave_others_their_iterations():
    """Guards against one connection that takes all turns at once."""
    noted = []

    async def scenario():
        shared = turns.Turns()
        for name in 'abc':
            shared.wait(Taker(name, shared, 4, noted))
        iterations = 0
        while len(noted) < 12:
            await asyncio.sleep(0)
            iterations += 1
        return iterations

    assert asyncio.run(scenario()) >= 12 / turns.TURNS
    assert ''.join(noted) == 'abc' * 4
