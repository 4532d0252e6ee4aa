"""Changes of the control group, one member at a time, by the leader."""

import typing

import expression

from carawaystair import codes
from carawaystair.control import group as groups
from carawaystair.control import interfaces
from carawaystair.control import leading as leading_module
from carawaystair.control import log as log_module
from carawaystair.control import messages
from carawaystair.control import state as states
from carawaystair.control import state_files
from carawaystair import logs
from carawaystair import rows

ADD = 'add'
PROMOTE = 'promote'
REMOVE = 'remove'

LOG = logs.get('raft')

Result = expression.Result[typing.Any, codes.Failure]


class Changing:
    """The part of a replica that changes the members.

    :param state: what the parts share.
    :param leading: proposes the change.
    """

    def __init__(
        self, state: states.State, leading: leading_module.Leading
    ) -> None:
        self.state = state
        self.leading = leading
        state.transport.handle(messages.Rejoin, self.on_rejoin)
        state.transport.handle(messages.Hello, self.on_hello)

    async def change(self, change: messages.MemberChange) -> Result:
        """Make one change; the answer comes once it is committed.

        :return: version and result of the entry.
        """
        group = self.state.group
        member = group.named(change.name)
        if change.action == ADD:
            return await self._add(change)
        if member is None:
            text = 'no member is named %s' % change.name
            return codes.fail(codes.VOTER_UNFIT, text)
        if change.action == PROMOTE:
            return await self._promote(member)
        return await self._propose(group.drop(change.name))

    async def _add(self, change: messages.MemberChange) -> Result:
        if self.state.group.named(change.name) is not None:
            text = '%s is a member already' % change.name
            return codes.fail(codes.VOTER_UNFIT, text)
        result = await self.state.transport.call(
            change.peer, messages.Hello(), self.state.timing.call_s
        )
        if result.is_error():
            return result
        present = result.ok
        if present.name != change.name:
            text = '%s is the host %s' % (change.peer, present.name)
            return codes.fail(codes.VOTER_UNFIT, text)
        member = groups.Member(
            change.name, change.peer, present.identity, groups.LEARNER
        )
        return await self._propose(self.state.group.put(member))

    async def _promote(self, member: groups.Member) -> Result:
        progress = self.leading.others.peers.get(member.identity)
        if progress is None or not self.leading.others.caught_up(progress):
            # A voter that lacks entries would count for a majority that
            # can't commit until it has them.
            text = '%s has not caught up' % member.name
            return codes.fail(codes.VOTER_UNFIT, text)
        voter = member._replace(standing=groups.VOTER)
        return await self._propose(self.state.group.put(voter))

    async def _propose(self, group: groups.Group) -> Result:
        state = self.state
        if state.role != interfaces.LEADER:
            return codes.fail(codes.NOT_LEADER, state.leader_peer)
        if not self.leading.settled():
            return codes.fail(codes.VOTERS_BUSY)
        if not groups.one_step(state.group, group):
            text = 'more than one vote would change, or none remain'
            return codes.fail(codes.VOTER_UNFIT, text)
        data = groups.encode(group)
        return await self.leading.propose(log_module.GROUP, data)

    async def on_hello(
        self, _sender: str, _message: messages.Hello
    ) -> messages.Present | None:
        """Tell the leader this host's identity."""
        state = self.state
        if not state.ready:
            return None
        return messages.Present(
            state.store.name,
            state.identity,
            False,
            state.group,
            state_files.Known(),
        )

    async def on_rejoin(
        self, _sender: str, message: messages.Rejoin
    ) -> messages.Outcome:
        """Let a host whose disk was lost come back as a learner."""
        return outcome(await self._rejoin(message))

    async def _rejoin(self, message: messages.Rejoin) -> Result:
        state = self.state
        if state.role != interfaces.LEADER:
            return codes.fail(codes.NOT_LEADER, state.leader_peer)
        if state.group.find(message.identity) is not None:
            version = rows.Version(state.term, state.commit)
            return expression.Ok((version, b''))
        member = state.group.named(message.name)
        if member is None and state.timing.grow_to:
            LOG.info('A host joins.', name=message.name)
            state.record('control-joined', message.name)
            return await self._propose(state.group.put(_learner(message)))
        if member is None:
            text = 'no member is named %s' % message.name
            return codes.fail(codes.VOTER_UNFIT, text)
        progress = self.leading.others.peers.get(member.identity)
        if progress is None or self.leading.others.fresh(progress):
            # Two processes with one name would take turns in losing the
            # other's vote.
            return codes.fail(codes.IDENTITY_IN_USE, message.name)
        LOG.info('A member has a new disk.', name=message.name)
        state.record('control-new-disk', message.name)
        back = _learner(message)
        if member.standing != groups.LEARNER:
            back = back._replace(standing=groups.RETURNING)
        return await self._propose(state.group.put(back))


def _learner(message: messages.Rejoin) -> groups.Member:
    return groups.Member(
        message.name, message.peer, message.identity, groups.LEARNER
    )


def outcome(result: Result) -> messages.Outcome:
    """Return the message that carries a result to another host."""
    if result.is_error():
        failure = result.error
        return messages.Outcome(failure.code.number, failure.detail)
    version, data = result.ok
    return messages.Outcome(codes.OK.number, '', version, data)


def result_of(answer: messages.Outcome) -> Result:
    """Return the result that :func:`outcome` carried."""
    if answer.code != codes.OK.number:
        code = codes.TABLE.get(answer.code, codes.OUTCOME_UNKNOWN)
        return codes.fail(code, answer.detail)
    return expression.Ok((answer.version, answer.data))
