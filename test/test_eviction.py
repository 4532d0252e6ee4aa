"""Which connection makes room for a new one."""

import typing

from carawaystair.load import eviction

NOW = 100.0


class Connection(typing.NamedTuple):
    """A connection as the decision sees it."""

    waiting_since: float
    served: bool = False
    busy: bool = False


def test_oldest_without_an_answer_goes_first():
    """Guards against a crowd of connections that ask for nothing."""
    idle = Connection(NOW - 60.0, served=True)
    old, young = Connection(NOW - 5.0), Connection(NOW - 2.0)
    assert eviction.least_useful([idle, young, old], NOW) is old


def test_idle_connection_goes_before_a_new_one_is_refused():
    """Guards against idle callers that keep out new ones."""
    idle = Connection(NOW - 60.0, served=True)
    other = Connection(NOW - 30.0, served=True)
    assert eviction.least_useful([other, idle], NOW) is idle


def test_connections_in_use_stay():
    """Guards against crowds that end what is being answered, or used."""
    stay = [
        Connection(NOW - 60.0, busy=True),
        Connection(NOW - 60.0, served=True, busy=True),
        Connection(NOW - 0.5),
        Connection(NOW - 5.0, served=True),
    ]
    assert eviction.least_useful(stay, NOW) is None
