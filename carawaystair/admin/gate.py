"""Lets callers in: who they are, what they may, how often."""

import typing

from aiohttp import web
import expression

from carawaystair.admin import fields
from carawaystair.admin import limits
from carawaystair.admin import resources
from carawaystair.admin import teams
from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import settings as settings_module

# Requests without a good token, a second, over all strangers together.
STRANGERS_PER_S = 10.0
# No team has this name.
STRANGER = ''
MAX_PERSON = 64


class Denied(typing.NamedTuple):
    """Why a caller is not let in.

    :param author: who it was, as far as known.
    :param refusal: the numbered refusal.
    :param headers: headers that go with it.
    """

    author: str
    refusal: control.Refusal
    headers: typing.Mapping[str, str]


Admitted = expression.Result[teams.Caller, Denied]


class Gate:
    """Lets callers in.

    :param known: the teams.
    :param reads: bounds reads of each team.
    :param changes: bounds changes of each team.
    """

    def __init__(
        self,
        known: teams.Teams,
        reads: limits.Limiter,
        changes: limits.Limiter,
    ) -> None:
        self.teams = known
        self.reads = reads
        self.changes = changes
        self.strangers = limits.Limiter(STRANGERS_PER_S)

    def admit(
        self, resource: resources.Resource, request: web.Request
    ) -> Admitted:
        """Return who asks, or why they may not."""
        found = self.teams.caller(
            request.headers.get('Authorization', ''),
            _plain(request.headers.get(fields.OPERATOR, '')),
        )
        if found.is_error():
            return self._stranger(resource, found.error)
        caller = found.ok
        limiter = self.changes if resource.change else self.reads
        wait_s = limiter.take(caller.team)
        if wait_s:
            return _limited(caller.author(), wait_s)
        if resource.scope and not caller.may(resource.scope):
            refusal = control.Refusal(codes.SCOPE_MISSING, resource.scope)
            return expression.Error(Denied(caller.author(), refusal, {}))
        return expression.Ok(caller)

    def _stranger(
        self, resource: resources.Resource, refusal: control.Refusal
    ) -> Admitted:
        """Refuse a request without a good token, slowly when many come."""
        wait_s = self.strangers.take(STRANGER)
        if wait_s:
            return _limited(STRANGER, wait_s)
        if not resource.scope:
            return expression.Ok(teams.Caller(STRANGER, frozenset()))
        headers = {'WWW-Authenticate': 'Bearer'}
        return expression.Error(Denied(STRANGER, refusal, headers))


def _limited(author: str, wait_s: float) -> Admitted:
    headers = {'Retry-After': limits.retry_after(wait_s)}
    refusal = control.Refusal(codes.RATE_LIMITED)
    return expression.Error(Denied(author, refusal, headers))


def _plain(person: str) -> str:
    """Return a person's name without what would confuse the history."""
    kept = ''.join(sign for sign in person if sign.isprintable())
    return kept.replace('/', '')[:MAX_PERSON]


def make(settings: settings_module.Control) -> Gate:
    """Return the gate of the administration API."""
    return Gate(
        teams.Teams(settings.teams),
        limits.Limiter(settings.reads_per_s),
        limits.Limiter(settings.changes_per_s),
    )
