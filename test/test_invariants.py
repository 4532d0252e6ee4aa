"""Tests of the invariants."""

import pathlib

import pytest

from carawaystair import invariants

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'INVARIANTS.md'


def test_every_invariant_is_on_the_page():
    names = [
        value
        for key, value in vars(invariants).items()
        if key.isupper() and isinstance(value, str)
    ]
    text = PAGE.read_text()
    assert names
    assert [name for name in names if '`%s`' % name not in text] == []


def test_broken_one_raises_in_tests_and_counts_in_production(monkeypatch):
    heard = []
    monkeypatch.setattr(
        invariants, 'LISTENERS', [lambda *told: heard.append(told)]
    )
    monkeypatch.setattr(invariants, 'BROKEN', invariants.BROKEN.copy())
    with pytest.raises(invariants.InvariantBroken):
        invariants.check(invariants.FLOOR, False, 'portal')
    monkeypatch.setattr(invariants, 'RAISE', False)
    assert not invariants.check(invariants.FLOOR, False, 'portal')
    assert invariants.check(invariants.FLOOR, True)
    assert invariants.BROKEN[invariants.FLOOR] == 2
    assert heard == [(invariants.FLOOR, 'portal')] * 2
