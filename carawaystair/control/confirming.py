"""Reads that a quorum stands behind, many at the cost of one.

Every node asks a control host every few seconds whether its version is
current.  A round of messages for each question would swamp the leader, so
questions that come close together share one round.  A round only counts for
questions that were asked before it began: otherwise a change accepted in
between could be missed.
"""

import asyncio

import expression

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import changing
from carawaystair.control import messages
from carawaystair.control import replica as replicas
from carawaystair import rows

# Rounds begin at least so far apart.
APART_S = 0.02
# A question that nobody confirmed in this time is answered with a failure;
# it stays below the patience of the nodes that ask.
CONFIRM_S = 0.3
PAUSE_S = 0.05

Result = expression.Result[int, codes.Failure]


class Confirming:
    """Confirms reads on one host.

    :param replica: the replica of this host.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.transport = replica.shared.transport
        self.next_round: asyncio.Task | None = None
        self.began = 0.0
        self.rounds = 0
        self.transport.handle(messages.Confirm, self._on_confirm)

    async def confirm(self) -> Result:
        """Wait until this host has all that was committed before.

        :return: the index that it has reached.
        """
        if self.next_round is None:
            self.next_round = asyncio.ensure_future(self._round())
        # A caller that goes away must not take the round from the others.
        return await asyncio.shield(self.next_round)

    async def _round(self) -> Result:
        await asyncio.sleep(max(self.began + APART_S - clock.now(), 0.0))
        self.next_round = None
        self.began = clock.now()
        self.rounds += 1
        try:
            async with asyncio.timeout(CONFIRM_S):
                result = await self._index()
                while result.is_error():
                    # Between two leaders there is none for a moment.
                    await asyncio.sleep(PAUSE_S)
                    result = await self._index()
                await self.replica.applying.reach(result.ok)
                return result
        except TimeoutError:
            return codes.fail(codes.NOT_LEADER, 'no quorum answered in time')

    async def _index(self) -> Result:
        """Return the index that a read here must have reached."""
        shared = self.replica.shared
        leader = shared.leader_peer
        if leader in ('', self.transport.address):
            return await self.replica.read_index()
        question = messages.Confirm()
        answer = await self.transport.call(leader, question, CONFIRM_S)
        return answer.bind(changing.result_of).map(
            lambda found: found[0].index
        )

    async def _on_confirm(
        self, _sender: str, _question: messages.Confirm
    ) -> messages.Outcome:
        """Confirm a read of another host, if this one leads."""
        if self.replica.shared.leader_peer != self.transport.address:
            return messages.Outcome(codes.NOT_LEADER.number)
        result = await self.confirm()
        return changing.outcome(
            result.map(lambda index: (rows.Version(0, index), b''))
        )
