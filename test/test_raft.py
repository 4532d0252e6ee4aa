"""Tests of the replicated log: one failure each."""

import asyncio
import errno

import pytest

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import changing
from carawaystair.control import interfaces
from carawaystair.control import journal as journals
from carawaystair.control import log as log_module
from carawaystair.control import messages
from carawaystair.control import recover
from carawaystair.control import replica as replicas
from carawaystair.control import state as states
from test import control_fakes


def others(group, *hosts):
    return [host for host in group.hosts if host not in hosts]


def peers(*hosts):
    return [host.seat.peer for host in hosts]


@pytest.mark.parametrize('size', [1, 3, 5])
def test_entries_are_applied_everywhere(size):
    @control_fakes.group_run(size)
    async def _test(group):
        for number in range(20):
            version = await group.propose(b'%d' % number)
        await group.settle(version.index)
        wanted = [b'%d' % number for number in range(20)]
        assert all(h.machine.entries == wanted for h in group.hosts)

    _test()


@control_fakes.group_run(3)
async def test_restart_of_all_keeps_everything(group):
    """All control hosts lose power at once.

    Symptom: an accepted change is gone.  Sequence: a change is answered,
    all hosts lose power and start again.  Cause: something was answered
    before it was synced.
    """
    versions = [await group.propose(b'%d' % n) for n in range(5)]
    await group.restart()
    version = await group.propose(b'last')
    assert version > versions[-1]
    await group.settle(version.index)
    wanted = [b'%d' % n for n in range(5)] + [b'last']
    assert all(h.machine.entries == wanted for h in group.hosts)


@pytest.mark.parametrize('size', [3, 5])
@pytest.mark.parametrize('seed', range(6))
def test_leader_stands_soon_after_all_started_again(size, seed):
    """All processes of a fleet were killed and back within half a second,
    but callers got 503 for 1.5 s more: each node waits until a quorum vouches
    for its configuration, and a leader was there only 1.0 to 1.5 s after the
    last control host had started. Each had behaved as if it had heard a
    leader in that moment, and stood a whole election timeout later.

        33.416  the last of five control hosts has started
        34.929  raft: Leads.
    """

    @control_fakes.group_run(size, seed=seed)
    async def _test(group):
        await group.propose(b'x')
        for host in group.up():
            await host.crash()
        await asyncio.sleep(0.3)
        await group.start()
        began = clock.now()
        await group.leader()
        assert clock.now() - began < 0.8

    _test()


@pytest.mark.parametrize('seed', range(6))
def test_follower_that_starts_again_does_not_disturb_the_leader(seed):
    """It knows of no leader when it starts; the one that lives is heard
    before it may stand or vote for another.
    """

    @control_fakes.group_run(3, seed=seed)
    async def _test(group):
        await group.propose(b'x')
        leader = await group.leader()
        term = leader.replica.shared.term
        for _time in range(3):
            for host in others(group, leader):
                await host.crash()
                await asyncio.sleep(0.1)
                await host.start()
                await asyncio.sleep(1.5)
        assert group.leaders() == [leader]
        assert leader.replica.shared.term == term

    _test()


@control_fakes.group_run(5)
async def test_cut_off_leader_steps_down_and_does_not_disturb(group):
    """The leader is cut off for long and then returns.

    Symptom: it accepts changes that are lost, says it is current, or stops
    the group at its return.  Sequence: cut, new leader, changes, heal.
    Cause: no check of the quorum; a term that grew while it stood for
    election alone.
    """
    old = await group.leader()
    await group.propose(b'before')
    group.network.cut(peers(old), peers(*others(group, old)))
    lost = asyncio.ensure_future(old.replica.propose(b'lost'))
    assert (await old.replica.read_index()).is_error()
    await asyncio.sleep(4.0)
    assert (await lost).error.code == codes.OUTCOME_UNKNOWN
    refused = await old.replica.propose(b'lost too')
    assert refused.error.code == codes.NOT_LEADER
    assert (await old.replica.read_index()).is_error()
    version = await group.propose(b'after')
    term = old.replica.shared.term
    await asyncio.sleep(100.0)
    status = old.replica.status()
    assert status.stale_s > 100 and status.role == interfaces.FOLLOWER
    assert old.replica.shared.term == term
    new = await group.leader()
    group.network.heal()
    await group.settle(version.index)
    await asyncio.sleep(5.0)
    assert (await group.leader()) is new
    assert new.replica.shared.term == version.term
    assert old.machine.entries == [b'before', b'after']
    assert old.replica.status().stale_s < 1.0


