"""Request quotas of customers, counted over the whole fleet.

The leader of the control group grants each request that counts against a
quota.  A majority of the control hosts records a grant before the node learns
of it, so that the next leader knows what was granted within the last window;
``docs/design/customers.md`` weighs the ways.
"""
