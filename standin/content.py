"""Bodies that can be checked: made from a marker, byte for byte.

Every answer of a stand-in upstream is made from the marker of the request
that asked for it, so that a caller who gets another caller's answer, or only
a part of its own, sees it at once.
"""

import functools
import hashlib

MARKER = 'Standin-Marker'
CACHED_BODIES = 64


def make(marker: str, size: int) -> bytes:
    """Return the body that belongs to a marker.

    :param marker: names the request, or the bundle.
    :param size: length in bytes; the stream is not periodic, so that a lost
        or doubled piece in the middle shows.
    """
    return hashlib.shake_128(marker.encode()).digest(size)


@functools.lru_cache(CACHED_BODIES)
def bundle(name: str, size: int, revision: int = 0) -> bytes:
    """Return the body of a bundle; the same at every upstream.

    :param revision: another revision is another body with another ETag.
    """
    return make('%s@%d' % (name, revision), size)


def etag(name: str, size: int, revision: int = 0) -> str:
    """Return the strong entity tag of a bundle (RFC 9110, 8.8.3)."""
    text = '%s/%d@%d' % (name, size, revision)
    return '"%s"' % hashlib.blake2b(text.encode(), digest_size=12).hexdigest()
