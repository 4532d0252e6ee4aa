"""What the parts of one replica share."""

import asyncio
import random
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import group as groups
from carawaystair.control import interfaces
from carawaystair.control import log as log_module
from carawaystair.control import machine as machines
from carawaystair.control import store as stores
from carawaystair import interfaces as kernel_interfaces
from carawaystair import logs

LOG = logs.get('raft')

# A replica that has just started hears a leader that lives within so many
# heartbeats: the first one may cross the making of its connection.
STARTING_HEARTBEATS = 2.0


class Timing(typing.NamedTuple):
    """Times of the protocol, in seconds.

    :param heartbeat_s: a leader is heard at least so often.
    :param election_s: a follower that heard no leader for so long, and up to
        twice as long, stands for election; a leader that heard no quorum
        for so long steps down.
    :param call_s: how long the answer to a question may take.
    :param install_s: how long one piece of a snapshot may take; the last
        one includes its sync.
    :param patience_s: a replica that starts waits so long for all other
        voters; then a majority must do.  The one that saw its newest promise
        may only be slow, or starting as well.
    :param grow_to: voters that the group grows to by itself, see
        ``growth``.
    """

    heartbeat_s: float = 0.2
    election_s: float = 1.0
    call_s: float = 0.5
    install_s: float = 5.0
    patience_s: float = 5.0
    grow_to: int = 0


class Limits(typing.NamedTuple):
    """Bounds on what a replica holds.

    :param compact_entries: a snapshot is taken after so many entries.
    :param compact_bytes: or after entries of so many bytes.
    :param keep_entries: entries kept before a snapshot, for followers that
        are a little behind.
    :param pending: changes that may wait to be committed.
    :param pending_bytes: bytes that may wait to be committed.
    """

    compact_entries: int = 2000
    compact_bytes: int = 8 * 1024 * 1024
    keep_entries: int = 500
    pending: int = 1000
    pending_bytes: int = 16 * 1024 * 1024


class State:
    """The state of one replica.

    :param transport: messages to the others.
    :param store: term, vote and log, durable.
    :param machine: what entries are applied to.
    :param rng: of election timeouts.
    :param timing: the times of the protocol.
    :param limits: the bounds.
    :param record: takes note of an event, see ``timeline``.
    """

    def __init__(
        self,
        transport: kernel_interfaces.Transport,
        store: stores.Store,
        machine: machines.Machine,
        rng: random.Random,
        timing: Timing = Timing(),
        limits: Limits = Limits(),
        record: typing.Callable = lambda _kind, _text: None,
    ) -> None:
        self.transport = transport
        self.store = store
        self.machine = machine
        self.rng = rng
        self.timing = timing
        self.limits = limits
        self.record = record
        self.role = interfaces.FOLLOWER
        self.leader = ''
        self.leader_peer = ''
        self.commit = 0
        self.applied = 0
        # When a leader was last heard, and how old its quorum was then.
        self.heard = 0.0
        # Whether one was heard since this replica started.
        self.leader_known = False
        self.age_s = 0.0
        # Whether this replica has made sure that its disk holds all that it
        # ever promised; before that it neither votes nor acknowledges.
        self.proven_event = asyncio.Event()
        # Whether the group was founded by or with this process: nothing was
        # decided before it started.
        self.founded = False
        # Whether the leader counts this identity as a member.
        self.counted = True
        self.committed = asyncio.Event()
        self.waiters: dict[int, asyncio.Future] = {}
        self.step_down_callbacks: list[typing.Callable[[], None]] = []
        store.failed_callbacks.append(
            lambda failure: self.step_down(failure.sentence())
        )

    @property
    def term(self) -> int:
        """The newest term that this replica knows."""
        return self.store.term

    @property
    def log(self) -> log_module.Log:
        """The log."""
        return self.store.log

    @property
    def identity(self) -> str:
        """The identity of the disk."""
        return self.store.identity.identity

    @property
    def group(self) -> groups.Group:
        """The newest members in the log."""
        return self.store.log.group

    @property
    def failure(self) -> codes.Failure | None:
        """Why the storage can't be used now, if so."""
        return self.store.failure

    @property
    def lost(self) -> bool:
        """Whether the storage failed until the process starts again."""
        return self.store.lost

    @property
    def ready(self) -> bool:
        """Whether this replica may answer others at all.

        Before its disk is read it does not know its own identity; what it
        said then would be taken for the word of another disk.
        """
        return self.store.opened and self.failure is None

    @property
    def proven(self) -> bool:
        """Whether the disk was found to hold all that was promised."""
        return self.proven_event.is_set()

    def leads(self, term: int) -> bool:
        """Tell whether this replica still leads in ``term``."""
        return (
            self.role == interfaces.LEADER
            and self.term == term
            and self.failure is None
        )

    def foreign(self, group: str) -> bool:
        """Tell whether a message comes from another group.

        A wrong address in the settings could make hosts of two groups talk
        to each other; mixing their logs would lose both.
        """
        return bool(self.group.id) and group != self.group.id

    def observe(self, term: int) -> None:
        """Follow a newer term."""
        if term <= self.term:
            return
        self.step_down('a newer term')
        self.store.put_hard(term, '')

    def step_down(self, why: str) -> None:
        """Be a follower that knows no leader."""
        led = self.role == interfaces.LEADER
        self.role = interfaces.FOLLOWER
        self.leader = ''
        self.leader_peer = ''
        if not led:
            return
        LOG.info('Stepped down.', term=self.term, why=why)
        self.record('control-stepped-down', 'term %d: %s' % (self.term, why))
        for callback in self.step_down_callbacks:
            callback()

    def started(self) -> None:
        """Take note that this replica starts.

        Whom it followed just before it stopped, it can't tell.  A leader
        that lives will be heard soon; until then it votes for no other one.
        Where all have started at once there is none, and whoever waits for a
        configuration that a quorum vouches for waits for the election.
        """
        timing = self.timing
        grace_s = STARTING_HEARTBEATS * timing.heartbeat_s
        self.heard = clock.now() - max(timing.election_s - grace_s, 0.0)

    def heard_leader(self, age_s: float = 0.0) -> None:
        """Take note that a leader was heard just now."""
        self.heard = clock.now()
        self.age_s = age_s
        self.leader_known = True

    def alone(self) -> bool:
        """Tell whether nobody else can lead."""
        group = self.group
        return group.quorum() == 1 and group.votes(self.identity)

    def leader_is_fresh(self) -> bool:
        """Tell whether a leader was heard so lately that voting for another
        one could only disturb the group.
        """
        if self.role == interfaces.LEADER:
            return True
        if self.alone():
            return False
        return clock.now() - self.heard < self.timing.election_s

    def advance(self, commit: int) -> None:
        """Take note that entries up to ``commit`` are committed."""
        if commit > self.commit:
            self.commit = commit
            self.committed.set()
