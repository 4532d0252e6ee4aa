"""One replica of the control log, put together from its parts."""

import asyncio
import random
import typing

import expression
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import applying
from carawaystair.control import changing
from carawaystair.control import disk as disks
from carawaystair.control import election
from carawaystair.control import files as files_module
from carawaystair.control import following
from carawaystair.control import group as groups
from carawaystair.control import interfaces
from carawaystair.control import joining
from carawaystair.control import leading
from carawaystair.control import log as log_module
from carawaystair.control import machine as machines
from carawaystair.control import messages
from carawaystair.control import state as states
from carawaystair.control import store as stores
from carawaystair import interfaces as kernel_interfaces
from carawaystair import logs
from carawaystair import rows

# What is known of the others is saved so often, when it changed.
KNOWN_EVERY_S = 2.0
# A damaged disk is set aside only for these; one that can't be read at all
# would fail again.
DAMAGED = (codes.LOG_CORRUPT, codes.SNAPSHOT_CORRUPT)

LOG = logs.get('raft')


class Replica(mode.Service):
    """A replica of the log; it applies the log to a machine.

    :param state: what its parts share.
    :param seats: the control hosts of the settings.
    :param founds: whether it may found the group.
    """

    def __init__(
        self,
        state: states.State,
        seats: typing.Sequence[joining.Seat],
        founds: bool = True,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.shared = state
        self.seats = tuple(seats)
        self.leading = leading.Leading(state, self.add_future)
        self.election = election.Election(state, self.leading)
        self.following = following.Following(state)
        self.applying = applying.Applying(state, self.leading)
        self.changing = changing.Changing(state, self.leading)
        self.joining = joining.Joining(state, self.seats, founds)

    async def on_start(self) -> None:
        """Read the disk."""
        await self._open()

    async def _open(self) -> None:
        store = self.shared.store
        await store.open()
        alone = len(self.seats) < 2
        if store.failure is not None:
            self.shared.record('control-damaged', store.failure.sentence())
            if store.failure.code in DAMAGED and not alone:
                await store.set_aside(store.failure)
        if store.cut:
            failure = codes.Failure(codes.LOG_TAIL_CUT, '%d B' % store.cut)
            self.shared.record('control-tail-cut', failure.sentence())
        self.shared.started()

    async def on_stop(self) -> None:
        """Hand the lead over, so that nobody waits for a timeout."""
        if self.shared.role == interfaces.LEADER:
            await self._hand_over()
        self.shared.step_down('stopping')
        self.shared.store.disk.close()
        self.shared.store.files.close()

    async def _hand_over(self) -> None:
        state = self.shared
        ready = [
            progress.member
            for progress in self.leading.others.peers.values()
            if self.leading.others.caught_up(progress)
            and progress.match == state.log.last_index
            and state.group.votes(progress.member.identity)
        ]
        if ready:
            message = messages.Handover(state.term, state.identity)
            state.transport.send(ready[0].peer, message)
            await asyncio.sleep(state.timing.heartbeat_s)

    # Tasks

    @mode.Service.task
    async def _write(self) -> None:
        store = self.shared.store
        while not store.opened and not store.lost:
            await asyncio.sleep(stores.FULL_RETRY_S)
            await self._open()
        await store.write()

    @mode.Service.task
    async def _join(self) -> None:
        await self.joining.run()

    @mode.Service.task
    async def _elect(self) -> None:
        await self.election.run()

    @mode.Service.task
    async def _apply(self) -> None:
        await self.applying.run()

    @mode.Service.task
    async def _remember(self) -> None:
        """Save what the others promised, for when they forget it."""
        store = self.shared.store
        saved = dict(store.known)
        while not store.lost:
            await asyncio.sleep(KNOWN_EVERY_S)
            known = dict(store.known)
            if known != saved and await store.save_known():
                saved = known

    # For the layer above

    async def propose(
        self, entry: bytes
    ) -> expression.Result[tuple[rows.Version, bytes], codes.Failure]:
        """Have an entry committed and applied.

        :return: its version and the machine's result; ``NOT_LEADER`` with
            the leader's ``ip:port``, when the entry was surely not taken;
            ``OUTCOME_UNKNOWN``, when it may still be committed.
        """
        return await self.leading.propose(log_module.CHANGE, entry)

    async def read_index(
        self,
    ) -> expression.Result[int, codes.Failure]:
        """Return an index that holds all that was committed before.

        A read after that index was applied can't be stale.
        """
        state = self.shared
        if state.failure is not None:
            return expression.Error(state.failure)
        if state.role != interfaces.LEADER:
            return codes.fail(codes.NOT_LEADER, state.leader_peer)
        if state.commit < self.leading.first:
            # Until an entry of its own term is committed, a new leader does
            # not know how far the entries of earlier ones are.
            try:
                async with asyncio.timeout(state.timing.election_s):
                    await self.applying.reach(self.leading.first)
            except TimeoutError:
                return codes.fail(codes.NOT_LEADER)
        index = state.commit
        if not await self.leading.confirm():
            return codes.fail(codes.NOT_LEADER, state.leader_peer)
        return expression.Ok(index)

    async def change(
        self, change: messages.MemberChange
    ) -> expression.Result[tuple[rows.Version, bytes], codes.Failure]:
        """Change the members of the group by one."""
        if self.shared.role != interfaces.LEADER:
            return codes.fail(codes.NOT_LEADER, self.shared.leader_peer)
        return await self.changing.change(change)

    def stale_s(self) -> float:
        """Return how old a read may be, in seconds."""
        state = self.shared
        if state.role == interfaces.LEADER:
            return 0.0
        return clock.now() - state.heard + state.age_s

    def status(self) -> interfaces.Status:
        """Return the state of this replica."""
        state = self.shared
        leader = state.group.find(state.leader)
        return interfaces.Status(
            state.store.name,
            self._role(),
            state.term,
            leader.name if leader else '',
            state.leader_peer,
            state.commit,
            state.applied,
            state.log.last_index,
            self.stale_s(),
            tuple(
                interfaces.Voter(
                    m.name, m.peer, m.identity, m.standing == groups.VOTER
                )
                for m in state.group.members
            ),
            state.failure,
        )

    def control_group(self) -> kernel_interfaces.ControlGroup:
        """Return what other parts of the process need of the group."""
        state = self.shared
        return kernel_interfaces.ControlGroup(
            state.log.group_index,
            tuple(member.peer for member in state.group.voters()),
            state.founded,
        )

    def _role(self) -> str:
        state = self.shared
        if state.failure is not None:
            return interfaces.FAILED
        if not state.group.votes(state.identity):
            return interfaces.LEARNER
        return state.role


def make(
    seat: joining.Seat,
    seats: typing.Sequence[joining.Seat],
    transport: kernel_interfaces.Transport,
    files: files_module.Files,
    disk: disks.Disk,
    machine: machines.Machine,
    rng: random.Random,
    timing: states.Timing = states.Timing(),
    limits: states.Limits = states.Limits(),
    record: typing.Callable = lambda _kind, _text: None,
    founds: bool = True,
) -> Replica:
    """Return a replica that is not started yet.

    :param seat: this host.
    :param seats: all control hosts of the settings, the founder first.
    :param record: takes note of an event: ``record(kind, text)``.
    :param founds: whether this host may found the group.
    """
    store = stores.Store(seat.name, files, disk, rng)
    state = states.State(
        transport, store, machine, rng, timing, limits, record
    )
    return Replica(state, seats, founds)
