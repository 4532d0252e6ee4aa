"""The list of processes of the fleet that are believed to be alive."""

import typing

from carawaystair import interfaces
from carawaystair.membership import messages
from carawaystair.membership import table as tables

Callback = typing.Callable[[interfaces.Member, bool], None]

JOINED = 'member-joined'
SUSPECTED = 'member-suspected'
DEAD = 'member-dead'
BACK = 'member-back'
LEFT = 'member-left'


class Members:
    """Implementation of ``interfaces.Members``.

    :param table: the table of hosts, which includes the own host.
    :param timeline: receives the events of members.
    """

    def __init__(self, table: tables.Table, timeline) -> None:
        self.table = table
        self.timeline = timeline
        self.cached: tuple[interfaces.Member, ...] | None = None
        self.callbacks: list[Callback] = []
        table.listeners.append(self._changed)

    @property
    def me(self) -> interfaces.Member:
        """Return the member that is this process."""
        return self.table.entries[self.table.host].member

    def alive(self) -> tuple[interfaces.Member, ...]:
        """Return the members believed to be alive, including this process."""
        if self.cached is None:
            self.cached = tuple(
                entry.member for entry in self.table.live_entries()
            )
        return self.cached

    def subscribe(self, callback: Callback) -> None:
        """Call ``callback(member, alive)`` when a member joins or is lost."""
        self.callbacks.append(callback)

    def _changed(self, change: tables.Change) -> None:
        self.cached = None
        entry = change.entry
        if change.old_state == entry.state:
            return
        kind = _event(change)
        if kind:
            text = '%s, incarnation %d' % (
                entry.member.host,
                entry.member.incarnation,
            )
            self.timeline.record(kind, text)
        if change.was_up != entry.up:
            for callback in self.callbacks:
                callback(entry.member, entry.up)


def _event(change: tables.Change) -> str:
    """Return the kind of event of a change of state, '' if there is none."""
    if change.old_state is None:
        return JOINED if change.entry.up else ''
    if change.entry.state == messages.ALIVE:
        # A host that left before has joined again.
        return JOINED if change.old_state == messages.LEFT else BACK
    return (SUSPECTED, DEAD, LEFT)[change.entry.state - 1]
