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
# A fault may still show in requests that end so long after it, seconds.
AFTER_S = 2.0


class Asked(typing.NamedTuple):
    """One request of a caller.

    :param marker: names it.
    :param method: its method.
    :param node: the node that was asked.
    :param size: bytes of its answer, when that is whole.
    :param began: when it was sent.
    """

    marker: str
    method: str
    node: str
    size: int
    began: float


class Told(typing.NamedTuple):
    """What a caller got.

    :param status: HTTP status, 0 when the connection broke.
    :param outcome: ``complete``, ``not-run``, ``unknown`` or nothing.
    :param body: the body.
    :param marker: the request that the answer says it belongs to.
    :param id: the request's id in the logs.
    :param left: whether the caller left before its answer.
    """

    status: int
    outcome: str = ''
    body: bytes = b''
    marker: str = ''
    id: str = ''
    left: bool = False


class Watch:
    """Keeps what was seen, and the promises that were broken."""

    def __init__(self) -> None:
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
        self.unplanned: list[tuple[float, float]] = []
        self.versions: dict[str, tuple] = {}
        self.accepted: tuple = ()
        # Accepted versions and when, in ascending order.
        self.history: list[tuple[tuple, float]] = []

    def tell(self, sentence: str, id: str = '') -> None:
        """Keep a broken promise."""
        self.broken.append(sentence)
        if id:
            self.stories.append(id)

    # Upstreams

    def began(self, service: str, run: runs_module.Run) -> None:
        """Take note that an upstream began to work on a request."""
        now = clock.now()
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

    def begins(self, upstream: str) -> None:
        """Take note of a new life; the leaving of the former one is over."""
        self.drained.pop(upstream, None)

    def late(self, upstream: str, status: int | None) -> None:
        """Check what became of an announcement of a former life.

        :param status: of the answer, None without one.
        """
        self.counts['late announcements'] += 1
        if status is not None and not 400 <= status < 500:
            text = 'an announcement of the former life of %s got %d'
            self.tell(text % (upstream, status))

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

    def answered(self, asked: Asked, told: Told) -> None:
        """Check what a caller got."""
        self.counts[told.outcome or 'left' * told.left or 'broken'] += 1
        if told.left:
            return
        if told.outcome == 'not-run' or told.status in PROMISES:
            self._not_run(asked, told)
        elif 200 <= told.status < 300:
            self._good(asked, told)
        elif not told.status:
            self._broke(asked)

    def _not_run(self, asked: Asked, told: Told) -> None:
        self.promised[asked.marker] = told.id
        if asked.marker in self.starts:
            text = '%s ran and was told not-run (%d)'
            self.tell(text % (asked.marker, told.status), told.id)

    def _good(self, asked: Asked, told: Told) -> None:
        if told.marker != asked.marker:
            text = '%s got the answer of %s'
            self.tell(text % (asked.marker, told.marker), told.id)
        elif told.body != content.make(asked.marker, asked.size):
            self.tell('%s got another body' % asked.marker, told.id)
        elif asked.marker not in self.starts:
            self.tell('%s was answered and never ran' % asked.marker, told.id)

    def _broke(self, asked: Asked) -> None:
        """Check that no planned work cut a request that was taken.

        A fault nearby may have broken its connection all the same.
        """
        now = clock.now()
        ran = asked.marker in self.starts
        if ran and not self._disturbed(asked.began, now):
            text = '%s was cut at %s without any fault near'
            self.tell(text % (asked.marker, asked.node))

    def disturbs(self, begin: float, end: float) -> None:
        """Take note of the time of a fault, on the loop's clock."""
        bisect.insort(self.unplanned, (begin, end + AFTER_S))

    def _disturbed(self, begin: float, end: float) -> bool:
        return any(b <= end and begin <= e for b, e in self.unplanned)

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


def _within(times: typing.Sequence[float], begin: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
