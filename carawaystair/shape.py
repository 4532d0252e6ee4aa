"""Turns decoded JSON into typed ``NamedTuple`` values, whole or not at all.

Settings and manifests are both read through here.  Every mistake is listed
with its path in the document; an unknown key is answered with the nearest
known one, since a misspelt limit that is silently ignored is worse than a
refusal.

A builder is made once for each type: a manifest of full size has 110,000
records, and looking at the type hints of each would take seconds.
"""

import difflib
import functools
import math
import types
import typing

SCALARS = {str: 'text', int: 'a whole number', bool: 'true or false'}
# A document may be wrong everywhere; more mistakes than a person would read
# only cost time and memory.
MAX_MISTAKES = 200
# Longer keys are cut in messages and not compared with known ones.
MAX_SHOWN = 64

Path = typing.Union[str, tuple['Path', typing.Union[str, int]]]


class Mistake(typing.NamedTuple):
    """One thing wrong in a document.

    :param path: where, such as ``$.services.portal.floor_percent``.
    :param text: what is wrong, for a person.
    """

    path: str
    text: str

    def __str__(self) -> str:
        return '%s: %s' % (self.path, self.text)


Builder = typing.Callable[[typing.Any, Path, list], typing.Any]


def build(kind, value, path: str = '$', mistakes: list | None = None):
    """Build a value of type ``kind`` from decoded JSON.

    :param kind: a ``NamedTuple`` class, a scalar type, ``tuple[T, ...]``,
        ``dict[str, T]``, ``typing.Literal`` or ``T | None``.
    :param value: what the JSON decoder returned.
    :param path: where ``value`` stands in the document.
    :param mistakes: the list that takes every :class:`Mistake` found, up to
        :data:`MAX_MISTAKES`.
    :return: the value, or None where there was a mistake in it.
    """
    mistakes = [] if mistakes is None else mistakes
    return _builder(kind)(value, path, mistakes)


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


def show(path: Path) -> str:
    """Return a path as a person reads it.

    :param path: text, or a pair of the path above and a key or an index.
    """
    if isinstance(path, str):
        return path
    above, step = path
    if isinstance(step, int):
        return '%s[%d]' % (show(above), step)
    odd = not step.isprintable() or not 0 < len(step) <= MAX_SHOWN
    shown = repr(step[:MAX_SHOWN]) if odd else step
    return '%s.%s' % (show(above), shown)


def _add(mistakes: list, path: Path, text: str) -> None:
    if len(mistakes) < MAX_MISTAKES:
        mistakes.append(Mistake(show(path), text))
    elif len(mistakes) == MAX_MISTAKES:
        mistakes.append(Mistake('$', 'more mistakes are not listed'))


@functools.lru_cache(maxsize=None)
def _builder(kind) -> Builder:
    """Return what builds values of one type."""
    origin = typing.get_origin(kind)
    if kind is typing.Any:
        return lambda value, _path, _mistakes: value
    if hasattr(kind, '_fields'):
        return _record(kind)
    if origin is tuple:
        return _sequence(typing.get_args(kind)[0])
    if origin is dict:
        return _mapping(typing.get_args(kind)[1])
    if origin is typing.Literal:
        return _literal(typing.get_args(kind))
    if origin in (typing.Union, types.UnionType):
        return _optional(typing.get_args(kind))
    return _number() if kind is float else _scalar(kind)


def _record(kind) -> Builder:
    hints = typing.get_type_hints(kind)
    parts = tuple((name, _builder(hints[name])) for name in kind._fields)
    known = frozenset(kind._fields)
    required = known - kind._field_defaults.keys()

    def _build(value, path, mistakes):
        if not isinstance(value, dict):
            return _add(mistakes, path, 'expected an object')
        before = len(mistakes)
        if not value.keys() <= known:
            _add_unknown(value, path, known, mistakes)
        if not required <= value.keys():
            for name in kind._fields:
                if name in required and name not in value:
                    _add(mistakes, (path, name), 'is missing')
        fields = {
            name: part(value[name], (path, name), mistakes)
            for name, part in parts
            if name in value
        }
        return None if len(mistakes) > before else kind(**fields)

    return _build


def _add_unknown(value, path, known, mistakes) -> None:
    for key in value:
        if key in known or len(mistakes) > MAX_MISTAKES:
            continue
        # Comparing takes time in proportion to the length.
        near = difflib.get_close_matches(key[:MAX_SHOWN], known, n=1)
        hint = '; did you mean %r?' % near[0] if near else ''
        _add(mistakes, (path, key), 'unknown key%s' % hint)


def _sequence(kind) -> Builder:
    part = _builder(kind)

    def _build(value, path, mistakes):
        if not isinstance(value, (list, tuple)):
            return _add(mistakes, path, 'expected a list')
        return tuple(
            [
                part(item, (path, index), mistakes)
                for index, item in enumerate(value)
            ]
        )

    return _build


def _mapping(kind) -> Builder:
    part = _builder(kind)

    def _build(value, path, mistakes):
        if not isinstance(value, dict):
            return _add(mistakes, path, 'expected an object')
        return {
            key: part(item, (path, key), mistakes)
            for key, item in value.items()
        }

    return _build


def _literal(choices) -> Builder:
    text = 'expected one of %s' % ', '.join(map(repr, choices))

    def _build(value, path, mistakes):
        # 1 == True to Python.
        if any(value == c and type(value) is type(c) for c in choices):
            return value
        return _add(mistakes, path, text)

    return _build


def _optional(kinds) -> Builder:
    part = _builder(next(k for k in kinds if k is not type(None)))

    def _build(value, path, mistakes):
        return None if value is None else part(value, path, mistakes)

    return _build


def _scalar(kind) -> Builder:
    text = 'expected %s' % SCALARS[kind]

    def _build(value, path, mistakes):
        # A bool is an int to Python; "slots": true must not pass as 1.
        if type(value) is kind:
            return value
        return _add(mistakes, path, text)

    return _build


def _number() -> Builder:
    def _build(value, path, mistakes):
        if type(value) is float and math.isfinite(value):
            return value
        # Whole numbers of JSON have no bound, those of a float do.
        if type(value) is int and abs(value) < 2**53:
            return float(value)
        return _add(mistakes, path, 'expected a number')

    return _build
