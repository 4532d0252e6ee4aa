"""Replays requests at the nodes of three data centres, in virtual time."""

import collections
import heapq
import itertools
import math
import random
import typing

from carawaystair.load import failure_estimate
from carawaystair.load import locality
from carawaystair.load import request_value
from carawaystair.load import slot_queue
from carawaystair.load import upstream_gate
from carawaystair.load import upstream_selection

CENTRES = ('a', 'b', 'c')
SLOTS = 5
# Bytes of a request, its answer, and the headers of one offer and its report.
REQUEST_BYTES = 1200
ANSWER_BYTES = 3500
OFFER_BYTES = 450
GATEWAYS_ASKED = 6
# A wait counts as needless once a slot elsewhere is free for so long.
NEEDLESS_S = 0.05


class Kind(typing.NamedTuple):
    """A kind of request.

    :param route: key of its route.
    :param work_s: mean work, seconds.
    :param share: share of all requests.
    :param once: whether it may run only once.
    """

    route: str
    work_s: float
    share: float
    once: bool


KINDS = (
    Kind('short', 0.3, 0.4, False),
    Kind('book', 0.8, 0.4, True),
    Kind('long', 3.0, 0.2, False),
)
MEAN_WORK_S = sum(kind.work_s * kind.share for kind in KINDS)


class Arrival(typing.NamedTuple):
    """A request on its way.

    :param id: its number.
    :param at: when it arrived, seconds.
    :param kind: its kind.
    :param node: the node that it arrived at.
    """

    id: int
    at: float
    kind: Kind
    node: 'Node'


class Node:
    """A node with callers.

    :param centre: its data centre.
    """

    def __init__(self, centre, setting, rng) -> None:
        self.centre = centre
        self.selector = upstream_selection.UpstreamSelector(rng, setting)
        for kind in KINDS:
            self.selector.durations.means[kind.route] = kind.work_s
            self.selector.answer_sizes.means[kind.route] = ANSWER_BYTES


class Upstream:
    """An upstream behind its gateway.

    :param name: its id.
    :param centre: its data centre.
    :param up: whether it takes work.
    """

    def __init__(self, name, centre) -> None:
        self.name = name
        self.centre = centre
        self.up = True
        self.gate = upstream_gate.Gate(SLOTS)
        for kind in KINDS:
            self.gate.queue.durations.means[kind.route] = kind.work_s
        self.gate.queue.durations.mean = MEAN_WORK_S
        self.free_since = 0.0
        self.waiting: dict[str, Arrival] = {}


