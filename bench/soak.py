"""``make soak``: long randomised runs of a whole fleet of processes.

A load client drives stand-in upstreams through the nodes while processes are
killed, frozen and restarted, upstreams turn gray, leave and come back, and
the manifest changes.  Afterwards the answers of all callers are compared
with the runs of all upstreams.  The seed is printed and fixes the course of
events; what real processes make of it differs from run to run, the promises
must hold in each.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import typing

import aiohttp

from carawaystair import clock
from standin import audit
from standin import demo
from standin import faults
from standin import fleet as fleets
from standin import load

EXIT_KEPT = 0
EXIT_BROKEN = 1

CONTROL_HOSTS = 3
PER_S = 80.0
RESEND_SHARE = 0.3
# Pauses between two events, seconds.
PAUSE_S = (0.3, 1.5)
FREEZE_S = (0.2, 4.0)
DOWN_S = (0.5, 4.0)
# At the end everything is mended and gets so long to settle.
SETTLE_S = 5.0
# Longer than an upstream waits for its last requests (Options.drain_s): the
# record of one that had to be killed is lost and spoils the audit.
PATIENCE_S = 40.0


class Kept(typing.NamedTuple):
    """What a run showed.

    :param seed: the seed.
    :param requests: requests sent.
    :param verdicts: what callers made of the answers.
    :param codes: result codes they were told.
    :param events: how often each kind of event took place.
    :param found: broken promises.
    :param broken: invariants that nodes counted as broken.
    :param accepted: versions that submissions were told.
    :param behind: nodes without the newest of them at the end.
    """

    seed: int
    requests: int
    verdicts: dict[str, int]
    codes: dict[str, int]
    events: dict[str, int]
    found: audit.Audit
    broken: dict[str, int]
    accepted: tuple[str, ...]
    behind: tuple[str, ...]

    @property
    def clean(self) -> bool:
        """Tell whether every promise was kept."""
        return self.found.clean and not self.broken and not self.behind


class Soak(demo.Demo):
    """One randomised run over a fleet.

    :param fleet: an empty fleet.
    :param seed: of the load and of the events.
    :param seconds: how long the load lasts.
    """

    def __init__(self, fleet: fleets.Fleet, seed: int, seconds: float) -> None:
        super().__init__(fleet, seed)
        self.seconds = seconds
        self.random = random.Random(seed)
        self.counts: dict[str, int] = {}
        self.broken: dict[str, int] = {}
        self.accepted: list[str] = []
        self.behind: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        # Hosts and upstreams that an event has in hand.
        self.busy: set[str] = set()

    async def whole(self) -> Kept:
        """Run from start to audit."""
        await self.stage.start(CONTROL_HOSTS)
        self.accepted.append(self.stage.accepted)
        client = load.Load(self.plan())
        running = asyncio.create_task(client.run())
        until = clock.now() + self.seconds
        while clock.now() < until:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            self.disturb()
        if self.tasks:
            await asyncio.wait(self.tasks)
        for name in self.fleet.upstreams:
            await self._set(name, faults.Faults())
        answers = await running
        await asyncio.sleep(SETTLE_S)
        await self.read_nodes()
        await self.fleet.stop(list(self.fleet.processes), PATIENCE_S)
        return Kept(
            self.seed,
            len(answers),
            load.tally(answers, 'verdict'),
            load.tally(answers, 'code'),
            self.counts,
            audit.audit(answers, self.fleet.runs()),
            self.broken,
            tuple(self.accepted),
            tuple(self.behind),
        )

    def plan(self) -> load.Plan:
        """Return the load."""
        return (
            super()
            .plan()
            ._replace(
                per_s=PER_S, seconds=self.seconds, resend_share=RESEND_SHARE
            )
        )

    async def read_nodes(self) -> None:
        """Add up what the nodes counted, and who lacks the newest version."""
        newest = max(map(_version, self.accepted))
        for node in self.fleet.nodes():
            status = await self.fleet.status(node) or {}
            if _version(status.get('version', '0.0')) < newest:
                seen = 'no status'
                if status:
                    seen = 'at {version}, ready {ready}'.format_map(status)
                self.behind.append('%s (%s)' % (node.name, seen))
            for name, count in status.get('invariants_broken', {}).items():
                self.broken[name] = self.broken.get(name, 0) + count

    # Events

    def disturb(self) -> None:
        """Start one event, unless all that it could touch is in hand."""
        event = self.random.choice(
            (
                self.spoil,
                self.spoil,
                self.mend,
                self.freeze_node,
                self.kill_node,
                self.freeze_upstream,
                self.leave,
                self.kill_control,
                self.change,
                self.change,
            )
        )
        name = event.__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        task = asyncio.create_task(event())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def take(self, names: typing.Iterable[str]) -> str | None:
        """Pick one that no event has in hand, and take it in hand."""
        free = sorted(set(names) - self.busy)
        if not free:
            return None
        chosen = self.random.choice(free)
        self.busy.add(chosen)
        return chosen

    def node_names(self) -> list[str]:
        """Return the names of all nodes."""
        return [host.name for host in self.fleet.nodes()]

    async def spoil(self) -> None:
        """Let an upstream show random faults."""
        name = self.random.choice(sorted(set(self.fleet.upstreams)))
        await self._set(name, random_faults(self.random))

    async def mend(self) -> None:
        """End the faults of an upstream."""
        name = self.random.choice(sorted(set(self.fleet.upstreams)))
        await self._set(name, faults.Faults())

    async def _set(self, name: str, new: faults.Faults) -> None:
        try:
            await self.fleet.set_faults(name, new)
        except (aiohttp.ClientError, asyncio.TimeoutError):
            # It is frozen or gone just now.
            self.counts['missed'] = self.counts.get('missed', 0) + 1

    async def freeze_node(self) -> None:
        """Stop a node's process for a while: it hears and says nothing."""
        await self._freeze(self.take(self.node_names()))

    async def freeze_upstream(self) -> None:
        """Stop an upstream's process for a while."""
        await self._freeze(self.take(self.fleet.upstreams))

    async def _freeze(self, name: str | None) -> None:
        if name is None:
            return
        pause_s = self.random.uniform(*FREEZE_S)
        self.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        self.fleet.signal(name, signal.SIGCONT)
        self.busy.discard(name)

    async def kill_node(self) -> None:
        """Kill a node and start it again: it has forgotten everything."""
        await self._kill(self.take(self.node_names()))

    async def kill_control(self) -> None:
        """Kill a control host and start it again from its disk."""
        names = [host.name for host in self.fleet.controls()]
        await self._kill(self.take(names))

    async def _kill(self, name: str | None) -> None:
        if name is None:
            return
        down_s = self.random.uniform(*DOWN_S)
        self.fleet.signal(name, signal.SIGKILL)
        await self.fleet.wait(name, PATIENCE_S)
        await asyncio.sleep(down_s)
        await self.fleet.start_host(name)
        self.busy.discard(name)

    async def change(self) -> None:
        """Submit a changed manifest at some control host; races may lose."""
        services = self.stage.document['services']
        chosen = services[self.random.choice(sorted(services))]
        chosen['queue'] = self.random.randint(200, 300)
        control = self.random.choice(self.fleet.controls())
        try:
            self.accepted.append(await self.stage.submit('current', control))
        except OSError:
            self.counts['not accepted'] = (
                self.counts.get('not accepted', 0) + 1
            )

    async def leave(self) -> None:
        """Let an upstream leave in order and come back."""
        name = self.take(self.fleet.upstreams)
        if name is None:
            return
        options = self.fleet.upstreams[name]
        down_s = self.random.uniform(*DOWN_S)
        self.fleet.signal(name)
        await self.fleet.wait(name, PATIENCE_S)
        await asyncio.sleep(down_s)
        await self.fleet.start_again(options)
        self.busy.discard(name)


