"""Resources that change the configuration."""

import typing

from aiohttp import web
import expression

from carawaystair.admin import audit
from carawaystair.admin import document
from carawaystair.admin import fields
from carawaystair.admin import guard as guards
from carawaystair.admin import replies
from carawaystair.admin import teams
from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import manifest as manifests
from carawaystair import rows

# A planned stop is not built on a version; when another change comes between
# it is checked and sent again so often.
DRAIN_TRIES = 5
# Submissions read and checked at once; each may hold a manifest of many MB.
MAX_READING = 4


class Call(typing.NamedTuple):
    """One request, with who sent it.

    :param request: the request.
    :param caller: who sent it.
    """

    request: web.Request
    caller: teams.Caller


class DryRun(typing.NamedTuple):
    """What a submission would change.

    :param version: the version that it was compared with.
    :param digest: its digest, hex.
    :param changes: what would change, row by row.
    """

    version: str
    digest: str
    changes: list


class Change(typing.NamedTuple):
    """One row that a submission would change.

    :param change: ``added``, ``changed`` or ``removed``.
    :param row: key of the row, such as ``service/portal``.
    """

    change: str
    row: str


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
    """

    version: str
    digest: str
    submission: str
    drains: manifests.Drains


class Back(typing.NamedTuple):
    """The body of a rollback.

    :param to: the version to go back to.
    """

    to: str


class Changes:
    """Takes changes on one control host.

    :param group: the control group.
    :param guard: checks changes.
    :param trail: takes note of refused ones.
    """

    def __init__(
        self,
        group: control.Control,
        guard: guards.Guard,
        trail: audit.Trail,
    ) -> None:
        self.group = group
        self.guard = guard
        self.trail = trail
        self.reading = 0

    async def submit(self, call: Call) -> replies.Reply:
        """Submit a manifest, or with ``dry_run`` show what it changes."""
        if self.reading >= MAX_READING:
            return replies.refuse(codes.ADMIN_BUSY)
        self.reading += 1
        try:
            if fields.flag(call.request, 'dry_run'):
                return await self._dry_run(call)
            return await self._noted(call, 'submit', self._submit)
        finally:
            self.reading -= 1

    async def rollback(self, call: Call) -> replies.Reply:
        """Put an earlier version in force again, as a new one."""
        return await self._noted(call, 'rollback', self._rollback)

    async def drain(self, call: Call) -> replies.Reply:
        """Plan a stop, or end one."""
        return await self._noted(call, 'drain', self._drain)

    async def answer(self, call: Call) -> replies.Reply:
        """Return the answer of a submission again."""
        name = call.request.match_info['id']
        wanted = fields.checked_id(name, 'id')
        if wanted.is_error():
            return wanted
        # Without the quorum's word "unknown" might mean that this host has
        # not heard of it, and the sender would submit again.
        current = await self.group.current()
        if current.is_error():
            return current
        result = await self.group.answer(_full_id(call.caller, name))
        return result.map(lambda ok: _accepted(ok, name))

    async def _noted(self, call: Call, action: str, run) -> replies.Reply:
        result = await run(call)
        if result.is_error():
            name = call.request.headers.get(fields.SUBMISSION, '')
            author = call.caller.author()
            shown = name[: fields.MAX_ID]
            self.trail.refuse(author, action, shown, result.error)
        return result

    async def _dry_run(self, call: Call) -> replies.Reply:
        body = await fields.body(call.request, manifests.MAX_BYTES)
        if body.is_error():
            return body
        seen = await self.guard.preview(body.ok)
        if seen.is_error():
            return seen
        base, delta = seen.ok
        checked = await self.guard.check(base, delta, call.caller)
        if checked.is_error():
            return checked
        digest = base.digest.hex()
        found = _changes(base.table, delta)
        return expression.Ok(DryRun(str(base.version), digest, found))

    async def _submit(self, call: Call) -> replies.Reply:
        head = fields.all_of(
            fields.submission(call.request), fields.parent(call.request)
        )
        if head.is_error():
            return head
        name, parent = head.ok
        body = await fields.body(call.request, manifests.MAX_BYTES)
        if body.is_error():
            return body
        wanted = control.Submission(
            _full_id(call.caller, name),
            call.caller.author(),
            parent,
            body.ok,
        )
        result = await self._submit_once(call.caller, wanted)
        if result.is_error() and result.error.code == codes.CONFLICT:
            # The winner may be this very submission, sent twice at once.
            known = await self._known(wanted.id)
            result = known if known.is_ok() else result
        return result.map(lambda ok: _accepted(ok, name))

    async def _submit_once(
        self, caller: teams.Caller, wanted: control.Submission
    ) -> replies.Reply:
        known = await self._known(wanted.id)
        if known.is_ok():
            return known
        checked = await self._check(caller, wanted, known.error)
        if checked.is_error():
            return checked
        return await self.group.submit(wanted)

    async def _check(
        self,
        caller: teams.Caller,
        wanted: control.Submission,
        why: control.Refusal,
    ) -> replies.Reply:
        """Check a submission whose id has no answer yet."""
        if why.code != codes.SUBMISSION_UNKNOWN:
            return expression.Error(why)
        seen = await self.guard.preview(wanted.manifest)
        if seen.is_error():
            return seen
        base, delta = seen.ok
        if base.digest != wanted.parent:
            return self._conflict(base)
        return await self.guard.check(base, delta, caller)

    def _conflict(self, base: guards.Base) -> replies.Reply:
        refusal = control.Refusal(
            codes.CONFLICT,
            'version %s is in force' % str(base.version),
            version=base.version,
            digest=base.digest,
        )
        return expression.Error(refusal)

    async def _known(self, full_id: str) -> replies.Reply:
        """Return the answer that an id already has, surely up to date."""
        current = await self.group.current()
        if current.is_error():
            return current
        return await self.group.answer(full_id)

    async def _rollback(self, call: Call) -> replies.Reply:
        head = fields.all_of(
            fields.submission(call.request), fields.parent(call.request)
        )
        if head.is_error():
            return head
        name, parent = head.ok
        body = await fields.record(call.request, Back)
        if body.is_error():
            return body
        to = fields.version(body.ok.to, '$.to')
        if to.is_error():
            return to
        wanted = control.Rollback(
            _full_id(call.caller, name),
            call.caller.author(),
            parent,
            to.ok,
        )
        result = await self.group.rollback(wanted)
        return result.map(lambda ok: _accepted(ok, name))

    async def _drain(self, call: Call) -> replies.Reply:
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
        full_id = _full_id(caller, name)
        for _try in range(DRAIN_TRIES):
            known = await self._known(full_id)
            if known.is_ok():
                break
            if known.error.code != codes.SUBMISSION_UNKNOWN:
                return known
            known = await self._plan_once(caller, full_id, stop)
            again = known.is_error() and known.error.code == codes.CONFLICT
            if not again:
                break
        return known.map(lambda ok: self._stopped(ok, name))

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
        manifest = document.encode(table)
        submission = control.Submission(
            full_id, caller.author(), base.digest, manifest
        )
        return await self.group.submit(submission)

    def _stopped(self, ok: control.Accepted, name: str) -> Stopped:
        drains = document.drains(self.group.table())
        return Stopped(str(ok.version), ok.digest.hex(), name, drains)


def _full_id(caller: teams.Caller, name: str) -> str:
    """Return an id that no other team can take or ask for."""
    return '%s/%s' % (caller.team, name)


def _accepted(ok: control.Accepted, name: str) -> replies.Accepted:
    return replies.Accepted(str(ok.version), ok.digest.hex(), name)


def _changes(table: rows.Table, delta: rows.Delta) -> list[Change]:
    put = [
        Change('changed' if key in table else 'added', key)
        for key, _value in delta.put
    ]
    return put + [Change('removed', key) for key in delta.drop]


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
