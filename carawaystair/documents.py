"""Decodes the JSON documents that people and pipelines write.

A key that stands twice in one object is a mistake here: decoders keep the
last one, so that a limit could silently be another than the one that a
reader finds first.
"""

import collections
import json
import typing

import expression
import msgspec

from carawaystair import shape

Decoded = expression.Result[typing.Any, list[shape.Mistake]]


def decode(data: bytes, most: int) -> Decoded:
    """Decode a document, within bounds.

    Nesting is bounded by the decoder: a document nested a thousand deep is
    refused like any other malformed one.

    :param data: JSON in UTF-8.
    :param most: bytes allowed.
    :return: the value, or every mistake found.
    """
    if len(data) > most:
        text = 'has %d bytes; %d are allowed' % (len(data), most)
        return _wrong(text)
    doubled: list[_Doubled] = []

    def _object(pairs: list) -> dict:
        value = dict(pairs)
        if len(value) < len(pairs):
            value = _Doubled(value)
            counted = collections.Counter(key for key, _item in pairs)
            value.keys_twice = [k for k, n in counted.items() if n > 1]
            doubled.append(value)
        return value

    try:
        text = data.decode()
        value = json.loads(
            text, object_pairs_hook=_object, parse_constant=_constant
        )
        if '\\u' in text and not _whole_signs(data):
            return _wrong('holds half of a surrogate pair')
        twice = list(_twice(value, '$')) if doubled else []
    except RecursionError:
        return _wrong('is nested too deep')
    except ValueError as error:
        return _wrong(str(error))
    return expression.Error(twice) if twice else expression.Ok(value)


class _Doubled(dict):
    """An object in which keys stand twice."""

    keys_twice: list[str]


def _twice(value, path: shape.Path) -> typing.Iterator[shape.Mistake]:
    """Find the keys that stand twice, with their paths."""
    if isinstance(value, _Doubled):
        for key in value.keys_twice:
            yield shape.Mistake(shape.show((path, key)), 'stands twice')
    steps: typing.Iterable = ()
    if isinstance(value, dict):
        steps = value.items()
    elif isinstance(value, list):
        steps = enumerate(value)
    for step, item in steps:
        yield from _twice(item, (path, step))


def _whole_signs(data: bytes) -> bool:
    """Tell whether no escape stands for half of a surrogate pair.

    The decoder of the standard library lets such text through; it could
    never be encoded again, and the process that tries would fail.
    """
    try:
        msgspec.json.decode(data)
    except msgspec.DecodeError:
        return False
    return True


def _constant(name: str) -> typing.NoReturn:
    raise ValueError('%s is no JSON number' % name)


def _wrong(text: str) -> Decoded:
    return expression.Error([shape.Mistake('$', text)])