@control_fakes.group_run(3)
async def test_one_way_cut_of_the_leader(group):
    """The leader is heard, but hears nobody.

    Symptom: nothing is accepted, for ever.  Sequence: messages to the
    leader are lost, its heartbeats arrive.  Cause: followers stay loyal to
    a leader that can't commit.
    """
    old = await group.leader()
    group.network.cut(peers(*others(group, old)), peers(old), both=False)
    version = await group.propose(b'x', within_s=10.0)
    assert version.term > 2


@pytest.mark.parametrize('all_cut', [True, False])
def test_follower_that_hears_no_leader_does_not_disturb(all_cut):
    """A follower can send but hears nothing, or hears all but the leader.

    Symptom: leaders fall again and again.  Sequence: messages to one
    follower are lost; it stands for election in ever newer terms.  Cause:
    no pre-vote, or voters that leave a leader whom they hear.
    """

    @control_fakes.group_run(3)
    async def _test(group):
        leader = await group.leader()
        deaf = others(group, leader)[0]
        term = leader.replica.shared.term
        sources = others(group, deaf) if all_cut else [leader]
        group.network.cut(peers(*sources), peers(deaf), both=False)
        await asyncio.sleep(60.0)
        assert (await group.leader()) is leader
        assert leader.replica.shared.term == term

    _test()


@control_fakes.group_run(3)
async def test_lost_disk_comes_back_as_a_learner(group):
    """A host loses its disk, and a second host goes right after.

    Symptom: an accepted change is gone.  Sequence: a change is acknowledged
    by A and B only; B's disk is lost; A goes down; B, empty, and C elect
    each other.  Cause: B votes under an identity whose promises it forgot.
    """
    leader = await group.leader()
    lost, behind = others(group, leader)
    await behind.crash()
    await group.propose(b'kept')
    await lost.crash()
    await leader.crash()
    lost.lose_disk()
    await lost.start()
    await behind.start()
    await asyncio.sleep(30.0)
    assert not group.leaders()
    assert lost.replica.status().role == interfaces.LEARNER
    await leader.start()
    version = await group.propose(b'more')
    await group.settle(version.index)
    await asyncio.sleep(5.0)
    assert lost.machine.entries == [b'kept', b'more']
    assert lost.replica.status().role != interfaces.LEARNER
    await leader.crash()
    await group.propose(b'again')


@control_fakes.group_run(3)
async def test_all_disks_but_one_lost_does_not_found_anew(group):
    """Two disks are lost while the third host is down.

    Symptom: the fleet goes back to an empty configuration.  Sequence: two
    empty hosts meet.  Cause: a majority of empty hosts founds a group.
    """
    await group.propose(b'kept')
    for host in group.hosts:
        await host.crash()
    for host in group.hosts[:2]:
        host.lose_disk()
        await host.start()
    await asyncio.sleep(60.0)
    assert not group.leaders()
    assert all(host.replica.shared.log.last_index == 0 for host in group.up())


@pytest.mark.parametrize('leader_there', [True, False])
def test_stale_copy_gives_up_its_identity(leader_there):
    """A disk is restored from a backup.

    Symptom: an accepted change is gone, or two leaders win one term.
    Sequence: a backup of B; changes that B acknowledges; B is restored and
    votes, while the leader that saw the acknowledgement may be gone.
    Cause: B votes although its disk lacks what it acknowledged.
    """

    @control_fakes.group_run(3)
    async def _test(group):
        leader = await group.leader()
        restored = others(group, leader)[0]
        backup = restored.folder.copy()
        identity = restored.replica.shared.identity
        await group.propose(b'kept')
        await asyncio.sleep(1.0)
        await restored.crash()
        restored.folder.restore(backup)
        if not leader_there:
            await leader.crash()
        await restored.start()
        await asyncio.sleep(5.0)
        assert restored.replica.shared.identity != identity
        assert restored.folder.folders() == ['set-aside-1']
        kinds = [kind for _t, _n, kind, _text in group.oracle.events]
        assert 'control-stale-copy' in kinds
        assert bool(group.leaders()) == leader_there
        if not leader_there:
            await leader.start()
        version = await group.propose(b'more')
        await group.settle(version.index)
        assert restored.machine.entries == [b'kept', b'more']

    _test()


