"""Service that routes requests on a node with a gateway: start and stop."""

import asyncio
import typing

import mode

from carawaystair import clock
from carawaystair import decisions
from carawaystair.gateway import answer_memory
from carawaystair.gateway import call_tracker
from carawaystair.gateway import caller_handler
from carawaystair.gateway import dispatcher as dispatchers
from carawaystair.gateway import executor as executors
from carawaystair.gateway import gateway_client
from carawaystair.gateway import hop_handler
from carawaystair.gateway import pacer as pacers
from carawaystair.gateway import paths
from carawaystair.gateway import request_metrics
from carawaystair.gateway import run_time_news
from carawaystair.gateway import send_attempts
from carawaystair.gateway import splitting
from carawaystair.gateway import startup
from carawaystair.gateway import statement_handler
from carawaystair.gateway import upstream_pool
from carawaystair import interfaces
from carawaystair.load import locality
from carawaystair.load import nested_call_budget
from carawaystair.load import retry_budget
from carawaystair.load import stopping
from carawaystair import metrics
from carawaystair.quota import client as quotas
from carawaystair.quota import holder as holders
from carawaystair.quota import parts
from carawaystair.quota import tenures
from carawaystair import read_buffer
from carawaystair.request import authentication
from carawaystair.request import base_handler
from carawaystair.request import connections
from carawaystair.request import http_server
from carawaystair.request import listener as listeners
from carawaystair.request import meters as meters_module

STOP_POLL_INTERVAL_S = 0.02
# The length of callers' headers is limited by the configuration; nodes accept
# whatever another node has accepted.
MAX_LINE_BYTES = 2**20
# What the fleet adds to a head between nodes, at most.
HOP_HEAD_BYTES = 64 * 1024
# Part of the drain time that is left for the services that stop after this
# one, seconds.
STOP_MARGIN_S = 0.3
# Time in which other nodes hear that upstreams leave, seconds.  Work that runs
# once and reaches a gateway that has just closed has an unknown outcome.
NEWS_S = 0.5
MB = 1024 * 1024
MS = 1000
# Time to write the last answers before connections are closed, seconds.
FLUSH_S = 0.05


