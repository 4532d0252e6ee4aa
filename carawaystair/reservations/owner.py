"""The asking side: wins a majority of the replicas for a token.

The process that wins owns the token.  It alone may say that the request of
the token ran (settle) or never will (release).
"""

import asyncio
import random
import typing

import expression

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.reservations import answers
from carawaystair.reservations import ballot as ballots
from carawaystair.reservations import messages
from carawaystair.reservations import names
from carawaystair.reservations import outcomes
from carawaystair.reservations import placement
from carawaystair.reservations import windows

# Replicas left out at first are asked after so long, and those that did not
# answer again; doubled each time up to the second figure.
WIDEN_S = 0.05
RESEND_MOST_S = 0.5
# A replica that did not answer is asked last for so long.
SILENT_S = 5.0
# Timers may fire a little early; a wait is never shorter than this, so that
# the last one before a deadline is not made over and over.
LEAST_WAIT_S = 0.001
# An attempt gives up after so long, whatever the caller's deadline: a grant
# must not come long after the votes behind it, see ``windows.MARGIN_S``.
ATTEMPT_S = 10.0
# Rivals that share the replicas give their votes back and try again after a
# random time below this and below what the attempt took, whichever is more,
# doubled each time up to the second figure.
BACKOFF_S = 0.005
BACKOFF_MOST_S = 2.0
# A rival that is seen in so many attempts one after another is no racer that
# gives back its votes: it runs, or its process is gone.
SAME_RIVAL = 4
# The callers of settle and release wait this long at most.
OUTCOME_WAIT_S = 1.0

Result = expression.Result[interfaces.Reserved, codes.Failure]

_FAILURES = {
    messages.REUSED: codes.KEY_REUSED,
    messages.FULL: codes.KEYS_FULL,
    messages.SHARE: codes.KEYS_CUSTOMER_FULL,
}


class Wish(typing.NamedTuple):
    """What a caller wants reserved.

    :param partition: of the key.
    :param name: of the key.
    :param customer: see ``names.customer``.
    :param digest: of the request.
    :param window_s: how long the key must be remembered.
    """

    partition: int
    name: bytes
    customer: int
    digest: bytes
    window_s: float

    def ask(self, token: bytes, epoch: int) -> messages.Ask:
        """Return the question for a token."""
        return messages.Ask(
            self.partition,
            epoch,
            self.name,
            token,
            self.digest,
            self.customer,
            self.window_s,
        )


class Grant(typing.NamedTuple):
    """A token that won, until its outcome is known.

    :param ask: what it won.
    :param since: monotonic time of the grant.
    :param holders: see ``ballot.Verdict``.
    """

    ask: messages.Ask
    since: float
    holders: frozenset[str] | None


