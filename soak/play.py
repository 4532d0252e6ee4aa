"""One play of a soak: a load, a plan of faults, and the watch over both."""

import asyncio
import contextlib
import itertools
import math
import random
import signal
import typing

import aiohttp

from carawaystair import clock
from soak import callers
from soak import entries
from soak import fatal as fatals
from soak import fleet as fleet_module
from soak import host as hosts
from soak import operators
from soak import plan as plans
from soak import watch as watches
from soak import ways
from standin import faults as upstream_faults

PER_S = 60.0
# Callers of each node that hold on to one connection, and how long each rests
# between two requests where there are few nodes, seconds; with more nodes it
# rests longer, so that their callers don't fill the soak's own process.
KEPT = 3
KEPT_PAUSE_S = 0.15
FEW = 8
POST_SHARE = 0.4
LONG_SHARE = 0.05
LONG_BYTES = 300_000
SHORT_BYTES = 2_000
# Callers that leave early, and after how long, seconds.
LEAVE_SHARE = 0.05
LEAVE_S = (0.01, 0.1)
# A leaving is acknowledged in this time, or what follows comes all the same.
ACKNOWLEDGED_S = 3.0
# Time in which control is back, seconds.
CONTROL_BACK_S = 2.0
# Share of the ends of control behind a leaving that are stops.
PLANNED_ENDS = 0.3
# Beyond it, all nodes end as well.
ALL_END = 0.6
LEFT_MS = 5_000
PATIENCE_S = 8.0
# Callers of each node that send long requests on one connection, and the time
# that such a request has and takes, ms; downloads have so many bytes.
LONG_CALLERS = 4
# Callers of each node whose bodies come slowly, over which times, seconds, and
# what their requests take, ms.
SLOW_CALLERS = 5
SLOW_S = (2.0, 6.0)
SLOW_TAKES_MS = (500, 3_000)
LONG_LEFT_MS = 20_000
LATE_LEFT_MS = 8_000
LONG_MS = (100, 2_000)
# On some seeds every so many-th of them takes so long, ms.
TAIL_TURN = 15
TAIL_MS = 6_000
DOWNLOAD_BYTES = (20_000, 200_000)
# The play's own process was late when it runs by so much after its time,
# seconds: all ways were, then.
LATE = 'late turns'
LATE_S = 0.1
TURN_S = 0.02
# A process that runs for a share of the time does so in such periods, s.
PERIOD_S = 0.1
# Between two changes of one operator in a storm, seconds.
STORM_GAP_S = 0.15
# A request that crashes upstreams comes again so often, seconds.
FATAL_GAP_S = 0.25
# Connections of a crowd, what each sends, and to which listener.
CROWD = 20
CROWDS = (
    ('blank-lines', 'listen'),
    ('many-lines', 'listen'),
    ('byte-chunks', 'listen'),
    ('stops-short', 'listen'),
    ('announced', 'listen'),
    ('silent', 'gateway'),
    ('long-line', 'gateway'),
    ('endless', 'local'),
)
# Versions of the nodes are asked for so often, seconds.
LOOK_S = 0.3
# After the last fault the fleet gets so long to come together, seconds.
SETTLE_S = 20.0
# Then it is driven once more, and serves this share at least; again when the
# play's own process was late.
CALM_S = 3.0
CALM_DRIVES = 3
CALM_SHARE = 0.95
# Beside load a process so young may not have reached its first line, seconds.
NEW_S = 0.3
# In this share of the rolls each process gets the next signal while it starts,
# within so many seconds.
STOPPED_AGAIN = 0.5
START_S = 1.5
# A restarted process finds its place again in this time, seconds.
BACK_S = 4.0
GRAY_FAULTS = (
    upstream_faults.Faults(error_share=0.85, health='good'),
    upstream_faults.Faults(hang_share=0.5, health='good'),
    upstream_faults.Faults(reset_share=0.5),
    upstream_faults.Faults(truncate_share=0.3),
    upstream_faults.Faults(slow=8.0, health='good'),
    upstream_faults.Faults(stall_share=0.3),
)
MOST_CLOCK_MS = 3_600_000
# Limits that upstreams state, requests a second.
LEAST_LIMIT = 0.4
MOST_LIMIT = 8.0
MS = 1000
# What the manifest gives the requests of a service at least, ms.
TIMEOUT_MS = {'portal': 3_000, 'settlement': 8_000}
PATHS = {'portal': '/status/x', 'settlement': '/payouts'}
METHODS = {'portal': 'GET', 'settlement': 'POST'}


