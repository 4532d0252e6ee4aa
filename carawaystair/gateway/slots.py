"""Slots of one upstream and the requests that wait for them."""

import asyncio
import math
import typing

from carawaystair import clock
from carawaystair.load import rejection
from carawaystair.load import slot_queue
from carawaystair.load import upstream_gate
from carawaystair.load import upstream_selection


class Refused(Exception):
    """A request was refused and has no slot.

    :param reason: the reason, see ``hops``, ``load.rejection`` and
        ``load.upstream_gate``.
    :param detail: circumstances, for the log.
    """

    def __init__(self, reason: str, detail: str = '') -> None:
        super().__init__(reason, detail)
        self.reason = reason
        self.detail = detail

    def detached(self) -> 'Refused':
        """Return it without the frames that it was raised in."""
        return Refused(self.reason, self.detail)


class Slots:
    """Assigns the slots of one upstream to requests.

    :param process_id: returns the id of this process, for reports.
    :param count: number of slots.
    :param measured_from: monotonic time in seconds from which the slots that
        the upstream bears are measured; infinite to offer all.
    """

    def __init__(
        self,
        process_id: typing.Callable[[], str],
        count: int,
        measured_from: float = math.inf,
    ) -> None:
        self.process_id = process_id
        self.gate = upstream_gate.Gate(count, measured_from)
        self.queue = self.gate.queue
        self.waiters: dict[str, asyncio.Future] = {}
        # Starts waiting requests when the upstream's rate allows the next.
        self.rate_timer: asyncio.TimerHandle | None = None

    async def acquire(
        self, slot_request: slot_queue.SlotRequest, may_wait: bool
    ) -> float:
        """Wait for a slot; return the time that it took, seconds.

        :raises Refused: when no slot will be free in time.
        """
        began = clock.now()
        verdict = self.queue.request_slot(slot_request, began, may_wait)
        if verdict.reason:
            detail = 'wait %.2f s%s%s' % (
                verdict.wait_s,
                self.queue.rate,
                self._share(slot_request, began),
            )
            raise Refused(verdict.reason, detail)
        if verdict.starts:
            return 0.0
        loop = asyncio.get_running_loop()
        # The request itself may be the one that is displaced.
        future = self.waiters[slot_request.id] = loop.create_future()
        for displaced in self.queue.remove_displaced(began):
            detail = 'by others%s' % self._share(displaced, began)
            self._refuse(displaced.id, rejection.DISPLACED, detail)
        timer = loop.call_at(
            self.queue.latest_start(slot_request, began),
            self._expire,
            slot_request.id,
        )
        self._await_rate()
        try:
            if not await future:
                raise Refused(rejection.HOPELESS, 'its time is over')
        except asyncio.CancelledError:
            done = future.done() and not future.cancelled()
            if done and future.exception() is None and future.result():
                # The slot was assigned at the moment of cancellation.
                self.release(slot_request.id)
            raise
        finally:
            timer.cancel()
            self.queue.remove(slot_request.id)
            self.waiters.pop(slot_request.id, None)
        return clock.now() - began

    def release(self, request: str, sent: bool = False) -> None:
        """Release the slot of a request.

        :param sent: whether it was sent to the upstream.
        """
        self.queue.finish(request, sent)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start waiting requests while slots are free."""
        while started := self.queue.start_waiting(clock.now()):
            for name in started:
                future = self.waiters.get(name)
                if future is None or future.done():
                    # It was cancelled at this moment.
                    self.queue.finish(name, False)
                else:
                    future.set_result(True)
        self._await_rate()

    def _await_rate(self) -> None:
        """Start waiting requests again once the rate allows one more."""
        if self.rate_timer is not None:
            self.rate_timer.cancel()
            self.rate_timer = None
        queue, now = self.queue, clock.now()
        if not queue.waiting or queue.running >= queue.slots:
            return
        wait_s = queue.rate.wait_s(1, now)
        if wait_s > 0.0:
            loop = asyncio.get_running_loop()
            self.rate_timer = loop.call_at(now + wait_s, self.start_waiting)

    def apply_rate(self) -> None:
        """Apply a changed rate to the waiting requests.

        Those that it leaves no time for are refused at once.
        """
        for name in self.queue.remove_hopeless(clock.now()):
            self._refuse(name, rejection.HOPELESS)
        self.start_waiting()

    def evict_waiting(self) -> None:
        """Refuse all waiting requests, as the upstream is likely to fail."""
        self.refuse_waiting(upstream_gate.RISKY)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all waiting requests."""
        for name in list(self.waiters):
            self.queue.remove(name)
            self._refuse(name, reason)

    def _refuse(self, name: str, reason: str, detail: str = '') -> None:
        future = self.waiters.get(name)
        if future is not None and not future.done():
            future.set_exception(Refused(reason, detail))

    def _share(self, request: slot_queue.SlotRequest, now: float) -> str:
        """Return what a request's customer had lately, for the log."""
        if not request.customer:
            return ''
        return ', its customer had %.2f of the slots' % (
            self.queue.shares.share(request.priority, request.customer, now)
        )

    def _expire(self, name: str) -> None:
        future = self.waiters.get(name)
        if future is not None and not future.done():
            self.queue.remove(name)
            future.set_result(False)

    def failure_chance(self) -> float:
        """Return the probability that the next request fails, 0 to 1."""
        return self.gate.estimate.failure_probability(clock.now())

    def report(self, route: str = '') -> upstream_selection.LoadReport:
        """Return the state of the upstream for other nodes.

        :param route: key of the route for which service times are reported.
        """
        return self.gate.report(self.process_id(), route, clock.now())
