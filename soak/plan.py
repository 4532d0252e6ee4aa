"""The plan of a soak: which faults come when, fixed by a seed.

Faults come in series and overlap; planned work (stops, changes, upstreams
that leave) is drawn like faults, so that each meets the others.
"""

import itertools
import math
import random
import typing

# Planned work, which must cut nothing.
STOP = 'stop'  # a process gets SIGTERM and starts again
ROLL = 'roll'  # many do, one after the other, without waiting for the first
LEAVE = 'leave'  # an upstream drains and leaves; another one comes
CHANGE = 'change'  # the configuration changes
RACE = 'race'  # two changes on one version
STORM = 'storm'  # the configuration changes without a pause
HUP = 'hup'  # a process gets SIGHUP
MALFORMED = 'malformed'  # another writer's entries reach a node
LIMIT = 'limit'  # an upstream states how many requests a second it takes
NOTICE = 'notice'  # an upstream leaves, and says so first in its answers
# Faults.
KILL = 'kill'  # a process is killed and starts again
PAUSE = 'pause'  # a process stands still
POWER = 'power'  # a control host loses what it had not synced
BLACKOUT = 'blackout'  # all control hosts do at once
CRASH = 'crash'  # an upstream is gone without a word; another one comes
REBORN = 'reborn'  # an upstream crashes and starts again under its id
GRAY = 'gray'  # an upstream fails most of its work
CUT = 'cut'  # a way passes nothing in one direction or both
DELAY = 'delay'  # a way is slow and loses datagrams
SILENCE = 'silence'  # open connections of a way pass nothing any more
RESET = 'reset'  # open connections of a way are reset
FULL = 'full'  # the disk of a control host takes no bytes
SLOW = 'slow'  # its syncs take longer
CLOCK = 'clock'  # the time of day of a host jumps
FORGET = 'forget'  # an upstream leaves, then its node and control end
FATAL = 'fatal'  # a request that crashes upstreams comes again and again
CROWD = 'crowd'  # clients that don't behave speak to a node

