"""The services that this process coordinates, and how it comes to do so.

A coordinator starts with a new epoch, above all that it hears of.  It first
asks those that may have coordinated before it, and nodes that hold leases it
does not know, what is outstanding; until then it grants nothing.  Nodes keep
the leases of the earlier epoch meanwhile, so there is no gap, and clamp what
they hold to the floor, so that two coordinators at once do no harm.
"""

import asyncio
import random
import typing

import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.outlier import coordinator as coordinators
from carawaystair.outlier import coordinator_role
from carawaystair.outlier import detectors
from carawaystair.outlier import messages
from carawaystair.outlier import placement as placements
from carawaystair.outlier import upstream_index
from carawaystair import timeline as timelines

TICK_S = 0.05
# The same while this process coordinates nothing.
IDLE_TICK_S = 0.25
# Members asked that may have coordinated before, and how long each gets to
# answer, seconds.
PREDECESSORS = 3
ASK_S = 0.4
ASK_TIMES = 2
# When one of them did not answer, nodes get so long to report that they hold
# something, seconds; at most so many of them are asked.
ALONE_S = 1.5
MOST_ASKED = 8
# A coordinator without reports is forgotten after this, seconds.
IDLE_S = 120.0
# A coordinator that hears of a higher epoch starts anew, so often at most.
AGAIN_S = 3.0

Detect = typing.Callable[[str], detectors.Detector]
Holdings = typing.Callable[[str], messages.Held]


class Mirrored(typing.NamedTuple):
    """What a coordinator told its standby.

    :param epoch: its epoch.
    :param phases: by upstream.
    :param time: monotonic time.
    """

    epoch: int
    phases: dict[str, messages.Phase]
    time: float