def open_session() -> aiohttp.ClientSession:
    """Return the callers' pool of connections.

    It sends each request once: a repeat of its own would bear the same id.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=PATIENCE_S),
    )
    session._retry_connection = False
    return session


class Play:
    """One play.

    :param stage: a fleet that serves.
    :param watch: sees what becomes of requests.
    :param seed: of load and plan.
    :param seconds: length of the load under faults.
    """

    def __init__(
        self,
        stage: fleet_module.Stage,
        watch: watches.Watch,
        seed: int,
        seconds: float,
    ) -> None:
        self.stage = stage
        self.fleet: fleet_module.Fleet = stage.fleet
        self.watch = watch
        self.seconds = seconds
        self.plan = plans.draw(seed, seconds)
        self.rng = random.Random('load %d' % seed)
        self.numbers = itertools.count()
        # Counts the long requests.
        self.turns = itertools.count(1)
        self.session: aiohttp.ClientSession | None = None
        self.served = 0
        # Ways and faults that are in force, so that the first that ends does
        # not heal what a later one broke.
        self.spoilt: dict[str, int] = {}
        self.changes = itertools.count(1)
        self.paused: set[str] = set()
        # How old processes were at their last reloads, seconds, by host.
        self.reloads: dict[str, float] = {}

    async def run(self) -> None:
        """Play the plan under load, let all settle, drive it calmly."""
        async with open_session() as self.session:
            loads = [self._load(self.seconds)]
            if self.fleet.conditions.rolls:
                loads.append(self._load_long(self.seconds))
            if self.fleet.conditions.late:
                loads.append(self._load_late(self.seconds))
            async with _beside(self._look(), self._feel()):
                async with _beside(self._spare()):
                    await asyncio.gather(self._strike(), *loads)
                await self._settle()
                await self._calm()
        self.watch.check_repeats()
        self.watch.check_fatal()

    # Load

    async def _load(self, seconds: float) -> None:
        """Send requests, evenly, for some seconds."""
        ends = clock.now() + seconds
        kept = [
            asyncio.ensure_future(self._keep_asking(host, ends))
            for host in self.fleet.nodes()
            for _caller in range(KEPT)
        ]
        asking = set()
        while clock.now() < ends:
            task = asyncio.ensure_future(self._ask())
            asking.add(task)
            task.add_done_callback(asking.discard)
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*asking, *kept)

    async def _ask(self) -> None:
        rng = self.rng
        leaves = rng.random() < LEAVE_SHARE
        patience_s = rng.uniform(*LEAVE_S) if leaves else PATIENCE_S
        asked, target = self._draw(rng.choice(self.fleet.nodes()))
        await self._told(asked, patience_s, self._send(asked, target))

    async def _load_long(self, seconds: float) -> None:
        """Have long requests in flight at each node for some seconds."""
        ends = clock.now() + seconds
        asking = (
            self._keep_asking(host, ends, draw, LONG_LEFT_MS)
            for host in self.fleet.nodes()
            for _caller, draw in zip(
                range(LONG_CALLERS),
                itertools.cycle((self._draw_long, self._draw_download)),
            )
        )
        await asyncio.gather(*asking)

    async def _load_late(self, seconds: float) -> None:
        """Have orders whose bodies come slowly at each node."""
        ends = clock.now() + seconds
        asking = (
            self._keep_asking(host, ends, self._draw_late, LATE_LEFT_MS)
            for host in self.fleet.nodes()
            for _caller in range(SLOW_CALLERS)
        )
        await asyncio.gather(*asking)

    async def _keep_asking(
        self, host, ends: float, draw=None, left_ms: int = LEFT_MS
    ) -> None:
        """Let a caller send on one connection until a time."""
        caller = callers.Caller(host.listen)
        patience_s = PATIENCE_S - (LEFT_MS - left_ms) / MS
        pause_s = KEPT_PAUSE_S * max(len(self.fleet.nodes()) / FEW, 1.0)
        while clock.now() < ends:
            asked, target = (draw or self._draw)(host)
            headers = fleet_module.marker_headers(asked.marker, left_ms)
            sending = caller.ask(asked, target, headers)
            await self._told(asked, patience_s, sending)
            await asyncio.sleep(pause_s)
        caller.close()

    def _draw_long(self, host) -> tuple[watches.Asked, str]:
        """Draw a request that takes long, and its target."""
        asked, target = self._draw(host, LONG_LEFT_MS)
        takes_ms = self.rng.uniform(*LONG_MS)
        if self.fleet.conditions.tail and not next(self.turns) % TAIL_TURN:
            takes_ms = TAIL_MS
        return asked, '%s&ms=%d' % (target, takes_ms)

    def _draw_late(self, host) -> tuple[watches.Asked, str]:
        """Draw an order whose body comes slowly, and its target."""
        asked = self._asked(host, 'settlement', SHORT_BYTES, LATE_LEFT_MS)
        asked = asked._replace(body_s=self.rng.uniform(*SLOW_S))
        target = '%s?bytes=%d' % (PATHS['settlement'], asked.size)
        takes_ms = self.rng.uniform(*SLOW_TAKES_MS)
        return asked, '%s&ms=%d' % (target, takes_ms)

    def _draw_download(self, host) -> tuple[watches.Asked, str]:
        """Draw a download, and its target."""
        now = clock.now()
        marker = 'm%d' % next(self.numbers)
        size = self.rng.randint(*DOWNLOAD_BYTES)
        ends = now + LONG_LEFT_MS / MS
        asked = watches.Asked(
            marker, 'GET', host.name, size, now, ends, marker + '@0'
        )
        self.watch.asks(fleet_module.DOWNLOADS, asked)
        return asked, '/bundles/%s?bytes=%d' % (marker, size)

    def _draw(self, host, left_ms: int = LEFT_MS) -> tuple[watches.Asked, str]:
        """Draw a request to a node, and its target."""
        rng = self.rng
        post = rng.random() < POST_SHARE
        long = not post and rng.random() < LONG_SHARE
        service = 'settlement' if post else 'portal'
        size = LONG_BYTES if long else SHORT_BYTES
        asked = self._asked(host, service, size, left_ms)
        return asked, '%s?bytes=%d' % (PATHS[service], asked.size)

    def _asked(
        self, host, service: str, size: int, left_ms: int = LEFT_MS
    ) -> watches.Asked:
        """Return a new request to a node, which the watch knows of."""
        now = clock.now()
        asked = watches.Asked(
            'm%d' % next(self.numbers),
            METHODS[service],
            host.name,
            size,
            now,
            now + min(left_ms, TIMEOUT_MS[service]) / MS,
        )
        self.watch.asks(service, asked)
        return asked

    async def _told(self, asked, patience_s: float, sending) -> None:
        """Take what a caller gets, and check it."""
        try:
            async with asyncio.timeout(patience_s):
                told = await sending
        except TimeoutError:
            told = watches.Told(0, left=True)
        except (aiohttp.ClientError, OSError):
            told = watches.Told(0)
        self.served += told.status == 200
        self.watch.answered(asked, told)

    async def _send(self, asked: watches.Asked, target: str) -> watches.Told:
        listen = self.fleet.hosts[asked.node].listen
        async with self.session.request(
            asked.method,
            'http://%s%s' % (listen, target),
            headers=fleet_module.marker_headers(asked.marker, LEFT_MS),
            data=b'x' if asked.method == 'POST' else None,
        ) as response:
            body = await response.read()
            headers = response.headers
            return watches.Told(
                response.status,
                headers.get('Caraway-Outcome', ''),
                body,
                headers.get(fleet_module.content.MARKER, ''),
                asked.marker,
                code=headers.get('Caraway-Code', ''),
                **watches.stated_in(headers),
            )

    async def _look(self) -> None:
        """Ask all nodes for the version that they have in force."""
        while True:
            for host in self.fleet.nodes():
                await self._look_at(host)
            await asyncio.sleep(LOOK_S)

    async def _look_at(self, host) -> None:
        process = self.fleet.processes.get(host.name)
        status = await self.fleet.status(host)
        same = self.fleet.processes.get(host.name) is process
        if process is None or status is None or not same:
            return
        version = fleet_module.read_version(status['version'])
        self.watch.version(host.name, str(process.pid), version)
        if status['ready']:
            self.watch.check_late(host.name, version)

    # Faults

    async def _strike(self) -> None:
        """Play the plan; returns when all that it began is over."""
        began = clock.now()
        running = []
        for event in self.plan:
            await asyncio.sleep(max(began + event.at - clock.now(), 0.0))
            running.append(asyncio.ensure_future(self._play(event)))
        await asyncio.gather(*running)

    async def _play(self, event: plans.Event) -> None:
        """Let one event happen."""
        self.watch.counts['event ' + event.kind] += 1
        await self._do(event.kind, event, self._struck(event))

    async def _do(self, kind: str, event: plans.Event, struck: str) -> None:
        """Let something of a kind happen to a host or an upstream."""
        begin = clock.now()
        if kind not in plans.NO_FAULT:
            # It lasts longer than it should when the machine is busy.
            ends = begin + event.for_s + BACK_S
            self.watch.disturbs(begin, ends, struck)
        await getattr(self, '_' + kind)(event, struck)
        if kind not in plans.NO_FAULT:
            self.watch.disturbs(begin, clock.now() + BACK_S, struck)

    def _struck(self, event: plans.Event) -> str:
        """Return the name of what an event strikes."""
        sets = {
            plans.NODE: [host.name for host in self.fleet.nodes()],
            plans.CONTROL: [host.name for host in self.fleet.controls()],
            plans.HOST: list(self.fleet.hosts),
            plans.UPSTREAM: sorted(self.fleet.running),
            plans.FLEET: [''],
        }
        names = sets[plans.STRIKES[event.kind]]
        return names[int(event.number * len(names))] if names else ''

    async def _stop(self, event, name) -> None:
        await self.fleet.restart(name, signal.SIGTERM, 0.2)

    async def _stop_in_roll(self, event, name) -> None:
        """Stop a process; in some rolls again while it starts."""
        await self._stop(event, name)
        if event.x < STOPPED_AGAIN:
            await asyncio.sleep(START_S * event.x / STOPPED_AGAIN)
            self.watch.counts['stops of a new process'] += 1
            await self._stop(event, name)

    async def _roll(self, event, _name) -> None:
        """Stop many processes, each before those in front of it are up."""
        stops = []
        for name, pause_s in plans.roll(event, list(self.fleet.hosts)):
            stops.append(
                asyncio.ensure_future(self._stop_in_roll(event, name))
            )
            await asyncio.sleep(pause_s)
        await asyncio.gather(*stops)

    async def _kill(self, event, name) -> None:
        await self.fleet.restart(name, signal.SIGKILL, event.for_s / 2)

    async def _crowd(self, event, name) -> None:
        """Let a crowd speak to one of the listeners of a node."""
        number = int(event.x * len(CROWDS))
        kind, listener = CROWDS[number]
        address = getattr(self.fleet.hosts[name], listener)
        crowd = '%s-%d' % (name, next(self.numbers))
        words = kind, address, str(CROWD)
        await self.fleet.start(crowd, 'standin.crowd', *words)
        await asyncio.sleep(event.for_s)
        self.fleet.signal(crowd, signal.SIGKILL)
        await self.fleet.wait(crowd, PATIENCE_S)

    async def _power(self, event, name) -> None:
        await self.fleet.restart(name, signal.SIGKILL, event.for_s / 2, True)

    async def _blackout(self, event, _name) -> None:
        names = [host.name for host in self.fleet.controls()]
        restarts = (self._power(event, name) for name in names)
        await asyncio.gather(*restarts)

    async def _hup(self, event, name) -> None:
        if name in self.fleet.processes:
            age_s = clock.now() - self.fleet.started[name]
            self.reloads[name] = age_s
            self.watch.counts['reloads of a new process'] += age_s < NEW_S
            self.fleet.signal(name, signal.SIGHUP)

    async def _pause(self, event, name) -> None:
        async with self.fleet.turns[name]:
            self.paused.add(name)
            self.fleet.signal(name, signal.SIGSTOP)
            await asyncio.sleep(event.for_s)
            self.fleet.signal(name, signal.SIGCONT)
            self.paused.discard(name)
            self.watch.stated.struck(name)

    async def _feel(self) -> None:
        """Take note when this process was late: that is a fault of its own."""
        while True:
            began = clock.now()
            await asyncio.sleep(TURN_S)
            late_s = clock.now() - began - TURN_S
            if late_s > LATE_S:
                self.watch.disturbs(began, clock.now(), watches.RIG)
                self.watch.counts[LATE] += 1

    async def _spare(self) -> None:
        """Let each process run for its share of the time only."""
        share = self.fleet.conditions.share
        while share < 1.0:
            self._signal_all(signal.SIGSTOP)
            try:
                await asyncio.sleep((1 - share) * PERIOD_S)
            finally:
                self._signal_all(signal.SIGCONT)
            await asyncio.sleep(share * PERIOD_S)

    def _signal_all(self, number: int) -> None:
        for name in self.fleet.processes.keys() - self.paused:
            self.fleet.signal(name, number)

    async def _leave(self, event, name) -> None:
        await self._replace(name, graceful=True)

    async def _forget(self, event, name) -> None:
        """Let an upstream leave, then end its node and all control hosts.

        In some of them all other nodes, too, of which some are seeds.
        """
        if name not in self.fleet.running:
            return
        one, node = self.fleet.running[name], self.fleet.places[name]
        leaving = asyncio.ensure_future(self._replace(name, graceful=True))
        ends = clock.now() + ACKNOWLEDGED_S
        while name not in self.watch.drained and clock.now() < ends:
            await asyncio.sleep(TURN_S)
        one.say_no_more()
        self.watch.counts['leavings forgotten'] += name in self.watch.drained
        kind = plans.STOP if event.x < PLANNED_ENDS else plans.POWER
        # The nodes are back once control is.
        longer = event._replace(for_s=event.for_s + 2 * CONTROL_BACK_S)
        nodes = [host.name for host in self.fleet.nodes()]
        if event.x < ALL_END:
            nodes = [node]
        ends = [self._do(plans.KILL, longer, each) for each in nodes]
        ends += [
            self._do(kind, event, host.name) for host in self.fleet.controls()
        ]
        await asyncio.gather(leaving, *ends)

    async def _reborn(self, event, name) -> None:
        if name in self.fleet.running:
            await self.fleet.reborn(name, event.for_s / 2)

    async def _malformed(self, event, name) -> None:
        """Send entries of another writer, under ids known and unknown."""
        local = self.fleet.hosts[name].local
        known = [i for i, n in self.fleet.places.items() if n == name]
        for number, body in enumerate(entries.MALFORMED):
            id = known[-1] if known and number % 2 else 'm%d' % number
            status = await entries.write(self.session, local, id, body)
            self.watch.malformed(body, status)

    async def _crash(self, event, name) -> None:
        await self._replace(name, graceful=False, down_s=event.for_s)

    async def _replace(
        self, name: str, graceful: bool, down_s: float = 0.0
    ) -> None:
        """Let an upstream go and another one come in its place."""
        if name not in self.fleet.running:
            return
        service = self.fleet.running[name].options.service
        node = self.fleet.places[name]
        await self.fleet.end(name, graceful)
        await asyncio.sleep(down_s)
        fresh = '%s-r%d' % (service, next(self.changes))
        await self.fleet.begin(service, fresh, node)

    async def _gray(self, event, name) -> None:
        one = self.fleet.running.get(name)
        if one is None:
            return
        _spoil_upstream(one, GRAY_FAULTS[int(event.x * len(GRAY_FAULTS))])
        await asyncio.sleep(event.for_s)
        _spoil_upstream(one, upstream_faults.NONE)

    async def _limit(self, event, name) -> None:
        """Let an upstream state a limit for a while."""
        one = self.fleet.running.get(name)
        if one is None:
            return
        per_s = LEAST_LIMIT + event.x * (MOST_LIMIT - LEAST_LIMIT)
        self.watch.stated.states(name, per_s)
        one.set_faults(one.dice.faults._replace(limit=per_s))
        await asyncio.sleep(event.for_s)
        if one.dice.faults.limit == per_s:
            # No later limit has taken its place.
            self.watch.stated.ends(name)
            one.set_faults(one.dice.faults._replace(limit=-1.0))

    async def _notice(self, event, name) -> None:
        """Let an upstream state in answers that it leaves, before it does."""
        one = self.fleet.running.get(name)
        if one is None:
            return
        one.set_faults(one.dice.faults._replace(leaving=True))
        await asyncio.sleep(event.for_s)
        if self.fleet.running.get(name) is one:
            await self._replace(name, graceful=True)

    async def _cut(self, event, name) -> None:
        directions = (
            frozenset((ways.INWARD,)),
            frozenset((ways.OUTWARD,)),
            frozenset((ways.INWARD, ways.OUTWARD)),
        )
        spoil = ways.Spoil(cut=directions[int(event.x * len(directions))])
        await self._spoil(event, name, spoil)

    async def _delay(self, event, name) -> None:
        spoil = ways.Spoil(0.2 * event.x, 0.2 * event.x)
        await self._spoil(event, name, spoil)

    async def _spoil(self, event, name, spoil) -> None:
        self.spoilt[name] = self.spoilt.get(name, 0) + 1
        for way in self.fleet.ways[name]:
            way.set(spoil)
        await asyncio.sleep(event.for_s)
        self.watch.stated.struck(name, cut=True)
        self.spoilt[name] -= 1
        if not self.spoilt[name]:
            for way in self.fleet.ways[name]:
                way.set(ways.SOUND)

    async def _silence(self, event, name) -> None:
        for way in self.fleet.ways[name]:
            way.silence()

    async def _reset(self, event, name) -> None:
        for way in self.fleet.ways[name]:
            way.reset()

    async def _full(self, event, name) -> None:
        await self._fault(event, name, hosts.Faults(full=True))

    async def _slow(self, event, name) -> None:
        await self._fault(event, name, hosts.Faults(slow_s=0.3 * event.x))

    async def _clock(self, event, name) -> None:
        jump = int((2 * event.x - 1) * MOST_CLOCK_MS)
        await self._fault(event, name, hosts.Faults(clock_ms=jump))

    async def _fault(self, event, name, found: hosts.Faults) -> None:
        file = self.fleet.faults_file(name)
        hosts.write(file, found)
        await asyncio.sleep(event.for_s)
        hosts.write(file, hosts.NONE)

    async def _fatal(self, event, _name) -> None:
        """Let a request that crashes upstreams come again and again."""
        service = 'settlement' if event.x < POST_SHARE else 'portal'
        words = PATHS[service], fatals.CRASH_MS, event.number
        target = '%s?crash=%d&n=%r' % words
        ends = clock.now() + event.for_s
        asking = []
        while clock.now() < ends:
            node = self.rng.choice(self.fleet.nodes())
            asked = self._asked(node, service, SHORT_BYTES)
            self.watch.fatal.asks(asked.marker, target)
            sending = self._send(asked, target)
            told = self._told(asked, PATIENCE_S, sending)
            asking.append(asyncio.ensure_future(told))
            await asyncio.sleep(FATAL_GAP_S)
        await asyncio.gather(*asking)

    # Configuration

    async def _change(self, event, _name) -> None:
        """Submit another configuration, as an operator does."""
        number = next(self.changes)
        service = self.stage.document['services']['portal']
        service['timeout_ms'] = 3000 + number
        controls = self.fleet.controls()
        control = controls[int(event.x * len(controls))]
        try:
            accepted = await self.stage.submit('current', control)
        except OSError:
            # Refused, or never answered; either may be under faults.
            self.watch.counts['changes not accepted'] += 1
            return
        self._accepted(accepted)

    def _accepted(self, text: str) -> None:
        self.watch.accepts(fleet_module.read_version(text))
        self.watch.counts['changes accepted'] += 1

    async def _storm(self, event, _name) -> None:
        """Change the configuration without a pause, two operators at once."""
        ends = clock.now() + event.for_s
        await asyncio.gather(
            self._keep_changing(ends), self._keep_changing(ends)
        )

    async def _keep_changing(self, ends: float) -> None:
        service = self.stage.document['services']['portal']
        while clock.now() < ends:
            began = clock.now()
            service['timeout_ms'] = 3000 + next(self.changes)
            control = self.rng.choice(self.fleet.controls())
            accepted = await operators.change(
                self.session, control.admin, self.stage.document
            )
            if accepted:
                self._accepted(accepted)
            await asyncio.sleep(max(began + STORM_GAP_S - clock.now(), 0.0))

    async def _race(self, event, name) -> None:
        other = event._replace(x=(event.x + 0.5) % 1.0)
        await asyncio.gather(
            self._change(event, name), self._change(other, name)
        )

    # The end

    async def _settle(self) -> None:
        """Wait until all that was accepted is in force everywhere."""
        for name in self.fleet.hosts:
            async with self.fleet.turns[name]:
                pass
        await asyncio.gather(*self.fleet.restarts)
        try:
            await self.fleet.until(self._whole, 'all in force', SETTLE_S)
        except TimeoutError as error:
            self.watch.tell('%s%s' % (error, self._ended()))
        for host in self.fleet.nodes():
            status = await self.fleet.status(host) or {'version': ''}
            version = fleet_module.read_version(status['version'])
            self.watch.settled(host.name, version)

    def _ended(self) -> str:
        """Return which processes have ended, how, and their last reloads."""
        return ''.join(
            '; %s ended with %s, its last reload %.3f s after a start'
            % (name, process.returncode, self.reloads.get(name, math.nan))
            for name, process in sorted(self.fleet.processes.items())
            if process.returncode is not None
        )

    async def _whole(self) -> bool:
        """Tell whether each node is ready, up to date and knows all."""
        lives = {
            id: one.announcer.announcement.incarnation
            for id, one in self.fleet.running.items()
        }
        statuses = [await self.fleet.status(n) for n in self.fleet.nodes()]
        return all(self._has_all(status, lives) for status in statuses)

    def _has_all(self, status: dict | None, lives: dict[str, int]) -> bool:
        """Tell whether a node has the newest version and all upstreams.

        :param lives: the incarnation of each upstream that runs.
        """
        if status is None or not status['ready']:
            return False
        known = {
            upstream['id']: upstream['incarnation']
            for service in status['services']
            for upstream in service['upstreams']
        }
        version = fleet_module.read_version(status['version'])
        return known == lives and version >= self.watch.accepted

    async def _calm(self) -> None:
        """Drive the fleet without faults: it serves as before them."""
        for _drive in range(CALM_DRIVES):
            late = self.watch.counts[LATE]
            share = await self._drive()
            if share >= CALM_SHARE:
                return
            if self.watch.counts[LATE] == late:
                break
        text = 'after all faults %.2f of the load is served'
        self.watch.tell(text % share)

    async def _drive(self) -> float:
        """Send requests for a while; return which share was served."""
        before, asked = self.served, next(self.numbers)
        await self._load(CALM_S)
        count = next(self.numbers) - asked - 1
        # Those whose callers left on purpose are not owed an answer.
        return (self.served - before) / (count * (1 - LEAVE_SHARE))


def _spoil_upstream(
    one: fleet_module.Upstream, found: upstream_faults.Faults
) -> None:
    """Put faults in force at an upstream; what it states stays."""
    now = one.dice.faults
    one.set_faults(found._replace(limit=now.limit, leaving=now.leaving))


@contextlib.asynccontextmanager
async def _beside(*works: typing.Coroutine):
    """Run works that have no end of their own while the block lasts."""
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
