"""What a subcommand of the CLI is, and the exit codes that they share."""

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
    EXIT_UNREACHABLE: 'no whole answer came; the code says what is known',
    EXIT_INTERRUPTED: 'interrupted from the keyboard',
}

Run = typing.Callable[[argparse.Namespace], int]


class Command:
    """One subcommand: a parser and the function that does the work.

    Plug-ins return these from ``Plugin.commands()``.

    :param name: the word that calls it.
    :param summary: one line for the list of commands.
    :param run: takes the parsed options and returns an exit code.
    :param examples: whole command lines, shown by ``--help``.
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

    def add(self, *names: str, **details) -> 'Command':
        """Add an option or argument, as ``argparse`` takes them."""
        self.parser.add_argument(*names, **details)
        return self

    def with_json(self) -> 'Command':
        """Add ``--json``."""
        return self.add(
            '--json',
            action='store_true',
            help='print JSON for machines instead of text',
        )

    def epilog(self) -> str:
        """Return the examples as ``--help`` shows them."""
        lines = ['examples:'] + ['  %s' % line for line in self.examples]
        return '\n'.join(lines) if self.examples else ''
