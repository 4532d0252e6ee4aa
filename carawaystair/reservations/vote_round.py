"""Collects the votes of the replicas on one ask.

At first only as many replicas are asked as form a majority, and always the
same ones for a key, so that a key takes memory at a majority of the replicas
instead of all.  The others are asked when one of the first does not answer
in time or votes against the token.
"""

import asyncio
import collections
import typing

from carawaystair.reservations import messages
from carawaystair.reservations import placement_table


class RoundResult(typing.NamedTuple):
    """Result of a vote round.

    :param granted: whether a majority holds the key for this token.
    :param vote: the vote that decides against the token, if any.
    :param split: whether the votes are split between tokens and none of
        them is known to have a majority.
    :param rival: the other token with the most votes.
    :param placement_changed: whether the placement changed; the same token
        is then asked for in a new round.
    :param holders: addresses of replicas that may hold the key for this
        token; None if any replica may.
    """

    granted: bool = False
    vote: messages.Vote | None = None
    split: bool = False
    rival: bytes = b''
    placement_changed: bool = False
    holders: frozenset[str] | None = None


class VoteRound:
    """Sends one ask to the members of a placement and counts the votes.

    :param ask: message to send.
    :param placement: placement of the partition.
    :param send: sends a datagram.
    :param silent: hosts that recently did not answer; they are asked last.
    """

    def __init__(
        self,
        ask: messages.Ask,
        placement: placement_table.Placement,
        send: typing.Callable[[str, typing.Any], None],
        silent: typing.Container[str],
    ) -> None:
        self.ask = ask
        self.placement = placement
        self.send = send
        self.votes: dict[str, messages.Vote] = {}
        self.future: asyncio.Future = (
            asyncio.get_running_loop().create_future()
        )
        self.first_asked = preferred_replicas(
            ask.key_digest, placement, silent
        )
        self.asked_all = False
        for member in self.first_asked:
            send(member.gossip, ask)

    def ask_remaining(self) -> None:
        """Ask the replicas that have not been asked yet."""
        if self.asked_all:
            return
        self.asked_all = True
        for member in self.placement.members:
            if member not in self.first_asked:
                self.send(member.gossip, self.ask)

    def resend(self) -> list[str]:
        """Ask all replicas that have not voted.

        :return: hosts that were asked first and have not voted.
        """
        silent = [m.host for m in self.first_asked if m.host not in self.votes]
        self.asked_all = True
        for member in self.placement.members:
            if member.host not in self.votes:
                self.send(member.gossip, self.ask)
        return silent

    def holders(self) -> frozenset[str]:
        """Return addresses of replicas that may hold the key for the token.

        A replica that holds the key for another token is included: a second
        copy of the ask may reach it after that token was released.
        """
        asked = self.placement.members if self.asked_all else self.first_asked
        refused = {
            host
            for host, vote in self.votes.items()
            if vote.verdict in _DECISIVE
        }
        return frozenset(m.gossip for m in asked if m.host not in refused)

    def cancel_for_new_epoch(self) -> None:
        """End the round because the placement changed."""
        self._finish(RoundResult(placement_changed=True))

    def add_vote(self, sender: str, vote: messages.Vote) -> None:
        """Count a vote; end the round if it is decisive."""
        member = self.placement.member_at(sender)
        if vote.epoch != self.ask.epoch or member is None:
            return
        if vote.verdict == messages.NOT_ACTIVE:
            # Not counted: the replica may soon be active and is asked again.
            self.ask_remaining()
            return
        self.votes[member.host] = vote
        self._discard_void_votes()
        result = self.evaluate()
        if result is not None:
            self._finish(result)
        elif all(m.host in self.votes for m in self.first_asked):
            self.ask_remaining()

    def _finish(self, result: RoundResult) -> None:
        if not self.future.done():
            self.future.set_result(result)

    def _discard_void_votes(self) -> None:
        """Discard votes that replicas cast before they restarted.

        Otherwise two tokens can get a majority: a replica votes for the
        first token, restarts, recovers from others that the first ask has
        not reached yet, and votes for the second token; then the others vote
        for the first, which would still count the vote that its replica has
        lost.  The others know the new session when they vote, and every vote
        lists the known sessions.
        """
        hosts = [member.host for member in self.placement.members]
        newest = [
            max(sessions)
            for sessions in zip(
                *(v.sessions for v in self._votes_with_sessions())
            )
        ]
        for index, session in enumerate(newest):
            vote = self.votes.get(hosts[index])
            if vote is not None and vote.sessions[index] < session:
                del self.votes[hosts[index]]

    def _votes_with_sessions(self) -> list[messages.Vote]:
        size = len(self.placement.members)
        return [v for v in self.votes.values() if len(v.sessions) == size]

    def evaluate(self) -> RoundResult | None:
        """Return the result of the votes, or None if more are needed."""
        votes = list(self.votes.values())
        decisive = next((v for v in votes if v.verdict in _DECISIVE), None)
        if decisive is not None:
            return RoundResult(vote=decisive)
        quorum = self.placement.quorum
        yes = sum(vote.verdict == messages.YES for vote in votes)
        if yes >= quorum:
            return RoundResult(granted=True)
        if yes + len(self.placement.members) - len(votes) >= quorum:
            return None
        return self._no_majority(votes)

    def _no_majority(self, votes: list[messages.Vote]) -> RoundResult:
        """Return the result when a majority is no longer possible."""
        held = [v for v in votes if v.verdict == messages.HELD]
        if not held:
            return RoundResult(vote=next(iter(_memory_refusals(votes))))
        holders = collections.Counter(vote.holder for vote in held)
        rival, count = holders.most_common(1)[0]
        if count >= self.placement.quorum:
            return RoundResult(vote=held[0])
        return RoundResult(split=True, rival=rival)

    def timed_out(self) -> RoundResult:
        """Return the result when the deadline has passed."""
        votes = list(self.votes.values())
        held = [v for v in votes if v.verdict == messages.HELD]
        return RoundResult(
            vote=next(iter([*held, *_memory_refusals(votes)]), None)
        )


def preferred_replicas(
    key_digest: bytes,
    placement: placement_table.Placement,
    silent: typing.Container[str],
) -> list[placement_table.Replica]:
    """Return the replicas to ask first.

    The order depends on the key, so that all nodes ask the same replicas;
    silent ones come last.
    """
    start = key_digest[-1] % len(placement.members)
    rotated = placement.members[start:] + placement.members[:start]
    rotated = sorted(rotated, key=lambda member: member.host in silent)
    return rotated[: placement.quorum]


_DECISIVE = (messages.SETTLED, messages.DIGEST_ONLY, messages.REUSED)


def _memory_refusals(
    votes: typing.Iterable[messages.Vote],
) -> list[messages.Vote]:
    full = (messages.FULL, messages.CUSTOMER_FULL)
    return [vote for vote in votes if vote.verdict in full]
