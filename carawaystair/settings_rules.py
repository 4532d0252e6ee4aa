"""The rules that settings of the right shape must keep."""

import collections
import ipaddress
import itertools
import string
import typing

from carawaystair import manifest_rules
from carawaystair import shape

if typing.TYPE_CHECKING:
    from carawaystair import settings as settings_module

CONTROL = 'control'
NODE = 'node'
# A BLAKE2b digest of 32 bytes in hex.
DIGEST_SIGNS = 64
# The users set at most so many hosts aside for control.
MAX_CONTROL_HOSTS = 8
MAX_PORT = 65535
# An even number of voters bears no more failures than one less.
VOTERS = (1, 3, 5, 7)

# Paths of numbers with their bounds.
BOUNDS = (
    ('timeline_events', 100, 1_000_000),
    ('node.lease_s', 0.5, 3600.0),
    ('node.drain_s', 0.0, 3600.0),
    ('node.poll_s', 0.05, 60.0),
    ('node.lame_duck_s', 0.0, 3600.0),
    ('node.retry_ratio', 0.0, 1.0),
    ('node.retry_slack', 0, 1_000_000),
    ('node.crash_limit', 2, 8),
    ('node.crash_hold_s', 1.0, 3600.0),
    ('node.keys_max_age_s', 0.0, 3600.0),
    ('node.retry_window_s', 1.0, 600.0),
    ('node.link_mbps', 0.0, 1e6),
    ('node.held_mb', 0.0, 1e6),
    ('node.upstream_body_mb', 0.0, 1e6),
    ('node.max_connections', 1, 1_000_000),
    ('node.max_hops', 1, 1_000_000),
    ('node.max_local', 1, 1_000_000),
    ('node.max_requests', 1, 1_000_000),
    ('node.max_bodies', 1, 1_000_000),
    ('node.home_bonus', 0.0, 1.0),
    ('node.home_bonus_per_kb', 0.0, 1.0),
    ('control.grow_to', 0, 7),
    ('control.patience_s', 0.0, 60.0),
    ('control.quota_window_s', 0.1, 3600.0),
    ('control.quota_overage', 0.0, 10.0),
    ('control.quota_slack', 0, 10**6),
    ('control.quota_holders', 0, 4),
    ('control.reads_per_s', 0.1, 1e6),
    ('control.changes_per_s', 0.1, 1e6),
)
NAMES = ('host', 'data_centre', 'region')


def check(
    settings: 'settings_module.Settings',
) -> typing.Iterator[shape.Mistake]:
    """Yield what is wrong with settings of the right shape."""
    return itertools.chain(
        _check_names(settings),
        _check_bounds(settings),
        _check_roles(settings),
        _check_addresses(settings),
        _check_bound_once(settings),
        _check_control(settings),
    )


def _at(settings: 'settings_module.Settings', path: str):
    """Return the value at a dotted path."""
    value: typing.Any = settings
    for step in path.split('.'):
        value = getattr(value, step)
    return value


def _check_names(settings) -> typing.Iterator[shape.Mistake]:
    for path in NAMES:
        if not manifest_rules.name_ok(_at(settings, path)):
            text = 'is empty, too long or has odd signs'
            yield shape.Mistake('$.%s' % path, text)


def _check_bounds(settings) -> typing.Iterator[shape.Mistake]:
    for path, low, high in BOUNDS:
        if not low <= _at(settings, path) <= high:
            text = 'expected %g to %g' % (low, high)
            yield shape.Mistake('$.%s' % path, text)


def _check_roles(settings) -> typing.Iterator[shape.Mistake]:
    if not settings.roles:
        yield shape.Mistake('$.roles', 'names no role')
    if len(set(settings.roles)) < len(settings.roles):
        yield shape.Mistake('$.roles', 'names a role twice')
    if len(settings.control_hosts) > MAX_CONTROL_HOSTS:
        text = 'names %d hosts; %d are allowed'
        count = len(settings.control_hosts), MAX_CONTROL_HOSTS
        yield shape.Mistake('$.control_hosts', text % count)
    for name in ('seeds', 'control_hosts', 'keys'):
        counted = collections.Counter(getattr(settings, name))
        for value, times in counted.items():
            if times > 1:
                text = '%r stands %d times' % (value, times)
                yield shape.Mistake('$.%s' % name, text)


def _addresses(settings) -> dict[str, str]:
    """Return all addresses by their paths."""
    return {
        '$.peer': settings.peer,
        '$.gossip': settings.gossip,
        '$.node.listen': settings.node.listen,
        '$.node.local': settings.node.local,
        '$.control.admin': settings.control.admin,
        **_gateway(settings),
        **{
            '$.%s[%d]' % (name, index): address
            for name in ('seeds', 'control_hosts')
            for index, address in enumerate(getattr(settings, name))
        },
    }


def _gateway(settings) -> dict[str, str]:
    gateway = settings.node.gateway
    return {} if gateway is None else {'$.node.gateway': gateway}


