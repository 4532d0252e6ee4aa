"""Straight news for those that send to the upstreams of a host.

A node that begins to send requests to a service registers with the hosts of
its upstreams.  A leave then goes straight to the registered nodes, again and
again until each acknowledges it, beside the flooding that reaches all nodes.
Both ends are bounded; beyond the bound flooding alone does the work.
"""

import asyncio
import collections

import mode

from carawaystair import clock
from carawaystair.membership import directory as directories
from carawaystair.membership import flooding
from carawaystair.membership import messages
from carawaystair.membership import table as tables

# Registered senders at one host; the oldest make room.
MAX_SENDERS = 128
# A registration that is not renewed ends, in seconds.
HOLD_S = 600.0
RENEW_S = HOLD_S / 3
# Registrations sent by one node, at most so many in so much time.
TICK_S = 1.0
MAX_SENT = 20
# A push is sent again in this time, so many times.
RESEND_S = 0.15
TRIES = 12
# Larger records don't fit a datagram and are left to flooding.
MAX_BYTES = 1200


class DirectPush(mode.Service):
    """Registers with others, and pushes to the registered.

    :param table: the table of hosts.
    :param directory: knows the services that this node sends to.
    :param flooder: takes in what others push.
    :param datagrams: the datagrams of this process.
    """

    def __init__(
        self,
        table: tables.Table,
        directory: directories.Directory,
        flooder: flooding.Flooder,
        datagrams,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.directory = directory
        self.flooder = flooder
        self.datagrams = datagrams
        # Address for datagrams and until when its registration holds.
        self.senders: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Hosts that this node registered with, and when.
        self.registered: dict[str, float] = {}
        # Services, and when their hosts are to be looked through again.
        self.renewals: dict[str, float] = {}
        # Senders that have not acknowledged the newest record yet.
        self.waiting: set[str] = set()
        self.pushing: asyncio.Task | None = None
        datagrams.handle(messages.Interest, self._interested)
        datagrams.handle(messages.Push, self._receive)
        datagrams.handle(messages.Pushed, self._acknowledged)

    async def on_stop(self) -> None:
        """End the push that runs."""
        if self.pushing is not None:
            self.pushing.cancel()

    def push(self, record: messages.Record) -> None:
        """Push the own record, in place of an earlier one."""
        if self.pushing is not None:
            self.pushing.cancel()
        now = clock.now()
        self.waiting = {a for a, until in self.senders.items() if until > now}
        if self.waiting and len(record.body) <= MAX_BYTES:
            self.pushing = asyncio.create_task(self._push(record))

    async def _push(self, record: messages.Record) -> None:
        """Send a record until all that wait have acknowledged it."""
        for _try in range(TRIES):
            for address in sorted(self.waiting):
                self.datagrams.send(address, messages.Push(record))
            await asyncio.sleep(RESEND_S)
            if not self.waiting:
                return

    @mode.Service.task
    async def _register(self) -> None:
        """Register with the hosts of the services in use."""
        while not self.should_stop:
            await asyncio.sleep(TICK_S)
            for host in self._due(clock.now()):
                self._send(host)

    def _send(self, host: str) -> None:
        """Register with one host."""
        self.registered.pop(host, None)
        self.registered[host] = clock.now()
        if len(self.registered) > tables.MAX_HOSTS:
            del self.registered[next(iter(self.registered))]
        address = self.table.entries[host].member.gossip
        self.datagrams.send(address, messages.Interest(self.table.host))

    def _due(self, now: float) -> list[str]:
        """Return the hosts to register with now, some of them."""
        used = sorted(self.directory.used)
        due = [name for name in used if self.renewals.get(name, 0.0) <= now]
        hosts: dict[str, None] = {}
        for service in due:
            hosts.update(dict.fromkeys(self._unregistered(service, now)))
            if len(hosts) > MAX_SENT:
                break
            self.renewals[service] = now + RENEW_S
        return list(hosts)[:MAX_SENT]

    def _unregistered(self, service: str, now: float) -> list[str]:
        """Return the hosts of a service that don't know of this node."""
        old = now - RENEW_S
        return [
            host
            for host in self.directory.hosts.get(service, ())
            if host != self.table.host
            and self.registered.get(host, old) <= old
        ]

    def _interested(self, sender: str, interest: messages.Interest) -> None:
        entry = self.table.entries.get(interest.host)
        if entry is None or not entry.up:
            return
        self.senders[sender] = clock.now() + HOLD_S
        self.senders.move_to_end(sender)
        if len(self.senders) > MAX_SENDERS:
            self.senders.popitem(last=False)

    def _receive(self, sender: str, push: messages.Push) -> None:
        self.flooder.accept((push.record,))
        version = push.record.version
        self.datagrams.send(sender, messages.Pushed(*version))

    def _acknowledged(self, sender: str, pushed: messages.Pushed) -> None:
        if pushed == self.table.me.record.version:
            self.waiting.discard(sender)
