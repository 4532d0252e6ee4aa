"""Names of headers, and which of them travel."""

CUSTOMER = 'Caraway-Customer'
DEADLINE = 'Caraway-Deadline-Ms'
REQUEST_ID = 'Caraway-Request-Id'
OUTCOME = 'Caraway-Outcome'
CODE = 'Caraway-Code'
KEY = 'Idempotency-Key'
OWN = 'caraway-'

# RFC 9110 7.6.1: these concern one connection and end at each hop.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def travelling(headers) -> list[tuple[str, str]]:
    """Return the headers that go on to the other side.

    Hop-by-hop headers end here, with those that ``Connection`` names, and
    so do the fleet's own: nobody outside may speak for it.

    :param headers: a multi-dict as it was received.
    """
    dropped = HOP_BY_HOP
    if 'Connection' in headers:
        named = ','.join(headers.getall('Connection')).lower()
        dropped = dropped | {name.strip() for name in named.split(',')}
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped and not name.lower().startswith(OWN)
    ]
