"""``carawaystair``: the command line tool of operators and pipelines."""

import argparse
import os
import sys
import typing

from carawaystair import plugins
from carawaystair.ui import command

DESCRIPTION = 'Drive and watch a carawaystair proxy fleet.'


def parser(
    commands: typing.Sequence[command.Command],
) -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
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
    """Entry point of ``carawaystair``.

    :param arguments: the command line without the program, None for the
        process's own.
    :return: the exit code, see ``command.EXITS``.
    """
    commands = plugins.load().commands()
    options = parser(commands).parse_args(arguments)
    try:
        return options.run(options)
    except KeyboardInterrupt:
        return command.EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of a pipe has gone, as with "| head": the rest of the
        # output is not wanted, and the interpreter must not try to flush it.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return command.EXIT_OK


if __name__ == '__main__':
    sys.exit(main())
