"""Direct push of urgent records to the nodes that use a host's upstreams.

A node that begins to send requests to a service registers with the hosts of
its upstreams.  When upstreams drain or leave, the host sends its record
directly to the registered nodes and repeats it until each acknowledges it,
in addition to flooding, which reaches all nodes.  The number of registrations
is bounded on both sides; nodes beyond the bounds rely on flooding.
"""

import asyncio
import collections

import mode

from carawaystair import clock
from carawaystair.membership import directory as directories
from carawaystair.membership import flooding
from carawaystair.membership import messages
from carawaystair.membership import table as tables

# Registered nodes per host; the oldest registration is dropped first.
MAX_SUBSCRIBERS = 128
# Lifetime of a registration that is not renewed, in seconds.
REGISTRATION_S = 600.0
RENEW_S = REGISTRATION_S / 3
# A node sends at most MAX_REGISTRATIONS per REGISTER_INTERVAL_S.
REGISTER_INTERVAL_S = 1.0
MAX_REGISTRATIONS = 20
# Interval and maximum number of sends of a push.
RESEND_S = 0.15
MAX_TRIES = 12
# Larger records don't fit a datagram and are distributed by flooding only.
MAX_RECORD_BYTES = 1200


class DirectPush(mode.Service):
    """Registers with other hosts, and pushes to the nodes registered here.

    :param table: the table of hosts.
    :param directory: lists the services that this node sends requests to.
    :param flooder: accepts the records that other hosts push.
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
        # Expiry time of each registration, by datagram address.
        self.subscribers: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Time at which this node last registered with a host.
        self.registered_at: dict[str, float] = {}
        # Time at which the hosts of a service are to be checked again.
        self.renew_at: dict[str, float] = {}
        # Addresses that have not acknowledged the newest record yet.
        self.unacknowledged: set[str] = set()
        self.push_task: asyncio.Task | None = None
        datagrams.handle(messages.Interest, self._handle_interest)
        datagrams.handle(messages.Push, self._handle_push)
        datagrams.handle(messages.Pushed, self._handle_pushed)

    async def on_stop(self) -> None:
        """Cancel the push in progress."""
        if self.push_task is not None:
            self.push_task.cancel()

    def push(self, record: messages.Record) -> None:
        """Push the own record, and cancel the push of an earlier one."""
        if self.push_task is not None:
            self.push_task.cancel()
        now = clock.now()
        self.unacknowledged = {
            a for a, until in self.subscribers.items() if until > now
        }
        if self.unacknowledged and len(record.body) <= MAX_RECORD_BYTES:
            self.push_task = asyncio.create_task(self._push(record))

    async def _push(self, record: messages.Record) -> None:
        """Send a record repeatedly until all addresses acknowledged it."""
        for _try in range(MAX_TRIES):
            for address in sorted(self.unacknowledged):
                self.datagrams.send(address, messages.Push(record))
            await asyncio.sleep(RESEND_S)
            if not self.unacknowledged:
                return

    @mode.Service.task
    async def _register_periodically(self) -> None:
        """Register with the hosts of all services in use."""
        while not self.should_stop:
            await asyncio.sleep(REGISTER_INTERVAL_S)
            for host in self._due_hosts(clock.now()):
                self._register_with(host)

    def _register_with(self, host: str) -> None:
        """Register this node with one host."""
        self.registered_at.pop(host, None)
        self.registered_at[host] = clock.now()
        if len(self.registered_at) > tables.MAX_HOSTS:
            del self.registered_at[next(iter(self.registered_at))]
        address = self.table.entries[host].member.gossip
        self.datagrams.send(address, messages.Interest(self.table.host))

    def _due_hosts(self, now: float) -> list[str]:
        """Return hosts to register with now, at most MAX_REGISTRATIONS."""
        used = sorted(self.directory.services_in_use)
        due = [name for name in used if self.renew_at.get(name, 0.0) <= now]
        hosts: dict[str, None] = {}
        for service in due:
            hosts.update(dict.fromkeys(self._unregistered(service, now)))
            if len(hosts) > MAX_REGISTRATIONS:
                break
            self.renew_at[service] = now + RENEW_S
        return list(hosts)[:MAX_REGISTRATIONS]

    def _unregistered(self, service: str, now: float) -> list[str]:
        """Return the hosts of a service without a recent registration."""
        old = now - RENEW_S
        return [
            host
            for host in self.directory.hosts_by_service.get(service, ())
            if host != self.table.host
            and self.registered_at.get(host, old) <= old
        ]

    def _handle_interest(
        self, sender: str, interest: messages.Interest
    ) -> None:
        entry = self.table.entries.get(interest.host)
        if entry is None or not entry.up:
            return
        self.subscribers[sender] = clock.now() + REGISTRATION_S
        self.subscribers.move_to_end(sender)
        if len(self.subscribers) > MAX_SUBSCRIBERS:
            self.subscribers.popitem(last=False)

    def _handle_push(self, sender: str, push: messages.Push) -> None:
        self.flooder.accept((push.record,))
        version = push.record.version
        self.datagrams.send(sender, messages.Pushed(*version))

    def _handle_pushed(self, sender: str, pushed: messages.Pushed) -> None:
        if pushed == self.table.own_entry.record.version:
            self.unacknowledged.discard(sender)
