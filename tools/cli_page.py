"""Print docs/CLI.md from the parsers of the CLI."""

import argparse
import os

from carawaystair import plugins
from carawaystair.ui import command
from carawaystair.ui import main

WIDTH = 100
HEAD = """# The command line

`carawaystair` drives and watches a fleet. It speaks only public HTTP: the
administration API of control hosts (`--api`), and the local API of nodes
(`--node`). This page is made by `make docs` from the program's own help; a
test compares the two.

Results go to standard output, everything else to standard error. `--json`
prints results for machines. A token is read from a file (`--token-file`),
never from the command line, where every user of the host could see it.

## Exit codes

| code | meaning |
| --- | --- |
"""


def page() -> str:
    """Return the whole page as text."""
    os.environ['COLUMNS'] = str(WIDTH)
    rows = ['| %d | %s |' % pair for pair in command.EXITS.items()]
    parser = main.parser(plugins.load().commands())
    parts = [_section(name, sub) for name, sub in _commands(parser)]
    return HEAD + '\n'.join([*rows, *parts]) + '\n'


def _commands(parser: argparse.ArgumentParser) -> list:
    """Return the subcommands by name."""
    actions = (
        action
        for action in parser._actions
        if isinstance(action, argparse._SubParsersAction)
    )
    return sorted(next(actions).choices.items())


def _section(name: str, sub: argparse.ArgumentParser) -> str:
    return '\n## %s\n\n```\n%s```' % (name, sub.format_help())


if __name__ == '__main__':
    print(page(), end='')
