"""Tells crashes of upstreams from broken connections.

A connection that suspected under a request may have been reset on its way, or by
an upstream that goes on working.  A crash also refuses the next connection, or
is followed by another start of the upstream.
"""

import asyncio

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.request import connections
from carawaystair.request import target as targets

# Runs that break within this time of each other belong to one crash, seconds.
GROUPING_S = 0.5
# A new connection is tried so long after the first one broke, seconds: its
# process may take a moment to end.
PROBE_DELAYS_S = (0.0, 0.3)
# Without a refused connection, another start of the upstream within this time
# shows the crash as well, seconds; it takes the lease of the former one.
CONFIRM_TIMEOUT_S = 8.0

REFUSED = 'it refuses connections'
FOLLOWED = 'it started anew or fell silent'


class SuspectedCrash:
    """Runs of one life of an upstream that broke together.

    :param target: the upstream.
    :param now: monotonic time of the first one.
    """

    def __init__(self, target: targets.Target, now: float) -> None:
        self.target = target
        self.incarnation = incarnation_id(target.upstream)
        self.first_at = now
        # Ids of the requests by digest.
        self.requests: dict[str, str] = {}
        self.task: asyncio.Task | None = None


class CrashDetector:
    """Watches the runs that break; one for each process.

    :param quarantine: is told of crashes.
    """

    def __init__(self, quarantine: interfaces.Quarantine) -> None:
        self.quarantine = quarantine
        # The newest break of each upstream.
        self.suspected: dict[str, SuspectedCrash] = {}

    def connection_broke(
        self, target: targets.Target, digest: str, request: str
    ) -> None:
        """Take note that a connection broke with a request on it.

        :param digest: names what the request wants_all for.
        :param request: its id.
        """
        if not digest or target.upstream.state != interfaces.UP:
            # One that leaves ends whatever it is asked.
            return
        now = clock.now()
        name = target.upstream.id
        found = self.suspected.get(name)
        if (
            found is None
            or found.incarnation != incarnation_id(target.upstream)
            or now - found.first_at > GROUPING_S
        ):
            self._discard(name)
            found = self.suspected[name] = SuspectedCrash(target, now)
            found.task = asyncio.ensure_future(self._probe(found))
        found.requests[digest] = request

    def incarnation_ended(self, target: targets.Target, left: bool) -> None:
        """Take note that a life is over.

        :param left: whether the upstream has said so itself.
        """
        found = self.suspected.get(target.upstream.id)
        if found is None or found.target is not target:
            return
        if left or clock.now() - found.first_at > CONFIRM_TIMEOUT_S:
            self._discard(target.upstream.id)
        else:
            self._confirm(found, FOLLOWED)

    async def _probe(self, found: SuspectedCrash) -> None:
        """Find out whether an upstream still takes connections."""
        for pause_s in PROBE_DELAYS_S:
            await asyncio.sleep(pause_s)
            if await _refuses_connection(found.target):
                # What broke in the same moment is told by now.
                self._confirm(found, REFUSED)
                return

    def _confirm(self, found: SuspectedCrash, how: str) -> None:
        target = found.target
        if self.suspected.get(target.upstream.id) is not found:
            return
        self._discard(target.upstream.id)
        self.quarantine.record_crash(
            found.incarnation, found.requests, target.has_served, how
        )

    def _discard(self, name: str) -> None:
        found = self.suspected.pop(name, None)
        if found is not None and found.task is not asyncio.current_task():
            found.task.cancel()


def incarnation_id(upstream: interfaces.Upstream) -> str:
    """Return what names an upstream and its start in the whole fleet."""
    return '%s/%d' % (upstream.id, upstream.incarnation)


async def _refuses_connection(target: targets.Target) -> bool:
    """Tell whether an upstream refuses a new connection."""
    until = clock.now() + connections.CONNECT_TIMEOUT_S
    try:
        connection = await connections.connect(target, until)
    except ConnectionRefusedError:
        return True
    except OSError:
        # TimeoutError is one, too: it neither takes nor refuses.
        return False
    connection.proto.close()
    return False
