"""Outlier detection: which upstreams get no work, or less of it.

At each node, ``evidence`` takes note of attempts (with ``watch`` for those in
flight), ``health`` says what follows for the request path (``local`` soft
weights, ``held`` leases, ``view`` with the clamp to the ``floor``) and
``reporter`` tells the coordinator of the service.

At the coordinator of a service, ``lead`` sees to epochs and handover,
``intake`` pools the reports (``pool``, ``shares``, ``levels``), a detector
plug-in weighs them (``detectors``), ``judge`` decides within the floor
(``ledger``, ``scope``, ``allbad``) and ``seat`` sends.
"""

import importlib

import mode


def make(kernel, members, directory, routing) -> mode.Service:
    """Return the outlier detection of a node.

    Its parts are imported only by nodes that have it: a gateway uses a module
    or two of this package, and its start should not pay for all.

    :param kernel: the process, see ``kernel.Kernel``.
    :param members: an ``interfaces.Members``.
    :param directory: an ``interfaces.Directory``.
    :param routing: a callable that returns the current routing.
    :return: keeps ``interfaces.Health`` and ``interfaces.Evidence``.
    """
    service = importlib.import_module('carawaystair.outlier.service')
    return service.OutlierDetection(
        members=members,
        directory=directory,
        routing=routing,
        links=kernel.links,
        datagrams=kernel.datagrams,
        timeline=kernel.timeline,
        factories=kernel.registry.collect('detectors'),
        rng=kernel.random('outlier'),
    )
