"""Tests of submissions: the decisions, and over a group of control hosts."""

import asyncio

import hypothesis
from hypothesis import strategies

from carawaystair import codes
from carawaystair.control import interfaces
from carawaystair.control import submissions
from carawaystair.control import versions
from carawaystair import manifest as manifests
from carawaystair import rows
from test import control_fakes
from test import control_group

Version = rows.Version
group_run = control_fakes.group_run


def change(machine, name: str, wanted: rows.Table, parent=None, content=b''):
    """Return an encoded change of a machine's table."""
    delta = rows.difference(machine.table, wanted, rows.NONE, rows.NONE)
    parent = machine.digest if parent is None else parent
    return submissions.encode(
        submissions.Change(
            name,
            'ops',
            interfaces.SUBMIT,
            0,
            content or delta.digest,
            parent,
            delta.digest,
            delta.put,
            delta.drop,
        )
    )


def apply(machine, index: int, entry: bytes) -> submissions.Answer:
    answer = machine.apply(Version(1, index), entry)
    return submissions.decode_answer(answer)


def table(**items: bytes) -> rows.Table:
    return {'customer/' + key: value for key, value in items.items()}


# Decisions


def test_equal_parent_has_one_winner_and_the_loser_is_told():
    """Two operators build on the same version.

    Symptom: one change silently undoes the other.  Sequence: both submit
    with the same parent.  Cause: the parent is not compared in the log.
    """
    machine = submissions.Submissions()
    apply(machine, 1, change(machine, 'base', table(a=b'1')))
    first = change(machine, 'one', table(a=b'1', b=b'1'))
    second = change(machine, 'two', table(a=b'1', c=b'1'))
    won = apply(machine, 2, first)
    lost = apply(machine, 3, second)
    assert (won.code, won.version) == (0, Version(1, 2))
    assert lost.code == codes.CONFLICT.number
    assert lost.version == Version(1, 2) and lost.digest == machine.digest
    assert 'version 1.2 by ops' in lost.detail
    assert machine.table == table(a=b'1', b=b'1')


def test_id_keeps_its_answer():
    """An id comes again, later, and with other content.

    Symptom: a change is made twice, or an operator is told that content
    which nobody accepted is in force.  Sequence: accepted, others after it,
    the same id again.  Cause: only the content or only the id is compared.
    """
    machine = submissions.Submissions()
    first = change(machine, 'one', table(a=b'1'))
    won = apply(machine, 1, first)
    lost = change(machine, 'lost', table(a=b'7'), parent=b'other')
    refused = apply(machine, 2, lost)
    assert refused.code == codes.CONFLICT.number
    apply(machine, 3, change(machine, 'two', table(a=b'2')))
    assert apply(machine, 4, first) == won
    assert apply(machine, 5, lost) == refused
    other = change(machine, 'one', table(a=b'9'))
    assert apply(machine, 6, other).code == codes.ID_REUSED.number
    assert machine.table == table(a=b'2')
    # A refused id may come back, built on the version in force.
    again = change(machine, 'lost', table(a=b'7'), content=b'other parent')
    assert apply(machine, 7, again).version == Version(1, 7)


def test_content_in_force_is_no_conflict():
    machine = submissions.Submissions()
    apply(machine, 1, change(machine, 'one', table(a=b'1')))
    same = change(machine, 'two', table(a=b'1'), parent=b'')
    answer = apply(machine, 2, same)
    assert (answer.code, answer.version) == (0, Version(1, 1))
    assert machine.version == Version(1, 1)


def test_change_computed_on_another_table_is_refused():
    """The table moves away and back while a change is under way.

    Symptom: rows of two versions are mixed.  Sequence: a change is computed
    on one table and decided on another whose digest fits its parent.
    Cause: the digest of the result is not compared.
    """
    machine = submissions.Submissions()
    apply(machine, 1, change(machine, 'one', table(a=b'1')))
    entry = submissions.decode(change(machine, 'two', table(b=b'1')))
    partial = submissions.encode(entry._replace(drop=()))
    assert apply(machine, 2, partial).code == codes.CONFLICT.number
    assert machine.table == table(a=b'1')


def test_malformed_entry_stops_nobody():
    machine = submissions.Submissions()
    for entry in (b'', b'p', b'pxx', b'zxx', b'\xff'):
        answer = apply(machine, 1, entry)
        assert answer.code == codes.MESSAGE_MALFORMED.number
    assert len(machine.answers) <= 1


