"""Outlier detection: takes slow or failing upstreams out of service.

At each node, ``evidence`` records attempts (``in_flight`` those that are still
running), ``health`` answers the questions of the request path
(``local_weights``, ``node_leases``, and ``effective_state``, which clamps them
to the capacity ``floor``), and ``report_outbox`` collects reports for the
coordinator of each service.

At the coordinator of a service, ``leadership`` handles epochs and takeovers,
``ingestion`` pools the reports (``evidence_pool``, ``level_counts``,
``levels``), a detector plug-in computes the evidence (``detectors``),
``state_machine`` decides within the floor (``record_store``, ``scope``,
``service_outage``) and ``coordinator_role`` sends the results.
"""

import importlib

import mode


def make(kernel, members, directory, routing) -> mode.Service:
    """Return the outlier detection service of a node.

    Its modules are imported only by nodes that run it: a gateway uses one or
    two modules of this package, and importing all of them would slow its
    start.

    :param kernel: the process, see ``kernel.Kernel``.
    :param members: an ``interfaces.Members``.
    :param directory: an ``interfaces.Directory``.
    :param routing: a callable that returns the current routing.
    :return: implements ``interfaces.Health`` and ``interfaces.Evidence``.
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
