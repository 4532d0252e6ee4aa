"""Which requests are refused because upstreams crash under them.

The load that this answers: a request ends each upstream that runs it, and
with it all that runs beside it.  It comes again, to any node, and each repeat
costs an upstream for the seconds of its start.

An upstream that crashes makes suspects of all requests that it was running.
A request that was running at several crashes of other upstreams is refused
everywhere.  One that was answered well since is cleared of what is known by
then, so that sound requests which ran beside it go on being served, also
those that everybody sends all the time.  A crash of an upstream that had not
served anything since its start counts only beside a crash of one that had:
where the upstreams of a service crash whatever they run, no request is at
fault.

Crashes and clearings are facts that only grow, so that nodes may hear of them
late, twice and in any order, and still come to know the same.
"""

import collections
import heapq
import itertools
import typing

# Crashes of other upstreams under one request after which it is refused.  Two
# may be chance: a request that was beside the one at fault is repeated and may
# meet it again.
CRASH_LIMIT = 3
# A refused request may be tried again so long after its last crash, seconds;
# twice as long after each further crash, and after so many of them for long.
HOLD_S = 60.0
MAX_DOUBLINGS = 3
LONG_HOLD_S = 3600.0
# A request that is suspected but not refused is forgotten after so long, and a
# refused one so long after it may be tried again, seconds.
RETENTION_S = 600.0
# Requests that are known, the part of them that gives way when there are more,
# and crashes of each.
MAX_SUSPECTS = 1024
EVICTION_DIVISOR = 16
MAX_CRASHES = 8
# Requests that ended well lately, and for how long that counts, seconds.
MAX_SUCCESSES = 4096
SUCCESS_WINDOW_S = 10.0
# The shortest and the longest text that names a request or an upstream.
MAX_NAME_LENGTH = 200


class Fact(typing.NamedTuple):
    """One thing that is known of a request, as it travels.

    :param digest: names what the request asks for.
    :param life: names the upstream that crashed, and which start of it.
    :param age_ms: time since the crash, ms.
    :param cleared: whether the request is cleared of it.
    :param request: id of the attempt that ran there.
    :param proven: whether the upstream had served anything since its start.
    """

    digest: str
    incarnation: str
    age_ms: int
    cleared: bool
    request: str
    proven: bool = True


class Crash(typing.NamedTuple):
    """One crash that a request was part of.

    :param at: monotonic time.
    :param cleared: whether the request is cleared of it.
    :param request: id of the attempt that ran there.
    :param proven: whether the upstream had served anything since its start.
    """

    crashed_at: float
    cleared: bool
    request: str
    proven: bool


class Standing(typing.NamedTuple):
    """What is known of one request.

    :param crashes: upstreams that crashed under it, without those that it is
        cleared of or that are no fault of it.
    :param cleared: those that it is cleared of.
    :param age_s: seconds since the last of ``crashes``; 0 without any.
    :param refused_s: seconds for which it is still refused; 0 when it is not.
    :param lives: the upstreams of ``crashes``.
    :param request: id of the attempt at the last of them.
    """

    crashes: int = 0
    cleared: int = 0
    age_s: float = 0.0
    refused_s: float = 0.0
    incarnations: tuple[str, ...] = ()
    request: str = ''


UNKNOWN = Standing()


