"""The coordinator's records of the upstreams of one service.

Every change is made here, so that it gets a serial number, is sent to nodes
and shows in the timeline; so is every check of the capacity floor.
"""

import typing

from carawaystair import invariants
from carawaystair.outlier import floor
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import upstream_index
from carawaystair.outlier import upstream_record


class RecordStore:
    """The records of one service.

    :param service: its name.
    :param index: the upstreams.
    """

    def __init__(
        self, service: str, index: upstream_index.UpstreamIndex
    ) -> None:
        self.service = service
        self.index = index
        self.records: dict[str, upstream_record.UpstreamRecord] = {}
        self.serial = 0
        # Changes still to be sent, and events still to be recorded.
        self.changed: dict[str, upstream_record.UpstreamRecord] = {}
        self.events: list[upstream_record.Transition] = []

    def get_or_add(
        self, upstream: str, now: float
    ) -> upstream_record.UpstreamRecord:
        """Return the record of an upstream, and add it if there is none."""
        found = self.records.get(upstream)
        if found is None:
            found = self.records[upstream] = upstream_record.UpstreamRecord(
                upstream, now
            )
        return found

    def unhealthy(self) -> tuple[upstream_record.UpstreamRecord, ...]:
        """Return the records in any state but healthy, by id."""
        return tuple(
            record
            for _name, record in sorted(self.records.items())
            if record.state != upstream_record.HEALTHY
        )

    def mark_changed(self, record: upstream_record.UpstreamRecord) -> None:
        """Mark a record to be sent to nodes."""
        self.serial += 1
        record.serial = self.serial
        self.changed[record.upstream] = record

    def add_event(self, kind: str, upstream: str, text: str) -> None:
        """Add an event for the timeline."""
        self.events.append(upstream_record.Transition(kind, upstream, text))

    def floor_allows(
        self, record: upstream_record.UpstreamRecord, data_centre: str = ''
    ) -> bool:
        """Return whether the floor allows taking an upstream out of service.

        :param data_centre: for callers of this data centre only, or empty.
        """
        upstream = self.index.by_id(self.service).get(record.upstream)
        if upstream is None:
            return False
        cost = upstream.slots if self.index.usable(upstream) else 0
        data_centres = (
            {data_centre}
            if data_centre
            else {'', *self._limited_data_centres()}
        )
        return all(
            self._spare(self._out_of_service(one) - {record.upstream}) >= cost
            for one in data_centres
        )

    def assert_floor(self) -> None:
        """Assert that grants don't bring the capacity below the floor."""
        for data_centre in {'', *self._limited_data_centres()}:
            ejected = self._out_of_service(data_centre)
            spare = self._spare(ejected)
            # Losses of hosts may bring capacity below the floor; nodes then
            # apply fewer ejections, see ``floor.clamp``.
            lost = self._spare(frozenset()) < 0
            detail = '%s %s %d' % (self.service, data_centre, spare)
            invariants.check(
                invariants.FLOOR, not ejected or spare >= 0 or lost, detail
            )

    def _limited_data_centres(self) -> set[str]:
        return {
            record.scope.group
            for record in self.records.values()
            if record.scope.kind == scopes.DATA_CENTRE
        }

    def _out_of_service(self, data_centre: str) -> frozenset[str]:
        return frozenset(
            record.upstream
            for record in self.records.values()
            if record.out_of_service
            or (
                data_centre
                and record.scope.group == data_centre
                and record.weight == 0.0
            )
        )

    def _spare(self, ejected: typing.Container[str]) -> int:
        return floor.measure(
            self.index.service(self.service),
            self.index.by_id(self.service).values(),
            ejected,
            self.index.usable,
        ).spare
