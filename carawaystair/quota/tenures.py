"""Who may grant which part of allowances, and until when.

Free of input and output.  Times are in milliseconds on the clock of one host,
which goes on while it is suspended.  A holder counts a tenure from before it
asked for it, control from when it decides, so that control always believes in
it for longer.
"""

import functools
import itertools
import typing

from carawaystair.quota import parts
from carawaystair import rendezvous

# How long a tenure lasts, ms: an outage of control, the election after it and
# the time since the last renewal.
TENURE_MS = 8000
# Clocks of two hosts may differ by so much over a tenure and a window, ms.
DRIFT_MS = 100
# A process that asked within this time may get a part, ms.
CANDIDATE_MS = 5000
# How often the others are forgotten, ms.
PRUNE_MS = 1000
# Scores that are kept: those of some 1,000 hosts.
MAX_SCORES = 1024 * parts.SLICES


class Process(typing.NamedTuple):
    """A process of a node that may hold parts.

    :param id: differs after each start.
    :param host: its host.
    :param data_centre: the data centre of the host.
    :param peer: ``ip:port`` for messages.
    """

    id: str
    host: str
    data_centre: str
    peer: str


class Tenure(typing.NamedTuple):
    """One process may grant one part for some time.

    :param key: the part.
    :param process: the holder.
    :param term: the term of the leader that decided.
    :param number: counts assignments of that leader; a renewal keeps it.
    :param left_ms: time until it ends, ms.
    :param believed: whether only its holder's word stands for it.
    """

    key: parts.Key
    process: Process
    term: int
    number: int
    left_ms: int = TENURE_MS
    believed: bool = False


class Entry(typing.NamedTuple):
    """A tenure on the clock of this host.

    :param tenure: the tenure.
    :param until_ms: when it ends.
    """

    tenure: Tenure
    until_ms: int


class Claim(typing.NamedTuple):
    """A holder says that a tenure of its own lasts.

    :param key: the part.
    :param left_ms: time until it ends, ms.
    """

    key: parts.Key
    left_ms: int