class Owner:
    """The reservations that one process asks for.

    :param send: sends a datagram.
    :param book: the placements.
    :param tokens: makes tokens.
    :param rng: for backoff.
    :param refresh: called when the book must be old.
    """

    def __init__(
        self,
        send: typing.Callable[[str, typing.Any], None],
        book: placement.Book,
        tokens: names.Tokens,
        rng: random.Random,
        refresh: typing.Callable[[], None],
    ) -> None:
        self.send = send
        self.book = book
        self.tokens = tokens
        self.rng = rng
        self.refresh = refresh
        self.outcomes = outcomes.Outcomes(send, book)
        self.ballots: dict[bytes, ballots.Ballot] = {}
        self.silent: dict[str, float] = {}
        self.grants: dict[str, Grant] = {}
        book.listeners.append(self._placed)

    # Reserving

    async def reserve(self, wish: Wish, deadline: float) -> Result:
        """Win a key, or say what stands against it.

        A token that did not win is released, and never counts as granted
        afterwards, whatever votes for it still arrive.
        """
        deadline = min(deadline, clock.now() + ATTEMPT_S)
        backoff = BACKOFF_S
        rivals: list[bytes] = []
        while True:
            token = self.tokens.make()
            begun = clock.now()
            verdict = await self._campaign(wish, token, deadline)
            if verdict.granted:
                return expression.Ok(interfaces.Reserved(True, token.hex()))
            rivals.append(verdict.rival)
            same = rivals[-SAME_RIVAL:].count(verdict.rival) == SAME_RIVAL
            backoff = max(backoff, clock.now() - begun)
            late = clock.now() + backoff >= deadline
            if not verdict.split or same or late:
                return _result(verdict)
            await asyncio.sleep(self.rng.uniform(0, backoff))
            backoff = min(2 * backoff, BACKOFF_MOST_S)

    async def _campaign(
        self, wish: Wish, token: bytes, deadline: float
    ) -> ballots.Verdict:
        """Collect votes for one token, over changes of the placement."""
        verdict = ballots.Verdict(moved=True)
        ask = wish.ask(token, 0)
        holders = None
        try:
            while verdict.moved and clock.now() < deadline:
                row = self.book.get(wish.partition)
                if row is None:
                    break
                again = ask.epoch > 0
                ask = wish.ask(token, row.epoch)
                verdict = await self._attempt(ask, row, deadline)
                # Votes of the epoch before may have been taken over by any.
                holders = None if again else verdict.holders
            if verdict.granted:
                grant = Grant(ask, clock.now(), holders)
                self.grants[token.hex()] = grant
            return verdict
        finally:
            # Also when the caller went away: a vote that is not given back
            # would keep the key from everyone until its window ends.
            if token.hex() not in self.grants:
                self.outcomes.start(_release(ask), holders)

    async def _attempt(
        self,
        ask: messages.Ask,
        row: placement.Placement,
        deadline: float,
    ) -> ballots.Verdict:
        """Ask until the votes decide or time is up."""
        ballot = ballots.Ballot(ask, row, self.send, self.silent)
        self.ballots[ask.token] = ballot
        wait = WIDEN_S
        try:
            while clock.now() < deadline:
                left = max(deadline - clock.now(), LEAST_WAIT_S)
                timeout = min(wait, left)
                done, _not = await asyncio.wait({ballot.end}, timeout=timeout)
                # A process that stood still may find the votes long after
                # its time was up; they don't count then.
                if done and clock.now() <= deadline:
                    verdict = ballot.end.result()
                    return verdict._replace(holders=ballot.holders())
                self._quiet(ballot.again())
                wait = min(2 * wait, RESEND_MOST_S)
            verdict = ballot.undecided()
            return verdict._replace(holders=ballot.holders())
        finally:
            del self.ballots[ask.token]

    def vote(self, sender: str, message: messages.Vote) -> None:
        """Take a replica's vote."""
        ballot = self.ballots.get(message.token)
        if ballot is not None:
            ballot.take(sender, message)

    def _quiet(self, hosts: list[str]) -> None:
        """Ask silent replicas last for a while, and look for newer ones."""
        now = clock.now()
        self.silent |= dict.fromkeys(hosts, now + SILENT_S)
        self.silent = {h: end for h, end in self.silent.items() if end > now}
        self.refresh()

    def _placed(self, row: placement.Placement) -> None:
        """Begin the attempts on a partition anew in its new epoch."""
        for ballot in self.ballots.values():
            mine = ballot.ask.partition == row.partition
            if mine and ballot.ask.epoch != row.epoch:
                ballot.moved()

    # Outcomes

    async def settle(self, token: str, answer: bytes, status: int) -> None:
        """Store the outcome of a run at the replicas."""
        grant = self.grants.pop(token, None)
        if grant is None:
            return
        ask = grant.ask
        packed = answers.pack(answer)
        kept = packed is not None
        message = messages.Settle(
            ask.partition,
            ask.epoch,
            ask.name,
            ask.token,
            status,
            kept,
            packed if kept else names.answer(answer),
            clock.now() - grant.since,
        )
        await _majority(self.outcomes.start(message, grant.holders))

    async def release(self, token: str) -> None:
        """Give a key back whose request was provably not run."""
        grant = self.grants.pop(token, None)
        if grant is not None:
            await _majority(self.outcomes.start(_release(grant.ask)))

    def expire(self) -> None:
        """Forget grants whose keys no replica remembers any more."""
        now = clock.now()
        self.grants = {
            token: grant
            for token, grant in self.grants.items()
            if now - grant.since < windows.keep_s(grant.ask.window_s)
        }


def _release(ask: messages.Ask) -> messages.Release:
    return messages.Release(ask.partition, ask.epoch, ask.name, ask.token)


async def _majority(event: asyncio.Event) -> None:
    try:
        await asyncio.wait_for(event.wait(), OUTCOME_WAIT_S)
    except asyncio.TimeoutError:
        pass


def _result(verdict: ballots.Verdict) -> Result:
    """Return what a caller is told of an attempt that did not win."""
    vote = verdict.vote
    if verdict.split:
        return expression.Ok(interfaces.Reserved(False, running=True))
    if vote is None:
        return codes.fail(codes.KEY_NO_MAJORITY)
    if vote.verdict in _FAILURES:
        return codes.fail(_FAILURES[vote.verdict])
    if vote.verdict == messages.SETTLED:
        answer = answers.unpack(vote.answer)
        return expression.Ok(
            interfaces.Reserved(False, answer=answer, running=answer is None)
        )
    if vote.verdict == messages.LARGE:
        return expression.Ok(
            interfaces.Reserved(False, status=vote.status, digest=vote.answer)
        )
    return expression.Ok(interfaces.Reserved(False, running=True))
