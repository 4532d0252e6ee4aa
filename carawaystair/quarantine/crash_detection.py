"""Distinguishes crashes of upstreams from broken connections.

A connection that breaks during a request may have been reset on the network,
or by an upstream that continues to work.  After a crash, the upstream also
refuses new connections, or a new incarnation of it starts soon.
"""

import asyncio

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.request import connections
from carawaystair.request import target as targets

# Connections that break within this time of the first belong to one crash.
GROUPING_S = 0.5
# Pauses before each probe for a crash, which opens a new connection: a
# crashing process may take a moment to end.
PROBE_DELAYS_S = (0.0, 0.3)
# If no probe is refused, the end of the incarnation within this time still
# confirms the crash.  A new incarnation takes over the upstream's lease.
CONFIRM_TIMEOUT_S = 8.0

REFUSED = 'it refuses connections'
FOLLOWED = 'it started anew or fell silent'


class SuspectedCrash:
    """Connections to one incarnation of an upstream that broke together.

    :param target: the upstream.
    :param now: monotonic time at which the first one broke.
    """

    def __init__(self, target: targets.Target, now: float) -> None:
        self.target = target
        self.incarnation = incarnation_id(target.upstream)
        self.first_at = now
        # Ids of the requests in progress, by digest.
        self.requests: dict[str, str] = {}
        self.task: asyncio.Task | None = None


class CrashDetector:
    """Detects crashes from broken connections; one for each process.

    :param quarantine: records the crashes.
    """

    def __init__(self, quarantine: interfaces.Quarantine) -> None:
        self.quarantine = quarantine
        # The latest suspected crash of each upstream, by its id.
        self.suspected: dict[str, SuspectedCrash] = {}

    def connection_broke(
        self, target: targets.Target, digest: str, request: str
    ) -> None:
        """Handle a connection that broke while it carried a request.

        :param digest: digest of the request.
        :param request: its id.
        """
        if not digest or target.upstream.state != interfaces.UP:
            # A leaving upstream ends its connections whatever it runs.
            return
        now = clock.now()
        name = target.upstream.id
        suspect = self.suspected.get(name)
        if (
            suspect is None
            or suspect.incarnation != incarnation_id(target.upstream)
            or now - suspect.first_at > GROUPING_S
        ):
            self._discard(name)
            suspect = self.suspected[name] = SuspectedCrash(target, now)
            suspect.task = asyncio.ensure_future(self._probe(suspect))
        suspect.requests[digest] = request

    def incarnation_ended(self, target: targets.Target, left: bool) -> None:
        """Handle the end of an incarnation of an upstream.

        :param left: whether the upstream announced that it is leaving.
        """
        suspect = self.suspected.get(target.upstream.id)
        if suspect is None or suspect.target is not target:
            return
        if left or clock.now() - suspect.first_at > CONFIRM_TIMEOUT_S:
            self._discard(target.upstream.id)
        else:
            self._confirm(suspect, FOLLOWED)

    async def _probe(self, suspect: SuspectedCrash) -> None:
        """Confirm the crash if the upstream refuses new connections."""
        for pause_s in PROBE_DELAYS_S:
            await asyncio.sleep(pause_s)
            if await _refuses_connection(suspect.target):
                # All connections that broke at the same moment have been
                # recorded by now.
                self._confirm(suspect, REFUSED)
                return

    def _confirm(self, suspect: SuspectedCrash, how: str) -> None:
        target = suspect.target
        if self.suspected.get(target.upstream.id) is not suspect:
            return
        self._discard(target.upstream.id)
        self.quarantine.record_crash(
            suspect.incarnation, suspect.requests, target.has_served, how
        )

    def _discard(self, name: str) -> None:
        suspect = self.suspected.pop(name, None)
        if suspect is not None and suspect.task is not asyncio.current_task():
            suspect.task.cancel()


def incarnation_id(upstream: interfaces.Upstream) -> str:
    """Return the fleet-wide id of an upstream's incarnation."""
    return '%s/%d' % (upstream.id, upstream.incarnation)


async def _refuses_connection(target: targets.Target) -> bool:
    """Return whether an upstream refuses a new connection."""
    until = clock.now() + connections.CONNECT_TIMEOUT_S
    try:
        connection = await connections.connect(target, until)
    except ConnectionRefusedError:
        return True
    except OSError:
        # Includes TimeoutError, which proves nothing either way.
        return False
    connection.proto.close()
    return False
