"""Upstreams that start again under the id that they had: the fleet's view.

A lifetime of an upstream is told by its incarnation.  The newer one counts,
whatever the numbers that its announcements bear, and whichever comes first.
"""

import asyncio

import pytest

from carawaystair import clock
from carawaystair import codes
from carawaystair.membership import registry as registries
from test import fakes
from test import test_directory as directories
from test import test_membership as membership_tests

SAID = registries.Announcement('stock', '127.0.0.1:9000', 4)
GATEWAY = '127.0.0.1:7000'


class Host:
    """The registry of one host, and what it told."""

    def __init__(self, lease_s=6.0):
        self.urgent = []
        self.told = []
        self.registry = registries.Registry(
            lease_s, self.urgent.append, GATEWAY
        )
        self.registry.callbacks.append(self.told.append)

    def say(self, incarnation, number=0, name='a', **changes):
        """Announce an upstream; return whether it was taken."""
        said = SAID._replace(incarnation=incarnation, **changes)
        return self.registry.announce(name, said, 77, number)

    def listed(self):
        """Return the lives that this host announces."""
        return [(row.id, row.incarnation) for row in self.registry.rows()]


def run(steps):
    """Run the steps of a test with one host, in virtual time."""

    async def _run():
        steps(Host())

    fakes.run(_run())


def old(result):
    """Tell whether an announcement was refused as an old one."""
    return result.is_error() and result.error.code is codes.ANNOUNCEMENT_OLD


# At the host


def test_new_life_counts_from_the_start_again():
    """Symptom: an upstream that started again is refused for as long as its
    former life had lasted.
    Sequence: a life announces itself a hundred times, crashes, and its
    successor under the same id begins to count at one.
    Cause: the highest number of an id was kept beyond the life it is of.
    """

    def _steps(host):
        host.say(5, 100)
        assert host.say(9, 1).is_ok()
        assert host.listed() == [('a', 9)]
        assert host.say(9, 2).is_ok()
        assert old(host.say(9, 1))

    run(_steps)


@pytest.mark.parametrize('state', ['up', 'draining', 'gone'])
def test_late_word_of_a_former_life_changes_nothing(state):
    """Symptom: an upstream that has just started drains or is gone.
    Sequence: its former life says something that a cut holds up, crashes,
    the new life registers, the cut heals.
    Cause: the last word to arrive wins.
    """

    def _steps(host):
        host.say(5, 100)
        host.say(9, 1, slots=2, warmup_s=3.0)
        before = host.registry.rows()
        assert old(host.say(5, 101, state=state))
        assert host.registry.remove('a', 5).is_error()
        assert host.registry.rows() == before
        assert host.say(9, 2, slots=2, warmup_s=3.0).is_ok()

    run(_steps)


def test_drain_of_a_life_binds_that_life_alone():
    """Symptom: an upstream gets no work after its start, or work although it
    drains.
    Sequence: a life drains or leaves, the next one is up; that one drains,
    and a late word of the former life says that it is up.
    Cause: the state is taken for the id's and not for the life's.
    """

    def _steps(host):
        host.say(5, 3, state='draining')
        assert host.say(9, 1).is_ok()
        assert host.registry.rows()[0].state == 0
        assert host.say(9, 2, state='draining').is_ok()
        assert old(host.say(5, 4))
        assert old(host.say(9, 1))
        assert host.registry.rows()[0].state == 1
        assert host.registry.remove('a', 9).is_ok()
        assert host.say(12, 1).is_ok()
        assert host.listed() == [('a', 12)]

    run(_steps)


def test_former_life_stays_over_after_the_new_one_has_left():
    """Symptom: an upstream that left twice is listed again.
    Sequence: two lives, the second leaves and its lease would be over; then
    an announcement of the first arrives.
    Cause: what is known of a life ended with its lease.
    """

    def _steps(host):
        host.say(5, 100)
        host.say(9, 1)
        host.registry.remove('a', 9)
        assert old(host.say(5, 101))
        host.registry.expire(clock.now() + 6.1, 0.0)
        assert old(host.say(5, 101))
        assert old(host.say(9, 1))
        assert host.listed() == []

    run(_steps)


def test_leave_that_overtakes_its_own_heartbeats_holds():
    """Symptom: an upstream that has left is listed for a lease.
    Sequence: a life says little, leaves, and its heartbeats arrive after
    that, by the same host.
    Cause: the leave of what is not listed was forgotten at once.
    """

    def _steps(host):
        host.say(5, 100)
        assert host.registry.remove('a', 9).is_ok()
        assert host.listed() == []
        assert old(host.say(9, 1))
        assert old(host.say(5, 101))
        assert host.registry.remove('b', 9).is_ok()
        assert old(host.say(9, 1, name='b'))
        assert host.say(10, 1, name='b').is_ok()

    run(_steps)


