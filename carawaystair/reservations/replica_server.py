"""The replicas of one process: votes on asks and stores outcomes.

A replica votes for one token of a key at a time.  It withdraws its vote only
when the coordinator of the token reports that the request will never run, or
when the window has passed.  Therefore two tokens cannot both have a majority
of the same replicas.
"""

import typing

from carawaystair import clock
from carawaystair import invariants
from carawaystair.reservations import identifiers
from carawaystair.reservations import messages
from carawaystair.reservations import partition_replica as partition_replicas
from carawaystair.reservations import placement_table
from carawaystair.reservations import store
from carawaystair.reservations import windows

# A released token is remembered for this long: an ask for it that arrives late
# would otherwise get a vote that is never withdrawn.
TOMBSTONE_RETENTION_S = 60.0
MAX_TOMBSTONES = 10_000

_VERDICTS = {
    store.HELD: messages.HELD,
    store.BLOCKED: messages.HELD,
    store.SETTLED: messages.SETTLED,
    store.DIGEST_ONLY: messages.DIGEST_ONLY,
}

Send = typing.Callable[[str, typing.Any], None]


class ReplicaServer:
    """The partition replicas of one process.

    :param host: host of this process.
    :param session: session of this process.
    :param table: known placements.
    :param budget: memory budget of the records.
    :param send: sends a datagram.
    :param refresh: called when the known placements may be outdated.
    """

    def __init__(
        self,
        host: str,
        session: int,
        table: placement_table.PlacementTable,
        budget: store.MemoryBudget,
        send: Send,
        refresh: typing.Callable[[], None],
    ) -> None:
        self.host = host
        self.session = session
        self.placement_table = table
        self.budget = budget
        self.send = send
        self.refresh = refresh
        self.partitions: dict[int, partition_replicas.PartitionReplica] = {}
        self.tombstones: dict[bytes, float] = {}
        table.listeners.append(self.on_placement)

    def on_placement(self, placement: placement_table.Placement) -> None:
        """Add, update or remove the replica of a partition."""
        replica = self.partitions.get(placement.partition)
        is_member = placement.member(self.host) or placement.was_member(
            self.host
        )
        if replica is None and is_member:
            self.partitions[placement.partition] = (
                partition_replicas.PartitionReplica(
                    placement, self.session, self.budget
                )
            )
        elif replica is not None and is_member:
            replica.on_placement(placement)
        elif replica is not None:
            replica.store.clear()
            del self.partitions[placement.partition]

    # Voting

    def on_ask(self, sender: str, message: messages.Ask) -> None:
        """Vote on an ask."""
        replica = self._active_replica(sender, message)
        if replica is None:
            self.send(
                sender,
                messages.Vote(
                    message.token, message.epoch, messages.NOT_ACTIVE
                ),
            )
            return
        now = clock.now()
        record = replica.store.get(message.key_digest, now)
        if record is not None:
            self._send_vote(
                sender,
                message,
                replica,
                *_existing_record_verdict(record, message),
            )
            return
        verdict = self._refusal(message) or messages.YES
        if verdict == messages.YES:
            replica.store.put(message.key_digest, _new_record(message, now))
        self._send_vote(sender, message, replica, verdict)

    def _active_replica(
        self, sender: str, message
    ) -> partition_replicas.PartitionReplica | None:
        """Return the replica that may vote in the epoch of a message.

        A sender with an outdated placement gets the newer one.
        """
        placement = self.placement_table.get(message.partition)
        if placement is None or placement.epoch < message.epoch:
            self.refresh()
            return None
        if placement.epoch > message.epoch:
            self.send(sender, messages.pack_rows([placement]))
            return None
        replica = self.partitions.get(message.partition)
        active = (
            replica is not None and replica.state == partition_replicas.ACTIVE
        )
        return replica if active else None

    def _refusal(self, message: messages.Ask) -> int:
        """Return the verdict if no record can be created, otherwise 0."""
        if message.token in self.tombstones:
            return messages.NOT_ACTIVE
        if message.window_s > self.placement_table.key_space.window_s:
            # A restarted replica abstains for the agreed longest window; a
            # vote with a longer window could still count after that.
            self.refresh()
            return messages.NOT_ACTIVE
        if self.budget.is_full(store.RECORD_BYTES):
            return messages.FULL
        if self.budget.exceeds_share(message.customer_id, store.RECORD_BYTES):
            return messages.CUSTOMER_FULL
        return 0

    def _send_vote(
        self,
        sender: str,
        message: messages.Ask,
        replica: partition_replicas.PartitionReplica,
        verdict: int,
        record: store.Record | None = None,
    ) -> None:
        details = (
            (record.token, record.status, record.answer) if record else ()
        )
        self.send(
            sender,
            messages.Vote(
                message.token,
                message.epoch,
                verdict,
                replica.member_sessions(self.host),
                *details,
            ),
        )

    # Outcomes

    def on_settle(self, sender: str, message: messages.Settle) -> None:
        """Store the outcome if the key is still held for this token."""
        replica = self.partitions.get(message.partition)
        record = replica and replica.store.get(message.key_digest, clock.now())
        if record is not None and record.token == message.token:
            if record.state == store.HELD:
                replica.store.put(
                    message.key_digest, self._settled_record(record, message)
                )
        elif record is not None:
            # A late settle must not change the record of a newer grant.
            self._assert_single_run(record, message)
        self._acknowledge(sender, message)

    def on_release(self, sender: str, message: messages.Release) -> None:
        """Withdraw the vote if the key is still held for this token."""
        now = clock.now()
        self._add_tombstone(message.token, now)
        replica = self.partitions.get(message.partition)
        record = replica and replica.store.get(message.key_digest, now)
        # A late release must not remove the record of a newer grant.
        holds_key = record is not None and record.token == message.token
        if holds_key and record.state == store.HELD:
            replica.store.drop(message.key_digest)
        self._acknowledge(sender, message)

    def _acknowledge(self, sender: str, message) -> None:
        """Acknowledge an outcome if the replica is active.

        A replica that still fetches keys may get the record as it was before
        the outcome; the coordinator must then send the outcome again.
        """
        if self._active_replica(sender, message) is not None:
            self.send(sender, messages.Done(message.token))

    def _settled_record(
        self, record: store.Record, message: messages.Settle
    ) -> store.Record:
        size = len(message.answer)
        fits = not self.budget.is_full(size)
        fits = fits and not self.budget.exceeds_share(record.customer_id, size)
        if message.answer_kept and fits:
            return record._replace(
                state=store.SETTLED,
                status=message.status,
                answer=message.answer,
            )
        digest = message.answer
        if message.answer_kept:
            digest = identifiers.answer_digest(message.answer)
        return record._replace(
            state=store.DIGEST_ONLY, status=message.status, answer=digest
        )

    def _assert_single_run(
        self, record: store.Record, message: messages.Settle
    ) -> None:
        """Check that no two tokens of a key ran within its window."""
        ran = record.state in (store.SETTLED, store.DIGEST_ONLY)
        # After the window, but within the margin, the key may be granted
        # again while a replica still has the record of the earlier run.
        within = record.expires - clock.now() > windows.MARGIN_S
        recent = message.age_s < windows.MARGIN_S
        invariants.check(
            invariants.RESERVED_ONCE,
            not (ran and within and recent),
            'key %s' % message.key_digest.hex(),
        )

    def _add_tombstone(self, token: bytes, now: float) -> None:
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[token] = now

    # Expiry

    def expire(self) -> None:
        """Remove expired records and tombstones."""
        now = clock.now()
        for replica in self.partitions.values():
            replica.store.expire(now)
        old = now - TOMBSTONE_RETENTION_S
        self.tombstones = {
            token: since
            for token, since in self.tombstones.items()
            if since > old
        }

    def active_epochs(self, partitions: typing.Iterable[int]) -> tuple:
        """Return the partitions that are active here, with their epochs.

        :param partitions: partitions of interest.
        """
        replicas = (self.partitions.get(partition) for partition in partitions)
        return tuple(
            (replica.placement.partition, replica.placement.epoch)
            for replica in replicas
            if replica is not None
            and replica.state == partition_replicas.ACTIVE
        )


def _new_record(message: messages.Ask, now: float) -> store.Record:
    return store.Record(
        message.token,
        message.request_digest,
        message.customer_id,
        now + windows.retention_s(message.window_s),
    )


def _existing_record_verdict(
    record: store.Record, message: messages.Ask
) -> tuple[int, store.Record | None]:
    """Return the verdict on an ask for a key with a record.

    :return: the verdict, and the record if the vote reports it.
    """
    if (
        record.state != store.BLOCKED
        and record.request_digest != message.request_digest
    ):
        return messages.REUSED, None
    if record.state == store.HELD and record.token == message.token:
        return messages.YES, None
    return _VERDICTS[record.state], record
