"""Experiments that measure the fleet: ``make bench`` and ``make soak``."""
