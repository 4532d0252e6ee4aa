"""TLS of the administration API."""

import pathlib
import ssl

import expression

from carawaystair import codes
from carawaystair import settings as settings_module


def context(
    tls: settings_module.Tls,
) -> expression.Result[ssl.SSLContext, codes.Failure]:
    """Return a server context, or ``TLS_FILES_UNUSABLE``."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    return load(made, tls).map(lambda _none: made)


def load(
    into: ssl.SSLContext, tls: settings_module.Tls
) -> expression.Result[None, codes.Failure]:
    """Read certificate and key; new connections then use them."""
    try:
        into.load_cert_chain(tls.cert, tls.key)
    except (OSError, ValueError) as error:
        detail = '%s, %s: %s' % (tls.cert, tls.key, error)
        return codes.fail(codes.TLS_FILES_UNUSABLE, detail)
    return expression.Ok(None)


def stamp(tls: settings_module.Tls) -> tuple[int, ...]:
    """Return what changes when a file is replaced."""
    try:
        stats = [pathlib.Path(path).stat() for path in tls]
    except OSError:
        return ()
    return tuple(s.st_mtime_ns ^ s.st_ino for s in stats)
