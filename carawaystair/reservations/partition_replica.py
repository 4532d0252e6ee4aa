"""The replica of one partition: its state, records and known sessions."""

from carawaystair.reservations import placement_table
from carawaystair.reservations import store

# States of a replica in the epoch of its placement.
WAITING = 'waiting'  # lacks records of earlier grants and doesn't vote
SEALED = 'sealed'  # was active in the previous epoch and no longer votes
ACTIVE = 'active'  # votes


class PartitionReplica:
    """The replica of one partition.

    :param placement: newest known placement.
    :param session: session of this process.
    :param budget: memory budget of this node.
    """

    def __init__(
        self,
        placement: placement_table.Placement,
        session: int,
        budget: store.MemoryBudget,
    ) -> None:
        self.placement = placement
        # Normally the session of the process; greater if an earlier process
        # had a greater one because the wall clock was set back.
        self.session = session
        self.state = WAITING
        self.store = store.RecordStore(budget)
        self.known_sessions: dict[str, int] = {}
        self._update_sessions(placement)

    def on_placement(self, placement: placement_table.Placement) -> None:
        """Apply a newer placement."""
        step = placement.epoch - self.placement.epoch
        self.placement = placement
        if not step:
            return
        # An old member stops voting once it knows of the new epoch, and the
        # new members wait for that.  Otherwise both would vote, and the old
        # members could grant a key after the new ones have fetched the keys.
        if step == 1 and self.state == ACTIVE:
            self.state = SEALED
        else:
            # The records are not those of the immediately preceding epoch.
            self.state = WAITING
            self.store.clear()
        self._update_sessions(placement)

    def member_sessions(self, host: str) -> tuple[int, ...]:
        """Return the newest known session of each member, in order.

        :param host: host of this replica.
        """
        return tuple(
            self.session
            if member.host == host
            else self.known_sessions[member.host]
            for member in self.placement.members
        )

    def record_session(self, host: str, session: int) -> int:
        """Record the session of a member that restarted.

        :return: the newest known session, greater than ``session`` if that
            one is outdated.
        """
        self.known_sessions[host] = max(
            self.known_sessions.get(host, 0), session
        )
        return self.known_sessions[host]

    def _update_sessions(self, placement: placement_table.Placement) -> None:
        self.known_sessions = {
            member.host: max(
                self.known_sessions.get(member.host, 0), member.session
            )
            for member in placement.members
        }
