"""Outlier detection: which upstreams get no work, or less of it.

``local`` holds what this node saw itself and reacts at once with soft
weights.  ``floor`` keeps every ejection within the declared capacity floor.
``service`` is the part that others use.
"""

from carawaystair.outlier import service


def make(kernel, members, directory, routing) -> service.Outlier:
    """Return the outlier detection of a node.

    :param kernel: the process, see ``kernel.Kernel``.
    :param members: an ``interfaces.Members``.
    :param directory: an ``interfaces.Directory``.
    :param routing: a callable that returns the current routing.
    :return: keeps ``interfaces.Health`` and ``interfaces.Evidence``.
    """
    return service.Outlier(
        members=members,
        directory=directory,
        routing=routing,
        timeline=kernel.timeline,
    )
