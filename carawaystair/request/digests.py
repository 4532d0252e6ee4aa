"""Names what a request asks for, whatever attempt it comes with.

Callers give each attempt an id of its own.  Two attempts with one digest have
the same method, host, path, credentials and body, so an upstream that fails
because of what it was asked fails for both.  A body that is too long to be
held counts by its length and its first bytes.
"""

import base64
import hashlib

from carawaystair.request import body as bodies
from carawaystair.request import call as calls

# Two different requests share a digest once in 2**96 cases.
DIGEST_BYTES = 12


def with_digest(call: calls.Call, host: str, credentials: str) -> calls.Call:
    """Return a request with its digest.

    :param host: the host that it names.
    :param credentials: who sent it, as it says itself.
    """
    body, length = call.body, call.length
    if body is None:
        body = call.body_prefix[: bodies.PREFIX_BYTES]
    else:
        length = len(body)
    parts = (call.method, host, call.path, credentials, str(length))
    head = [part.encode('utf-8', 'surrogateescape') for part in parts]
    made = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (*head, body):
        made.update(b'%d:%b' % (len(part), part))
    text = base64.urlsafe_b64encode(made.digest()).decode()
    return call._replace(digest=text)
