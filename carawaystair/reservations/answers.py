"""Stored answers, packed so that each fits one datagram and little memory."""

import zlib

# Bytes of a packed answer at most: an outcome and a vote that repeats it must
# each fit one datagram, and memory is bounded by this times the keys.
MAX_PACKED_BYTES = 1024
# Longer answers are not worth trying.
MAX_ANSWER_BYTES = 32 * 1024
# Shorter ones gain little.
MIN_COMPRESSED_BYTES = 256
COMPRESSION_LEVEL = 1

PLAIN = b'p'
COMPRESSED = b'z'


def pack(answer: bytes) -> bytes | None:
    """Return an answer as replicas keep it, or None when it is too large."""
    if len(answer) > MAX_ANSWER_BYTES:
        return None
    packed = PLAIN + answer
    if len(answer) >= MIN_COMPRESSED_BYTES:
        packed = min(
            packed,
            COMPRESSED + zlib.compress(answer, COMPRESSION_LEVEL),
            key=len,
        )
    return packed if len(packed) <= MAX_PACKED_BYTES else None


def unpack(packed: bytes) -> bytes | None:
    """Return the answer that :func:`pack` packed, None when it is broken."""
    if packed[:1] == PLAIN:
        return packed[1:]
    unpacker = zlib.decompressobj()
    try:
        answer = unpacker.decompress(packed[1:], MAX_ANSWER_BYTES)
    except zlib.error:
        return None
    return answer if unpacker.eof else None