def test_leave_that_names_no_life_holds_for_a_lease():
    """Symptom: an upstream that runs gets no work for half a minute.
    Sequence: its former life leaves without naming itself, that is held up,
    the new life registers, the leave arrives.
    Cause: whoever said it, it was remembered as if the new life had.
    """

    def _steps(host):
        host.say(9, 1)
        assert host.registry.remove('a').is_ok()
        assert old(host.say(9, 2))
        host.registry.expire(clock.now() + 6.1, 0.0)
        assert host.say(9, 3).is_ok()

    run(_steps)


def test_late_word_does_not_end_the_successor_at_its_address():
    """Symptom: a new upstream is gone for some seconds after its start.
    Sequence: a life is cut off and crashes, another id registers at its
    address, then the held up announcement arrives.
    Cause: whoever spoke last at an address was taken for its owner.
    """

    def _steps(host):
        host.say(5, 100, name='old')
        host.say(9, 1, name='new')
        assert host.listed() == [('new', 9)]
        assert old(host.say(5, 101, name='old'))
        assert host.listed() == [('new', 9)]

    run(_steps)


def test_upstream_that_was_late_goes_on_in_its_life():
    """Symptom: what runs at an upstream is broken off by its own heartbeat.
    Sequence: its heartbeats bear no lifetime; one comes after its lease.
    Cause: it was taken for one that started again.
    """

    def _steps(host):
        host.say(0, 5)
        host.registry.expire(clock.now() + 6.1, 0.0)
        assert host.listed() == []
        assert host.registry.announce('a', SAID, 9000, 6).is_ok()
        assert host.listed() == [('a', 77)]
        host.registry.remove('a')
        host.registry.expire(clock.now() + 12.2, 0.0)
        assert host.registry.announce('a', SAID, 9000, 7).is_ok()
        assert host.listed() == [('a', 9000)]

    run(_steps)


def test_new_life_is_told_to_the_parts_of_its_host():
    def _steps(host):
        host.say(5, 100)
        host.say(9, 1)
        assert host.told == ['a', 'a']

    run(_steps)


def test_lives_that_are_remembered_are_bounded():
    """Symptom: the memory of a process grows with each id ever heard.
    Sequence: another writer leaves under ever new ids.
    Cause: each is remembered.
    """

    def _steps(host):
        for number in range(3 * registries.MAX_UPSTREAMS):
            host.registry.remove('u%d' % number, 5)
        assert (
            len(host.registry.lifetimes.by_id) <= 2 * registries.MAX_UPSTREAMS
        )

    run(_steps)


# At the directory


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
@pytest.mark.parametrize('used', [True, False])
def test_newer_life_stands_whichever_record_comes_first(order, used):
    """Symptom: parts of a process hold an upstream for its former life.
    Sequence: two hosts announce one id; the record of the former life comes
    first or last, or changes while the new one stands.
    Cause: each row that changed was told as if it stood.
    """

    def _steps(it):
        told = []
        it.directory.subscribe(
            lambda u: told.append((u.host, u.incarnation, u.state))
        )
        if used:
            it.put('h0', 1, directories.row('z'))
            it.directory.upstreams('stock')
        records = (
            ('h1', 1, directories.row('a', incarnation=5, sequence=40)),
            ('h2', 1, directories.row('a', incarnation=9, sequence=1)),
        )
        for number in order:
            it.put(*records[number])
        assert ('a', 'h2') in it.ids()
        assert ('a', 'h1') not in it.ids()
        told.clear()
        late = directories.row('a', incarnation=5, sequence=41, state=1)
        it.put('h1', 2, late)
        it.put('h1', 3)
        assert told == []
        assert ('a', 'h2') in it.ids()

    directories.run(_steps)


# Across the fleet


def lives(node, service='stock'):
    """Return where and in which life a node lists upstreams."""
    return {
        u.id: (u.host, u.incarnation, u.state)
        for u in node.directory.upstreams(service)
    }


async def agreed(nodes, expected, limit_s=3.0):
    """Wait until all nodes list the same."""
    until = clock.now() + limit_s
    while any(lives(node) != expected for node in nodes):
        assert clock.now() < until, [lives(node) for node in nodes]
        await asyncio.sleep(0.05)