def _check_addresses(settings) -> typing.Iterator[shape.Mistake]:
    # These are told to others, who could not connect to "any address".
    told = (
        '$.peer',
        '$.gossip',
        '$.seeds',
        '$.control_hosts',
        '$.node.gateway',
    )
    bind_ip = settings.bind_ip
    if bind_ip is not None and not address_ok('%s:1' % bind_ip):
        yield shape.Mistake('$.bind_ip', '%r is not an IPv4 number' % bind_ip)
    for path, address in _addresses(settings).items():
        if not address_ok(address):
            text = '%r is not an IPv4 number and a port'
            yield shape.Mistake(path, text % address[: shape.MAX_SHOWN])
        elif path.startswith(told) and _ip(address).is_unspecified:
            text = '%r cannot be reached by others' % address
            yield shape.Mistake(path, text)


def _check_bound_once(settings) -> typing.Iterator[shape.Mistake]:
    """Check that no two listeners of this process share an address."""
    bound = ['$.peer']
    if NODE in settings.roles:
        bound += ['$.node.listen', '$.node.local', *_gateway(settings)]
    if CONTROL in settings.roles:
        bound += ['$.control.admin']
    addresses = _addresses(settings)
    first: dict[str, str] = {}
    for path in bound:
        taken = first.setdefault(addresses[path], path)
        if taken != path:
            yield shape.Mistake(path, 'is the address of %s, too' % taken)


def _check_control(settings) -> typing.Iterator[shape.Mistake]:
    control = settings.control
    yield from _check_voters(settings)
    for index, team in enumerate(control.teams):
        yield from _check_team('$.control.teams[%d]' % index, team)
    if CONTROL not in settings.roles or control.teams:
        return
    # Without teams every caller may change everything: that must stay a
    # matter of one machine, such as a laptop with a trial fleet.
    if address_ok(control.admin) and not _ip(control.admin).is_loopback:
        text = 'is empty, though control.admin can be reached from elsewhere'
        yield shape.Mistake('$.control.teams', text)


def _check_voters(settings) -> typing.Iterator[shape.Mistake]:
    voters = settings.control.voters
    path = '$.control.voters'
    if CONTROL in settings.roles:
        if settings.data_folder is None:
            # A vote that a restart forgets could be given twice.
            text = 'is needed by the role %r' % CONTROL
            yield shape.Mistake('$.data_folder', text)
        if not voters and 1 < len(settings.control_hosts) <= MAX_CONTROL_HOSTS:
            text = 'is empty, though control_hosts names %d hosts'
            yield shape.Mistake(path, text % len(settings.control_hosts))
    if voters and len(voters) not in VOTERS:
        text = 'names %d hosts; expected %s'
        expected = ', '.join(map(str, VOTERS))
        yield shape.Mistake(path, text % (len(voters), expected))
    for field in ('name', 'peer'):
        counted = collections.Counter(getattr(v, field) for v in voters)
        for value, times in counted.items():
            if times > 1:
                text = '%r stands %d times' % (value[: shape.MAX_SHOWN], times)
                yield shape.Mistake(path, text)
    for index, voter in enumerate(voters):
        yield from _check_voter('%s[%d]' % (path, index), voter, settings)


def _check_voter(path: str, voter, settings) -> typing.Iterator[shape.Mistake]:
    if not manifest_rules.name_ok(voter.name):
        text = 'is empty, too long or has odd signs'
        yield shape.Mistake(path + '.name', text)
    if not address_ok(voter.peer):
        text = '%r is not an IPv4 number and a port'
        shown = voter.peer[: shape.MAX_SHOWN]
        yield shape.Mistake(path + '.peer', text % shown)
    elif voter.name == settings.host and voter.peer != settings.peer:
        text = 'this host has the peer address %s' % settings.peer
        yield shape.Mistake(path + '.peer', text)


def _check_team(path: str, team) -> typing.Iterator[shape.Mistake]:
    if not manifest_rules.name_ok(team.name):
        text = 'is empty, too long or has odd signs'
        yield shape.Mistake(path + '.name', text)
    digits = set(team.token_digest) <= set(string.hexdigits.lower())
    if len(team.token_digest) != DIGEST_SIGNS or not digits:
        text = 'expected %d hex digits, see "carawaystair token"'
        yield shape.Mistake(path + '.token_digest', text % DIGEST_SIGNS)


def _ip(address: str) -> ipaddress.IPv4Address:
    return ipaddress.IPv4Address(address.rpartition(':')[0])


def address_ok(address: str) -> bool:
    """Tell whether ``address`` is an IPv4 number and a port."""
    port = address.rpartition(':')[2]
    try:
        _ip(address)
    except ValueError:
        return False
    plain = port.isascii() and port.isdigit() and len(port) <= 5
    return plain and 0 < int(port) <= MAX_PORT
