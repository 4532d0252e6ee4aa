"""Requests that are refused because upstreams crash while running them.

A harmful request crashes each upstream that runs it, and all other requests
that run there fail with it.  Its caller sends it again, to any node, and each
attempt costs an upstream for the seconds of a restart.

When an upstream crashes, all requests that it was running become suspects.  A
request that was running at several crashes of different upstreams is refused
on every host.  A request that succeeds afterwards is cleared of the crashes
known by then, so that harmless requests that ran beside a harmful one are
still served, however frequent they are.  A crash of an upstream that had not
served anything since its start counts only if the request was also running at
a crash of one that had: where the upstreams of a service crash whatever they
run, no request is to blame.

Crashes and clearings are facts that are only ever added, so nodes that receive
them late, repeatedly or in any order reach the same state.
"""

import collections
import heapq
import itertools
import typing

# Crashes of different upstreams after which a request is refused.  Two may be
# coincidence: a harmless request that ran beside a harmful one is retried and
# may meet it again.
CRASH_LIMIT = 3
# A refused request may be tried again this long after its last crash, in
# seconds.  The time doubles with each further crash; after MAX_DOUBLINGS of
# them it is LONG_HOLD_S.
HOLD_S = 60.0
MAX_DOUBLINGS = 3
LONG_HOLD_S = 3600.0
# How long a suspect is remembered after its last crash, or after the end of
# its refusal, in seconds.
RETENTION_S = 600.0
# Limits on the suspects kept and on the crashes kept for each.  One suspect in
# EVICTION_DIVISOR is evicted when there are too many.
MAX_SUSPECTS = 1024
EVICTION_DIVISOR = 16
MAX_CRASHES = 8
# Limit on the requests remembered as successful, and for how many seconds a
# success counts.
MAX_SUCCESSES = 4096
SUCCESS_WINDOW_S = 10.0
# Maximum length of a digest, of an incarnation and of a request id.
MAX_NAME_LENGTH = 200


class Fact(typing.NamedTuple):
    """One crash or clearing of a request, as sent between processes.

    :param digest: identifies the content of the request.
    :param incarnation: identifies the upstream that crashed and its start.
    :param age_ms: time since the crash, in milliseconds.
    :param cleared: whether the request is cleared of the crash.
    :param request: id of the attempt that was running there.
    :param proven: whether the upstream had served anything since its start.
    """

    digest: str
    incarnation: str
    age_ms: int
    cleared: bool
    request: str
    proven: bool = True


class Crash(typing.NamedTuple):
    """One crash of an upstream that was running a request.

    :param crashed_at: monotonic time in seconds.
    :param cleared: whether the request is cleared of the crash.
    :param request: id of the attempt that was running there.
    :param proven: whether the upstream had served anything since its start.
    """

    crashed_at: float
    cleared: bool
    request: str
    proven: bool


class Standing(typing.NamedTuple):
    """Summary of the crashes of one request.

    :param crashes: number of crashes the request may be to blame for.
    :param cleared: number of crashes it is cleared of.
    :param age_s: seconds since the last of ``crashes``; 0 without any.
    :param refused_s: seconds for which it is still refused, 0 when it is not.
    :param incarnations: the upstream incarnations of ``crashes``.
    :param request: id of the attempt at the last of ``crashes``.
    """

    crashes: int = 0
    cleared: int = 0
    age_s: float = 0.0
    refused_s: float = 0.0
    incarnations: tuple[str, ...] = ()
    request: str = ''


UNKNOWN = Standing()


