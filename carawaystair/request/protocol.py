"""What both sides of an HTTP connection share, over aiohttp's protocol."""

import asyncio

from aiohttp import base_protocol


class Protocol(base_protocol.BaseProtocol):
    """One connection with one timer.

    One timer serves many requests: it is moved on when it rings early, so
    that most requests neither make nor cancel one.

    :param loop: the event loop.
    :param parser: reads what comes; None until something is expected.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, parser=None) -> None:
        super().__init__(loop, parser)
        self.loop = loop
        self.timer_until = 0.0
        self.timer: asyncio.TimerHandle | None = None

    @property
    def open(self) -> bool:
        """Tell whether something can be sent."""
        transport = self.transport
        return transport is not None and not transport.is_closing()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on, if reading was paused.

        aiohttp calls this after every chunk; nothing was left unread then.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _set_timer(self, until: float) -> None:
        """Let :meth:`_on_timer` be called at a time of the loop's clock, or
        before.
        """
        self.timer_until = until
        timer = self.timer
        if timer is not None:
            if timer.when() <= until:
                return
            timer.cancel()
        self.timer = self.loop.call_at(until, self._on_timer)

    def _on_timer(self) -> None:
        """Take note that the time has come, or will."""
        raise NotImplementedError
