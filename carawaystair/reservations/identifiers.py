"""Fixed-size identifiers of keys, requests, customers and tokens."""

import hashlib
import itertools
import random

# The key space of a region is divided into this many partitions, so that
# replicas are chosen per partition instead of by sorting 2,500 members for
# every request.
PARTITIONS = 1024
KEY_DIGEST_BYTES = 16
REQUEST_DIGEST_BYTES = 16
TOKEN_PREFIX_BYTES = 12
TOKEN_COUNTER_BYTES = 4
TOKEN_BYTES = TOKEN_PREFIX_BYTES + TOKEN_COUNTER_BYTES
MAX_KEY_BYTES = 255
# A session has 63 bits: this many random ones, the others are the time.
SESSION_RANDOM_BITS = 20


def key_digest(service: str, customer: str, key: str) -> bytes:
    """Return the digest that identifies a key, 16 bytes.

    Each part is hashed with its length, so that different keys never give
    the same input.
    """
    parts = (part.encode() for part in (service, customer, key))
    text = b''.join(b'%d:%s' % (len(part), part) for part in parts)
    return hashlib.blake2b(text, digest_size=KEY_DIGEST_BYTES).digest()


def key_partition(key_digest: bytes) -> int:
    """Return the partition of a key within its region."""
    return int.from_bytes(key_digest[:4]) % PARTITIONS


def request_digest(digest: bytes) -> bytes:
    """Return a request digest in the size that replicas store."""
    if len(digest) == REQUEST_DIGEST_BYTES:
        return digest
    return hashlib.blake2b(digest, digest_size=REQUEST_DIGEST_BYTES).digest()


def answer_digest(data: bytes) -> bytes:
    """Return the digest of an answer that is too large to store."""
    return hashlib.blake2b(data, digest_size=REQUEST_DIGEST_BYTES).digest()


def customer_id(text: str) -> int:
    """Return a 63-bit number that identifies a customer."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest) >> 1


def new_session(wall_ms: int, rng: random.Random) -> int:
    """Return a number that identifies one run of a process.

    Later runs get greater numbers unless the wall clock was set back; the
    random bits distinguish runs even then.
    """
    return wall_ms << SESSION_RANDOM_BITS | rng.getrandbits(
        SESSION_RANDOM_BITS
    )


class TokenGenerator:
    """Generates the tokens of one process; no token is repeated.

    :param host: the host of the process.
    :param session: the session of the process, see :func:`new_session`.
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
