"""Tests of requests that crash upstreams, without gateways."""

import asyncio
import contextlib
import types

import pytest

from carawaystair import codes
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair import quarantine
from carawaystair import settings
from test import fakes
from test import pipes
from test import request_setup as setups

DOWN_S = 2.0
LIMIT = 3
# The beginning of an answer that is streamed.
ANSWER_START = (
    b'HTTP/1.1 200 X\r\nContent-Length: 400000\r\n\r\n' + b'x' * 200_000
)


class Members:
    """The members of a fleet of one process."""

    me = interfaces.Member('h1', 'a', 'r', '10.0.0.1:1', '10.0.0.1:1')

    def alive(self):
        """Return the only member."""
        return (self.me,)

    def subscribe(self, callback) -> None:
        """Do nothing: the members don't change."""


def make_quarantine():
    """Return the quarantine of a fleet of one process."""
    text = '{"host": "h1", "data_centre": "a", "region": "r"}'
    kernel = types.SimpleNamespace(
        settings=settings.parse(text).ok,
        links=fakes.Network().transport('10.0.0.1:1'),
        recorder=decisions.Recorder('h1'),
    )
    return quarantine.make(kernel, Members())


async def crash_or_serve(upstream, seen, writer):
    """Crash if the path says so, and restart with another id."""
    if 'crash' not in seen.line:
        await asyncio.sleep(0.05)
        writer.write(setups.reply(upstream.name.encode()))
        return
    if 'download' in seen.line:
        writer.write(ANSWER_START)
    await asyncio.sleep(0.02)
    upstream.crash()
    upstream.restart = asyncio.get_running_loop().call_later(
        DOWN_S, lambda: asyncio.ensure_future(upstream.start())
    )


@pytest.mark.parametrize(
    ('path', 'method'),
    [
        ('/portal/crash', 'GET'),
        ('/portal/crash', 'POST'),
        ('/portal/crash/download', 'GET'),
    ],
)
def test_request_that_crashed_three_upstreams_reaches_no_more(path, method):
    """Guards against a request that crashes one upstream after another."""

    async def scenario():
        known = make_quarantine()
        upstreams = [
            setups.Upstream(9000 + n, crash_or_serve) for n in range(8)
        ]
        async with setups.running(*upstreams, quarantine=known) as setup:
            await known.start()
            for number in range(40):
                await setup.ask('/portal/%d' % number)
            told = []
            body = b'x' if method == 'POST' else None
            for _attempt in range(20):
                with contextlib.suppress(asyncio.IncompleteReadError):
                    told.append(await setup.ask(path, method, body=body))
                sound = await setup.ask('/portal/sound')
                await asyncio.sleep(0.5)
            await known.stop()
            reached = sum('crash' in seen.line for seen in setup.runs)
            return told, sound, reached, known.list_suspects()

    told, sound, reached, (suspect,) = pipes.run(scenario())
    assert reached <= LIMIT + 1
    assert told[-1].code == codes.CRASHES_UPSTREAMS.label
    assert (told[-1].status, told[-1].outcome) == (503, codes.NOT_RUN)
    assert sound.status == 200
    assert suspect.refused_s > 0
