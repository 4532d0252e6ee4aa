"""How often a partition has no majority, by its number of replicas.

A model of one partition over a year with the failures of the letter, its
times measured or stated; no messages.  A partition is out of order while
fewer than a majority of its replicas vote.  A replica that started again
votes once it has recovered, for which enough others must vote; otherwise when
the window has passed.
"""

import heapq
import random
import typing

from bench import figures
from carawaystair.reservations import placement_table
from carawaystair.reservations import windows

DAY_S = 86_400.0
# From the letter, for each of 2,500 hosts.
RESTARTS_S = 5400 / 2500 / DAY_S
FAILURES_S = 32 / 2500 / DAY_S
# A data centre goes a few times a year; taken as 4 a year for each, 2 h long.
CENTRE_S = 4 / 365 / DAY_S
CENTRE_AWAY_S = 7200.0
# A restart takes this long until the process runs again.
RESTART_S = 5.0
# A recovery takes this long, see ``reservations.recovery_ms.by_keys``.
RECOVERY_S = 2.0
# A host that failed is replaced after this, a handover included, while
# control can be reached.
REPLACED_S = 65.0
WINDOW_S = 3600.0

UP = 0
DOWN = 1
EMPTY = 2


class Odds(typing.NamedTuple):
    """What a run of the model gave.

    :param out_s: seconds without a majority.
    :param waits: how often too many had forgotten to recover from others.
    """

    out_s: float
    waits: int


class Model:
    """One partition.

    :param size: its replicas, each in a data centre of its own.
    :param rng: the source of randomness.
    :param control: whether dead replicas are replaced.
    """

    def __init__(self, size: int, rng: random.Random, control: bool) -> None:
        self.size = size
        self.rng = rng
        self.control = control
        self.state = [UP] * size
        self.empty_since = [0.0] * size
        self.events: list[tuple[float, int, str]] = []
        for place in range(size):
            self._plan(0.0, place)

    def _plan(self, now: float, place: int) -> None:
        rates = (
            ('restart', RESTARTS_S),
            ('fail', FAILURES_S),
            ('centre', CENTRE_S),
        )
        for kind, rate in rates:
            at = now + self.rng.expovariate(rate)
            heapq.heappush(self.events, (at, place, kind))

    def run(self, seconds: float) -> Odds:
        """Run for some seconds of the modelled time."""
        now, out, waits = 0.0, 0.0, 0
        quorum = placement_table.quorum(self.size)
        while now < seconds:
            at, place, kind = heapq.heappop(self.events)
            if self.state.count(UP) < quorum:
                out += min(at, seconds) - now
            now = at
            waits += self._happen(now, place, kind)
        return Odds(out, waits)

    def _happen(self, now: float, place: int, kind: str) -> int:
        rates = {
            'restart': RESTARTS_S,
            'fail': FAILURES_S,
            'centre': CENTRE_S,
        }
        if kind in rates:
            again = now + self.rng.expovariate(rates[kind])
            heapq.heappush(self.events, (again, place, kind))
            if self.state[place] != DOWN:
                self._fall(now, place, kind)
            return 0
        if kind == 'back':
            self.state[place] = EMPTY
            self.empty_since[place] = now
            self._soon(now + RECOVERY_S, place)
            return 0
        return self._recover(now, place)

    def _fall(self, now: float, place: int, kind: str) -> None:
        away = {'restart': RESTART_S, 'centre': CENTRE_AWAY_S}.get(kind)
        replaced = REPLACED_S if self.control else DAY_S
        self.state[place] = DOWN
        back = now + min(away or replaced, replaced)
        heapq.heappush(self.events, (back, place, 'back'))

    def _soon(self, at: float, place: int) -> None:
        heapq.heappush(self.events, (at, place, 'recover'))

    def _recover(self, now: float, place: int) -> int:
        """Let an empty replica vote when it may; 1 for a wait begun."""
        if self.state[place] != EMPTY:
            return 0
        others = sum(
            state == UP
            for other, state in enumerate(self.state)
            if other != place
        )
        since = now - self.empty_since[place]
        passed = since >= windows.abstention_s(WINDOW_S)
        if others >= placement_table.quorum_overlap(self.size) or passed:
            self.state[place] = UP
            return 0
        self._soon(now + 5.0, place)
        return int(since < 1.5 * RECOVERY_S)


def run(seed: int, quick: bool) -> list:
    """Return seconds a year without a majority, by replicas."""
    years = 5 if quick else 40
    year_s = 365 * DAY_S
    found = []
    for size in (3, 4, 5):
        for control in (True, False):
            rng = random.Random(seed)
            odds = Model(size, rng, control).run(years * year_s)
            kind = 'control' if control else 'no_control'
            name = 'reservations.out_s_a_year.%d_replicas.%s' % (size, kind)
            note = '%d waits for the window in %d years' % (odds.waits, years)
            found.append(
                figures.Figure(
                    name, odds.out_s / years, 's', samples=years, note=note
                )
            )
    return found
