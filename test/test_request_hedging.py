"""Tests of hedges, trials, lost connections and balancers."""

import asyncio
import random
import types

import expression
import pytest

from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.request import target as targets
from carawaystairplug import balancer_peak
from carawaystairplug import balancer_roundrobin
from test import pipes
from test import request_setup as setups
from test import stubs


async def quick(upstream, seen, writer):
    """Answer after 10 ms."""
    await asyncio.sleep(0.01)
    writer.write(setups.reply(upstream.name.encode()))


async def hang(upstream, seen, writer):
    """Never answer."""
    await asyncio.sleep(1000)


async def warm(setup, count=60):
    """Send requests until the latency estimate is known."""
    for _n in range(count):
        await setup.ask()


def test_hedge():
    """Guards against a caller that waits for one upstream that hangs.

    A second attempt goes to another upstream, and the first continues as
    evidence of its upstream's health.
    """

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, quick) for n in range(3)]
        async with setups.running(*upstreams) as setup:
            await warm(setup)
            upstreams[0].script = hang
            upstreams[0].runs.clear()
            loop = asyncio.get_running_loop()
            started = loop.time()
            answers = [await setup.ask() for _n in range(30)]
            took = loop.time() - started
            running = sum(
                t.in_flight for t in setup.path.selector.targets.values()
            )
            await asyncio.sleep(6.0)
            return answers, took, running, setup

    answers, took, running, setup = pipes.run(scenario())
    assert {answer.body for answer in answers} == {b'u9002', b'u9003'}
    assert took < 30 * 0.012 + 0.1
    assert running in (1, 2)
    # Once an answer was late, its upstream got no further requests.
    assert len(setup.upstreams[0].runs) <= 2
    # The hanging attempts count against it once their deadline has passed.
    assert setup.outcomes()['timeout'] == running
    targets_now = setup.path.selector.targets.values()
    assert all(t.in_flight == t.lingering == 0 for t in targets_now)


def test_no_hedge_without_slots():
    """Guards against hedges that add to an overload.

    Requests wait for slots, and answers are late: a hedge would take the slot
    of a request that waits.
    """

    class Busy(stubs.Admission):
        def try_admit(self, *details):
            return None

        async def admit(self, *details):
            return expression.Ok(super().try_admit(*details))

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, quick) for n in range(3)]
        async with setups.running(*upstreams, admission=Busy()) as setup:
            await warm(setup)
            for upstream in upstreams:
                upstream.script = hang
                upstream.runs.clear()
            # The open connections are closed in the meantime, so that none of
            # them can become suspect.
            await asyncio.sleep(60.0)
            return await setup.ask(), setup.runs

    answer, runs = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4004')
    assert len(runs) == 1


def test_process_resumes_after_the_deadline():
    """Guards against an internal error (CS-9001) after a suspension.

    This process is suspended while a request waits for two late answers, and
    resumes after the deadline, when attempts and race time out at once.
    """

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, hang) for n in range(2)]
        async with setups.running(*upstreams) as setup:
            task = asyncio.create_task(setup.ask())
            await asyncio.sleep(2.0)
            asyncio.get_running_loop().virtual.time += 60.0
            return await task, setup.outcomes()

    answer, outcomes = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4004')
    assert outcomes == {'timeout': 2}


def test_no_hedge_for_what_may_run_once():
    """Guards against a second run of a request that may run only once.

    The upstream is slow to answer it.
    """

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, quick) for n in range(3)]
        async with setups.running(*upstreams) as setup:
            await warm(setup)
            for upstream in upstreams:
                upstream.script = hang
                upstream.runs.clear()
            return await setup.ask(method='POST', body=b'x'), setup.runs

    answer, runs = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4004')
    assert len(runs) == 1


def silent(count, script=quick):
    """Let all open connections go silent, then send requests."""

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, quick) for n in range(count)]
        async with setups.running(*upstreams) as setup:
            await asyncio.gather(*(warm(setup) for _n in range(3)))
            loop = asyncio.get_running_loop()
            lost = sum(loop.silence(u.port) for u in upstreams)
            for upstream in upstreams:
                upstream.script = script
            setup.evidence.attempts.clear()
            started = loop.time()
            answers = [await setup.ask() for _n in range(20)]
            took = loop.time() - started
            await asyncio.sleep(10.0)
            return answers, took, lost, setup.outcomes()

    return pipes.run(scenario())


@pytest.mark.parametrize('count', [1, 2, 8])
def test_silent_connections(count):
    """Guards against ejecting healthy upstreams when a firewall restarts.

    All open connections go silent, while new ones work.  An answer on a new
    connection, while the old one is silent, shows that the connection is lost.
    """
    answers, took, lost, outcomes = silent(count)
    assert lost >= count
    assert {answer.outcome for answer in answers} == {'complete'}
    assert 'timeout' not in outcomes
    assert count <= outcomes['silent'] <= 2 * count
    assert took < 1.0


def test_hanging_upstream_is_not_cleared():
    """Guards against requests to an upstream that hangs.

    It hangs on every request, also on new connections, so that the silence
    counts against it.
    """
    _answers, _took, _lost, outcomes = silent(1, script=hang)
    assert outcomes['timeout'] >= 3
    assert 'silent' not in outcomes


