"""A randomised soak of the real programs, with faults from outside them.

The processes of a fleet run as they do in service.  Their addresses lead
through proxies in the soak's own process (``ways``), their disks and clocks
through a thin layer at the program's own interfaces (``host``).  A seed fixes
the plan of faults (``plan``); ``watch`` holds what callers and upstreams see
against the promises while the fleet runs.
"""
