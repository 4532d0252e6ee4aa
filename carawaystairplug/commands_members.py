"""The subcommand that changes the control group."""

import argparse

from carawaystair import plugins
from carawaystair.ui import api
from carawaystair.ui import command
from carawaystair.ui import output

ACTIONS = ('add', 'promote', 'remove')


class MemberCommands(plugins.Plugin):
    """Brings the subcommand of the control group."""

    name = 'commands-members'

    def commands(self) -> tuple[command.Command, ...]:
        """Return members."""
        examples = (
            'carawaystair members',
            'carawaystair members add rvk-d-1 --peer 10.0.4.1:7401',
            'carawaystair members promote rvk-d-1',
            'carawaystair members remove rvk-a-1',
        )
        made = command.Command(
            'members',
            'show the control group, or change one member of it',
            members,
            examples,
        )
        made.add('action', nargs='?', choices=ACTIONS)
        made.add('host', nargs='?', help='name of the control host')
        made.add(
            '--peer', default='', metavar='IP:PORT', help='its address, to add'
        )
        return (api.with_api(made).with_json(),)


def members(options: argparse.Namespace) -> int:
    """Show the control group, or add, promote or remove one host."""
    if options.action is None:
        reply = api.ask(options, 'GET', '/v1/status')
        return api.print_reply(options, reply, _show_status)
    if options.host is None:
        output.note('carawaystair members: names no host')
        return command.EXIT_USAGE
    body = {
        'action': options.action,
        'name': options.host,
        'peer': options.peer,
    }
    reply = api.ask(options, 'POST', '/v1/members', body=output.encode(body))
    return api.print_reply(options, reply, _show)


def _show(group: dict) -> None:
    rows = [
        (each['name'], each['peer'], 'voter' if each['voting'] else 'learner')
        for each in group['members']
    ]
    output.table(('host', 'peer', 'standing'), rows)


def _show_status(status: dict) -> None:
    _show(status['control'])
