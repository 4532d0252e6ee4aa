"""Subcommands that change the configuration through the API of control."""

import argparse
import getpass
import pathlib
import urllib.parse
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
OPERATOR_HEADER = 'Caraway-Operator'


class ChangeCommands(plugins.Plugin):
    """Brings the subcommands that change the configuration."""

    name = 'commands-changes'

    def commands(self) -> tuple[command.Command, ...]:
        """Return submit, rollback, drain and submission."""
        return (
            _submit_command(),
            _rollback_command(),
            _drain_command(),
            _submission_command(),
        )


def with_change(made: command.Command) -> command.Command:
    """Add the options that all changes share."""
    made.add(
        '--id',
        metavar='ID',
        help='names the submission; sent again with the same id it is'
        ' answered, not made twice (default: a new random one)',
    )
    made.add(
        '--operator',
        metavar='NAME',
        help='who you are, for the audit trail (default: your login)',
        default=_me(),
    )
    return api.with_api(made).with_json()


def _me() -> str:
    """Return the user's name; empty where the system has none for it."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''


def _with_parent(made: command.Command) -> command.Command:
    return made.add(
        '--parent',
        required=True,
        metavar='DIGEST',
        help='digest of the version that the change was built on; "none"'
        ' for the first one; "current" overwrites whatever is in force',
    )


def change(
    options: argparse.Namespace, path: str, body: bytes, **details
) -> client.Reply:
    """Send a change; when it fails, tell the id to ask for it by."""
    submission = options.id or str(uuid.uuid4())
    headers = {
        SUBMISSION_HEADER: submission,
        OPERATOR_HEADER: options.operator,
        **details.pop('headers', {}),
    }
    reply = api.ask(
        options, 'POST', path, body=body, headers=headers, **details
    )
    if reply.is_error():
        output.note('Submission id: %s' % submission)
    return reply


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
        '--dry-run',
        action='store_true',
        help='check it and show what would change',
    )
    return with_change(_with_parent(made))


def submit(options: argparse.Namespace) -> int:
    """Submit a manifest, or show what it would change."""
    try:
        body = pathlib.Path(options.file).read_bytes()
    except OSError as error:
        output.failure(codes.Failure(codes.FILE_UNREADABLE, str(error)))
        return command.EXIT_REFUSED
    parent = _parent(options)
    if parent.is_error():
        return api.print_refusal(parent.error)
    reply = change(
        options,
        '/v1/manifests',
        body,
        headers={PARENT_HEADER: parent.ok},
        params={'dry_run': '1'} if options.dry_run else None,
    )
    if reply.is_error():
        return api.print_refusal(reply.error)
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
        _print_changes(answer.get('changes', ()))
    else:
        print_accepted(answer)


def print_accepted(answer: dict) -> None:
    """Print what came of a change."""
    print('Accepted as version %(version)s.' % answer)
    print('Digest, the parent of the next one: %(digest)s' % answer)


def _print_changes(changes) -> None:
    """Print what a submission changes, one row a line."""
    rows = [(each['change'], each['row']) for each in changes]
    if rows:
        output.table(('change', 'row'), rows)
    else:
        print('Nothing would change.')


# rollback


def _rollback_command() -> command.Command:
    examples = (
        'carawaystair rollback 3.17 --parent 5b0c...',
        'carawaystair rollback 3.17 --parent current --id back-1',
    )
    made = command.Command(
        'rollback',
        'put an earlier version in force again, as a new version',
        rollback,
        examples,
    )
    made.add('version', help='the version to go back to, see history')
    return with_change(_with_parent(made))


def rollback(options: argparse.Namespace) -> int:
    """Put the content of an earlier version in force again."""
    parent = _parent(options)
    if parent.is_error():
        return api.print_refusal(parent.error)
    reply = change(
        options,
        '/v1/manifests/rollback',
        output.encode({'to': options.version}),
        headers={PARENT_HEADER: parent.ok},
    )
    return api.print_reply(options, reply, print_accepted)


# submission


def _submission_command() -> command.Command:
    examples = ('carawaystair submission build-4711',)
    made = command.Command(
        'submission',
        'ask again for the answer of a change that was lost',
        submission,
        examples,
    )
    made.add('id', help='id of the submission')
    return api.with_api(made).with_json()


def submission(options: argparse.Namespace) -> int:
    """Show what became of a submission."""
    path = '/v1/submissions/%s' % urllib.parse.quote(options.id, safe='')
    reply = api.ask(options, 'GET', path)
    return api.print_reply(options, reply, print_accepted)


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
    return with_change(made)


def drain(options: argparse.Namespace) -> int:
    """Plan a stop; control refuses it when a floor would break."""
    body = {
        'hosts': options.host,
        'data_centres': options.data_centre,
        'undo': options.undo,
    }
    reply = change(options, '/v1/drains', output.encode(body))
    if reply.is_error():
        return api.print_refusal(reply.error)
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
    for host in answer.get('unheard', ()):
        output.note('No host named %s was heard of lately.' % host)
