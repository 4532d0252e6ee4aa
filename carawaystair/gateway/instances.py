"""Instances of the upstreams of this host.

An instance of an upstream lasts from one start of its process to the next.  A
new instance has free slots and no connections, and the failures of the
previous one say nothing about it.

Were the instances not kept apart, non-idempotent requests would be sent on
connections of an instance that has ended, runs that ended with their instance
would be waited for until their deadlines, and a restarted upstream would get
no work because of earlier failures.
"""

import math
import typing

import aiohttp

from carawaystair import clock
from carawaystair.gateway import hops
from carawaystair.gateway import slots as slots_module
from carawaystair import interfaces
from carawaystair.load import body_bound
from carawaystair.membership import registry as registries
from carawaystair.request import attempt as attempts_module
from carawaystair.request import connections
from carawaystair.request import statements
from carawaystair.request import target as targets

MS = 1000


class Instance:
    """One instance of one upstream.

    :param name: id of the upstream.
    :param announcement: its latest announcement.
    :param process_id: returns the id of this process.
    :param measure_slots: whether it is offered fewer slots than it announces
        where the last ones slow it down.
    """

    __slots__ = (
        'announcement',
        'answered',
        'bodies',
        'name',
        'slots',
        'statement',
        'target',
    )

    def __init__(
        self,
        name: str,
        announcement: registries.Announcement,
        process_id: typing.Callable[[], str],
        measure_slots: bool,
    ) -> None:
        self.name = name
        self.announcement = announcement
        now = clock.now()
        warm_at = now + announcement.warmup_s
        measured_from = warm_at if measure_slots else math.inf
        self.slots = slots_module.Slots(
            process_id, announcement.slots, measured_from
        )
        self.target = targets.Target(as_upstream(name, announcement), now)
        self.slots.queue.warmup_until = warm_at
        self.bodies = body_bound.BodyBound()
        # Whether this process had an answer of it, and what the last stated.
        self.answered = False
        self.statement = statements.NOTHING

    def update(self, announcement: registries.Announcement) -> None:
        """Apply a newer announcement of the same instance."""
        self.announcement = announcement
        self.slots.gate.announce(announcement.slots)
        self.target.upstream = as_upstream(self.name, announcement)
        if announcement.state != interfaces.UP:
            self.slots.refuse_waiting(hops.LEAVING)
            connections.close_idle(self.target)

    def close(self) -> None:
        """End this instance.

        Running requests continue; waiting ones are refused, as they have not
        run.  Since the target is marked as gone, connections in use are not
        kept, and connections that are still being made carry no request.
        """
        self.slots.refuse_waiting(hops.LEAVING)
        connections.close_idle(self.target)
        gone = self.target.upstream._replace(state=interfaces.GONE)
        self.target.upstream = gone


class RunningAttempts:
    """Tracks the attempts in progress at each upstream."""

    def __init__(self) -> None:
        self.by_upstream: dict[str, set[attempts_module.Attempt]] = {}

    def add(self, attempt: attempts_module.Attempt) -> None:
        """Add an attempt that begins."""
        name = attempt.target.upstream.id
        self.by_upstream.setdefault(name, set()).add(attempt)

    def remove(self, attempt: attempts_module.Attempt) -> None:
        """Remove an attempt that has ended."""
        name = attempt.target.upstream.id
        found = self.by_upstream.get(name, set())
        found.discard(attempt)
        if not found:
            self.by_upstream.pop(name, None)

    def abort_older(self, name: str, started_ms: int) -> int:
        """Abort the attempts of earlier instances of an upstream.

        Their outcome is unknown and no answer will come; on a connection that
        has gone silent this would not show before the deadline.  An attempt
        on a connection that was opened after the start of the new instance
        runs in that one, which announces itself only after its start.

        :param started_ms: start of the new instance, ms since 1970.  Where
            incarnations are counted in another way nothing is aborted, and
            attempts end with their connections or at their deadlines.
        :return: number of aborted attempts.
        """
        found = [
            attempt
            for attempt in self.by_upstream.get(name, ())
            if attempt.connection is not None
            and _opened_at_ms(attempt.connection) < started_ms
        ]
        for attempt in found:
            attempt.connection.proto.fail(
                aiohttp.ServerDisconnectedError('its upstream started anew')
            )
        return len(found)


def _opened_at_ms(connection: connections.Connection) -> float:
    """Return the wall-clock time at which a connection was opened."""
    return clock.wall_ms() - (clock.now() - connection.opened_at) * MS


def as_upstream(
    name: str, announcement: registries.Announcement
) -> interfaces.Upstream:
    """Convert an announcement of this host to the request path's type."""
    return interfaces.Upstream(
        name,
        announcement.service,
        announcement.address,
        '',
        '',
        announcement.slots,
        announcement.weight,
        announcement.warmup_s,
        announcement.state,
        announcement.incarnation,
    )
