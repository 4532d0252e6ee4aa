"""Digests of requests, which identify repeats of the same request.

Callers give each repeat of a request a new id.  Requests with the same digest
have the same method, host, path, credentials and body, so one that crashes an
upstream by its content does so on every repeat.  Of a body that is too long
to be buffered, the length and the first bytes are included.
"""

import base64
import hashlib

from carawaystair.request import body as bodies
from carawaystair.request import call as calls

# Two different requests have the same digest with probability 2**-96.
DIGEST_BYTES = 12


def with_digest(call: calls.Call, host: str, credentials: str) -> calls.Call:
    """Return a request with its digest filled in.

    :param host: the host that it is addressed to.
    :param credentials: its ``Authorization`` header, or empty.
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
