"""The agreed placements: a deterministic state machine.

The control hosts apply it to their replicated log.  Wrong or repeated
proposals are harmless: a change of members names its epoch, exchanges at most
one replica, and is refused during a handover.
"""

import typing

import msgspec

from carawaystair.reservations import identifiers
from carawaystair.reservations import messages
from carawaystair.reservations import placement_table
from carawaystair import rows

# Prefix of the log entries of this state machine, see ``control.parts``.
PREFIX = 'r'

# Kinds of changes, as encoded.
ADD_REGION = 1
CHANGE_MEMBERS = 2
FINISH_HANDOVERS = 3
ASSIGN_SERVICES = 4
SET_MAX_WINDOW = 5


class AddRegion(typing.NamedTuple):
    """Adds a region that holds keys, with the replicas of its partitions.

    :param region: name of the region.
    :param rows: ``identifiers.PARTITIONS`` placements, of which only the
        members are used.
    """

    region: str
    rows: messages.Rows


class ChangeMembers(typing.NamedTuple):
    """Changes the members of partitions, which starts handovers.

    :param rows: placements, each with its new epoch.
    """

    rows: messages.Rows


class FinishHandovers(typing.NamedTuple):
    """Ends handovers, after a majority of the new members became active.

    :param epochs: partitions with their epochs.
    """

    epochs: tuple[tuple[int, int], ...]


class AssignServices(typing.NamedTuple):
    """Assigns regions to the keys of services and drops services.

    A service keeps its region, since another one would not know its keys.

    :param add: services with their regions.
    :param drop: services that were removed for longer than a window.
    """

    add: tuple[tuple[str, str], ...] = ()
    drop: tuple[str, ...] = ()


class SetMaxWindow(typing.NamedTuple):
    """Sets the longest time that any key may be remembered.

    :param seconds: longest window of any service.
    """

    seconds: float


_KINDS = {
    ADD_REGION: AddRegion,
    CHANGE_MEMBERS: ChangeMembers,
    FINISH_HANDOVERS: FinishHandovers,
    ASSIGN_SERVICES: AssignServices,
}
_KINDS |= {SET_MAX_WINDOW: SetMaxWindow}
_NUMBERS = {kind: number for number, kind in _KINDS.items()}
_DECODERS = {
    number: msgspec.msgpack.Decoder(kind) for number, kind in _KINDS.items()
}


class Snapshot(typing.NamedTuple):
    """The state as stored in a snapshot."""

    key_space: placement_table.KeySpace
    rows: messages.Rows


def encode(change) -> bytes:
    """Return an encoded change."""
    return bytes((_NUMBERS[type(change)],)) + msgspec.msgpack.encode(change)


class PlacementState:
    """State machine of the placements."""

    def __init__(self) -> None:
        self.placement_table = placement_table.PlacementTable()

    def apply(self, _version: rows.Version, data: bytes) -> bytes:
        """Apply an encoded change, see ``control.machine``.

        :return: number of parts of the change that were applied, as text; 0
            if it can't be decoded, which every control host then ignores.
        """
        try:
            change = _DECODERS[data[0]].decode(data[1:])
        except (msgspec.DecodeError, LookupError):
            return b'0'
        return b'%d' % self._apply(change)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        placements = messages.pack_rows(
            list(self.placement_table.by_partition.values())
        )
        return msgspec.msgpack.encode(
            Snapshot(self.placement_table.key_space, placements)
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = msgspec.msgpack.decode(data, type=Snapshot)
        self.placement_table = placement_table.PlacementTable()
        self.placement_table.update_key_space(state.key_space)
        self.placement_table.update(messages.unpack_rows(state.rows))

    def _apply(self, change) -> int:
        version = self.placement_table.key_space.version + 1
        if isinstance(change, AddRegion):
            return self._add_region(change, version)
        if isinstance(change, ChangeMembers):
            asked = messages.unpack_rows(change.rows)
            return self._store(
                filter(None, map(self._with_new_members, asked)), version
            )
        if isinstance(change, FinishHandovers):
            finished = (
                self._without_previous(*each) for each in change.epochs
            )
            return self._store(filter(None, finished), version)
        if isinstance(change, AssignServices):
            return self._assign_services(change, version)
        return self._set_max_window(change, version)

    def _store(
        self,
        placements: typing.Iterable[placement_table.Placement],
        version: int,
    ) -> int:
        updated = [
            placement._replace(version=version) for placement in placements
        ]
        if updated:
            self._update_key_space(version)
        return self.placement_table.update(updated)

    def _update_key_space(self, version: int, **changes) -> None:
        key_space = self.placement_table.key_space._replace(
            version=version, **changes
        )
        self.placement_table.update_key_space(key_space)

    def _add_region(self, change: AddRegion, version: int) -> int:
        regions = self.placement_table.key_space.regions
        placements = messages.unpack_rows(change.rows)
        complete = [placement.partition for placement in placements] == list(
            range(identifiers.PARTITIONS)
        )
        valid = complete and all(
            _valid_members(placement.members) for placement in placements
        )
        if change.region in regions or not valid:
            return 0
        first = len(regions) * identifiers.PARTITIONS
        self._update_key_space(version, regions=(*regions, change.region))
        return self.placement_table.update(
            placement_table.Placement(
                first + placement.partition, 1, version, placement.members
            )
            for placement in placements
        )

    def _with_new_members(
        self, placement: placement_table.Placement
    ) -> placement_table.Placement | None:
        current = self.placement_table.get(placement.partition)
        if (
            current is None
            or current.previous_members
            or current.epoch + 1 != placement.epoch
        ):
            return None
        if not _valid_members(placement.members) or not is_single_change(
            current, placement.members
        ):
            return None
        return placement._replace(previous_members=current.members)

    def _without_previous(
        self, partition: int, epoch: int
    ) -> placement_table.Placement | None:
        current = self.placement_table.get(partition)
        if (
            current is None
            or current.epoch != epoch
            or not current.previous_members
        ):
            return None
        return current._replace(previous_members=())

    def _assign_services(self, change: AssignServices, version: int) -> int:
        regions = self.placement_table.key_space.regions
        key_regions = dict(self.placement_table.key_space.key_regions)
        updated = {
            service: regions.index(region)
            for service, region in change.add
            if service not in key_regions and region in regions
        }
        removed = [
            service for service in change.drop if service in key_regions
        ]
        kept = {k: v for k, v in key_regions.items() if k not in removed}
        if updated or removed:
            combined = tuple(sorted((kept | updated).items()))
            self._update_key_space(version, key_regions=combined)
        return len(updated) + len(removed)

    def _set_max_window(self, change: SetMaxWindow, version: int) -> int:
        if change.seconds == self.placement_table.key_space.window_s:
            return 0
        self._update_key_space(version, window_s=change.seconds)
        return 1


def is_single_change(
    current: placement_table.Placement,
    members: typing.Sequence[placement_table.Replica],
) -> bool:
    """Return whether at most one host is removed and at most one added."""
    old = {member.host for member in current.members}
    new = {member.host for member in members}
    return len(old - new) <= 1 and len(new - old) <= 1 and old != new


def _valid_members(members: typing.Sequence[placement_table.Replica]) -> bool:
    hosts = {member.host for member in members}
    return 0 < len(members) == len(hosts) <= placement_table.MAX_MEMBERS
