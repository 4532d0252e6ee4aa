"""Tests of the directory that is built from records."""

from carawaystair.membership import directory as directories
from carawaystair.membership import messages
from carawaystair.membership import table as tables
from carawaystair import timeline
from test import fakes
from test import test_membership_spread as spread


def row(name, service='stock', incarnation=1, sequence=1, state=0):
    """Return a row with the given fields and defaults for the others."""
    address = '127.0.0.1:9000'
    return messages.Row(
        name, service, address, 4, 500, 1500, state, incarnation, sequence
    )


class Fixture:
    """A directory on a table, and the notifications of its subscriber.

    :ivar told: id, host and state of each upstream in a notification.
    """

    def __init__(self):
        self.table = tables.Table('me')
        self.timeline = timeline.Timeline('me')
        self.directory = directories.Directory(self.table, self.timeline)
        self.told = []
        self.directory.subscribe(
            lambda u: self.told.append((u.id, u.host, u.state))
        )

    def put(self, host, sequence, *rows, **kwargs):
        """Store a record with the given rows in the table."""
        self.table.put(spread.make_record(host, 1, sequence, rows, **kwargs))

    def ids(self, service='stock'):
        """Return id and host of each upstream of a service."""
        return [(u.id, u.host) for u in self.directory.upstreams(service)]


def run(steps):
    """Run the steps of a test with a new fixture, in virtual time."""

    async def _run():
        steps(Fixture())

    fakes.run(_run())


def test_changes_are_notified_and_listed():
    def _steps(fixture):
        fixture.put('h1', 1, row('a'), row('b', 'parts'))
        found = fixture.directory.upstreams('stock')
        assert (found[0].weight, found[0].warmup_s) == (0.5, 1.5)
        assert fixture.ids() == [('a', 'h1')]
        fixture.put('h2', 1, row('c'))
        assert fixture.ids() == [('a', 'h1'), ('c', 'h2')]
        fixture.put('h1', 2, row('a', state=1, sequence=2))
        assert fixture.told == [
            ('a', 'h1', 'up'),
            ('b', 'h1', 'up'),
            ('c', 'h2', 'up'),
            ('b', 'h1', 'gone'),
            ('a', 'h1', 'draining'),
        ]
        assert fixture.directory.services() == ('stock',)
        assert fixture.ids('parts') == []

    run(_steps)


def test_upstreams_of_dead_hosts_are_not_listed_until_they_are_alive():
    def _steps(fixture):
        fixture.put('h1', 1, row('a'))
        assert fixture.ids() == [('a', 'h1')]
        fixture.table.apply_liveness(
            'h1', messages.SUSPECT, messages.first_incarnation(1)
        )
        assert fixture.ids() == [('a', 'h1')]
        fixture.table.apply_liveness(
            'h1', messages.DEAD, messages.first_incarnation(1)
        )
        assert fixture.ids() == []
        fixture.put('h1', 2, row('a'), row('b'))
        assert fixture.ids() == []
        fixture.table.apply_liveness(
            'h1', messages.ALIVE, messages.first_incarnation(1) + 1
        )
        assert fixture.ids() == [('a', 'h1'), ('b', 'h1')]
        states = [state for _id, _host, state in fixture.told]
        assert states == ['up', 'gone', 'up', 'up']

    run(_steps)


def test_upstreams_of_the_old_process_are_not_listed_after_a_restart():
    """A process crashes, is declared dead and is restarted.

    It answers a probe before its new record has arrived.  If that were taken
    for a refutation by the old process, the upstreams in the old record would
    be listed as up for a moment.
    """

    def _steps(fixture):
        fixture.put('h1', 1, row('a'))
        fixture.table.apply_liveness(
            'h1', messages.DEAD, messages.first_incarnation(1)
        )
        assert not fixture.table.apply_liveness(
            'h1', messages.ALIVE, messages.first_incarnation(2)
        )
        assert fixture.ids() == []
        fixture.table.put(spread.make_record('h1', 2, 0, (row('b'),)))
        assert fixture.ids() == [('b', 'h1')]

    run(_steps)


def test_an_upstream_that_moves_is_listed_once():
    """An upstream moves to another host before the old one is declared dead.

    The host is lost, the upstream is started on another one under the same
    id, and then the old host is declared dead.  If ids were assumed to be
    unique, the upstream would be listed twice and get twice the requests, or
    it would no longer be listed after the old host's record is removed.
    """

    def _steps(fixture):
        fixture.put('h1', 1, row('a', incarnation=1))
        assert fixture.ids() == [('a', 'h1')]
        fixture.put('h2', 1, row('a', incarnation=2))
        assert fixture.ids() == [('a', 'h2')]
        fixture.table.apply_liveness(
            'h1', messages.DEAD, messages.first_incarnation(1)
        )
        assert fixture.ids() == [('a', 'h2')]
        assert fixture.told[-1] == ('a', 'h2', 'up')
        fixture.put('h2', 2)
        assert fixture.ids() == []
        assert fixture.told[-1] == ('a', 'h2', 'gone')

    run(_steps)


def test_events_are_recorded_for_services_in_use_only():
    def _steps(fixture):
        fixture.put('h1', 1, row('a'))
        fixture.directory.mark_in_use('stock')
        fixture.put('h1', 2, row('a'), row('b'), row('c', 'parts'))
        events = [(e.kind, e.upstream) for e in fixture.timeline.ring]
        assert events == [('upstream-up', 'b')]

    run(_steps)


def test_lookups_of_unknown_services_are_not_cached():
    def _steps(fixture):
        for number in range(100):
            assert fixture.directory.upstreams('no-%d' % number) == ()
        assert len(fixture.directory.cache) == 0

    run(_steps)


def test_the_number_of_hosts_is_limited(monkeypatch):
    """A peer sends records of ever more invented hosts.

    If the table stored all of them, the process would run out of memory.
    """
    monkeypatch.setattr(tables, 'MAX_HOSTS', 10)

    def _steps(fixture):
        for number in range(20):
            fixture.put('h%d' % number, 1)
        assert len(fixture.table.entries) == 10
        assert fixture.table.refused_records == 10

    run(_steps)
