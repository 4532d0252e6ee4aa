"""Faults and noise for the model of ``detection_model``.

A fault is a function ``fault(world, server, end)`` that starts it, keeps it up
until the future ``end`` is done, and undoes it.
"""

import asyncio
import random
import typing

from bench import detection_model as model
from carawaystair import interfaces

SLOW = 10.0
FLAP_S = 3.0
WARMUP_S = 10.0
COLD = 8.0
GONE_S = 2.0
HINT_S = 1.0
TAIL_SHARE = 0.004
TAIL = 25.0

Fault = typing.Callable[
    ['model.World', 'model.Server', asyncio.Future], typing.Awaitable
]


async def hang(world, server, end) -> None:
    """Take requests and answer none."""
    server.hung = True
    await end
    server.hung = False
    server.release()


async def slow(world, server, end) -> None:
    """Answer everything, ten times slower."""
    server.factor = lambda request: SLOW
    await end
    server.factor = model.usual


async def slow_customer(world, server, end) -> None:
    """Answer one customer ten times slower, here only."""
    big = model.CUSTOMERS[0]
    server.factor = lambda request: SLOW if request.customer == big else 1.0
    await end
    server.factor = model.usual


async def errors(world, server, end) -> None:
    """Fail half of the requests at once."""
    server.errors = 0.5
    await end
    server.errors = 0.0


async def failing(world, server, end) -> None:
    """Fail all requests while the health endpoint says well."""
    server.errors = 1.0
    while not end.done():
        for node in world.frontends:
            record_hint = getattr(node.outlier, 'record_health_hint', None)
            if record_hint is not None:
                record_hint(model.SERVICE, server.name, False)
        await asyncio.wait([end], timeout=HINT_S)
    server.errors = 0.0


async def flapping(world, server, end) -> None:
    """Hang for three seconds out of six."""
    while not end.done():
        server.hung = not server.hung
        if not server.hung:
            server.release()
        await asyncio.wait([end], timeout=FLAP_S)
    server.hung = False
    server.release()


async def path(world, server, end) -> None:
    """Lose the requests of one node to the upstream, one way."""
    server.deaf_to = frozenset({server.number})
    await end
    server.deaf_to = frozenset()


async def data_centre(world, server, end) -> None:
    """Lose the requests of one data centre to the upstream."""
    size = world.site.data_centres
    server.deaf_to = frozenset(
        number
        for number in range(world.site.nodes)
        if number % size == server.number % size
    )
    await end
    server.deaf_to = frozenset()


async def silent(world, server, end) -> None:
    """Let all open connections to the upstream go silent."""
    world.silent_server = server.number
    world.silent_since = asyncio.get_running_loop().time()
    await end
    world.silent_server = -1


async def cold_start(world, server, end) -> None:
    """Restart the upstream, which then warms up."""
    world.in_service.remove(server)
    gone = world.upstream(server, state=interfaces.GONE)
    world.directory.put(gone)
    await asyncio.sleep(GONE_S)
    loop = asyncio.get_running_loop()
    started = loop.time()

    def factor(_request):
        age = min((loop.time() - started) / WARMUP_S, 1.0)
        return COLD + (1.0 - COLD) * age

    server.factor = factor
    world.starts += 1
    back = world.upstream(server, incarnation=world.starts, warmup_s=WARMUP_S)
    world.directory.put(back)
    world.in_service.append(server)
    await end
    server.factor = model.usual


async def pause(world, server, end) -> None:
    """Let nodes stand still for a second, one after another."""
    while not end.done():
        await pause_node(world, 1.0)
        await asyncio.wait([end], timeout=2.0)


async def pause_node(world, seconds: float) -> None:
    """Let one node stand still."""
    node = world.rng.choice(world.frontends)
    now = asyncio.get_running_loop().time()
    node.paused_until = now + seconds


async def burst(world, server, end) -> None:
    """Let callers ask four times as often for a second, again and again."""
    while not end.done():
        world.rate_factor = 4.0
        await asyncio.sleep(1.0)
        world.rate_factor = 1.0
        await asyncio.wait([end], timeout=4.0)


async def customer(world, server, end) -> None:
    """Let one customer's queries be slow at every upstream."""
    big = model.CUSTOMERS[0]
    for one in world.servers:
        one.factor = lambda request: SLOW if request.customer == big else 1.0
    await end
    for one in world.servers:
        one.factor = model.usual


async def tails(world, server, end) -> None:
    """Let a few requests take 25 times as long, anywhere."""
    rng = random.Random(world.rng.random())
    for one in world.servers:
        one.factor = lambda request: TAIL if rng.random() < TAIL_SHARE else 1.0
    await end
    for one in world.servers:
        one.factor = model.usual


async def everything_slow(world, server, end) -> None:
    """Let the service as a whole be three times slower."""
    for one in world.servers:
        one.factor = lambda request: 3.0
    await end
    for one in world.servers:
        one.factor = model.usual


async def mixed(world, server, end) -> None:
    """Let long tails, bursts, pauses and a slow customer come and go."""
    rng = random.Random(world.rng.random())
    state = {'slow': False}
    big = model.CUSTOMERS[0]

    def factor(request):
        slow = SLOW if state['slow'] and request.customer == big else 1.0
        return slow * (TAIL if rng.random() < TAIL_SHARE / 2 else 1.0)

    for one in world.servers:
        one.factor = factor
    while not end.done():
        kind = rng.choice(('burst', 'pause', 'customer', 'quiet'))
        world.rate_factor = 4.0 if kind == 'burst' else 1.0
        state['slow'] = kind == 'customer'
        if kind == 'pause':
            await pause_node(world, rng.uniform(0.2, 1.5))
        lasts = 1.0 if kind == 'burst' else rng.uniform(2.0, 12.0)
        await asyncio.wait([end], timeout=lasts)
    world.rate_factor = 1.0
    for one in world.servers:
        one.factor = model.usual


# Faults of an upstream for every caller: it ought to be ejected.
GRAY: dict[str, Fault] = {
    'hang': hang,
    'slow': slow,
    'errors': errors,
    'failing': failing,
}
# Faults for some callers only, or now and then.
PARTIAL: dict[str, Fault] = {
    'customer': slow_customer,
    'path': path,
    'data-centre': data_centre,
    'flapping': flapping,
}
# Nothing is wrong with any upstream, whatever it looks like.
NOISE: dict[str, Fault] = {
    'silent': silent,
    'cold-start': cold_start,
    'pause': pause,
    'burst': burst,
    'tails': tails,
    'customer-everywhere': customer,
    'all-slow': everything_slow,
    'mixed': mixed,
}
