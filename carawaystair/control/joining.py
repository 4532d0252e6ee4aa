"""How a replica takes its place in the group when it starts.

Before it votes or acknowledges anything, a replica asks the others what they
know of it.  That tells four things that its own disk cannot:

- whether the disk holds an older copy of what it had promised: then it gives
  its identity up;
- whether a group exists at all: an empty disk may be a lost one, and a lost
  disk that founds a group would take the fleet back to nothing;
- that all hosts of the settings are there and new: then the first of them
  founds the group;
- who leads, so that a host with a new disk can ask to be a learner.
"""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import group as groups
from carawaystair.control import interfaces
from carawaystair.control import log as log_module
from carawaystair.control import messages
from carawaystair.control import state as states
from carawaystair.control import state_files
from carawaystair import logs

# The first attempt may take so long, and each later one twice as long as the
# one before, up to the time that questions have, seconds.  Hosts that start
# together find the others silent at first, and all wait for them.
FIRST_S = 0.1
# Pause between two questions of a host that is no member.
RETURN_S = 1.0
# A host that hears no leader for so long asks whether it is still a member.
LOST_S = 5.0
ID_BITS = 64

LOG = logs.get('raft')


class Seat(typing.NamedTuple):
    """A control host as the settings name it.

    :param name: name of the host.
    :param peer: its ``ip:port`` for messages.
    """

    name: str
    peer: str


