"""The request path of a node with a gateway: its start and its stop."""

import asyncio
import typing

import mode

from carawaystair import clock
from carawaystair import decisions
from carawaystair.gateway import caller_handler as fronts
from carawaystair.gateway import dispatcher as relays
from carawaystair.gateway import executor as works
from carawaystair.gateway import gateway_client as handovers
from carawaystair.gateway import hop_handler as doors
from carawaystair.gateway import nested_calls as inners
from carawaystair.gateway import pacer as pacers
from carawaystair.gateway import paths
from carawaystair.gateway import request_metrics as figures_module
from carawaystair.gateway import send_attempts
from carawaystair.gateway import splitting
from carawaystair.gateway import startup as settlings
from carawaystair.gateway import upstream_pool as knowns
from carawaystair import interfaces
from carawaystair.load import nested_call_budget
from carawaystair.load import retry_budget
from carawaystair import metrics
from carawaystair.request import connections
from carawaystair.request import http_server
from carawaystair.request import listener as listeners
from carawaystair.request import meters as meters_module

STOP_POLL_S = 0.02
# A header line of a caller may be as long as the configuration says; nodes
# take any that another one took.
MOST_HEAD_BYTES = 2**20
# A stop ends so long before the time given to it, seconds: the parts behind
# this one have to end, too.
STOP_SLACK_S = 0.3
# What is left is answered, and the answers get so long to go out, seconds.
ANSWER_S = 0.05