def test_connections_are_suspected_once():
    """Guards against clearing an upstream that hangs on some requests.

    It hangs on every third request and answers the others on new connections.
    Its connections become suspect only once in a while, so that the next hang
    counts against it.
    """

    async def third(upstream, seen, writer):
        hangs = len(upstream.runs) % 3 == 0
        await (hang if hangs else quick)(upstream, seen, writer)

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, quick) for n in range(2)]
        async with setups.running(*upstreams) as setup:
            await warm(setup)
            upstreams[0].script = third
            setup.evidence.attempts.clear()
            await warm(setup, 300)
            await asyncio.sleep(10.0)
            return setup.outcomes()

    outcomes = pipes.run(scenario())
    assert outcomes['timeout'] >= 1
    assert outcomes['silent'] == 1


def test_trial():
    """A trial copy is sent beside the first attempt, and both end."""

    class TrialHealth(stubs.Health):
        wishes = ['u9002']

        def trial(self, service):
            return self.wishes.pop() if self.wishes else None

        def ejected(self, service):
            return frozenset(['u9002'])

    async def slow(upstream, seen, writer):
        await asyncio.sleep(0.5)
        writer.write(setups.reply(b'slow'))

    async def scenario():
        upstreams = setups.Upstream(9001, quick), setups.Upstream(9002, slow)
        async with setups.running(*upstreams, health=TrialHealth()) as setup:
            answer = await setup.ask()
            await asyncio.sleep(1.0)
            return answer, setup

    answer, setup = pipes.run(scenario())
    assert answer.body == b'u9001'
    assert setup.outcomes() == {interfaces.GOOD: 2}
    assert max(a.latency_s for a in setup.evidence.attempts) > 0.5


# Selection


def candidates(*details):
    """Return candidates with the given latencies, in seconds."""
    made = [
        targets.Target(
            interfaces.Upstream('u%d' % n, 's', 'x:1', 'h', 'a', 5), 0.0
        )
        for n, _cost in enumerate(details)
    ]
    for target, cost in zip(made, details, strict=True):
        target.observe(cost, 0.0)
    shares = tuple(float(n + 1) for n in range(len(made)))
    return targets.Candidates(tuple(made), shares)


def drawn(balancer, found, count=400):
    """Return how often a balancer selects each candidate."""
    chosen = [balancer.choose(found, '', 0.05) for _n in range(count)]
    return [chosen.count(target) for target in found.targets]


@pytest.mark.parametrize('arrived', [True, False])
def test_peak_avoids_the_slow(arrived):
    """An upstream with a slow or late answer is rarely selected."""
    peak = balancer_peak.Peak(random.Random(1), stubs.Health())
    found = candidates(0.01, 0.01, 0.01, 1.0 if arrived else 0.01)
    if not arrived:
        late = types.SimpleNamespace(started=-1.0)
        found.targets[3].late_attempts.append(late)
    counts = drawn(peak, found)
    assert counts[3] < 30
    assert min(counts[:3]) > 80


def test_peak_heeds_load_and_weight():
    """Requests in flight and health weights affect the selection."""

    class SoftWeights(stubs.Health):
        def weight(self, upstream, customer=''):
            return 0.01 if upstream == 'u1' else 1.0

    peak = balancer_peak.Peak(random.Random(1), SoftWeights())
    found = candidates(0.01, 0.01, 0.01)
    found.targets[2].in_flight = 3
    counts = drawn(peak, found)
    assert counts[0] > counts[2] > counts[1]


def test_roundrobin():
    """Round robin selects all candidates equally often."""
    turns = balancer_roundrobin.RoundRobin(random.Random(1), stubs.Health())
    assert drawn(turns, candidates(0.1, 9.0)) == [200, 200]


def chosen(setup):
    """Return the ids of the candidates and their shares."""
    found = setup.path.selector.candidates('portal', 1.0).candidates
    shares = (
        b - a
        for a, b in zip(
            (0.0, *found.cumulative_shares), found.cumulative_shares
        )
    )
    return dict(zip((t.upstream.id for t in found.targets), shares))


def test_candidates():
    """Drains, locations, warm-up and weights determine the candidates."""

    async def scenario():
        upstreams = [setups.Upstream(9001 + n) for n in range(5)]
        async with setups.running(*upstreams) as setup:
            change = {
                0: {'state': 'draining'},
                1: {'data_centre': 'b', 'weight': 3.0},
                2: {'warmup_s': 10.0},
                3: {'data_centre': 'far'},
                4: {'host': 'stopping'},
            }
            for number, changes in change.items():
                setup.directory.put(
                    setups.announce(upstreams[number], **changes)
                )
            drains = manifest.Drains(hosts=('stopping',))
            setup.routing = setups.make_routing(
                manifest.Service(), drains=drains
            )
            near = chosen(setup)
            for number in (1, 2):
                setup.directory.put(
                    setups.announce(upstreams[number], state='draining')
                )
            return near, chosen(setup)

    near, far = pipes.run(scenario())
    assert near.keys() == {'u9002', 'u9003', 'u9004'}
    assert near['u9002'] == 3.0
    assert 0.2 <= near['u9003'] < 0.5
    # Half the slots of the region are usable: 1.4 halves of the load stay.
    assert near['u9004'] / sum(near.values()) == pytest.approx(0.3)
    assert far.keys() == {'u9004'}
