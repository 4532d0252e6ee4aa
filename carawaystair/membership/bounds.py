"""Limits on the content of records, and checks against them.

The host of an upstream validates its announcement.  Records, however, may
come from a process that has another version or is faulty, so they are
validated by every receiver.

Without these checks, one row with an unknown state would abort the processing
of its whole batch of records each time it arrives; a row with 0 slots would
fail each request of its service; a number of more than 64 bits could not be
forwarded.
"""

import functools
import typing

from carawaystair import settings_rules

MAX_NAME = 128
MAX_SLOTS = 100_000
MAX_WEIGHT = 1000.0
MAX_WARMUP_S = 3600.0
MILLI = 1000
STATES = 2
DEPARTURE_STATES = 2
MAX_CONTROL_HOSTS = 32
# Longest time for which a departure is remembered, ms.
MAX_REMAINING_MS = 3_600_000
# Numbers are encoded in 64 bits; one bit is kept free for comparisons.
MAX_NUMBER = (1 << 63) - 1
# The incarnation in liveness messages holds the start of the process, in ms
# since 1970, in its upper bits and the number of refutations in the lower
# ones.  This leaves enough bits for start times up to the year 6429.
REFUTATION_BITS = 16
MAX_PROCESS_INCARNATION = MAX_NUMBER >> REFUTATION_BITS

# Cached, because the address of a gateway is in many rows and records are
# decoded repeatedly.
address_ok = functools.lru_cache(8192)(settings_rules.address_ok)


def name_ok(name: str) -> bool:
    """Tell whether a name has a valid length and can be encoded."""
    if not 0 < len(name) <= MAX_NAME:
        return False
    try:
        name.encode()
    except UnicodeEncodeError:
        # A lone surrogate, which would fail to encode at every send.
        return False
    return True


def number_ok(number: int) -> bool:
    """Tell whether a sequence or incarnation is within the limit."""
    return 0 <= number <= MAX_NUMBER


def process_incarnation_ok(incarnation: int) -> bool:
    """Tell whether the start time of a process is within the limit."""
    return 0 <= incarnation <= MAX_PROCESS_INCARNATION


def row_ok(row: typing.Any) -> bool:
    """Tell whether a ``messages.Row`` describes a valid upstream."""
    return (
        name_ok(row.id)
        and name_ok(row.service)
        and address_ok(row.address)
        and 0 < row.slots <= MAX_SLOTS
        and 0 < row.weight <= MAX_WEIGHT * MILLI
        and 0 <= row.warmup_ms <= MAX_WARMUP_S * MILLI
        and 0 <= row.state < STATES
        and number_ok(row.incarnation)
        and number_ok(row.sequence)
    )


def departure_ok(departure: typing.Any) -> bool:
    """Tell whether a ``messages.Departure`` is valid."""
    return (
        name_ok(departure.id)
        and number_ok(departure.incarnation)
        and 0 <= departure.state < DEPARTURE_STATES
        and 0 < departure.remaining_ms <= MAX_REMAINING_MS
    )


def group_ok(peers: typing.Sequence[str], index: int) -> bool:
    """Tell whether a control group that another process named is valid."""
    return (
        number_ok(index)
        and len(peers) <= MAX_CONTROL_HOSTS
        and all(map(address_ok, peers))
    )


def body_ok(body: typing.Any) -> bool:
    """Tell whether a ``messages.Body`` has valid locations and addresses."""
    return (
        name_ok(body.data_centre)
        and name_ok(body.region)
        and address_ok(body.peer)
        and address_ok(body.gossip)
    )


def record_ok(record: typing.Any) -> bool:
    """Tell whether a ``messages.Record`` may be stored and forwarded."""
    return (
        name_ok(record.host)
        and process_incarnation_ok(record.incarnation)
        and number_ok(record.sequence)
    )