def test_answers_are_bounded_and_outlive_a_snapshot():
    machine = submissions.Submissions(max_answers=10)
    for index in range(1, 30):
        entry = change(machine, str(index), table(a=b'%d' % index))
        apply(machine, index, entry)
    copy = submissions.Submissions(max_answers=10)
    copy.restore(machine.snapshot())
    assert copy.answers == machine.answers and len(copy.answers) == 10
    assert copy.table == machine.table and copy.version == machine.version
    assert copy.versions.delta(Version(1, 20)) is not None
    assert copy.snapshot() == machine.snapshot()


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.dictionaries(
            strategies.sampled_from('abcd'),
            strategies.sampled_from([b'1', b'2']),
        ),
        max_size=12,
    )
)
def test_deltas_and_ways_back_lead_where_they_say(tables):
    machine = submissions.Submissions()
    at = {}
    for index, wanted in enumerate(tables, 1):
        wanted = table(**wanted, base=b'0')
        apply(machine, index, change(machine, str(index), wanted))
        at[machine.version] = wanted
        assert machine.digest == rows.digest(wanted)
    for version, old in at.items():
        delta = machine.versions.delta(version)
        if version == machine.version:
            assert delta is None
            continue
        assert rows.apply(old, delta) == machine.table
        assert delta.digest == machine.digest
        put, drop, digest = machine.versions.back(version)
        back = rows.Delta(rows.NONE, rows.NONE, put, drop, digest)
        assert rows.apply(machine.table, back) == old
        assert digest == rows.digest(old)


def test_history_is_bounded_in_number_and_bytes():
    record = interfaces.Record(
        Version(1, 1), rows.NONE, b'', 'x', 'ops', 'submit', 0, 1, 0
    )
    kept = versions.Versions(max_records=10, max_bytes=1000)
    for index in range(1, 30):
        put = (('k', bytes(300)),)
        made = record._replace(
            version=Version(1, index), base=Version(1, index - 1)
        )
        kept.add(versions.Step(made, put, (), (), ()))
    assert len(kept.records(100)) == 10 and kept.size <= 1000
    assert kept.delta(Version(1, 28)) is not None
    assert kept.delta(Version(1, 22)) is None
    assert [r.version.index for r in kept.records(2)] == [29, 28]


# Over a group


@group_run(3, control_group.Group)
async def test_any_host_takes_a_submission(group):
    await group.leader()
    parent = b''
    for number, host in enumerate(group.hosts):
        customers = {'c%d' % number: 1}
        result = await group.submit(str(number), parent, host, **customers)
        assert host.part.version() == result.ok.version
        assert host.current() == customers
        parent = result.ok.digest
    records = group.hosts[0].part.history()
    assert [record.id for record in records] == ['2', '1', '0']
    known = await group.hosts[0].part.answer('1')
    assert known.ok.version == records[1].version
    missing = await group.hosts[0].part.answer('9')
    assert missing.error.code == codes.SUBMISSION_UNKNOWN
    preview = await group.hosts[1].part.preview(control_group.manifest(b=1))
    assert preview.ok.drop == ('customer/c2',)


@group_run(3, control_group.Group)
async def test_lost_answer_is_the_same_after_failover(group):
    """The leader dies before it answers.

    Symptom: a pipeline is told "conflict" by its own change.  Sequence: a
    submission is committed, the leader dies, the same id is sent to another
    host; other changes came between.  Cause: answers live in the leader.
    """
    leader = await group.leader()
    follower = next(h for h in group.hosts if h is not leader)
    parent = (await group.accept('base', b'', a=1)).digest
    waiting = asyncio.ensure_future(
        group.submit('mine', parent, follower, a=2)
    )
    while not any('mine' in h.machine.answers for h in group.hosts):
        await asyncio.sleep(0.0005)
    await leader.crash()
    answered = (await waiting).ok
    await group.accept('other', answered.digest, a=3)
    again = await group.accept('mine', parent, a=2)
    assert again == answered
    assert follower.current() == {'a': 3}


@group_run(3, control_group.Group)
async def test_question_during_an_election_is_answered_after_it(group):
    """Guards against orders that are answered 503 while a leader is chosen."""
    first = await group.hosts[1].part.answer('none')
    await (await group.leader()).crash()
    second = await group.up()[0].part.answer('none')
    unknown = codes.SUBMISSION_UNKNOWN
    assert (first.error.code, second.error.code) == (unknown, unknown)


