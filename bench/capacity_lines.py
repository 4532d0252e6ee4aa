"""The lines of docs/CAPACITY.md: formulas over measured slopes.

Every formula stands here as code, with the sizes of the letter as named
constants, so that a new measurement changes the page and nothing else does.
"""

import math
import typing

from carawaystair import timeline

# The letter.

NODES = 2500
SERVERS = 27_000
SERVICES = 520
REQUESTS_S = 170_000
ROUTES = 26_000
CUSTOMERS = 84_000
CHANGES_DAY = 10_000
IN_FORCE_S = 9.0
RESTARTS_DAY = 5400
CONTROL_HOSTS = 8
DATA_CENTRES = 5
ADDED_MS = 1.1

CPU_US_S = 0.018 * 1e6
MEMORY_MB = 32.0
BYTES_S = 22_000.0

DAY_S = 86_400.0

ROWS = ROUTES + CUSTOMERS + SERVICES
CHANGES_S = CHANGES_DAY / DAY_S

# Our own settings, as in the code.

POLL_S = 2.0
NEWS_FANOUT = 3
NEWS_BYTES = 60
# What a restart changes in its host's record: it leaves, comes back, and its
# upstreams come up in a few steps.
CHANGES_A_RESTART = 5
EVENTS = timeline.DEFAULT_CAPACITY

MEASURED = 'measured'
RECKONED = 'reckoned'


class Line(typing.NamedTuple):
    """What one mechanism costs one process.

    :param what: the state or the traffic.
    :param messages_s: messages sent and received, a second.
    :param cpu_us_s: processor time, us a second.
    :param bytes_s: bytes sent and received, a second.
    :param memory_mb: memory beyond the libraries, MB.
    :param mechanism: what carries it.
    :param basis: the experiment, or why there is none.
    """

    what: str
    messages_s: float = 0.0
    cpu_us_s: float = 0.0
    bytes_s: float = 0.0
    memory_mb: float = 0.0
    mechanism: str = ''
    basis: str = ''


class Role(typing.NamedTuple):
    """What one role costs one process.

    :param name: name of the role.
    :param text: what it does and how many there are.
    :param lines: its lines.
    """

    name: str
    text: str
    lines: tuple[Line, ...]


class Bound(typing.NamedTuple):
    """One number of the letter.

    :param what: what it bounds.
    :param bound: the number.
    :param reckoned: what we reckon.
    :param margin: bound over reckoned.
    :param mechanism: what carries it.
    :param basis: whether it is measured or reckoned, and by what.
    """

    what: str
    bound: str
    reckoned: str
    margin: str
    mechanism: str
    basis: str


def _polls(measured) -> Line:
    """A node asks a control host every poll and gets an answer."""
    messages = 2 / POLL_S
    cpu = messages * measured['links.cpu_us.by_messages']
    return Line(
        'polls of control',
        messages,
        cpu,
        messages * NEWS_BYTES,
        0.0,
        'version numbers only; deltas when there is news',
        'links',
    )


def _news(measured) -> Line:
    """Each change brings news from peers, one question, one answer."""
    sent = measured['spread.per_change_and_node.messages']
    messages = CHANGES_S * sent * 2
    cpu = messages * measured['links.cpu_us.by_messages']
    applied = CHANGES_S * measured['table.one_row_change'] * 1e3
    size = measured['spread.per_change_and_node.bytes']
    return Line(
        'changes of configuration',
        messages,
        cpu + applied,
        CHANGES_S * size * 2,
        0.0,
        'deltas by version; compact table rebuilt by bucket',
        'spread, links, table',
    )


def _table(measured) -> Line:
    size = measured['table.bytes.by_rows'] * ROWS / 1e6
    return Line(
        'routes, customers, services',
        memory_mb=size,
        mechanism='compact table',
        basis='table',
    )


def _timeline(measured) -> Line:
    size = measured['timeline.bytes.by_events'] * EVENTS / 1e6
    return Line(
        'time line',
        memory_mb=size,
        mechanism='a ring of %s events' % '{:,}'.format(EVENTS),
        basis='timeline',
    )


def _members(measured) -> Line:
    """Members and upstreams, of which every node knows all."""
    slope = measured['control.memory.by_nodes']
    size = slope * NODES + measured['control.memory.by_nodes.intercept']
    return Line(
        'members and upstreams',
        memory_mb=size / 1e6,
        mechanism='one record a host with all its upstreams',
        basis='control: %d bytes a host of 11 upstreams' % slope,
    )


def _traffic(measured) -> Line:
    """Liveness, anti-entropy and reports, all parts together.

    They do not grow with the nodes and level off with the services, so the
    greatest measured value stands in for the full size.
    """
    sent = measured.greatest['control.messages_s.by_services']
    socket = measured['datagrams.cpu_us.by_messages']
    cpu = measured.greatest['control.cpu_us_s.by_services']
    return Line(
        'liveness, anti-entropy, reports, ejections',
        2 * sent,
        cpu + 2 * sent * socket,
        2 * measured.greatest['control.bytes_s.by_services'],
        0.0,
        'constant probes a node, paced reports, leases by the coordinator',
        'control at 20 requests/s a node, greatest point; sockets: links',
    )


