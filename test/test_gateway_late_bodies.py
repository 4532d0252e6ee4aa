"""Requests whose last byte comes late while the node that took them stops."""

import asyncio
import typing

import pytest

from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

DRAIN_S = 6.0
LAME_DUCK_S = 2.4
# The route's timeout binds, not the caller's.
PATIENT = {'Caraway_Deadline_Ms': '20000'}
ROUTES = (
    fleets.manifest.Route(
        '/order/', 'portal', idempotent=False, timeout_ms=20_000
    ),
    fleets.manifest.Route(
        '/read/', 'portal', idempotent=True, timeout_ms=20_000
    ),
    # Its requests end before their node does, whatever they take.
    fleets.manifest.Route(
        '/short/', 'portal', idempotent=False, timeout_ms=4_000
    ),
)
# Pieces in which a body comes.
PIECES = 10
SIZES = [
    pytest.param(3_000, False, id='short'),
    pytest.param(3_000, True, id='short, in chunks'),
    pytest.param(20_000, False, id='asked for'),
    pytest.param(150_000, False, id='long'),
    pytest.param(150_000, True, id='long, in chunks'),
]


class Upstream:
    """Script whose runs take what the path says."""

    def __init__(self) -> None:
        # Runs that began with their whole body, and those that were cut.
        self.began = 0
        self.cut = 0

    async def __call__(self, upstream, seen, writer) -> None:
        """Run one request, also beyond its deadline."""
        self.began += 1
        await asyncio.sleep(float(seen.line.split()[1].rpartition('/')[2]))
        if writer.transport.is_closing():
            self.cut += 1
        else:
            writer.write(fleets.good())


