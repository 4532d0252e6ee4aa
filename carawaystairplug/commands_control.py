"""Subcommands that ask the administration API of a control host."""

import argparse
import pathlib
import uuid

from carawaystair import codes
from carawaystair import plugins
from carawaystair.ui import api
from carawaystair.ui import client
from carawaystair.ui import command
from carawaystair.ui import output

CURRENT = 'current'
NONE = 'none'
PARENT_HEADER = 'Caraway-Parent'
SUBMISSION_HEADER = 'Caraway-Submission'


class ControlCommands(plugins.Plugin):
    """Brings the subcommands of the administration API."""

    name = 'commands-control'

    def commands(self) -> tuple[command.Command, ...]:
        """Return submit, status and drain."""
        return (_submit_command(), _status_command(), _drain_command())


# submit


def _submit_command() -> command.Command:
    examples = (
        'carawaystair submit manifest.json --parent 5b0c... --id build-4711',
        'carawaystair submit manifest.json --parent current --dry-run',
        'carawaystair submit first.json --parent none',
    )
    made = command.Command(
        'submit', 'submit a manifest for the whole fleet', submit, examples
    )
    made.add('file', help='the manifest')
    made.add(
        '--parent',
        required=True,
        metavar='DIGEST',
        help='digest of the version that the manifest was built on; "none"'
        ' for the first one; "current" overwrites whatever is in force',
    )
    made.add(
        '--id',
        metavar='ID',
        help='names the submission; sent again with the same id it is'
        ' answered, not made twice (default: a new random one)',
    )
    made.add(
        '--dry-run',
        action='store_true',
        help='check it and show what would change',
    )
    return api.with_api(made).with_json()


def submit(options: argparse.Namespace) -> int:
    """Submit a manifest, or show what it would change."""
    try:
        body = pathlib.Path(options.file).read_bytes()
    except OSError as error:
        output.failure(codes.Failure(codes.FILE_UNREADABLE, str(error)))
        return command.EXIT_REFUSED
    parent = _parent(options)
    if parent.is_error():
        return api.refused(parent.error)
    submission = options.id or str(uuid.uuid4())
    headers = {PARENT_HEADER: parent.ok, SUBMISSION_HEADER: submission}
    params = {'dry_run': '1'} if options.dry_run else None
    reply = api.ask(
        options,
        'POST',
        '/v1/manifests',
        body=body,
        headers=headers,
        params=params,
    )
    if reply.is_error():
        output.note('Submission id: %s' % submission)
        return api.refused(reply.error)
    _print_submitted(options, reply.ok)
    return command.EXIT_OK


def _parent(options: argparse.Namespace) -> client.Reply:
    if options.parent != CURRENT:
        return client.ok('' if options.parent == NONE else options.parent)
    reply = api.ask(options, 'GET', '/v1/manifests/current')
    return reply.map(lambda value: str(value.get('digest', '')))


def _print_submitted(options: argparse.Namespace, answer: dict) -> None:
    if options.json:
        output.json(answer)
    elif options.dry_run:
        print_changes(answer.get('changes', ()))
    else:
        print('Accepted as version %(version)s.' % answer)
        print('Digest, the parent of the next one: %(digest)s' % answer)


def print_changes(changes) -> None:
    """Print what a submission changes, one row a line."""
    rows = [(each['change'], each['row']) for each in changes]
    if rows:
        output.table(('change', 'row'), rows)
    else:
        print('Nothing would change.')


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
    if reply.is_error():
        return api.refused(reply.error)
    if options.json:
        output.json(reply.ok)
        return command.EXIT_OK
    nodes = reply.ok.get('nodes', ())
    print('Version in force: %s' % reply.ok.get('version', ''))
    heads = ('host', 'data centre', 'version', 'state')
    names = ('host', 'data_centre', 'version', 'state')
    output.table(heads, [[each.get(n, '') for n in names] for each in nodes])
    return command.EXIT_OK


def _node_status(options: argparse.Namespace) -> int:
    replies = api.ask_nodes(options.node, '/v1/status')
    good = [reply.ok for reply in replies if reply.is_ok()]
    bad = [reply.error for reply in replies if reply.is_error()]
    if options.json:
        output.json(good)
    else:
        for each in good:
            output.pairs(each)
    return max([api.refused(each) for each in bad], default=command.EXIT_OK)


# drain


def _drain_command() -> command.Command:
    examples = (
        'carawaystair drain --host rvk-a-1',
        'carawaystair drain --data-centre rvk-a --id works-17',
        'carawaystair drain --undo --host rvk-a-1',
    )
    made = command.Command(
        'drain',
        'plan a stop of hosts or data centres, or end it',
        drain,
        examples,
    )
    made.add('--host', action='append', default=[], metavar='HOST')
    made.add('--data-centre', action='append', default=[], metavar='NAME')
    made.add('--undo', action='store_true', help='give them new work again')
    made.add('--id', metavar='ID', help='names the change, as for submit')
    return api.with_api(made).with_json()


def drain(options: argparse.Namespace) -> int:
    """Plan a stop; control refuses it when a floor would break."""
    submission = options.id or str(uuid.uuid4())
    body = {
        'hosts': options.host,
        'data_centres': options.data_centre,
        'undo': options.undo,
    }
    reply = api.ask(
        options,
        'POST',
        '/v1/drains',
        body=output.encode(body),
        headers={SUBMISSION_HEADER: submission},
    )
    if reply.is_error():
        output.note('Submission id: %s' % submission)
        return api.refused(reply.error)
    _print_drained(options, reply.ok)
    return command.EXIT_OK


def _print_drained(options: argparse.Namespace, answer: dict) -> None:
    if options.json:
        output.json(answer)
        return
    drains = answer.get('drains', {})
    print('Accepted as version %s.' % answer.get('version'))
    print('Hosts: %s' % (', '.join(drains.get('hosts', ())) or 'none'))
    named = ', '.join(drains.get('data_centres', ())) or 'none'
    print('Data centres: %s' % named)