PLANNED = frozenset(
    (
        STOP,
        ROLL,
        LEAVE,
        CHANGE,
        RACE,
        STORM,
        HUP,
        MALFORMED,
        LIMIT,
        NOTICE,
    )
)
# What excuses no request by itself; the faults that the last two bring are
# told one by one.
NO_FAULT = PLANNED | {FATAL, FORGET}
# Of so many seeds one has planned work only: where faults are near, a request
# that was cut can't be told from one that a fault broke.
PLANNED_EVERY = 3
# How likely each kind begins a series.
WEIGHTS = {
    STOP: 4,
    LEAVE: 4,
    CHANGE: 4,
    RACE: 2,
    HUP: 1,
    MALFORMED: 2,
    KILL: 3,
    PAUSE: 3,
    POWER: 2,
    BLACKOUT: 1,
    CRASH: 3,
    REBORN: 4,
    GRAY: 5,
    CUT: 3,
    DELAY: 3,
    SILENCE: 3,
    RESET: 3,
    FULL: 1,
    SLOW: 2,
    CLOCK: 2,
}
# Of so many seeds one has storms, with a randomness of their own: what else
# a seed plays stays as it was.
STORM_EVERY = 4
STORM_SEED = 1
# Seconds between the ends and beginnings of storms, and how long one lasts.
STORM_PAUSE_S = (1.0, 4.0)
STORM_S = (3.0, 8.0)
# Of so many seeds one has requests that crash upstreams, in the same way.
FATAL_EVERY = 4
FATAL_SEED = 2
# Seconds between the beginnings of two of them, and for how long each comes.
FATAL_PAUSE_S = (2.0, 6.0)
FATAL_S = (6.0, 10.0)
# Of so many seeds one has limits and leaves in answers, in the same way.
STATED_EVERY = 7
STATED_SEED = 1
# Seconds between the beginnings of two limits, and how long one lasts; the
# same for leaves.
LIMIT_PAUSE_S = (1.5, 4.0)
LIMIT_S = (6.0, 12.0)
NOTICE_PAUSE_S = (4.0, 8.0)
NOTICE_S = (3.0, 6.0)
# Of so many seeds one has leavings behind which all who know of them end, in
# the same way.
FORGET_EVERY = 6
FORGET_SEED = 5
# Seconds between the beginnings of two of them, and how long each lasts.
FORGET_PAUSE_S = (3.0, 7.0)
FORGET_S = (0.2, 1.5)
# Of so many seeds one has crowds, in the same way.
CROWD_EVERY = 8
CROWD_SEED = 5
# Seconds between the beginnings of two of them, and how long each lasts.
CROWD_PAUSE_S = (2.0, 5.0)
CROWD_S = (1.5, 4.0)
# Of so many seeds one has rolls over the fleet, in the same way.
ROLL_EVERY = 5
ROLL_SEED = 0
# Seconds between the beginnings of two rolls, and between two of its stops.
ROLL_PAUSE_S = (3.0, 7.0)
ROLL_GAP_S = (0.05, 0.4)
# Links of hosts on seeds with rolls, Mbit/s, and the share of the time in
# which their processes run; and how long links are full at a stop, seconds.
LINKS = (math.inf, 20.0, 10.0)
SHARES = (1.0, 1.0, 0.7)
QUEUES_S = (0.0, 0.3, 1.0)
# Of so many seeds one has long requests of which a few take far longer.
TAIL_EVERY = 10
# What processes have for a stop, and where bodies come late, seconds.
STOP_S = 12.0
SHORT_STOP_S = 6.0
# What each kind strikes: a node, a control host, any host, an upstream or
# the whole fleet.
NODE, CONTROL, HOST, UPSTREAM, FLEET = (
    'node control host upstream fleet'.split()
)
STRIKES = {
    STOP: HOST,
    ROLL: FLEET,
    LEAVE: UPSTREAM,
    CHANGE: FLEET,
    RACE: FLEET,
    STORM: FLEET,
    HUP: HOST,
    MALFORMED: NODE,
    KILL: HOST,
    PAUSE: HOST,
    POWER: CONTROL,
    BLACKOUT: FLEET,
    CRASH: UPSTREAM,
    REBORN: UPSTREAM,
    GRAY: UPSTREAM,
    CUT: HOST,
    DELAY: HOST,
    SILENCE: HOST,
    RESET: HOST,
    FULL: CONTROL,
    SLOW: CONTROL,
    CLOCK: HOST,
    FORGET: UPSTREAM,
    FATAL: FLEET,
    CROWD: NODE,
    LIMIT: UPSTREAM,
    NOTICE: UPSTREAM,
}
# Mean pause between the beginnings of two series, seconds.
PAUSE_S = 1.2
# Steps of one series at most, and the pause between them, seconds.
MOST_STEPS = 3
STEP_S = (0.2, 1.5)
# How long a fault lasts, seconds.
LASTS_S = (0.3, 4.0)
# The fleet serves undisturbed for so long at the beginning, seconds.
CALM_S = 1.0


class Event(typing.NamedTuple):
    """One fault, or one piece of planned work.

    :param at: seconds from the start of the load.
    :param kind: what happens.
    :param number: draws what is struck, from 0.0 to 1.0.
    :param for_s: how long it lasts, seconds.
    :param x: how strong it is, from 0.0 to 1.0.
    """

    at: float
    kind: str
    number: float
    for_s: float
    x: float


class Conditions(typing.NamedTuple):
    """What holds for a whole play.

    :param rolls: whether stops roll over the fleet, and long requests are
        in flight meanwhile.
    :param mbit_per_s: what the link of a host carries each way.
    :param share: of the time in which its process runs.
    :param queue_s: how long the link of a host is full when its process is
        asked to stop, seconds.
    :param tail: whether a few of the long requests take far longer.
    :param late: whether there are requests whose bodies come slowly.
    :param stop_s: what processes have for a stop, seconds.
    """

    rolls: bool = False
    mbit_per_s: float = math.inf
    share: float = 1.0
    queue_s: float = 0.0
    tail: bool = False
    late: bool = False
    stop_s: float = STOP_S


def conditions(seed: int) -> Conditions:
    """Return what holds in the play of a seed."""
    if seed % ROLL_EVERY != ROLL_SEED:
        return Conditions()
    rng = random.Random('conditions %d' % seed)
    return Conditions(
        True,
        rng.choice(LINKS),
        rng.choice(SHARES),
        rng.choice(QUEUES_S),
        seed % TAIL_EVERY == 0,
    )


