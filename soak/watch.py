"""What callers and upstreams see, held against the promises.

One watch sees all callers, all upstreams and the versions of all nodes while
the fleet runs, in one process and on one clock; a broken promise is kept the
moment it shows.
"""

import bisect
import collections
import math
import typing

from carawaystair import clock
from carawaystair import interfaces
from soak import fatal as fatals
from soak import plan as plans
from soak import stated
from standin import content
from standin import runs as runs_module

# An upstream gets no new work so long after its leaving was acknowledged.
DRAIN_S = 2.0
# An accepted configuration is everywhere in this time, seconds.
IN_FORCE_S = 9.0
# While no fault is near, a node asks control twice in this time, seconds.
LATE_S = 5.0
# The bound of repeats, as the settings of the nodes have it.
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_S = 10.0
# Statuses that promise that a request was not run.
PROMISES = frozenset((408, 421, 429, 503))
# A process that stops has this time; so long before its end it may answer
# what is left, seconds.
STOP_S = plans.STOP_S
STOP_SLACK_S = 1.0
# The end of a stop excuses nothing that became whole so long after its
# beginning, seconds.
TAKEN_S = 3.0
# Statuses of ours that end a request that may have run.
UNKNOWN = 'unknown'
# The soak's own process, among what faults strike, and the time that a request
# has left when its lateness for a moment is no reason to end it, seconds.
RIG = 'soak'
PATIENT_S = 5.0
# A fault may still show in requests that end so long after it, seconds.
AFTER_S = 2.0


class Asked(typing.NamedTuple):
    """One request of a caller.

    :param marker: names it.
    :param method: its method.
    :param node: the node that was asked.
    :param size: bytes of its answer, when that is whole.
    :param began: when it was sent.
    :param ends: when its time is over.
    :param body: what the body of its answer is made from, its marker when
        empty.
    :param body_s: over which time its own body comes, seconds.
    """

    marker: str
    method: str
    node: str
    size: int
    began: float
    ends: float = math.inf
    body: str = ''
    body_s: float = 0.0

    @property
    def whole(self) -> float:
        """Return when its last byte was sent."""
        return self.began + self.body_s


class Told(typing.NamedTuple):
    """What a caller got.

    :param status: HTTP status, 0 when the connection broke.
    :param outcome: ``complete``, ``not-run``, ``unknown`` or nothing.
    :param body: the body.
    :param marker: the request that the answer says it belongs to.
    :param id: the request's id in the logs.
    :param left: whether the caller left before its answer.
    :param code: the code that it bears.
    :param upstream: the upstream that answered.
    :param limited: whether the answer states a limit of it.
    :param leaving: whether the answer states that it leaves.
    """

    status: int
    outcome: str = ''
    body: bytes = b''
    marker: str = ''
    id: str = ''
    left: bool = False
    code: str = ''
    upstream: str = ''
    limited: bool = False
    leaving: bool = False


class Work(typing.NamedTuple):
    """One run of a request.

    :param upstream: that ran it.
    :param host: of the upstream.
    :param begin: when it began.
    :param end: when it was over.
    """

    upstream: str
    host: str
    begin: float
    end: float = math.inf


class Stop(typing.NamedTuple):
    """One planned stop of a host.

    :param begin: when its process was asked to stop.
    :param end: when it had ended.
    """

    begin: float
    end: float = math.inf


