"""Sets up a fleet that serves: hosts, upstreams, a manifest in force."""

import asyncio
import json
import sys
import typing

import aiohttp

from standin import fleet as fleets

MANIFEST = fleets.ROOT / 'examples' / 'reykjavik' / 'manifest.json'
READY_S = 20.0
IN_FORCE_S = 9.0
PATIENCE_S = 8.0


class Crew(typing.NamedTuple):
    """The upstreams of one service.

    :param service: name of the service.
    :param count: how many upstreams.
    :param fields: further fields of ``upstream.Options``.
    """

    service: str
    count: int
    fields: dict[str, typing.Any] = {}


class Stage:
    """A fleet with a node in each data centre of a manifest.

    :param fleet: an empty fleet.
    :param crews: the upstreams, spread over the nodes.
    :param document: the manifest, decoded; Reykjavik's by default.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        crews: typing.Sequence[Crew],
        document: dict | None = None,
    ) -> None:
        self.fleet = fleet
        self.crews = crews
        self.accepted = ''
        self.document = document or json.loads(MANIFEST.read_text())

    async def start(self, controls: int = 1) -> None:
        """Start every process and put the manifest in force.

        :param controls: number of control hosts.
        """
        region, place = next(iter(self.document['regions'].items()))
        self.fleet.region = region
        centres = place['data_centres']
        for number, centre in enumerate(centres[:controls], 1):
            name = 'control-%d' % number
            self.fleet.add_host(name, centre, fleets.CONTROL)
        for number, centre in enumerate(centres, 1):
            self.fleet.add_host('node-%d' % number, centre, fleets.NODE)
        for name in self.fleet.hosts:
            await self.fleet.start_host(name)
        await self.start_upstreams()
        await self.fleet.until(self.has_control, 'the admin API', READY_S)
        await self.fleet.until(self.first, 'the first version', READY_S)
        await self.fleet.until(self.ready, 'all nodes ready', READY_S)

    async def start_upstreams(self) -> None:
        """Start the upstreams, spread over the nodes."""
        nodes = [host.name for host in self.fleet.nodes()]
        named = (
            (crew, '%s-%d' % (crew.service, number))
            for crew in self.crews
            for number in range(1, crew.count + 1)
        )
        for place, (crew, id) in enumerate(named):
            host = nodes[place % len(nodes)]
            await self.fleet.start_upstream(
                crew.service, id, host, **crew.fields
            )

    async def has_control(self) -> bool:
        """Tell whether the administration API answers."""
        try:
            await self.fleet.get(self.fleet.controls()[0].admin, '/v1/status')
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return False
        return True

    async def ready(self) -> bool:
        """Tell whether each node is ready and knows every upstream."""
        statuses = [await self.fleet.status(n) for n in self.fleet.nodes()]
        return all(status and self.complete(status) for status in statuses)

    def complete(self, status: dict) -> bool:
        """Tell whether a node is ready and knows every upstream."""
        known = {
            service['name']: len(service['upstreams'])
            for service in status['services']
        }
        expected = {crew.service: crew.count for crew in self.crews}
        return status['ready'] and expected.items() <= known.items()

    async def first(self) -> bool:
        """Submit the manifest, unless control has no leader yet."""
        # An answer may be lost; the manifest is then in force already.
        for parent in ('none', 'current'):
            try:
                self.accepted = await self.submit(parent)
                return True
            except OSError:
                continue
        return False

    async def submit(
        self, parent: str, control: fleets.Host | None = None
    ) -> str:
        """Submit the manifest by the command-line tool.

        :param parent: as the tool takes it, such as ``current``.
        :param control: the control host to ask; the first one by default.
        :return: the version accepted.
        :raises OSError: with what the tool said, when it was refused.
        """
        control = control or self.fleet.controls()[0]
        file = self.fleet.folder / 'manifest.json'
        file.write_text(json.dumps(self.document))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *('-m', 'carawaystair.ui.main', 'submit', str(file)),
            *('--parent', parent, '--json'),
            *('--api', 'http://' + control.admin),
            cwd=fleets.ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, errors = await process.communicate()
        if process.returncode:
            raise OSError('submit failed: %s' % errors.decode())
        return json.loads(out)['version']

    async def in_force(self, version: str) -> float:
        """Wait until a version is in force at every node.

        :return: how long that took, in seconds.
        """

        async def _everywhere() -> bool:
            nodes = self.fleet.nodes()
            statuses = [await self.fleet.status(node) for node in nodes]
            return all(s and s['version'] == version for s in statuses)

        what = 'version %s at every node' % version
        return await self.fleet.until(_everywhere, what, IN_FORCE_S)

    async def stop(self) -> None:
        """Stop everything by SIGTERM: upstreams, nodes, control."""
        upstreams = list(self.fleet.upstreams)
        nodes = [host.name for host in self.fleet.nodes()]
        controls = [host.name for host in self.fleet.controls()]
        others = set(self.fleet.processes).difference(
            upstreams, nodes, controls
        )
        for names in (upstreams, nodes, controls, others):
            running = [n for n in names if n in self.fleet.processes]
            await self.fleet.stop(running, PATIENCE_S)
