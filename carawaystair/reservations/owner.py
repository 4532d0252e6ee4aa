"""The asking side: wins a majority of the replicas for a token.

The process that wins owns the token.  It alone may say that the request of
the token ran (settle) or never will (release).
"""

import asyncio
import collections
import hashlib
import random
import typing

import expression

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.reservations import messages
from carawaystair.reservations import names
from carawaystair.reservations import placement

# An ask that got no answer is sent again after so long; doubled each time.
RESEND_S = 0.05
RESEND_MOST_S = 0.5
# An attempt that has no majority after so long gives up, whatever the
# caller's deadline: a grant must not come long after the votes behind it.
ATTEMPT_S = 10.0
# Rivals that split the replicas give back their votes and wait this long at
# random, doubled each time.
BACKOFF_S = 0.005
BACKOFF_MOST_S = 0.1
# Outcomes are sent again until a majority has them, for so long.
OUTCOME_S = 30.0
# The caller of settle and release waits this long at most.
OUTCOME_WAIT_S = 1.0
MAX_OUTCOMES = 10_000
# Larger answers are not kept; a repeated key then gets status and digest.
MAX_ANSWER = 2048

Send = typing.Callable[[str, typing.Any], None]


class Poll(typing.NamedTuple):
    """One attempt that collects votes.

    :param ask: what was asked.
    :param placed: whom.
    :param votes: the votes so far, by host.
    :param end: gets the :class:`Verdict`.
    """

    ask: messages.Ask
    placed: placement.Placement
    votes: dict[str, messages.Vote]
    end: asyncio.Future


class Verdict(typing.NamedTuple):
    """What an attempt came to.

    :param granted: a majority holds the key for this token.
    :param vote: a vote that settles the matter otherwise.
    :param split: nobody has a majority, but nobody else can be excluded.
    """

    granted: bool = False
    vote: messages.Vote | None = None
    split: bool = False


class Grant(typing.NamedTuple):
    """A token that won, until its outcome is stored."""

    ask: messages.Ask
    placed: placement.Placement


