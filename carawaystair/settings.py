"""Settings of one process, from JSON."""

import ipaddress
import pathlib
import typing

import expression
import msgspec

from carawaystair import codes
from carawaystair import logs
from carawaystair import shape

DEFAULTS = pathlib.Path(__file__).with_name('defaults.jsonc')
ROLES = ('node', 'control')

# What a team's token may allow.
READ = 'read'
SUBMIT = 'submit'
DRAIN = 'drain'
CUSTOMERS = 'customers'
ROLLBACK = 'rollback'
ADMIN = 'admin'
SCOPES = (READ, SUBMIT, DRAIN, CUSTOMERS, ROLLBACK, ADMIN)
# A BLAKE2b digest of 32 bytes in hex.
DIGEST_SIGNS = 64


class Log(typing.NamedTuple):
    """How logs are written, see ``logs.setup``."""

    level: str = 'info'
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
    scopes: tuple[str, ...] = (READ,)


class Tls(typing.NamedTuple):
    """TLS of the administration API.

    :param cert: file with the certificate and its chain, PEM.
    :param key: file with its private key, PEM.
    """

    cert: str
    key: str


class Control(typing.NamedTuple):
    """The control role.

    :param admin: ``ip:port`` of the administration API.
    :param teams: who may use it; nobody else may, unless it is empty.
    :param tls: certificate and key, None for plain HTTP.
    :param reads_per_s: requests a second of each team, in the long run.
    :param changes_per_s: changes a second of each team, in the long run.
    """

    admin: str
    teams: tuple[Team, ...]
    tls: Tls | None
    reads_per_s: float
    changes_per_s: float


class Settings(typing.NamedTuple):
    """All settings; ``defaults.jsonc`` explains each."""

    host: str
    data_centre: str
    region: str
    roles: tuple[str, ...]
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
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        mistakes = [shape.Mistake(path, str(error))]
        return expression.Error((codes.SETTINGS_MISSING, mistakes))
    return parse(text, path)


def parse(text: str, path: str = '$') -> expression.Result[Settings, Problem]:
    """Check the text of a settings file over the defaults.

    :param text: JSON, with whole-line comments allowed.
    :param path: named in the message when the JSON is malformed.
    """
    try:
        own = msgspec.json.decode(uncomment(text))
    except msgspec.DecodeError as error:
        mistakes = [shape.Mistake(path, str(error))]
        return expression.Error((codes.SETTINGS_MALFORMED, mistakes))
    if not isinstance(own, dict):
        mistakes = [shape.Mistake('$', 'expected an object')]
        return expression.Error((codes.SETTINGS_INVALID, mistakes))
    defaults = msgspec.json.decode(uncomment(DEFAULTS.read_text()))
    mistakes = []
    settings = shape.build(Settings, overlay(defaults, own), '$', mistakes)
    if not mistakes:
        mistakes.extend(_check(settings))
    if mistakes:
        return expression.Error((codes.SETTINGS_INVALID, mistakes))
    return expression.Ok(settings)


def uncomment(text: str) -> str:
    """Blank the comment lines, so that line numbers stay right."""
    return '\n'.join(
        '' if line.lstrip().startswith('//') else line
        for line in text.splitlines()
    )


def overlay(base: dict, own: dict) -> dict:
    """Return ``base`` with the values of ``own`` over it."""
    merged = dict(base)
    for key, value in own.items():
        both = isinstance(value, dict) and isinstance(base.get(key), dict)
        merged[key] = overlay(base[key], value) if both else value
    return merged


def _check(settings: Settings) -> typing.Iterator[shape.Mistake]:
    for index, role in enumerate(settings.roles):
        if role not in ROLES:
            text = 'no role is named %r; there are %s' % (
                role,
                ' and '.join(ROLES),
            )
            yield shape.Mistake('$.roles[%d]' % index, text)
    if settings.log.level not in logs.LEVELS:
        text = 'expected one of %s' % ', '.join(logs.LEVELS)
        yield shape.Mistake('$.log.level', text)
    yield from _check_control(settings)
    addresses = {
        '$.peer': settings.peer,
        '$.gossip': settings.gossip,
        '$.node.listen': settings.node.listen,
        '$.node.local': settings.node.local,
        '$.control.admin': settings.control.admin,
    }
    for index, address in enumerate(settings.seeds):
        addresses['$.seeds[%d]' % index] = address
    for index, address in enumerate(settings.control_hosts):
        addresses['$.control_hosts[%d]' % index] = address
    for path, address in addresses.items():
        if not address_ok(address):
            text = '%r is not an IP number and a port' % address
            yield shape.Mistake(path, text)


def _check_control(settings: Settings) -> typing.Iterator[shape.Mistake]:
    control = settings.control
    for index, team in enumerate(control.teams):
        yield from _check_team('$.control.teams[%d]' % index, team)
    for name in ('reads_per_s', 'changes_per_s'):
        if not 0.0 < getattr(control, name) <= 1e6:
            text = 'expected a number above 0'
            yield shape.Mistake('$.control.%s' % name, text)
    if 'control' not in settings.roles or control.teams:
        return
    # Without teams every caller may change everything: that must stay a
    # matter of one machine, such as a laptop with a trial fleet.
    if address_ok(control.admin) and not _loopback(control.admin):
        text = 'is empty, though control.admin can be reached from elsewhere'
        yield shape.Mistake('$.control.teams', text)


def _check_team(path: str, team: Team) -> typing.Iterator[shape.Mistake]:
    if not team.name or not team.name.isascii() or '/' in team.name:
        yield shape.Mistake(path + '.name', 'is empty or has odd signs')
    digits = set(team.token_digest) <= set('0123456789abcdef')
    if len(team.token_digest) != DIGEST_SIGNS or not digits:
        text = 'expected %d hex digits, see "carawaystair token"'
        yield shape.Mistake(path + '.token_digest', text % DIGEST_SIGNS)
    for index, scope in enumerate(team.scopes):
        if scope not in SCOPES:
            text = 'no scope is named %r; there are %s' % (
                scope,
                ', '.join(SCOPES),
            )
            yield shape.Mistake('%s.scopes[%d]' % (path, index), text)


def _loopback(address: str) -> bool:
    ip = address.rpartition(':')[0].strip('[]')
    return ipaddress.ip_address(ip).is_loopback


def address_ok(address: str) -> bool:
    """Tell whether ``address`` is an IP number and a port."""
    ip, _colon, port = address.rpartition(':')
    try:
        ipaddress.ip_address(ip.strip('[]'))
    except ValueError:
        return False
    return port.isdigit() and 0 < int(port) < 65536
