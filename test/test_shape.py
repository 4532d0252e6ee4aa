"""Tests of typed values from JSON."""

import typing

from carawaystair import shape


class Inner(typing.NamedTuple):
    """A record in a record."""

    slots: int
    share: float = 1.0


class Outer(typing.NamedTuple):
    """A record with all kinds of fields."""

    name: str
    inner: dict[str, Inner]
    tags: tuple[str, ...] = ()
    mode: typing.Literal['a', 'b'] = 'a'
    maybe: bool | None = None


def test_builds_and_returns_to_plain():
    document = {'name': 'x', 'inner': {'k': {'slots': 3}}, 'tags': ['t']}
    value = shape.build(Outer, document)
    assert value == Outer('x', {'k': Inner(3)}, ('t',))
    assert shape.build(Outer, shape.plain(value)) == value


def test_lists_every_mistake_with_path_and_nearest_key():
    document = {'name': 1, 'inner': {'k': {'slot': 3}}, 'mode': 'c'}
    mistakes = []
    assert shape.build(Outer, document, mistakes=mistakes) is None
    assert sorted(map(str, mistakes)) == [
        "$.inner.k.slot: unknown key; did you mean 'slots'?",
        '$.inner.k.slots: is missing',
        "$.mode: expected one of 'a', 'b'",
        '$.name: expected text',
    ]


def test_true_is_no_number():
    mistakes = []
    shape.build(Inner, {'slots': True}, mistakes=mistakes)
    assert mistakes == [shape.Mistake('$.slots', 'expected a whole number')]


def test_true_is_not_the_literal_one():
    mistakes = []
    assert shape.build(typing.Literal[1, 2], True, '$', mistakes) is None
    assert mistakes == [shape.Mistake('$', 'expected one of 1, 2')]
