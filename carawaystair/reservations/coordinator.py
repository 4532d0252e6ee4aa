"""Coordinates reservations: wins a majority of the replicas for a token.

Only the process that was granted the key for its token may report that the
request ran (settle) or never will (release).
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

# After this time all replicas without a vote are asked, again if they were
# asked before; doubled each time up to the maximum.
RESEND_S = 0.05
RESEND_MAX_S = 0.5
# A replica that did not answer is asked last for this long.
SILENT_PENALTY_S = 5.0
# Timers may fire slightly early; without a minimum the last wait before a
# deadline would be repeated many times.
MIN_WAIT_S = 0.001
# Limit of an attempt, even if the caller's deadline is later: a grant must not
# follow long after the votes that it rests on, see ``windows.MARGIN_S``.
ATTEMPT_TIMEOUT_S = 10.0
# After a split vote the competing tokens are released, and each coordinator
# retries after a random time.  The bound of that time starts at the larger of
# this value and the duration of the attempt, and doubles up to the maximum.
BACKOFF_S = 0.005
BACKOFF_MAX_S = 2.0
# A rival that leads in this many consecutive attempts does not release its
# votes: its request is running, or its process is gone.
SAME_RIVAL_LIMIT = 4
# Maximum wait of the callers of settle and release.
OUTCOME_WAIT_S = 1.0

Result = expression.Result[interfaces.Reserved, codes.Failure]

_FAILURES = {
    messages.REUSED: codes.KEY_REUSED,
    messages.FULL: codes.KEYS_FULL,
    messages.CUSTOMER_FULL: codes.KEYS_CUSTOMER_FULL,
}


class KeyRequest(typing.NamedTuple):
    """A request to reserve a key.

    :param partition: partition of the key.
    :param key_digest: see ``identifiers.key_digest``.
    :param customer_id: see ``identifiers.customer_id``.
    :param request_digest: digest of the request.
    :param window_s: how long the key must be remembered, seconds.
    """

    partition: int
    key_digest: bytes
    customer_id: int
    request_digest: bytes
    window_s: float

    def to_ask(self, token: bytes, epoch: int) -> messages.Ask:
        """Return the message that asks for a token."""
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
    """A token that holds its key, until the outcome of the request is known.

    :param ask: the ask that was granted.
    :param granted_at: monotonic time of the grant.
    :param holders: see ``vote_round.RoundResult``.
    """

    ask: messages.Ask
    granted_at: float
    holders: frozenset[str] | None


class Coordinator:
    """Reserves keys on behalf of the requests of one process.

    :param send: sends a datagram.
    :param table: known placements.
    :param tokens: generates tokens.
    :param rng: random source for backoff.
    :param refresh: called when the known placements may be outdated.
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
        """Reserve a key, or return why that is not possible.

        A token that was not granted is released and is never treated as
        granted later, even if further votes for it arrive.
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
        """Collect votes for one token, across changes of the placement."""
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
                # Any replica may have taken over votes of an earlier epoch.
                holders = None if asked_before else result.holders
            if result.granted:
                grant = Grant(ask, clock.now(), holders)
                self.grants[token.hex()] = grant
            return result
        finally:
            # Also when the caller was cancelled: a vote that is not released
            # would block the key until its window ends.
            if token.hex() not in self.grants:
                self.outcome_sender.start(_release_message(ask), holders)

    async def _run_round(
        self,
        ask: messages.Ask,
        placement: placement_table.Placement,
        deadline: float,
    ) -> vote_rounds.RoundResult:
        """Ask until the votes decide or the deadline has passed."""
        vote_round = vote_rounds.VoteRound(
            ask, placement, self.send, self.silent_until
        )
        self.rounds[ask.token] = vote_round
        wait = RESEND_S
        try:
            while clock.now() < deadline:
                remaining = max(deadline - clock.now(), MIN_WAIT_S)
                timeout = min(wait, remaining)
                done, _pending = await asyncio.wait(
                    {vote_round.future}, timeout=timeout
                )
                # A suspended process may read the votes long after the
                # deadline; they don't count then.
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
        """Handle the vote of a replica."""
        vote_round = self.rounds.get(message.token)
        if vote_round is not None:
            vote_round.add_vote(sender, message)

    def _mark_silent(self, hosts: list[str]) -> None:
        """Ask silent hosts last for a while; look for newer placements."""
        now = clock.now()
        self.silent_until |= dict.fromkeys(hosts, now + SILENT_PENALTY_S)
        self.silent_until = {
            host: end for host, end in self.silent_until.items() if end > now
        }
        self.refresh()

    def _on_placement(self, placement: placement_table.Placement) -> None:
        """Cancel the rounds of a partition that has a new epoch."""
        for vote_round in self.rounds.values():
            affected = vote_round.ask.partition == placement.partition
            if affected and vote_round.ask.epoch != placement.epoch:
                vote_round.cancel_for_new_epoch()

    # Outcomes

    async def settle(self, token: str, answer: bytes, status: int) -> None:
        """Store the outcome of a request at the replicas."""
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
        """Release the key of a request that provably did not run."""
        grant = self.grants.pop(token, None)
        if grant is not None:
            await _wait_for_majority(
                self.outcome_sender.start(_release_message(grant.ask))
            )

    def expire(self) -> None:
        """Remove grants whose keys have expired at the replicas."""
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
    """Return the answer to the caller of an attempt that was not granted."""
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