@control_fakes.group_run(3)
async def test_corrupt_disk_is_set_aside(group):
    """A bit flips on the disk of one host.

    Symptom: it serves or spreads a damaged change.  Sequence: a flip in the
    middle of the log, a restart.  Cause: rows are not checked.
    """
    for number in range(5):
        await group.propose(b'%d' % number)
    host = others(group, await group.leader())[0]
    await host.crash()
    host.folder.flip(journals.segment_name(1), 120)
    await host.start()
    version = await group.propose(b'more')
    await group.settle(version.index)
    assert host.folder.folders() == ['set-aside-1']
    assert host.machine.entries == [*(b'%d' % n for n in range(5)), b'more']


@pytest.mark.parametrize('call', ['sync', 'append'])
def test_leader_with_a_failed_disk_steps_aside(call):
    """The disk of the leader fails.

    Symptom: nothing is accepted although two sound hosts are there.
    Sequence: a sync fails; heartbeats go on.  Cause: the leader leads on.
    """

    @control_fakes.group_run(3)
    async def _test(group):
        leader = await group.leader()
        leader.folder.errors[call] = errno.EIO
        await leader.replica.propose(b'x')
        status = leader.replica.status()
        assert status.role == interfaces.FAILED
        assert status.failure.code == codes.STORAGE_FAILED
        refused = await leader.replica.propose(b'y')
        assert refused.error.code == codes.STORAGE_FAILED
        assert (await group.leader()) is not leader
        await group.propose(b'z')

    _test()


FULL = {'append': errno.ENOSPC, 'replace': errno.ENOSPC}


@pytest.mark.parametrize('seed', range(10))
def test_hosts_whose_disks_were_full_return_by_themselves(seed):
    """Guards against a group that has no quorum until hosts are restarted."""

    @control_fakes.group_run(3, seed=seed)
    async def _test(group):
        leader = await group.leader()
        await group.propose(b'before')
        for host in (leader, others(group, leader)[0]):
            host.folder.errors.update(FULL)
            await host.replica.propose(b'x')
            await asyncio.sleep(2)
        await asyncio.sleep(20)
        for host in group.hosts:
            host.folder.errors.clear()
        version = await group.propose(b'after', within_s=10)
        await group.settle(version.index)
        assert not any(h.replica.status().failure for h in group.hosts)

    _test()


@control_fakes.group_run(3)
async def test_host_that_starts_on_a_full_disk_returns_by_itself(group):
    """Guards against a host that stays out if started on a full disk."""
    version = await group.propose(b'before')
    host = others(group, await group.leader())[0]
    await host.crash()
    host.folder.errors.update(FULL)
    await host.start()
    await asyncio.sleep(10)
    assert host.replica.status().role == interfaces.FAILED
    host.folder.errors.clear()
    version = await group.propose(b'after')
    await group.settle(version.index)
    assert host.replica.status().failure is None


@control_fakes.group_run(3)
async def test_follower_far_behind_gets_a_snapshot(group):
    """A host is away for longer than the log reaches back."""
    group.limits = states.Limits(compact_entries=20, keep_entries=5)
    await group.restart()
    away = others(group, await group.leader())[0]
    await away.crash()
    for number in range(100):
        version = await group.propose(b'%d' % number)
    leader = await group.leader()
    assert leader.replica.shared.log.base_index > 50
    await away.start()
    await group.settle(version.index)
    assert away.machine.entries == leader.machine.entries
    await away.crash()
    await away.start()
    version = await group.propose(b'more')
    await group.settle(version.index)
    assert away.machine.entries == leader.machine.entries