class Joining:
    """The part of a replica that takes its place.

    :param state: what the parts share.
    :param seats: the control hosts of the settings, the founder first.
    :param founds: whether this replica may found the group.  A deployment
        that has run before has a group somewhere; hosts that all lost their
        disks must not begin an empty one beside it.
    """

    def __init__(
        self,
        state: states.State,
        seats: typing.Sequence[Seat],
        founds: bool = True,
    ) -> None:
        self.state = state
        self.seats = tuple(seats)
        self.founds = founds
        self.name = state.store.name
        self.began = 0.0
        state.transport.handle(messages.RollCall, self.on_roll_call)
        state.transport.handle(messages.Found, self.on_found)

    async def run(self) -> None:
        """Take this replica's place, then see that it keeps one."""
        state = self.state
        while not state.ready and not state.lost:
            await asyncio.sleep(FIRST_S)
        self.began = clock.now()
        patience_s = FIRST_S
        while not state.lost and not state.proven:
            present = await self._call_roll(patience_s)
            if state.ready:
                await self._judge(present)
            if not state.proven:
                await asyncio.sleep(patience_s / 2)
            patience_s = min(2 * patience_s, state.timing.call_s)
        while not state.lost:
            if state.ready and self._left_out():
                await self._ask_to_return()
            await asyncio.sleep(RETURN_S)

    def _left_out(self) -> bool:
        """Tell whether the group may go on without this identity.

        What the log here says may never have been committed: a leader that
        was replaced had taken this host back, its successor knows nothing
        of that and goes on sending to the identity that was lost.
        """
        state = self.state
        alone = clock.now() - state.heard > LOST_S and not state.alone()
        unheard = alone and state.role != interfaces.LEADER
        unknown = state.group.find(state.identity) is None
        return unknown or unheard or not state.counted

    # The roll call

    async def _call_roll(self, timeout: float) -> list[messages.Present]:
        """Ask all others what they know of this replica.

        :param timeout: how long their answers may take, seconds.
        """
        state = self.state
        question = messages.RollCall(
            self.name,
            state.identity,
            state.transport.address,
            self._fresh(),
        )
        results = await asyncio.gather(
            *(
                state.transport.call(peer, question, timeout)
                for peer in self._others()
            )
        )
        return [result.ok for result in results if result.is_ok()]

    def _others(self) -> list[str]:
        peers = {seat.peer for seat in self.seats}
        peers |= {member.peer for member in self.state.group.members}
        return sorted(peers - {self.state.transport.address})

    def _fresh(self) -> bool:
        store = self.state.store
        return store.identity.fresh and not store.log.last_index

    async def on_roll_call(
        self, _sender: str, question: messages.RollCall
    ) -> messages.Present | None:
        """Tell another replica what this one knows of it."""
        state = self.state
        if not state.ready:
            return None
        known = state.store.known.get(question.identity, state_files.Known())
        if state.store.vote == question.identity:
            # It led this term, or stood in it.
            known = known.join(state_files.Known(state.term))
        return messages.Present(
            self.name,
            state.identity,
            self._fresh(),
            state.group,
            known,
            state.leader_peer,
            state.log.group_place,
        )

    async def _judge(self, present: list[messages.Present]) -> None:
        """Decide what this replica is."""
        state = self.state
        if any(self._forgot(answer.known) for answer in present):
            await self._give_up_identity()
            return
        # A host that was away may know an old group, of which too few are
        # left to ask.
        told = [(a.place, a.group) for a in present if a.group.id]
        own = (state.log.group_place, state.group)
        _place, group = max([own, *told])
        if not group.id:
            await self._found(present)
        elif not group.votes(state.identity):
            # It never voted under this identity: there is nothing to prove.
            self._prove(await state.store.belong())
        else:
            there = {answer.identity for answer in present}
            voters = {voter.identity for voter in group.voters()}
            answered = len((there & voters) | {state.identity})
            patient = clock.now() - self.began < state.timing.patience_s
            needed = len(voters) if patient else group.quorum()
            self._prove(answered >= needed)

    def _prove(self, proven: bool) -> None:
        if proven:
            self.state.proven_event.set()

    def _forgot(self, known: state_files.Known) -> bool:
        """Tell whether this disk lacks what a peer saw it promise."""
        state = self.state
        if known.term > state.term:
            return True
        same = known.ack_term == state.term
        return same and known.ack_index > state.log.last_index

    async def _give_up_identity(self) -> None:
        """Begin anew under another identity.

        Symptom without it: entries that were acknowledged are gone.
        Sequence: a disk is restored from a backup, the host votes for a
        leader that lacks what the backup lacks.  Cause: a majority was
        counted with that host, and the same majority no longer has it.
        """
        state = self.state
        why = codes.Failure(codes.STALE_COPY, self.name)
        state.record('control-stale-copy', why.sentence())
        if not await state.store.set_aside(why):
            state.store.fail(why)

    # Founding

    async def _found(self, present: list[messages.Present]) -> None:
        """Found the group, once all hosts are there and all are new."""
        state = self.state
        names = {seat.name for seat in self.seats}
        fresh = {a.name: a.identity for a in present if a.fresh}
        fresh[self.name] = state.identity
        complete = self.founds and self._fresh() and names <= set(fresh)
        if not complete or self.seats[0].name != self.name:
            return
        members = [
            groups.Member(seat.name, seat.peer, fresh[seat.name])
            for seat in self.seats
        ]
        number = state.rng.getrandbits(ID_BITS)
        group = groups.Group('%016x' % number, tuple(sorted(members)))
        LOG.info('Founds the group.', members=sorted(names))
        if not await self._adopt(group):
            return
        for peer in self._others():
            state.transport.send(peer, messages.Found(group))
        self._prove(True)

    async def _adopt(self, group: groups.Group) -> bool:
        """Let the log begin with the first members."""
        store = self.state.store
        self.state.founded = True
        store.put_hard(1, '')
        data = groups.encode(group)
        store.put_entry(log_module.Entry(1, 1, log_module.GROUP, data))
        return await store.belong() and await store.flush()

    async def on_found(self, _sender: str, message: messages.Found) -> None:
        """Take part in a new group."""
        state = self.state
        if not state.ready or not self._fresh():
            return
        if message.group.votes(state.identity):
            await self._adopt(message.group)

    # Returning with a new disk

    async def _ask_to_return(self) -> None:
        """Ask the leader for a place as a learner."""
        state = self.state
        question = messages.Rejoin(
            self.name, state.identity, state.transport.address
        )
        for answer in await self._call_roll(state.timing.call_s):
            if answer.leader:
                await state.transport.call(
                    answer.leader, question, state.timing.call_s
                )
                return
