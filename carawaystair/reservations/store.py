"""The keys that a replica holds in memory, bounded and for a window.

A record is one packed byte string and expires through a wheel of buckets, so
that a key costs few bytes: at the size to design for a node holds tens of
thousands of them.
"""

import collections
import struct
import typing

# States of a record.
HELD = 1  # voted for a token whose end is not known
SETTLED = 2  # the request ran; the answer is kept
LARGE = 3  # the request ran; status and digest of the answer are kept
BLOCKED = 4  # recovery found two tokens: votes for neither

# Bytes that a record costs beside its answer, measured by
# ``bench/exp_reservations.py``: the name, the packed head, their places in
# the table and the wheel.
RECORD_BYTES = 256
# A customer may hold this share of the memory, so that one customer's keys
# can't keep the others from reserving.
CUSTOMER_SHARE = 0.75
BUCKET_S = 16.0

_HEAD = struct.Struct('>16s16sQdBH')


class Record(typing.NamedTuple):
    """What a replica knows of one key.

    :param token: holds the key; empty when :data:`BLOCKED`.
    :param digest: of the request, 16 bytes.
    :param customer: see ``names.customer``.
    :param expires: monotonic time until which it must be kept.
    :param state: one of the states of this module.
    :param status: HTTP status of the answer.
    :param answer: the answer, or its digest when :data:`LARGE`.
    """

    token: bytes
    digest: bytes
    customer: int
    expires: float
    state: int = HELD
    status: int = 0
    answer: bytes = b''


def pack(record: Record) -> bytes:
    """Return a record as one byte string."""
    return _HEAD.pack(*record[:6]) + record.answer


def unpack(data: bytes) -> Record:
    """Return the record that :func:`pack` packed."""
    return Record(*_HEAD.unpack_from(data), data[_HEAD.size :])


class Budget:
    """The memory that all partitions of one node share.

    :param capacity: bytes for records at most.
    :param share: of it that one customer may hold.
    """

    def __init__(self, capacity: int, share: float = CUSTOMER_SHARE) -> None:
        self.capacity = capacity
        self.share = share
        self.used = 0
        self.customers: collections.Counter = collections.Counter()

    def full(self, size: int) -> bool:
        """Tell whether ``size`` more bytes are too many."""
        return self.used + size > self.capacity

    def over_share(self, customer: int, size: int) -> bool:
        """Tell whether ``size`` more bytes exceed a customer's share."""
        limit = self.capacity * self.share
        return self.customers[customer] + size > limit

    def take(self, customer: int, size: int) -> None:
        """Account for ``size`` bytes, or give them back when negative."""
        self.used += size
        self.customers[customer] += size
        if not self.customers[customer]:
            del self.customers[customer]


class Store:
    """The records of one partition.

    :param budget: shared with the node's other partitions.
    """

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.records: dict[bytes, bytes] = {}
        self.wheel: dict[int, list[bytes]] = {}

    def get(self, name: bytes, now: float) -> Record | None:
        """Return the record of a key, unless its window has passed."""
        data = self.records.get(name)
        if data is None:
            return None
        record = unpack(data)
        return record if record.expires > now else None

    def put(self, name: bytes, record: Record) -> None:
        """Store a record in place of what was there."""
        old = self.records.get(name)
        if old is not None:
            self._account(unpack(old), -1)
            # The name object of the table is kept, or it would be there
            # twice: once in the table and once in the wheel.
        self.records[name] = pack(record)
        self._account(record, 1)
        if old is None or unpack(old).expires != record.expires:
            bucket = int(record.expires // BUCKET_S) + 1
            self.wheel.setdefault(bucket, []).append(name)

    def drop(self, name: bytes) -> None:
        """Forget a key; its place in the wheel is cleared in time."""
        data = self.records.pop(name, None)
        if data is not None:
            self._account(unpack(data), -1)

    def expire(self, now: float) -> int:
        """Forget the keys whose window has passed; return how many."""
        due = [b for b in self.wheel if b * BUCKET_S <= now]
        names = [name for b in sorted(due) for name in self.wheel.pop(b)]
        gone = [
            name
            for name in names
            if name in self.records
            and unpack(self.records[name]).expires <= now
        ]
        for name in gone:
            self.drop(name)
        return len(gone)

    def clear(self) -> None:
        """Forget everything."""
        for name in list(self.records):
            self.drop(name)
        self.wheel.clear()

    def _account(self, record: Record, sign: int) -> None:
        size = RECORD_BYTES + len(record.answer)
        self.budget.take(record.customer, sign * size)