@control_fakes.group_run(3)
async def test_members_change_one_at_a_time(group):
    leader = await group.leader()
    new = control_fakes.Host(
        group, replicas.joining.Seat('host-9', '127.0.0.1:30009')
    )
    group.hosts.append(new)
    await new.start()
    change = messages.MemberChange(changing.ADD, 'host-9', '127.0.0.1:30009')
    first, second = await asyncio.gather(
        leader.replica.change(change),
        leader.replica.change(
            messages.MemberChange(changing.REMOVE, 'host-0')
        ),
    )
    assert [first.is_ok(), second.is_ok()].count(True) == 1
    await asyncio.sleep(1.0)
    if first.is_error():
        assert first.error.code == codes.VOTERS_BUSY
        leader = await group.leader()
        assert (await leader.replica.change(change)).is_ok()
    promote = messages.MemberChange(changing.PROMOTE, 'host-9')
    group.network.cut(peers(new), peers(*others(group, new)))
    await asyncio.sleep(2.0)
    refused = await leader.replica.change(promote)
    assert refused.error.code == codes.VOTER_UNFIT
    group.network.heal()
    version = await group.propose(b'x')
    await new.replica.applying.reach(version.index)
    await asyncio.sleep(0.5)
    assert (await leader.replica.change(promote)).is_ok()
    assert new.replica.status().role != interfaces.LEARNER


@control_fakes.group_run(5)
async def test_return_that_was_never_committed_is_asked_for_again(group):
    """A host with a new disk is taken back by a leader that is replaced.

    Symptom: the host follows nobody and has no vote, for ever.  Sequence:
    the leader and the host are cut off; the leader takes it back, which
    cannot be committed; a new leader goes on sending to the lost identity.
    Cause: the host believes its own log that it is a member.
    """
    leader = await group.leader()
    back = others(group, leader)[0]
    await back.crash()
    back.lose_disk()
    rest = others(group, leader, back)
    # The leader hears the lost identity no more, and is sure of a quorum.
    await asyncio.sleep(1.2)
    group.network.cut(peers(leader, back), peers(*rest))
    await back.start()
    await asyncio.sleep(3.0)
    shared = back.replica.shared
    assert shared.group.find(shared.identity) is not None
    version = await group.propose(b'x')
    assert not rest[0].replica.shared.group.find(shared.identity)
    group.network.heal()
    await group.settle(version.index)
    await asyncio.sleep(3.0)
    assert rest[0].replica.shared.group.votes(shared.identity)


@control_fakes.group_run(3)
async def test_planned_stop_hands_the_lead_over(group):
    """A leader is stopped as planned; nobody waits for a timeout."""
    leader = await group.leader()
    await group.propose(b'x')
    await asyncio.sleep(1.0)
    began = clock.now()
    replica, leader.replica = leader.replica, None
    await replica.stop()
    group.network.remove(leader.seat.peer)
    await group.leader()
    assert clock.now() - began < group.timing.election_s / 2


@control_fakes.group_run(3)
async def test_foreign_group_is_not_followed(group):
    """A wrong address in the settings joins two groups.

    Symptom: hosts of one group take the log of another.  Sequence: a leader
    of another group with a newer term sends to this one.  Cause: messages
    do not say which group they belong to.
    """
    version = await group.propose(b'mine')
    await group.settle(version.index)
    stranger = group.network.transport('127.0.0.1:39999')
    entry = log_module.Entry(99, 1, log_module.CHANGE, b'theirs')
    for host in group.hosts:
        message = messages.Append('other', 99, 'x', 0, 0, 1, (entry,))
        stranger.send(host.seat.peer, message)
    await asyncio.sleep(1.0)
    assert (await group.leader()).replica.shared.term == version.term


@control_fakes.group_run(3)
async def test_last_host_goes_on_alone_when_told_to(group):
    """Two of three disks are lost for good; the last host is recovered."""
    version = await group.propose(b'kept')
    await group.settle(version.index)
    for host in group.hosts:
        await host.crash()
    last = group.hosts[2]
    failure = await recover.recover(
        last.folder, control_fakes.Disk(group.random), *last.seat
    )
    assert failure is None
    await last.start()
    newer = await group.propose(b'more')
    assert newer > version and newer.term > 1000
    assert last.machine.entries == [b'kept', b'more']
    back = group.hosts[0]
    back.lose_disk()
    await back.start()
    add = messages.MemberChange(changing.ADD, *back.seat)
    await asyncio.sleep(1.0)
    assert (await last.replica.change(add)).is_ok()
    await asyncio.sleep(2.0)
    promote = messages.MemberChange(changing.PROMOTE, back.seat.name)
    assert (await last.replica.change(promote)).is_ok()
    version = await group.propose(b'again')
    await group.settle(version.index)
    assert back.machine.entries == [b'kept', b'more', b'again']
