"""The administration API of control hosts (HTTP, JSON)."""

from carawaystair.admin import service

make = service.make
