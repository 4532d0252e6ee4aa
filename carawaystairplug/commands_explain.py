"""The subcommand that explains a request from log files."""

import argparse
import itertools
import json
import pathlib
import sys

from carawaystair import explain as explaining
from carawaystair import plugins
from carawaystair import timeline
from carawaystair.ui import command


class ExplainCommand(plugins.Plugin):
    """Brings the subcommand ``explain``."""

    name = 'commands-explain'

    def commands(self) -> tuple[command.Command, ...]:
        """Return explain."""
        examples = (
            'carawaystair explain 9c41d07be2a35f68 /var/log/caraway/*.log',
            'carawaystair explain 9c41d07be2a35f68 --json all.log',
        )
        made = command.Command(
            'explain',
            'tell what became of a request, from log files',
            explain,
            examples,
        )
        made.add('id', metavar='ID', help='id of the request')
        made.add('files', metavar='FILE', nargs='+', help='log files')
        return (made.with_json(),)


def explain(options: argparse.Namespace) -> int:
    """Print a request's story and its cause."""
    try:
        lines = itertools.chain.from_iterable(
            pathlib.Path(name).read_text(errors='replace').splitlines()
            for name in options.files
        )
        events = explaining.story(explaining.read(lines), options.id)
    except OSError as error:
        print(str(error), file=sys.stderr)
        return command.EXIT_USAGE
    if not events:
        print('No line is about %s.' % options.id, file=sys.stderr)
        return command.EXIT_REFUSED
    if options.json:
        told = {'cause': explaining.cause(events), 'events': events}
        print(json.dumps(told, indent=2))
        return command.EXIT_OK
    for event in events:
        at = timeline.clock_text(event['time_ms'] << timeline.COUNTER_BITS)
        words = (
            at,
            event.get('host', ''),
            event['id'],
            explaining.sentence(event),
        )
        print('%s  %-14s %-18s %s' % words)
    print('Cause: %s.' % explaining.cause(events))
    return command.EXIT_OK
