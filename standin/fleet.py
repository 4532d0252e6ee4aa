"""Starts and stops a small fleet on loopback, as separate processes.

For the demo and for experiments.  Nothing here is part of the product: no
process of the product starts another.
"""

import asyncio
import contextlib
import ipaddress
import json
import os
import pathlib
import random
import signal
import socket
import sys
import typing

import aiohttp

from carawaystair import clock
from standin import faults
from standin import runs
from standin import upstream

ROOT = pathlib.Path(__file__).parent.parent
LOOPBACK = ipaddress.ip_network('127.0.0.0/8')
# Below the range that the kernel gives to outgoing connections, so that none
# of them takes a port between its choice and its use.
PORTS = range(20_000, 32_000)
POLL_S = 0.05
CLIENT_TIMEOUT_S = 5.0

NODE = 'node'
CONTROL = 'control'


class Host(typing.NamedTuple):
    """One host of the fleet with its addresses.

    :param name: its name.
    :param data_centre: its data centre.
    :param roles: of its process.
    :param peer: ``ip:port`` for messages and datagrams.
    :param listen: ``ip:port`` for callers.
    :param local: ``ip:port`` of the node's local API.
    :param admin: ``ip:port`` of the administration API.
    :param gateway: ``ip:port`` of the gateway, None where nodes send to
        upstreams directly.
    """

    name: str
    data_centre: str
    roles: tuple[str, ...]
    peer: str
    listen: str
    local: str
    admin: str
    gateway: str | None = None


class Ended(typing.NamedTuple):
    """How a process ended.

    :param name: of the process.
    :param code: its exit code, negative for a signal.
    :param forced: whether it had to be killed.
    """

    name: str
    code: int
    forced: bool

    @property
    def orderly(self) -> bool:
        """Tell whether it stopped by itself and without an error."""
        return self.code == 0 and not self.forced


def own_ip(pid: int) -> str:
    """Return a loopback address that no other live process is given.

    A process binds its port about a second after the port is chosen; on a
    shared address another fleet may take it meanwhile.
    """
    return str(LOOPBACK[1 + pid % (LOOPBACK.num_addresses - 2)])


def free_address(
    rng: random.Random, taken: set[str], ip: str = '127.0.0.1'
) -> str:
    """Return an ``ip:port`` free for TCP and UDP, and add it to ``taken``."""
    while True:
        port = rng.choice(PORTS)
        address = '%s:%d' % (ip, port)
        if address not in taken and _free(ip, port):
            taken.add(address)
            return address


def _free(ip: str, port: int) -> bool:
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    try:
        for kind in kinds:
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((ip, port))
    except OSError:
        return False
    return True


