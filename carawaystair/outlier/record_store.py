"""What the coordinator of one service holds against upstreams.

Every change goes through here, so that it gets a serial number, is sent and
shows in the time line; and so does every question of the capacity floor.
"""

import typing

from carawaystair import invariants
from carawaystair.outlier import floor
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import upstream_index
from carawaystair.outlier import upstream_record


class Ledger:
    """The tracks of one service.

    :param service: its name.
    :param known: the upstreams.
    """

    def __init__(self, service: str, known: upstream_index.Known) -> None:
        self.service = service
        self.known = known
        self.tracks: dict[str, upstream_record.Track] = {}
        self.serial = 0
        # What is still to be sent and to be shown.
        self.changed: dict[str, upstream_record.Track] = {}
        self.events: list[upstream_record.Transition] = []

    def track(self, upstream: str, now: float) -> upstream_record.Track:
        """Return the track of an upstream, made when missing."""
        found = self.tracks.get(upstream)
        if found is None:
            found = self.tracks[upstream] = upstream_record.Track(
                upstream, now
            )
        return found

    def held(self) -> tuple[upstream_record.Track, ...]:
        """Return the tracks that nodes are told of, by id."""
        return tuple(
            track
            for _name, track in sorted(self.tracks.items())
            if track.state != upstream_record.HEALTHY
        )

    def change(self, track: upstream_record.Track) -> None:
        """Take note that nodes must be told of a track."""
        self.serial += 1
        track.serial = self.serial
        self.changed[track.upstream] = track

    def tell(self, kind: str, upstream: str, text: str) -> None:
        """Show an event in the time line."""
        self.events.append(upstream_record.Transition(kind, upstream, text))

    def room(self, track: upstream_record.Track, place: str = '') -> bool:
        """Tell whether the floor allows to take an upstream out.

        :param place: for callers of this data centre only, or empty.
        """
        upstream = self.known.table(self.service).get(track.upstream)
        if upstream is None:
            return False
        cost = upstream.slots if self.known.able(upstream) else 0
        places = {place} if place else {'', *self._places()}
        return all(
            self._spare(self._out(one) - {track.upstream}) >= cost
            for one in places
        )

    def assert_floor(self) -> None:
        """Assert that nothing granted brings the capacity below the floor."""
        for place in {'', *self._places()}:
            out = self._out(place)
            spare = self._spare(out)
            # Losses of hosts may take capacity below the floor; the nodes
            # then honour fewer ejections, see ``floor.clamp``.
            lost = self._spare(frozenset()) < 0
            detail = '%s %s %d' % (self.service, place, spare)
            invariants.check(
                invariants.FLOOR, not out or spare >= 0 or lost, detail
            )

    def _places(self) -> set[str]:
        return {
            track.scope.group
            for track in self.tracks.values()
            if track.scope.kind == scopes.DATA_CENTRE
        }

    def _out(self, place: str) -> frozenset[str]:
        return frozenset(
            track.upstream
            for track in self.tracks.values()
            if track.out
            or (place and track.scope.group == place and track.weight == 0.0)
        )

    def _spare(self, out: typing.Container[str]) -> int:
        return floor.measure(
            self.known.service(self.service),
            self.known.table(self.service).values(),
            out,
            self.known.able,
        ).spare
