"""Output of the CLI: results on standard output, messages on error."""

import sys
import typing

import msgspec

from carawaystair import codes
from carawaystair import shape


def json(value) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(encode(value), indent=2).decode())


def table(
    headers: typing.Sequence[str], rows: typing.Iterable[typing.Sequence]
) -> None:
    """Print a header and rows, each column as wide as its widest cell."""
    lines = [tuple(headers), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths))
        print('  '.join(cells).rstrip())


def note(text: str) -> None:
    """Print a message to standard error."""
    print(text, file=sys.stderr)


def failure(
    error: codes.Failure, mistakes: typing.Iterable[shape.Mistake] = ()
) -> None:
    """Print a failure, all mistakes and the remedy to standard error."""
    note('carawaystair: %s' % error.sentence())
    for mistake in mistakes:
        note('  %s' % (mistake,))
    note('  %s' % error.code.remedy)


def encode(value) -> bytes:
    """Encode a value as JSON, ``NamedTuple`` types as objects."""
    return msgspec.json.encode(shape.plain(value))


def pairs(value: typing.Mapping) -> None:
    """Print each key and value on a line, nested values as JSON."""
    for key, item in value.items():
        nested = isinstance(item, (dict, list))
        text = encode(item).decode() if nested else item
        print('%-20s %s' % (key, text))
