"""Entry point of ``carawaystair``, the CLI for operators and pipelines."""

import argparse
import os
import sys
import typing

from carawaystair import plugins
from carawaystair.ui import command

DESCRIPTION = 'Operate and monitor a carawaystair proxy fleet.'


def parser(
    commands: typing.Sequence[command.Command],
) -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    exits = ['  %3d  %s' % pair for pair in command.EXITS.items()]
    result = argparse.ArgumentParser(
        prog='carawaystair',
        description=DESCRIPTION,
        epilog='\n'.join(['exit codes:', *exits]),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = result.add_subparsers(
        dest='command', metavar='COMMAND', required=True
    )
    for each in sorted(commands, key=lambda each: each.name):
        sub = subparsers.add_parser(
            each.name,
            help=each.summary,
            description=each.summary,
            epilog=each.epilog(),
            parents=[each.parser],
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        sub.set_defaults(run=each.run)
    return result


def main(arguments: list[str] | None = None) -> int:
    """Run one command line.

    :param arguments: the command line without the program name, None for
        ``sys.argv``.
    :return: the exit code, see ``command.EXITS``.
    """
    commands = plugins.load().commands()
    options = parser(commands).parse_args(arguments)
    try:
        return options.run(options)
    except KeyboardInterrupt:
        return command.EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader closed the pipe, as in "| head".  Without the redirection
        # the interpreter would fail when it flushes standard output at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return command.EXIT_OK


if __name__ == '__main__':
    sys.exit(main())