def ignore_reload() -> None:
    """Protect a process that starts, as docs/operate/install.md asks."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class Fleet:
    """A fleet on loopback.

    :param folder: for settings, logs, data and runs of all processes.
    :param region: the one region of the fleet.
    :param gateways: whether requests go through the node beside their
        upstream.
    """

    def __init__(
        self, folder: pathlib.Path, region: str, gateways: bool = False
    ) -> None:
        self.gateways = gateways
        self.folder = folder
        self.region = region
        self.hosts: dict[str, Host] = {}
        self.upstreams: dict[str, upstream.Options] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ended: list[Ended] = []
        # One record for each start of an upstream.
        self.records: list[pathlib.Path] = []
        # Ports are picked anew in each run: two runs may stand side by side.
        self.random = random.Random()
        self.taken: set[str] = set()
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'Fleet':
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *_error) -> None:
        await self.stop(list(self.processes), patience_s=0.0)
        await self.session.close()

    # Hosts and upstreams

    def address(self) -> str:
        """Return a free address."""
        return free_address(self.random, self.taken, own_ip(os.getpid()))

    def add_host(self, name: str, data_centre: str, *roles: str) -> Host:
        """Add a host; start it with :meth:`start_host`."""
        addresses = [self.address() for _address in range(4)]
        gateway = self.address() if self.gateways else None
        self.hosts[name] = Host(name, data_centre, roles, *addresses, gateway)
        return self.hosts[name]

    def nodes(self) -> list[Host]:
        """Return the hosts with the node role."""
        return [host for host in self.hosts.values() if NODE in host.roles]

    def controls(self) -> list[Host]:
        """Return the hosts with the control role."""
        return [host for host in self.hosts.values() if CONTROL in host.roles]

    def settings(self, host: Host) -> dict:
        """Return the settings of a host."""
        seeds = [node.peer for node in self.nodes() if node != host]
        disk = self.folder / 'data' / host.name
        return {
            'host': host.name,
            'data_centre': host.data_centre,
            'region': self.region,
            'roles': list(host.roles),
            'data_folder': str(disk) if CONTROL in host.roles else None,
            'peer': host.peer,
            'gossip': host.peer,
            'seeds': seeds[:3],
            'control_hosts': [c.peer for c in self.controls()],
            'node': {
                'listen': host.listen,
                'local': host.local,
                'gateway': host.gateway,
            },
            'control': {
                'admin': host.admin,
                'voters': [
                    {'name': c.name, 'peer': c.peer} for c in self.controls()
                ],
            },
        }

    async def start_host(self, name: str) -> None:
        """Start the process of a host."""
        host = self.hosts[name]
        file = self.folder / ('%s.json' % name)
        file.write_text(json.dumps(self.settings(host), indent=1))
        await self.start(name, 'carawaystair.start', '--settings', str(file))

    async def start_upstream(
        self, service: str, id: str, host: str, **fields
    ) -> upstream.Options:
        """Start a stand-in upstream beside the node of a host."""
        options = upstream.Options(
            service,
            id,
            self.address(),
            host,
            announce=self.hosts[host].local,
            **fields,
        )
        return await self.start_again(options)

    async def start_again(self, options: upstream.Options) -> upstream.Options:
        """Start a stand-in upstream, perhaps not for the first time."""
        id = options.id
        file = self.folder / ('%s-%d.runs' % (id, len(self.records)))
        self.records.append(file)
        options = options._replace(record=str(file))
        self.upstreams[id] = options
        words = [
            '--%s=%s' % (name.replace('_', '-'), value)
            for name, value in options._asdict().items()
        ]
        await self.start(id, 'standin.upstream', *words)
        return options

    # Processes

    async def start(self, name: str, module: str, *words: str) -> None:
        """Start a process; what it writes goes to a file of its name."""
        with self.log(name).open('ab') as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *words,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                preexec_fn=ignore_reload,
            )

    def log(self, name: str) -> pathlib.Path:
        """Return the file with what a process wrote."""
        return self.folder / ('%s.log' % name)

    def signal(self, name: str, number: int = signal.SIGTERM) -> None:
        """Send a signal to one process, unless it has ended just now."""
        with contextlib.suppress(ProcessLookupError):
            self.processes[name].send_signal(number)

    async def wait(self, name: str, patience_s: float) -> Ended:
        """Wait for the end of a process; kill it when it takes too long."""
        process = self.processes[name]
        forced = False
        try:
            await asyncio.wait_for(process.wait(), patience_s)
        except asyncio.TimeoutError:
            forced = True
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        del self.processes[name]
        ended = Ended(name, process.returncode, forced)
        self.ended.append(ended)
        return ended

    async def stop(
        self, names: typing.Sequence[str], patience_s: float
    ) -> list[Ended]:
        """Stop processes by SIGTERM, all at once."""
        for name in names:
            self.signal(name)
        waits = (self.wait(name, patience_s) for name in names)
        return list(await asyncio.gather(*waits))

    # Questions

    async def get(self, address: str, path: str) -> typing.Any:
        """Return the JSON answer of an address."""
        async with self.session.get('http://' + address + path) as response:
            response.raise_for_status()
            return await response.json()

    async def status(self, host: Host) -> dict | None:
        """Return a node's status, None while it does not answer."""
        try:
            return await self.get(host.local, '/v1/status')
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None

    async def set_faults(self, id: str, new: faults.Faults) -> None:
        """Let an upstream show faults."""
        url = 'http://%s/standin/faults' % self.upstreams[id].address
        async with self.session.put(url, json=new._asdict()) as response:
            response.raise_for_status()

    def runs(self) -> list[runs.Run]:
        """Return the runs of all upstreams that have ended."""
        return [
            run
            for file in self.records
            if file.exists()
            for run in runs.load(file.read_bytes())
        ]

    async def until(
        self,
        condition: typing.Callable[[], typing.Awaitable[bool]],
        what: str,
        patience_s: float,
    ) -> float:
        """Ask until a condition holds.

        :return: how long that took, in seconds.
        :raises TimeoutError: naming ``what`` never came.
        """
        begin = clock.now()
        while not await condition():
            if clock.now() - begin > patience_s:
                raise TimeoutError('%s: not within %g s' % (what, patience_s))
            await asyncio.sleep(POLL_S)
        return clock.now() - begin