def with_late_bodies(known: Conditions) -> Conditions:
    """Return conditions with requests that become whole late in stops."""
    return known._replace(late=True, stop_s=SHORT_STOP_S)


def draw(seed: int, seconds: float) -> list[Event]:
    """Return the plan of a seed, in order.

    :param seconds: length of the load.
    """
    rng = random.Random('plan %d' % seed)
    planned_only = seed % PLANNED_EVERY == 0
    kinds = [k for k in WEIGHTS if k in PLANNED or not planned_only]
    events: list[Event] = []
    now = CALM_S
    while now < seconds:
        events += _series(rng, now, kinds)
        now += rng.expovariate(1 / PAUSE_S)
    if seed % STORM_EVERY == STORM_SEED:
        events += _drawn(seed, seconds, STORM, STORM_S, STORM_PAUSE_S, False)
    if seed % FATAL_EVERY == FATAL_SEED:
        events += _drawn(seed, seconds, FATAL, FATAL_S, FATAL_PAUSE_S, True)
    if seed % STATED_EVERY == STATED_SEED:
        events += _drawn(seed, seconds, LIMIT, LIMIT_S, LIMIT_PAUSE_S, True)
        events += _drawn(seed, seconds, NOTICE, NOTICE_S, NOTICE_PAUSE_S, True)
    if seed % FORGET_EVERY == FORGET_SEED:
        events += _drawn(seed, seconds, FORGET, FORGET_S, FORGET_PAUSE_S, True)
    if seed % CROWD_EVERY == CROWD_SEED:
        events += _drawn(seed, seconds, CROWD, CROWD_S, CROWD_PAUSE_S, True)
    if conditions(seed).rolls:
        events += _rolls(random.Random('rolls %d' % seed), seconds)
    return sorted(event for event in events if event.at < seconds)


def _drawn(
    seed: int,
    seconds: float,
    kind: str,
    lasts_s: tuple[float, float],
    pause_s: tuple[float, float],
    overlaps: bool,
) -> list[Event]:
    """Return the events of a kind that has a randomness of its own.

    :param lasts_s: how long each lasts, at least and at most, seconds.
    :param pause_s: between the beginnings of two that may overlap, otherwise
        between the end of one and the beginning of the next, seconds.
    """
    rng = random.Random('%ss %d' % (kind, seed))
    events: list[Event] = []
    now = CALM_S
    while now < seconds:
        for_s = round(rng.uniform(*lasts_s), 3)
        event = Event(round(now, 3), kind, rng.random(), for_s, rng.random())
        events.append(event)
        now += rng.uniform(*pause_s) + for_s * (not overlaps)
    return events


def _rolls(rng: random.Random, seconds: float) -> list[Event]:
    """Return the rolls of a play; one may begin before the last is over."""
    events: list[Event] = []
    now = CALM_S
    while now < seconds:
        events.append(
            Event(round(now, 3), ROLL, rng.random(), 0.0, rng.random())
        )
        now += rng.uniform(*ROLL_PAUSE_S)
    return events


def roll(event: Event, names: typing.Sequence[str]) -> list[tuple[str, float]]:
    """Return whom a roll stops, in order, and the pause behind each.

    :param names: of all hosts; a half of them at least is stopped.
    """
    rng = random.Random('roll %r' % event.number)
    count = max(round(len(names) * (1 + event.x) / 2), 1)
    return [
        (name, rng.uniform(*ROLL_GAP_S)) for name in rng.sample(names, count)
    ]


def _series(
    rng: random.Random, begin: float, kinds: typing.Sequence[str]
) -> list[Event]:
    """Return one to some events of a kind, of which later ones may strike
    the same again.
    """
    kind = rng.choices(kinds, [WEIGHTS[kind] for kind in kinds])[0]
    steps = rng.randint(1, MOST_STEPS)
    pauses = (rng.uniform(*STEP_S) for _step in range(steps - 1))
    number = rng.random()
    return [
        Event(
            round(begin + offset, 3),
            kind,
            number if rng.random() < 0.5 else rng.random(),
            round(rng.uniform(*LASTS_S), 3),
            rng.random(),
        )
        for offset in itertools.accumulate(pauses, initial=0.0)
    ]