class Body(typing.NamedTuple):
    """A body that comes in pieces.

    :param size: its bytes.
    :param chunked: whether it comes without a length.
    :param whole_s: when it is whole, after the head, seconds.
    :param missing: last pieces of it that never come.
    """

    size: int
    chunked: bool
    whole_s: float
    missing: int = 0

    @property
    def framing(self) -> bytes:
        """Return the last lines of the head."""
        if self.chunked:
            return b'Transfer-Encoding: chunked\r\n\r\n'
        return b'Content-Length: %d\r\n\r\n' % self.size

    def pieces(self) -> list[bytes]:
        """Return what is sent, piece after piece."""
        piece = b'x' * (self.size // PIECES)
        if not self.chunked:
            return [piece] * PIECES
        pieces = [b'%x\r\n%b\r\n' % (len(piece), piece)] * PIECES
        return [*pieces[:-1], pieces[-1] + b'0\r\n\r\n']

    async def send(self, writer) -> None:
        """Send it piece after piece."""
        pieces = self.pieces()
        for piece in pieces[: len(pieces) - self.missing]:
            await asyncio.sleep(self.whole_s / PIECES)
            writer.write(piece)


async def ask(path: str, body: Body) -> setups.Answer:
    """Send a request to the first node; its status is 0 if none came."""
    reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
    head = 'POST %s HTTP/1.1\r\nHost: h\r\nCaraway-Deadline-Ms: 20000\r\n'
    writer.write((head % path).encode() + body.framing)
    sending = asyncio.ensure_future(body.send(writer))
    try:
        line, found = await setups.read_head(reader)
        answer = await setups.read_body(reader, found)
        return setups.Answer(int(line.split()[1]), found, answer)
    except (asyncio.IncompleteReadError, ConnectionError):
        return setups.Answer(0, {'caraway-outcome': ''}, b'', False)
    finally:
        sending.cancel()
        writer.close()


class Stopped(typing.NamedTuple):
    """What came of a request whose body came while its node stopped.

    :param answer: its answer.
    :param answered_s: when that came, after the signal, seconds.
    :param began: runs that began with the whole request.
    :param cut: runs that were cut.
    """

    answer: setups.Answer
    answered_s: float
    began: int
    cut: int


async def _later(at: float, begin: typing.Callable) -> typing.Any:
    """Return what a coroutine returns that begins at a time of the loop."""
    await asyncio.sleep(max(at - asyncio.get_running_loop().time(), 0.0))
    return await begin()


async def ask_around_stop(
    path: str, body: Body, head_s: float = -0.2, warm: int = 0
) -> Stopped:
    """Send one request to a node around the stop of a process.

    :param head_s: when its head is sent, against the signal, seconds.
    :param warm: short runs of its route before.
    """
    upstream = Upstream()
    async with fleets.running(
        None,
        upstream,
        routes=ROUTES,
        lame_duck_s=LAME_DUCK_S,
        drain_s=DRAIN_S,
    ) as fleet:
        prefix = path.rpartition('/')[0]
        for _turn in range(warm):
            await fleet.ask(prefix + '/0.05', 'POST', body=b'x', **PATIENT)
        upstream.began = 0
        loop = asyncio.get_running_loop()
        signal_at = loop.time() + max(-head_s, 0.0)
        service = fleet.nodes[0].service
        asking = asyncio.ensure_future(
            _later(signal_at + head_s, lambda: ask(path, body))
        )
        stopping = asyncio.ensure_future(_later(signal_at, service.stop))
        answer = await asking
        answered_s = loop.time() - signal_at
        await stopping
        await asyncio.sleep(DRAIN_S)
        return Stopped(answer, answered_s, upstream.began, upstream.cut)


@pytest.mark.parametrize('head_s', [-0.2, 1.0])
@pytest.mark.parametrize('path', ['/order/4', '/read/4'])
@pytest.mark.parametrize('size,chunked', SIZES)
def test_request_that_is_whole_late_in_a_stop_is_not_cut(
    size, chunked, path, head_s
):
    """Guards against work that its node can't wait for, as it stops."""
    body = Body(size, chunked, 3.5)
    seen = pipes.run(ask_around_stop(path, body, head_s))
    assert (seen.began, seen.cut) == (0, 0)
    assert (seen.answer.status, seen.answer.outcome) == (503, 'not-run')
    assert seen.answer.headers['connection'] == 'close'


@pytest.mark.parametrize('size,chunked', SIZES)
def test_request_of_which_few_runs_are_known_is_not_cut_late_in_a_stop(
    size, chunked
):
    """Guards against the mean of a few short runs taken for a bound."""
    body = Body(size, chunked, 3.5)
    seen = pipes.run(ask_around_stop('/order/4', body, warm=10))
    assert (seen.began, seen.cut) == (0, 0)
    assert (seen.answer.status, seen.answer.outcome) == (503, 'not-run')


@pytest.mark.parametrize('size,chunked', SIZES)
def test_request_whose_runs_are_known_to_be_short_is_served_late_in_a_stop(
    size, chunked
):
    """Guards against refusals of what is whole in time."""
    body = Body(size, chunked, 4.0)
    seen = pipes.run(ask_around_stop('/order/0.05', body, warm=400))
    assert (seen.answer.status, seen.began) == (200, 1)


@pytest.mark.parametrize('size,chunked', SIZES)
def test_request_whose_time_ends_before_its_node_is_served_late_in_a_stop(
    size, chunked
):
    """Guards against refusals where the request's own time binds."""
    body = Body(size, chunked, 3.0)
    seen = pipes.run(ask_around_stop('/short/0.1', body))
    assert (seen.answer.status, seen.began) == (200, 1)


@pytest.mark.parametrize('size,chunked', SIZES)
def test_request_that_is_whole_early_in_a_stop_is_served(size, chunked):
    """Guards against refusals of what is whole while requests are taken."""
    body = Body(size, chunked, 1.5)
    seen = pipes.run(ask_around_stop('/order/1', body))
    assert (seen.answer.status, seen.began) == (200, 1)


@pytest.mark.parametrize('size,chunked', SIZES)
def test_body_that_can_not_come_in_time_is_refused_before_the_end(
    size, chunked
):
    """Guards against callers that wait for an answer until their node ends."""
    body = Body(size, chunked, 4.0, missing=1)
    seen = pipes.run(ask_around_stop('/order/0.1', body))
    assert (seen.began, seen.cut) == (0, 0)
    assert (seen.answer.status, seen.answer.outcome) == (503, 'not-run')
    assert seen.answer.headers['connection'] == 'close'
    assert seen.answered_s < DRAIN_S - 1.0


@pytest.mark.parametrize('size,chunked', SIZES[3:])
def test_upload_that_its_upstream_has_in_part_is_broken_off_in_time(
    size, chunked
):
    """Guards against an upload whose run begins as its node ends.

    Its upstream has a part of it, so that nobody may say that it did not run.
    """
    body = Body(size, chunked, 13.0)
    seen = pipes.run(ask_around_stop('/order/2', body, head_s=-8.0))
    assert (seen.began, seen.cut) == (0, 0)
    assert (seen.answer.status, seen.answer.outcome) == (502, 'unknown')
    assert seen.answered_s < DRAIN_S - 1.0


@pytest.mark.parametrize('size,chunked', SIZES[3:])
def test_upload_that_its_upstream_has_in_part_is_not_cut_after_five_means(
    size, chunked
):
    """Guards against an upload that is cut though it was whole in time."""
    body = Body(size, chunked, 12.0)
    seen = pipes.run(ask_around_stop('/order/2', body, head_s=-8.0))
    assert seen.cut == 0


# Bytes a second from a node to a gateway; the body takes two seconds.
SLOW_BYTES_S = 20_000


def test_gateway_that_is_asked_to_stop_while_a_body_comes_cuts_no_order():
    """Guards against a run that was allowed before its body was there."""

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.callers_links[7001] = pipes.Link(SLOW_BYTES_S)
        upstream = Upstream()
        async with fleets.running(
            None, upstream, routes=ROUTES, drain_s=DRAIN_S
        ) as fleet:
            body = Body(2 * SLOW_BYTES_S, False, 0.0)
            asking = asyncio.ensure_future(ask('/order/5.5', body))
            await asyncio.sleep(0.5)
            queue = fleet.nodes[1].service.executor.slots['u9001'].queue
            running = queue.running
            await fleet.nodes[1].service.stop()
            answer = await asking
            return running, answer.status, answer.outcome, upstream.began

    assert pipes.run(scenario()) == (1, 503, 'not-run', 0)
