"""Digests of the membership state, for comparison between processes.

A digest is the exclusive or of one hash per host, so that the cost of an
update doesn't depend on the number of hosts.  Hosts are divided into buckets
by hash: two processes whose digests differ compare the buckets, then only the
hosts in the buckets that differ.
"""

import array
import typing

import xxhash

BUCKETS = 256
# Size of an encoded bucket digest, which is little-endian.
BUCKET_BYTES = 8


def bucket(host: str) -> int:
    """Return the bucket number of a host."""
    return xxhash.xxh3_64_intdigest(host.encode()) % BUCKETS


def mark(host: str, first: int, second: int = 0) -> int:
    """Return a 64-bit hash of a host and two version numbers."""
    text = '%s\0%d\0%d' % (host, first, second)
    return xxhash.xxh3_64_intdigest(text.encode())


class Digest:
    """The digest of all hosts and the digests of the buckets."""

    def __init__(self) -> None:
        self.total = 0
        self.buckets = array.array('Q', [0] * BUCKETS)

    def toggle(self, number: int, value: int) -> None:
        """Add a hash to a bucket, or remove it again.

        :param number: number of the bucket.
        :param value: hash from :func:`mark`.
        """
        self.total ^= value
        self.buckets[number] ^= value

    def encode(self) -> bytes:
        """Encode the bucket digests for a message."""
        return b''.join(
            value.to_bytes(BUCKET_BYTES, 'little') for value in self.buckets
        )

    def differing(self, data: bytes) -> list[int]:
        """Return the numbers of the buckets that differ from encoded ones."""
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
