"""Manifest documents out of rows."""

import msgspec

from carawaystair import manifest as manifests
from carawaystair import rows
from carawaystair import shape


def encode(table: rows.Table) -> bytes:
    """Return the manifest that a table stands for, as JSON.

    :param table: the rows, not empty.
    """
    return msgspec.json.encode(shape.plain(rows.to_manifest(table)))


def drains(table: rows.Table) -> manifests.Drains:
    """Return the planned stops of a table."""
    value = table.get(rows.DRAINS)
    if value is None:
        return manifests.Drains()
    return rows.decode(manifests.Drains, value)


def with_drains(table: rows.Table, wanted: manifests.Drains) -> rows.Table:
    """Return a table with other planned stops."""
    return table | {rows.DRAINS: rows.encode(wanted)}


def service(table: rows.Table, name: str) -> manifests.Service | None:
    """Return a service of a table, None when there is none."""
    value = table.get(rows.SERVICE + name)
    return None if value is None else rows.decode(manifests.Service, value)
