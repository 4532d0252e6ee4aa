"""Several state machines behind one replicated log.

Manifests and, beside them, other small tables that the fleet must agree on
stand in the same log, so that there is one quorum to keep alive and not two.
"""

import typing

import msgspec

from carawaystair.control import machine as machines
from carawaystair import rows

# Begins a snapshot that holds several machines; no msgpack value begins with
# this byte, so that a snapshot of the first machine alone is told apart.
MARK = b'\xc1'


class Image(typing.NamedTuple):
    """A snapshot.

    :param first: of the first machine.
    :param others: of the others, by their prefix.
    """

    first: bytes
    others: dict[str, bytes]


class Parts:
    """A machine of machines, see ``machine.Machine``.

    :param first: takes every entry that begins with no known prefix.
    :param others: the other machines, by the one letter that begins their
        entries.
    """

    def __init__(
        self,
        first: machines.Machine,
        others: typing.Mapping[str, machines.Machine],
    ) -> None:
        self.first = first
        self.others = {k.encode(): machine for k, machine in others.items()}

    def apply(self, version: rows.Version, entry: bytes) -> bytes:
        """Give an entry to its machine."""
        other = self.others.get(entry[:1])
        if other is not None:
            return other.apply(version, entry[1:])
        return self.first.apply(version, entry)

    def snapshot(self) -> bytes:
        """Return the state of all machines."""
        image = Image(
            self.first.snapshot(),
            {k.decode(): m.snapshot() for k, m in self.others.items()},
        )
        return MARK + msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        """Put the state of a snapshot in place of this one."""
        if data[:1] != MARK:
            # Taken before there were other machines.
            self.first.restore(data)
            return
        image = msgspec.msgpack.decode(data[1:], type=Image)
        self.first.restore(image.first)
        for prefix, saved in image.others.items():
            machine = self.others.get(prefix.encode())
            if machine is not None:
                machine.restore(saved)
