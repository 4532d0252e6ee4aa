"""Settings of one process, from JSON."""

import pathlib
import typing

import expression

from carawaystair import codes
from carawaystair import documents
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
    """

    listen: str
    local: str
    lease_s: float
    drain_s: float


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
    """

    admin: str
    teams: tuple[Team, ...]
    tls: Tls | None
    reads_per_s: float
    changes_per_s: float
    voters: tuple[Voter, ...] = ()


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
