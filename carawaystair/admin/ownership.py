"""Which rows a team may change.

A team owns the services that name it, and the routes to them.  A route also
takes requests away from another one: a new route below another team's prefix
would catch part of its traffic, and so belongs to that team's say.
"""

import bisect
import functools
import itertools
import typing

from carawaystair.admin import teams
from carawaystair import manifest as manifests
from carawaystair import routing
from carawaystair import rows
from carawaystair import settings as settings_module
from carawaystair import shape

# Rows that no team owns, and the scope that may change them.
SHARED = {
    rows.HEAD: settings_module.ADMIN,
    rows.REGION: settings_module.ADMIN,
    rows.CUSTOMER: settings_module.CUSTOMERS,
    rows.CREDENTIAL: settings_module.CUSTOMERS,
    rows.KEYS_REQUIRED: settings_module.ADMIN,
    rows.LIMITS: settings_module.ADMIN,
    rows.DRAINS: settings_module.DRAIN,
}


def foreign(
    table: rows.Table, delta: rows.Delta, caller: teams.Caller
) -> list[shape.Mistake]:
    """Return what of a change the caller may not make.

    :param table: the rows before the change.
    :param delta: the change.
    :param caller: who wants it.
    :return: a mistake for each row that must stay as it is.
    """
    if caller.may(settings_module.ADMIN):
        return []
    before, after = _Side(table.get), _Side(_over(table, delta))
    check = _Check(before, after, caller, table)
    keys = [*(key for key, _value in delta.put), *delta.drop]
    found = ((key, check.why(key)) for key in keys)
    return [shape.Mistake(rows.shown(key), why) for key, why in found if why]


Get = typing.Callable[[str], bytes | None]


def _over(table: rows.Table, delta: rows.Delta) -> Get:
    """Return a lookup of the rows after a change."""
    put = dict(delta.put)
    dropped = frozenset(delta.drop)

    def _get(key: str) -> bytes | None:
        if key in dropped:
            return None
        own = put.get(key)
        return own if own is not None else table.get(key)

    return _get


class _Side:
    """The configuration before a change, or after it.

    :param get: returns a row's value, None where there is none.
    """

    def __init__(self, get: Get) -> None:
        self.get = get

    def route(self, key: str) -> manifests.Route | None:
        value = self.get(key)
        return None if value is None else rows.decode(manifests.Route, value)

    def service_owner(self, name: str) -> str | None:
        value = self.get(rows.SERVICE + name)
        if value is None:
            return None
        return rows.decode(manifests.Service, value).team

    def owner(self, key: str) -> str | None:
        """Return the team of the service that a route leads to."""
        route = self.route(key)
        return None if route is None else self.service_owner(route.service)

    def matched(self, host: str, path: str) -> str | None:
        """Return the key of the route that takes a path, as nodes find it."""
        keys = (
            rows.ROUTE + name + prefix
            for name in (host.lower(), '')
            for prefix in routing.prefixes(path)
        )
        return next((key for key in keys if self.get(key) is not None), None)


class _Check:
    """Checks the rows of one change.

    :param before: the configuration before it.
    :param after: the configuration after it.
    :param caller: who wants it.
    :param keys: the keys of all rows before it.
    """

    def __init__(
        self,
        before: _Side,
        after: _Side,
        caller: teams.Caller,
        keys: typing.Iterable[str],
    ) -> None:
        self.before = before
        self.after = after
        self.caller = caller
        self.keys = keys

    def why(self, key: str) -> str:
        """Return why the caller may not change a row, or empty."""
        if key.startswith(rows.SERVICE):
            return self._service(key.removeprefix(rows.SERVICE))
        if key.startswith(rows.ROUTE):
            return self._route(key)
        scope = next(s for k, s in SHARED.items() if key.startswith(k))
        return '' if self.caller.may(scope) else 'needs scope %r' % scope

    def _service(self, name: str) -> str:
        sides = (self.before, self.after)
        others = self._others(side.service_owner(name) for side in sides)
        return 'belongs to team %r' % others[0] if others else ''

    def _route(self, key: str) -> str:
        sides = (self.before, self.after)
        others = self._others(side.owner(key) for side in sides)
        if others:
            return 'leads to a service of team %r' % others[0]
        new = self.before.route(key) is None and self.after.route(key)
        return self._caught(new) if new else ''

    def _caught(self, new: manifests.Route) -> str:
        """Return whose requests a new route would catch, or empty."""
        matched = self.before.matched(new.host, new.prefix)
        caught = [] if matched is None else [matched]
        if new.host:
            # A route with a host goes before every route without one, also
            # before those with a longer prefix.
            caught.extend(self._hostless_below(new.prefix))
        others = self._others(map(self.before.owner, caught))
        return 'catches requests of team %r' % others[0] if others else ''

    def _hostless_below(self, prefix: str) -> typing.Iterator[str]:
        """Return the keys of routes without a host below a prefix."""
        start = rows.ROUTE + prefix.rstrip('/') + '/'
        first = bisect.bisect_left(self.sorted, start)
        return itertools.takewhile(
            lambda key: key.startswith(start),
            itertools.islice(self.sorted, first, None),
        )

    @functools.cached_property
    def sorted(self) -> list[str]:
        """Return the keys of all routes before the change, in order."""
        return sorted(key for key in self.keys if key.startswith(rows.ROUTE))

    def _others(self, owners: typing.Iterable[str | None]) -> list[str]:
        return sorted(set(owners) - {None, self.caller.team})
