"""The role ``control``."""

import importlib

from carawaystair import plugins


def make(kernel):
    """Return the control role of a process.

    The parts are imported here: a process without the role starts sooner.
    """
    return importlib.import_module('carawaystair.control.role').make(kernel)


class ControlRole(plugins.Plugin):
    """Brings the control role."""

    name = 'control'

    def roles(self):
        """Return the factory of the role."""
        return {'control': make}
