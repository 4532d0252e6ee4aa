"""The members: the processes of the fleet that are believed alive."""

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
    """Keeps ``interfaces.Members``.

    :param table: the table of hosts, the own one in it.
    :param timeline: takes the events of members.
    """

    def __init__(self, table: tables.Table, timeline) -> None:
        self.table = table
        self.timeline = timeline
        self.known: tuple[interfaces.Member, ...] | None = None
        self.callbacks: list[Callback] = []
        table.listeners.append(self._changed)

    @property
    def me(self) -> interfaces.Member:
        """Return this process."""
        return self.table.entries[self.table.host].member

    def alive(self) -> tuple[interfaces.Member, ...]:
        """Return the members believed alive, this process included."""
        if self.known is None:
            self.known = tuple(
                entry.member for entry in self.table.live_entries()
            )
        return self.known

    def subscribe(self, callback: Callback) -> None:
        """Call ``callback(member, alive)`` when a member comes or goes."""
        self.callbacks.append(callback)

    def _changed(self, change: tables.Change) -> None:
        self.known = None
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
    """Return the name of the event that a change of state is."""
    if change.old_state is None:
        return JOINED if change.entry.up else ''
    if change.entry.state == messages.ALIVE:
        # One that left and comes again has joined anew.
        return JOINED if change.old_state == messages.LEFT else BACK
    return (SUSPECTED, DEAD, LEFT)[change.entry.state - 1]
