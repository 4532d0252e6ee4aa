"""Every resource of the administration API, and who may use it."""

import typing

from carawaystair.admin import calls
from carawaystair.admin import changes
from carawaystair.admin import members
from carawaystair.admin import observe
from carawaystair.admin import replies
from carawaystair.admin import stops
from carawaystair import settings as settings_module

BASE = '/v1/manifests'

Handler = typing.Callable[[calls.Call], typing.Awaitable[replies.Reply]]


class Resource(typing.NamedTuple):
    """One method of one path.

    :param method: HTTP method.
    :param path: path, with ``{names}``.
    :param scope: what the token must allow; empty when none is wanted.
    :param change: what the audit trail calls it; empty when it only reads.
    :param handler: answers it.
    """

    method: str
    path: str
    scope: str
    change: str
    handler: Handler


def every(
    change: changes.Changes,
    stop: stops.Stops,
    member: members.Members,
    look: observe.Observe,
) -> tuple[Resource, ...]:
    """Return every resource of the API."""
    submit = settings_module.SUBMIT
    rollback = settings_module.ROLLBACK
    drain = settings_module.DRAIN
    admin = settings_module.ADMIN
    return (
        Resource('POST', BASE, submit, 'submit', change.submit),
        Resource(
            'POST', BASE + '/rollback', rollback, 'rollback', change.rollback
        ),
        Resource('POST', '/v1/drains', drain, 'drain', stop.drain),
        Resource('POST', '/v1/members', admin, 'members', member.change),
        *_reads(change, look),
        Resource('GET', '/v1/openapi.json', '', '', look.openapi),
    )


def _reads(
    change: changes.Changes, look: observe.Observe
) -> typing.Iterator[Resource]:
    handlers = {
        BASE + '/current': look.current,
        BASE + '/history': look.history,
        '/v1/submissions/{id}': change.answer,
        '/v1/status': look.status,
        '/v1/audit': look.audit,
        '/v1/timeline': look.timeline,
        '/metrics': look.metrics,
    }
    for path, handler in handlers.items():
        yield Resource('GET', path, settings_module.READ, '', handler)
