"""What a leader knows of one other member of the group."""

import asyncio
import collections

from carawaystair.control import group as groups

# A member that was removed is told so, for this long at most.
LEAVE_S = 5.0


class Progress:
    """How far a member's log is like the leader's.

    :param member: the member.
    :param next_index: the next entry to send.
    :param now: the monotonic time.
    """

    def __init__(
        self, member: groups.Member, next_index: int, now: float
    ) -> None:
        self.member = member
        self.next = next_index
        self.match = 0
        # How often a process has started on the member's disk.
        self.start = 0
        # Until the logs are known to agree, only heartbeats are sent.
        self.probing = True
        self.sent: collections.deque[int] = collections.deque()
        self.sent_at = 0.0
        self.heard = now
        self.round = 0
        self.poke = True
        self.wake = asyncio.Event()
        self.leave_index = 0
        self.leave_by = 0.0

    def back_to(self, index: int) -> None:
        """Send from ``index`` on again, once the logs agree there."""
        self.next = max(index, 1)
        self.probing = True
        self.sent.clear()

    def rouse(self) -> None:
        """Send something at once."""
        self.poke = True
        self.wake.set()

    def leave(self, index: int, now: float) -> None:
        """Take note that the entry at ``index`` removed this member.

        Without that entry it would stand for election for ever, and its
        host would show an old group.
        """
        if not self.leave_index:
            self.leave_index = index
            self.leave_by = now + LEAVE_S

    def gone(self, commit: int, now: float) -> bool:
        """Tell whether nothing more need be sent."""
        if not self.leave_index:
            return False
        told = self.match >= self.leave_index and commit >= self.leave_index
        return told or now > self.leave_by

    def started_again(self, start: int) -> None:
        """Take note that the member's process started again.

        Its log may have lost what it never synced, so nothing counts that
        it said before.
        """
        self.start = start
        self.match = 0
        self.probing = True
        self.sent.clear()
