"""The coordinator of one service.

It decides on pooled evidence and never grants an ejection below the floor.
It sends nothing itself; ``lead`` sends what its ledger says has changed.
"""

import random
import typing

from carawaystair.outlier import detectors
from carawaystair.outlier import evidence_pool
from carawaystair.outlier import ingestion
from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import node_leases
from carawaystair.outlier import record_store
from carawaystair.outlier import reporting_nodes
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import service_outage
from carawaystair.outlier import state_machine
from carawaystair.outlier import tuning as tunings
from carawaystair.outlier import upstream_index
from carawaystair.outlier import upstream_record

# Copies to an upstream under trial, as a multiple of its usual share.
TRIAL_SHARES = 2.0
MOST_TRIAL = 0.5
HOUSEKEEPING_S = 5.0
# An adopted upstream is not given up as gone before the directory of this
# process had time to hear of it, seconds.
DIRECTORY_S = 10.0


class Coordinator:
    """Decides for one service.

    :param service: its name.
    :param known: the upstreams.
    :param detector: weighs the evidence.
    :param rng: source of randomness.
    :param now: monotonic time.
    """

    def __init__(
        self,
        service: str,
        known: upstream_index.Known,
        detector: detectors.Detector,
        rng: random.Random,
        now: float,
    ) -> None:
        self.service = service
        self.known = known
        self.detector = detector
        self.pool = evidence_pool.Pool(now)
        self.reporters = reporting_nodes.Reporters()
        self.routes = levels.Routes()
        self.ledger = record_store.Ledger(service, known)
        self.judge = state_machine.Judge(
            self.ledger, self.pool, detector, self.reporters, rng
        )
        self.intake = ingestion.Intake(
            self.ledger, self.pool, detector, self.reporters, self.routes
        )
        self.all_bad = service_outage.AllBad(self.ledger, self.pool)
        self.cleaned = now
        self.heard = now
        # Nothing may be granted before earlier grants are known.
        self.settled = False

    def take(self, report: messages.Report, address: str, now: float) -> None:
        """Take the report of a node and decide."""
        self.heard = now
        names = self.intake.take(report, address, now)
        self._judge(
            [name for name in names if name in self.ledger.tracks], now
        )

    def tick(self, now: float) -> None:
        """Do what time alone brings about."""
        self._follow_directory(now)
        held = [track.upstream for track in self.ledger.held()]
        if self.all_bad.tick(now):
            for name in held:
                self.judge.forget(self.ledger.tracks[name])
                self.judge.clear(self.ledger.tracks[name], now)
        else:
            self._judge(held, now)
        if now - self.cleaned >= HOUSEKEEPING_S:
            self.cleaned = now
            self._clean(now)

    def entry(
        self, track: upstream_record.Track, lease_s: float, now: float
    ) -> messages.Entry:
        """Return what nodes are told of one upstream."""
        trial = 0.0
        if track.copied:
            table = self.known.table(self.service).values()
            able = sum(self.known.able(one) for one in table)
            trial = min(TRIAL_SHARES / max(able, 1), MOST_TRIAL)
        return track.entry(self.tuning(), trial, lease_s, now)

    def entries(
        self, lease_s: float, now: float
    ) -> tuple[messages.Entry, ...]:
        """Return what nodes are told."""
        return tuple(
            self.entry(track, lease_s, now) for track in self.ledger.held()
        )

    def digest(self, now: float) -> int:
        """Return the digest of what nodes should hold."""
        tuning = self.tuning()
        return node_leases.digest(
            track.entry(tuning, 0.0, 0.0, now)
            for track in self.ledger.tracks.values()
        )

    def phases(self, lease_s: float, now: float) -> tuple[messages.Phase, ...]:
        """Return what a standby needs to know."""
        return tuple(
            messages.Phase(
                self.entry(track, lease_s, now),
                track.flapped(now),
                max(int((track.backoff_until - now) * 1000), 0),
            )
            for track in self.ledger.held()
        )

    def adopt(
        self, phases: typing.Iterable[messages.Phase], now: float
    ) -> None:
        """Take over what an earlier coordinator granted."""
        for phase in phases:
            if phase.entry.upstream not in self.ledger.tracks:
                self._adopt(phase, now)

    def tuning(self) -> tunings.Tuning:
        """Return the tuning that the manifest asks for."""
        return tunings.of(self.known.service(self.service))

    def _judge(self, names: typing.Iterable[str], now: float) -> None:
        if not self.settled or self.all_bad.active:
            return
        tuning = self.tuning()
        for name in names:
            self.judge.judge(self.ledger.tracks[name], tuning, now)

    def _adopt(self, phase: messages.Phase, now: float) -> None:
        entry, tuning = phase.entry, self.tuning()
        track = self.ledger.track(entry.upstream, now)
        state = ADOPTED.get(entry.kind, upstream_record.HEALTHY)
        track.enter(state, entry.weight / 1000, now)
        if entry.data_centre:
            track.scope = scopes.Scope(scopes.DATA_CENTRE, entry.data_centre)
        elif entry.customer_class >= 0:
            group = str(entry.customer_class)
            track.scope = scopes.Scope(scopes.CUSTOMER, group)
        if state == upstream_record.RETURNING:
            track.since = now + entry.ttl_ms / 1000 - tuning.slow_start_s
        track.flaps, track.flaps_time = phase.flaps, now
        track.severity = entry.severity / 1000
        # A node knows no backoff; without one the trial comes soon.
        track.backoff_until = now + phase.backoff_ms / 1000
        self.pool.exclude(entry.upstream)
        self.ledger.change(track)

    def _follow_directory(self, now: float) -> None:
        """Let go of upstreams that are gone, and of lives that are over."""
        table = self.known.table(self.service)
        for track in list(self.ledger.tracks.values()):
            upstream = table.get(track.upstream)
            if upstream is None:
                away = now - track.since >= DIRECTORY_S
                if away and track.state != upstream_record.HEALTHY:
                    self.judge.forget(track)
                    self.judge.clear(track, now)
            elif track.incarnation is None:
                track.incarnation = upstream.incarnation
            elif track.incarnation != upstream.incarnation:
                self._renew(track, now)

    def _renew(self, track: upstream_record.Track, now: float) -> None:
        """Hold nothing of its former life against an upstream."""
        self.judge.forget(track)
        self.judge.clear(track, now)
        self.pool.forget(track.upstream)
        del self.ledger.tracks[track.upstream]

    def _clean(self, now: float) -> None:
        self.reporters.forget(now)
        self.routes.forget(now)
        forgettable = [
            name
            for name, track in self.ledger.tracks.items()
            if track.forgettable(now)
        ]
        for name in forgettable:
            self.judge.forget_groups(self.ledger.tracks[name])
            del self.ledger.tracks[name]
        table = self.known.table(self.service)
        for name in [name for name in self.pool.tables if name not in table]:
            self.pool.forget(name)
            self.detector.forget(name)


ADOPTED = {
    messages.HELD: upstream_record.SUSPECTED,
    messages.EJECTED: upstream_record.EJECTED,
    messages.RETURNING: upstream_record.RETURNING,
}
