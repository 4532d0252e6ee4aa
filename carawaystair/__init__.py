"""The kernel of carawaystair: a proxy fleet for gray failures."""

__version__ = '0.1.0'
