"""CONFIG: downloads are held beyond their route's time on silent connections.

Servers stream long answers.  Then the connections between the gateways and
the servers go silent: they stay open, and nothing arrives on them any more.
Nothing ends the answers at the route's timeout, nor at the time budget of the
clients: the clients get neither the rest nor an end.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import fleet as fleets  # noqa: E402

TIMEOUT_S = 6.0
BUDGET_S = 8.0
SLACK_S = 0.5
REQUESTS = 12
# Fewer and smaller share than this break no rule.
MIN_COUNT = 8
MIN_SHARE = 0.25
# The answers come in pieces, in all within a second.
PIECES = 20
PIECE = b'x' * 16 * 1024
PIECE_S = 0.05
SILENT_AFTER_S = 0.6
SERVER_PORT = 8698
ROUTES = {
    'r-bundles': {
        'host': 'docs.example',
        'path_prefix': '/bundles/',
        'route_type': 'download',
        'timeout': '%dms' % (TIMEOUT_S * 1000),
        'target_latency': '1500ms',
        'priority': 1,
        'service': 'docvault',
        'max_attempts': 2,
    }
}


class Way:
    """Carries connections to a server; open ones may go silent."""

    def __init__(self, machine):
        self.machine = machine
        self.open = []
        self.silent = []

    async def start(self):
        return await asyncio.start_server(
            self._carry, self.machine.ip, fleets.APP, reuse_address=True
        )

    def silence(self):
        """Let the open connections go silent; new ones work."""
        count = len(self.open)
        for tasks in self.open:
            for task in tasks:
                task.cancel()
        return count

    async def _carry(self, reader, writer):
        server_reader, server_writer = await asyncio.open_connection(
            self.machine.ip, SERVER_PORT
        )
        tasks = [
            asyncio.create_task(copy(reader, server_writer)),
            asyncio.create_task(copy(server_reader, writer)),
        ]
        self.open.append(tasks)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        self.open.remove(tasks)
        if any(task.cancelled() for task in tasks):
            # Silent for good: neither end sees the other's close.
            self.silent.append((writer, server_writer))
            return
        writer.close()
        server_writer.close()


async def copy(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass


async def stream(run, writer):
    """Answer with a long body, in pieces."""
    writer.write(fleets.head(run, PIECES * len(PIECE)))
    for _number in range(PIECES):
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(PIECE_S)
    return True


async def download(record, machine, number):
    """Ask for one download; return how long it took to end, and whether it
    has arrived whole.
    """
    began = record.now()
    answer = await fleets.request(
        machine.address(fleets.OUTBOUND),
        'GET',
        '/bundles/%d' % number,
        [
            ('Host', 'docs.example'),
            ('X-Request-Id', 'bundle-%d' % number),
            ('X-Deadline-Ms', '%d' % (BUDGET_S * 1000)),
        ],
        b'',
        BUDGET_S,
    )
    took_s = record.now() - began
    record.add(
        'client: bundle-%d -> %d, %s, %d bytes, after %.2f s %s',
        number,
        answer.status,
        'whole' if answer.complete else 'not whole',
        len(answer.body),
        took_s,
        answer.why,
    )
    return took_s


async def case(record, trouble):
    """Play the case; return a sentence for each breach."""
    services = ['portal', 'docvault', 'docvault', 'docvault']
    async with fleets.Fleet(record, services) as fleet:
        servers = [fleet.server(machine) for machine in fleet.sidecars[1:]]
        ways = [Way(server.machine) for server in servers]
        listeners = [await way.start() for way in ways]
        for server in servers:
            server.work = stream
            await server.start(SERVER_PORT)
        await fleet.configure(ROUTES, set(services))
        await fleet.wait_ready()
        # All machines are in touch, and stay so but for the disruption.
        await asyncio.sleep(4.0)
        tasks = [
            asyncio.create_task(download(record, fleet.sidecars[0], number))
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(SILENT_AFTER_S)
        if trouble:
            count = sum(way.silence() for way in ways)
            record.add('network: %d connections go silent', count)
        took = await asyncio.gather(*tasks)
        for listener in listeners:
            listener.close()
        longer = [took_s for took_s in took if took_s > TIMEOUT_S]
        held = [took_s for took_s in longer if took_s > TIMEOUT_S + SLACK_S]
        if len(held) < MIN_COUNT or len(held) <= MIN_SHARE * len(longer):
            return []
        return [
            'CONFIG: of %d requests that lasted longer than %g s, %d had no '
            'final answer %.1f s later; they ended after %.2f s or more'
            % (len(longer), TIMEOUT_S, len(held), SLACK_S, min(held))
        ]


sys.exit(fleets.run_case(case, FOLDER))
