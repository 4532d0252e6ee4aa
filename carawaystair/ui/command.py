"""Subcommands of the CLI and their exit codes."""

import argparse
import typing

# Exit codes, explained in docs/CLI.md.
EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_UNREACHABLE = 4
EXIT_INTERRUPTED = 130

EXITS = {
    EXIT_OK: 'done',
    EXIT_REFUSED: 'refused or failed; a numbered code says why',
    EXIT_USAGE: 'the command line is wrong',
    EXIT_INVALID: 'a document has mistakes; each is listed with its path',
    EXIT_UNREACHABLE: 'no complete response was received; the code says why',
    EXIT_INTERRUPTED: 'interrupted from the keyboard',
}

Run = typing.Callable[[argparse.Namespace], int]


class Command:
    """One subcommand: its parser and the function that runs it.

    Plug-ins return these from ``Plugin.commands()``.

    :param name: the name on the command line.
    :param summary: one line for the list of commands.
    :param run: takes the parsed options and returns an exit code.
    :param examples: complete command lines, shown by ``--help``.
    """

    def __init__(
        self,
        name: str,
        summary: str,
        run: Run,
        examples: typing.Sequence[str] = (),
    ) -> None:
        self.name = name
        self.summary = summary
        self.run = run
        self.examples = tuple(examples)
        self.parser = argparse.ArgumentParser(add_help=False)

    def add(self, *names: str, **arguments) -> 'Command':
        """Add an option or argument; same parameters as ``add_argument``."""
        self.parser.add_argument(*names, **arguments)
        return self

    def with_json(self) -> 'Command':
        """Add ``--json``."""
        return self.add(
            '--json',
            action='store_true',
            help='print JSON instead of text',
        )

    def epilog(self) -> str:
        """Return the examples as ``--help`` shows them."""
        lines = ['examples:'] + ['  %s' % line for line in self.examples]
        return '\n'.join(lines) if self.examples else ''
