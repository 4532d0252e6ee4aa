"""What must hold before a change goes to the control group."""

import asyncio
import random
import typing

import expression

from carawaystair.admin import capacity
from carawaystair.admin import document
from carawaystair.admin import ownership
from carawaystair.admin import replies
from carawaystair.admin import teams
from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import interfaces
from carawaystair import manifest as manifests
from carawaystair import rows

# A base that moves while a change is being checked is read again so often.
TRIES = 3

Preview = typing.Callable[[], typing.Awaitable[replies.Reply]]
Nodes = typing.Callable[[], typing.Sequence[str]]


class Base(typing.NamedTuple):
    """The configuration that a change was checked against.

    :param version: its version.
    :param digest: its digest.
    :param table: its rows.
    """

    version: rows.Version
    digest: bytes
    table: rows.Table


class Guard:
    """Checks changes for ownership and capacity floors.

    The control group accepts a change only on the very version that it was
    checked against, since the digest of that version is its parent; so
    nothing can slip in between the check and the change.

    :param group: the control group.
    :param transport: messages to nodes.
    :param nodes: returns the addresses of nodes.
    :param rng: picks the nodes that are asked.
    """

    def __init__(
        self,
        group: control.Control,
        transport: interfaces.Transport,
        nodes: Nodes,
        rng: random.Random,
    ) -> None:
        self.group = group
        self.transport = transport
        self.nodes = nodes
        self.rng = rng

    def base(self) -> Base:
        """Return the configuration applied here."""
        group = self.group
        return Base(group.version(), group.digest(), group.table())

    async def preview(self, ask: Preview) -> replies.Reply:
        """Learn what a change would do.

        :param ask: asks the control group for it.
        :return: the :class:`Base` and the ``rows.Delta`` from it.
        """
        for _try in range(TRIES):
            base = self.base()
            result = await ask()
            if result.is_error():
                return result
            if result.ok.base == base.version:
                return expression.Ok((base, result.ok))
        return replies.refuse(codes.ADMIN_BUSY, 'the version kept changing')

    async def check(
        self, base: Base, delta: rows.Delta, caller: teams.Caller
    ) -> replies.Reply:
        """Check a change.

        :return: ``Ok`` of nothing; or ``FOREIGN_CHANGE`` or
            ``FLOOR_WOULD_BREAK`` or ``CAPACITY_UNKNOWN``.
        """
        foreign = await asyncio.to_thread(
            ownership.foreign, base.table, delta, caller
        )
        if foreign:
            text = 'team %r' % caller.team
            return replies.refuse(codes.FOREIGN_CHANGE, text, foreign)
        stops = dict(delta.put).get(rows.DRAINS)
        if stops is None or not base.table:
            return expression.Ok(None)
        wanted = document.drains({rows.DRAINS: stops})
        return await self.stops(base, wanted)

    async def stops(
        self, base: Base, wanted: manifests.Drains
    ) -> replies.Reply:
        """Check planned stops against the capacity floors.

        :param wanted: all planned stops, as they would be.
        """
        old = document.drains(base.table)
        more = set(wanted.hosts) - set(old.hosts)
        more |= set(wanted.data_centres) - set(old.data_centres)
        if not more:
            return expression.Ok(None)
        asked = await capacity.ask(
            self.transport, self.nodes(), wanted, self.rng
        )
        if asked.is_error():
            return asked
        broken = capacity.broken(base.table, asked.ok)
        if broken:
            detail = '; '.join(broken)
            return replies.refuse(codes.FLOOR_WOULD_BREAK, detail)
        return expression.Ok(None)
