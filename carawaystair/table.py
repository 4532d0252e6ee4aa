"""The rows of one version in little memory, cheap to change and to send.

Routes, customers and keys are many, and a node asks for few of them.  They
stand in :data:`BUCKETS` buckets by a hash of the key.  A bucket is three flat
arrays: as Python objects the same rows would take several times the memory.
Tables are values: a change rebuilds only the buckets that it touches and
shares all others with the table before.
"""

import array
import bisect
import collections
import itertools
import struct
import typing

import xxhash

from carawaystair import rows

BUCKETS = 512
# Bytes of rows in one message when a whole table is sent, but for the bucket
# that passes the bound.  On a link of 5 Mbit/s one takes 52 ms, so that what
# else is sent there is hardly held up; a small table goes in one message.
PIECE_BYTES = 32 * 1024

# Kinds of rows that go into buckets; others are few and asked for often.
MANY = (rows.ROUTE, rows.CUSTOMER, rows.CREDENTIAL)

_LENGTHS = struct.Struct('<HI')

Row = tuple[str, bytes]


class Bucket(typing.NamedTuple):
    """The rows of one bucket, in the order of their hashes.

    :param hashes: 64-bit hashes of the keys, ascending.
    :param offsets: where in ``blob`` each row begins.
    :param blob: for each row the lengths of key and value, then both.
    """

    hashes: array.array
    offsets: array.array
    blob: bytes

    def find(self, hashed: int, key: bytes) -> bytes | None:
        """Return the value of a key, None where there is none."""
        index = bisect.bisect_left(self.hashes, hashed)
        while index < len(self.hashes) and self.hashes[index] == hashed:
            found, value = self.row(index)
            if found == key:
                return value
            index += 1
        return None

    def row(self, index: int) -> tuple[bytes, bytes]:
        """Return key and value of one row."""
        start = self.offsets[index]
        key_size, value_size = _LENGTHS.unpack_from(self.blob, start)
        middle = start + _LENGTHS.size + key_size
        key = self.blob[start + _LENGTHS.size : middle]
        return key, self.blob[middle : middle + value_size]

    def rows(self) -> typing.Iterator[Row]:
        """Yield all rows."""
        for index in range(len(self.hashes)):
            key, value = self.row(index)
            yield key.decode(), value


EMPTY_BUCKET = Bucket(array.array('Q'), array.array('I'), b'')


def _bucket(content: typing.Iterable[Row]) -> Bucket:
    """Build a bucket from rows in any order."""
    coded = ((key.encode(), value) for key, value in content)
    hashed = sorted((xxhash.xxh3_64_intdigest(k), k, v) for k, v in coded)
    hashes = array.array('Q', (item[0] for item in hashed))
    parts = [
        _LENGTHS.pack(len(key), len(value)) + key + value
        for _hash, key, value in hashed
    ]
    ends = itertools.accumulate(map(len, parts), initial=0)
    offsets = array.array('I', itertools.islice(ends, len(parts)))
    return Bucket(hashes, offsets, b''.join(parts))


class Table:
    """The rows of one version; never changed once made.

    :param small: rows outside the buckets.
    :param buckets: the buckets, :data:`BUCKETS` of them.
    :param total: sum of the digests of all rows.
    :param count: number of rows.
    """

    def __init__(
        self,
        small: dict[str, bytes],
        buckets: tuple[Bucket, ...],
        total: int,
        count: int,
    ) -> None:
        self.small = small
        self.buckets = buckets
        self.total = total
        self.count = count

    def __len__(self) -> int:
        return self.count

    def __contains__(self, key: str) -> bool:
        return self.get(key) is not None

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, None where there is none."""
        if not key.startswith(MANY):
            return self.small.get(key)
        coded = key.encode()
        hashed = xxhash.xxh3_64_intdigest(coded)
        return self.buckets[hashed % BUCKETS].find(hashed, coded)

    def digest(self) -> bytes:
        """Return the digest that ``rows.digest`` gives for the same rows."""
        return (self.total % rows.MODULUS).to_bytes(16)

    def items(self) -> typing.Iterator[Row]:
        """Yield all rows, in no particular order."""
        return itertools.chain(
            self.small.items(),
            itertools.chain.from_iterable(b.rows() for b in self.buckets),
        )

    def piece(self, start: int, count: int = 0) -> tuple[tuple[Row, ...], int]:
        """Return the rows of the buckets from ``start`` on, some of them.

        The first piece brings the rows outside the buckets, too.

        :param count: of how many buckets; 0 for as many as fit.
        :return: the rows, and the first bucket that they leave out.
        """
        head = self.small.items() if start == 0 else ()
        after = min(start + (count or self._that_fit(start)), BUCKETS)
        content = itertools.chain.from_iterable(
            bucket.rows() for bucket in self.buckets[start:after]
        )
        return tuple(itertools.chain(head, content)), after

    def _that_fit(self, start: int) -> int:
        """Return how many buckets go into one message, one at least."""
        head = self.small.items() if start == 0 else ()
        sizes = itertools.accumulate(
            (len(bucket.blob) for bucket in self.buckets[start:]),
            initial=sum(len(key) + len(value) for key, value in head),
        )
        full = itertools.takewhile(lambda size: size < PIECE_BYTES, sizes)
        return max(sum(1 for _size in full), 1)


EMPTY = Table({}, (EMPTY_BUCKET,) * BUCKETS, 0, 0)


class Change:
    """A change to a table, made bucket by bucket.

    Rebuilding every bucket of a large table takes longer than a request may
    wait, so the owner calls :meth:`step` until it returns False and lets
    other work run in between.

    :param table: the table to start from.
    :param put: rows that are new or changed.
    :param drop: keys that are gone.
    """

    def __init__(
        self,
        table: Table,
        put: typing.Iterable[Row],
        drop: typing.Iterable[str] = (),
    ) -> None:
        self.small = dict(table.small)
        self.buckets = list(table.buckets)
        self.total = table.total
        self.count = table.count
        changes: dict[int, dict] = collections.defaultdict(dict)
        for key, value in itertools.chain(((key, None) for key in drop), put):
            changes[self._place(key)][key] = value
        self._change_small(changes.pop(-1, {}))
        self.waiting = list(changes.items())

    def step(self) -> bool:
        """Rebuild one bucket; return whether there was one left."""
        if not self.waiting:
            return False
        number, changes = self.waiting.pop()
        content = dict(self.buckets[number].rows())
        self._merge(content, changes)
        self.buckets[number] = _bucket(content.items())
        return True

    def table(self) -> Table:
        """Return the changed table, once all steps are done."""
        while self.step():
            pass
        return Table(self.small, tuple(self.buckets), self.total, self.count)

    def _place(self, key: str) -> int:
        if not key.startswith(MANY):
            return -1
        return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS

    def _change_small(self, changes: dict[str, bytes | None]) -> None:
        self._merge(self.small, changes)

    def _merge(self, content: dict, changes: dict) -> None:
        """Change ``content`` in place and keep digest and count right."""
        for key, value in changes.items():
            old = content.pop(key, None)
            if old is not None:
                self.total -= rows.row_digest(key, old)
                self.count -= 1
            if value is not None:
                content[key] = value
                self.total += rows.row_digest(key, value)
                self.count += 1


def apply(table: Table, delta: rows.Delta) -> Table:
    """Return a new table with ``delta`` applied, in one go."""
    return Change(table, delta.put, delta.drop).table()


def from_rows(content: rows.Table) -> Table:
    """Return the table of plain rows."""
    return Change(EMPTY, content.items()).table()
