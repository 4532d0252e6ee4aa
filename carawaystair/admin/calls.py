"""A request of the administration API, and what changes have in common."""

import typing

from aiohttp import web

from carawaystair.admin import replies
from carawaystair.admin import teams
from carawaystair.control import interfaces as control


class Call(typing.NamedTuple):
    """One request, with who sent it.

    :param request: the request.
    :param caller: who sent it.
    """

    request: web.Request
    caller: teams.Caller


def full_id(caller: teams.Caller, name: str) -> str:
    """Return an id that no other team can take or ask for."""
    return '%s/%s' % (caller.team, name)


def accepted(ok: control.Accepted, name: str) -> replies.Accepted:
    """Return what the API shows of an accepted change."""
    return replies.Accepted(str(ok.version), ok.digest.hex(), name)
