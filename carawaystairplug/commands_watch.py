"""Subcommands that read control: status, current, history, audit."""

import argparse
import time
import typing

from carawaystair import plugins
from carawaystair.ui import api
from carawaystair.ui import command
from carawaystair.ui import output


class WatchCommands(plugins.Plugin):
    """Brings the subcommands that read control."""

    name = 'commands-watch'

    def commands(self) -> tuple[command.Command, ...]:
        """Return status, current, history and audit."""
        return (
            _status_command(),
            _current_command(),
            _listing(
                'history',
                'show the accepted versions, newest first',
                '/v1/manifests/history',
                ('version', 'author', 'kind', 'submission', 'digest'),
            ),
            _listing(
                'audit',
                'show changes, accepted and refused, newest first',
                '/v1/audit',
                ('author', 'action', 'code', 'version', 'detail'),
            ),
        )


# status


def _status_command() -> command.Command:
    examples = (
        'carawaystair status --api http://10.0.0.5:7580',
        'carawaystair status --node http://127.0.0.1:8081 --json',
    )
    made = command.Command(
        'status',
        'show the fleet as control sees it, or single nodes',
        status,
        examples,
    )
    return api.with_nodes(api.with_api(made)).with_json()


def status(options: argparse.Namespace) -> int:
    """Show every node and its version, or what single nodes say."""
    if options.node:
        return _node_status(options)
    reply = api.ask(options, 'GET', '/v1/status')
    return api.print_reply(options, reply, _print_status)


def _print_status(fleet: dict) -> None:
    group = fleet['control']
    print('Version in force: %s%s' % (fleet['version'], _mark(fleet)))
    line = 'Control: %(name)s is %(role)s, leader %(leader)s, term %(term)s'
    print(line % group)
    if group['failure']:
        print('Control: %s' % group['failure'])
    for name in ('hosts', 'data_centres'):
        stops = fleet['drains'].get(name, ())
        if stops:
            print('Planned stop of %s: %s' % (name, ', '.join(stops)))
    count = fleet['nodes_at_version'], fleet['nodes_behind']
    print('Nodes: %d at this version, %d behind' % count)
    rows = [
        (
            node['host'],
            node['version'],
            '' if node['version'] == fleet['version'] else 'behind',
            '%.1f' % node['age_s'],
        )
        for node in fleet['nodes']
    ]
    if rows:
        output.table(('host', 'version', 'state', 'heard s ago'), rows)


def _mark(value: dict) -> str:
    """Return the warning that a stale read carries."""
    if not value['stale']:
        return ''
    return ' (STALE: no quorum, up to %.1f s old)' % value['age_s']


def _node_status(options: argparse.Namespace) -> int:
    replies = api.ask_nodes(options.node, '/v1/status')
    good = [reply.ok for reply in replies if reply.is_ok()]
    if options.json:
        output.json(good)
    else:
        for each in good:
            _print_node(each)
    refusals = [reply.error for reply in replies if reply.is_error()]
    return max(map(api.print_refusal, refusals), default=command.EXIT_OK)


def _print_node(node: dict) -> None:
    services = node.pop('services', ())
    output.pairs(node)
    rows = [
        (
            each['name'],
            len(each['upstreams']),
            sum(u['state'] == 'draining' for u in each['upstreams']),
            '%(healthy)d of %(slots)d' % each,
            each['bound'],
            ', '.join(each['ejected']) or '-',
        )
        for each in services
    ]
    if rows:
        heads = ('upstreams', 'draining', 'healthy slots', 'floor', 'ejected')
        output.table(('service', *heads), rows)


# current


def _current_command() -> command.Command:
    examples = (
        'carawaystair current > manifest.json',
        'carawaystair current --json',
    )
    made = command.Command(
        'current', 'print the manifest in force', current, examples
    )
    return api.with_api(made).with_json()


def current(options: argparse.Namespace) -> int:
    """Print the manifest in force; with ``--json`` its version, too."""
    reply = api.ask(options, 'GET', '/v1/manifests/current')
    return api.print_reply(options, reply, _print_current)


def _print_current(value: dict) -> None:
    output.json(value['manifest'])
    output.note('Version %s%s' % (value['version'], _mark(value)))
    output.note('Digest, the parent of the next one: %s' % value['digest'])


# history, audit


def _listing(
    name: str, text: str, path: str, columns: typing.Sequence[str]
) -> command.Command:
    """Return a command that shows a list of changes."""

    def _run(options: argparse.Namespace) -> int:
        params = {'limit': str(options.limit)}
        reply = api.ask(options, 'GET', path, params=params)
        return api.print_reply(options, reply, _show)

    def _show(entries: list) -> None:
        rows = [
            (_when(each['wall_ms']), *(each[c] for c in columns))
            for each in entries
        ]
        output.table(('time', *columns), rows)

    examples = ('carawaystair %s --limit 20' % name,)
    made = command.Command(name, text, _run, examples)
    made.add('--limit', type=int, default=50, help='entries at most')
    return api.with_api(made).with_json()


def _when(wall_ms: int) -> str:
    """Return a wall time for a person, in UTC."""
    return time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(wall_ms / 1000))
