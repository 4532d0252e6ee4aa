"""An acknowledged departure is forgotten when many processes are killed."""

import asyncio
import json
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness2'))

import fleet  # noqa: E402

HOST = 'h.example'
SERVICE = 'alpha'
DRAIN_S = 2.0
CONTACT_S = 3.0
# Time that a request may take from its sender to the server.
TRANSIT_S = 0.3
# How late the last check-in of the server arrives.
LATE_S = 3.0
# How long the server serves after its departure was acknowledged.
SERVES_S = 9.0
ROUNDS = 2


async def load(record, machines, until):
    """Send safe requests at a steady rate."""
    loop = asyncio.get_running_loop()
    tasks = set()
    number = 0
    while loop.time() < until:
        machine = machines[number % len(machines)]
        number += 1
        name = fleet.new_id()
        data = fleet.request_bytes('GET', HOST, '/a/x', name)
        task = asyncio.create_task(fleet.ask(record, machine, data, name))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def leave(deployment, node, server, trouble):
    """Let a server leave; return the times that matter.

    :return: when its departure was acknowledged, and since when the node
        beside it is in touch again.
    """
    loop = asyncio.get_running_loop()
    record = deployment.record
    server.beats.cancel()
    # The last check-in is sent now and arrives late.
    late = json.dumps(server.heartbeat('ready')).encode()
    path = '/carawaystair/instances/' + server.id
    sent_at = loop.time()
    status = 0
    while status != 200:
        status, _data = await fleet.call(node.control, 'DELETE', path)
        if loop.time() > sent_at + 5:
            raise RuntimeError('the departure was not acknowledged')
    acknowledged = loop.time()
    record.write('%s has left: 200' % server.id)
    in_touch = acknowledged
    if trouble:
        await asyncio.sleep(0.3)
        node.kill()
        for core in deployment.cores:
            core.kill()
        await asyncio.sleep(0.5)
        for core in deployment.cores:
            core.start()
        node.start()
        in_touch = loop.time() + CONTACT_S
    await asyncio.sleep(max(sent_at + LATE_S - loop.time(), 0))
    status = 0
    while status == 0 and loop.time() < sent_at + LATE_S + 2:
        status, _data = await fleet.call(node.control, 'PUT', path, late)
        record.write('late check-in of %s: %d' % (server.id, status))
    return acknowledged, in_touch


async def one_round(record, deployment, servers, trouble):
    """Let one server leave under load; return whether the rule held."""
    loop = asyncio.get_running_loop()
    node, server = deployment.nodes[1], servers[1]
    others = [deployment.nodes[0], deployment.nodes[2]]
    until = loop.time() + SERVES_S + 1
    traffic = asyncio.create_task(load(record, others, until))
    await asyncio.sleep(1)
    acknowledged, in_touch = await leave(deployment, node, server, trouble)
    since = max(acknowledged + DRAIN_S, in_touch) + TRANSIT_S
    await asyncio.sleep(max(acknowledged + SERVES_S - loop.time(), 0))
    await server.stop()
    await traffic
    late = [run for run in server.runs if run[0] > since]
    record.write(
        '%s ran %d requests later than drain after the ack, by machines in '
        'touch, up to %.1f s after it'
        % (
            server.id,
            len(late),
            max((run[0] - acknowledged for run in late), default=0.0),
        )
    )
    servers[1] = fleet.Server(deployment, node)
    await servers[1].start()
    return not late


async def case(record, trouble):
    """Return whether the rule held."""
    deployment = fleet.Fleet(record, [SERVICE] * 3, fleet.ZONES[:1])
    servers = [fleet.Server(deployment, node) for node in deployment.nodes]
    try:
        deployment.start()
        for server in servers:
            await server.start()
        resources = [
            fleet.route('r-1', HOST, '/a/', 'safe', SERVICE),
            fleet.service(SERVICE),
        ]
        status = await deployment.operate(
            'PUT', fleet.configuration(5, 0, resources), timeout=20
        )
        if status != 200:
            raise RuntimeError('no configuration')
        await deployment.wait_ready()
        await asyncio.sleep(4)
        held = []
        for _number in range(ROUNDS):
            held.append(await one_round(record, deployment, servers, trouble))
            await asyncio.sleep(5)
    finally:
        for server in servers:
            await server.stop()
        deployment.stop()
    return all(held)


fleet.main(FOLDER, case, os.environ.get('TROUBLE') != '0')