def test_fleet_follows_the_new_life_at_its_host():
    """Symptom: nodes send work that may run once on connections of a life
    that has ended.
    Sequence: the upstream starts again, its count anew; a late announcement
    of its former life follows.
    Cause: the new life was refused as old.
    """

    async def _run():
        nodes = await membership_tests.start_fleet(fakes.Network(), 4)
        host = nodes[1].identity.host

        def say(incarnation, number):
            said = SAID._replace(incarnation=incarnation)
            return nodes[1].registry.announce('a', said, 1, number)

        say(5, 100)
        await agreed(nodes, {'a': (host, 5, 'up')})
        assert say(9, 1).is_ok()
        await agreed(nodes, {'a': (host, 9, 'up')}, 1.5)
        assert old(say(5, 101))
        await asyncio.sleep(1.5)
        assert all(lives(node) == {'a': (host, 9, 'up')} for node in nodes)

    fakes.run(_run())


@pytest.mark.parametrize('first', [5, 9])
def test_newer_life_stands_across_hosts(first):
    """Symptom: an upstream that moved is listed at its former host, or gone
    when that host gives it up.
    Sequence: an id is announced at two hosts, in either order, the former
    life drains and leaves.
    Cause: the host that speaks last is believed.
    """

    async def _run():
        nodes = await membership_tests.start_fleet(fakes.Network(), 4)
        there = {5: nodes[1], 9: nodes[2]}
        for incarnation in (first, 14 - first):
            membership_tests.announce(
                there[incarnation], 'a', incarnation=incarnation
            )
            await asyncio.sleep(1.5)
        stands = {'a': (nodes[2].identity.host, 9, 'up')}
        await agreed(nodes, stands)
        told = []
        nodes[0].directory.subscribe(told.append)
        membership_tests.announce(nodes[1], 'a', 'draining', incarnation=5)
        nodes[1].registry.remove('a', 5)
        await asyncio.sleep(1.5)
        assert [lives(node) for node in nodes] == [stands] * 4
        assert [u for u in told if u.incarnation != 9] == []

    fakes.run(_run())


def test_word_of_a_former_life_by_another_host_is_refused():
    """Symptom: a host acknowledges an upstream that is over.
    Sequence: the new life stands at one host, a late announcement of the
    former life reaches another one.
    Cause: a host knew only what it was told itself.
    """

    async def _run():
        nodes = await membership_tests.start_fleet(fakes.Network(), 4)
        membership_tests.announce(nodes[2], 'a', incarnation=9)
        stands = {'a': (nodes[2].identity.host, 9, 'up')}
        await agreed(nodes, stands)
        assert old(membership_tests.announce(nodes[3], 'a', incarnation=5))
        assert nodes[3].registry.rows() == ()
        assert membership_tests.announce(nodes[2], 'a', incarnation=9).is_ok()
        assert [lives(node) for node in nodes] == [stands] * 4

    fakes.run(_run())


def test_host_lets_go_of_a_life_that_goes_on_elsewhere():
    """Symptom: a host renews a lease of an upstream that has moved.
    Sequence: the former life stands, the new one registers elsewhere, late
    announcements of the former one still come.
    Cause: as above.
    """

    async def _run():
        nodes = await membership_tests.start_fleet(fakes.Network(), 4)
        membership_tests.announce(nodes[1], 'a', incarnation=5)
        await asyncio.sleep(1.5)
        membership_tests.announce(nodes[2], 'a', incarnation=9)
        await agreed(nodes, {'a': (nodes[2].identity.host, 9, 'up')})
        await asyncio.sleep(1.0)
        assert nodes[1].registry.rows() == ()
        assert old(membership_tests.announce(nodes[1], 'a', incarnation=5))

    fakes.run(_run())


def test_newer_life_stands_when_a_cut_heals():
    """Symptom: after a partition, part of the fleet sends work to a life that
    is over.
    Sequence: a host with the former life is cut off, the new life registers
    on the other side, the former one drains behind the cut, the cut heals.
    Cause: the record that travels last wins.
    """

    async def _run():
        network = fakes.Network()
        nodes = await membership_tests.start_fleet(network, 6)
        membership_tests.announce(nodes[1], 'a', incarnation=5)
        await agreed(nodes, {'a': (nodes[1].identity.host, 5, 'up')})
        cut = [nodes[1].identity.peer]
        rest = [n.identity.peer for n in nodes if n is not nodes[1]]
        network.cut(cut, rest)
        await asyncio.sleep(20.0)
        membership_tests.announce(nodes[2], 'a', incarnation=9)
        membership_tests.announce(nodes[1], 'a', 'draining', incarnation=5)
        await asyncio.sleep(2.0)
        network.heal()
        stands = {'a': (nodes[2].identity.host, 9, 'up')}
        await agreed(nodes, stands, 120.0)
        await asyncio.sleep(5.0)
        assert [lives(node) for node in nodes] == [stands] * 6

    fakes.run(_run())
