"""The role of coordinator for one service: its coordinator and sending."""

import typing

from carawaystair import interfaces
from carawaystair.outlier import coordinator as coordinators
from carawaystair.outlier import messages
from carawaystair.outlier import report_pace
from carawaystair.outlier import upstream_record

# Length of an ejection's lease, seconds.  It grows with the number of members:
# renewals take members / (lease / RENEWALS_PER_LEASE) datagrams a second.
LEASE_S = 15.0
MAX_LEASE_S = 90.0
RENEWALS_PER_S = 40.0
RENEWALS_PER_LEASE = 3.0
MIRROR_INTERVAL_S = 5.0
# Bytes of entries in one datagram, and bytes of an entry without its id.
CHUNK_BYTES = 1000
ENTRY_BYTES = 40

# Upstreams in these states are announced to all members, not only to nodes
# that use the service now: other nodes may send them their first request.
ANNOUNCED_STATES = frozenset(
    (
        upstream_record.EJECTED,
        upstream_record.ON_TRIAL,
        upstream_record.RETURNING,
    )
)


class Sender(typing.Protocol):
    """Sends datagrams, see ``paced_sender.PacedSender``."""

    def send(self, addresses: typing.Iterable[str], messages) -> None:
        """Send each message to each address."""


class CoordinatorRole:
    """One service at its coordinator.

    :param me: this process.
    :param coordinator: decides.
    :param sender: sends.
    :param now: monotonic time.
    """

    def __init__(
        self,
        me: interfaces.Member,
        coordinator: coordinators.Coordinator,
        sender: Sender,
        now: float,
    ) -> None:
        self.me = me
        self.coordinator = coordinator
        self.sender = sender
        self.pacer = report_pace.Pacer(coordinator.service, now)
        self.epoch = 0
        # Whether this process is the coordinator by its own view of the
        # members.
        self.leading = False
        self.takeover_at = -1e9
        self.asked_nodes: set[str] = set()
        self.mirrored_at = now
        # Position among the members of the current round of renewals.
        self.renewal_position = 0.0

    def lease_s(self, members: typing.Sized) -> float:
        """Return the length of an ejection's lease, seconds."""
        wanted = len(members) / RENEWALS_PER_S * RENEWALS_PER_LEASE
        return min(max(wanted, LEASE_S), MAX_LEASE_S)

    def publish(
        self,
        members: typing.Sequence[interfaces.Member],
        standby: interfaces.Member | None,
        now: float,
    ) -> None:
        """Send the changed entries to nodes."""
        store = self.coordinator.store
        if not store.changed:
            return
        lease_s = self.lease_s(members)
        reporters_only, everyone = [], []
        for record in store.changed.values():
            record.announced_to_all = (
                record.announced_to_all or record.state in ANNOUNCED_STATES
            )
            entry = self.coordinator.entry(record, lease_s, now)
            (everyone if record.announced_to_all else reporters_only).append(
                entry
            )
            if record.state == upstream_record.HEALTHY:
                record.announced_to_all = False
        store.changed.clear()
        reporters = self.coordinator.reporters.addresses()
        self.sender.send(
            reporters, self._state_messages(reporters_only + everyone)
        )
        notified = set(reporters)
        rest = [one.gossip for one in members if one.gossip not in notified]
        if everyone:
            self.sender.send(rest, self._state_messages(everyone))
            self.send_mirror(members, standby, now)

    def send_missing(
        self,
        report: messages.Report,
        address: str,
        members: typing.Sequence[interfaces.Member],
        now: float,
    ) -> None:
        """Send one node what its report shows that it lacks."""
        if report.bounds != self.pacer.version:
            self.sender.send((address,), self.pacer.pace_messages())
        digest = self.coordinator.digest(now)
        if report.epoch < self.epoch or report.digest != digest:
            self.sender.send((address,), self.full_state(members, now))

    def full_state(
        self, members: typing.Sequence[interfaces.Member], now: float
    ) -> tuple[messages.State, ...]:
        """Return the messages with all entries that nodes should hold."""
        entries = self.coordinator.entries(self.lease_s(members), now)
        return self._state_messages(entries, True)

    def renew_leases(
        self,
        members: typing.Sequence[interfaces.Member],
        passed_s: float,
        now: float,
    ) -> None:
        """Renew the leases of the next few members.

        :param passed_s: seconds since the last call.
        """
        if not self.coordinator.store.unhealthy() or not members:
            return
        share = passed_s / (self.lease_s(members) / RENEWALS_PER_LEASE)
        start = self.renewal_position
        self.renewal_position = start + share * len(members)
        addresses = [
            members[index % len(members)].gossip
            for index in range(int(start), int(self.renewal_position))
        ]
        self.renewal_position %= len(members)
        if addresses:
            self.sender.send(addresses, self.full_state(members, now))

    def send_mirror(
        self,
        members: typing.Sized,
        standby: interfaces.Member | None,
        now: float,
    ) -> None:
        """Send the standby the state that it needs to take over."""
        self.mirrored_at = now
        if standby is None:
            return
        phases = self.coordinator.phases(self.lease_s(members), now)
        sizes = [len(phase.entry.upstream) for phase in phases]
        chunks = _chunks(phases, sizes) or [()]
        service, complete = self.coordinator.service, len(chunks) == 1
        parts = [
            messages.Mirror(service, self.epoch, complete, part)
            for part in chunks
        ]
        self.sender.send((standby.gossip,), parts)

    def _state_messages(
        self, entries, complete=False
    ) -> tuple[messages.State, ...]:
        chunks = _chunks(entries, [len(one.upstream) for one in entries])
        # A state in several datagrams can't tell which leases have ended.
        complete = complete and len(chunks) <= 1
        return tuple(
            messages.State(
                self.coordinator.service,
                self.me.host,
                self.epoch,
                complete,
                part,
            )
            for part in chunks or ([()] if complete else [])
        )


def _chunks(items: typing.Sequence, sizes: typing.Sequence[int]) -> list:
    """Split items so that each chunk fits a datagram."""
    chunks: list[list] = []
    room = 0
    for item, size in zip(items, sizes):
        room -= size + ENTRY_BYTES
        if room < 0:
            chunks.append([])
            room = CHUNK_BYTES - size - ENTRY_BYTES
        chunks[-1].append(item)
    return [tuple(chunk) for chunk in chunks]
