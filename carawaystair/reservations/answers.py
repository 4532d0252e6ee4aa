"""Packs stored answers to fit one datagram and little memory."""

import zlib

# An outcome, and a vote that repeats it, must each fit one datagram; memory
# is bounded by this times the number of keys.
MAX_PACKED_BYTES = 1024
# Longer answers are unlikely to compress to the limit; they are not tried.
MAX_ANSWER_BYTES = 32 * 1024
# Compression saves little on shorter answers.
MIN_COMPRESSED_BYTES = 256
COMPRESSION_LEVEL = 1

PLAIN = b'p'
COMPRESSED = b'z'


def pack(answer: bytes) -> bytes | None:
    """Return an answer as replicas store it; None if it is too large."""
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
    """Reverse :func:`pack`; return None if the data is invalid."""
    if packed[:1] == PLAIN:
        return packed[1:]
    unpacker = zlib.decompressobj()
    try:
        answer = unpacker.decompress(packed[1:], MAX_ANSWER_BYTES)
    except zlib.error:
        return None
    return answer if unpacker.eof else None
