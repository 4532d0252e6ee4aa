"""Decisions under load, without input or output.

Each module takes the time as a parameter and uses no socket, clock or task, so
that load patterns can be replayed against it:

- ``slot_queue``: which request gets the next slot of an upstream;
- ``rejection``: which request is rejected because it can't be served in time;
- ``upstream_selection``: which upstream a request is offered to;
- ``request_value``: the expected value of a request at an upstream;
- ``upstream_gate``: whether an upstream accepts an offered request;
- ``failure_estimate``: the probability that an upstream fails a request;
- ``trial_requests``: when an upstream gets a request as a trial;
- ``exploration``: when a node asks upstreams it has not heard from;
- ``crash_suspects``: which requests are refused because upstreams crash;
- ``retry_budget``: how many retries may reach upstreams;
- ``earned_retries``: which of them the first sends of a node pay for;
- ``nested_calls``: retry budget for the calls that retried runs make;
- ``pacing``: how fast long bodies leave a host, and which goes next;
- ``retry_after``: when a rejected caller should return;
- ``route_means``: moving means by route.
"""