class Watch:
    """Keeps what was seen, and the promises that were broken."""

    def __init__(self, stop_s: float = STOP_S) -> None:
        # What processes have for a stop, seconds.
        self.stop_s = stop_s
        self.broken: list[str] = []
        # The request ids that a story is wanted of.
        self.stories: list[str] = []
        self.counts: collections.Counter = collections.Counter()
        # Starts of runs by marker, and the service of each.
        self.starts: dict[str, list[float]] = collections.defaultdict(list)
        self.repeats: dict[str, list[float]] = collections.defaultdict(list)
        self.firsts: dict[str, list[float]] = collections.defaultdict(list)
        self.promised: dict[str, str] = {}
        self.drained: dict[str, float] = {}
        # The runs of requests, by marker.
        self.works: dict[str, list[Work]] = collections.defaultdict(list)
        # When faults were near, and what each struck.
        self.unplanned: list[tuple[float, float, str]] = []
        # When hosts were asked to stop, and when their processes ended.
        self.stopped: dict[str, list[Stop]] = collections.defaultdict(list)
        self.versions: dict[str, tuple] = {}
        self.fatal = fatals.Fatal(self._other_fault_near)
        self.stated = stated.Stated(self.tell, self.counts)
        self.accepted: tuple = ()
        # Accepted versions and when, in ascending order.
        self.history: list[tuple[tuple, float]] = []

    def tell(self, sentence: str, id: str = '') -> None:
        """Keep a broken promise."""
        self.broken.append(sentence)
        if id:
            self.stories.append(id)

    # Upstreams

    def began(
        self, service: str, run: runs_module.Run, host: str = ''
    ) -> None:
        """Take note that an upstream of a host began to work."""
        now = clock.now()
        self.fatal.began(run.upstream, run.marker)
        self.works[run.marker].append(Work(run.upstream, host, now))
        earlier = self.starts[run.marker]
        if earlier:
            self.repeats[service].append(now)
            if run.method == 'POST':
                self.tell('%s ran more than once' % run.marker, run.request)
        earlier.append(now)
        if run.marker in self.promised:
            self.tell('%s was told not-run and ran' % run.marker, run.request)
        drained = self.drained.get(run.upstream)
        if drained is not None and now > drained + DRAIN_S:
            words = run.upstream, now - drained
            text = '%s got work %.1f s after its leaving was acknowledged'
            self.tell(text % words, run.request)

    def ended(self, run: runs_module.Run) -> None:
        """Take note that an upstream's work is over, or was cut."""
        works = self.works[run.marker]
        for place, work in enumerate(works):
            if work.upstream == run.upstream and work.end == math.inf:
                works[place] = work._replace(end=clock.now())

    def begins(self, upstream: str) -> None:
        """Take note of a new life; the leaving of the former one is over."""
        self.drained.pop(upstream, None)
        self.stated.begins(upstream)

    def late(self, upstream: str, status: int | None) -> None:
        """Check what became of an announcement of a former life.

        :param status: of the answer, None without one.
        """
        self.counts['late announcements'] += 1
        if status is not None and not 400 <= status < 500:
            text = 'an announcement of the former life of %s got %d'
            self.tell(text % (upstream, status))

    def late_leaver(self, upstream: str, state: str) -> None:
        """Check what became of an announcement from before a leaving.

        One that stated its leaving in its answers, too, is not refused, but
        stays draining.

        :param state: state of the upstream in the answer; '' if refused.
        """
        self.counts['late announcements of leavers'] += 1
        if state == interfaces.UP:
            text = 'an announcement from before the leaving of %s was accepted'
            self.tell(text % upstream)

    def malformed(self, body: bytes, status: int | None) -> None:
        """Check what became of an entry that names no upstream.

        :param status: of the answer, None without one.
        """
        self.counts['malformed announcements'] += 1
        if status is not None and not 400 <= status < 500:
            self.tell('%r... was answered with %d' % (body[:40], status))

    def leaves(self, upstream: str) -> None:
        """Take note that an upstream's leaving was acknowledged."""
        self.drained[upstream] = clock.now()

    # Callers

    def asks(self, service: str, asked: Asked) -> None:
        """Take note of a request."""
        self.firsts[service].append(asked.began)
        self.stated.asks(asked.marker, asked.node, asked.began)

    def answered(self, asked: Asked, told: Told) -> None:
        """Check what a caller got."""
        self.counts[told.outcome or 'left' * told.left or 'broken'] += 1
        if told.left:
            return
        late = self._whole_late(asked, self.stopped[asked.node])
        if told.status and late:
            self.counts['whole late in a stop (%d)' % told.status] += 1
        if told.limited or told.leaving:
            self.counts['answers with a limit'] += told.limited
            self.counts['answers with a leave'] += told.leaving
            self.stated.passed_on(
                asked.node, told.upstream, told.limited, told.leaving
            )
        if told.code == fatals.REFUSAL:
            self._refused(asked, told)
        if told.outcome == 'not-run' or told.status in PROMISES:
            self._not_run(asked, told)
        elif 200 <= told.status < 300:
            self._good(asked, told)
        elif not told.status or told.outcome == UNKNOWN:
            self._broke(asked, told)

    def _refused(self, asked: Asked, told: Told) -> None:
        """Check that only what crashes upstreams is refused for that."""
        self.counts['refused for crashes'] += 1
        if asked.marker not in self.fatal.contents:
            text = '%s is sound and was refused for crashes'
            self.tell(text % asked.marker, told.id)

    def _not_run(self, asked: Asked, told: Told) -> None:
        self.promised[asked.marker] = told.id
        if asked.marker in self.starts:
            text = '%s ran and was told not-run (%d)'
            self.tell(text % (asked.marker, told.status), told.id)

    def _good(self, asked: Asked, told: Told) -> None:
        if told.marker != asked.marker:
            text = '%s got the answer of %s'
            self.tell(text % (asked.marker, told.marker), told.id)
        elif told.body != content.make(asked.body or asked.marker, asked.size):
            self.tell('%s got another body' % asked.marker, told.id)
        elif asked.marker not in self.starts:
            self.tell('%s was answered and never ran' % asked.marker, told.id)

    def _broke(self, asked: Asked, told: Told) -> None:
        """Check that no planned work ended a request that was taken.

        A fault at a place that it passed may have done so all the same, and
        a request ends when its own time or that of a stop is over.  An answer
        that leaves open what became of it counts when its upstream was at
        work as a stop began: repeats may fail for the slowness of others.
        """
        now = clock.now()
        works = self.works[asked.marker]
        if not works or now >= asked.ends:
            return
        places = {asked.node, *(place for work in works for place in work[:2])}
        stops = [
            (name, stop)
            for name in sorted(places & self.stopped.keys())
            for stop in self.stopped[name]
            if stop.end >= asked.began
        ]
        # What runs once is not begun where the end of a stop may cut it.
        begun = asked.method == 'POST' and _begun_within(works, stops)
        own = [stop for name, stop in stops if name == asked.node]
        late = self._whole_late(asked, own)
        ends = [
            stop.begin + self.stop_s - STOP_SLACK_S
            for name, stop in stops
            if not late and (name == asked.node or not begun)
        ]
        left_s = min([asked.ends, *ends]) - now
        if left_s < PATIENT_S:
            places.add(RIG)
        # The end of a stop excuses an answer that leaves the outcome open, no
        # connection that is closed without one.
        over = left_s < 0 and bool(told.status)
        if over or self._disturbed(asked.began, now, places):
            return
        met = (
            begun
            or late
            or any(
                w.begin <= s.begin <= w.end for _n, s in stops for w in works
            )
        )
        self.counts['unknown, no fault near'] += bool(told.status)
        if told.status and not met:
            return
        text = '%s was cut at %s (%d) without any fault near, stops: %s'
        shown = ['%s %.2f s before' % (n, now - s.begin) for n, s in stops]
        words = asked.marker, asked.node, told.status, ', '.join(shown)
        self.tell(text % words, told.id)

    def _whole_late(self, asked: Asked, stops: typing.Iterable[Stop]) -> bool:
        """Tell whether a request became whole late in a stop of its node."""
        return any(
            asked.began < stop.begin + TAKEN_S < asked.whole <= stop.end
            for stop in stops
        )

    def stops(self, host: str) -> None:
        """Take note that a host is asked to stop."""
        self.stopped[host].append(Stop(clock.now()))

    def ends(self, host: str) -> None:
        """Take note that the process of a host has ended."""
        self.stopped[host] = [
            stop._replace(end=min(stop.end, clock.now()))
            for stop in self.stopped[host]
        ]

    def falls(self, upstream: str, host: str) -> None:
        """Take note that a request crashed an upstream."""
        now = clock.now()
        self.fatal.fell(upstream)
        for struck in (upstream, host):
            self.disturbs(now, now + fatals.DOWN_S, struck)
            self.fatal.falls.add((now, struck))

    def _other_fault_near(self, begin: float, end: float) -> bool:
        """Tell whether a fault that is no request's was near."""
        return any(
            b <= end and begin <= e
            for b, e, struck in self.unplanned
            if (b, struck) not in self.fatal.falls
        )

    def disturbs(self, begin: float, end: float, struck: str = '') -> None:
        """Take note of the time of a fault, on the loop's clock.

        :param struck: a host or an upstream, or :data:`RIG`; empty for all.
        """
        bisect.insort(self.unplanned, (begin, end + AFTER_S, struck))

    def _disturbed(
        self, begin: float, end: float, places: typing.Container[str] = ()
    ) -> bool:
        """Tell whether a fault was near.

        :param places: where, anywhere when there are none.
        """
        return any(
            b <= end and begin <= e
            for b, e, struck in self.unplanned
            if not places or not struck or struck in places
        )

    # Configuration

    def version(self, host: str, lifetime: str, version: tuple) -> None:
        """Check the version that is in force at a node.

        :param lifetime: names the run of its process.
        """
        key = '%s %s' % (host, lifetime)
        if version < self.versions.get(key, ()):
            words = host, self.versions[key], version
            self.tell('%s went back from version %s to %s' % words)
        self.versions[key] = version

    def accepts(self, version: tuple) -> None:
        """Take note that a version was accepted."""
        if version > self.accepted:
            self.accepted = version
            self.history.append((version, clock.now()))

    def check_late(self, host: str, version: tuple) -> None:
        """Check that a node that is ready has what was accepted lately.

        A node that reads and reads while the configuration changes, and
        never gets on, is well in all else.
        """
        now = clock.now()
        place = bisect.bisect_right(self.history, (version, math.inf))
        missed = self.history[place : place + 1]
        if not missed or now - missed[0][1] <= LATE_S:
            return
        if not self._disturbed(now - LATE_S, now):
            words = host, version, now - missed[0][1]
            self.tell('%s has version %s, a newer one for %.1f s' % words)

    def settled(self, host: str, version: tuple) -> None:
        """Check a node at the end: it has all that was accepted."""
        if version < self.accepted:
            words = host, version, self.accepted
            self.tell('%s has version %s, accepted was %s' % words)

    def check_fatal(self) -> None:
        """Check that what crashes upstreams reached no more than it may."""
        for sentence in self.fatal.broken():
            self.tell(sentence)

    # Repeats

    def check_repeats(self) -> None:
        """Check that repeats kept their bound, in each window."""
        for service, repeats in self.repeats.items():
            firsts = sorted(self.firsts[service])
            for begin in repeats:
                end = begin + RETRY_WINDOW_S
                some = _within(repeats, begin, end)
                base = _within(firsts, begin - RETRY_WINDOW_S, end)
                most = RETRY_RATIO * base + RETRY_SLACK
                if some > most:
                    words = service, some, most
                    self.tell('%s got %d repeats in 10 s, not %d' % words)
                    break


def stated_in(headers: typing.Mapping[str, str]) -> dict:
    """Return what an answer states, as fields of :class:`Told`."""
    return {
        'upstream': headers.get('Standin-Upstream', ''),
        'limited': stated.LIMIT in headers,
        'leaving': stated.LEAVING in headers,
    }


def _begun_within(
    works: typing.Sequence[Work], stops: typing.Sequence[tuple[str, Stop]]
) -> bool:
    """Tell whether a run began while its own host was stopping."""
    return any(
        name == work.host and stop.begin < work.begin <= stop.end
        for name, stop in stops
        for work in works
    )


def _within(times: typing.Sequence[float], begin: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
