"""Exhaustive checks of the rules of votes and of changes of the members."""

import asyncio
import itertools
import random
import types

from carawaystair.control import election
from carawaystair.control import following
from carawaystair.control import group as groups
from carawaystair.control import leading
from carawaystair.control import log as log_module
from carawaystair.control import messages
from carawaystair.control import recovery
from carawaystair.control import state as states
from carawaystair.control import store as stores
from test import control_fakes
from test import fakes

NAMES = 'abcde'


def group_of(names) -> groups.Group:
    members = [groups.Member(name, name, name) for name in names]
    return groups.Group('g', tuple(members))


def majorities(names):
    need = group_of(names).quorum()
    return [
        set(some)
        for count in range(need, len(names) + 1)
        for some in itertools.combinations(names, count)
    ]


def test_each_step_of_the_members_keeps_majorities_in_touch():
    """Two leaders in one term, each with a majority of another set.

    Checked for every pair of voter sets of up to five hosts: a step that is
    allowed leaves no two majorities without a common member; every larger
    step that could is refused.
    """
    sets = [
        frozenset(some)
        for count in range(1, len(NAMES) + 1)
        for some in itertools.combinations(NAMES, count)
    ]
    seen = {True: 0, False: 0}
    for old, new in itertools.product(sets, sets):
        allowed = groups.one_step(group_of(old), group_of(new))
        apart = any(
            not (one & other)
            for one in majorities(sorted(old))
            for other in majorities(sorted(new))
        )
        assert not (allowed and apart), (old, new)
        seen[allowed] += 1
    assert min(seen.values()) > 100
    assert not groups.one_step(group_of('a'), group_of(''))


class Voter:
    """A voter by itself, with a log of given terms."""

    def __init__(self, term: int, vote: str, terms: tuple[int, ...]) -> None:
        rng = random.Random(1)
        disk = control_fakes.Disk(rng, 0.0)
        folder = control_fakes.Folder(rng)
        self.store = stores.Store('me', folder, disk, rng)
        transport = fakes.Network().transport('127.0.0.1:1')
        self.state = states.State(transport, self.store, None, rng)
        lead = leading.Leading(self.state, lambda _task: None)
        self.election = election.Election(self.state, lead)
        self.given = (term, vote, terms)

    async def open(self) -> None:
        term, vote, terms = self.given
        await self.store.open()
        self.writer = asyncio.create_task(self.store.write())
        for index, entry_term in enumerate(terms, 1):
            entry = log_module.Entry(entry_term, index, log_module.NOOP)
            self.store.put_entry(entry)
        self.store.put_hard(term, vote)
        await self.store.flush()
        self.state.proven_event.set()
        self.state.heard = -1000.0

    async def ask(self, question: messages.Vote) -> bool:
        answer = await self.election.on_vote('', question)
        return answer is not None and answer.granted


class Follower(Voter):
    """A follower by itself; keeps what it answers."""

    def __init__(self, term: int, terms: tuple[int, ...]) -> None:
        super().__init__(term, '', terms)
        self.following = following.Following(self.state)
        self.answers: list[messages.Appended] = []
        self.state.transport.send = lambda _to, m: self.answers.append(m)

    async def append(self, term, prev_term, prev_index, commit) -> None:
        message = messages.Append(
            '', term, 'leader', prev_term, prev_index, commit
        )
        await self.following.on_append('127.0.0.1:9', message)


def test_commit_stops_where_the_logs_were_compared():
    """A follower commits an entry that the leader does not have.

    Symptom: a change is in force that nobody accepted.  Sequence: a heartbeat
    agrees at entry 2 and tells that 3 is committed; the follower's own entry
    3 is of an older branch.  Cause: the commit index is taken as it comes.
    """

    async def _main():
        follower = Follower(1, (1, 1, 1))
        await follower.open()
        await follower.append(2, 1, 2, 3)
        assert follower.answers[-1].ok and follower.state.commit == 2

    fakes.run(_main())


