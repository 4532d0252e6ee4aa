"""The slots of one upstream, and the tasks that wait for them."""

import asyncio
import typing

from carawaystair import clock
from carawaystair.load import rejection
from carawaystair.load import slot_queue
from carawaystair.load import upstream_gate
from carawaystair.load import upstream_selection


class Refused(Exception):
    """A request gets no slot.

    :param reason: why, see ``hops`` and ``load.rejection``.
    :param detail: the circumstances, for a person.
    """

    def __init__(self, reason: str, detail: str = '') -> None:
        super().__init__(reason, detail)
        self.reason = reason
        self.detail = detail


class Slots:
    """Hands out the slots of one upstream.

    :param process: returns the name of this process, for reports.
    :param count: the slots.
    """

    def __init__(self, process: typing.Callable[[], str], count: int) -> None:
        self.process = process
        self.gate = upstream_gate.Gate(count)
        self.queue = self.gate.queue
        self.waiters: dict[str, asyncio.Future] = {}

    async def take(
        self, want: slot_queue.SlotRequest, may_wait: bool
    ) -> float:
        """Wait for a slot; return the seconds that it took.

        :raises Refused: when there is none in time.
        """
        began = clock.now()
        verdict = self.queue.request_slot(want, began, may_wait)
        if verdict.reason:
            raise Refused(verdict.reason, 'wait %.2f s' % verdict.wait_s)
        if verdict.starts:
            return 0.0
        loop = asyncio.get_running_loop()
        future = self.waiters[want.id] = loop.create_future()
        timer = loop.call_at(
            self.queue.latest_start(want, began), self._give_up, want.id
        )
        try:
            if not await future:
                raise Refused(rejection.HOPELESS, 'its time is over')
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result():
                # It was given a slot in the moment in which it left.
                self.free(want.id)
            raise
        finally:
            timer.cancel()
            self.queue.remove(want.id)
            self.waiters.pop(want.id, None)
        return clock.now() - began

    def free(self, request: str) -> None:
        """Give the slot of a request back."""
        self.queue.finish(request)
        self.serve()

    def serve(self) -> None:
        """Let those start who have a slot now."""
        while started := self.queue.start_waiting(clock.now()):
            for name in started:
                future = self.waiters.get(name)
                if future is None or future.done():
                    # It left just now.
                    self.queue.finish(name)
                else:
                    future.set_result(True)

    def evict_waiting(self) -> None:
        """Let all that wait go elsewhere: the upstream has turned gray."""
        self.refuse_all(upstream_gate.RISKY)

    def refuse_all(self, reason: str) -> None:
        """Refuse all that wait: the upstream takes no more work."""
        for name, future in list(self.waiters.items()):
            self.queue.remove(name)
            if not future.done():
                future.set_exception(Refused(reason))

    def _give_up(self, name: str) -> None:
        future = self.waiters.get(name)
        if future is not None and not future.done():
            self.queue.remove(name)
            future.set_result(False)

    def failing(self) -> float:
        """Return how likely the upstream fails the next request, 0 to 1."""
        return self.gate.estimate.failure_probability(clock.now())

    def report(self, route: str = '') -> upstream_selection.LoadReport:
        """Return what other nodes should know.

        :param route: key of the route that was asked for.
        """
        return self.gate.report(self.process(), route, clock.now())
