"""DRAIN: a server that has left gets requests again after a late check-in.

The node beside a server is stopped and started again.  The first check-in
that the server then sends is late.  Meanwhile the server leaves: it takes its
check-ins back, and the node acknowledges that.  The node has no entry of the
server and remembers nothing, so the late check-in makes the server ready
again, and it gets requests until that entry expires.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import fleet as fleets  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
# By how much the check-in is late.
LATE_S = 2.5
# How long the server goes on serving after its DELETE was acknowledged.
SERVES_ON_S = 6.0
PROXY_PORT = 8700
CLIENTS = 10
ROUTES = {
    name: {
        'host': 'claims.example',
        'path_prefix': '/%s/' % name,
        'route_type': kind,
        'timeout': '5000ms',
        'target_latency': '1500ms',
        'priority': 1,
        'service': 'settlement',
        'max_attempts': 2,
    }
    for name, kind in (('status', 'safe'), ('payout', 'unsafe'))
}


class Way:
    """Carries the calls of a server to its node; may hold check-ins up."""

    def __init__(self, record, machine):
        self.record = record
        self.machine = machine
        self.holds_s = 0.0
        self.address = '%s:%d' % (machine.ip, PROXY_PORT)
        self.arrived = asyncio.Event()

    async def start(self):
        return await asyncio.start_server(
            self._carry, self.machine.ip, PROXY_PORT, reuse_address=True
        )

    async def _carry(self, reader, writer):
        try:
            first, headers = await fleets.read_head(reader)
            size = int(headers.get('content-length', 0))
            body = await reader.readexactly(size)
            method, path, _version = first.split()
            held_s, self.holds_s = self.holds_s, 0.0
            if held_s:
                self.record.add('way: holds a check-in for %g s', held_s)
                await asyncio.sleep(held_s)
            answer = await fleets.request(
                self.machine.address(fleets.CONTROL),
                method,
                path,
                [('Host', 'node'), ('Content-Type', 'application/json')],
                body,
                1.0,
            )
            if held_s:
                self.record.add('way: late check-in -> %d', answer.status)
                self.arrived.set()
            if answer.complete:
                text = 'HTTP/1.1 %d Late\r\nContent-Length: 0\r\n\r\n'
                writer.write((text % answer.status).encode())
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def client(record, machine, number, until, outcomes):
    """Send one request after the other, safe and unsafe ones by turns."""
    count = 0
    while record.now() < until:
        count += 1
        kind = 'payout' if number % 2 else 'status'
        name = '%s-%d-%d' % (kind, number, count)
        answer = await fleets.request(
            machine.address(fleets.OUTBOUND),
            'POST' if kind == 'payout' else 'GET',
            '/%s/%s' % (kind, name),
            [
                ('Host', 'claims.example'),
                ('X-Request-Id', name),
                ('X-Deadline-Ms', '5000'),
            ],
            b'pay once' if kind == 'payout' else b'',
            5.0,
        )
        outcomes[name] = answer.status
        if answer.status != 200:
            record.add('client: %s -> %d %s', name, answer.status, answer.why)
            await asyncio.sleep(0.1)


async def left(record, server, way, trouble):
    """Let a server leave; return when that was acknowledged."""
    machine = server.machine
    started = -CONTACT_S
    if trouble:
        await machine.restart()
        started = record.now()
        way.holds_s = LATE_S
        while way.holds_s:
            await asyncio.sleep(0.05)
        # The response to the check-in does not come within a second.
        await asyncio.sleep(1.0)
    status = await server.leave()
    acked = record.now()
    record.add('server %s: DELETE -> %d', server.id, status)
    if status != 200:
        raise fleets.CannotRun('the DELETE was not acknowledged')
    return acked, started


async def case(record, trouble):
    """Play the case; return a sentence for each breach."""
    services = ['portal', 'settlement', 'settlement']
    async with fleets.Fleet(record, services) as fleet:
        servers = [fleet.server(machine) for machine in fleet.sidecars]
        leaver = servers[1]
        way = Way(record, leaver.machine)
        leaver.control = way.address
        listener = await way.start()
        for server in servers:
            await server.start()
        await fleet.configure(ROUTES, set(services))
        await fleet.wait_ready()
        await asyncio.sleep(2 * fleets.BEAT_S)
        until, outcomes = record.now() + 25.0, {}
        clients = [
            asyncio.create_task(
                client(record, fleet.sidecars[0], n, until, outcomes)
            )
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(2.0)
        acked, started = await left(record, leaver, way, trouble)
        await asyncio.sleep(acked + SERVES_ON_S - record.now())
        leaver.stop()
        record.add('server %s: exits', leaver.id)
        await asyncio.gather(*clients)
        listener.close()
        counts_from = max(acked + DRAIN_S, started + CONTACT_S)
        late = [run for run in leaver.runs if run.at > counts_from]
        lost = [
            name
            for name, status in outcomes.items()
            if name.startswith('payout') and status in (0, 502, 504)
        ]
        record.add('unsafe requests without a clear outcome: %d', len(lost))
        if not late:
            return []
        return [
            'DRAIN: %d requests reached the server later than %.1f s after '
            'the ack, the last after %.2f s'
            % (len(late), counts_from - acked, late[-1].at - acked)
        ]


# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get('TROUBLE') != '0'

sys.exit(fleets.run_case(case, FOLDER, TROUBLE))
