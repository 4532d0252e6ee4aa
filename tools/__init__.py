"""Helpers of the build: linter checks and generated pages."""
