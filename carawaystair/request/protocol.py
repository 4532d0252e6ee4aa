"""Base class of both sides of HTTP connections, over aiohttp's protocol."""

import asyncio

from aiohttp import base_protocol

from carawaystair import read_buffer


class Protocol(base_protocol.BaseProtocol, read_buffer.SharedBuffer):
    """A connection with one timer.

    The timer is shared by many requests: it is set again when it fires too
    early, so that most requests neither create nor cancel a timer.

    :param loop: the event loop.
    :param parser: parses received data; None until data is expected.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, parser=None) -> None:
        super().__init__(loop, parser)
        self.loop = loop
        self.timer_until = 0.0
        self.timer: asyncio.TimerHandle | None = None

    @property
    def open(self) -> bool:
        """Return whether data can be sent."""
        transport = self.transport
        return transport is not None and not transport.is_closing()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused.

        aiohttp calls this after every chunk, even if reading is not paused.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _set_timer(self, until: float) -> None:
        """Call :meth:`_on_timer` at a time of the loop's clock, or earlier.

        :param until: the time.
        """
        self.timer_until = until
        timer = self.timer
        if timer is not None:
            if timer.when() <= until:
                return
            timer.cancel()
        self.timer = self.loop.call_at(until, self._on_timer)

    def _on_timer(self) -> None:
        """Handle the timer; it may have fired before ``timer_until``."""
        raise NotImplementedError
