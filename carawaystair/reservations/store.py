"""In-memory records of keys, with a memory budget and expiry.

A record is one packed byte string and expires by means of a timing wheel, so
that a key takes few bytes: in a fleet of the intended size a node holds tens
of thousands of keys.
"""

import collections
import struct
import typing

# States of a record.
HELD = 1  # voted for a token; the outcome of its request is not known
SETTLED = 2  # the request ran; the answer is stored
DIGEST_ONLY = 3  # the request ran; status and digest of the answer are stored
BLOCKED = 4  # two tokens were found when keys were fetched: no votes

# Memory of a record without its answer: the key digest, the packed header and
# their entries in the dictionary and the wheel.
RECORD_BYTES = 256
# Maximum share of the memory per customer, so that the keys of one customer
# cannot prevent others from reserving.
CUSTOMER_SHARE = 0.75
BUCKET_S = 16.0
# Number of entries beyond twice the number of records at which the wheel is
# rebuilt: a key that is repeatedly reserved and released leaves an entry each
# time.
WHEEL_SLACK = 1000

_HEADER = struct.Struct('>16s16sQdBH')


class Record(typing.NamedTuple):
    """The record of one key at a replica.

    :param token: token that holds the key; empty if :data:`BLOCKED`.
    :param request_digest: digest of the request, 16 bytes.
    :param customer_id: see ``identifiers.customer_id``.
    :param expires: monotonic time until which the record must be kept.
    :param state: one of the states of this module.
    :param status: HTTP status of the answer.
    :param answer: the answer, or its digest if :data:`DIGEST_ONLY`.
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
    """Reverse :func:`pack`.

    :raises struct.error: if the data is too short.
    """
    return Record(*_HEADER.unpack_from(data), data[_HEADER.size :])


class MemoryBudget:
    """Memory budget that all partitions of one node share.

    :param capacity: maximum number of bytes of all records.
    :param share: maximum share of the capacity per customer.
    """

    def __init__(self, capacity: int, share: float = CUSTOMER_SHARE) -> None:
        self.capacity = capacity
        self.share = share
        self.used = 0
        self.used_by_customer: collections.Counter = collections.Counter()

    def is_full(self, size: int) -> bool:
        """Return whether ``size`` more bytes exceed the capacity."""
        return self.used + size > self.capacity

    def exceeds_share(self, customer_id: int, size: int) -> bool:
        """Return whether ``size`` more bytes exceed a customer's share."""
        limit = self.capacity * self.share
        return self.used_by_customer[customer_id] + size > limit

    def account(self, customer_id: int, size: int) -> None:
        """Add ``size`` bytes to the used memory, or free them if negative."""
        self.used += size
        self.used_by_customer[customer_id] += size
        if not self.used_by_customer[customer_id]:
            del self.used_by_customer[customer_id]


class RecordStore:
    """The records of one partition.

    :param budget: memory budget, shared with the other partitions.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.records: dict[bytes, bytes] = {}
        self.wheel: dict[int, list[bytes]] = {}
        self.wheel_entries = 0

    def get(self, key_digest: bytes, now: float) -> Record | None:
        """Return the record of a key, or None if missing or expired."""
        data = self.records.get(key_digest)
        if data is None:
            return None
        record = unpack(data)
        return record if record.expires > now else None

    def put(self, key_digest: bytes, record: Record) -> None:
        """Store or replace the record of a key."""
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
        """Remove a record; its wheel entry is removed when it is due."""
        data = self.records.pop(key_digest, None)
        if data is not None:
            self._account(unpack(data), -1)

    def expire(self, now: float) -> int:
        """Remove the expired records; return how many."""
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
        """Remove all records."""
        for key_digest in list(self.records):
            self.drop(key_digest)
        self.wheel.clear()
        self.wheel_entries = 0

    def _schedule_expiry(self, key_digest: bytes, expires: float) -> None:
        if self.wheel_entries > 2 * len(self.records) + WHEEL_SLACK:
            self._rebuild_wheel()
        # Rounded up to the end of the bucket, so that no record is removed
        # early.
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
