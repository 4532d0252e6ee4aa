"""The control part of a process: submissions over the replicated log."""

import asyncio
import hashlib
import pathlib
import typing

import expression
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import changing
from carawaystair.control import confirming
from carawaystair.control import disk as disks
from carawaystair.control import files as files_module
from carawaystair.control import interfaces
from carawaystair.control import joining
from carawaystair.control import messages
from carawaystair.control import parts
from carawaystair.control import replica as replicas
from carawaystair.control import state as states
from carawaystair.control import submissions
from carawaystair import logs
from carawaystair import manifest as manifests
from carawaystair.reservations import placement_state as placement_states
from carawaystair import rows
from carawaystair import timeline as timelines

# How long a change is tried before its sender is told to ask again.
PROPOSE_S = 10.0
# How long the leader may take for one change that was passed on to it.
PASS_ON_S = 3.0
PAUSE_S = 0.2
# How long a host looks for a quorum before it says that it can't tell whether
# a change was made.  An election takes this long at most, as a rule.
ANSWER_S = 3.0
# How long a manifest that was read is remembered.
RECENT_S = 10.0
CONTENT_BYTES = 16
# Refusals that another try may turn into an answer.
PASSING = (codes.NOT_LEADER, codes.OUTCOME_UNKNOWN, codes.PEER_SILENT)
# Of these, the ones after which the change may have been made.
UNSURE = (codes.OUTCOME_UNKNOWN, codes.PEER_SILENT)

LOG = logs.get('control')

Accepted = expression.Result[interfaces.Accepted, interfaces.Refusal]
Outcome = expression.Result[tuple[rows.Version, bytes], codes.Failure]


class Recent(typing.NamedTuple):
    """A manifest that was read a moment ago.

    :param manifest: its bytes.
    :param table: its rows.
    :param read: monotonic time at which it was read.
    """

    manifest: bytes
    table: rows.Table
    read: float


