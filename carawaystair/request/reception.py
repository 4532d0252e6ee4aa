"""Receives long request bodies within what a process can hold.

``load.intake`` decides; this module reads, refuses and breaks off.
"""

import typing

from aiohttp import streams

from carawaystair import clock
from carawaystair import codes
from carawaystair.load import intake as intakes
from carawaystair import metrics
from carawaystair.request import errors
from carawaystair.request import validation


class Reception:
    """Reads a long body; used like the reader of a connection.

    :param content: the reader of the connection.
    :param body: its part of what the process receives.
    :param receiver: the receiver of the listener.
    """

    __slots__ = ('body', 'broken_off', 'content', 'receiver')

    def __init__(
        self,
        content: streams.StreamReader,
        body: intakes.Body,
        receiver: 'Receiver',
    ) -> None:
        self.content = content
        self.body = body
        self.receiver = receiver
        self.broken_off = False

    async def readany(self) -> bytes:
        """Return what has arrived, or wait for some.

        :raises validation.Refused: when it was broken off.
        """
        self.body.wait(clock.now())
        data = b''
        try:
            data = await self.content.readany()
        except errors.BodyError:
            if self.broken_off:
                raise _refusal('its body made no progress') from None
            raise
        finally:
            self.body.receive(len(data), clock.now())
        if self.content.at_eof():
            self.receiver.end(self.body)
        return data

    def at_eof(self) -> bool:
        """Return whether all was read."""
        return self.content.at_eof()

    def exception(self) -> BaseException | None:
        """Return the error that ended the body, if any."""
        return self.content.exception()

    def break_off(self) -> None:
        """Let whoever reads it fail."""
        self.broken_off = True
        self.content.set_exception(errors.BodyError('broken off'))


class Receiver:
    """Receives the long bodies of a listener.

    :param name: of the listener, for metrics.
    :param limit: most of them at the same time.
    """

    def __init__(self, name: str, limit: float) -> None:
        self.name = name
        self.intake = intakes.Intake(limit)
        self.receptions: dict[intakes.Body, Reception] = {}
        self.refused = 0
        self.broken_off = 0

    def receive(self, content: streams.StreamReader, owner: str) -> Reception:
        """Return the reader of a long body.

        :param content: the reader of the connection.
        :param owner: the customer or address that sends it.
        :raises validation.Refused: when there is no room for it.
        """
        if self.intake.is_full and not self._make_room(owner):
            self.refused += 1
            raise _refusal('no room for its body')
        body = intakes.Body(owner)
        self.intake.add(body)
        reception = Reception(content, body, self)
        self.receptions[body] = reception
        return reception

    def _make_room(self, owner: str) -> bool:
        """Break off a body for one of an owner; return whether one was."""
        victim = self.intake.to_break_off(owner, clock.now())
        if victim is None:
            return False
        self.broken_off += 1
        reception = self.receptions[victim]
        self.end(victim)
        reception.break_off()
        return True

    def end(self, body: intakes.Body) -> None:
        """Give back the room of a body, unless that was done before."""
        self.intake.remove(body)
        self.receptions.pop(body, None)

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the metrics."""
        labels = (('listener', self.name),)
        bodies = len(self.intake.bodies)
        yield metrics.Sample('long_bodies', bodies, labels)
        yield metrics.Sample('long_bodies_limit', self.intake.limit, labels)
        yield metrics.Sample('long_bodies_refused_total', self.refused, labels)
        yield metrics.Sample(
            'long_bodies_broken_off_total', self.broken_off, labels
        )


def _refusal(detail: str) -> validation.Refused:
    return validation.Refused(
        codes.MEMORY_FULL, detail, retry_after_s=intakes.STALLED_S
    )
