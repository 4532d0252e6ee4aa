"""Tests of which latencies become the usual ones of a route."""

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
    """A routing with one service, drained nowhere."""

    def service(self, _name):
        return manifest.Service()

    def drained(self, _host, _data_centre):
        return False


class Rig:
    """A baseline over three upstreams and a clock of its own."""

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
        self.part = baseline.Baseline(self.store, self.routes)
        self.now = 0.0

    def answers(self, seconds, slow=()):
        """Let each upstream answer five times a second."""
        for _tick, name in itertools.product(range(seconds * 5), NAMES):
            latency_s = SLOW_S if name in slow else QUICK_S
            sample = messages.Sample(
                ROUTE, int(latency_s * 1e6), levels.short_id(name)
            )
            self.part.add_samples([sample], self.now)
            self.now += 0.2 / len(NAMES)

    def suspect(self, *names):
        """Take upstreams for suspects."""
        for name in names:
            found = self.store.get_or_add(name, self.now)
            found.state = upstream_record.SUSPECTED

    def late(self):
        """Return from which latency on an answer is late, seconds."""
        return self.routes.bounds(MIN_LATENCY_S, self.now)[ROUTE].late


def test_slow_suspect_does_not_raise_the_bounds_it_is_judged_by():
    """One of three upstreams turns slow soon after the start.

    Symptom: it is suspected and never ejected.  Sequence: a third of the
    good answers are its own, the bounds follow them within seconds, and
    then its answers count as usual.  Cause: samples of a suspect were taken
    for the usual ones.
    """

    async def scenario():
        rig = Rig()
        rig.answers(10)
        before = rig.late()
        rig.suspect('u1')
        rig.answers(20, slow=['u1'])
        assert rig.late() == before

    fakes.run(scenario())


def test_bounds_follow_a_service_that_is_slow_as_a_whole():
    """The service itself got slower, for good.

    Symptom: all its upstreams stay suspects for ever.  Sequence: a new
    release is slower everywhere.  Cause: samples of suspects are dropped
    although the suspects are most of the service.
    """

    async def scenario():
        rig = Rig()
        rig.answers(10)
        rig.suspect(*NAMES)
        rig.answers(60, slow=NAMES)
        assert rig.late() > SLOW_S

    fakes.run(scenario())


def test_waiting_samples_are_bounded():
    async def scenario():
        rig = Rig()
        rig.answers(10)
        sample = messages.Sample(ROUTE, 20_000, 1)
        rig.part.add_samples([sample] * (baseline.MAX_WAITING + 50), rig.now)
        assert len(rig.part.waiting) == baseline.MAX_WAITING

    fakes.run(scenario())
