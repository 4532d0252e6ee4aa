"""The configuration as a table of rows, with deltas between versions.

A row's key is ``kind/name`` and its value one manifest value as a msgpack
array, which is short and decodes straight into its ``NamedTuple``.
The digest of a table is the sum of its rows' digests modulo 2**128, so that
a delta updates it in time proportional to the delta.
"""

import hashlib
import itertools
import typing

import msgspec

from carawaystair import manifest as manifests

DIGEST_BITS = 128
MODULUS = 1 << DIGEST_BITS

HEAD = 'head/manifest'
REGION = 'region/'
SERVICE = 'service/'
ROUTE = 'route/'
CUSTOMER = 'customer/'
DRAINS = 'drains/all'
# Present only where limits differ from the defaults.
LIMITS = 'limits/all'
# Present only where callers must bring the key of a customer.
KEYS_REQUIRED = 'keys/required'
# The customer of a key, by the digest of the key.  Derived from customers, so
# that a lookup does not depend on how many there are.
CREDENTIAL = 'credential/'
# Digits of the digest of a customer's key that are shown.
SHOWN_DIGITS = 12
CREDENTIAL_BYTES = 16

Table = dict[str, bytes]
Put = tuple[tuple[str, bytes], ...]
Keys = tuple[str, ...]


class Head(typing.NamedTuple):
    """The manifest's own fields.

    :param format: version of the manifest's format.
    :param name: name of the deployment.
    :param revision: the pipeline's own number of the document.
    """

    format: int
    name: str
    revision: int = 0


_DECODERS = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (
        str,
        Head,
        manifests.Customer,
        manifests.Drains,
        manifests.Limits,
        manifests.Place,
        manifests.Route,
        manifests.Service,
    )
}


class Version(typing.NamedTuple):
    """Which configuration: the place of its entry in the control log.

    Versions are compared as tuples and only ever grow at a node.

    :param term: term of the log entry.
    :param index: index of the log entry.
    """

    term: int = 0
    index: int = 0

    def __str__(self) -> str:
        return '%d.%d' % self


NONE = Version()


class Delta(typing.NamedTuple):
    """What turns one version of the table into another.

    :param base: the version it applies to; :data:`NONE` for an empty table.
    :param version: the version it leads to.
    :param put: keys and values that are new or changed.
    :param drop: keys that are gone.
    :param digest: digest of the resulting table, 16 bytes.
    """

    base: Version
    version: Version
    put: Put
    drop: Keys
    digest: bytes

    def size(self) -> int:
        """Return the bytes of its rows."""
        put = sum(len(key) + len(value) for key, value in self.put)
        return put + sum(map(len, self.drop))


def row_digest(key: str, value: bytes) -> int:
    """Return the digest of one row as a number below 2**128."""
    data = key.encode() + b'\0' + value
    return int.from_bytes(hashlib.blake2b(data, digest_size=16).digest())


def digest(table: Table) -> bytes:
    """Return the digest of a table, 16 bytes."""
    total = sum(row_digest(key, value) for key, value in table.items())
    return (total % MODULUS).to_bytes(16)


# Fields that these types had when fleets first ran.  Fields added later are
# left out while they have their defaults: processes that don't know them read
# such rows, and rows keep their digests.
_FIRST_FIELDS = {
    manifests.Customer: manifests.Customer._fields.index('keys'),
    manifests.Route: manifests.Route._fields.index('public'),
}


def encode(value) -> bytes:
    """Return the bytes of one row's value."""
    first = _FIRST_FIELDS.get(type(value))
    if first is None:
        return msgspec.msgpack.encode(value)
    defaults = value._field_defaults
    size = len(value)
    while (
        size > first and value[size - 1] == defaults[value._fields[size - 1]]
    ):
        size -= 1
    return msgspec.msgpack.encode(value[:size])


