"""A fleet of gateways on loopback: driven, spoilt, stopped and audited.

One control host, four nodes with gateways and eight stand-in upstreams run as
separate processes.  Under load a node is killed, another one is stopped in
the planned way, and an upstream turns gray.  What callers were told is then
held against what upstreams ran.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile
import typing

import aiohttp

from standin import content
from standin import faults
from standin import fleet as fleets
from standin import runs as runs_module
from standin import stage as stages

EXIT_KEPT = 0
EXIT_BROKEN = 1

CREWS = (
    stages.Crew('portal', 4, {'service_ms': 20.0}),
    stages.Crew('settlement', 4, {'service_ms': 30.0}),
)
LOAD_S = 8.0
PER_S = 60.0
GRAY_AT_S = 1.0
KILL_AT_S = 3.0
STOP_AT_S = 5.0
GRAY = 'settlement-1'
GRAY_FAULTS = faults.Faults(error_share=0.9, health='good')
# Two of four nodes go; callers that ask those see their connections break.
SERVED = 0.7
MOST_SHOWN = 10


class Answer(typing.NamedTuple):
    """What one caller was told.

    :param marker: names the request at the upstream, too.
    :param method: its method.
    :param outcome: of the answer; empty when the connection broke.
    :param status: HTTP status, 0 when the connection broke.
    """

    marker: str
    method: str
    outcome: str
    status: int


class Play:
    """One play.

    :param fleet: an empty fleet.
    :param seed: of the load.
    """

    def __init__(self, fleet: fleets.Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.stage = stages.Stage(fleet, CREWS)
        self.answers: list[Answer] = []

    async def run(self) -> None:
        """Start the fleet, drive and spoil it, stop it."""
        await self.stage.start()
        callers = asyncio.create_task(self.load())
        await asyncio.sleep(GRAY_AT_S)
        await self.fleet.set_faults(GRAY, GRAY_FAULTS)
        await asyncio.sleep(KILL_AT_S - GRAY_AT_S)
        self.fleet.signal('node-4', signal.SIGKILL)
        await asyncio.sleep(STOP_AT_S - KILL_AT_S)
        self.fleet.signal('node-3')
        await callers
        await self.stage.stop()

    async def load(self) -> None:
        """Send requests at their times, each on its own."""
        nodes = [host.listen for host in self.fleet.nodes()]
        asking = []
        for number in range(int(LOAD_S * PER_S)):
            # The node that will be killed is asked as well, until then.
            node = self.random.choice(nodes)
            post = self.random.random() < 0.5
            asking.append(
                asyncio.create_task(self.ask(node, 'm%d' % number, post))
            )
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*asking)

    async def ask(self, node: str, marker: str, post: bool) -> None:
        """Send one request and keep what came of it."""
        method, path = ('POST', '/payouts') if post else ('GET', '/status/x')
        given = {content.MARKER: marker, 'Caraway-Deadline-Ms': '4000'}
        url = 'http://%s%s' % (node, path)
        try:
            async with self.fleet.session.request(
                method, url, headers=given, data=b'x' if post else None
            ) as response:
                await response.read()
                outcome = response.headers.get('Caraway-Outcome', '')
                answer = Answer(marker, method, outcome, response.status)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            answer = Answer(marker, method, '', 0)
        self.answers.append(answer)


def broken(
    answers: typing.Sequence[Answer], ran: typing.Sequence[runs_module.Run]
) -> list[str]:
    """Return the promises that were not kept, a sentence each."""
    counts = collections.Counter(run.marker for run in ran)
    found = [
        '%s ran %d times' % (answer.marker, counts[answer.marker])
        for answer in answers
        if answer.method == 'POST' and counts[answer.marker] > 1
    ]
    found += [
        '%s was told not-run and ran' % answer.marker
        for answer in answers
        if answer.outcome == 'not-run' and counts[answer.marker]
    ]
    found += [
        '%s was answered and did not run' % answer.marker
        for answer in answers
        if answer.status == 200 and not counts[answer.marker]
    ]
    served = sum(answer.status == 200 for answer in answers)
    if served < SERVED * len(answers):
        found.append('%d of %d were served' % (served, len(answers)))
    return found


async def play(folder: pathlib.Path, seed: int) -> tuple[Play, list[str]]:
    """Play once; return it and the promises that were broken."""
    async with fleets.Fleet(folder, '', gateways=True) as fleet:
        one = Play(fleet, seed)
        await one.run()
        return one, broken(one.answers, fleet.runs())


def main(arguments: list[str] | None = None) -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    print('gateways: 1 control host, 4 nodes, 8 upstreams.', flush=True)
    with tempfile.TemporaryDirectory(prefix='gateways-') as temporary:
        one, found = asyncio.run(play(pathlib.Path(temporary), options.seed))
    told = collections.Counter(
        (answer.method, answer.status, answer.outcome)
        for answer in one.answers
    )
    for (method, status, outcome), count in sorted(told.items()):
        words = method, status or 'no answer', outcome, count
        print('gateways: %-4s %-9s %-8s %4d' % words)
    for sentence in found[:MOST_SHOWN]:
        print('gateways: broken: %s' % sentence, file=sys.stderr)
    print('gateways: %s' % ('kept all promises' if not found else 'BROKEN'))
    return EXIT_BROKEN if found else EXIT_KEPT


if __name__ == '__main__':
    sys.exit(main())