def test_answer_of_an_older_term_is_not_sent_in_a_newer_one():
    """The term changes while entries are being synced.

    Symptom: a leader counts entries that are not like its own.  Sequence: an
    append is being synced, a newer term comes, the answer goes out with it.
    Cause: the term is not looked at again after the sync.
    """

    async def _main():
        follower = Follower(1, (1,))
        await follower.open()
        follower.store.disk.delay_s = 1.0
        sync = asyncio.ensure_future(follower.append(2, 1, 1, 0))
        await asyncio.sleep(0)
        follower.state.observe(3)
        await sync
        assert follower.answers == []

    fakes.run(_main())


def test_what_a_member_said_before_it_started_again_counts_no_more():
    """A follower loses what it never synced.

    Symptom: an entry counts as committed that is on no majority.  Sequence:
    a follower's disk goes back a little and its process starts again.
    Cause: the leader remembers the old answer.
    """

    async def _main():
        leader = Follower(1, (1, 1, 1))
        await leader.open()
        lead = leading.Leading(leader.state, lambda task: task.close())
        leader.store.log.groups = [(0, group_of(('x', 'y', 'z')))]
        leader.state.role = 'leader'
        lead.others.reconfigure()
        for start, match, expected in ((1, 3, 3), (2, 1, 1), (1, 3, 1)):
            answer = messages.Appended(1, 'y', start, True, match, match)
            await lead.others.on_appended('', answer)
            assert lead.others.peers['y'].match == expected

    fakes.run(_main())


LOGS = [(), (1,), (1, 1), (1, 2), (2,), (2, 2)]


def test_votes_of_every_small_state():
    """A vote is given twice in a term, or to a log that lacks entries.

    Every voter with a term up to 2, any vote and any log of up to two
    entries is asked by two candidates, of any terms up to 3 and any logs.
    """

    async def _main():
        count = 0
        asks = list(itertools.product((1, 2, 3), LOGS))
        for term, vote, log in itertools.product((1, 2), ('', 'x'), LOGS):
            if log and log[-1] > term:
                continue
            for first, second in itertools.product(asks, asks):
                count += await _pair(term, vote, log, first, second)
        return count

    async def _pair(term, vote, log, first, second) -> int:
        voter = Voter(term, vote, log)
        await voter.open()
        given = {term: vote} if vote else {}
        for name, (asked, other) in zip('xy', (first, second), strict=True):
            last = (other[-1] if other else 0, len(other))
            question = messages.Vote('g', asked, name, *last)
            if not await voter.ask(question):
                continue
            assert last >= (log[-1] if log else 0, len(log))
            assert given.setdefault(asked, name) == name
            voter.store.files.crash()
            kept = recovery.read(voter.store.files).journal.hard
            assert (kept.term, kept.data.decode()) == (asked, name)
        voter.writer.cancel()
        return 1

    assert fakes.run(_main()) > 1000


def test_commit_rule_of_every_small_state():
    """An entry counts as committed though another leader can undo it.

    For every match of three and five voters and each place where the
    leader's term begins: what is committed is on a majority, and is of the
    leader's term (Ongaro 2014, 3.6.2).
    """
    for size in (3, 5):
        names = NAMES[:size]
        for first, *matches in itertools.product(
            range(1, 5), *[range(4)] * size
        ):
            _commit(names, first, matches)


def _commit(names, first, matches) -> None:
    """Check one state; entries from ``first`` on are of the leader's term."""
    group = group_of(names)
    log = log_module.Log(group=group)
    for index in (1, 2, 3):
        term = 2 if index >= first else 1
        log.append(log_module.Entry(term, index, log_module.NOOP))
    state = types.SimpleNamespace(
        identity='a', group=group, log=log, term=2, commit=0
    )
    state.advance = lambda index: setattr(state, 'commit', index)
    state.transport = fakes.Network().transport('127.0.0.1:1')
    state.step_down_callbacks = []
    lead = leading.Leading(state, None)
    lead.own_match = matches[0]
    for name, match in zip(names[1:], matches[1:], strict=True):
        lead.others.peers[name] = types.SimpleNamespace(
            match=match, rouse=lambda: None
        )
    lead.commit()
    have = sum(match >= state.commit for match in matches)
    assert have >= group.quorum()
    assert state.commit == 0 or state.commit >= first
    best = sorted(matches, reverse=True)[group.quorum() - 1]
    assert state.commit == (best if best >= first else 0)
