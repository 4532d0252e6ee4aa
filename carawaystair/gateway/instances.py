"""What a gateway believes of each upstream of its host, one life at a time.

An upstream that starts again under its id knows nothing of before: its slots
are free, its connections are gone, and what its former life did says nothing
of it.

Symptom without this: work that may run once is sent on a connection of a life
that is over; a run that ended with its life is waited for until its time is
over; an upstream that has just started gets no work for what it did before.
"""

import typing

import aiohttp

from carawaystair import clock
from carawaystair.gateway import hops
from carawaystair.gateway import slots as slots_module
from carawaystair import interfaces
from carawaystair.membership import registry as registries
from carawaystair.request import attempt as attempts_module
from carawaystair.request import connections
from carawaystair.request import target as targets

MS = 1000


class Instance:
    """One life of one upstream.

    :param name: id of the upstream.
    :param said: its newest announcement.
    :param process: returns the name of this process.
    """

    __slots__ = ('name', 'said', 'slots', 'target')

    def __init__(
        self,
        name: str,
        said: registries.Announcement,
        process: typing.Callable[[], str],
    ) -> None:
        self.name = name
        self.said = said
        self.slots = slots_module.Slots(process, said.slots)
        now = clock.now()
        self.target = targets.Target(upstream(name, said), now)
        self.slots.queue.warmup_until = now + said.warmup_s

    def hear(self, said: registries.Announcement) -> None:
        """Take note of what the upstream says of itself now."""
        self.said = said
        self.slots.queue.slots = said.slots
        self.target.upstream = upstream(self.name, said)
        if said.state != interfaces.UP:
            self.slots.refuse_all(hops.LEAVING)
            connections.close_idle(self.target)

    def end(self) -> None:
        """Let go: nothing of this life is for the next one.

        What runs goes on for now; what waits was not run and never will be
        here.  With a target that is gone, connections in use are not kept
        and those that are being made carry nothing.
        """
        self.slots.refuse_all(hops.LEAVING)
        connections.close_idle(self.target)
        gone = self.target.upstream._replace(state=interfaces.GONE)
        self.target.upstream = gone


class RunningAttempts:
    """The attempts in progress, by upstream."""

    def __init__(self) -> None:
        self.open: dict[str, set[attempts_module.Attempt]] = {}

    def begin(self, attempt: attempts_module.Attempt) -> None:
        """Take note of an attempt."""
        name = attempt.target.upstream.id
        self.open.setdefault(name, set()).add(attempt)

    def end(self, attempt: attempts_module.Attempt) -> None:
        """Take note that an attempt has ended."""
        name = attempt.target.upstream.id
        found = self.open.get(name, set())
        found.discard(attempt)
        if not found:
            self.open.pop(name, None)

    def cut(self, name: str, born_ms: int) -> int:
        """Break what runs in a former life of an upstream.

        Nobody knows what became of it, and nothing more will come of it;
        on a connection that has gone silent this would not show before its
        time is over.  One on a connection that was opened after the start of
        the new life runs in that one, whose first heartbeat came later.

        :param born_ms: start of the new life, ms since 1970.  Where lives
            are counted in another way nothing is cut, and what runs ends
            with its connection or its time.
        :return: how many were cut.
        """
        found = [
            attempt
            for attempt in self.open.get(name, ())
            if attempt.connection is not None
            and _opened_ms(attempt.connection) < born_ms
        ]
        for attempt in found:
            attempt.connection.proto.fail(
                aiohttp.ServerDisconnectedError('its upstream started anew')
            )
        return len(found)


def _opened_ms(connection: connections.Connection) -> float:
    """Return when a connection was opened, by the wall clock."""
    return clock.wall_ms() - (clock.now() - connection.opened_at) * MS


def upstream(name: str, said: registries.Announcement) -> interfaces.Upstream:
    """Return an upstream of this host as the request path knows it."""
    return interfaces.Upstream(
        name,
        said.service,
        said.address,
        '',
        '',
        said.slots,
        said.weight,
        said.warmup_s,
        said.state,
        said.incarnation,
    )
