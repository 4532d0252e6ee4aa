"""Collects the votes of one attempt to win a key.

Only as many replicas are asked at first as a majority needs, and for one key
always the same ones: so a key costs the memory of a majority and not of all.
The rest is asked when one of those does not answer soon, or says no.
"""

import asyncio
import collections
import typing

from carawaystair.reservations import messages
from carawaystair.reservations import placement


class Verdict(typing.NamedTuple):
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
    moved: bool = False
    holders: frozenset[str] | None = None


class Ballot:
    """One attempt that collects votes.

    :param ask: what to ask.
    :param row: whom.
    :param send: sends a datagram.
    :param silent: hosts that did not answer lately; they are asked last.
    """

    def __init__(
        self,
        ask: messages.Ask,
        row: placement.Placement,
        send: typing.Callable[[str, typing.Any], None],
        silent: typing.Container[str],
    ) -> None:
        self.ask = ask
        self.row = row
        self.send = send
        self.votes: dict[str, messages.Vote] = {}
        self.end: asyncio.Future = asyncio.get_running_loop().create_future()
        self.first = preferred(ask.name, row, silent)
        self.widened = False
        for member in self.first:
            send(member.gossip, ask)

    def widen(self) -> None:
        """Ask the replicas that were left out at first."""
        if self.widened:
            return
        self.widened = True
        for member in self.row.members:
            if member not in self.first:
                self.send(member.gossip, self.ask)

    def again(self) -> list[str]:
        """Ask all that have not voted; return hosts that were silent."""
        silent = [m.host for m in self.first if m.host not in self.votes]
        self.widened = True
        for member in self.row.members:
            if member.host not in self.votes:
                self.send(member.gossip, self.ask)
        return silent

    def holders(self) -> frozenset[str]:
        """Return addresses of replicas that may hold the key for the token.

        One that said that another token holds the key is among them: a
        second copy of the ask may reach it when it has given that one up.
        """
        asked = self.row.members if self.widened else self.first
        refused = {
            host
            for host, vote in self.votes.items()
            if vote.verdict in _DECISIVE
        }
        return frozenset(m.gossip for m in asked if m.host not in refused)

    def moved(self) -> None:
        """End the attempt because the placement changed."""
        self._finish(Verdict(moved=True))

    def take(self, sender: str, vote: messages.Vote) -> None:
        """Take a vote and end the attempt when it decides."""
        member = self.row.sender(sender)
        if vote.epoch != self.ask.epoch or member is None:
            return
        if vote.verdict == messages.ABSENT:
            # It may be active soon; it is asked again.
            self.widen()
            return
        self.votes[member.host] = vote
        self._drop_void()
        verdict = self.verdict()
        if verdict is not None:
            self._finish(verdict)
        elif all(m.host in self.votes for m in self.first):
            self.widen()

    def _finish(self, verdict: Verdict) -> None:
        if not self.end.done():
            self.end.set_result(verdict)

    def _drop_void(self) -> None:
        """Forget votes of replicas that have started again since.

        Symptom without it: two tokens hold a majority.  Sequence: a replica
        votes for the first token, starts again, recovers from others that
        the first token has not reached yet, and votes for the second one;
        then the others vote for the first.  Cause: the first token counts a
        vote that its replica has forgotten.  The others know of the new
        session when they vote, and say so.
        """
        hosts = [member.host for member in self.row.members]
        newest = [max(row) for row in zip(*(v.sessions for v in self._told()))]
        for place, session in enumerate(newest):
            vote = self.votes.get(hosts[place])
            if vote is not None and vote.sessions[place] < session:
                del self.votes[hosts[place]]

    def _told(self) -> list[messages.Vote]:
        size = len(self.row.members)
        return [v for v in self.votes.values() if len(v.sessions) == size]

    def verdict(self) -> Verdict | None:
        """Return what the votes come to; None when more are needed."""
        votes = list(self.votes.values())
        decisive = next((v for v in votes if v.verdict in _DECISIVE), None)
        if decisive is not None:
            return Verdict(vote=decisive)
        quorum = self.row.quorum
        yes = sum(vote.verdict == messages.YES for vote in votes)
        if yes >= quorum:
            return Verdict(granted=True)
        if yes + len(self.row.members) - len(votes) >= quorum:
            return None
        return self._lost(votes)

    def _lost(self, votes: list[messages.Vote]) -> Verdict:
        """Return the verdict when no majority can be had any more."""
        held = [v for v in votes if v.verdict == messages.HELD]
        if not held:
            return Verdict(vote=next(iter(_refusals(votes))))
        holders = collections.Counter(vote.holder for vote in held)
        rival, most = holders.most_common(1)[0]
        if most >= self.row.quorum:
            return Verdict(vote=held[0])
        return Verdict(split=True, rival=rival)

    def undecided(self) -> Verdict:
        """Return the verdict when time is up."""
        votes = list(self.votes.values())
        held = [v for v in votes if v.verdict == messages.HELD]
        return Verdict(vote=next(iter([*held, *_refusals(votes)]), None))


def preferred(
    name: bytes,
    row: placement.Placement,
    silent: typing.Container[str],
) -> list[placement.Replica]:
    """Return the replicas to ask first, the same ones at every node."""
    start = name[-1] % len(row.members)
    turned = row.members[start:] + row.members[:start]
    turned = sorted(turned, key=lambda member: member.host in silent)
    return turned[: row.quorum]


_DECISIVE = (messages.SETTLED, messages.LARGE, messages.REUSED)


def _refusals(votes: typing.Iterable[messages.Vote]) -> list[messages.Vote]:
    full = (messages.FULL, messages.SHARE)
    return [vote for vote in votes if vote.verdict in full]