class Gateway(mode.Service):
    """Takes requests of callers and of other nodes.

    :param kernel: the process.
    :param membership: the upstreams of this host and of others.
    :param routing: returns the configuration in force.
    :param recorder: takes note of decisions.
    :param behind_s: returns since when a newer configuration is known.
    :param quarantine: knows requests that crash upstreams.
    """

    def __init__(
        self,
        kernel,
        membership,
        routing: typing.Callable,
        recorder: decisions.Recorder,
        behind_s: typing.Callable[[], float],
        quarantine: interfaces.Quarantine,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        settings = kernel.settings
        self.settings = settings
        self.membership = membership
        self.routing = routing
        rng = kernel.random('gateway')
        node = settings.node
        share = retry_budget.Budgets(
            node.retry_ratio,
            0.0,
            node.retry_window_s,
            'share of %s' % settings.host,
        )
        inner = inners.NestedCalls(nested_call_budget.NestedCallBudget(share))
        self.pacer = pacers.Pacer(settings.host, node.link_mbps)
        self.pool = knowns.UpstreamPool(
            settings.data_centre,
            membership.directory,
            routing,
            rng,
            self.pacer,
        )
        self.meters = meters_module.Meters(kernel.timeline)
        self.path_monitor = paths.PathMonitor(
            self.pool, settings.host, self.add_future, rng
        )
        self.client = handovers.GatewayClient(
            settings.host,
            self.path_monitor,
            self.pool,
            self._process,
            recorder,
        )
        settling = settlings.StartupWait()
        self.dispatcher = relays.Dispatcher(
            self.pool,
            self.client,
            settling,
            share,
            quarantine,
            rng,
            recorder,
        )
        # The time of the start keeps ids of two runs of this host apart.
        self.request_metrics = figures_module.RequestMetrics()
        self.caller_handler = fronts.CallerHandler(
            settings,
            '%s-%x' % (settings.host, kernel.incarnation & 0xFFFFFFFF),
            routing,
            behind_s,
            self.dispatcher,
            settling,
            splitting.Splitter(rng),
            inner,
            self.meters,
            self.request_metrics,
            recorder,
        )
        self.executor = works.Executor(
            membership,
            settings,
            inner,
            self.request_metrics,
            quarantine,
            recorder,
        )
        self.hop_handler = doors.HopHandler(
            self.executor, self.request_metrics, recorder, self.pacer
        )
        self.recorder = recorder
        self.caller_listener = listeners.Listener(
            self.caller_handler.handle,
            self.caller_handler.bounds,
            self.caller_handler.may_pipeline,
        )
        self.node_listener = listeners.Listener(
            self.hop_handler.handle, _node_limits
        )
        self.stopping = False

    def _process(self, host: str) -> str:
        """Return the process that runs on a host, as far as is known."""
        entry = self.membership.table.entries.get(host)
        return '' if entry is None else str(entry.record.incarnation)

    def ejected(self, service: str) -> frozenset[str]:
        """Return the upstreams that last were said to fail."""
        views = self.pool.board.states
        return frozenset(
            upstream.id
            for upstream in self.membership.directory.upstreams(service)
            if upstream.id in views
            and views[upstream.id].report is not None
            and views[upstream.id].report.likely_failing
        )

    async def on_start(self) -> None:
        """Listen for other nodes, then for callers."""
        metrics.collect(self.meters.samples)
        metrics.collect(self.request_metrics.samples)
        metrics.collect(self.samples)
        settings = self.settings
        await self.node_listener.listen(settings.bound(settings.node.gateway))
        await self.caller_listener.listen(settings.bound(settings.node.listen))

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield what the parts of the path know of themselves."""
        yield metrics.Sample('resumed_total', self.client.resumed)
        yield metrics.Sample('hedged_total', self.dispatcher.hedged)
        yield metrics.Sample('joined_runs_total', self.hop_handler.runs.joined)
        yield metrics.Sample(
            'lines_left_out_total', self.recorder.room.left_out
        )
        if self.pacer.link is not None:
            ahead_s = self.pacer.link.backlog_s(clock.now())
            yield metrics.Sample('link_ahead_seconds', ahead_s)
        for name, slots in self.executor.slots.items():
            labels = (('upstream', name),)
            line = slots.queue
            yield metrics.Sample('gateway_running', line.running, labels)
            yield metrics.Sample('gateway_waiting', len(line.waiting), labels)
            yield metrics.Sample(
                'gateway_failing_chance', slots.failing(), labels
            )
            idle_s = slots.gate.idle_s(clock.now())
            yield metrics.Sample('gateway_idle_seconds', idle_s, labels)
        for service, spread in self.pool.spreadings.items():
            labels = (('service', service),)
            yield metrics.Sample(
                'service_failing_share', spread.failure_share, labels
            )
        for service, budget in self.dispatcher.budgets.budgets.items():
            labels = (('service', service),)
            yield metrics.Sample(
                'node_firsts_total', budget.total_first_sends, labels
            )
            yield metrics.Sample(
                'node_repeats_total', budget.total_retries, labels
            )
        for service, budget in self.executor.budgets.budgets.items():
            labels = (('service', service),)
            yield metrics.Sample(
                'gateway_firsts_total', budget.total_first_sends, labels
            )
            yield metrics.Sample(
                'gateway_repeats_total', budget.total_retries, labels
            )

    @mode.Service.task
    async def _sweep(self) -> None:
        """Close connections that were idle too long."""
        while not self.should_stop:
            await self.sleep(connections.SWEEP_INTERVAL_S)
            now = clock.now()
            self.pool.sweep(now)
            self.executor.sweep(now)

    async def on_stop(self) -> None:
        """Let callers and other nodes leave, finish, then close.

        Callers notice that this node is not ready only after a while; their
        requests are served until then.  Other nodes are told at once, and
        refused at once: they have other gateways to ask.
        """
        self.stopping = True
        node = self.settings.node
        now = clock.now()
        ends = now + max(node.drain_s - STOP_SLACK_S, 0.0)
        self.caller_handler.stop_deadline = ends
        self.caller_handler.last_new = min(now + node.lame_duck_s, ends)
        self.membership.registry.drain_all()
        self.executor.close()
        while clock.now() < self.caller_handler.last_new:
            await asyncio.sleep(STOP_POLL_S)
        self.caller_listener.close()
        self.caller_listener.close_idle()
        while clock.now() < ends and self._busy():
            await asyncio.sleep(STOP_POLL_S)
        self.node_listener.close()
        self.caller_handler.give_up()
        await asyncio.sleep(ANSWER_S)
        await self.caller_listener.abort()
        await self.node_listener.abort()
        self.pool.close()

    def _busy(self) -> bool:
        """Tell whether work or answers are on their way.

        An answer counts until the system has all of it: on a link that is
        full or to a caller that reads slowly, a part of it stands here.  And
        a run whose connection broke may be asked for again.
        """
        listeners = (self.caller_listener, self.node_listener)
        return bool(
            self.caller_handler.active
            or self.hop_handler.active
            or self.hop_handler.runs.orphans
            or any(listener.has_unsent_data for listener in listeners)
        )


def _node_limits() -> http_server.Bounds:
    """Return what other nodes may send: heads as long as callers' and ours,
    and no connection that has gone silent.
    """
    return http_server.Bounds(
        MOST_HEAD_BYTES, ack_timeout_s=send_attempts.SILENCE_S
    )
