"""The configuration as a node uses it: routes, services, customers, drains.

The table is kept as rows and decoded on first use: most of 26,000 routes and
84,000 customers are never asked for at one node.  Lookups that were made
before are remembered, a bounded number of them.
"""

import functools
import typing

from carawaystair import manifest as manifests
from carawaystair import rows
from carawaystair import table as tables

CACHE = 4096


class Match(typing.NamedTuple):
    """The route of a request.

    :param key: names the route, for evidence.
    :param route: the route.
    :param service: its service; None where several share the route.
    """

    key: str
    route: manifests.Route
    service: manifests.Service | None


class Routing:
    """One version of the configuration, ready for lookups.

    :param version: the version.
    :param table: its rows; plain ones are taken, too.
    """

    def __init__(
        self,
        version: rows.Version = rows.NONE,
        table: tables.Table | rows.Table = tables.EMPTY,
    ) -> None:
        if isinstance(table, dict):
            table = tables.from_rows(table)
        self.version = version
        self.table = table
        self.match = functools.lru_cache(CACHE)(self._match)
        self._known = functools.lru_cache(CACHE)(self._has)
        self._route = functools.lru_cache(CACHE)(self._route_of)
        self.service = functools.lru_cache(CACHE)(self._service)
        self.customer = functools.lru_cache(CACHE)(self._customer)
        self.region = functools.lru_cache(CACHE)(self._region)
        self.drains = self._read(rows.DRAINS, manifests.Drains)
        self.drains = self.drains or manifests.Drains()
        self.limits = self._read(rows.LIMITS, manifests.Limits)
        self.limits = self.limits or manifests.Limits()
        self.keys_required = rows.KEYS_REQUIRED in table
        self.customer_of = functools.lru_cache(CACHE)(self._customer_of)

    def services(self) -> tuple[str, ...]:
        """Return the names of all services."""
        size = len(rows.SERVICE)
        return tuple(
            key[size:]
            for key in self.table.small
            if key.startswith(rows.SERVICE)
        )

    def drained(self, host: str, data_centre: str) -> bool:
        """Tell whether a planned stop covers this place."""
        return (
            host in self.drains.hosts
            or data_centre in self.drains.data_centres
        )

    def _read(self, key: str, kind: type):
        value = self.table.get(key)
        if value is None:
            return None
        return rows.decode(kind, value)

    def _service(self, name: str) -> manifests.Service | None:
        return self._read(rows.SERVICE + name, manifests.Service)

    def _customer(self, name: str) -> manifests.Customer | None:
        return self._read(rows.CUSTOMER + name, manifests.Customer)

    def _customer_of(self, credential: str) -> str:
        """Return the customer of a key, '' for none.

        :param credential: the row key, see ``rows.credential``.
        """
        return self._read(credential, str) or ''

    def _region(self, name: str) -> manifests.Place | None:
        return self._read(rows.REGION + name, manifests.Place)

    def _match(self, host: str, path: str) -> Match | None:
        """Find the longest prefix, one with the host before one without."""
        path = path.partition('?')[0]
        found = (
            rows.ROUTE + name + prefix
            for name in (host.lower(), '')
            for prefix in prefixes(path)
        )
        key = next((key for key in found if self._known(key)), None)
        if key is None:
            return None
        route = self._route(key)
        return Match(key, route, self.service(route.service))

    def _has(self, key: str) -> bool:
        return key in self.table

    def _route_of(self, key: str) -> manifests.Route | None:
        return self._read(key, manifests.Route)


def prefixes(path: str) -> typing.Iterator[str]:
    """Yield the prefixes of a path at segment borders, longest first."""
    while path:
        yield path
        if path.endswith('/'):
            path = path[:-1]
        else:
            path = path[: path.rfind('/') + 1]