class Table:
    """The tenures that a control host knows.

    :param quota: how requests are counted.
    """

    def __init__(self, quota: parts.Quota) -> None:
        self.quota = quota
        self.entries: dict[parts.Key, Entry] = {}
        self.numbers = itertools.count(1)
        # Processes that may get a part, and when they last asked.
        self.candidates: dict[Process, int] = {}
        self.pruned_ms = 0
        # Counts changes of who holds what; renewals are none.
        self.changes = 0

    @property
    def rest_ms(self) -> int:
        """Time after the end of a tenure until its part is free, ms.

        The window that began with the last grant must be over.
        """
        return self.quota.window_ms + DRIFT_MS

    def record(self, tenures: typing.Iterable[Tenure], now_ms: int) -> None:
        """Take over what another control host knows or has decided."""
        for tenure in tenures:
            entry = Entry(tenure, now_ms + tenure.left_ms)
            known = self.entries.get(tenure.key)
            if known is None or _order(entry) > _order(known):
                self.entries[tenure.key] = entry
                self.changes += 1

    def current(self, now_ms: int) -> list[Tenure]:
        """Return the tenures whose parts are not free yet."""
        self.entries = {
            key: entry
            for key, entry in self.entries.items()
            if now_ms <= entry.until_ms + self.rest_ms
        }
        return [
            entry.tenure._replace(left_ms=entry.until_ms - now_ms)
            for entry in self.entries.values()
        ]

    def renew(
        self,
        process: Process,
        claims: typing.Iterable[Claim],
        term: int,
        known: bool,
        now_ms: int,
    ) -> list[Tenure]:
        """Renew the tenures of a process.

        While this host does not know all tenures, any may stand.  It then
        believes the one who says that its own does, since there is one at a
        time; of two the first, since the message of the other is late.  The
        first may be late as well, so such a tenure is renewed only while its
        holder claims it.

        :param claims: what the process says that it holds.
        :param known: whether this host knows all tenures of earlier leaders.
        :return: the tenures, decided once a majority has recorded them.
        """
        claimed = {claim.key for claim in claims if claim.left_ms > 0}
        renewed = []
        for key in parts.keys(self.quota.holders):
            entry = self.entries.get(key)
            mine = entry is not None and entry.tenure.process == process
            decided = entry is not None and entry.tenure.term == term
            sure = key in claimed or (
                entry is not None and not entry.tenure.believed
            )
            if mine and sure and (known or decided or key in claimed):
                renewed.append(self._decide(entry.tenure, term, now_ms))
            elif key in claimed and not known and not decided:
                tenure = Tenure(
                    key, process, term, next(self.numbers), believed=True
                )
                renewed.append(self._decide(tenure, term, now_ms))
        return renewed

    def hear(self, process: Process, now_ms: int) -> None:
        """Take note of a process that may get a part."""
        self.candidates[process] = now_ms
        if now_ms - self.pruned_ms < PRUNE_MS:
            return
        self.pruned_ms = now_ms
        self.candidates = {
            candidate: seen_ms
            for candidate, seen_ms in self.candidates.items()
            if now_ms - seen_ms <= CANDIDATE_MS
        }

    def assign(
        self,
        process: Process,
        control: typing.Collection[str],
        term: int,
        now_ms: int,
    ) -> list[Tenure]:
        """Assign the free parts that this process is the first choice for.

        :param control: ``ip:port`` of control hosts; they get no part where
            others can have it, since they may fail together.
        """
        self.hear(process, now_ms)
        assigned = []
        for key in parts.keys(self.quota.holders):
            if self.is_free(key, now_ms) and (
                self._is_choice(process, key, control, now_ms)
            ):
                tenure = Tenure(key, process, term, next(self.numbers))
                assigned.append(self._decide(tenure, term, now_ms))
        return assigned

    def release(
        self, process: Process, keys: typing.Iterable[parts.Key], now_ms: int
    ) -> None:
        """End tenures of a process that will never grant again.

        Later leaders don't learn of it and wait until their usual end.
        """
        self.candidates.pop(process, None)
        for key in keys:
            entry = self.entries.get(key)
            if entry is not None and entry.tenure.process == process:
                until_ms = min(entry.until_ms, now_ms)
                self.entries[key] = entry._replace(until_ms=until_ms)
                self.changes += 1

    def is_free(self, key: parts.Key, now_ms: int) -> bool:
        """Return whether no process may grant a part or has just done so."""
        entry = self.entries.get(key)
        return entry is None or now_ms > entry.until_ms + self.rest_ms

    def _is_choice(
        self,
        process: Process,
        key: parts.Key,
        control: typing.Collection[str],
        now_ms: int,
    ) -> bool:
        """Return whether a process, the one that asks, should hold a part.

        It stands on another host than the holders of the slice's other parts,
        and in another data centre, where there is one.
        """
        others = [
            self.entries[other].tenure.process
            for part in range(1, self.quota.holders + 1)
            if part != key.part
            and not self.is_free(other := parts.Key(key.slice, part), now_ms)
        ]
        hosts = {other.host for other in others}
        data_centres = {other.data_centre for other in others}

        def rank(candidate: Process) -> tuple[bool, bool, bool, int, int]:
            return (
                candidate.host in hosts,
                candidate.peer in control,
                candidate.data_centre in data_centres,
                -_score(key.slice, candidate.host),
                # Of two processes of a host, the one that asks now.
                -self.candidates[candidate],
            )

        own = rank(process)
        return all(own <= rank(candidate) for candidate in self.candidates)

    def _decide(self, tenure: Tenure, term: int, now_ms: int) -> Tenure:
        number = tenure.number
        if tenure.term != term:
            # Numbers count within a term.
            number = next(self.numbers)
        tenure = tenure._replace(term=term, number=number, left_ms=TENURE_MS)
        known = self.entries.get(tenure.key)
        if (
            known is None
            or known.until_ms <= now_ms
            or known.tenure.process != tenure.process
        ):
            self.changes += 1
        self.entries[tenure.key] = Entry(tenure, now_ms + TENURE_MS)
        return tenure


@functools.lru_cache(maxsize=MAX_SCORES)
def _score(number: int, host: str) -> int:
    return rendezvous.score('quota-%d' % number, host)


def _order(entry: Entry) -> tuple[int, int, int]:
    """Return what is greater for an entry that replaces another one.

    Messages may come late.
    """
    return (entry.tenure.term, entry.tenure.number, entry.until_ms)


class Held:
    """The tenures of this process."""

    def __init__(self) -> None:
        self.until_ms: dict[parts.Key, int] = {}

    def holds(self, key: parts.Key, now_ms: int) -> bool:
        """Return whether this process may grant a part now."""
        return now_ms < self.until_ms.get(key, now_ms)

    def extend(
        self, keys: typing.Iterable[parts.Key], asked_ms: int, now_ms: int
    ) -> list[parts.Key]:
        """Take over an answer of control; return the parts that are new.

        :param asked_ms: when the question was about to be sent.
        """
        found = list(keys)
        new = [key for key in found if not self.holds(key, now_ms)]
        self.until_ms.update(dict.fromkeys(found, asked_ms + TENURE_MS))
        return new

    def clear(self) -> tuple[parts.Key, ...]:
        """Give up all tenures; return their parts."""
        keys = tuple(self.until_ms)
        self.until_ms.clear()
        return keys

    def claims(self, now_ms: int) -> tuple[Claim, ...]:
        """Return the tenures that last."""
        return tuple(
            Claim(key, until_ms - now_ms)
            for key, until_ms in self.until_ms.items()
            if until_ms > now_ms
        )

    def end(self, now_ms: int) -> list[parts.Key]:
        """Forget the tenures that are over; return their parts."""
        ended = [k for k, until in self.until_ms.items() if until <= now_ms]
        for key in ended:
            del self.until_ms[key]
        return ended
