"""One partition at one replica."""

from carawaystair.reservations import placement_table
from carawaystair.reservations import store

# How a replica stands in the epoch of its placement.
WAITING = 'waiting'  # it doesn't know what was granted, and doesn't vote
SEALED = 'sealed'  # it was active in the epoch before and votes no more
ACTIVE = 'active'  # it votes


class PartitionReplica:
    """The state of one partition at one replica.

    :param row: the newest placement known.
    :param session: of this process.
    :param budget: the memory of this node.
    """

    def __init__(
        self,
        placement: placement_table.Placement,
        session: int,
        budget: store.MemoryBudget,
    ) -> None:
        self.placement = placement
        # Normally that of the process; greater where a process before it had
        # a greater one because the wall clock was set back.
        self.session = session
        self.state = WAITING
        self.store = store.RecordStore(budget)
        self.known_sessions: dict[str, int] = {}
        self._update_sessions(placement)

    def on_placement(self, placement: placement_table.Placement) -> None:
        """Take a newer placement."""
        step = placement.epoch - self.placement.epoch
        self.placement = placement
        if not step:
            return
        # Symptom without sealing: a key is granted twice around a change.
        # Sequence: the old members grant it after the new ones have fetched
        # the keys.  Cause: both vote.  So an old member votes no more once
        # it knows of the new epoch, and the new ones wait for that.
        if step == 1 and self.state == ACTIVE:
            self.state = SEALED
        else:
            # What it knows is of no epoch that the new one follows.
            self.state = WAITING
            self.store.clear()
        self._update_sessions(placement)

    def member_sessions(self, host: str) -> tuple[int, ...]:
        """Return the newest session known of each member, in order.

        :param host: of this replica.
        """
        return tuple(
            self.session
            if member.host == host
            else self.known_sessions[member.host]
            for member in self.placement.members
        )

    def record_session(self, host: str, session: int) -> int:
        """Take note that a member started again.

        :return: the newest session known, greater than ``session`` when
            that is an old one.
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
