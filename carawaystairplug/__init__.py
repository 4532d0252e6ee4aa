"""Plug-ins of carawaystair, one module each.

A module here declares subclasses of :class:`carawaystair.plugins.Plugin`;
loading the module registers them.
"""