@group_run(5, control_group.Group)
async def test_racing_operators(group):
    """Five operators submit at once, each at another host, again and again.

    Symptom: two are told that they won, or all lose.  Sequence: equal
    parents, messages cross.  Cause: a host decides by itself.
    """
    await group.leader()
    parent = b''
    for turn in range(1, 6):
        results = await asyncio.gather(
            *(
                group.submit('%d-%d' % (turn, n), parent, host, a=turn, b=n)
                for n, host in enumerate(group.hosts, 1)
            )
        )
        won = [result.ok for result in results if result.is_ok()]
        lost = [result.error for result in results if result.is_error()]
        assert len(won) == 1
        assert {refusal.code for refusal in lost} == {codes.CONFLICT}
        assert {refusal.version for refusal in lost} == {won[0].version}
        parent = won[0].digest


@group_run(3, control_group.Group)
async def test_host_without_quorum_accepts_nothing(group):
    """A host is cut off.

    Symptom: it accepts a change, or calls an old version current.
    Sequence: cut, a change elsewhere, a read and a submission here.  Cause:
    answers from its own table.
    """
    first = await group.accept('base', b'', a=1)
    leader = await group.leader()
    rest = [host.seat.peer for host in group.hosts if host is not leader]
    group.network.cut([leader.seat.peer], rest)
    waiting = asyncio.ensure_future(
        group.submit('lost', first.digest, leader, a=2)
    )
    refusal = (await waiting).error
    assert refusal.code == codes.OUTCOME_UNKNOWN
    other = next(host for host in group.hosts if host is not leader)
    won = (await group.submit('other', first.digest, other, a=3)).ok
    current = await leader.part.current()
    assert current.error.code == codes.NOT_LEADER
    assert leader.part.status().stale_s > 5.0
    group.network.heal()
    await asyncio.sleep(3.0)
    assert (await leader.part.current()).ok == won.version
    assert leader.current() == {'a': 3}


@group_run(3, control_group.Group)
async def test_whole_manifest_is_checked_before_it_is_proposed(group):
    await group.leader()
    host = group.hosts[0]
    before = host.replica.shared.log.last_index
    wrong = interfaces.Submission('x', 'ops', b'', b'{"format": 2, "naem": 1}')
    refusal = (await host.part.submit(wrong)).error
    assert refusal.code == codes.MANIFEST_INVALID
    assert len(refusal.mistakes) > 2
    assert host.replica.shared.log.last_index == before


@group_run(3, control_group.Group)
async def test_rollback_is_a_new_version(group):
    first = await group.accept('one', b'', a=1, b=1)
    second = await group.accept('two', first.digest, a=2)
    host = group.hosts[0]
    wanted = interfaces.Rollback('back', 'ops', second.digest, first.version)
    back = (await host.part.rollback(wanted)).ok
    assert back.version > second.version and back.digest == first.digest
    assert host.current() == {'a': 1, 'b': 1}
    assert (await host.part.rollback(wanted)).ok == back
    assert host.part.history()[0].kind == interfaces.ROLLBACK
    unknown = wanted._replace(id='x', to=Version(9, 9))
    refusal = (await host.part.rollback(unknown)).error
    assert refusal.code == codes.VERSION_UNKNOWN


@group_run(3, control_group.Group)
async def test_many_reads_share_a_round(group):
    await group.accept('one', b'', a=1)
    host = next(h for h in group.hosts if h is not group.leaders()[0])
    before = host.part.confirming.rounds
    results = await asyncio.gather(
        *(host.part.current() for _reader in range(500))
    )
    assert all(result.ok == host.part.version() for result in results)
    assert host.part.confirming.rounds - before <= 2


@group_run(1, control_group.Group)
async def test_change_at_the_size_on_paper(group):
    """84,000 customers arrive in one change and come back from disk."""
    read = manifests.read(control_group.manifest()).ok
    customers = {
        'c%d' % n: manifests.Customer(n % 9 + 1) for n in range(84000)
    }
    wanted = rows.from_manifest(read._replace(customers=customers))
    machine = submissions.Submissions()
    entry = change(machine, 'all', wanted)
    assert len(entry) < submissions.MAX_ENTRY_BYTES
    await group.leader()
    result = await group.hosts[0].replica.propose(entry)
    assert submissions.decode_answer(result.ok[1]).code == 0
    await group.restart()
    await group.leader()
    assert group.hosts[0].part.digest() == rows.digest(wanted)
