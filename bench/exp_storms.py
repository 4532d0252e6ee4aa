"""How far nodes fall behind while changes follow each other without a pause.

Virtual time, the nodes and the publisher as they are, a fake network with 0.5
to 2 ms a message, a change of one row each gap.  The lag of a node counts
from the first accepted version that is newer than the one it has.
"""

import itertools
import statistics
import typing

from bench import exp_spread
from bench import figures
from carawaystair import distribution
from carawaystair import lag
from test import fakes
from test import test_follower

TITLE = 'Nodes behind while the configuration changes without a pause'

# Nodes, and seconds between two changes.  Two operators at once were seen to
# make one each 0.06 s.
GAPS_S = (1.0, 0.3, 0.15, 0.05)
STORMS = tuple([*itertools.product((24, 128), GAPS_S), (512, 0.15)])
QUICK_STORMS = ((8, 0.15),)
STORM_S = 25.0
QUICK_STORM_S = 5.0
# An accepted version is in force everywhere within this, seconds.
BOUND_S = 2.0


class Measured(typing.NamedTuple):
    """What one storm showed.

    :param lags: the greatest lag of each node, seconds.
    :param read: what all nodes read together.
    :param messages: sent, by node and second.
    :param bytes: of those.
    :param control: questions to control, by node and second.
    """

    lags: list[float]
    read: lag.Counts
    messages: float
    bytes: float
    control: float


class Storm:
    """One storm over a fleet, and what it showed.

    :param rig: the fleet, started.
    """

    def __init__(self, rig: exp_spread.Rig) -> None:
        self.rig = rig
        self.watch = test_follower.Watch(rig.followers, rig.group)
        self.asked = 0
        handlers = rig.network.ends[test_follower.CONTROL].handlers
        self.answer = handlers[distribution.Ask]
        handlers[distribution.Ask] = self._count

    async def _count(self, sender: str, ask: distribution.Ask):
        self.asked += 1
        return await self.answer(sender, ask)

    def read(self) -> lag.Counts:
        """Return what all nodes read together."""
        counts = [node.counts for node in self.rig.followers]
        return lag.Counts(*map(sum, zip(*counts, strict=True)))


async def _measure(
    nodes: int, gap_s: float, seed: int, seconds: float
) -> Measured:
    rig = exp_spread.Rig(nodes, 0.0, seed)
    await rig.start()
    storm = Storm(rig)
    before = storm.read()
    cost = exp_spread.Cost(rig.network)
    await test_follower.storm(rig.group, seconds, gap_s)
    storm.watch.task.cancel()
    messages, sent, _cpu = cost.since()
    await rig.stop()
    read = [b - a for a, b in zip(before, storm.read(), strict=True)]
    per_node_s = nodes * seconds
    return Measured(
        list(storm.watch.worst.values()),
        lag.Counts(*read),
        messages / per_node_s,
        sent / per_node_s,
        storm.asked / per_node_s,
    )


def _figures(name: str, measured: Measured) -> typing.Iterator[figures.Figure]:
    lags, read = measured.lags, measured.read
    late = sum(behind_s > BOUND_S for behind_s in lags)
    shown = (
        ('lag.median', statistics.median(lags), 's'),
        ('lag.max', max(lags), 's'),
        ('late', late / len(lags), 'share of nodes over 2 s'),
        ('tables_begun', read.tables_begun, 'whole tables'),
        ('tables_read', read.tables_read, 'whole tables'),
        ('messages', measured.messages, 'messages/node/s'),
        ('bytes', measured.bytes, 'bytes/node/s'),
        ('control', measured.control, 'questions to control/node/s'),
    )
    for what, value, unit in shown:
        yield figures.Figure('%s.%s' % (name, what), value, unit)


def run(seed: int, quick: bool) -> list:
    """Measure several paces at two sizes."""
    found = []
    seconds = QUICK_STORM_S if quick else STORM_S
    for nodes, gap_s in QUICK_STORMS if quick else STORMS:
        measured = fakes.run(_measure(nodes, gap_s, seed, seconds))
        name = 'storms.nodes%d.gap%d' % (nodes, round(1000 * gap_s))
        found.extend(_figures(name, measured))
    return found
