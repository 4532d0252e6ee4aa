"""Tests of the directory: what it makes of records."""

from carawaystair.membership import directory as directories
from carawaystair.membership import messages
from carawaystair.membership import table as tables
from carawaystair import timeline
from test import fakes
from test import test_membership_spread as spread


def row(name, service='stock', incarnation=1, sequence=1, state=0):
    """Return a made-up row."""
    address = '127.0.0.1:9000'
    return messages.Row(
        name, service, address, 4, 500, 1500, state, incarnation, sequence
    )


class Fixture:
    """A directory over a table, and what it told."""

    def __init__(self):
        self.table = tables.Table('me')
        self.timeline = timeline.Timeline('me')
        self.directory = directories.Directory(self.table, self.timeline)
        self.told = []
        self.directory.subscribe(
            lambda u: self.told.append((u.id, u.host, u.state))
        )

    def put(self, host, sequence, *rows, **kwargs):
        """Take in a record."""
        self.table.put(spread.make_record(host, 1, sequence, rows, **kwargs))

    def ids(self, service='stock'):
        """Return ids and hosts of a service."""
        return [(u.id, u.host) for u in self.directory.upstreams(service)]


def run(steps):
    """Run the steps of a test with a fixture, in virtual time."""

    async def _run():
        steps(Fixture())

    fakes.run(_run())


def test_changes_are_told_and_lookups_follow():
    def _steps(it):
        it.put('h1', 1, row('a'), row('b', 'parts'))
        found = it.directory.upstreams('stock')
        assert (found[0].weight, found[0].warmup_s) == (0.5, 1.5)
        assert it.ids() == [('a', 'h1')]
        it.put('h2', 1, row('c'))
        assert it.ids() == [('a', 'h1'), ('c', 'h2')]
        it.put('h1', 2, row('a', state=1, sequence=2))
        assert it.told == [
            ('a', 'h1', 'up'),
            ('b', 'h1', 'up'),
            ('c', 'h2', 'up'),
            ('b', 'h1', 'gone'),
            ('a', 'h1', 'draining'),
        ]
        assert it.directory.services() == ('stock',)
        assert it.ids('parts') == []

    run(_steps)


def test_upstreams_of_the_dead_are_hidden_and_come_back():
    def _steps(it):
        it.put('h1', 1, row('a'))
        assert it.ids() == [('a', 'h1')]
        it.table.hear('h1', messages.SUSPECT, messages.first_incarnation(1))
        assert it.ids() == [('a', 'h1')]
        it.table.hear('h1', messages.DEAD, messages.first_incarnation(1))
        assert it.ids() == []
        it.put('h1', 2, row('a'), row('b'))
        assert it.ids() == []
        it.table.hear('h1', messages.ALIVE, messages.first_incarnation(1) + 1)
        assert it.ids() == [('a', 'h1'), ('b', 'h1')]
        states = [state for _id, _host, state in it.told]
        assert states == ['up', 'gone', 'up', 'up']

    run(_steps)


def test_a_restart_does_not_bring_the_old_upstreams_back():
    """A process crashes, is declared dead and starts anew.

    Symptom: for a moment upstreams that it knew before are listed as up.
    Sequence: it answers a probe before its new record has arrived.  Cause:
    the new process is taken for the old one, refuting its death.
    """

    def _steps(it):
        it.put('h1', 1, row('a'))
        it.table.hear('h1', messages.DEAD, messages.first_incarnation(1))
        assert not it.table.hear(
            'h1', messages.ALIVE, messages.first_incarnation(2)
        )
        assert it.ids() == []
        it.table.put(spread.make_record('h1', 2, 0, (row('b'),)))
        assert it.ids() == [('b', 'h1')]

    run(_steps)


def test_an_upstream_that_moves_is_listed_once():
    """An upstream moves to another host before the old one is found dead.

    Symptom: it is listed twice and gets twice the work; or it is listed no
    more when the old host's record goes.  Sequence: host lost, upstream
    started elsewhere under the same id, old host declared dead.  Cause: ids
    taken as unique while they are not.
    """

    def _steps(it):
        it.put('h1', 1, row('a', incarnation=1))
        assert it.ids() == [('a', 'h1')]
        it.put('h2', 1, row('a', incarnation=2))
        assert it.ids() == [('a', 'h2')]
        it.table.hear('h1', messages.DEAD, messages.first_incarnation(1))
        assert it.ids() == [('a', 'h2')]
        assert it.told[-1] == ('a', 'h2', 'up')
        it.put('h2', 2)
        assert it.ids() == []
        assert it.told[-1] == ('a', 'h2', 'gone')

    run(_steps)


def test_events_are_kept_for_services_in_use_only():
    def _steps(it):
        it.put('h1', 1, row('a'))
        it.directory.using('stock')
        it.put('h1', 2, row('a'), row('b'), row('c', 'parts'))
        events = [(e.kind, e.upstream) for e in it.timeline.ring]
        assert events == [('upstream-up', 'b')]

    run(_steps)


def test_an_unknown_service_leaves_nothing_behind():
    def _steps(it):
        for number in range(100):
            assert it.directory.upstreams('no-%d' % number) == ()
        assert len(it.directory.cache) == 0

    run(_steps)


def test_no_more_hosts_than_fit(monkeypatch):
    """A peer makes up hosts without end.

    Symptom: the process runs out of memory.  Sequence: records of ever new
    hosts.  Cause: the table takes all.
    """
    monkeypatch.setattr(tables, 'MAX_HOSTS', 10)

    def _steps(it):
        for number in range(20):
            it.put('h%d' % number, 1)
        assert len(it.table.entries) == 10
        assert it.table.refused == 10

    run(_steps)