def credential(key: str) -> str:
    """Return the row key of a customer's key, which does not reveal it."""
    data = key.encode('utf-8', 'surrogateescape')
    made = hashlib.blake2b(data, digest_size=CREDENTIAL_BYTES)
    return CREDENTIAL + made.hexdigest()


def shown(key: str) -> str:
    """Return a row key as people get to see it.

    With the whole digest of a customer's key, a guess could be tested.
    """
    if not key.startswith(CREDENTIAL):
        return key
    return key[: len(CREDENTIAL) + SHOWN_DIGITS]


def decode(kind: type, value: bytes):
    """Return the value that :func:`encode` was given.

    :param kind: its type.
    """
    return _DECODERS[kind].decode(value)


def from_manifest(manifest: manifests.Manifest) -> Table:
    """Return the rows of a manifest."""
    table = {
        HEAD: encode(Head(manifest.format, manifest.name, manifest.revision)),
        DRAINS: encode(manifest.drains),
    }
    if manifest.limits != manifests.Limits():
        table[LIMITS] = encode(manifest.limits)
    if manifest.require_keys:
        table[KEYS_REQUIRED] = encode(True)
    table |= {REGION + k: encode(v) for k, v in manifest.regions.items()}
    table |= {SERVICE + k: encode(v) for k, v in manifest.services.items()}
    table |= {CUSTOMER + k: encode(v) for k, v in manifest.customers.items()}
    table |= {
        credential(key): encode(name)
        for name, customer in manifest.customers.items()
        for key in customer.keys
    }
    table |= {
        ROUTE + route.host.lower() + route.prefix: encode(route)
        for route in manifest.routes
    }
    return table


def to_manifest(table: Table) -> manifests.Manifest:
    """Return the manifest that a table stands for."""

    def _part(prefix: str, kind: type) -> dict:
        size = len(prefix)
        return {
            key[size:]: decode(kind, value)
            for key, value in sorted(table.items())
            if key.startswith(prefix)
        }

    head = decode(Head, table[HEAD])
    return manifests.Manifest(
        head.format,
        head.name,
        _part(REGION, manifests.Place),
        _part(SERVICE, manifests.Service),
        tuple(_part(ROUTE, manifests.Route).values()),
        _part(CUSTOMER, manifests.Customer),
        decode(manifests.Drains, table[DRAINS]),
        decode(manifests.Limits, table[LIMITS])
        if LIMITS in table
        else manifests.Limits(),
        head.revision,
        KEYS_REQUIRED in table,
    )


def difference(
    old: Table,
    new: Table,
    base: Version,
    version: Version,
    before: bytes = b'',
) -> Delta:
    """Return the delta that leads from ``old`` to ``new``.

    :param before: digest of ``old`` where it is known; the digest of ``new``
        then costs what changes and not what stays.
    """
    changed = [item for item in new.items() if old.get(item[0]) != item[1]]
    put, drop = tuple(sorted(changed)), tuple(sorted(old.keys() - new.keys()))
    if not before:
        return Delta(base, version, put, drop, digest(new))
    total = int.from_bytes(before)
    total += sum(row_digest(key, value) for key, value in put)
    touched = itertools.chain((key for key, _value in put), drop)
    total -= sum(row_digest(key, old[key]) for key in touched if key in old)
    return Delta(base, version, put, drop, (total % MODULUS).to_bytes(16))


def merge(changes: typing.Iterable[tuple[Put, Keys]]) -> tuple[Put, Keys]:
    """Return one change that does the same as several in a row."""
    now: Table = {}
    gone: dict[str, None] = {}
    for put, drop in changes:
        for key in drop:
            now.pop(key, None)
            gone[key] = None
        for key, value in put:
            gone.pop(key, None)
            now[key] = value
    return tuple(sorted(now.items())), tuple(sorted(gone))


def apply(table: Table, delta: Delta) -> Table:
    """Return a new table with ``delta`` applied."""
    gone = set(delta.drop)
    kept = {key: value for key, value in table.items() if key not in gone}
    return kept | dict(delta.put)
