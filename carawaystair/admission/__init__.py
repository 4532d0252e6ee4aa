"""Admission control: decides when a request may start.

- ``fair_queue``: weighted fair queueing of waiting requests.
- ``hold_time``: how long requests hold a slot, as measured.
- ``limiter``: adapts the number of slots in use to the answers.
- ``gate``: the slots and the queue of one service on this node.
- ``controller``: the gates of all services.
"""

from carawaystair.admission import controller

make = controller.make
