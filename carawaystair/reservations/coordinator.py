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
from carawaystair.reservations import identifiers
from carawaystair.reservations import messages
from carawaystair.reservations import outcomes
from carawaystair.reservations import placement_table
from carawaystair.reservations import vote_round as vote_rounds
from carawaystair.reservations import windows

# Replicas left out at first are asked after so long, and those that did not
# answer again; doubled each time up to the second figure.
RESEND_S = 0.05
RESEND_MAX_S = 0.5
# A replica that did not answer is asked last for so long.
SILENT_PENALTY_S = 5.0
# Timers may fire a little early; a wait is never shorter than this, so that
# the last one before a deadline is not made over and over.
MIN_WAIT_S = 0.001
# An attempt gives up after so long, whatever the caller's deadline: a grant
# must not come long after the votes behind it, see ``windows.MARGIN_S``.
ATTEMPT_TIMEOUT_S = 10.0
# Rivals that share the replicas give their votes back and try again after a
# random time below this and below what the attempt took, whichever is more,
# doubled each time up to the second figure.
BACKOFF_S = 0.005
BACKOFF_MAX_S = 2.0
# A rival that is seen in so many attempts one after another is no racer that
# gives back its votes: it runs, or its process is gone.
SAME_RIVAL_LIMIT = 4
# The callers of settle and release wait this long at most.
OUTCOME_WAIT_S = 1.0

Result = expression.Result[interfaces.Reserved, codes.Failure]

_FAILURES = {
    messages.REUSED: codes.KEY_REUSED,
    messages.FULL: codes.KEYS_FULL,
    messages.CUSTOMER_FULL: codes.KEYS_CUSTOMER_FULL,
}


class KeyRequest(typing.NamedTuple):
    """What a caller wants reserved.

    :param partition: of the key.
    :param name: of the key.
    :param customer: see ``names.customer``.
    :param digest: of the request.
    :param window_s: how long the key must be remembered.
    """

    partition: int
    key_digest: bytes
    customer_id: int
    request_digest: bytes
    window_s: float

    def to_ask(self, token: bytes, epoch: int) -> messages.Ask:
        """Return the question for a token."""
        return messages.Ask(
            self.partition,
            epoch,
            self.key_digest,
            token,
            self.request_digest,
            self.customer_id,
            self.window_s,
        )


class Grant(typing.NamedTuple):
    """A token that won, until its outcome is known.

    :param ask: what it won.
    :param since: monotonic time of the grant.
    :param holders: see ``ballot.Verdict``.
    """

    ask: messages.Ask
    granted_at: float
    holders: frozenset[str] | None


