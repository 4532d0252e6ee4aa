"""Limits and leaves that upstreams state to a node that sends directly."""

import random
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.load import rate_share
from carawaystair.request import headers
from carawaystair.request import statements
from carawaystair.request import target as targets
from carawaystair import settings as settings_module
from carawaystair import timeline as timeline_module

# Upstreams that are remembered as leaving.
MAX_LEAVING = 4096


class UpstreamLimits:
    """What upstreams state in the answers that this node gets.

    :param names: names of the headers.
    :param node_count: returns how many nodes are believed alive.
    :param timeline: receives what changes for an upstream.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        names: settings_module.Headers,
        node_count: typing.Callable[[], int],
        timeline: timeline_module.Timeline,
        rng: random.Random,
    ) -> None:
        self.names = names
        self.node_count = node_count
        self.timeline = timeline
        self.rng = rng
        self.nodes = rate_share.NodeCount()
        # Upstreams with a limit in force, by their ids.
        self.limited: dict[str, targets.Target] = {}
        # Incarnations that stated that they leave, by the id of the upstream.
        self.leaving: dict[str, int] = {}

    def read(
        self,
        target: targets.Target,
        raw: headers.Raw,
        good: bool,
        began: float,
    ) -> bool:
        """Apply what an answer states; return whether the upstream leaves.

        :param good: whether the answer is sound.
        :param began: monotonic time at which its request was sent.
        """
        stated = statements.parse(raw, self.names)
        if stated is statements.NOTHING and target.share is None:
            return False
        if target.share is None:
            target.share = rate_share.RateShare(self.rng)
        share, was_limited = target.share, target.share.limited
        if stated.limit is not None:
            share.state(stated.limit, began, clock.now())
        elif good and not stated.has_malformed:
            share.end(began)
        if share.limited != was_limited:
            self._limit_changed(target)
        return stated.leaving and self._leaves(target.upstream)

    def is_leaving(self, upstream: interfaces.Upstream) -> bool:
        """Return whether an upstream stated that it leaves."""
        return self.leaving.get(upstream.id, -1) >= upstream.incarnation

    def closed(self, service: str, now: float) -> dict[str, float]:
        """Return the upstreams that take no more now.

        :return: seconds until they do, by id.
        """
        if not self.limited:
            return {}
        nodes = self.nodes.observe(self.node_count(), now)
        waits = {
            name: target.share.wait_s(nodes, now)
            for name, target in self.limited.items()
            if target.upstream.service == service
        }
        return {name: wait_s for name, wait_s in waits.items() if wait_s > 0.0}

    def take(self, target: targets.Target) -> None:
        """Count a request that is sent to an upstream."""
        if target.upstream.id in self.limited:
            now = clock.now()
            nodes = self.nodes.observe(self.node_count(), now)
            target.share.take(nodes, now)

    def forget(self, target: targets.Target) -> None:
        """Remove an upstream that is gone or has started anew."""
        self.limited.pop(target.upstream.id, None)

    def _limit_changed(self, target: targets.Target) -> None:
        if target.share.limited:
            self.limited[target.upstream.id] = target
            text = '%.3g requests a second' % target.share.per_s
            self._tell(target.upstream, 'upstream-limited', text)
        else:
            self.forget(target)
            self._tell(target.upstream, 'upstream-unlimited', '')

    def _leaves(self, upstream: interfaces.Upstream) -> bool:
        if self.is_leaving(upstream):
            return False
        self.leaving[upstream.id] = upstream.incarnation
        if len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        self._tell(upstream, 'upstream-leaving', 'by its answers')
        return True

    def _tell(
        self, upstream: interfaces.Upstream, kind: str, text: str
    ) -> None:
        self.timeline.record(
            kind, text, service=upstream.service, upstream=upstream.id
        )
