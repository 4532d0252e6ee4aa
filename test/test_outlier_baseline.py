"""Tests of the selection of latency samples for a route's usual latencies."""

import itertools

from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.outlier import baseline
from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import record_store
from carawaystair.outlier import upstream_index
from carawaystair.outlier import upstream_record
from test import fakes

NAMES = ('u0', 'u1', 'u2')
ROUTE = 7
QUICK_S, SLOW_S = 0.02, 0.6
MIN_LATENCY_S = 0.001


class Routing:
    """A routing with one service and no drains."""

    def service(self, _name):
        return manifest.Service()

    def drained(self, _host, _data_centre):
        return False


class Rig:
    """A baseline over three upstreams, with its own clock."""

    def __init__(self):
        upstreams = [
            interfaces.Upstream(name, 's', '', '', 'dc-1', 5) for name in NAMES
        ]
        directory = fakes.Directory(*upstreams)
        routing = Routing()
        self.store = record_store.RecordStore(
            's', upstream_index.UpstreamIndex(directory, lambda: routing)
        )
        self.routes = levels.RouteLatencies()
        self.baseline = baseline.Baseline(self.store, self.routes)
        self.now = 0.0

    def add_answers(self, seconds, slow=()):
        """Add five answers a second of each upstream."""
        for _tick, name in itertools.product(range(seconds * 5), NAMES):
            latency_s = SLOW_S if name in slow else QUICK_S
            sample = messages.Sample(
                ROUTE, int(latency_s * 1e6), levels.short_id(name)
            )
            self.baseline.add_samples([sample], self.now)
            self.now += 0.2 / len(NAMES)

    def suspect(self, *names):
        """Set upstreams to the suspected state."""
        for name in names:
            found = self.store.get_or_add(name, self.now)
            found.state = upstream_record.SUSPECTED

    def late_bound(self):
        """Return the bound for late answers, seconds."""
        return self.routes.bounds(MIN_LATENCY_S, self.now)[ROUTE].late


def test_slow_suspect_does_not_raise_its_own_bounds():
    """Guards against a slow upstream that is suspected but never ejected.

    A third of the good answers are its own when one of three upstreams turns
    slow; the bounds would follow them within seconds, and then its answers
    would count as usual.
    """

    async def scenario():
        rig = Rig()
        rig.add_answers(10)
        before = rig.late_bound()
        rig.suspect('u1')
        rig.add_answers(20, slow=['u1'])
        assert rig.late_bound() == before

    fakes.run(scenario())


def test_bounds_follow_a_service_that_is_slow_as_a_whole():
    """Guards against upstreams that stay suspected for ever.

    A new release is slower everywhere.  Samples of suspects must not be
    dropped when most of the service is suspected.
    """

    async def scenario():
        rig = Rig()
        rig.add_answers(10)
        rig.suspect(*NAMES)
        rig.add_answers(60, slow=NAMES)
        assert rig.late_bound() > SLOW_S

    fakes.run(scenario())


def test_waiting_samples_are_bounded():
    async def scenario():
        rig = Rig()
        rig.add_answers(10)
        sample = messages.Sample(ROUTE, 20_000, 1)
        rig.baseline.add_samples(
            [sample] * (baseline.MAX_WAITING + 50), rig.now
        )
        assert len(rig.baseline.waiting) == baseline.MAX_WAITING

    fakes.run(scenario())