class Lead(mode.Service):
    """The coordinators of this process.

    :param choice: which process coordinates what.
    :param known: the upstreams.
    :param links: questions and answers.
    :param sender: datagrams.
    :param detect: makes the detector of a service.
    :param holdings: returns what this process holds as a node.
    :param timeline: takes the events.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        choice: placements.Choice,
        known: upstream_index.Known,
        links: interfaces.Transport,
        sender: coordinator_role.Sender,
        detect: Detect,
        holdings: Holdings,
        timeline: timelines.Timeline,
        rng: random.Random,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.choice = choice
        self.known = known
        self.links = links
        self.sender = sender
        self.detect = detect
        self.holdings = holdings
        self.timeline = timeline
        self.rng = rng
        self.seats: dict[str, coordinator_role.Seat] = {}
        self.mirrors: dict[str, Mirrored] = {}
        self.tasks: set[asyncio.Task] = set()
        links.handle(messages.Ask, self.answer)

    async def on_stop(self) -> None:
        """End the questions that run."""
        for task in list(self.tasks):
            task.cancel()

    def take(self, report: messages.Report, address: str) -> None:
        """Take the report of a node.

        :param address: of the node, for datagrams.
        """
        now = clock.now()
        seat = self._seat(report.service, now)
        seat.coordinator.take(report, address, now)
        if self._led(seat, report.epoch, now):
            self._publish(seat, now)
            seat.welcome(report, address, self.choice.alive, now)
        elif report.digest:
            self._ask_node(seat, report)

    def mirror(self, message: messages.Mirror) -> None:
        """Take what the coordinator tells its standby."""
        old = self.mirrors.get(message.service)
        if old is not None and message.epoch < old.epoch:
            return
        phases = {phase.entry.upstream: phase for phase in message.phases}
        if old is not None and not message.whole:
            phases = old.phases | phases
        self.mirrors[message.service] = Mirrored(
            message.epoch, phases, clock.now()
        )

    async def answer(
        self, sender: str, question: messages.Ask
    ) -> messages.Held:
        """Answer a new coordinator."""
        return self._outstanding(question.service)

    @mode.Service.task
    async def _tick(self) -> None:
        """Do what time alone brings about."""
        while not self.should_stop:
            await asyncio.sleep(TICK_S if self.seats else IDLE_TICK_S)
            now = clock.now()
            self.choice.refresh()
            for service in list(self.seats):
                self._tick_seat(self.seats[service], now)

    def _tick_seat(self, seat: coordinator_role.Seat, now: float) -> None:
        coordinator = seat.coordinator
        if now - coordinator.heard > IDLE_S and not coordinator.ledger.held():
            del self.seats[coordinator.service]
            return
        if not self._led(seat, 0, now):
            return
        coordinator.tick(now)
        seat.pacer.look(
            coordinator.routes,
            coordinator.reporters,
            coordinator.pool.rate(now),
            coordinator.tuning().least_s,
            now,
        )
        self._publish(seat, now)
        seat.renew(self.choice.alive, TICK_S, now)
        if now - seat.mirrored >= coordinator_role.MIRROR_EVERY_S:
            standby = self.choice.of(coordinator.service).standby
            seat.mirror(self.choice.alive, standby, now)

    def _seat(self, service: str, now: float) -> coordinator_role.Seat:
        seat = self.seats.get(service)
        if seat is None:
            coordinator = coordinators.Coordinator(
                service, self.known, self.detect(service), self.rng, now
            )
            me = self.choice.members.me
            seat = coordinator_role.Seat(me, coordinator, self.sender, now)
            self.seats[service] = seat
        return seat

    def _led(
        self, seat: coordinator_role.Seat, epoch: int, now: float
    ) -> bool:
        """Tell whether this process may decide on a service just now.

        :param epoch: that a node has heard of.
        """
        mine = self.choice.mine(seat.coordinator.service)
        if not mine:
            seat.leading = seat.coordinator.settled = False
            return False
        # After a partition a node may hold leases of another coordinator
        # with a higher epoch and heed nothing from this one.
        overtaken = epoch > seat.epoch and now - seat.taken > AGAIN_S
        if not seat.leading or (overtaken and seat.coordinator.settled):
            seat.leading, seat.taken = True, now
            seat.coordinator.settled = False
            seat.epoch = max(seat.epoch, epoch)
            self._spawn(self._take_over(seat))
        return seat.coordinator.settled

    async def _take_over(self, seat: coordinator_role.Seat) -> None:
        """Learn what is outstanding, then start a new epoch."""
        service = seat.coordinator.service
        seat.asked.clear()
        self._adopt(seat, self._outstanding(service))
        near = self.choice.near(service, PREDECESSORS)
        asked = [self._ask(seat, member.peer) for member in near]
        answered = await asyncio.gather(*asked)
        if not all(answered):
            await asyncio.sleep(ALONE_S)
        if not seat.leading:
            return
        now = clock.now()
        seat.epoch += 1
        seat.coordinator.settled = True
        held = seat.coordinator.ledger.held()
        text = 'Epoch %d with %d outstanding.' % (seat.epoch, len(held))
        self.timeline.record('coordinator-took-over', text, service=service)
        reporters = seat.coordinator.reporters.addresses()
        self.sender.send(reporters, seat.states(self.choice.alive, now))
        self._publish(seat, now)

    async def _ask(self, seat: coordinator_role.Seat, peer: str) -> bool:
        """Ask one process, and again when it does not answer."""
        question = messages.Ask(seat.coordinator.service)
        for _attempt in range(ASK_TIMES):
            answer = await self.links.call(peer, question, ASK_S)
            if answer.is_ok():
                self._adopt(seat, answer.ok)
                return True
        return False

    def _ask_node(
        self, seat: coordinator_role.Seat, report: messages.Report
    ) -> None:
        """Ask a node that holds what a new coordinator may not know."""
        fresh = report.host not in seat.asked
        if not seat.leading or not fresh or len(seat.asked) >= MOST_ASKED:
            return
        seat.asked.add(report.host)
        member = self.choice.table.get(report.host)
        if member is not None:
            self._spawn(self._ask(seat, member.peer))

    def _adopt(self, seat: coordinator_role.Seat, held: messages.Held) -> None:
        if seat.coordinator.settled:
            return
        seat.epoch = max(seat.epoch, held.epoch)
        seat.coordinator.adopt(held.phases, clock.now())

    def _outstanding(self, service: str) -> messages.Held:
        """Return what this process knows to be granted."""
        now = clock.now()
        own = self.holdings(service)
        found = {phase.entry.upstream: phase for phase in own.phases}
        epoch = own.epoch
        mirrored = self.mirrors.get(service)
        if mirrored is not None and now - mirrored.time < IDLE_S:
            found |= mirrored.phases
            epoch = max(epoch, mirrored.epoch)
        seat = self.seats.get(service)
        if seat is not None and seat.epoch >= epoch:
            phases = seat.coordinator.phases(coordinator_role.LEASE_S, now)
            found = {phase.entry.upstream: phase for phase in phases}
            epoch = seat.epoch
        ordered = tuple(phase for _name, phase in sorted(found.items()))
        return messages.Held(service, epoch, ordered)

    def _publish(self, seat: coordinator_role.Seat, now: float) -> None:
        service = seat.coordinator.service
        ledger = seat.coordinator.ledger
        for event in ledger.events:
            self.timeline.record(
                event.kind,
                event.text,
                service=service,
                upstream=event.upstream,
            )
        ledger.events.clear()
        standby = self.choice.of(service).standby
        seat.publish(self.choice.alive, standby, now)

    def _spawn(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
