"""Changes of the control group itself, one member at a time."""

import typing

from carawaystair.admin import calls
from carawaystair.admin import fields
from carawaystair.admin import observe
from carawaystair.admin import replies
from carawaystair.control import interfaces as control
from carawaystair import settings_rules


class MemberChange(typing.NamedTuple):
    """The body of a change of the control group.

    :param action: ``add`` a learner, ``promote`` it to a voter once it has
        caught up, or ``remove`` a member.
    :param name: name of its host.
    :param peer: its ``ip:port`` for messages, to add it.
    """

    action: typing.Literal['add', 'promote', 'remove']
    name: str
    peer: str = ''


class Changed(typing.NamedTuple):
    """The answer to it.

    :param index: index of the entry that holds the change.
    :param members: voters and learners now.
    """

    index: int
    members: tuple[observe.Member, ...]


class Members:
    """Takes changes of the control group on one control host.

    :param group: the control group.
    """

    def __init__(self, group: control.Control) -> None:
        self.group = group

    async def change(self, call: calls.Call) -> replies.Reply:
        """Add, promote or remove one member."""
        body = await fields.record(call.request, MemberChange)
        if body.is_error():
            return body
        result = await self._make(body.ok)
        return result.map(self._changed)

    async def _make(self, wanted: MemberChange) -> replies.Reply:
        if wanted.action == 'promote':
            return await self.group.promote(wanted.name)
        if wanted.action == 'remove':
            return await self.group.remove(wanted.name)
        if not settings_rules.address_ok(wanted.peer):
            return fields.bad('$.peer', 'expected an IPv4 number and a port')
        return await self.group.add_learner(wanted.name, wanted.peer)

    def _changed(self, index: int) -> Changed:
        return Changed(index, observe.members(self.group.status()))