def _changes_of_hosts(measured) -> Line:
    """Each restart of a host travels to every node once, a few copies."""
    changes = RESTARTS_DAY / DAY_S * CHANGES_A_RESTART

    def _at_size(name: str) -> float:
        name = 'gossip.change.' + name
        return measured[name] * NODES + measured[name + '.intercept']

    return Line(
        'records of hosts that restart',
        2 * changes * _at_size('messages.by_nodes'),
        changes * _at_size('cpu_us.by_nodes'),
        2 * changes * _at_size('bytes.by_nodes'),
        0.0,
        'flooding over a bounded overlay, digests behind it',
        'gossip; %d changes a restart are assumed' % CHANGES_A_RESTART,
    )


def node(measured) -> Role:
    """Return what every node pays."""
    text = (
        'Every one of the %s nodes: configuration, membership, directory, '
        'reports.' % '{:,}'.format(NODES)
    )
    lines = (
        _table(measured),
        _timeline(measured),
        _members(measured),
        _traffic(measured),
        _changes_of_hosts(measured),
        _polls(measured),
        _news(measured),
    )
    return Role('node', text, lines)


def control(measured) -> Role:
    """Return what each of the control hosts pays."""
    asks = NODES / POLL_S / CONTROL_HOSTS
    messages = 2 * asks
    line = Line(
        'answers to nodes',
        messages,
        messages * measured['links.cpu_us.by_messages'],
        messages * NEWS_BYTES,
        measured['table.bytes.by_rows'] * ROWS / 1e6,
        'one poll in %g s a node, spread over %d hosts'
        % (POLL_S, CONTROL_HOSTS),
        'links, table',
    )
    text = 'Each of up to %d control hosts.' % CONTROL_HOSTS
    return Role('control host', text, (line, _storm(measured)))


def _storm(measured) -> Line:
    """What a change each 0.15 s adds to the polls at a control host.

    Nodes ask control in their turn and when no peer has a step for them; the
    16 that each control host tells ask it as well.
    """
    asks_s = measured['storms.nodes512.gap150.control'] - 1 / POLL_S
    messages = 2 * max(asks_s, 0.0) * NODES / CONTROL_HOSTS
    return Line(
        'a storm: a change each 0.15 s',
        messages,
        messages * measured['links.cpu_us.by_messages'],
        messages * measured['spread.per_change_and_node.bytes'],
        0.0,
        'merged steps from peers first, control in its turn',
        'storms: 512 nodes, as many a node; links, spread',
    )


def roles(measured) -> tuple[Role, ...]:
    """Return all roles."""
    return (node(measured), control(measured))


def _margin(bound: float, reckoned: float) -> str:
    return '%.1fx' % (bound / reckoned) if reckoned else ''


def bounds(measured) -> tuple[Bound, ...]:
    """Return a row for every number of the letter."""
    lines = node(measured).lines
    cpu = sum(line.cpu_us_s for line in lines)
    memory = sum(line.memory_mb for line in lines)
    sent = sum(line.bytes_s for line in lines)
    grown = math.log(NODES) / math.log(512)
    spread = measured['spread.loss0.nodes512.max'] * grown
    lossy = measured['spread.loss20.nodes512.max'] * grown
    storm = measured['storms.nodes512.gap150.lag.max'] * grown
    return (
        Bound(
            'control at a node: processor',
            '1.8% of a core',
            '%.2f%%' % (cpu / 1e4),
            _margin(CPU_US_S, cpu),
            'see the node below',
            MEASURED,
        ),
        Bound(
            'control at a node: memory',
            '32 MB',
            '%.1f MB' % memory,
            _margin(MEMORY_MB, memory),
            'see the node below; what control adds to the libraries',
            MEASURED,
        ),
        Bound(
            'control at a node: network',
            '22 KB/s',
            '%.2f KB/s' % (sent / 1e3),
            _margin(BYTES_S, sent),
            'see the node below',
            RECKONED,
        ),
        Bound(
            'added to a request, 99 in 100',
            '%g ms' % ADDED_MS,
            '%.2f ms at the median; 99 in 100: see the text'
            % measured['latency.get.136.node.added.p50'],
            '',
            'one hop, own connections, no work for good requests',
            'latency: 136 requests/s at one node',
        ),
        Bound(
            'a change in force everywhere',
            '%g s' % IN_FORCE_S,
            '%.1f s' % spread,
            _margin(IN_FORCE_S, spread),
            'news to %d peers in two rounds, polls every %g s beneath'
            % (NEWS_FANOUT, POLL_S),
            'spread: the greatest of 512 nodes, grown with log n',
        ),
        Bound(
            'the same with a fifth of messages lost',
            '%g s' % IN_FORCE_S,
            '%.1f s' % lossy,
            _margin(IN_FORCE_S, lossy),
            'the same; questions given up after 0.5 s and asked elsewhere',
            'spread: the greatest of 512 nodes, grown with log n',
        ),
        Bound(
            'the same while one follows another each 0.15 s',
            '%g s' % IN_FORCE_S,
            '%.1f s' % storm,
            _margin(IN_FORCE_S, storm),
            'steps of peers joined from any version, tables read as they'
            ' were at the beginning',
            'storms: the greatest of 512 nodes, grown with log n',
        ),
    )
