"""Digests of what a process knows, for comparison with others.

A digest is the exclusive or of one hash for each host, so that a change
costs the same however many hosts there are.  Hosts fall into buckets: two
processes that differ compare the buckets, then only the hosts in those that
differ.
"""

import array
import typing

import xxhash

BUCKETS = 256
# Digests of the buckets as they travel: 8 bytes each, little-endian.
BUCKET_BYTES = 8


def bucket(host: str) -> int:
    """Return the bucket of a host."""
    return xxhash.xxh3_64_intdigest(host.encode()) % BUCKETS


def mark(host: str, first: int, second: int = 0) -> int:
    """Return the hash of a host with what is known of it, 64 bits."""
    text = '%s\0%d\0%d' % (host, first, second)
    return xxhash.xxh3_64_intdigest(text.encode())


class Digest:
    """A digest with its buckets."""

    def __init__(self) -> None:
        self.total = 0
        self.buckets = array.array('Q', [0] * BUCKETS)

    def toggle(self, number: int, value: int) -> None:
        """Add a mark to a bucket, or take it out again."""
        self.total ^= value
        self.buckets[number] ^= value

    def encode(self) -> bytes:
        """Return the buckets as they travel."""
        return b''.join(
            value.to_bytes(BUCKET_BYTES, 'little') for value in self.buckets
        )

    def differing(self, data: bytes) -> list[int]:
        """Return the buckets that differ from encoded ones."""
        theirs = _decode(data)
        return [
            number
            for number, value in enumerate(theirs)
            if value != self.buckets[number]
        ]


def _decode(data: bytes) -> typing.Iterator[int]:
    for number in range(min(len(data) // BUCKET_BYTES, BUCKETS)):
        start = number * BUCKET_BYTES
        yield int.from_bytes(data[start : start + BUCKET_BYTES], 'little')