def random_faults(rng: random.Random) -> faults.Faults:
    """Return faults of one to three kinds."""
    kinds = {
        'slow': lambda: rng.uniform(2, 40),
        'hang_share': lambda: rng.uniform(0.05, 1.0),
        'error_share': lambda: rng.uniform(0.05, 1.0),
        'reset_share': lambda: rng.uniform(0.05, 0.6),
        'truncate_share': lambda: rng.uniform(0.05, 0.6),
        'stall_share': lambda: rng.uniform(0.05, 0.4),
        'late_share': lambda: rng.uniform(0.05, 0.6),
        'silent': lambda: True,
        'health': lambda: rng.choice(('good', 'bad')),
        'flap_s': lambda: rng.uniform(0.5, 4.0),
        'cancel': lambda: 'ignored',
        'deadlines': lambda: 'ignored',
    }
    chosen = rng.sample(sorted(kinds), rng.randint(1, 3))
    values = {name: kinds[name]() for name in chosen}
    return faults.Faults(late_ms=rng.uniform(50, 3000))._replace(**values)


async def soak(seed: int, seconds: float) -> Kept:
    """Run once in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix='carawaystair-soak-') as folder:
        async with fleets.Fleet(pathlib.Path(folder), '') as fleet:
            return await Soak(fleet, seed, seconds).whole()


def show(kept: Kept) -> str:
    """Return the result as text."""
    lines = [
        'seed %d: %s' % (kept.seed, 'kept' if kept.clean else 'BROKEN'),
        '  %d requests' % kept.requests,
        '  answers: %s' % _counts(kept.verdicts),
        '  codes: %s' % _counts(kept.codes),
        '  events: %s' % _counts(kept.events),
        '  accepted versions: %s' % ' '.join(kept.accepted),
    ]
    lines.extend(
        '  %s: %s' % (name, ', '.join(markers[:10]))
        for name, markers in kept.found._asdict().items()
        if markers
    )
    if kept.behind:
        lines.append('  behind: %s' % ', '.join(kept.behind))
    lines.extend('  invariant %s: %d' % item for item in kept.broken.items())
    return '\n'.join(lines)


def _version(text: str) -> tuple[int, ...]:
    return tuple(map(int, text.split('.')))


def _counts(counts: dict[str, int]) -> str:
    pairs = sorted(counts.items(), key=lambda item: -item[1])
    return ', '.join('%s %d' % (name or 'none', n) for name, n in pairs)


def main(arguments: list[str] | None = None) -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.soak',
        description='Randomised runs of a whole fleet, with an audit.',
    )
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--runs', type=int, default=3, help='seeds to run')
    parser.add_argument('--seconds', type=float, default=40.0)
    options = parser.parse_args(arguments)
    broken = 0
    for seed in range(options.seed, options.seed + options.runs):
        kept = asyncio.run(soak(seed, options.seconds))
        print(show(kept), flush=True)
        broken += not kept.clean
    return EXIT_BROKEN if broken else EXIT_KEPT


if __name__ == '__main__':
    sys.exit(main())
