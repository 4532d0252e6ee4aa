"""The role ``control``."""

from carawaystair.control import role
from carawaystair import plugins


class ControlRole(plugins.Plugin):
    """Brings the control role."""

    name = 'control'

    def roles(self):
        """Return the factory of the role."""
        return {'control': role.make}
