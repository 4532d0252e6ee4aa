"""Planned stops of hosts and data centres."""

import asyncio
import typing

import expression

from carawaystair.admin import calls
from carawaystair.admin import document
from carawaystair.admin import fields
from carawaystair.admin import fleet as fleets
from carawaystair.admin import guard as guards
from carawaystair.admin import replies
from carawaystair.admin import teams
from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import manifest as manifests

# A planned stop is not built on a version; when another change comes between
# it is checked and sent again so often.
TRIES = 5


class Stop(typing.NamedTuple):
    """The body of a planned stop.

    :param hosts: hosts to stop.
    :param data_centres: data centres to stop.
    :param undo: give them new work again instead.
    """

    hosts: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    undo: bool = False


class Stopped(typing.NamedTuple):
    """The answer to a planned stop.

    :param version: the version that holds it.
    :param digest: its digest, hex.
    :param submission: id of the submission.
    :param drains: all planned stops now.
    :param unheard: hosts of this stop that no control host has heard of
        lately; perhaps a misspelt name.
    """

    version: str
    digest: str
    submission: str
    drains: manifests.Drains
    unheard: tuple[str, ...]


class Stops:
    """Takes planned stops on one control host.

    :param group: the control group.
    :param guard: checks them against the capacity floors.
    :param fleet: knows the hosts.
    """

    def __init__(
        self,
        group: control.Control,
        guard: guards.Guard,
        fleet: fleets.Fleet,
    ) -> None:
        self.group = group
        self.guard = guard
        self.fleet = fleet

    async def drain(self, call: calls.Call) -> replies.Reply:
        """Plan a stop, or end one."""
        head = fields.submission(call.request)
        if head.is_error():
            return head
        body = await fields.record(call.request, Stop)
        if body.is_error():
            return body
        if not body.ok.hosts and not body.ok.data_centres:
            return fields.bad('$', 'names neither host nor data centre')
        return await self._plan(call.caller, head.ok, body.ok)

    async def _plan(
        self, caller: teams.Caller, name: str, stop: Stop
    ) -> replies.Reply:
        """Check and submit a stop until no other change comes between."""
        full_id = calls.full_id(caller, name)
        for _try in range(TRIES):
            current = await self.group.current()
            if current.is_error():
                return current
            result = await self.group.answer(full_id)
            if result.is_error():
                result = await self._plan_once(caller, full_id, stop)
            again = result.is_error() and result.error.code == codes.CONFLICT
            if not again:
                break
        if result.is_error():
            return result
        known = {node.host for node in await self.fleet.nodes()}
        unheard = tuple(host for host in stop.hosts if host not in known)
        return expression.Ok(self._stopped(result.ok, name, unheard))

    async def _plan_once(
        self, caller: teams.Caller, full_id: str, stop: Stop
    ) -> replies.Reply:
        base = self.guard.base()
        if not base.table:
            return replies.refuse(codes.VERSION_UNKNOWN, 'no manifest yet')
        wanted = _merge(document.drains(base.table), stop)
        checked = await self.guard.stops(base, wanted)
        if checked.is_error():
            return checked
        table = document.with_drains(base.table, wanted)
        manifest = await asyncio.to_thread(document.encode, table)
        submission = control.Submission(
            full_id, caller.author(), base.digest, manifest
        )
        return await self.group.submit(submission)

    def _stopped(
        self, ok: control.Accepted, name: str, unheard: tuple[str, ...]
    ) -> Stopped:
        drains = document.drains(self.group.table())
        version, digest = str(ok.version), ok.digest.hex()
        return Stopped(version, digest, name, drains, unheard)


def _merge(old: manifests.Drains, stop: Stop) -> manifests.Drains:
    """Return the planned stops after one more, or one fewer."""

    def _names(before, named) -> tuple[str, ...]:
        if stop.undo:
            return tuple(n for n in before if n not in named)
        return tuple(dict.fromkeys((*before, *named)))

    return manifests.Drains(
        _names(old.hosts, stop.hosts),
        _names(old.data_centres, stop.data_centres),
    )
