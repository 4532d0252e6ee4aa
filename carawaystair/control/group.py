"""The control group: who votes, who only follows, and how that changes."""

import typing

import msgspec

VOTER = 'voter'
LEARNER = 'learner'
# A learner that was a voter under an identity that its disk has lost; it
# gets its vote back by itself once it has caught up.
RETURNING = 'returning'


class Member(typing.NamedTuple):
    """One member of the group.

    :param name: name of its host.
    :param peer: ``ip:port`` for messages.
    :param identity: names its disk, see ``store``.
    :param standing: one of the constants above.
    """

    name: str
    peer: str
    identity: str
    standing: str = VOTER


class Group(typing.NamedTuple):
    """The members at one place of the log.

    :param id: names the group for ever, so that hosts of two groups which
        meet by a mistake in settings don't mix their logs.
    :param members: the members.
    """

    id: str = ''
    members: tuple[Member, ...] = ()

    def voters(self) -> tuple[Member, ...]:
        """Return the members that vote."""
        return tuple(m for m in self.members if m.standing == VOTER)

    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters()) // 2 + 1

    def find(self, identity: str) -> Member | None:
        """Return the member with an identity."""
        found = (m for m in self.members if m.identity == identity)
        return next(found, None)

    def named(self, name: str) -> Member | None:
        """Return the member with a name."""
        return next((m for m in self.members if m.name == name), None)

    def votes(self, identity: str) -> bool:
        """Tell whether an identity has a vote."""
        member = self.find(identity)
        return member is not None and member.standing == VOTER

    def put(self, member: Member) -> 'Group':
        """Return the group with a member added or changed, by name."""
        others = [m for m in self.members if m.name != member.name]
        return Group(self.id, tuple(sorted([*others, member])))

    def shown(self) -> str:
        """Return the members as a person reads them."""
        return ', '.join('%s %s' % (m.name, m.standing) for m in self.members)

    def drop(self, name: str) -> 'Group':
        """Return the group without a member."""
        return Group(self.id, tuple(m for m in self.members if m.name != name))


NOBODY = Group()
_DECODER = msgspec.msgpack.Decoder(Group)


def encode(group: Group) -> bytes:
    """Return the bytes of a group, for an entry of the log."""
    return msgspec.msgpack.encode(group)


def decode(data: bytes) -> Group | None:
    """Return the group that :func:`encode` took, None for anything else.

    It stands in the log of every replica: were it to raise, none of them
    would start again.  All of them leave it out alike.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def one_step(old: Group, new: Group) -> bool:
    """Tell whether a change is safe as one entry of the log.

    Any majority of the old voters and any of the new ones share a member
    when the two sets differ by one voter at most (Ongaro 2014, 4.1).  With
    a larger step two leaders could win the same term, each with a majority
    of its own set.
    """
    before = {m.identity for m in old.voters()}
    after = {m.identity for m in new.voters()}
    return len(before ^ after) <= 1 and bool(after)


def majority_value(values: typing.Iterable, quorum: int):
    """Return the greatest value that ``quorum`` of the values reach."""
    ordered = sorted(values, reverse=True)
    return ordered[quorum - 1]