class Suspects:
    """The requests that upstreams crashed under, as one process knows them.

    :param limit: crashes after which a request is refused.
    :param hold_s: seconds for which it is.
    """

    def __init__(
        self, limit: int = CRASH_LIMIT, hold_s: float = HOLD_S
    ) -> None:
        self.limit = limit
        self.hold_s = hold_s
        # By digest, then by the upstream that crashed.
        self.crashes: dict[str, dict[str, Crash]] = {}
        # When each request last ended well at this process.
        self.succeeded_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def standing(self, digest: str, now: float) -> Standing:
        """Return what is known of a request."""
        known = self.crashes.get(digest)
        if known is None:
            return UNKNOWN
        held = _blaming(known)
        cleared = sum(crash.cleared for crash in known.values())
        if not held:
            return Standing(0, cleared)
        last = max(held.values())
        refused_s = max(last.crashed_at + self._hold_s(len(held)) - now, 0.0)
        return Standing(
            len(held),
            cleared,
            now - last.crashed_at,
            refused_s,
            tuple(held),
            last.request,
        )

    def refuses(self, digest: str, now: float) -> bool:
        """Tell whether a request is not to reach an upstream."""
        if digest not in self.crashes:
            return False
        return self.standing(digest, now).refused_s > 0

    def on_trial(self, digest: str) -> bool:
        """Tell whether a request may run only to show how it does now."""
        known = self.crashes.get(digest)
        return known is not None and len(_blaming(known)) >= self.limit

    def add(self, fact: Fact, now: float) -> bool:
        """Take in a fact; tell whether it is news."""
        if (
            not _well_formed(fact)
            or fact.age_ms / 1000 > self._max_retention_s()
        ):
            return False
        known = self.crashes.setdefault(fact.digest, {})
        old = known.get(fact.incarnation)
        if old is not None and (old.cleared or not fact.cleared):
            return False
        at = now - fact.age_ms / 1000 if old is None else old.crashed_at
        known[fact.incarnation] = Crash(
            at, fact.cleared, fact.request, fact.proven
        )
        return self._evict(fact, known)

    def crash_facts(
        self, life: str, requests: typing.Mapping[str, str], proven: bool
    ) -> tuple[Fact, ...]:
        """Return the facts of a crash.

        :param requests: ids of what the upstream was running, by digest.
        :param proven: whether it had served anything since its start.
        """
        return tuple(
            Fact(digest, life, 0, False, request, proven)
            for digest, request in requests.items()
        )

    def record_success(self, digest: str, now: float) -> tuple[Fact, ...]:
        """Take note of a good answer; return what it clears a request of."""
        self.succeeded_at.pop(digest, None)
        self.succeeded_at[digest] = now
        if len(self.succeeded_at) > MAX_SUCCESSES:
            self.succeeded_at.popitem(last=False)
        return self.clearing_facts(digest, now)

    def recently_succeeded(self, digest: str, now: float) -> bool:
        """Tell whether a request ended well at this process of late."""
        return (
            now - self.succeeded_at.get(digest, -SUCCESS_WINDOW_S)
            < SUCCESS_WINDOW_S
        )

    def clearing_facts(self, digest: str, now: float) -> tuple[Fact, ...]:
        """Return the facts that clear a request of all that is known."""
        return tuple(
            fact._replace(cleared=True)
            for fact in self.facts(digest, now)
            if not fact.cleared
        )

    def facts(self, digest: str, now: float) -> typing.Iterator[Fact]:
        """Yield what is known of a request, as it travels."""
        for life, crash in self.crashes.get(digest, {}).items():
            age_ms = int((now - crash.crashed_at) * 1000)
            yield Fact(digest, life, age_ms, *crash[1:])

    def all_facts(self, now: float) -> list[Fact]:
        """Return all that is known, as it travels."""
        found = (self.facts(digest, now) for digest in self.crashes)
        return list(itertools.chain.from_iterable(found))

    def expire(self, now: float) -> list[str]:
        """Forget what is too old; return the digests."""
        old = [
            digest
            for digest, known in self.crashes.items()
            if now - max(known.values()).crashed_at > self._retention_s(known)
        ]
        for digest in old:
            del self.crashes[digest]
        return old

    def _hold_s(self, crashes: int) -> float:
        """Return for how long a request is refused, from its last crash."""
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
        """Drop what says least; tell whether a new fact stayed.

        All processes drop in the same order, so that none takes again and
        passes on for ever what another one has dropped.
        """
        if len(known) > MAX_CRASHES:
            del known[
                min(known, key=lambda n: (not known[n].cleared, known[n]))
            ]
        if len(self.crashes) > MAX_SUSPECTS:
            # Many at once: finding the least takes a look at all.
            count = max(MAX_SUSPECTS // EVICTION_DIVISOR, 1)
            least = heapq.nsmallest(
                count, self.crashes, key=self._eviction_order
            )
            for digest in least:
                del self.crashes[digest]
        return fact.incarnation in self.crashes.get(fact.digest, {})

    def _eviction_order(self, digest: str) -> tuple[int, float]:
        """Return what orders the requests that are known."""
        known = self.crashes[digest]
        return len(_blaming(known)), max(known.values()).crashed_at


def _blaming(known: dict[str, Crash]) -> dict[str, Crash]:
    """Return the crashes that a request may be at fault for, by upstream."""
    held = {life: crash for life, crash in known.items() if not crash.cleared}
    return held if any(crash.proven for crash in held.values()) else {}


def _well_formed(fact: Fact) -> bool:
    names = (fact.digest, fact.incarnation)
    fine = all(0 < len(name) <= MAX_NAME_LENGTH for name in names)
    return fine and fact.age_ms >= 0 and len(fact.request) <= MAX_NAME_LENGTH