class Replicated(mode.Service):
    """Keeps ``interfaces.Control``.

    :param replica: the replica of this host.
    :param machine: what the replica applies its log to.
    :param timeline: takes note of accepted versions.
    :param offload: runs long work beside the event loop.
    :param placement_state: placements of the reservations, in the same log.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        machine: submissions.Submissions,
        timeline: timelines.Timeline,
        offload: typing.Callable = asyncio.to_thread,
        placement_state: placement_states.PlacementState | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.placement_state = (
            placement_state or placement_states.PlacementState()
        )
        self.replica = replica
        self.machine = machine
        self.timeline = timeline
        self.offload = offload
        self.recent: Recent | None = None
        self.transport = replica.shared.transport
        self.confirming = confirming.Confirming(replica)
        self.transport.handle(messages.Propose, self._on_propose)
        self.transport.handle(messages.MemberChange, self._on_change)

    async def on_start(self) -> None:
        """Start the replica."""
        await self.add_runtime_dependency(self.replica)

    async def propose(
        self, entry: bytes
    ) -> expression.Result[bytes, codes.Failure]:
        """Have one entry of another machine applied, see ``parts``.

        It may be applied twice when an answer is lost; the machine must
        pass over what it has applied before.

        :return: what the machine answered.
        """
        result = await self._propose(messages.Propose(entry))
        return result.map(lambda answered: answered[1])

    # Submissions

    async def submit(self, submission: interfaces.Submission) -> Accepted:
        """Put a manifest in force, once."""
        read = await self._read(submission.manifest)
        if read.is_error():
            return read
        wanted = read.ok
        await self._catch_up(submission.parent)
        delta = await self._difference(wanted)
        change = submissions.Change(
            submission.id,
            submission.author,
            interfaces.SUBMIT,
            clock.wall_ms(),
            _content(submission.parent, submission.manifest),
            submission.parent,
            delta.digest,
            delta.put,
            delta.drop,
        )
        return await self._make(change)

    async def rollback(self, rollback: interfaces.Rollback) -> Accepted:
        """Put the content of an earlier version in force as a new one."""
        await self._catch_up(rollback.parent)
        content = _content(rollback.parent, str(rollback.to).encode())
        known = self.machine.answers.get(rollback.id)
        if known is not None and known.content == content:
            return _accepted(known)
        back = self.machine.versions.back(rollback.to)
        if back is None:
            return _refuse(codes.VERSION_UNKNOWN, str(rollback.to))
        put, drop, digest = back
        change = submissions.Change(
            rollback.id,
            rollback.author,
            interfaces.ROLLBACK,
            clock.wall_ms(),
            content,
            rollback.parent,
            digest,
            put,
            drop,
        )
        return await self._make(change)

    async def preview(
        self, manifest: bytes
    ) -> expression.Result[rows.Delta, interfaces.Refusal]:
        """Check a manifest and return what it would change."""
        read = await self._read(manifest)
        if read.is_error():
            return read
        return expression.Ok(await self._difference(read.ok))

    async def preview_rollback(
        self, to: rows.Version
    ) -> expression.Result[rows.Delta, interfaces.Refusal]:
        """Return what a rollback would change."""
        version = self.machine.version
        back = self.machine.versions.back(to)
        if back is None:
            return _refuse(codes.VERSION_UNKNOWN, str(to))
        put, drop, digest = back
        after = rows.Version(version.term, version.index + 1)
        return expression.Ok(rows.Delta(version, after, put, drop, digest))

    async def answer(self, submission_id: str) -> Accepted:
        """Return the answer that a submission got."""
        if submission_id not in self.machine.answers:
            # This host may not have heard of it yet.
            current = await self._current_soon()
            if current.is_error():
                return current
        answer = self.machine.answers.get(submission_id)
        if answer is None:
            return _refuse(codes.SUBMISSION_UNKNOWN, submission_id)
        return _accepted(answer)

    async def _current_soon(
        self,
    ) -> expression.Result[rows.Version, interfaces.Refusal]:
        """Return the newest version, once there is a quorum."""
        end = clock.now() + ANSWER_S
        while True:
            result = await self.current()
            passes = result.is_error() and result.error.code in PASSING
            if not passes or clock.now() + PAUSE_S > end:
                return result
            await asyncio.sleep(PAUSE_S)

    async def _read(self, manifest: bytes) -> expression.Result:
        """Return the rows of a manifest, or all its mistakes.

        A submission is previewed, checked and then made, with the same
        bytes.  At the size to design for it takes half a second to read
        them, so the last ones are remembered for a moment.
        """
        if self.recent is not None and self.recent.manifest is manifest:
            return expression.Ok(self.recent.table)
        read = await self.offload(manifests.read, manifest)
        if read.is_error():
            code, mistakes = read.error
            return _refuse(code, mistakes=tuple(mistakes))
        table = await self.offload(rows.from_manifest, read.ok)
        self.recent = Recent(manifest, table, clock.now())
        return expression.Ok(table)

    def _forget(self) -> None:
        """Let go of the manifest that was read last, when it is old."""
        if self.recent and clock.now() - self.recent.read > RECENT_S:
            self.recent = None

    async def _difference(self, wanted: rows.Table) -> rows.Delta:
        """Return what leads from the table applied here to another one."""
        machine = self.machine
        version = machine.version
        return await self.offload(
            rows.difference,
            machine.table,
            wanted,
            version,
            rows.Version(version.term, version.index + 1),
            machine.digest,
        )

    async def _catch_up(self, parent: bytes) -> None:
        """Make sure that a parent unknown here is not merely news."""
        if parent != self.machine.digest:
            await self.current()

    async def _make(self, change: submissions.Change) -> Accepted:
        entry = await self.offload(submissions.encode, change)
        if len(entry) > submissions.MAX_ENTRY_BYTES:
            rows_changed = len(change.put) + len(change.drop)
            text = '%d rows, %d bytes packed' % (rows_changed, len(entry))
            return _refuse(codes.CHANGE_TOO_LARGE, text)
        result = await self._propose(messages.Propose(entry))
        if result.is_error():
            return self._refused(result.error)
        version, data = result.ok
        answer = submissions.decode_answer(data)
        if answer.code == codes.OK.number and answer.version == version:
            text = '%s by %s' % (change.kind, change.author)
            self.timeline.record(
                'manifest-accepted', text, version=str(version)
            )
        return _accepted(answer)

    # Proposing, here or at the leader

    async def _propose(
        self, question: messages.Propose | messages.MemberChange
    ) -> Outcome:
        """Have a change made by whoever leads, and wait for it here.

        It is tried again until it is answered: the log decides once for
        each submission id, so that a second try can't do it twice.
        """
        end = clock.now() + PROPOSE_S
        unsure = False
        while True:
            result = await self._try(question)
            failed = result.is_error()
            if not failed:
                return await self._here(result, end)
            code = result.error.code
            unsure = unsure or code in UNSURE
            if code not in PASSING:
                return result
            if clock.now() + PAUSE_S > end:
                why = codes.OUTCOME_UNKNOWN if unsure else codes.NOT_LEADER
                return codes.fail(why, result.error.detail)
            await asyncio.sleep(PAUSE_S)

    async def _try(
        self, question: messages.Propose | messages.MemberChange
    ) -> Outcome:
        leader = self.replica.shared.leader_peer
        if leader in ('', self.transport.address):
            return await self._lead(question)
        result = await self.transport.call(leader, question, PASS_ON_S)
        return result.bind(changing.result_of)

    async def _lead(
        self, question: messages.Propose | messages.MemberChange
    ) -> Outcome:
        if isinstance(question, messages.Propose):
            return await self.replica.propose(question.data)
        return await self.replica.change(question)

    async def _here(self, result: Outcome, end: float) -> Outcome:
        """Wait until this host has applied what was answered."""
        index = result.ok[0].index
        try:
            async with asyncio.timeout(max(end - clock.now(), PAUSE_S)):
                await self.replica.applying.reach(index)
        except TimeoutError:
            # Accepted, but this host is behind; the answer stands.
            LOG.warning('Behind the leader.', index=index)
        return result

    async def _on_propose(
        self, _sender: str, question: messages.Propose
    ) -> messages.Outcome:
        return changing.outcome(await self._lead(question))

    async def _on_change(
        self, _sender: str, question: messages.MemberChange
    ) -> messages.Outcome:
        return changing.outcome(await self._lead(question))

    def _refused(self, failure: codes.Failure) -> expression.Result:
        machine = self.machine
        leader = self.replica.shared.leader_peer
        refusal = interfaces.Refusal(
            failure.code,
            failure.detail,
            (),
            machine.version,
            machine.digest,
            leader,
        )
        return expression.Error(refusal)

    # Reads

    async def current(
        self,
    ) -> expression.Result[rows.Version, interfaces.Refusal]:
        """Return the version in force, confirmed by a quorum just now."""
        # Nodes ask all the time.
        self._forget()
        result = await self.confirming.confirm()
        if result.is_error():
            return self._refused(result.error)
        return expression.Ok(self.machine.version)

    def version(self) -> rows.Version:
        """Return the version applied here."""
        return self.machine.version

    def digest(self) -> bytes:
        """Return the digest of the table applied here."""
        return self.machine.digest

    def table(self) -> rows.Table:
        """Return the table applied here."""
        return self.machine.table

    def delta_since(self, version: rows.Version) -> rows.Delta | None:
        """Return what leads from ``version`` to the one applied here."""
        return self.machine.versions.delta(version)

    def history(self, limit: int = 100) -> tuple[interfaces.Record, ...]:
        """Return the newest records, newest first."""
        return self.machine.versions.records(limit)

    def status(self) -> interfaces.Status:
        """Return the state of this control host."""
        return self.replica.status()

    def subscribe(
        self, callback: typing.Callable[[rows.Version], None]
    ) -> None:
        """Call ``callback`` with each version once it is applied here."""
        self.machine.callbacks.append(callback)

    # The group

    async def add_learner(
        self, name: str, peer: str
    ) -> expression.Result[int, interfaces.Refusal]:
        """Let a host follow the log without a vote."""
        return await self._change(changing.ADD, name, peer)

    async def promote(
        self, name: str
    ) -> expression.Result[int, interfaces.Refusal]:
        """Give a learner that has caught up a vote."""
        return await self._change(changing.PROMOTE, name)

    async def remove(
        self, name: str
    ) -> expression.Result[int, interfaces.Refusal]:
        """Take a host out of the group."""
        return await self._change(changing.REMOVE, name)

    async def _change(
        self, action: str, name: str, peer: str = ''
    ) -> expression.Result[int, interfaces.Refusal]:
        question = messages.MemberChange(action, name, peer)
        result = await self._propose(question)
        if result.is_error():
            return self._refused(result.error)
        return expression.Ok(result.ok[0].index)


def _content(parent: bytes, data: bytes) -> bytes:
    """Return the digest of what a sender sent."""
    digest = hashlib.blake2b(parent + b'\0', digest_size=CONTENT_BYTES)
    digest.update(data)
    return digest.digest()


def _refuse(code: codes.Code, detail: str = '', mistakes: tuple = ()):
    return expression.Error(interfaces.Refusal(code, detail, mistakes))


def _accepted(answer: submissions.Answer) -> Accepted:
    """Return the result that an answer of the log stands for."""
    if answer.code == codes.OK.number:
        return expression.Ok(
            interfaces.Accepted(answer.version, answer.digest)
        )
    refusal = interfaces.Refusal(
        codes.TABLE.get(answer.code, codes.OUTCOME_UNKNOWN),
        answer.detail,
        (),
        answer.version,
        answer.digest,
    )
    return expression.Error(refusal)


def make(kernel) -> Replicated:
    """Return the control part of a process."""
    settings = kernel.settings
    seat = joining.Seat(settings.host, settings.peer)
    seats = tuple(
        joining.Seat(voter.name, voter.peer)
        for voter in settings.control.voters
    )
    folder: pathlib.Path = kernel.data('control')
    machine = submissions.Submissions()
    placement_state = placement_states.PlacementState()
    machines = parts.Parts(machine, {placement_states.PREFIX: placement_state})
    replica = replicas.make(
        seat,
        seats or (seat,),
        kernel.links,
        files_module.Folder(folder),
        disks.make(),
        machines,
        kernel.random('control'),
        states.Timing(
            patience_s=settings.control.patience_s,
            grow_to=settings.control.grow_to,
        ),
        record=kernel.timeline.record,
        founds=settings.control.founds,
    )
    return Replicated(
        replica, machine, kernel.timeline, placement_state=placement_state
    )
