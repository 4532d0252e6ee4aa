"""MIXED: pipelined requests get each other's answers.

Clients send a lookup and, before it has been answered, a download on the same
connection.  If the second request arrives while the node is just about to
take the first one from its queue, the node starts the first one as if it were
a later one, and answers the second one before it.
"""

import asyncio
import collections
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import fleet as fleets  # noqa: E402

CLIENTS = 8
ROUNDS_S = 10.0
PAIRS_PER_CONNECTION = 20
BUDGET_MS = 8000
SLOTS = 20
WORK_S = 0.02
KINDS = {'status': 'safe', 'bundle': 'download'}
ROUTES = {
    'r-%s' % name: {
        'host': 'portal.example',
        'path_prefix': '/%s/' % name,
        'route_type': kind,
        'timeout': '%dms' % BUDGET_MS,
        'target_latency': '1500ms',
        'priority': 1,
        'service': 'portal',
        'max_attempts': 2,
    }
    for name, kind in KINDS.items()
}


def encode(kind, name):
    """Return the bytes of one request."""
    text = (
        'GET /%s/%s HTTP/1.1\r\nHost: portal.example\r\n'
        'X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n'
    )
    return (text % (kind, name, name, BUDGET_MS)).encode()


class Client:
    """Sends pairs of requests on kept connections.

    :param pipelines: whether it sends the second request of a pair before
        the first one has been answered.
    """

    def __init__(self, record, machine, number, pipelines, counts):
        self.record = record
        self.machine = machine
        self.number = number
        self.pipelines = pipelines
        self.counts = counts
        self.sent = 0

    async def run(self, until):
        while self.record.now() < until:
            reader, writer = await asyncio.open_connection(
                self.machine.ip, fleets.OUTBOUND
            )
            try:
                for _number in range(PAIRS_PER_CONNECTION):
                    if not await self._pair(reader, writer):
                        break
            except (OSError, asyncio.IncompleteReadError) as error:
                self.counts['connections closed without an answer'] += 1
                self.record.add('client %d: %r', self.number, error)
            finally:
                writer.close()

    async def _pair(self, reader, writer):
        """Send two requests; return whether the connection goes on."""
        names = []
        for kind in KINDS:
            self.sent += 1
            names.append('%s-%d-%d' % (kind, self.number, self.sent))
            writer.write(encode(kind, names[-1]))
            await asyncio.sleep(0)
            if not self.pipelines:
                if not await self._read(reader, names[-1]):
                    return False
        if self.pipelines:
            for name in names:
                if not await self._read(reader, name):
                    return False
        return True

    async def _read(self, reader, name):
        """Read the answer that is due; return whether it may go on."""
        answer = fleets.Answer()
        async with asyncio.timeout(BUDGET_MS / 1000 + 1.0):
            await fleets.read_answer(reader, answer)
        self.counts['answers'] += 1
        got = answer.headers.get('x-request-id')
        if answer.status == 200 and answer.body != b'answer to %b' % (
            name.encode()
        ):
            self.counts['mixed'] += 1
            self.record.add(
                'client %d: %s got the answer to %s: %s',
                self.number,
                name,
                got,
                answer.body.decode(),
            )
        return answer.headers.get('connection') != 'close'


async def case(record, trouble):
    """Play the case; return a sentence for each breach."""
    services = ['portal', 'portal', 'portal']
    async with fleets.Fleet(record, services) as fleet:
        for machine in fleet.sidecars:
            server = fleet.server(machine, slots=SLOTS, work_s=WORK_S)
            await server.start()
        await fleet.configure(ROUTES, set(services))
        await fleet.wait_ready()
        await asyncio.sleep(2 * fleets.BEAT_S)
        counts = collections.Counter()
        until = record.now() + ROUNDS_S
        clients = [
            Client(record, fleet.sidecars[0], number, trouble, counts)
            for number in range(CLIENTS)
        ]
        await asyncio.gather(*(client.run(until) for client in clients))
        record.add('%s', dict(counts))
        if not counts['answers']:
            raise fleets.CannotRun('no request was answered')
        if not counts['mixed']:
            return []
        return [
            'MIXED: %d of %d answers belonged to another request'
            % (counts['mixed'], counts['answers'])
        ]


# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get('TROUBLE') != '0'

sys.exit(fleets.run_case(case, FOLDER, TROUBLE))
