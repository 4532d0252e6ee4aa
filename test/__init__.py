"""Tests, mirrored by name."""
