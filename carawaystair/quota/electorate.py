"""Questions of the leader of control to the other voters."""

import asyncio
import typing

from carawaystair.control import state as states
from carawaystair.quota import messages

# How long the voters may take to answer, seconds.
TIMEOUT_S = 0.4

Question = (
    messages.Record
    | messages.Collect
    | messages.RecordTenures
    | messages.CollectTenures
)
Reply = messages.Recorded | messages.Collected | messages.CollectedTenures


class Electorate:
    """The voters of the control group, as their leader asks them.

    :param shared: state of the replica of the control log.
    """

    def __init__(self, shared: states.State) -> None:
        self.shared = shared

    def identities(self) -> frozenset[str]:
        """Return the identities of all voters."""
        return frozenset(m.identity for m in self.shared.group.voters())

    def is_majority(self, identities: typing.Collection[str]) -> bool:
        """Return whether these voters and this host are a majority."""
        counted = self.identities() & {*identities, self.shared.identity}
        return len(counted) >= self.shared.group.quorum()

    async def ask(self, question: Question) -> list[Reply]:
        """Ask the other voters; return their replies, as soon as they suffice.

        They do once a majority has recorded or holds what is asked for.
        """
        tasks = [
            asyncio.ensure_future(self._ask_one(voter.peer, question))
            for voter in self.shared.group.voters()
            if voter.identity != self.shared.identity
        ]
        replies: list[Reply] = []
        waiting = set(tasks)
        try:
            while waiting and not self.is_majority(
                [reply.identity for reply in replies if _suffices(reply)]
            ):
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                found = (task.result() for task in done)
                replies += [reply for reply in found if reply is not None]
        finally:
            for task in waiting:
                task.cancel()
        return replies

    async def _ask_one(self, peer: str, question: Question) -> Reply | None:
        """Return a voter's reply; None if it knows a newer term."""
        result = await self.shared.transport.call(peer, question, TIMEOUT_S)
        reply = result.default_value(None)
        if not isinstance(reply, Reply) or reply.term > question.term:
            return None
        return reply


async def follow(
    shared: states.State,
    question: messages.Collect | messages.CollectTenures,
    holders: int,
) -> bool:
    """Follow the leader that asks, and no earlier one any more.

    The term is synced first, so that a restart does not forget that.

    :param shared: state of the replica of the voter that is asked.
    :param holders: parts of allowances that it leaves to nodes.
    :return: whether it answers.
    """
    if not shared.ready or shared.foreign(question.group):
        return False
    if question.holders != holders:
        return False
    shared.observe(question.term)
    synced = await shared.store.flush()
    return synced and shared.term == question.term


def _suffices(reply: Reply) -> bool:
    if isinstance(reply, messages.Recorded):
        return reply.ok
    return reply.complete