class Gateway(mode.Service):
    """Routes requests of callers and of other nodes.

    :param kernel: the process.
    :param membership: the membership service of the process.
    :param routing: returns the configuration in force.
    :param recorder: records events.
    :param behind_s: returns for how long a newer configuration has been
        known, seconds; 0.0 while there is none.
    :param quarantine: tracks requests that crash upstreams.
    :param age_s: returns how long ago the configuration in force was surely
        the newest one, seconds.
    """

    def __init__(
        self,
        kernel,
        membership,
        routing: typing.Callable,
        recorder: decisions.Recorder,
        behind_s: typing.Callable[[], float],
        quarantine: interfaces.Quarantine,
        age_s: typing.Callable[[], float],
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        settings = kernel.settings
        self.settings = settings
        self.shutdown = kernel.shutdown
        self.membership = membership
        self.routing = routing
        rng = kernel.random('gateway')
        node = settings.node
        retry_budgets = retry_budget.Budgets(
            node.retry_ratio,
            0.0,
            node.retry_window_s,
            'share of %s' % settings.host,
            clock.now(),
        )
        nested = call_tracker.NestedCallTracker(
            nested_call_budget.NestedCallBudget(retry_budgets)
        )
        self.pacer = pacers.Pacer(settings.host, node.link_mbps)
        self.memory = answer_memory.AnswerMemory(
            int(node.held_mb * MB), recorder
        )
        self.pool = upstream_pool.UpstreamPool(
            settings.data_centre,
            membership.directory,
            routing,
            rng,
            self.pacer,
            locality.Locality(
                node.home_first, node.home_bonus, node.home_bonus_per_kb
            ),
        )
        self.meters = meters_module.Meters(kernel.timeline)
        self.path_monitor = paths.PathMonitor(
            self.pool, settings.host, self.add_future, rng
        )
        self.client = gateway_client.GatewayClient(
            settings.host,
            self.path_monitor,
            self.pool,
            self._process_of,
            recorder,
        )
        startup_wait = startup.StartupWait()
        self.authenticator = authentication.Authenticator(
            routing, behind_s, age_s, node.keys_max_age_s
        )
        self.dispatcher = dispatchers.Dispatcher(
            self.pool,
            self.client,
            startup_wait,
            retry_budgets,
            quarantine,
            self.authenticator,
            rng,
            recorder,
        )
        # Request ids begin with the start time of the process, so that they
        # differ from those of its previous runs.
        self.request_metrics = request_metrics.RequestMetrics()
        prefix = '%s-%x' % (settings.host, kernel.incarnation & 0xFFFFFFFF)
        quota = parts.quota(settings.control)
        self.quota = quotas.Client(
            kernel.links,
            membership.members,
            settings.control_hosts,
            prefix,
            rng,
            quota,
            settings.data_centre,
            recorder,
        )
        self.quota_holder = holders.Holder(
            tenures.Process(
                prefix, settings.host, settings.data_centre, settings.peer
            ),
            kernel.links,
            self.quota,
            quota,
            lambda name: routing().customer(name),
            age_s,
            node.keys_max_age_s,
            rng,
            recorder,
        )
        self.caller_handler = caller_handler.CallerHandler(
            settings,
            prefix,
            routing,
            behind_s,
            self.dispatcher,
            startup_wait,
            splitting.Splitter(rng),
            nested,
            self.authenticator,
            self.quota,
            self.meters,
            self.request_metrics,
            self.memory,
            recorder,
        )
        self.executor = executors.Executor(
            membership,
            settings,
            nested,
            self.request_metrics,
            quarantine,
            recorder,
            statement_handler.StatementHandler(
                membership.registry,
                settings.headers,
                recorder,
                kernel.timeline,
            ),
        )
        self.run_time_news = run_time_news.RunTimeNews(
            kernel.links,
            membership,
            self.executor.run_times,
            kernel.random('run times'),
        )
        self.hop_handler = hop_handler.HopHandler(
            self.executor,
            self.request_metrics,
            recorder,
            self.pacer,
            self.memory,
            node.max_bodies,
        )
        self.recorder = recorder
        self.caller_listener = listeners.Listener(
            self.caller_handler.handle,
            self.caller_handler.bounds,
            self.caller_handler.may_pipeline,
            node.max_connections,
        )
        self.node_listener = listeners.Listener(
            self.hop_handler.handle,
            lambda: _node_limits(self.caller_handler.bounds().head_bytes),
            max_connections=node.max_hops,
            system_bytes=read_buffer.SYSTEM_CHOICE,
            refuser=listeners.ConnectionAborter,
        )
        self.created_at = clock.now()
        self.stopping = False

    def _process_of(self, host: str) -> str:
        """Return the process that runs on a host; '' if unknown."""
        entry = self.membership.table.entries.get(host)
        return '' if entry is None else str(entry.record.incarnation)

    def ejected(self, service: str) -> frozenset[str]:
        """Return the upstreams that were last reported as failing."""
        views = self.pool.selector.states
        return frozenset(
            upstream.id
            for upstream in self.membership.directory.upstreams(service)
            if upstream.id in views
            and views[upstream.id].report is not None
            and views[upstream.id].report.likely_failing
        )

    async def on_start(self) -> None:
        """Listen for other nodes, then for callers.

        A process that is to stop does not begin to.
        """
        metrics.collect(self.meters.samples)
        metrics.collect(self.request_metrics.samples)
        metrics.collect(self.client.traffic.samples)
        metrics.collect(self.samples)
        metrics.collect(self.memory.samples)
        metrics.collect(self.caller_handler.receiver.samples)
        metrics.collect(self.hop_handler.receiver.samples)
        metrics.collect(self.caller_handler.places.samples)
        if self.shutdown.requested:
            return
        settings = self.settings
        await self.add_runtime_dependency(self.quota_holder)
        await self.node_listener.listen(settings.bound(settings.node.gateway))
        await self.caller_listener.listen(settings.bound(settings.node.listen))

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield metrics of all parts of the request path."""
        yield metrics.Sample('resumed_total', self.client.resumed)
        yield metrics.Sample('hedged_total', self.dispatcher.hedged)
        yield metrics.Sample('joined_runs_total', self.hop_handler.runs.joined)
        yield metrics.Sample(
            'lines_left_out_total', self.recorder.room.left_out
        )
        listener = self.caller_listener
        yield metrics.Sample('caller_connections', len(listener.connections))
        yield metrics.Sample(
            'caller_connections_refused_total', listener.refused
        )
        yield from listener.samples(base_handler.CALLERS)
        yield from self.node_listener.samples(hop_handler.NODES)
        if self.pacer.link is not None:
            ahead_s = self.pacer.link.backlog_s(clock.now())
            yield metrics.Sample('link_ahead_seconds', ahead_s)
        for name, slots in self.executor.slots.items():
            labels = (('upstream', name),)
            queue = slots.queue
            yield metrics.Sample('gateway_running', queue.running, labels)
            yield metrics.Sample('gateway_waiting', len(queue.waiting), labels)
            yield metrics.Sample(
                'gateway_failing_chance', slots.failure_chance(), labels
            )
            instance = self.executor.instances[name]
            yield metrics.Sample(
                'gateway_body_bytes', instance.bodies.bytes, labels
            )
            yield metrics.Sample('gateway_slots', queue.slots, labels)
            for running, slowdown in slots.gate.concurrency.curve():
                yield metrics.Sample(
                    'gateway_slowdown',
                    slowdown,
                    (*labels, ('running', str(running))),
                )
            idle_s = slots.gate.idle_s(clock.now())
            yield metrics.Sample('gateway_idle_seconds', idle_s, labels)
            yield from statement_handler.samples(
                name,
                queue.rate,
                self.executor.statements.is_leaving(instance),
            )
        for (
            service,
            waiting,
        ) in self.dispatcher.budget_waits.priorities.items():
            labels = (('service', service),)
            yield metrics.Sample('node_budget_waiting', len(waiting), labels)
        for service, exploration in self.pool.explorations.items():
            labels = (('service', service),)
            yield metrics.Sample(
                'service_failing_share', exploration.failure_share, labels
            )
        for service, budget in self.dispatcher.retry_budgets.budgets.items():
            labels = (('service', service),)
            yield metrics.Sample(
                'node_firsts_total', budget.total_first_sends, labels
            )
            yield metrics.Sample(
                'node_repeats_total', budget.total_retries, labels
            )
            yield metrics.Sample(
                'node_repeats_refused_total', budget.refused, labels
            )
        for service, budget in self.executor.retry_budgets.budgets.items():
            labels = (('service', service),)
            yield metrics.Sample(
                'gateway_firsts_total', budget.total_first_sends, labels
            )
            yield metrics.Sample(
                'gateway_repeats_total', budget.total_retries, labels
            )
            yield metrics.Sample(
                'gateway_repeats_refused_total', budget.refused, labels
            )

    @mode.Service.task
    async def _sweep(self) -> None:
        """Close connections that have been idle for too long."""
        while not self.should_stop:
            await self.sleep(connections.SWEEP_INTERVAL_S)
            now = clock.now()
            self.pool.sweep(now)
            self.executor.sweep(now)

    @mode.Service.task
    async def _learn_run_times(self) -> None:
        """Ask other gateways now and then how long runs take."""
        while not self.should_stop:
            await self.sleep(run_time_news.RETRY_S)
            if not self.should_stop:
                self.run_time_news.ask_again()

    async def on_stop(self) -> None:
        """Drain, then close, within the time since the stop was asked for.

        Callers notice only after a while that this node is no longer ready,
        so their requests are served until then.  The gateway runs what ends
        in time for as long as callers keep the process up anyway; only then
        are other nodes notified.
        """
        self.stopping = True
        if not self.node_listener.listening:
            return
        self.quota_holder.release()
        node = self.settings.node
        asked_at = self.shutdown.request()
        ends_at = asked_at + max(node.drain_s - STOP_MARGIN_S, 0.0)
        accept_until = min(asked_at + node.lame_duck_s, ends_at)
        self.caller_handler.stop(accept_until, ends_at)
        self.dispatcher.stop(ends_at)
        self.executor.stop(ends_at)
        self._record_stage(decisions.BEGUN, ends_at)
        while clock.now() < accept_until:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self.caller_listener.close()
        self.caller_listener.close_idle()
        self._record_stage(decisions.CLOSED, ends_at)
        while self.caller_handler.active and self.executor.has_time(NEWS_S):
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self.membership.registry.drain_all()
        self.executor.close()
        self._record_stage(decisions.LEAVING, ends_at)
        heard_at = clock.now() + NEWS_S
        while clock.now() < ends_at and (
            clock.now() < heard_at or self._busy()
        ):
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self._record_stage(decisions.ANSWERED, ends_at)
        self.node_listener.close()
        self.caller_handler.cancel_remaining()
        await asyncio.sleep(FLUSH_S)
        await self.caller_listener.abort()
        await self.node_listener.abort()
        self.pool.close()

    def _record_stage(self, stage: str, ends_at: float) -> None:
        """Record how far the stop has got.

        :param ends_at: monotonic time at which the process ends.
        """
        event = decisions.StopStage(
            stage,
            int(self.shutdown.age_s() * MS),
            stopping.left_ms(ends_at),
            self.caller_handler.active,
            self.hop_handler.active,
            self.hop_handler.runs.orphans,
            int((clock.now() - self.created_at) * MS),
        )
        self.recorder.tell(event, decisions.BELIEF)

    def _busy(self) -> bool:
        """Return whether requests or answers are in progress.

        An answer counts until the operating system has taken all of it: on a
        full link, or with a slow caller, part of it is buffered here.  A run
        whose connection broke counts because it may be resumed.
        """
        listeners = (self.caller_listener, self.node_listener)
        return bool(
            self.caller_handler.active
            or self.hop_handler.active
            or self.hop_handler.runs.orphans
            or any(listener.has_unsent_data for listener in listeners)
        )


def _node_limits(
    head_bytes: int = http_server.MAX_HEAD_BYTES,
) -> http_server.Bounds:
    """Return the limits on what other nodes may send.

    Heads are as long as those of callers plus that of the fleet; connections
    that have gone silent are closed.

    :param head_bytes: bytes of a caller's head at most.
    """
    return http_server.Bounds(
        MAX_LINE_BYTES,
        ack_timeout_s=send_attempts.UNACKNOWLEDGED_TIMEOUT_S,
        head_bytes=head_bytes + HOP_HEAD_BYTES,
    )
