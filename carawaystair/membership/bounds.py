"""What the content of records must keep to, whoever wrote it.

The host that announces an upstream checks what it says.  Records come from
any process that speaks for a host, of another version or faulty.

Symptom without this: one row with a state that no upstream has ends the
taking in of a whole batch of records, each time that it comes; slots of 0
end each request of its service; a number beyond 64 bits can't be sent on.
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
# Numbers travel in 64 bits; one bit is left for what compares them.
MOST_NUMBER = (1 << 63) - 1
# The start of a process stands in the upper bits of its liveness: a time in
# ms since 1970, as far as the year 6429.
REFUTATION_BITS = 16
MOST_START = MOST_NUMBER >> REFUTATION_BITS

# Gateways stand behind many rows, and records are read again and again.
address_ok = functools.lru_cache(8192)(settings_rules.address_ok)


def name_ok(name: str) -> bool:
    """Tell whether a name can be told to others."""
    if not 0 < len(name) <= MAX_NAME:
        return False
    try:
        name.encode()
    except UnicodeEncodeError:
        # Half of a surrogate pair: encoding it would fail at every send.
        return False
    return True


def number_ok(number: int) -> bool:
    """Tell whether a number that only grows may travel."""
    return 0 <= number <= MOST_NUMBER


def start_ok(incarnation: int) -> bool:
    """Tell whether the incarnation of a process is one."""
    return 0 <= incarnation <= MOST_START


def row_ok(row: typing.Any) -> bool:
    """Tell whether a ``messages.Row`` names an upstream to use."""
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


def body_ok(body: typing.Any) -> bool:
    """Tell whether a ``messages.Body`` says where its host is."""
    return (
        name_ok(body.data_centre)
        and name_ok(body.region)
        and address_ok(body.peer)
        and address_ok(body.gossip)
    )


def record_ok(record: typing.Any) -> bool:
    """Tell whether a ``messages.Record`` may be kept and passed on."""
    return (
        name_ok(record.host)
        and start_ok(record.incarnation)
        and number_ok(record.sequence)
    )
