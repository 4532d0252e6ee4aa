"""How far a node knows to be behind, and the lines that tell it."""

import asyncio

from carawaystair import lag
from carawaystair import rows
from test import fakes


def version(index):
    return rows.Version(1, index)


def in_time(scenario):
    """Run a scenario that takes a lag, in virtual time."""

    async def run():
        return await scenario(lag.Lag())

    return fakes.run(run())


def test_lag_counts_from_the_first_version_that_is_missing():
    async def scenario(found):
        found.hold(version(3))
        found.told(version(4))
        await asyncio.sleep(2)
        found.told(version(5))
        await asyncio.sleep(1)
        behind = found.seconds()
        found.hold(version(4))
        return behind, found.seconds(), found.newest

    assert in_time(scenario) == (3.0, 1.0, version(5))


def test_lag_is_over_once_the_newest_version_is_held():
    async def scenario(found):
        found.told(version(4))
        found.told(version(6))
        found.hold(version(6))
        found.told(version(5))
        await asyncio.sleep(1)
        return found.seconds()

    assert in_time(scenario) == 0.0


def test_quorum_ends_what_was_told_before_it_was_asked():
    async def scenario(found):
        found.hold(version(3))
        found.told(version(900))
        await asyncio.sleep(1)
        asked_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1)
        found.vouched(asked_at)
        ended = found.seconds()
        found.told(version(4))
        await asyncio.sleep(1)
        found.vouched(asked_at)
        return ended, found.seconds(), found.newest

    assert in_time(scenario) == (0.0, 1.0, version(4))


def test_what_is_remembered_is_bounded():
    async def scenario(found):
        for index in range(1, 2 * lag.MOST_HEARD):
            found.told(version(index))
        await asyncio.sleep(1)
        return len(found.heard), found.seconds(), found.newest

    newest = version(2 * lag.MOST_HEARD - 1)
    assert in_time(scenario) == (lag.MOST_HEARD, 1.0, newest)
