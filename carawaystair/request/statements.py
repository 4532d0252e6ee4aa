"""What an upstream states about itself in the headers of its answers."""

import re
import typing

from carawaystair.request import headers
from carawaystair import settings

# A decimal number without sign, exponent or infinity.
DECIMAL = re.compile(rb'[0-9]+(\.[0-9]*)?|\.[0-9]+')
MAX_LENGTH = 32
LEAVING = b'1'
# Characters of a malformed value that are logged.
MAX_SHOWN = 40


class Statement(typing.NamedTuple):
    """What one answer states.

    :param limit: requests a second that the upstream takes from the whole
        fleet; None if it states none.
    :param leaving: whether it is about to leave.
    :param has_malformed: whether a value could not be read.
    :param malformed: these values, cut to some length.
    """

    limit: float | None = None
    leaving: bool = False
    has_malformed: bool = False
    malformed: str = ''


NOTHING = Statement()


def parse(raw: headers.Raw, names: settings.Headers) -> Statement:
    """Parse the headers of an answer.

    Of several limits the least counts.  A malformed value counts as not
    stated, and does not end what an earlier answer stated: neither does the
    upstream lose its protection, nor the service its upstream.

    :param raw: names and values of the headers.
    :param names: the names in use.
    """
    limits = _values(raw, names.limit)
    leaving = _values(raw, names.leaving)
    if not limits and not leaving:
        return NOTHING
    read = [_rate(value) for value in limits]
    bad = [v for v, rate in zip(limits, read, strict=True) if rate is None]
    bad += [value for value in leaving if value not in (LEAVING, b'0')]
    return Statement(
        min((rate for rate in read if rate is not None), default=None),
        LEAVING in leaving,
        bool(bad),
        b', '.join(bad)[:MAX_SHOWN].decode('ascii', 'backslashreplace'),
    )


def shown(limit: float | None) -> float:
    """Return a limit as it stands in logs, -1 for none."""
    return -1.0 if limit is None else limit


def _values(raw: headers.Raw, name: str) -> list[bytes]:
    """Return the values of a header, which may be repeated or a list."""
    wanted = name.lower().encode()
    return [
        value.strip()
        for key, line in raw
        if key.lower() == wanted
        for value in line.split(b',')
    ]


def _rate(value: bytes) -> float | None:
    if len(value) > MAX_LENGTH or not DECIMAL.fullmatch(value):
        return None
    return float(value)
