"""Names of keys, requests and grants: short digests of fixed size."""

import hashlib
import itertools
import random

# The key space is cut in this many partitions, so that replicas are chosen
# for a partition and not by sorting 2,500 members for every request.
PARTITIONS = 1024
KEY_DIGEST_BYTES = 16
REQUEST_DIGEST_BYTES = 16
TOKEN_PREFIX_BYTES = 12
TOKEN_COUNTER_BYTES = 4
TOKEN_BYTES = TOKEN_PREFIX_BYTES + TOKEN_COUNTER_BYTES
MAX_KEY_BYTES = 255
# Of the 63 bits of a session, these are random and the rest is the time.
SESSION_RANDOM_BITS = 20


def key_digest(service: str, customer: str, key: str) -> bytes:
    """Return the name of a key, 16 bytes.

    Every part goes in with its length, so that no two keys can be joined to
    the same text.
    """
    parts = (part.encode() for part in (service, customer, key))
    text = b''.join(b'%d:%s' % (len(part), part) for part in parts)
    return hashlib.blake2b(text, digest_size=KEY_DIGEST_BYTES).digest()


def key_partition(key_name: bytes) -> int:
    """Return the partition of a key's name."""
    return int.from_bytes(key_name[:4]) % PARTITIONS


def request_digest(digest: bytes) -> bytes:
    """Return a request's digest in the size that replicas keep."""
    if len(digest) == REQUEST_DIGEST_BYTES:
        return digest
    return hashlib.blake2b(digest, digest_size=REQUEST_DIGEST_BYTES).digest()


def answer_digest(data: bytes) -> bytes:
    """Return the digest of an answer that is too large to keep."""
    return hashlib.blake2b(data, digest_size=REQUEST_DIGEST_BYTES).digest()


def customer_id(text: str) -> int:
    """Return the number that stands for a customer, 63 bits."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest) >> 1


def new_session(wall_ms: int, rng: random.Random) -> int:
    """Return a number for one run of a process.

    Later runs have greater ones, unless the wall clock was set back; the
    random part still tells such runs apart.
    """
    return wall_ms << SESSION_RANDOM_BITS | rng.getrandbits(
        SESSION_RANDOM_BITS
    )


class TokenGenerator:
    """Makes the tokens of one process; none is ever made twice.

    :param host: the host of the process.
    :param session: of the process, see :func:`session`.
    """

    def __init__(self, host: str, session: int) -> None:
        text = '%s/%d' % (host, session)
        self.prefix = hashlib.blake2b(
            text.encode(), digest_size=TOKEN_PREFIX_BYTES
        ).digest()
        self.counter = itertools.count(1)

    def next_token(self) -> bytes:
        """Return a new token, 16 bytes."""
        return self.prefix + next(self.counter).to_bytes(TOKEN_COUNTER_BYTES)