class Owner:
    """The reservations that one process asks for.

    :param send: sends a message to a peer.
    :param placements: has ``get(partition)``.
    :param tokens: makes tokens.
    :param rng: for backoff.
    """

    def __init__(
        self,
        send: Send,
        placements,
        tokens: names.Tokens,
        rng: random.Random,
    ) -> None:
        self.send = send
        self.placements = placements
        self.tokens = tokens
        self.rng = rng
        self.polls: dict[bytes, Poll] = {}
        self.grants: dict[str, Grant] = {}
        self.outcomes: dict[bytes, set[str]] = {}
        self.stored: dict[bytes, asyncio.Event] = {}
        self.tasks: set[asyncio.Task] = set()

    # Reserving

    async def reserve(
        self,
        key: bytes,
        customer: int,
        digest: bytes,
        window_s: float,
        deadline: float,
    ) -> expression.Result[interfaces.Reserved, codes.Failure]:
        """Win the key, or say what stands against it."""
        deadline = min(deadline, clock.now() + ATTEMPT_S)
        backoff = BACKOFF_S
        partition = names.partition(key)
        while True:
            placed = self.placements.get(partition)
            if placed is None:
                return codes.fail(codes.KEYS_NOT_PLACED)
            ask = messages.Ask(
                partition,
                placed.epoch,
                key,
                self.tokens.make(),
                digest,
                customer,
                window_s,
            )
            verdict = await self._attempt(ask, placed, deadline)
            if not verdict.split or clock.now() + backoff >= deadline:
                return self._result(ask, verdict)
            await asyncio.sleep(self.rng.uniform(0, backoff))
            backoff = min(2 * backoff, BACKOFF_MOST_S)

    async def _attempt(
        self,
        ask: messages.Ask,
        placed: placement.Placement,
        deadline: float,
    ) -> Verdict:
        end = asyncio.get_running_loop().create_future()
        poll = Poll(ask, placed, {}, end)
        self.polls[ask.token] = poll
        granted = False
        try:
            verdict = await self._collect(poll, deadline)
            granted = verdict.granted
            return verdict
        finally:
            # Also when the caller went away: a vote that is not given back
            # would keep the key from everyone until its window ends.
            del self.polls[ask.token]
            if granted:
                self.grants[ask.token.hex()] = Grant(ask, placed)
            else:
                self._start_release(ask, placed)

    async def _collect(self, poll: Poll, deadline: float) -> Verdict:
        """Ask until the votes decide or time is up."""
        wait = RESEND_S
        while clock.now() < deadline:
            for member in poll.placed.members:
                if member.host not in poll.votes:
                    self.send(member.peer, poll.ask)
            timeout = min(wait, deadline - clock.now())
            done, _pending = await asyncio.wait({poll.end}, timeout=timeout)
            if done:
                return poll.end.result()
            wait = min(2 * wait, RESEND_MOST_S)
        return self._undecided(poll)

    def vote(self, message: messages.Vote) -> None:
        """Take a replica's vote."""
        poll = self.polls.get(message.token)
        if poll is None or poll.end.done():
            return
        poll.votes[message.host] = message
        verdict = decide(poll)
        if verdict is not None:
            poll.end.set_result(verdict)

    def _undecided(self, poll: Poll) -> Verdict:
        """Return the verdict when time is up."""
        votes = poll.votes.values()
        held = next((v for v in votes if v.verdict == messages.HELD), None)
        full = next(
            (v for v in votes if v.verdict in (messages.FULL, messages.SHARE)),
            None,
        )
        return Verdict(vote=held or full)

    def _result(self, ask: messages.Ask, verdict: Verdict):
        if verdict.granted:
            return expression.Ok(interfaces.Reserved(True, ask.token.hex()))
        if verdict.split:
            return expression.Ok(interfaces.Reserved(False, running=True))
        vote = verdict.vote
        if vote is None:
            return codes.fail(codes.KEY_NO_MAJORITY)
        if vote.verdict in _FAILURES:
            return codes.fail(_FAILURES[vote.verdict])
        if vote.verdict == messages.SETTLED:
            return expression.Ok(
                interfaces.Reserved(False, answer=vote.answer)
            )
        if vote.verdict == messages.LARGE:
            return expression.Ok(
                interfaces.Reserved(
                    False, status=vote.status, digest=vote.answer
                )
            )
        return expression.Ok(interfaces.Reserved(False, running=True))

    # Outcomes

    async def settle(self, token: str, answer: bytes, status: int) -> None:
        """Store the outcome of a run at a majority."""
        grant = self.grants.pop(token, None)
        if grant is None:
            return
        kept = len(answer) <= MAX_ANSWER
        if not kept:
            answer = hashlib.blake2b(answer, digest_size=16).digest()
        ask = grant.ask
        await self._wait(
            self._start(
                messages.Settle(
                    ask.partition,
                    ask.epoch,
                    ask.name,
                    ask.token,
                    status,
                    kept,
                    answer,
                ),
                grant.placed,
            )
        )

    async def release(self, token: str) -> None:
        """Give a key back whose request was provably not run."""
        grant = self.grants.pop(token, None)
        if grant is not None:
            await self._wait(self._start_release(grant.ask, grant.placed))

    def done(self, message: messages.Done) -> None:
        """Take a replica's word that it stored an outcome."""
        hosts = self.outcomes.get(message.token)
        if hosts is not None:
            hosts.add(message.host)

    def _start_release(self, ask, placed) -> asyncio.Task:
        return self._start(
            messages.Release(ask.partition, ask.epoch, ask.name, ask.token),
            placed,
        )

    def _start(self, message, placed) -> asyncio.Task:
        task = asyncio.create_task(self._spread(message, placed))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _wait(self, task: asyncio.Task) -> None:
        await asyncio.wait({task}, timeout=OUTCOME_WAIT_S)

    async def _spread(self, message, placed) -> None:
        """Send an outcome until every member has it or time is up."""
        hosts = self.outcomes[message.token] = set()
        until = clock.now() + OUTCOME_S
        wait = RESEND_S
        while len(hosts) < len(placed.members) and clock.now() < until:
            for member in placed.members:
                if member.host not in hosts:
                    self.send(member.peer, message)
            await asyncio.sleep(wait)
            wait = min(2 * wait, OUTCOME_S / 4)
        del self.outcomes[message.token]


_FAILURES = {
    messages.REUSED: codes.KEY_REUSED,
    messages.FULL: codes.KEYS_FULL,
    messages.SHARE: codes.KEYS_CUSTOMER_FULL,
}
_DECISIVE = (messages.SETTLED, messages.LARGE, messages.REUSED)


def decide(poll: Poll) -> Verdict | None:
    """Return what the votes so far come to, or None when more are needed."""
    votes = poll.votes.values()
    decisive = next((v for v in votes if v.verdict in _DECISIVE), None)
    if decisive is not None:
        return Verdict(vote=decisive)
    quorum = poll.placed.quorum
    yes = [v for v in votes if v.verdict == messages.YES]
    if len(yes) >= quorum:
        return Verdict(granted=True)
    missing = len(poll.placed.members) - len(poll.votes)
    if len(yes) + missing >= quorum:
        return None
    held = collections.Counter(
        v.holder for v in votes if v.verdict == messages.HELD
    )
    if held:
        _holder, most = held.most_common(1)[0]
        winner = next(v for v in votes if v.verdict == messages.HELD)
        if most >= quorum:
            return Verdict(vote=winner)
        return Verdict(split=True)
    return Verdict(vote=_refusal(votes))


def _refusal(votes) -> messages.Vote | None:
    return next(
        (v for v in votes if v.verdict in (messages.FULL, messages.SHARE)),
        None,
    )
