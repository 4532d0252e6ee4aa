"""The control side: keeps the agreed placements and hands them out."""

import typing

import expression
import mode

from carawaystair import codes
from carawaystair import interfaces
from carawaystair.reservations import messages
from carawaystair.reservations import placement_state as placement_states


class Group(typing.Protocol):
    """What a keeper needs of the control group."""

    placement_state: placement_states.PlacementState

    async def propose(
        self, entry: bytes
    ) -> expression.Result[bytes, codes.Failure]:
        """Have an entry applied on every control host."""


class PlacementServer(mode.Service):
    """Answers nodes on one control host.

    A control host that was cut off hands out old placements; nothing relies
    on their being new.

    :param transport: messages to other processes.
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
    """Return the keeper of a control host."""
    return PlacementServer(kernel.links, group)
