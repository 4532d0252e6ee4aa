"""What the CLI prints: results to standard output, the rest to error."""

import sys
import typing

import msgspec

from carawaystair import codes
from carawaystair import shape


def json(value) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(encode(value), indent=2).decode())


def table(
    heads: typing.Sequence[str], rows: typing.Iterable[typing.Sequence]
) -> None:
    """Print rows in columns as wide as their widest cell."""
    lines = [tuple(heads), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths))
        print('  '.join(cells).rstrip())


def note(text: str) -> None:
    """Tell a person something that is no result."""
    print(text, file=sys.stderr)


def failure(
    what: codes.Failure, mistakes: typing.Iterable[shape.Mistake] = ()
) -> None:
    """Tell a person what went wrong, every mistake, and what to do."""
    note('carawaystair: %s' % what.sentence())
    for mistake in mistakes:
        note('  %s' % (mistake,))
    note('  %s' % what.code.remedy)


def encode(value) -> bytes:
    """Return the JSON of a value, ``NamedTuple`` types as objects."""
    return msgspec.json.encode(shape.plain(value))


def pairs(value: typing.Mapping) -> None:
    """Print an object as lines of name and value, nested ones as JSON."""
    for key, item in value.items():
        nested = isinstance(item, (dict, list))
        text = encode(item).decode() if nested else item
        print('%-20s %s' % (key, text))
