"""Holds answers for readers that are slower than their senders.

``load.held_bytes`` decides; this module waits and breaks off.
"""

import asyncio
import contextlib
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.load import held_bytes
from carawaystair import metrics
from carawaystair.request import body as bodies
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server
from carawaystair.request import validation

# Interval in which waiting answers check whether there is room, seconds.
CHECK_INTERVAL_S = 0.25
# Most bytes to read at once.
MAX_PIECE_BYTES = 64 * 1024
MS = 1000


class HeldAnswer:
    """What is held of one answer.

    :param memory: the memory of the process.
    :param holding: the answer's part of it.
    :param exchange: the request.
    """

    __slots__ = ('exchange', 'holding', 'memory', 'progress')

    def __init__(
        self,
        memory: 'AnswerMemory',
        holding: held_bytes.Holding,
        exchange: exchanges.Exchange,
    ) -> None:
        self.memory = memory
        self.holding = holding
        self.exchange = exchange
        # Set whenever its reader has taken something.
        self.progress = asyncio.Event()

    def take(self, size: int) -> None:
        """Record bytes that arrived."""
        self.memory.held.take(self.holding, size)

    def give(self, size: int) -> None:
        """Record bytes that the reader took."""
        self.memory.held.give(self.holding, size)
        self.progress.set()

    async def wait_room(self) -> int:
        """Wait until more bytes of the answer may be held; return how many.

        They are at most ``MAX_PIECE_BYTES``.
        """
        held = self.memory.held
        while (room := held.room(self.holding)) < 1:
            self.progress.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.progress.wait()
        return int(min(room, MAX_PIECE_BYTES))

    async def wait_drained(self) -> None:
        """Wait until the reader has taken most of what was written."""
        held = self.memory.held
        held.block(self.holding, clock.now())
        try:
            await self.exchange.wait_drained()
        finally:
            held.unblock(self.holding)


class AnswerMemory:
    """The answers that a process holds; one for each process.

    :param limit_bytes: most bytes of them; 0 for no bound.
    :param recorder: records events.
    """

    def __init__(self, limit_bytes: int, recorder: decisions.Recorder) -> None:
        self.held = (
            held_bytes.HeldBytes(limit_bytes)
            if limit_bytes
            else held_bytes.HeldBytes()
        )
        self.recorder = recorder
        self.answers: dict[held_bytes.Holding, HeldAnswer] = {}
        self.bodies: dict[http_server.Request, held_bytes.Holding] = {}
        self.broken_off = 0

    @property
    def is_bounded(self) -> bool:
        """Return whether there is a bound."""
        return self.held.is_bounded

    @property
    def refuses(self) -> bool:
        """Return whether new requests should be refused."""
        return self.is_bounded and self.held.refuses(clock.now())

    @contextlib.asynccontextmanager
    async def hold(
        self, owner: str, exchange: exchanges.Exchange
    ) -> typing.AsyncIterator[HeldAnswer]:
        """Hold an answer, once there is room for its first bytes.

        :param owner: whose share it uses: a customer, a caller or a host.
        """
        while (holding := self.held.open(owner)) is None:
            if not self._break_off(owner):
                await asyncio.sleep(CHECK_INTERVAL_S)
        answer = HeldAnswer(self, holding, exchange)
        self.answers[holding] = answer
        try:
            yield answer
        finally:
            del self.answers[holding]
            self.held.close(holding)

    def _break_off(self, owner: str) -> bool:
        """Break off an answer for a new one; return whether there is one."""
        now = clock.now()
        holding = self.held.to_break_off(owner, now)
        if holding is None:
            return False
        answer = self.answers[holding]
        self.recorder.tell(
            decisions.Unread(
                answer.exchange.id,
                holding.owner,
                codes.ANSWER_UNREAD.label,
                holding.bytes,
                int((now - self.held.blocked[holding]) * MS),
                int(self.held.total),
                int(self.held.limit),
                len(self.held.holdings),
            ),
            decisions.TROUBLE,
        )
        self.broken_off += 1
        # Its place is free at once: its task ends a moment later.
        self.held.close(holding)
        answer.exchange.abort()
        return True

    def hold_body(
        self, request: http_server.Request, owner: str, length: int | None
    ) -> bool:
        """Return whether to read the whole of a long body.

        A caller that sends slowly then holds no slot meanwhile.  What is too
        long, of unknown length, or beyond the share of all bodies, is
        streamed.

        :param owner: whose share it uses.
        :param length: its length, None when it is chunked.
        :raises validation.Refused: when there is no room for it.
        """
        if not self.is_bounded or length is None:
            return False
        if not bodies.MAX_BUFFERED_BYTES < length <= self.held.most_of_one:
            return False
        if not self.held.has_body_room(length):
            return False
        holding = self.held.open(owner, length)
        if holding is None:
            raise validation.Refused(
                codes.MEMORY_FULL, retry_after_s=held_bytes.BLOCKED_S
            )
        self.bodies[request] = holding
        return True

    def release_body(self, request: http_server.Request) -> bool:
        """Release the body of a request; return whether it was held."""
        holding = self.bodies.pop(request, None)
        if holding is None:
            return False
        self.held.close(holding)
        return True

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the metrics."""
        held = self.held
        yield metrics.Sample('held_bytes', held.total)
        yield metrics.Sample('held_answers', len(self.answers))
        yield metrics.Sample('held_bodies', len(self.bodies))
        yield metrics.Sample('held_blocked', len(held.blocked))
        yield metrics.Sample('broken_off_total', self.broken_off)
        if held.is_bounded:
            yield metrics.Sample('held_limit_bytes', held.limit)
            greatest = max(held.owners.values(), default=0)
            yield metrics.Sample('held_owner_bytes', greatest)
