"""What a node holds: leases that coordinators granted.

A lease ends by itself, so that a coordinator that dies leaves nothing behind.
The higher epoch counts, so that a coordinator that was cut off and still
believes itself current can't overrule its successor.
"""

import typing

import xxhash

from carawaystair.outlier import messages

# A coordinator of a higher epoch that has been silent for so long no longer
# keeps others from being heard, seconds.
EPOCH_TIMEOUT_S = 180.0


class Lease(typing.NamedTuple):
    """One entry at a node.

    :param entry: what the coordinator granted.
    :param epoch: its epoch.
    :param since: monotonic time at which its kind began to hold here.
    :param until: monotonic time of its end.
    """

    entry: messages.Entry
    epoch: int
    since: float
    until: float


class NodeLeases:
    """What a node holds for one service."""

    def __init__(self) -> None:
        self.newest_sender: tuple[int, str] = (0, '')
        self.updated_at = 0.0
        self.leases: dict[str, Lease] = {}

    def accept(self, state: messages.State, now: float) -> bool:
        """Take the word of a coordinator.

        :return: whether it was heeded; False for a stale one.
        """
        newest_sender = (state.epoch, state.host)
        stale = (
            newest_sender < self.newest_sender
            and now - self.updated_at < EPOCH_TIMEOUT_S
        )
        if stale:
            return False
        self.newest_sender, self.updated_at = newest_sender, now
        if state.complete:
            kept = {entry.upstream for entry in state.entries}
            self.leases = {
                name: lease
                for name, lease in self.leases.items()
                if name in kept
            }
        for entry in state.entries:
            self._apply_entry(entry, state.epoch, now)
        return True

    def _apply_entry(self, entry, epoch, now) -> None:
        old = self.leases.get(entry.upstream)
        newer = old is None or epoch != old.epoch
        if not newer and entry.serial < old.entry.serial:
            # A datagram that was overtaken by a later one.
            return
        if entry.kind == messages.CLEAR:
            self.leases.pop(entry.upstream, None)
            return
        same = old is not None and _same_tests(old.entry, entry)
        since = old.since if same else now
        until = now + entry.ttl_ms / 1000
        self.leases[entry.upstream] = Lease(entry, epoch, since, until)

    def expire(self, now: float) -> bool:
        """Drop the leases that are over.

        :return: whether there were any.
        """
        unexpired = {
            name: lease
            for name, lease in self.leases.items()
            if lease.until > now
        }
        changed = len(unexpired) != len(self.leases)
        self.leases = unexpired
        return changed

    def phases(self, now: float) -> tuple[messages.Phase, ...]:
        """Return what is held, for a new coordinator."""
        return tuple(
            messages.Phase(
                lease.entry._replace(ttl_ms=int((lease.until - now) * 1000))
            )
            for _name, lease in sorted(self.leases.items())
        )

    def digest(self) -> int:
        """Return the digest of what is held."""
        return digest(lease.entry for lease in self.leases.values())


def _same_tests(old: messages.Entry, new: messages.Entry) -> bool:
    """Tell whether trials of the old entry still count under the new."""
    return (old.kind, old.copy_chance > 0) == (new.kind, new.copy_chance > 0)


def digest(entries: typing.Iterable[messages.Entry]) -> int:
    """Return a number that differs when entries differ, 0 for none.

    Entries of upstreams that are coming back end by themselves at slightly
    different times at each node, so they are left out.
    """
    total = 0
    for entry in entries:
        if entry.kind in (messages.SUSPECTED, messages.EJECTED):
            text = '%s %d %d' % (entry.upstream, entry.kind, entry.serial)
            total ^= xxhash.xxh32_intdigest(text.encode())
    return total
