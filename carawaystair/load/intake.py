"""Decides which long request bodies a process receives at the same time.

The load it answers: many callers that begin a long body and stop short of its
end, or send it byte by byte.  Each holds little, but at every place that the
body passes.  Together they would use up the memory of the process, and its
descriptors.

A body holds a fixed part of the bound from its beginning on, since what it
holds is bounded by the buffers that it passes.  Short bodies hold nothing:
the number of connections bounds them.  So callers with short bodies find room
whatever others do.

When the bound is reached, the body that has waited for longest for its caller
makes room; what waits for this process or for an upstream is not its caller's
fault.  Among callers those go first whose owner holds most.  If none has
waited for long, the new body is refused.
"""

import collections
import math

# Bytes that a body may have without holding a part.
FREE_BYTES = 16 * 1024
# A caller that takes longer for each STEP_BYTES makes no progress, seconds.
STALLED_S = 1.0
STEP_BYTES = 16 * 1024
# An owner with more than this part of the bound makes room for others, even
# where its bodies make progress.
OWNER_SHARE = 1 / 2


class Body:
    """A long body that is being received.

    :param owner: the customer or address that sends it.
    """

    __slots__ = ('arrived', 'owner', 'waited_s', 'waiting_since')

    def __init__(self, owner: str) -> None:
        self.owner = owner
        # Bytes of the present step, and the time that it has waited for them.
        self.arrived = 0
        self.waited_s = 0.0
        # Set while it waits for its caller, monotonic time.
        self.waiting_since: float | None = None

    def wait(self, now: float) -> None:
        """Begin to wait for the caller."""
        self.waiting_since = now

    def receive(self, size: int, now: float) -> None:
        """Note bytes that ended a wait."""
        self.waited_s = self.stalled_s(now)
        self.waiting_since = None
        self.arrived += size
        if self.arrived >= STEP_BYTES:
            self.arrived, self.waited_s = 0, 0.0

    def stalled_s(self, now: float) -> float:
        """Return for how long it has waited for the present step."""
        since = self.waiting_since
        return self.waited_s + (0.0 if since is None else now - since)


class Intake:
    """The long bodies that a process receives.

    :param limit: most bodies at the same time; infinite for no bound.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.bodies: set[Body] = set()
        self.owners: collections.Counter[str] = collections.Counter()

    def add(self, body: Body) -> None:
        """Count a body."""
        self.bodies.add(body)
        self.owners[body.owner] += 1

    def remove(self, body: Body) -> None:
        """Forget a body; one that is not known changes nothing."""
        if body not in self.bodies:
            return
        self.bodies.discard(body)
        self.owners[body.owner] -= 1
        if not self.owners[body.owner]:
            del self.owners[body.owner]

    @property
    def is_full(self) -> bool:
        """Return whether another body has no room."""
        return len(self.bodies) >= self.limit

    def to_break_off(self, owner: str, now: float) -> Body | None:
        """Return the body that makes room for a new one.

        :param owner: of the new one.
        :return: None when the new one has to be refused.
        """
        waiting = [
            body
            for body in self.bodies
            if body.stalled_s(now) >= STALLED_S or self._is_greedy(body, owner)
        ]
        return max(
            waiting,
            key=lambda body: (self.owners[body.owner], body.stalled_s(now)),
            default=None,
        )

    def _is_greedy(self, body: Body, owner: str) -> bool:
        """Return whether the owner of a body holds too much beside another."""
        held = self.owners[body.owner]
        return body.owner != owner and held > OWNER_SHARE * self.limit