class Coordinator:
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
        table: placement_table.PlacementTable,
        tokens: identifiers.TokenGenerator,
        rng: random.Random,
        refresh: typing.Callable[[], None],
    ) -> None:
        self.send = send
        self.placement_table = table
        self.tokens = tokens
        self.rng = rng
        self.refresh = refresh
        self.outcome_sender = outcomes.OutcomeSender(send, table)
        self.rounds: dict[bytes, vote_rounds.VoteRound] = {}
        self.silent_until: dict[str, float] = {}
        self.grants: dict[str, Grant] = {}
        table.listeners.append(self._on_placement)

    # Reserving

    async def reserve(self, request: KeyRequest, deadline: float) -> Result:
        """Win a key, or say what stands against it.

        A token that did not win is released, and never counts as granted
        afterwards, whatever votes for it still arrive.
        """
        deadline = min(deadline, clock.now() + ATTEMPT_TIMEOUT_S)
        backoff = BACKOFF_S
        rivals: list[bytes] = []
        while True:
            token = self.tokens.next_token()
            started = clock.now()
            result = await self._request_grant(request, token, deadline)
            if result.granted:
                return expression.Ok(interfaces.Reserved(True, token.hex()))
            rivals.append(result.rival)
            same = (
                rivals[-SAME_RIVAL_LIMIT:].count(result.rival)
                == SAME_RIVAL_LIMIT
            )
            backoff = max(backoff, clock.now() - started)
            late = clock.now() + backoff >= deadline
            if not result.split or same or late:
                return _to_reserved(result)
            await asyncio.sleep(self.rng.uniform(0, backoff))
            backoff = min(2 * backoff, BACKOFF_MAX_S)

    async def _request_grant(
        self, request: KeyRequest, token: bytes, deadline: float
    ) -> vote_rounds.RoundResult:
        """Collect votes for one token, over changes of the placement."""
        result = vote_rounds.RoundResult(placement_changed=True)
        ask = request.to_ask(token, 0)
        holders = None
        try:
            while result.placement_changed and clock.now() < deadline:
                placement = self.placement_table.get(request.partition)
                if placement is None:
                    break
                asked_before = ask.epoch > 0
                ask = request.to_ask(token, placement.epoch)
                result = await self._run_round(ask, placement, deadline)
                # Votes of the epoch before may have been taken over by any.
                holders = None if asked_before else result.holders
            if result.granted:
                grant = Grant(ask, clock.now(), holders)
                self.grants[token.hex()] = grant
            return result
        finally:
            # Also when the caller went away: a vote that is not given back
            # would keep the key from everyone until its window ends.
            if token.hex() not in self.grants:
                self.outcome_sender.start(_release_message(ask), holders)

    async def _run_round(
        self,
        ask: messages.Ask,
        placement: placement_table.Placement,
        deadline: float,
    ) -> vote_rounds.RoundResult:
        """Ask until the votes decide or time is up."""
        vote_round = vote_rounds.VoteRound(
            ask, placement, self.send, self.silent_until
        )
        self.rounds[ask.token] = vote_round
        wait = RESEND_S
        try:
            while clock.now() < deadline:
                remaining = max(deadline - clock.now(), MIN_WAIT_S)
                timeout = min(wait, remaining)
                done, _not = await asyncio.wait(
                    {vote_round.future}, timeout=timeout
                )
                # A process that stood still may find the votes long after
                # its time was up; they don't count then.
                if done and clock.now() <= deadline:
                    result = vote_round.future.result()
                    return result._replace(holders=vote_round.holders())
                self._mark_silent(vote_round.resend())
                wait = min(2 * wait, RESEND_MAX_S)
            result = vote_round.timed_out()
            return result._replace(holders=vote_round.holders())
        finally:
            del self.rounds[ask.token]

    def on_vote(self, sender: str, message: messages.Vote) -> None:
        """Take a replica's vote."""
        vote_round = self.rounds.get(message.token)
        if vote_round is not None:
            vote_round.add_vote(sender, message)

    def _mark_silent(self, hosts: list[str]) -> None:
        """Ask silent replicas last for a while, and look for newer ones."""
        now = clock.now()
        self.silent_until |= dict.fromkeys(hosts, now + SILENT_PENALTY_S)
        self.silent_until = {
            host: end for host, end in self.silent_until.items() if end > now
        }
        self.refresh()

    def _on_placement(self, placement: placement_table.Placement) -> None:
        """Begin the attempts on a partition anew in its new epoch."""
        for vote_round in self.rounds.values():
            mine = vote_round.ask.partition == placement.partition
            if mine and vote_round.ask.epoch != placement.epoch:
                vote_round.cancel_for_new_epoch()

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
            ask.key_digest,
            ask.token,
            status,
            kept,
            packed if kept else identifiers.answer_digest(answer),
            clock.now() - grant.granted_at,
        )
        await _wait_for_majority(
            self.outcome_sender.start(message, grant.holders)
        )

    async def release(self, token: str) -> None:
        """Give a key back whose request was provably not run."""
        grant = self.grants.pop(token, None)
        if grant is not None:
            await _wait_for_majority(
                self.outcome_sender.start(_release_message(grant.ask))
            )

    def expire(self) -> None:
        """Forget grants whose keys no replica remembers any more."""
        now = clock.now()
        self.grants = {
            token: grant
            for token, grant in self.grants.items()
            if now - grant.granted_at < windows.retention_s(grant.ask.window_s)
        }


def _release_message(ask: messages.Ask) -> messages.Release:
    return messages.Release(
        ask.partition, ask.epoch, ask.key_digest, ask.token
    )


async def _wait_for_majority(event: asyncio.Event) -> None:
    try:
        await asyncio.wait_for(event.wait(), OUTCOME_WAIT_S)
    except asyncio.TimeoutError:
        pass


def _to_reserved(result: vote_rounds.RoundResult) -> Result:
    """Return what a caller is told of an attempt that did not win."""
    vote = result.vote
    if result.split:
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
    if vote.verdict == messages.DIGEST_ONLY:
        return expression.Ok(
            interfaces.Reserved(False, status=vote.status, digest=vote.answer)
        )
    return expression.Ok(interfaces.Reserved(False, running=True))
