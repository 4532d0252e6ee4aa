"""Tests of the compact table."""

import hypothesis
from hypothesis import strategies

from carawaystair import rows
from carawaystair import table

KEYS = strategies.one_of(
    strategies.integers(0, 40).map(lambda n: rows.CUSTOMER + str(n)),
    strategies.integers(0, 40).map(lambda n: rows.ROUTE + '/é%d' % n),
    strategies.integers(0, 5).map(lambda n: rows.SERVICE + str(n)),
)
TABLES = strategies.dictionaries(KEYS, strategies.binary(max_size=9))


@hypothesis.given(TABLES, TABLES)
def test_same_as_plain_rows(old, new):
    delta = rows.difference(old, new, rows.NONE, rows.NONE)
    compact = table.apply(table.from_rows(old), delta)
    assert dict(compact.items()) == new
    assert len(compact) == len(new)
    assert compact.digest() == delta.digest
    assert all(compact.get(key) == value for key, value in new.items())
    gone = [key for key in old if key not in new]
    assert not any(key in compact for key in gone)


def test_change_leaves_the_old_table_alone():
    old = table.from_rows({rows.CUSTOMER + 'a': b'1'})
    change = table.Change(old, [(rows.CUSTOMER + 'a', b'2')])
    assert change.table().get(rows.CUSTOMER + 'a') == b'2'
    assert old.get(rows.CUSTOMER + 'a') == b'1'


def test_pieces_make_up_the_whole():
    plain = {rows.CUSTOMER + str(n): b'v' for n in range(3000)}
    whole = table.from_rows(plain | {rows.HEAD: b'h'})
    again = table.EMPTY
    start = 0
    while start < table.BUCKETS:
        piece, after = whole.piece(start)
        size = sum(len(key) + len(value) for key, value in piece)
        assert start < after and size < 2 * table.PIECE_BYTES
        again, start = table.Change(again, piece).table(), after
    assert again.digest() == whole.digest()


def test_small_table_is_one_piece():
    plain = {rows.CUSTOMER + str(n): b'v' for n in range(500)}
    piece, after = table.from_rows(plain).piece(0)
    assert dict(piece) == plain
    assert after == table.BUCKETS


def test_colliding_hashes_are_told_apart(monkeypatch):
    """Two keys with one hash must not answer for each other.

    Symptom: a customer gets the limits of another.  Sequence: two names
    with the same 64-bit hash in one bucket.  Cause: a lookup that compares
    hashes only.
    """
    monkeypatch.setattr(table.xxhash, 'xxh3_64_intdigest', lambda _key: 7)
    plain = {rows.CUSTOMER + str(n): b'%d' % n for n in range(5)}
    compact = table.from_rows(plain)
    assert all(compact.get(key) == value for key, value in plain.items())
    assert compact.get(rows.CUSTOMER + '9') is None
