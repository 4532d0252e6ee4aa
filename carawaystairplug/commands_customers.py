"""The subcommand of customers: their quotas and keys.

Keys are read from files and shown by short digests only: what stands on a
command line or a screen is easily recorded.
"""

import argparse
import pathlib

import expression

from carawaystair import codes
from carawaystair import plugins
from carawaystair import rows
from carawaystair.ui import api
from carawaystair.ui import command
from carawaystair.ui import output
from carawaystairplug import commands_changes

ADD, REMOVE = 'add-key', 'remove-key'
ACTIONS = (ADD, REMOVE)


class CustomerCommands(plugins.Plugin):
    """Brings the subcommand of customers."""

    name = 'commands-customers'

    def commands(self) -> tuple[command.Command, ...]:
        """Return customers."""
        examples = (
            'carawaystair customers',
            'carawaystair customers add-key north --key-file new.key'
            ' --parent 5b0c...',
            'carawaystair customers remove-key north --key 3f2a91c07b1e'
            ' --parent current',
        )
        made = command.Command(
            'customers',
            'show customers with their quotas, or add or remove a key',
            customers,
            examples,
        )
        made.add('action', nargs='?', choices=ACTIONS)
        made.add('customer', nargs='?', help='name of the customer')
        made.add(
            '--key-file', metavar='FILE', help='file with the key, one line'
        )
        made.add(
            '--key',
            metavar='DIGEST',
            help='digest of the key to remove, as shown, or its beginning',
        )
        made.add(
            '--parent',
            default=commands_changes.CURRENT,
            metavar='DIGEST',
            help='digest of the version that the change was built on'
            ' (default: the one in force)',
        )
        return (commands_changes.with_change(made),)


def customers(options: argparse.Namespace) -> int:
    """Show the customers, or change the keys of one."""
    reply = api.ask(options, 'GET', '/v1/manifests/current')
    if reply.is_error():
        return api.print_refusal(reply.error)
    if options.action is None:
        return api.print_reply(options, reply.map(_listed), _show)
    if options.customer is None:
        output.note('carawaystair customers: names no customer')
        return command.EXIT_USAGE
    edited = _edited(options, reply.ok['manifest'])
    if edited.is_error():
        output.failure(edited.error)
        return command.EXIT_REFUSED
    parent = options.parent
    if parent == commands_changes.CURRENT:
        parent = str(reply.ok['digest'])
    changed = commands_changes.change(
        options,
        '/v1/manifests',
        output.encode(edited.ok),
        headers={commands_changes.PARENT_HEADER: parent},
    )
    return api.print_reply(options, changed, commands_changes.print_accepted)


def shown_key(key: str) -> str:
    """Return the digest by which a key is shown."""
    return rows.shown(rows.credential(key)).removeprefix(rows.CREDENTIAL)


def _listed(current: dict) -> dict:
    """Return the customers of a manifest, without their keys."""
    return {
        name: {
            **{k: v for k, v in customer.items() if k != 'notes'},
            'keys': [shown_key(key) for key in customer.get('keys', ())],
        }
        for name, customer in current['manifest'].get('customers', {}).items()
    }


def _show(listed: dict) -> None:
    table = [
        (
            name,
            '%g/s' % each['rate_per_s'] if each.get('rate_per_s') else 'any',
            each.get('burst', 0),
            '-' if each.get('priority') is None else each['priority'],
            ' '.join(each['keys']) or 'none',
        )
        for name, each in sorted(listed.items())
    ]
    output.table(('customer', 'rate', 'burst', 'priority', 'keys'), table)


def _edited(options: argparse.Namespace, manifest: dict) -> expression.Result:
    """Return the manifest with the keys of one customer changed."""
    customer = manifest.get('customers', {}).get(options.customer)
    if customer is None:
        text = 'no customer is named %r' % options.customer
        return codes.fail(codes.KEY_EDIT_REFUSED, text)
    keys = list(customer.get('keys', ()))
    edit = _add if options.action == ADD else _remove
    return edit(options, keys).map(
        lambda changed: {
            **manifest,
            'customers': {
                **manifest['customers'],
                options.customer: {**customer, 'keys': changed},
            },
        }
    )


def _add(options: argparse.Namespace, keys: list[str]) -> expression.Result:
    return _read(options).bind(
        lambda key: (
            codes.fail(codes.KEY_EDIT_REFUSED, 'it has this key')
            if key in keys
            else expression.Ok([*keys, key])
        )
    )


def _remove(options: argparse.Namespace, keys: list[str]) -> expression.Result:
    if options.key is None:
        wanted = _read(options).map(shown_key)
        if wanted.is_error():
            return wanted
    else:
        wanted = expression.Ok(options.key)
    found = [key for key in keys if shown_key(key).startswith(wanted.ok)]
    if len(found) != 1 or not wanted.ok:
        text = '%d of its keys match' % len(found)
        return codes.fail(codes.KEY_EDIT_REFUSED, text)
    return expression.Ok([key for key in keys if key != found[0]])


def _read(options: argparse.Namespace) -> expression.Result:
    """Return the key in the file that the options name."""
    if options.key_file is None:
        return codes.fail(codes.KEY_EDIT_REFUSED, 'names no --key-file')
    try:
        return expression.Ok(
            pathlib.Path(options.key_file).read_text().strip()
        )
    except (OSError, UnicodeDecodeError) as error:
        return codes.fail(codes.FILE_UNREADABLE, str(error))
