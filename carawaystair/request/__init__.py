"""The request path: callers' connections, attempts at upstreams, answers.

:func:`make` assembles it; ``docs/design/request-path.md`` explains the
design.
"""

import importlib
import typing

import mode

from carawaystair import interfaces
from carawaystair import kernel as kernels
from carawaystair import routing as routings


def make(
    kernel: kernels.Kernel,
    directory: interfaces.Directory,
    health: interfaces.Health,
    evidence: interfaces.Evidence,
    admission: interfaces.Admission,
    reservations: interfaces.Reservations,
    routing: typing.Callable[[], routings.Routing | None],
    quarantine: interfaces.Quarantine,
    behind_s: typing.Callable[[], float] = lambda: 0.0,
    age_s: typing.Callable[[], float] = lambda: 0.0,
    node_count: typing.Callable[[], int] = lambda: 1,
) -> mode.Service:
    """Return the service that answers callers at ``node.listen``.

    Its modules are imported here and not at the top: a gateway uses only
    some modules of this package and should not load the others at its
    start.

    :param quarantine: refuses requests that crash upstreams.
    :param routing: returns the configuration in force; None or one of
        version ``rows.NONE`` while there is none.
    :param behind_s: returns for how long a newer configuration has been
        known, seconds; 0.0 while none is.
    :param age_s: returns how long ago the configuration in force was surely
        the newest one, seconds.
    :param node_count: returns how many nodes send to the upstreams.
    """
    service = importlib.import_module('carawaystair.request.service')
    parts = service.Parts(
        directory,
        health,
        evidence,
        admission,
        reservations,
        routing,
        quarantine,
        behind_s,
        age_s,
        node_count,
    )
    return service.Requests(kernel, parts)
