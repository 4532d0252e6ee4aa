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
DIGEST_ONLY = 3  # the request ran; status and digest of the answer are kept
BLOCKED = 4  # two tokens were found when keys were fetched: no vote for any

# Bytes that a record costs beside its answer, measured by
# ``bench/exp_reservations.py``: the name, the packed head, their places in
# the table and the wheel.
RECORD_BYTES = 256
# A customer may hold this share of the memory, so that one customer's keys
# can't keep the others from reserving.
CUSTOMER_SHARE = 0.75
BUCKET_S = 16.0
# The wheel may hold so many names more than the table before it is made
# anew: a key that is reserved and released over and over leaves one each
# time.
WHEEL_SLACK = 1000

_HEADER = struct.Struct('>16s16sQdBH')


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
    request_digest: bytes
    customer_id: int
    expires: float
    state: int = HELD
    status: int = 0
    answer: bytes = b''


def pack(record: Record) -> bytes:
    """Return a record as one byte string."""
    return _HEADER.pack(*record[:6]) + record.answer


def unpack(data: bytes) -> Record:
    """Return the record that :func:`pack` packed.

    :raises struct.error: when the data is too short.
    """
    return Record(*_HEADER.unpack_from(data), data[_HEADER.size :])


class MemoryBudget:
    """The memory that all partitions of one node share.

    :param capacity: bytes for records at most.
    :param share: of it that one customer may hold.
    """

    def __init__(self, capacity: int, share: float = CUSTOMER_SHARE) -> None:
        self.capacity = capacity
        self.share = share
        self.used = 0
        self.used_by_customer: collections.Counter = collections.Counter()

    def is_full(self, size: int) -> bool:
        """Tell whether ``size`` more bytes are too many."""
        return self.used + size > self.capacity

    def exceeds_share(self, customer_id: int, size: int) -> bool:
        """Tell whether ``size`` more bytes exceed a customer's share."""
        limit = self.capacity * self.share
        return self.used_by_customer[customer_id] + size > limit

    def account(self, customer_id: int, size: int) -> None:
        """Account for ``size`` bytes, or give them back when negative."""
        self.used += size
        self.used_by_customer[customer_id] += size
        if not self.used_by_customer[customer_id]:
            del self.used_by_customer[customer_id]


class RecordStore:
    """The records of one partition.

    :param budget: shared with the node's other partitions.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.records: dict[bytes, bytes] = {}
        self.wheel: dict[int, list[bytes]] = {}
        self.wheel_entries = 0

    def get(self, key_digest: bytes, now: float) -> Record | None:
        """Return the record of a key, unless its window has passed."""
        data = self.records.get(key_digest)
        if data is None:
            return None
        record = unpack(data)
        return record if record.expires > now else None

    def put(self, key_digest: bytes, record: Record) -> None:
        """Store a record in place of what was there."""
        old_data = self.records.get(key_digest)
        expires = None
        if old_data is not None:
            old_record = unpack(old_data)
            expires = old_record.expires
            self._account(old_record, -1)
        self.records[key_digest] = pack(record)
        self._account(record, 1)
        if expires != record.expires:
            self._schedule_expiry(key_digest, record.expires)

    def drop(self, key_digest: bytes) -> None:
        """Forget a key; its place in the wheel is cleared in time."""
        data = self.records.pop(key_digest, None)
        if data is not None:
            self._account(unpack(data), -1)

    def expire(self, now: float) -> int:
        """Forget the keys whose window has passed; return how many."""
        due_buckets = [
            bucket for bucket in self.wheel if bucket * BUCKET_S <= now
        ]
        key_digests = [
            key_digest
            for bucket in due_buckets
            for key_digest in self.wheel.pop(bucket)
        ]
        self.wheel_entries -= len(key_digests)
        expired = {
            key_digest
            for key_digest in key_digests
            if key_digest in self.records
            and unpack(self.records[key_digest]).expires <= now
        }
        for key_digest in expired:
            self.drop(key_digest)
        return len(expired)

    def clear(self) -> None:
        """Forget everything."""
        for key_digest in list(self.records):
            self.drop(key_digest)
        self.wheel.clear()
        self.wheel_entries = 0

    def _schedule_expiry(self, key_digest: bytes, expires: float) -> None:
        if self.wheel_entries > 2 * len(self.records) + WHEEL_SLACK:
            self._rebuild_wheel()
        # Rounded up: a record never goes before its time, and the buckets
        # are looked at when their end has passed.
        bucket = int(expires // BUCKET_S) + 1
        self.wheel.setdefault(bucket, []).append(key_digest)
        self.wheel_entries += 1

    def _rebuild_wheel(self) -> None:
        self.wheel.clear()
        self.wheel_entries = 0
        for key_digest, data in self.records.items():
            bucket = int(unpack(data).expires // BUCKET_S) + 1
            self.wheel.setdefault(bucket, []).append(key_digest)
            self.wheel_entries += 1

    def _account(self, record: Record, sign: int) -> None:
        size = RECORD_BYTES + len(record.answer)
        self.budget.account(record.customer_id, sign * size)
