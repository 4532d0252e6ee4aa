"""What a planned stop would leave of each service.

Control hosts know the manifest only; nodes know the upstreams.  So a control
host asks a few nodes what a stop would leave, and takes the strictest of all
that they say: a node that has not yet heard of new upstreams makes it refuse
a stop that another would allow, never the other way round.
"""

import asyncio
import itertools
import random
import typing

import expression

from carawaystair.admin import document
from carawaystair.admin import replies
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import manifest as manifests
from carawaystair.outlier import floor
from carawaystair import routing
from carawaystair import rows
from carawaystair import wire

# Nodes asked about one stop; more are tried when these do not answer.
ASKED = 3
TRIED = 9
TIMEOUT_S = 1.0


@wire.register(140)
class AskCapacity(typing.NamedTuple):
    """Asks a node what planned stops would leave.

    :param hosts: hosts that would be stopped, all of them.
    :param data_centres: data centres that would be stopped, all of them.
    """

    hosts: tuple[str, ...]
    data_centres: tuple[str, ...]


class Capacity(typing.NamedTuple):
    """The slots of one service.

    :param service: its name.
    :param known: slots of all its upstreams that are not gone.
    :param now: slots that take new work now.
    :param left: slots that would take new work.
    """

    service: str
    known: int
    now: int
    left: int


@wire.register(141)
class TellCapacity(typing.NamedTuple):
    """Answers :class:`AskCapacity`.

    :param ready: whether the node knows a current configuration.
    :param services: every service of which the node knows upstreams.
    """

    ready: bool
    services: tuple[Capacity, ...]


# At a node


class Answerer:
    """Answers control hosts from what a node knows.

    :param transport: messages to other processes.
    :param directory: the upstreams.
    :param health: which of them are ejected.
    :param current: returns the configuration in force.
    """

    def __init__(
        self,
        transport: interfaces.Transport,
        directory: interfaces.Directory,
        health: interfaces.Health,
        current: typing.Callable[[], routing.Routing],
    ) -> None:
        self.directory = directory
        self.health = health
        self.current = current
        transport.handle(AskCapacity, self._on_ask)

    async def _on_ask(self, _sender: str, ask: AskCapacity) -> TellCapacity:
        now = self.current()
        stops = manifests.Drains(ask.hosts, ask.data_centres)
        services = [self._capacity(n, now, stops) for n in now.services()]
        return TellCapacity(bool(services), tuple(services))

    def _capacity(
        self, name: str, now: routing.Routing, stops: manifests.Drains
    ) -> Capacity:
        upstreams = self.directory.upstreams(name)
        ejected = self.health.ejected(name)
        working = [
            upstream
            for upstream in upstreams
            if upstream.state == interfaces.UP and upstream.id not in ejected
        ]
        before = _slots(u for u in working if not covers(now.drains, u))
        after = _slots(u for u in working if not covers(stops, u))
        return Capacity(name, _slots(upstreams), before, after)


def covers(stops: manifests.Drains, upstream: interfaces.Upstream) -> bool:
    """Tell whether planned stops cover an upstream."""
    return (
        upstream.host in stops.hosts
        or upstream.data_centre in stops.data_centres
    )


def _slots(upstreams: typing.Iterable[interfaces.Upstream]) -> int:
    return sum(upstream.slots for upstream in upstreams)


# At a control host


async def ask(
    transport: interfaces.Transport,
    nodes: typing.Sequence[str],
    stops: manifests.Drains,
    rng: random.Random,
) -> replies.Reply:
    """Ask a few nodes what planned stops would leave.

    :param nodes: addresses of nodes.
    :param stops: all planned stops, as they would be.
    :return: the strictest :class:`Capacity` of each service, by name; or
        ``CAPACITY_UNKNOWN``.
    """
    question = AskCapacity(stops.hosts, stops.data_centres)
    waiting = rng.sample(list(nodes), min(TRIED, len(nodes)))
    answers: list[TellCapacity] = []
    while waiting and len(answers) < ASKED:
        batch, waiting = waiting[:ASKED], waiting[ASKED:]
        asked = (transport.call(n, question, TIMEOUT_S) for n in batch)
        results = await asyncio.gather(*asked)
        answers += [r.ok for r in results if r.is_ok() and r.ok.ready]
    if not answers:
        text = '%d nodes were asked' % min(TRIED, len(nodes))
        return replies.refuse(codes.CAPACITY_UNKNOWN, text)
    return expression.Ok(_worst(answers))


def _worst(answers: typing.Iterable[TellCapacity]) -> dict[str, Capacity]:
    """Return the strictest view of each service.

    A node that has just started knows few upstreams: it would see little
    left, but a low floor as well.  So what is known is the most that any
    node knows, and what is left the least.
    """
    every = itertools.chain.from_iterable(a.services for a in answers)
    worst: dict[str, Capacity] = {}
    for each in every:
        seen = worst.setdefault(each.service, each)
        worst[each.service] = Capacity(
            each.service,
            max(seen.known, each.known),
            max(seen.now, each.now),
            min(seen.left, each.left),
        )
    return worst


def broken(
    table: rows.Table, worst: typing.Mapping[str, Capacity]
) -> list[str]:
    """Return a sentence for each floor that a stop would break.

    A service that is short already, and that the stop takes nothing from,
    is no reason against it.

    :param table: the rows in force.
    :param worst: what would be left of each service, by name.
    """
    named = (
        (document.service(table, name), each) for name, each in worst.items()
    )
    return [
        '%s would keep %d of %d slots, its floor is %d'
        % (
            each.service,
            each.left,
            each.known,
            floor.required_slots(service, each.known),
        )
        for service, each in named
        if service is not None
        and each.left < each.now
        and each.left < floor.required_slots(service, each.known)
    ]
