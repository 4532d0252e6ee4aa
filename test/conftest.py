"""Set-up shared by all tests."""

import pytest

from carawaystair import invariants


@pytest.fixture(autouse=True)
def strict_invariants(monkeypatch):
    """Let a broken invariant end the test."""
    monkeypatch.setattr(invariants, 'RAISE', True)
