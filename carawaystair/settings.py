"""Settings of one process, from JSON."""

import pathlib
import typing

import expression

from carawaystair import codes
from carawaystair import documents
from carawaystair.load import crash_suspects
from carawaystair.load import locality
from carawaystair import settings_rules as rules
from carawaystair import shape

DEFAULTS = pathlib.Path(__file__).with_name('defaults.jsonc')
MAX_BYTES = 1024 * 1024

address_ok = rules.address_ok

# What a team's token may allow.
READ = 'read'
SUBMIT = 'submit'
DRAIN = 'drain'
CUSTOMERS = 'customers'
ROLLBACK = 'rollback'
ADMIN = 'admin'
SCOPES = (READ, SUBMIT, DRAIN, CUSTOMERS, ROLLBACK, ADMIN)
Scope = typing.Literal[
    'read', 'submit', 'drain', 'customers', 'rollback', 'admin'
]


class Log(typing.NamedTuple):
    """How logs are written, see ``logs.setup``."""

    level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'
    form: typing.Literal['console', 'json'] = 'console'


class Node(typing.NamedTuple):
    """The node role.

    :param listen: ``ip:port`` for callers.
    :param local: ``ip:port`` for upstreams of this host, status, metrics.
    :param lease_s: seconds until an unrenewed announcement ends.
    :param drain_s: seconds that requests in flight get at a stop.
    :param gateway: ``ip:port`` where other nodes hand over requests for the
        upstreams of this host; None where nodes send to upstreams directly.
    :param service: the service that runs on this host, told to upstreams
        that its requests go to; empty where none does.
    :param poll_s: seconds between questions for a newer configuration.
    :param lame_duck_s: seconds at a stop in which new requests are still
        taken, until whoever sends them has noticed.
    :param retry_ratio: repeats of a request that reach upstreams, as a
        share of the first sends of the whole fleet.
    :param retry_slack: repeats beyond that share, of the whole fleet.
    :param retry_window_s: the window in which repeats are counted, seconds.
    :param link_mbps: what the link of this host carries, Mbit/s; long bodies
        leave it no faster.  0 where it binds nothing.
    :param held_mb: what the process holds for slow callers at most, MB; 0
        for no bound.
    :param upstream_body_mb: bodies of requests in progress at one upstream
        at most, MB; 0 for no bound.
    :param max_connections: connections of callers at most.
    :param max_hops: connections of other nodes at most.
    :param max_local: connections at each other listener at most.
    :param max_requests: requests of callers in progress at most.
    :param max_bodies: long bodies that are received at the same time at most,
        of callers and of other nodes each.
    :param crash_limit: upstreams that crash under a request before it is
        refused.
    :param crash_hold_s: seconds for which it is refused then.
    :param keys_max_age_s: keys of customers are accepted for so long after
        control last vouched for the configuration; 0 for ever.
    :param measure_slots: whether upstreams are offered fewer slots than they
        announce where the last ones are seen to slow them down.
    :param home_first: whether requests leave their data centre only where
        that serves the caller.
    :param home_bonus: value of a request that is given up to keep it in its
        data centre, 0 to 1.
    :param home_bonus_per_kb: further value for each KB of the request and
        its answer.
    """

    listen: str
    local: str
    lease_s: float
    drain_s: float
    gateway: str | None = None
    service: str = ''
    poll_s: float = 2.0
    lame_duck_s: float = 2.5
    retry_ratio: float = 0.2
    retry_slack: int = 50
    retry_window_s: float = 10.0
    link_mbps: float = 0.0
    held_mb: float = 0.0
    upstream_body_mb: float = 0.0
    max_connections: int = 20_000
    max_hops: int = 20_000
    max_local: int = 64
    max_requests: int = 20_000
    max_bodies: int = 2000
    crash_limit: int = crash_suspects.CRASH_LIMIT
    crash_hold_s: float = crash_suspects.HOLD_S
    keys_max_age_s: float = 0.0
    measure_slots: bool = False
    home_first: bool = locality.DEFAULT.home_first
    home_bonus: float = locality.DEFAULT.bonus
    home_bonus_per_kb: float = locality.DEFAULT.bonus_per_kb


class Headers(typing.NamedTuple):
    """Names of the headers between callers, gateways and upstreams.

    A deployment whose callers and upstreams speak other names sets them
    here.  They hold for nodes with a gateway.

    :param request_id: names a request; callers give it, upstreams echo it.
    :param deadline_ms: time that is left for the request, ms.
    :param upstream: id of the one upstream that may run the request.
    :param caller_service: the service on the host where a request began.
    :param receipt: borne by every whole good answer of an upstream; empty
        where upstreams give none.
    :param not_run: borne by answers of an upstream that did not run the
        request.
    :param customer: the customer whose key a request brought, told to
        upstreams where keys are required.
    :param limit: requests a second that an upstream takes from the whole
        fleet, in its answers while it takes no more.
    :param leaving: ``1`` in all answers of an upstream that is about to
        leave.
    """

    request_id: str = 'Caraway-Request-Id'
    deadline_ms: str = 'Caraway-Deadline-Ms'
    upstream: str = 'Caraway-Upstream'
    caller_service: str = 'Caraway-Caller-Service'
    receipt: str = ''
    not_run: str = 'Caraway-Not-Run'
    customer: str = 'Caraway-Customer'
    limit: str = 'Caraway-Limit'
    leaving: str = 'Caraway-Leaving'


