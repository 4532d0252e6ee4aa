"""Elections: when to stand, whom to vote for.

Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote
(9.6) and with followers that keep to a leader whom they hear (4.2.3), so
that a host which returns from a partition doesn't disturb the term.
"""

import asyncio
import math

import expression

from carawaystair import clock
from carawaystair.control import group as groups
from carawaystair.control import interfaces
from carawaystair.control import leading as leading_module
from carawaystair.control import messages
from carawaystair.control import state as states
from carawaystair.control import state_files
from carawaystair import logs

LOG = logs.get('raft')

# Replicas that start stand within this part of an election timeout, and so
# often before they wait for whole ones: their disks may be slow.
FIRST_SPREAD = 0.25
FIRST_TRIES = 3


class Election:
    """The part of a replica that votes and stands.

    :param state: what the parts share.
    :param leading: takes over once an election is won.
    """

    def __init__(
        self, state: states.State, leading: leading_module.Leading
    ) -> None:
        self.state = state
        self.leading = leading
        # When this replica last stood or gave its vote away, and how often
        # it waited for a leader since it started.
        self.tried = -math.inf
        self.tries = 0
        state.transport.handle(messages.Vote, self.on_vote)
        state.transport.handle(messages.Handover, self.on_handover)

    async def run(self) -> None:
        """Stand for election whenever no leader is heard."""
        await self.state.proven_event.wait()
        if self.state.alone():
            await self._stand()
        timeout = self._timeout()
        while True:
            due = max(self.state.heard, self.tried) + timeout
            wait = due - clock.now()
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            if self._may_stand():
                await self._stand()
            self.tried = clock.now()
            timeout = self._timeout()

    def _timeout(self) -> float:
        """Return how long to wait for a leader, in seconds.

        A replica that has heard of none since it started waits less: there
        is nothing to be given up, and a vote takes some milliseconds.
        """
        state = self.state
        least = state.timing.election_s
        if state.leader_known or self.tries >= FIRST_TRIES:
            return state.rng.uniform(least, 2 * least)
        self.tries += 1
        if self.tries == 1:
            return state.rng.uniform(least, (1 + FIRST_SPREAD) * least)
        return state.rng.uniform(FIRST_SPREAD, 2 * FIRST_SPREAD) * least

    def _may_stand(self) -> bool:
        state = self.state
        return (
            state.proven
            and state.failure is None
            and state.role != interfaces.LEADER
            and state.group.votes(state.identity)
        )

    async def _stand(self, handover: bool = False) -> None:
        """Stand for election in the next term."""
        state = self.state
        if not handover and not await self._ask(state.term + 1, trial=True):
            return
        late = state.leader_is_fresh() and not handover
        if late or not self._may_stand():
            return
        term = state.term + 1
        state.role = interfaces.CANDIDATE
        state.leader = ''
        state.store.put_hard(term, state.identity)
        won = await state.store.flush() and await self._ask(
            term, trial=False, handover=handover
        )
        still = state.term == term and state.role == interfaces.CANDIDATE
        if won and still and state.failure is None:
            self.leading.begin()
        elif still:
            state.role = interfaces.FOLLOWER

    async def _ask(
        self, term: int, trial: bool, handover: bool = False
    ) -> bool:
        """Ask all voters; tell whether a majority would follow."""
        state = self.state
        group = state.group
        question = messages.Vote(
            group.id,
            term,
            state.identity,
            state.log.last_term,
            state.log.last_index,
            trial,
            handover,
        )
        before = state.term
        granted = {state.identity}
        tasks = [
            asyncio.ensure_future(self._ask_one(voter.peer, question))
            for voter in group.voters()
            if voter.identity != state.identity
        ]
        waiting = set(tasks)
        try:
            while waiting and len(granted) < group.quorum():
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in filter(done.__contains__, tasks):
                    self._count(task.result(), group, granted, trial)
                if state.term != before:
                    return False
        finally:
            for task in waiting:
                task.cancel()
        return len(granted) >= group.quorum()

    async def _ask_one(
        self, peer: str, question: messages.Vote
    ) -> expression.Result:
        timeout = self.state.timing.call_s
        return await self.state.transport.call(peer, question, timeout)

    def _count(
        self,
        result: expression.Result,
        group: groups.Group,
        granted: set[str],
        trial: bool,
    ) -> None:
        answer = result.default_value(None)
        # A vote counts for an identity, not for an address: a host whose
        # disk was lost answers at the old address but forgot its vote.
        if answer is None or not group.votes(answer.identity):
            return
        if answer.granted and not trial:
            # Only a real vote was synced before it was given.
            known = state_files.Known(answer.term)
            self.state.store.learn(answer.identity, known)
        if answer.granted:
            granted.add(answer.identity)
        elif answer.term > self.state.term:
            self.state.observe(answer.term)

    async def on_vote(
        self, _sender: str, vote: messages.Vote
    ) -> messages.VoteAnswer | None:
        """Answer a candidate."""
        state = self.state
        if not state.ready or not state.proven:
            return None
        if state.foreign(vote.group):
            return None
        loyal = state.leader_is_fresh() and not vote.handover
        if loyal or vote.term < state.term:
            return messages.VoteAnswer(state.term, state.identity, False)
        mine = (state.log.last_term, state.log.last_index)
        complete = (vote.last_term, vote.last_index) >= mine
        free = vote.term > state.term or state.store.vote in (
            '',
            vote.identity,
        )
        granted = complete and free
        if vote.trial:
            return messages.VoteAnswer(state.term, state.identity, granted)
        return await self._vote(vote, granted)

    async def _vote(
        self, vote: messages.Vote, granted: bool
    ) -> messages.VoteAnswer | None:
        """Vote, and answer only once that is on disk.

        A vote that was forgotten in a crash could be given twice in one
        term, which would let two leaders win it.
        """
        state = self.state
        state.store.learn(vote.identity, state_files.Known(vote.term))
        state.observe(vote.term)
        if granted:
            self.tried = clock.now()
            if state.store.vote != vote.identity:
                state.store.put_hard(vote.term, vote.identity)
        if not await state.store.flush():
            return None
        changed = granted and state.store.vote != vote.identity
        if state.term != vote.term or changed:
            return None
        return messages.VoteAnswer(vote.term, state.identity, granted)

    async def on_handover(
        self, _sender: str, message: messages.Handover
    ) -> None:
        """Stand at once: the leader is about to stop."""
        state = self.state
        right = message.term == state.term and message.leader == state.leader
        if right and self._may_stand():
            self.tried = clock.now()
            await self._stand(handover=True)
