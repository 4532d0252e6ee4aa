"""Admission control of a node: the gates of all services."""

import asyncio
import functools
import typing

import expression
import mode

from carawaystair.admission import fair_queue
from carawaystair.admission import gate as gates
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import logs
from carawaystair import manifest as manifests
from carawaystair import routing as routing_module
from carawaystair import timeline as timeline_module

# Interval at which limits follow ejections and the configuration, in seconds.
TICK_S = 0.25
# Customers above which a gate forgets the idle ones.
MAX_IDLE_FLOWS = 256

LOG = logs.get('admission')


class Admission(mode.Service):
    """Implements ``interfaces.Admission`` for all services on this node.

    :param members: the processes believed alive.
    :param directory: the upstreams, with the slots that they announce.
    :param health: tells which upstreams are ejected.
    :param routing: returns the configuration in force.
    :param timeline: records events.
    """

    # Replaced by experiments that compare policies.
    gate_class = gates.Gate

    def __init__(
        self,
        members: interfaces.Members,
        directory: interfaces.Directory,
        health: interfaces.Health,
        routing: typing.Callable[[], routing_module.Routing],
        timeline: timeline_module.Timeline,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.members = members
        self.directory = directory
        self.health = health
        self.routing = routing
        self.timeline = timeline
        self.current_routing = routing()
        self.gates: dict[str, gates.Gate] = {}
        directory.subscribe(self._upstream_changed)

    def try_admit(
        self, service: str, customer: str, deadline: float, bulk: bool
    ) -> gates.Permit | None:
        """Take a free slot if there is one, see ``interfaces.Admission``."""
        gate = self.gates.get(service) or self._gate(service)
        return gate.try_start(customer, deadline, bulk)

    async def admit(
        self, service: str, customer: str, deadline: float, bulk: bool
    ) -> gates.Result:
        """Wait for a slot, see ``interfaces.Admission``."""
        gate = self.gates.get(service) or self._gate(service)
        permit = gate.try_start(customer, deadline, bulk)
        if permit is not None:
            return expression.Ok(permit)
        if not gate.limit:
            return codes.fail(codes.NO_UPSTREAM, 'service %s' % service)
        return await gate.wait(customer, deadline, bulk)

    def retry_after(self, service: str) -> float:
        """Return the seconds to retry after, see ``interfaces.Admission``."""
        gate = self.gates.get(service) or self._gate(service)
        return gate.retry_after()

    def slots(self, service: str) -> int:
        """Return the slots of a service at upstreams that take requests."""
        ejected = self.health.ejected(service)
        return sum(
            upstream.slots
            for upstream in self.directory.upstreams(service)
            if upstream.state == interfaces.UP and upstream.id not in ejected
        )

    async def on_stop(self) -> None:
        """Refuse all waiting requests."""
        for gate in self.gates.values():
            gate.fail_all(codes.LEAVING)

    @mode.Service.task
    async def _follow(self) -> None:
        """Apply ejections and configuration changes periodically."""
        while not self.should_stop:
            await asyncio.sleep(TICK_S)
            if self.routing() is not self.current_routing:
                self._apply_routing()
            for gate in self.gates.values():
                self._update_share(gate)
                self._forget_idle_flows(gate)

    def _gate(self, service: str) -> gates.Gate:
        """Create the gate of a service on its first request."""
        gate = self.gate_class(
            service,
            self._flow,
            self._service(service).queue,
            functools.partial(self._record_event, service),
        )
        self.gates[service] = gate
        self._update_share(gate)
        return gate

    def _record_event(self, service: str, kind: str, text: str) -> None:
        self.timeline.record(kind, text, service=service)

    def _service(self, name: str) -> manifests.Service:
        return self.current_routing.service(name) or manifests.Service()

    def _flow(self, customer: str) -> fair_queue.Flow:
        """Create the flow of a customer; unknown customers share one."""
        configured = self.current_routing.customer(customer)
        if configured is None:
            other = self.current_routing.customer(manifests.OTHER)
            weight = other.weight if other is not None else 1
            return fair_queue.Flow(manifests.OTHER, weight)
        return fair_queue.Flow(customer, configured.weight, configured.limit)

    def _apply_routing(self) -> None:
        """Apply the configuration in force to all gates."""
        self.current_routing = self.routing()
        for gate in self.gates.values():
            gate.queue_limit = self._service(gate.service).queue
            for flow in gate.flows.values():
                updated = self._flow(flow.customer)
                flow.weight, flow.max_running = (
                    updated.weight,
                    updated.max_running,
                )

    def _update_share(self, gate: gates.Gate) -> None:
        """Set the share of a gate: the service's slots, divided by nodes."""
        slots = self.slots(gate.service)
        share = slots / max(len(self.members.alive()), 1)
        share = max(share, 1.0) if slots else 0.0
        if share != gate.share:
            gate.set_share(share)

    def _upstream_changed(self, upstream: interfaces.Upstream) -> None:
        gate = self.gates.get(upstream.service)
        if gate is not None:
            self._update_share(gate)

    def _forget_idle_flows(self, gate: gates.Gate) -> None:
        """Remove idle flows when a gate has too many."""
        if len(gate.flows) <= MAX_IDLE_FLOWS:
            return
        gate.flows = {
            name: flow
            for name, flow in gate.flows.items()
            if flow.running or flow.waiting
        }


def make(
    kernel,
    members: interfaces.Members,
    directory: interfaces.Directory,
    health: interfaces.Health,
    routing: typing.Callable[[], routing_module.Routing],
) -> Admission:
    """Return the admission control of a node.

    :param kernel: the kernel of this process.
    :param members: the processes believed alive.
    :param directory: the upstreams.
    :param health: tells which upstreams are ejected.
    :param routing: returns the configuration in force.
    """
    return Admission(members, directory, health, routing, kernel.timeline)