class Replay:
    """Requests at upstreams of one service.

    :param load: returns the requests a second of a data centre at a time.
    :param setting: the locality of all nodes.
    :param nodes: nodes in each data centre.
    :param upstreams: upstreams in each data centre.
    :param stale_s: most seconds by which reports come late.
    """

    def __init__(
        self, load, setting=None, seed=1, nodes=8, upstreams=6, stale_s=0.0
    ) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.stale_s = stale_s
        self.nodes = {
            centre: [
                Node(centre, setting or locality.DEFAULT, self.rng)
                for _ in range(nodes)
            ]
            for centre in CENTRES
        }
        self.upstreams = {
            name: Upstream(name, name[0])
            for name in (
                '%s%d' % pair
                for pair in itertools.product(CENTRES, range(upstreams))
            )
        }
        self.events: list = []
        self.order = itertools.count()
        self.far_bytes = self.near_bytes = 0
        self.asked = collections.Counter()
        # Seconds of work begun, by data centre and second.
        self.work: collections.Counter = collections.Counter()
        self.waits: list[float] = []
        self.needless = 0
        self.done = 0
        self.far_runs = 0
        self.begun: dict[str, list[float]] = collections.defaultdict(list)

    def at(self, when, act, *args) -> None:
        """Do something at a time."""
        heapq.heappush(self.events, (when, next(self.order), act, args))

    def run(self, seconds) -> 'Replay':
        """Play so many seconds of arrivals, and what they leave."""
        for centre in CENTRES:
            self._next_arrival(centre, 0.0, seconds)
        while self.events:
            when, _order, act, args = heapq.heappop(self.events)
            act(when, *args)
        return self

    def _next_arrival(self, centre, now, until) -> None:
        rate = max(self.load(centre, now), 1e-3)
        then = now + self.rng.expovariate(rate) if rate > 0.01 else now + 0.1
        if then < until:
            self.at(then, self._arrive, centre, until, rate > 0.01)

    def _arrive(self, now, centre, until, real) -> None:
        self._next_arrival(centre, now, until)
        if not real:
            return
        kind = self.rng.choices(KINDS, [k.share for k in KINDS])[0]
        node = self.rng.choice(self.nodes[centre])
        self._dispatch(now, Arrival(next(self.order), now, kind, node))

    def _dispatch(self, now, arrival) -> None:
        node, kind = arrival.node, arrival.kind
        need = request_value.Need(4.0, 12.0, kind.once)
        candidates = [
            upstream_selection.Candidate(
                one.name, one.centre == node.centre, SLOTS
            )
            for one in self.upstreams.values()
            if one.up
        ]
        tried, refused = set(), {}
        while len(tried) < GATEWAYS_ASKED:
            choice = node.selector.choose(
                candidates,
                tried,
                set(refused),
                now,
                need,
                kind.route,
                REQUEST_BYTES,
                not tried and not kind.once,
                False,
            )
            if choice is None:
                break
            one = self.upstreams[choice.candidate.id]
            tried.add(one.name)
            if self._offer(now, arrival, one, choice):
                return
            refused[one.name] = None
        if refused:
            least = min(refused, key=lambda name: self._wait_s(name, now))
            self._enqueue(now, arrival, self.upstreams[least])

    def _wait_s(self, name, now) -> float:
        request = slot_queue.SlotRequest('', 'book', math.inf)
        return self.upstreams[name].gate.queue.expected_wait_s(request, now)

    def _request(self, arrival) -> slot_queue.SlotRequest:
        return slot_queue.SlotRequest(
            str(arrival.id),
            arrival.kind.route,
            arrival.at + 12.0,
            arrival.at + 4.0,
        )

    def _offer(self, now, arrival, one, choice) -> bool:
        """Offer a request to a gateway; return whether it runs there."""
        far = one.centre != arrival.node.centre
        self.asked[far] += 1
        offer = upstream_gate.Offer(
            arrival.kind.once, False, 0.0, choice.min_value, True, 0.0
        )
        answer = one.gate.answer(offer, self._request(arrival), now)
        if answer.reason:
            self._count(far, OFFER_BYTES + REQUEST_BYTES)
            self._report(now, arrival, one)
            return False
        self._begin(now, arrival, one)
        return True

    def _count(self, far, size) -> None:
        if far:
            self.far_bytes += size
        else:
            self.near_bytes += size

    def _report(self, now, arrival, one) -> None:
        """Give a node a report, possibly late."""
        report = one.gate.report('p', arrival.kind.route, now)
        late_s = self.rng.uniform(0.0, self.stale_s)
        self.at(
            now + late_s,
            lambda when: arrival.node.selector.record_report(
                one.name, report, when, arrival.kind.route
            ),
        )

    def _begin(self, now, arrival, one) -> None:
        queue = one.gate.queue
        if str(arrival.id) not in queue.started:
            queue.request_slot(self._request(arrival), now, False)
        one.gate.trials.record_start(now)
        far = one.centre != arrival.node.centre
        self.far_runs += far
        self._count(far, OFFER_BYTES + REQUEST_BYTES + ANSWER_BYTES)
        arrival.node.selector.state(one.name).in_flight += 1
        took_s = arrival.kind.work_s * self.rng.uniform(0.5, 1.5)
        self.work[one.centre, int(now)] += took_s
        self.begun[one.name].append(now)
        self.waits.append(now - arrival.at)
        self.at(now + took_s, self._end, arrival, one, took_s)

    def _end(self, now, arrival, one, took_s) -> None:
        queue = one.gate.queue
        queue.finish(str(arrival.id))
        one.gate.trials.record_success()
        for seen in (
            failure_estimate.NOT_FAILED_AT_ONCE,
            failure_estimate.SUCCEEDED,
        ):
            one.gate.estimate.observe(seen, now)
        queue.record_service_time(arrival.kind.route, now - took_s, took_s)
        one.free_since = now
        self.done += 1
        arrival.node.selector.state(one.name).in_flight -= 1
        self._report(now, arrival, one)
        for name in queue.start_waiting(now):
            self._begin(now, one.waiting.pop(name), one)

    def _enqueue(self, now, arrival, one) -> None:
        verdict = one.gate.queue.request_slot(
            self._request(arrival), now, True
        )
        if verdict.starts:
            self._begin(now, arrival, one)
        elif not verdict.reason:
            one.waiting[str(arrival.id)] = arrival
            self.at(now + NEEDLESS_S, self._check, arrival, one)

    def _check(self, now, arrival, one) -> None:
        """Count a wait while a slot elsewhere has been free for a while."""
        if str(arrival.id) not in one.waiting:
            return
        self.needless += any(
            other.up
            and other.gate.queue.running < SLOTS
            and now - other.free_since >= NEEDLESS_S
            for other in self.upstreams.values()
        )
