"""The role ``node``."""

import importlib

from carawaystair import plugins


def make(kernel):
    """Return the node of a process.

    The parts are imported here: a process without the role starts sooner.
    """
    return importlib.import_module('carawaystair.node').make(kernel)


class NodeRole(plugins.Plugin):
    """Brings the node role."""

    name = 'node'

    def roles(self):
        """Return the factory of the role."""
        return {'node': make}
