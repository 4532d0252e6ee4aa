"""Collects the votes of one attempt to win a key.

Only as many replicas are asked at first as a majority needs, and for one key
always the same ones: so a key costs the memory of a majority and not of all.
The rest is asked when one of those does not answer soon, or says no.
"""

import asyncio
import collections
import typing

from carawaystair.reservations import messages
from carawaystair.reservations import placement_table


class RoundResult(typing.NamedTuple):
    """What an attempt came to.

    :param granted: a majority holds the key for this token.
    :param vote: a vote that settles the matter otherwise.
    :param split: rivals share the replicas and none is known to have won.
    :param rival: the token that most replicas hold the key for.
    :param moved: the placement changed; the same token asks anew.
    :param holders: addresses of replicas that may hold the key for this
        token; None when any may.
    """

    granted: bool = False
    vote: messages.Vote | None = None
    split: bool = False
    rival: bytes = b''
    placement_changed: bool = False
    holders: frozenset[str] | None = None


class VoteRound:
    """One attempt that collects votes.

    :param ask: what to ask.
    :param row: whom.
    :param send: sends a datagram.
    :param silent: hosts that did not answer lately; they are asked last.
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
        """Ask the replicas that were left out at first."""
        if self.asked_all:
            return
        self.asked_all = True
        for member in self.placement.members:
            if member not in self.first_asked:
                self.send(member.gossip, self.ask)

    def resend(self) -> list[str]:
        """Ask all that have not voted; return hosts that were silent."""
        silent = [m.host for m in self.first_asked if m.host not in self.votes]
        self.asked_all = True
        for member in self.placement.members:
            if member.host not in self.votes:
                self.send(member.gossip, self.ask)
        return silent

    def holders(self) -> frozenset[str]:
        """Return addresses of replicas that may hold the key for the token.

        One that said that another token holds the key is among them: a
        second copy of the ask may reach it when it has given that one up.
        """
        asked = self.placement.members if self.asked_all else self.first_asked
        refused = {
            host
            for host, vote in self.votes.items()
            if vote.verdict in _DECISIVE
        }
        return frozenset(m.gossip for m in asked if m.host not in refused)

    def cancel_for_new_epoch(self) -> None:
        """End the attempt because the placement changed."""
        self._finish(RoundResult(placement_changed=True))

    def add_vote(self, sender: str, vote: messages.Vote) -> None:
        """Take a vote and end the attempt when it decides."""
        member = self.placement.member_at(sender)
        if vote.epoch != self.ask.epoch or member is None:
            return
        if vote.verdict == messages.NOT_ACTIVE:
            # It may be active soon; it is asked again.
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
        """Forget votes of replicas that have started again since.

        Symptom without it: two tokens hold a majority.  Sequence: a replica
        votes for the first token, starts again, recovers from others that
        the first token has not reached yet, and votes for the second one;
        then the others vote for the first.  Cause: the first token counts a
        vote that its replica has forgotten.  The others know of the new
        session when they vote, and say so.
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
        """Return what the votes come to; None when more are needed."""
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
        """Return the verdict when no majority can be had any more."""
        held = [v for v in votes if v.verdict == messages.HELD]
        if not held:
            return RoundResult(vote=next(iter(_memory_refusals(votes))))
        holders = collections.Counter(vote.holder for vote in held)
        rival, count = holders.most_common(1)[0]
        if count >= self.placement.quorum:
            return RoundResult(vote=held[0])
        return RoundResult(split=True, rival=rival)

    def timed_out(self) -> RoundResult:
        """Return the verdict when time is up."""
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
    """Return the replicas to ask first, the same ones at every node."""
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
