"""Decisions under load, apart from input and output.

Each module takes the time as a parameter and touches no socket, no clock and
no task, so that a pattern of load can be replayed against it:

- ``waiting``: which request gets the next slot of an upstream;
- ``rejecting``: which request can't be served any more and is told so;
- ``placing``: which upstream a request is offered to;
- ``retrying``: how many repeats may reach upstreams;
- ``pacing``: how fast long bodies leave a host, and which goes next;
- ``returning``: when a rejected caller should come back;
- ``suspicion``: whether an upstream that failed gets work that can't be
  repeated.
"""
