"""Decides which connection makes room for a new one.

The load it answers: more clients than there is room for, most of which open a
connection and never finish a request.  If new connections were refused
instead, these would keep everybody else out.

The least useful goes first: one that has had no answer yet, and of those the
one that has waited for longest; only then one that is idle between requests.
A connection whose request is being answered stays, and so does one that has
only just been opened or answered.
"""

import typing

# A connection may be closed when it has had no request for this time after it
# was opened, or after its last answer, seconds.
OPENED_S = 1.0
IDLE_S = 10.0


class Connection(typing.Protocol):
    """What the decision knows of a connection."""

    @property
    def busy(self) -> bool:
        """Return whether a whole request is being answered."""

    @property
    def served(self) -> bool:
        """Return whether it has been of use before."""

    @property
    def waiting_since(self) -> float:
        """Return since when it has been open or idle, monotonic time."""


Candidate = typing.TypeVar('Candidate', bound=Connection)


def _may_go(one: Connection, now: float) -> bool:
    wait_s = IDLE_S if one.served else OPENED_S
    return not one.busy and now - one.waiting_since >= wait_s


def least_useful(
    connections: typing.Iterable[Candidate], now: float
) -> Candidate | None:
    """Return the connection to close; None when all have to stay."""
    return min(
        (one for one in connections if _may_go(one, now)),
        key=lambda one: (one.served, one.waiting_since),
        default=None,
    )
