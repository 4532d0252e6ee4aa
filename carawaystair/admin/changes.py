"""Resources of submissions: submit, dry run, rollback, ask again."""

import functools
import typing

import expression

from carawaystair.admin import calls
from carawaystair.admin import fields
from carawaystair.admin import guard as guards
from carawaystair.admin import replies
from carawaystair.admin import teams
from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import manifest as manifests
from carawaystair import rows

# Refusals of a change that may have been accepted before.
PERHAPS_KNOWN = (codes.CONFLICT, codes.VERSION_UNKNOWN)
# Submissions read and checked at once; each may hold a manifest of many MB.
MAX_READING = 4


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


class Back(typing.NamedTuple):
    """The body of a rollback.

    :param to: the version to go back to.
    """

    to: str


class Wanted(typing.NamedTuple):
    """A change on its way.

    :param id: of the submission, behind its team.
    :param parent: digest of the version that it is built on.
    :param preview: asks the control group what it would change.
    :param make: has the control group make it.
    """

    id: str
    parent: bytes
    preview: guards.Preview
    make: typing.Callable[[], typing.Awaitable[replies.Reply]]


class Changes:
    """Takes changes on one control host.

    :param group: the control group.
    :param guard: checks changes.
    """

    def __init__(self, group: control.Control, guard: guards.Guard) -> None:
        self.group = group
        self.guard = guard
        self.reading = 0

    async def submit(self, call: calls.Call) -> replies.Reply:
        """Submit a manifest, or with ``dry_run`` show what it changes."""
        if self.reading >= MAX_READING:
            return replies.refuse(codes.ADMIN_BUSY)
        self.reading += 1
        try:
            if fields.flag(call.request, 'dry_run'):
                return await self._dry_run(call)
            return await self._submit(call)
        finally:
            self.reading -= 1

    async def answer(self, call: calls.Call) -> replies.Reply:
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
        result = await self.group.answer(calls.full_id(call.caller, name))
        return result.map(lambda ok: calls.accepted(ok, name))

    async def _dry_run(self, call: calls.Call) -> replies.Reply:
        body = await fields.body(call.request, manifests.MAX_BYTES)
        if body.is_error():
            return body
        ask = functools.partial(self.group.preview, body.ok)
        seen = await self.guard.preview(ask)
        if seen.is_error():
            return seen
        base, delta = seen.ok
        checked = await self.guard.check(base, delta, call.caller)
        if checked.is_error():
            return checked
        digest = base.digest.hex()
        found = _changes(base.table, delta)
        return expression.Ok(DryRun(str(base.version), digest, found))

    async def _submit(self, call: calls.Call) -> replies.Reply:
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
            calls.full_id(call.caller, name),
            call.caller.author(),
            parent,
            body.ok,
        )
        change = Wanted(
            wanted.id,
            parent,
            functools.partial(self.group.preview, wanted.manifest),
            functools.partial(self.group.submit, wanted),
        )
        return await self._once(call.caller, change, name)

    async def rollback(self, call: calls.Call) -> replies.Reply:
        """Put an earlier version in force again, as a new one."""
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
            calls.full_id(call.caller, name),
            call.caller.author(),
            parent,
            to.ok,
        )
        change = Wanted(
            wanted.id,
            parent,
            functools.partial(self.group.preview_rollback, to.ok),
            functools.partial(self.group.rollback, wanted),
        )
        return await self._once(call.caller, change, name)

    async def _once(
        self, caller: teams.Caller, change: Wanted, name: str
    ) -> replies.Reply:
        """Check a change and have it made; or answer its id again."""
        result = await self._try(caller, change)
        if result.is_error() and result.error.code in PERHAPS_KNOWN:
            result = await self._again(change, result)
        return result.map(lambda ok: calls.accepted(ok, name))

    async def _again(
        self, change: Wanted, refused: replies.Reply
    ) -> replies.Reply:
        """Answer a change that was sent before, or is sent twice at once."""
        known = await self._known(change.id)
        if known.is_ok():
            # The log answers an id that it accepted, and compares what was
            # sent; it makes nothing.
            return await change.make()
        remembered = known.error.code == codes.CONFLICT
        return known if remembered else refused

    async def _try(
        self, caller: teams.Caller, change: Wanted
    ) -> replies.Reply:
        current = await self.group.current()
        if current.is_error():
            return current
        seen = await self.guard.preview(change.preview)
        if seen.is_error():
            return seen
        base, delta = seen.ok
        if base.digest != change.parent:
            # Never passed on: what is checked here is not what the change
            # is built on, and that version may come back.
            return _conflict(base)
        checked = await self.guard.check(base, delta, caller)
        if checked.is_error():
            return checked
        return await change.make()

    async def _known(self, full_id: str) -> replies.Reply:
        """Return the answer that an id already has, surely up to date."""
        current = await self.group.current()
        if current.is_error():
            return current
        return await self.group.answer(full_id)


def _conflict(base: guards.Base) -> replies.Reply:
    refusal = control.Refusal(
        codes.CONFLICT,
        'version %s is in force' % str(base.version),
        version=base.version,
        digest=base.digest,
    )
    return expression.Error(refusal)


def _changes(table: rows.Table, delta: rows.Delta) -> list[Change]:
    put = [
        Change('changed' if key in table else 'added', rows.shown(key))
        for key, _value in delta.put
    ]
    return put + [Change('removed', rows.shown(key)) for key in delta.drop]
