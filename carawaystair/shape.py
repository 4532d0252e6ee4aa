"""Turns decoded JSON into typed ``NamedTuple`` values, whole or not at all.

Settings and manifests are both read through here.  Every mistake is listed
with its path in the document; an unknown key is answered with the nearest
known one, since a misspelt limit that is silently ignored is worse than a
refusal.
"""

import difflib
import types
import typing

SCALARS = {str: 'text', int: 'a whole number', bool: 'true or false'}


class Mistake(typing.NamedTuple):
    """One thing wrong in a document.

    :param path: where, such as ``$.services.portal.floor_percent``.
    :param text: what is wrong, for a person.
    """

    path: str
    text: str

    def __str__(self) -> str:
        return '%s: %s' % (self.path, self.text)


def build(kind, value, path: str = '$', mistakes: list | None = None):
    """Build a value of type ``kind`` from decoded JSON.

    :param kind: a ``NamedTuple`` class, a scalar type, ``tuple[T, ...]``,
        ``dict[str, T]``, ``typing.Literal`` or ``T | None``.
    :param value: what the JSON decoder returned.
    :param path: where ``value`` stands in the document.
    :param mistakes: the list that takes every :class:`Mistake` found.
    :return: the value, or None where there was a mistake in it.
    """
    mistakes = [] if mistakes is None else mistakes
    origin = typing.get_origin(kind)
    if kind is typing.Any:
        return value
    if hasattr(kind, '_fields'):
        return _record(kind, value, path, mistakes)
    if origin is tuple:
        return _sequence(typing.get_args(kind)[0], value, path, mistakes)
    if origin is dict:
        return _mapping(typing.get_args(kind)[1], value, path, mistakes)
    if origin is typing.Literal:
        return _literal(typing.get_args(kind), value, path, mistakes)
    if origin in (typing.Union, types.UnionType):
        return _optional(typing.get_args(kind), value, path, mistakes)
    return _scalar(kind, value, path, mistakes)


def plain(value):
    """Return the JSON form of a value that :func:`build` made."""
    if hasattr(value, '_fields'):
        return {
            name: plain(getattr(value, name))
            for name in value._fields
            if getattr(value, name) is not None
        }
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(item) for item in value]
    return value


def _record(kind, value, path, mistakes):
    if not isinstance(value, dict):
        mistakes.append(Mistake(path, 'expected an object'))
        return None
    hints = typing.get_type_hints(kind)
    unknown = [key for key in value if key not in hints]
    mistakes.extend(_unknown(path, key, hints) for key in unknown)
    missing = [
        name
        for name in kind._fields
        if name not in value and name not in kind._field_defaults
    ]
    mistakes.extend(
        Mistake('%s.%s' % (path, name), 'is missing') for name in missing
    )
    before = len(mistakes)
    fields = {
        name: build(hints[name], value[name], '%s.%s' % (path, name), mistakes)
        for name in kind._fields
        if name in value
    }
    if unknown or missing or len(mistakes) > before:
        return None
    return kind(**fields)


def _unknown(path, key, hints):
    near = difflib.get_close_matches(key, hints, n=1)
    hint = '; did you mean %r?' % near[0] if near else ''
    return Mistake('%s.%s' % (path, key), 'unknown key%s' % hint)


def _sequence(kind, value, path, mistakes):
    if not isinstance(value, (list, tuple)):
        mistakes.append(Mistake(path, 'expected a list'))
        return None
    return tuple(
        build(kind, item, '%s[%d]' % (path, index), mistakes)
        for index, item in enumerate(value)
    )


def _mapping(kind, value, path, mistakes):
    if not isinstance(value, dict):
        mistakes.append(Mistake(path, 'expected an object'))
        return None
    return {
        key: build(kind, item, '%s.%s' % (path, key), mistakes)
        for key, item in value.items()
    }


def _literal(choices, value, path, mistakes):
    if value not in choices:
        text = 'expected one of %s' % ', '.join(map(repr, choices))
        mistakes.append(Mistake(path, text))
        return None
    return value


def _optional(kinds, value, path, mistakes):
    if value is None:
        return None
    kind = next(kind for kind in kinds if kind is not type(None))
    return build(kind, value, path, mistakes)


def _scalar(kind, value, path, mistakes):
    if kind is float and isinstance(value, int) and value is not True:
        value = float(value)
    # A bool is an int to Python; "slots": true must not pass as 1.
    odd = isinstance(value, bool) and kind is not bool
    if odd or not isinstance(value, kind):
        expected = SCALARS.get(kind, 'a number')
        mistakes.append(Mistake(path, 'expected %s' % expected))
        return None
    return value
