"""Small stand-ins for upstreams and callers, for tests and benches."""