class Team(typing.NamedTuple):
    """A team of the administration API.

    :param name: its name, as services of the manifest give it.
    :param token_digest: BLAKE2b of its bearer token, in hex.
    :param scopes: what it may do.
    """

    name: str
    token_digest: str
    scopes: tuple[Scope, ...] = (READ,)


class Tls(typing.NamedTuple):
    """TLS of the administration API.

    :param cert: file with the certificate and its chain, PEM.
    :param key: file with its private key, PEM.
    """

    cert: str
    key: str


class Voter(typing.NamedTuple):
    """A control host that votes on what is accepted.

    :param name: the name of its host.
    :param peer: its ``ip:port`` for messages.
    """

    name: str
    peer: str


class Control(typing.NamedTuple):
    """The control role.

    :param admin: ``ip:port`` of the administration API.
    :param teams: who may use it; nobody else may, unless it is empty.
    :param tls: certificate and key, None for plain HTTP.
    :param reads_per_s: requests a second of each team, in the long run.
    :param changes_per_s: changes a second of each team, in the long run.
    :param voters: the hosts that found the control group, in the same order
        on all of them; empty for a group of this host alone.
    :param founds: whether a host without state may found the group; false
        once the deployment has run before.
    :param grow_to: hosts that join by themselves get votes up to this
        number of voters; 0 leaves members to operators.
    :param patience_s: seconds for which a starting voter waits for all the
        others before a majority of them must do.
    :param quota_window_s: the window in which requests of a customer are
        counted, seconds.
    :param quota_overage: share by which they may exceed what a window allows.
    :param quota_slack: requests by which they may do so beyond that.
    :param quota_holders: parts of each allowance that nodes hold, so that
        they grant without control; the same on all hosts, nodes included.
    """

    admin: str
    teams: tuple[Team, ...]
    tls: Tls | None
    reads_per_s: float
    changes_per_s: float
    voters: tuple[Voter, ...] = ()
    founds: bool = True
    grow_to: int = 0
    patience_s: float = 5.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.0
    quota_slack: int = 0
    quota_holders: int = 0


class Experiment(typing.NamedTuple):
    """What an experiment changes; refused unless it is asked for.

    :param off: mechanisms that are switched off, see ``experiments``.
    """

    off: tuple[str, ...] = ()


class Settings(typing.NamedTuple):
    """All settings; ``defaults.jsonc`` explains each."""

    host: str
    data_centre: str
    region: str
    roles: tuple[typing.Literal['node', 'control'], ...]
    data_folder: str | None
    log: Log
    peer: str
    gossip: str
    seeds: tuple[str, ...]
    control_hosts: tuple[str, ...]
    keys: tuple[str, ...]
    timeline_events: int
    node: Node
    control: Control
    headers: Headers = Headers()
    experiment: Experiment = Experiment()
    bind_ip: str | None = None

    def bound(self, address: str) -> str:
        """Return where to listen for what is sent to an address.

        :param address: ``ip:port`` as others know it.
        """
        if self.bind_ip is None:
            return address
        return '%s:%s' % (self.bind_ip, address.rpartition(':')[2])


Problem = tuple[codes.Code, list[shape.Mistake]]


def load(path: str) -> expression.Result[Settings, Problem]:
    """Read and check a settings file over the defaults."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        mistakes = [shape.Mistake(path, str(error))]
        return expression.Error((codes.SETTINGS_MISSING, mistakes))
    return parse(data)


def parse(data: bytes | str) -> expression.Result[Settings, Problem]:
    """Check the content of a settings file over the defaults.

    :param data: JSON in UTF-8, with whole-line comments allowed.
    """
    data = data.encode() if isinstance(data, str) else data
    decoded = documents.decode(uncomment(data), MAX_BYTES)
    if decoded.is_error():
        return expression.Error((codes.SETTINGS_MALFORMED, decoded.error))
    if not isinstance(decoded.ok, dict):
        mistakes = [shape.Mistake('$', 'expected an object')]
        return expression.Error((codes.SETTINGS_INVALID, mistakes))
    merged = overlay(defaults(), decoded.ok)
    mistakes = []
    settings = shape.build(Settings, merged, '$', mistakes)
    if not mistakes:
        mistakes.extend(rules.check(settings))
    if mistakes:
        return expression.Error((codes.SETTINGS_INVALID, mistakes))
    return expression.Ok(settings)


def defaults() -> dict:
    """Return the defaults, as decoded JSON."""
    return documents.decode(uncomment(DEFAULTS.read_bytes()), MAX_BYTES).ok


def uncomment(data: bytes) -> bytes:
    """Blank the comment lines, so that line numbers stay right."""
    return b'\n'.join(
        b'' if line.lstrip().startswith(b'//') else line
        for line in data.split(b'\n')
    )


def overlay(base: dict, own: dict) -> dict:
    """Return ``base`` with the values of ``own`` over it."""
    merged = dict(base)
    for key, value in own.items():
        both = isinstance(value, dict) and isinstance(base.get(key), dict)
        merged[key] = overlay(base[key], value) if both else value
    return merged
