"""The role ``node``."""

from carawaystair import node
from carawaystair import plugins


class NodeRole(plugins.Plugin):
    """Brings the node role."""

    name = 'node'

    def roles(self):
        """Return the factory of the role."""
        return {'node': node.make}
