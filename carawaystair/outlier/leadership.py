"""The services that this process coordinates, and takeovers.

A coordinator starts with a new epoch, above all epochs that it hears of.  It
first asks possible predecessors, and nodes that hold leases it does not know,
which leases are outstanding; until then it grants nothing.  Nodes keep the
leases of the earlier epoch meanwhile, so there is no gap.  They clamp their
leases to the floor, so that two coordinators at once do no harm.
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
# The same while this process coordinates no service.
IDLE_TICK_S = 0.25
# Possible predecessors asked in a takeover, and the timeout and number of the
# attempts to ask each.
MAX_PREDECESSORS = 3
ASK_TIMEOUT_S = 0.4
ASK_ATTEMPTS = 2
# When a predecessor doesn't answer, nodes get this time to report that they
# hold leases, seconds; at most this many of them are asked.
REPORT_WAIT_S = 1.5
MAX_NODES_ASKED = 8
# A coordinator without reports or leases is removed after this, seconds.
IDLE_TIMEOUT_S = 120.0
# A coordinator that hears of a higher epoch takes over again, at most once in
# this time, seconds.
MIN_TAKEOVER_INTERVAL_S = 3.0

MakeDetector = typing.Callable[[str], detectors.Detector]
LocalLeases = typing.Callable[[str], messages.Held]


class MirroredState(typing.NamedTuple):
    """State that a coordinator replicated to this process, its standby.

    :param epoch: the coordinator's epoch.
    :param phases: by upstream.
    :param time: monotonic time of the last message.
    """

    epoch: int
    phases: dict[str, messages.Phase]
    time: float


class Leadership(mode.Service):
    """The coordinators of this process.

    :param placement: assigns services to processes.
    :param index: the upstreams.
    :param links: requests to other processes.
    :param sender: datagrams.
    :param make_detector: returns a new detector for a service.
    :param local_leases: returns the leases that this process holds as a node.
    :param timeline: records events.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        placement: placements.Placement,
        index: upstream_index.UpstreamIndex,
        links: interfaces.Transport,
        sender: coordinator_role.Sender,
        make_detector: MakeDetector,
        local_leases: LocalLeases,
        timeline: timelines.Timeline,
        rng: random.Random,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.placement = placement
        self.index = index
        self.links = links
        self.sender = sender
        self.make_detector = make_detector
        self.local_leases = local_leases
        self.timeline = timeline
        self.rng = rng
        self.roles: dict[str, coordinator_role.CoordinatorRole] = {}
        self.mirrored: dict[str, MirroredState] = {}
        self.tasks: set[asyncio.Task] = set()
        links.handle(messages.Ask, self.answer_ask)

    async def on_stop(self) -> None:
        """Cancel takeovers and requests that are running."""
        for task in list(self.tasks):
            task.cancel()

    def receive_report(self, report: messages.Report, address: str) -> None:
        """Pass the report of a node to the coordinator and send the results.

        :param address: of the node, for datagrams.
        """
        now = clock.now()
        role = self._role(report.service, now)
        role.coordinator.receive_report(report, address, now)
        if self._may_decide(role, report.epoch, now):
            self._publish(role, now)
            role.send_missing(report, address, self.placement.alive, now)
        elif report.digest:
            self._ask_node(role, report)

    def receive_mirror(self, message: messages.Mirror) -> None:
        """Store the state that a coordinator sends to its standby."""
        old = self.mirrored.get(message.service)
        if old is not None and message.epoch < old.epoch:
            return
        phases = {phase.entry.upstream: phase for phase in message.phases}
        if old is not None and not message.complete:
            phases = old.phases | phases
        self.mirrored[message.service] = MirroredState(
            message.epoch, phases, clock.now()
        )

    async def answer_ask(
        self, sender: str, question: messages.Ask
    ) -> messages.Held:
        """Return the outstanding leases to a new coordinator."""
        return self._outstanding_leases(question.service)

    @mode.Service.task
    async def _tick(self) -> None:
        """Run the ticks of all coordinators of this process."""
        while not self.should_stop:
            await asyncio.sleep(TICK_S if self.roles else IDLE_TICK_S)
            now = clock.now()
            self.placement.refresh()
            for service in list(self.roles):
                self._tick_role(self.roles[service], now)

    def _tick_role(
        self, role: coordinator_role.CoordinatorRole, now: float
    ) -> None:
        coordinator = role.coordinator
        if (
            now - coordinator.last_report_at > IDLE_TIMEOUT_S
            and not coordinator.store.unhealthy()
        ):
            del self.roles[coordinator.service]
            return
        if not self._may_decide(role, 0, now):
            return
        coordinator.tick(now)
        role.pacer.update(
            coordinator.routes,
            coordinator.reporters,
            coordinator.pool.rate(now),
            coordinator.tuning().min_latency_s,
            now,
        )
        self._publish(role, now)
        role.renew_leases(self.placement.alive, TICK_S, now)
        if now - role.mirrored_at >= coordinator_role.MIRROR_INTERVAL_S:
            standby = self.placement.assignment(coordinator.service).standby
            role.send_mirror(self.placement.alive, standby, now)

    def _role(
        self, service: str, now: float
    ) -> coordinator_role.CoordinatorRole:
        role = self.roles.get(service)
        if role is None:
            coordinator = coordinators.Coordinator(
                service, self.index, self.make_detector(service), self.rng, now
            )
            me = self.placement.members.me
            role = coordinator_role.CoordinatorRole(
                me, coordinator, self.sender, now
            )
            self.roles[service] = role
        return role

    def _may_decide(
        self, role: coordinator_role.CoordinatorRole, epoch: int, now: float
    ) -> bool:
        """Return whether this process may decide on a service now.

        Starts a takeover where one is needed.

        :param epoch: the epoch that a node has reported, or 0.
        """
        mine = self.placement.coordinates_here(role.coordinator.service)
        if not mine:
            role.leading = role.coordinator.takeover_done = False
            return False
        # After a partition a node may hold leases of another coordinator with
        # a higher epoch and ignore this one.
        overtaken = (
            epoch > role.epoch
            and now - role.takeover_at > MIN_TAKEOVER_INTERVAL_S
        )
        if not role.leading or (overtaken and role.coordinator.takeover_done):
            role.leading, role.takeover_at = True, now
            role.coordinator.takeover_done = False
            role.epoch = max(role.epoch, epoch)
            self._start_task(self._take_over(role))
        return role.coordinator.takeover_done

    async def _take_over(self, role: coordinator_role.CoordinatorRole) -> None:
        """Collect the outstanding leases, then start a new epoch."""
        service = role.coordinator.service
        role.asked_nodes.clear()
        self._adopt(role, self._outstanding_leases(service))
        possible = self.placement.possible_predecessors(
            service, MAX_PREDECESSORS
        )
        asks = [self._ask(role, member.peer) for member in possible]
        answered = await asyncio.gather(*asks)
        if not all(answered):
            await asyncio.sleep(REPORT_WAIT_S)
        if not role.leading:
            return
        now = clock.now()
        role.epoch += 1
        role.coordinator.takeover_done = True
        held = role.coordinator.store.unhealthy()
        text = 'Epoch %d with %d outstanding.' % (
            role.epoch,
            len(held),
        )
        self.timeline.record('coordinator-took-over', text, service=service)
        reporters = role.coordinator.reporters.addresses()
        self.sender.send(reporters, role.full_state(self.placement.alive, now))
        self._publish(role, now)

    async def _ask(
        self, role: coordinator_role.CoordinatorRole, peer: str
    ) -> bool:
        """Ask one process for its leases, with retries.

        :return: whether it answered.
        """
        question = messages.Ask(role.coordinator.service)
        for _attempt in range(ASK_ATTEMPTS):
            answer = await self.links.call(peer, question, ASK_TIMEOUT_S)
            if answer.is_ok():
                self._adopt(role, answer.ok)
                return True
        return False

    def _ask_node(
        self, role: coordinator_role.CoordinatorRole, report: messages.Report
    ) -> None:
        """Ask a node that holds leases unknown to a new coordinator."""
        fresh = report.host not in role.asked_nodes
        if (
            not role.leading
            or not fresh
            or len(role.asked_nodes) >= MAX_NODES_ASKED
        ):
            return
        role.asked_nodes.add(report.host)
        member = self.placement.by_host.get(report.host)
        if member is not None:
            self._start_task(self._ask(role, member.peer))

    def _adopt(
        self, role: coordinator_role.CoordinatorRole, held: messages.Held
    ) -> None:
        if role.coordinator.takeover_done:
            return
        role.epoch = max(role.epoch, held.epoch)
        role.coordinator.adopt(held.phases, clock.now())

    def _outstanding_leases(self, service: str) -> messages.Held:
        """Return the leases that this process knows of."""
        now = clock.now()
        local = self.local_leases(service)
        found = {phase.entry.upstream: phase for phase in local.phases}
        epoch = local.epoch
        mirrored = self.mirrored.get(service)
        if mirrored is not None and now - mirrored.time < IDLE_TIMEOUT_S:
            found |= mirrored.phases
            epoch = max(epoch, mirrored.epoch)
        role = self.roles.get(service)
        if role is not None and role.epoch >= epoch:
            phases = role.coordinator.phases(coordinator_role.LEASE_S, now)
            found = {phase.entry.upstream: phase for phase in phases}
            epoch = role.epoch
        ordered = tuple(phase for _name, phase in sorted(found.items()))
        return messages.Held(service, epoch, ordered)

    def _publish(
        self, role: coordinator_role.CoordinatorRole, now: float
    ) -> None:
        service = role.coordinator.service
        store = role.coordinator.store
        for event in store.events:
            self.timeline.record(
                event.kind,
                event.text,
                service=service,
                upstream=event.upstream,
            )
        store.events.clear()
        standby = self.placement.assignment(service).standby
        role.publish(self.placement.alive, standby, now)

    def _start_task(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
