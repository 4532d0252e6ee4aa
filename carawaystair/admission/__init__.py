"""Admission: when a request may start.

- ``flows``: weighted fair queueing of the requests that wait.
- ``estimates``: how long requests hold a slot, as measured.
- ``gate``: the slots and the queue of one service on this node.
- ``controller``: the part that holds the gates of all services.
"""

from carawaystair.admission import controller

make = controller.make
