"""Serves the agreed placements and proposals on a control host."""

import typing

import expression
import mode

from carawaystair import codes
from carawaystair import interfaces
from carawaystair.reservations import messages
from carawaystair.reservations import placement_state as placement_states


class Group(typing.Protocol):
    """The control group as the placement server uses it."""

    placement_state: placement_states.PlacementState

    async def propose(
        self, entry: bytes
    ) -> expression.Result[bytes, codes.Failure]:
        """Apply an entry on every control host."""


class PlacementServer(mode.Service):
    """Answers requests of nodes on one control host.

    A partitioned control host may return outdated placements; nodes don't
    rely on their being current.

    :param transport: receives messages of other processes.
    :param group: the control group.
    """

    def __init__(
        self, transport: interfaces.Transport, group: Group, **kwargs
    ) -> None:
        super().__init__(**kwargs)
        self.group = group
        transport.handle(messages.AskRows, self._on_ask)
        transport.handle(messages.Propose, self._on_propose)

    async def _on_ask(
        self, _sender: str, ask: messages.AskRows
    ) -> messages.Rows:
        return messages.newer_rows(
            self.group.placement_state.placement_table, ask
        )

    async def _on_propose(
        self, _sender: str, message: messages.Propose
    ) -> messages.Proposed:
        entry = placement_states.PREFIX.encode() + message.change
        result = await self.group.propose(entry)
        if result.is_error():
            return messages.Proposed(messages.UNDECIDED)
        return messages.Proposed(int(result.ok))


def make(kernel, group: Group) -> PlacementServer:
    """Return the placement server of a control host."""
    return PlacementServer(kernel.links, group)