class Suspects:
    """Requests that were running at upstream crashes, as one process knows.

    :param limit: number of crashes after which a request is refused.
    :param hold_s: seconds for which it is refused at first.
    """

    def __init__(
        self, limit: int = CRASH_LIMIT, hold_s: float = HOLD_S
    ) -> None:
        self.limit = limit
        self.hold_s = hold_s
        # By digest, then by the incarnation that crashed.
        self.crashes: dict[str, dict[str, Crash]] = {}
        # Monotonic time of the last success of a request at this process, by
        # digest.
        self.succeeded_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def standing(self, digest: str, now: float) -> Standing:
        """Return the standing of a request."""
        known = self.crashes.get(digest)
        if known is None:
            return UNKNOWN
        blaming = _blaming(known)
        cleared = sum(crash.cleared for crash in known.values())
        if not blaming:
            return Standing(0, cleared)
        last = max(blaming.values())
        refused_s = max(
            last.crashed_at + self._hold_s(len(blaming)) - now, 0.0
        )
        return Standing(
            len(blaming),
            cleared,
            now - last.crashed_at,
            refused_s,
            tuple(blaming),
            last.request,
        )

    def refuses(self, digest: str, now: float) -> bool:
        """Return whether a request must not reach an upstream."""
        if digest not in self.crashes:
            return False
        return self.standing(digest, now).refused_s > 0

    def on_trial(self, digest: str) -> bool:
        """Return whether a request reached the crash limit.

        Once its refusal has ended, it may run only as a trial.
        """
        known = self.crashes.get(digest)
        return known is not None and len(_blaming(known)) >= self.limit

    def add(self, fact: Fact, now: float) -> bool:
        """Add a fact; return whether it is new and was kept."""
        if (
            not _well_formed(fact)
            or fact.age_ms / 1000 > self._max_retention_s()
        ):
            return False
        known = self.crashes.setdefault(fact.digest, {})
        old = known.get(fact.incarnation)
        if old is not None and (old.cleared or not fact.cleared):
            return False
        crashed_at = (
            now - fact.age_ms / 1000 if old is None else old.crashed_at
        )
        known[fact.incarnation] = Crash(
            crashed_at, fact.cleared, fact.request, fact.proven
        )
        return self._evict(fact, known)

    def crash_facts(
        self,
        incarnation: str,
        requests: typing.Mapping[str, str],
        proven: bool,
    ) -> tuple[Fact, ...]:
        """Return the facts of a crash, without adding them.

        :param incarnation: identifies the upstream that crashed and its start.
        :param requests: ids of the requests it was running, by digest.
        :param proven: whether it had served anything since its start.
        """
        return tuple(
            Fact(digest, incarnation, 0, False, request, proven)
            for digest, request in requests.items()
        )

    def record_success(self, digest: str, now: float) -> tuple[Fact, ...]:
        """Record a success; return the facts that clear the request."""
        self.succeeded_at.pop(digest, None)
        self.succeeded_at[digest] = now
        if len(self.succeeded_at) > MAX_SUCCESSES:
            self.succeeded_at.popitem(last=False)
        return self.clearing_facts(digest, now)

    def recently_succeeded(self, digest: str, now: float) -> bool:
        """Return whether a request succeeded here within SUCCESS_WINDOW_S."""
        return (
            now - self.succeeded_at.get(digest, -SUCCESS_WINDOW_S)
            < SUCCESS_WINDOW_S
        )

    def clearing_facts(self, digest: str, now: float) -> tuple[Fact, ...]:
        """Return facts that clear a request of all its known crashes."""
        return tuple(
            fact._replace(cleared=True)
            for fact in self.facts(digest, now)
            if not fact.cleared
        )

    def facts(self, digest: str, now: float) -> typing.Iterator[Fact]:
        """Yield the facts known of a request."""
        for incarnation, crash in self.crashes.get(digest, {}).items():
            age_ms = int((now - crash.crashed_at) * 1000)
            yield Fact(digest, incarnation, age_ms, *crash[1:])

    def all_facts(self, now: float) -> list[Fact]:
        """Return the facts known of all requests."""
        facts = (self.facts(digest, now) for digest in self.crashes)
        return list(itertools.chain.from_iterable(facts))

    def expire(self, now: float) -> list[str]:
        """Remove suspects past their retention; return their digests."""
        expired = [
            digest
            for digest, known in self.crashes.items()
            if now - max(known.values()).crashed_at > self._retention_s(known)
        ]
        for digest in expired:
            del self.crashes[digest]
        return expired

    def _hold_s(self, crashes: int) -> float:
        """Return how long after its last crash a request is refused."""
        further = crashes - self.limit
        if further < 0:
            return 0.0
        if further >= MAX_DOUBLINGS:
            return max(LONG_HOLD_S, self.hold_s)
        return self.hold_s * 2**further

    def _retention_s(self, known: dict[str, Crash]) -> float:
        return RETENTION_S + self._hold_s(len(_blaming(known)))

    def _max_retention_s(self) -> float:
        return RETENTION_S + self._hold_s(MAX_CRASHES)

    def _evict(self, fact: Fact, known: dict[str, Crash]) -> bool:
        """Enforce the limits; return whether a new fact was kept.

        All processes evict in the same order.  Otherwise one would accept and
        forward again what another has evicted, without end.
        """
        if len(known) > MAX_CRASHES:
            del known[
                min(known, key=lambda n: (not known[n].cleared, known[n]))
            ]
        if len(self.crashes) > MAX_SUSPECTS:
            # Evicts many at once, since finding the least scans all suspects.
            count = max(MAX_SUSPECTS // EVICTION_DIVISOR, 1)
            least = heapq.nsmallest(
                count, self.crashes, key=self._eviction_order
            )
            for digest in least:
                del self.crashes[digest]
        return fact.incarnation in self.crashes.get(fact.digest, {})

    def _eviction_order(self, digest: str) -> tuple[int, float]:
        """Return the sort key of a suspect; the least is evicted first."""
        known = self.crashes[digest]
        return len(_blaming(known)), max(known.values()).crashed_at


def _blaming(known: dict[str, Crash]) -> dict[str, Crash]:
    """Return the crashes a request may be to blame for, by incarnation."""
    uncleared = {
        incarnation: crash
        for incarnation, crash in known.items()
        if not crash.cleared
    }
    return (
        uncleared if any(crash.proven for crash in uncleared.values()) else {}
    )


def _well_formed(fact: Fact) -> bool:
    names = (fact.digest, fact.incarnation)
    valid = all(0 < len(name) <= MAX_NAME_LENGTH for name in names)
    return valid and fact.age_ms >= 0 and len(fact.request) <= MAX_NAME_LENGTH
