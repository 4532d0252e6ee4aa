"""Resources that only read."""

import asyncio
import pathlib
import typing

from aiohttp import web
import expression
import msgspec

from carawaystair.admin import audit
from carawaystair.admin import calls
from carawaystair.admin import document
from carawaystair.admin import fields
from carawaystair.admin import fleet as fleets
from carawaystair.admin import replies
from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import metrics
from carawaystair import timeline as timelines

OPENAPI = pathlib.Path(__file__).with_name('openapi.json')
HISTORY = 100
MAX_HISTORY = 1000
EVENTS = 1000
MAX_EVENTS = 5000
# A hybrid time has 64 bits.
MAX_TIME = 2**63


class Current(typing.NamedTuple):
    """The manifest in force.

    :param version: its version.
    :param digest: its digest, hex: the parent of the next submission.
    :param stale: whether no quorum could confirm that it is the newest.
    :param age_s: how old it may be at most, in seconds, when stale.
    :param manifest: the document.
    """

    version: str
    digest: str
    stale: bool
    age_s: float
    manifest: typing.Any


class Entry(typing.NamedTuple):
    """One accepted version.

    :param version: the version.
    :param base: the one before.
    :param digest: its digest, hex.
    :param submission: id of the submission, behind its team.
    :param author: who sent it.
    :param kind: ``submit`` or ``rollback``.
    :param wall_ms: when, ms since 1970.
    :param put: rows added or changed.
    :param drop: rows removed.
    """

    version: str
    base: str
    digest: str
    submission: str
    author: str
    kind: str
    wall_ms: int
    put: int
    drop: int


class Member(typing.NamedTuple):
    """A control host.

    :param name: name of its host.
    :param peer: its address for messages.
    :param voting: whether it votes.
    """

    name: str
    peer: str
    voting: bool


class Group(typing.NamedTuple):
    """The control group, as this host sees it.

    :param name: name of this host.
    :param role: its role.
    :param term: the newest term that it knows.
    :param leader: name of the leader, or empty.
    :param commit: index of the last committed entry known here.
    :param applied: index of the last entry applied here.
    :param last: index of the last entry of its log.
    :param members: voters and learners.
    :param failure: why it takes no part, or empty.
    """

    name: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    last: int
    members: tuple[Member, ...]
    failure: str


class Status(typing.NamedTuple):
    """The fleet at a glance.

    :param version: the version in force.
    :param digest: its digest, hex.
    :param stale: whether no quorum could confirm it.
    :param age_s: how old it may be at most, in seconds, when stale.
    :param nodes_at_version: nodes that have it.
    :param nodes_behind: nodes that do not.
    :param control: the control group.
    :param nodes: every node heard of lately.
    :param drains: planned stops, as the manifest has them.
    :param changes_refused: changes refused by this host since it started.
    """

    version: str
    digest: str
    stale: bool
    age_s: float
    nodes_at_version: int
    nodes_behind: int
    control: Group
    nodes: list[fleets.Seen]
    drains: typing.Any
    changes_refused: int


class Observe:
    """Answers reads on one control host.

    :param group: the control group.
    :param fleet: every node.
    :param trail: the audit trail.
    :param events: the time line of this process.
    """

    def __init__(
        self,
        group: control.Control,
        fleet: fleets.Fleet,
        trail: audit.Trail,
        events: timelines.Timeline,
    ) -> None:
        self.group = group
        self.fleet = fleet
        self.trail = trail
        self.events = events

    async def current(self, _call: calls.Call) -> replies.Reply:
        """Return the manifest in force, marked when it may be stale."""
        stale, age_s = await self._freshness()
        table = self.group.table()
        version, digest = self.group.version(), self.group.digest()
        if not table:
            return replies.refuse(codes.VERSION_UNKNOWN, 'no manifest yet')
        encoded = await asyncio.to_thread(document.encode, table)
        value = Current(
            str(version), digest.hex(), stale, age_s, msgspec.Raw(encoded)
        )
        return expression.Ok(msgspec.json.encode(value._asdict()))

    async def history(self, call: calls.Call) -> replies.Reply:
        """Return the newest accepted versions."""
        limit = fields.number(call.request, 'limit', HISTORY, MAX_HISTORY)
        if limit.is_error():
            return limit
        records = self.group.history(limit.ok)
        return expression.Ok([_entry(record) for record in records])

    async def audit(self, call: calls.Call) -> replies.Reply:
        """Return the newest changes, accepted and refused."""
        limit = fields.number(call.request, 'limit', HISTORY, MAX_HISTORY)
        return limit.map(self.trail.entries)

    async def status(self, _call: calls.Call) -> replies.Reply:
        """Return the control group and every node."""
        stale, age_s = await self._freshness()
        nodes = await self.fleet.nodes()
        version = str(self.group.version())
        level = sum(node.version == version for node in nodes)
        status = Status(
            version,
            self.group.digest().hex(),
            stale,
            age_s,
            level,
            len(nodes) - level,
            _group(self.group.status()),
            nodes,
            document.drains(self.group.table()),
            self.trail.refused_total,
        )
        return expression.Ok(status)

    async def timeline(self, call: calls.Call) -> replies.Reply:
        """Return events of this process, the oldest first."""
        limit = fields.number(call.request, 'limit', EVENTS, MAX_EVENTS)
        since = fields.number(call.request, 'since', 0, MAX_TIME)
        asked = fields.all_of(limit, since)
        return asked.map(lambda both: self.events.since(both[1], both[0]))

    async def metrics(self, _call: calls.Call) -> replies.Reply:
        """Return the metrics in the Prometheus text format."""
        return expression.Ok(web.Response(text=metrics.text()))

    async def openapi(self, _call: calls.Call) -> replies.Reply:
        """Return the description of the API."""
        return expression.Ok(OPENAPI.read_bytes())

    async def _freshness(self) -> tuple[bool, float]:
        """Ask a quorum whether this host is up to date.

        A control host that was cut off may hold an old version without
        knowing it.  What it then serves is marked, with an age.
        """
        current = await self.group.current()
        if current.is_ok():
            return False, 0.0
        return True, round(self.group.status().stale_s, 3)


def _entry(record: control.Record) -> Entry:
    return Entry(
        str(record.version),
        str(record.base),
        record.digest.hex(),
        record.id,
        record.author,
        record.kind,
        record.wall_ms,
        record.put,
        record.drop,
    )


def _group(status: control.Status) -> Group:
    failure = status.failure.sentence() if status.failure else ''
    return Group(
        status.name,
        status.role,
        status.term,
        status.leader,
        status.commit,
        status.applied,
        status.last,
        members(status),
        failure,
    )


def members(status: control.Status) -> tuple[Member, ...]:
    """Return the members of the control group, as the API shows them."""
    return tuple(Member(m.name, m.peer, m.voting) for m in status.members)
