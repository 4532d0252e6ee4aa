"""What the replicated log applies its entries to."""

import typing

from carawaystair import rows


class Machine(typing.Protocol):
    """A deterministic state machine.

    Every replica applies the same entries in the same order, so that its
    state may depend on nothing else: no clock, no randomness, no settings.
    """

    def apply(self, version: rows.Version, entry: bytes) -> bytes:
        """Apply one committed entry.

        :param version: term and index of the entry.
        :return: the result, for the one who proposed it.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Put the state of a snapshot in place of this one."""
