"""Leases of a node: what coordinators granted it, and until when.

A lease ends by itself, so that a coordinator that dies leaves nothing behind.
The higher epoch takes precedence, so that a coordinator that was cut off and
still believes itself current can't overrule its successor.
"""

import typing

import xxhash

from carawaystair.outlier import messages

# A coordinator of a higher epoch loses its precedence when it has been silent
# for this time, seconds.
EPOCH_TIMEOUT_S = 180.0


class Lease(typing.NamedTuple):
    """One entry at a node.

    :param entry: as granted by the coordinator.
    :param epoch: the coordinator's epoch.
    :param since: monotonic time since which its kind has been in force here.
    :param until: monotonic time of its end.
    """

    entry: messages.Entry
    epoch: int
    since: float
    until: float


class NodeLeases:
    """A node's leases for one service."""

    def __init__(self) -> None:
        # Epoch and host of the coordinator that has precedence.
        self.newest_sender: tuple[int, str] = (0, '')
        self.updated_at = 0.0
        self.leases: dict[str, Lease] = {}

    def accept(self, state: messages.State, now: float) -> bool:
        """Apply the entries of a coordinator.

        :return: whether they were accepted; False for stale ones.
        """
        sender = (state.epoch, state.host)
        stale = (
            sender < self.newest_sender
            and now - self.updated_at < EPOCH_TIMEOUT_S
        )
        if stale:
            return False
        self.newest_sender, self.updated_at = sender, now
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
            # This datagram was overtaken by a later one.
            return
        if entry.kind == messages.CLEAR:
            self.leases.pop(entry.upstream, None)
            return
        same = old is not None and _same_tests(old.entry, entry)
        since = old.since if same else now
        until = now + entry.ttl_ms / 1000
        self.leases[entry.upstream] = Lease(entry, epoch, since, until)

    def expire(self, now: float) -> bool:
        """Remove the leases that have ended.

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
        """Return the leases for a new coordinator."""
        return tuple(
            messages.Phase(
                lease.entry._replace(ttl_ms=int((lease.until - now) * 1000))
            )
            for _name, lease in sorted(self.leases.items())
        )

    def digest(self) -> int:
        """Return the digest of the leases."""
        return digest(lease.entry for lease in self.leases.values())


def _same_tests(old: messages.Entry, new: messages.Entry) -> bool:
    """Return whether trials under the old entry count under the new one."""
    return (old.kind, old.copy_chance > 0) == (new.kind, new.copy_chance > 0)


def digest(entries: typing.Iterable[messages.Entry]) -> int:
    """Return a number that differs when entries differ, 0 for none.

    Entries of returning upstreams end by themselves at slightly different
    times at each node, so they are left out.
    """
    total = 0
    for entry in entries:
        if entry.kind in (messages.SUSPECTED, messages.EJECTED):
            text = '%s %d %d' % (entry.upstream, entry.kind, entry.serial)
            total ^= xxhash.xxh32_intdigest(text.encode())
    return total
