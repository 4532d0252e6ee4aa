"""The registry: announcements of the upstreams on this host, as leases.

An upstream announces itself to the node of its host and renews that lease.
Renewals stay here; only changes go into the host's record.
"""

import asyncio
import typing

import expression
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.membership import bounds
from carawaystair.membership import lifetimes
from carawaystair.membership import messages
from carawaystair import settings
from carawaystair import shape

MAX_UPSTREAMS = 256
MAX_NAME = bounds.MAX_NAME
MAX_SLOTS = bounds.MAX_SLOTS
MAX_WEIGHT = bounds.MAX_WEIGHT
MAX_WARMUP_S = bounds.MAX_WARMUP_S
# Expired leases are looked for this often, in seconds.
SWEEP_S = 0.5


class Announcement(typing.NamedTuple):
    """What an upstream says of itself, see docs/API-node.md.

    :param service: the service that it runs.
    :param address: ``ip:port`` that takes requests.
    :param slots: requests that it works on at once.
    :param weight: share of work relative to its siblings.
    :param warmup_s: seconds from its start until it carries full load.
    :param state: ``up``, ``draining`` or ``gone``.
    :param incarnation: grows with every start of the upstream; 0 leaves it
        to the node.
    """

    service: str
    address: str
    slots: int
    weight: float = 1.0
    warmup_s: float = 0.0
    state: typing.Literal['up', 'draining', 'gone'] = interfaces.UP
    incarnation: int = 0


class Lease(typing.NamedTuple):
    """An announcement that holds until a time.

    :param announcement: the announcement, its incarnation filled in.
    :param until: monotonic time at which it ends unless renewed.
    :param sequence: the record's sequence at its last change.
    """

    announcement: Announcement
    expires_at: float
    sequence: int


def _nobody(_service: str, _name: str) -> int:
    """Stand in until somebody knows of upstreams elsewhere."""
    return 0


class Registry(mode.Service):
    """The leases of this host's upstreams.

    :param lease_s: seconds that an announcement holds.
    :param publish: called after every change that others must know; returns
        the sequence of the next record.
    :param gateway: the address that others send work for these upstreams
        to; None for the upstreams' own addresses.
    """

    def __init__(
        self,
        lease_s: float,
        publish: typing.Callable[[bool], None],
        gateway: str | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.lease_s = lease_s
        self.publish = publish
        self.gateway = gateway
        # Called with each id whose announcement changed here.
        self.callbacks: list[typing.Callable[[str], None]] = []
        # While the host's process stops, none of them gets new work.
        self.closing = False
        self.leases: dict[str, Lease] = {}
        # Upstreams that left, and until when an announcement without a
        # newer incarnation is refused.
        self.departed: dict[str, Lease] = {}
        self.lifetimes = lifetimes.Lifetimes()
        # Returns the newest incarnation of an upstream of a service that
        # the fleet knows of.
        self.elsewhere: typing.Callable[[str, str], int] = _nobody
        self.sequence = 0

    def announce(
        self,
        name: str,
        announcement: Announcement,
        wall_ms: int,
        number: int = 0,
    ) -> expression.Result[Announcement, codes.Failure]:
        """Take an announcement or a renewal.

        :param name: id of the upstream.
        :param wall_ms: becomes the incarnation where none is given.
        :param number: grows with each announcement of an upstream, so that
            one that was delayed is told; 0 where they bear none.
        """
        wrong = _wrong(name, announcement, number)
        if wrong:
            return codes.fail(codes.ANNOUNCEMENT_INVALID, wrong)
        known = self.leases.get(name) or self.departed.get(name)
        if known is None and len(self.leases) >= MAX_UPSTREAMS:
            return codes.fail(codes.TOO_MANY_UPSTREAMS, name)
        if not announcement.incarnation:
            # Without one, only the number tells what is late.
            if 0 < number < self.lifetimes.number(name):
                return codes.fail(codes.ANNOUNCEMENT_OLD, name)
            started = (
                known.announcement.incarnation
                if known
                else self.lifetimes.next(name, wall_ms)
            )
            announcement = announcement._replace(incarnation=started)
        if self._old(name, announcement, number):
            return codes.fail(codes.ANNOUNCEMENT_OLD, name)
        self._supersede(name, announcement)
        self._note(name, announcement, number)
        self._store(name, announcement)
        return expression.Ok(announcement)

    def _old(self, name: str, said: Announcement, number: int) -> bool:
        """Tell whether an announcement is older than what is known."""
        if self.lifetimes.newer(name, said.incarnation, number, said.state):
            return True
        if name in self.leases:
            return False
        if self.elsewhere(said.service, name) > said.incarnation:
            # The newer life announces itself at another host.
            return True
        return said.state != interfaces.GONE and any(
            lease.announcement.incarnation > said.incarnation
            for lease in self._rivals(name, said).values()
        )

    def _note(self, name: str, said: Announcement, number: int) -> None:
        until = clock.now() + lifetimes.REMEMBER_S
        self.lifetimes.note(name, said.incarnation, number, said.state, until)

    def _rivals(self, name: str, said: Announcement) -> dict[str, Lease]:
        """Return the leases of others at the same address.

        Behind a gateway, where an address belongs to one upstream at a time.
        """
        if self.gateway is None:
            return {}
        return {
            other: lease
            for other, lease in self.leases.items()
            if other != name and lease.announcement.address == said.address
        }

    def _supersede(self, name: str, said: Announcement) -> None:
        """End the leases of others at the same address behind a gateway.

        An upstream that crashed says nothing.  Its successor at its address
        has another id; until the old lease ended by itself, half of the work
        would be meant for an upstream that is gone.
        """
        self._end(self._rivals(name, said))

    def moved(self, upstream: interfaces.Upstream) -> None:
        """End the lease of a life that is over: its id goes on elsewhere.

        :param upstream: as the directory has it.
        """
        lease = self.leases.get(upstream.id)
        if lease is None:
            return
        if upstream.incarnation > lease.announcement.incarnation:
            self._end([upstream.id])

    def withdraw(self, names: typing.Collection[str]) -> None:
        """End leases that were no upstream's own, as if they had expired."""
        self._end([name for name in names if name in self.leases])

    def _end(self, names: typing.Collection[str]) -> None:
        """End leases whose upstreams are gone without a word."""
        if not names:
            return
        for name in names:
            del self.leases[name]
        self.sequence += 1
        for name in names:
            self._tell(name)
        self.publish(True)

    def drain_all(self) -> None:
        """Announce all upstreams as leaving: this host's process stops."""
        self.closing = True
        self.sequence += 1
        self.publish(True)

    def _tell(self, name: str) -> None:
        for callback in self.callbacks:
            callback(name)

    def remove(
        self, name: str, incarnation: int = 0
    ) -> expression.Result[None, codes.Failure]:
        """Take the leave of an upstream; unknown ones have left already.

        A leave may overtake the announcements of its life, the first ones
        too: it is remembered also where nothing stands that it could end.

        :param incarnation: the life that leaves; 0 for the one that stands.
        """
        lease = self.leases.get(name)
        gone = interfaces.GONE
        remember_s = lifetimes.REMEMBER_S
        if not incarnation:
            if lease is None:
                return expression.Ok(None)
            incarnation = lease.announcement.incarnation
            # It may be a late one of a former life; the one that stands then
            # goes on announcing itself, and is not kept out for longer.
            remember_s = self.lease_s
        if not bounds.number_ok(incarnation):
            return codes.fail(codes.ANNOUNCEMENT_INVALID, 'incarnation')
        if not bounds.name_ok(name):
            return codes.fail(codes.ANNOUNCEMENT_INVALID, 'id')
        if self.lifetimes.newer(name, incarnation, 0, gone):
            return codes.fail(codes.ANNOUNCEMENT_OLD, name)
        until = clock.now() + remember_s
        self.lifetimes.note(name, incarnation, 0, gone, until)
        if lease is not None:
            said = lease.announcement._replace(
                state=gone, incarnation=incarnation
            )
            self._store(name, said)
        return expression.Ok(None)

    def rows(self) -> tuple[messages.Row, ...]:
        """Return the rows of the record."""
        return tuple(
            _row(name, lease, self.gateway, self.closing)
            for name, lease in sorted(self.leases.items())
        )

    @mode.Service.task
    async def _sweep(self) -> None:
        """End the leases that were not renewed."""
        last = clock.now()
        while not self.should_stop:
            await asyncio.sleep(SWEEP_S)
            now = clock.now()
            self.expire(now, now - last - SWEEP_S)
            last = now

    def expire(self, now: float, late: float) -> None:
        """End old leases.

        A process that stood still for some seconds finds every lease ended
        at once, though the upstreams renewed in vain.  The time that it
        stood still is therefore added to each lease.

        :param now: monotonic time.
        :param late: seconds by which this call comes late.
        """
        if late > SWEEP_S:
            self.leases = {
                name: lease._replace(expires_at=lease.expires_at + late)
                for name, lease in self.leases.items()
            }
        ended = [
            n for n, lease in self.leases.items() if lease.expires_at <= now
        ]
        self._end(ended)
        old = [
            n for n, lease in self.departed.items() if lease.expires_at <= now
        ]
        for name in old:
            del self.departed[name]
        self.lifetimes.forget(now, self.leases)

    def _store(self, name: str, announcement: Announcement) -> None:
        until = clock.now() + self.lease_s
        known = self.leases.get(name)
        if known is not None and known.announcement == announcement:
            self.leases[name] = known._replace(expires_at=until)
            return
        if announcement.state == interfaces.GONE:
            self.leases.pop(name, None)
            self.departed[name] = Lease(announcement, until, self.sequence)
            if len(self.departed) > MAX_UPSTREAMS:
                del self.departed[next(iter(self.departed))]
        else:
            self.departed.pop(name, None)
        if announcement.state == interfaces.GONE and known is None:
            return
        self.sequence += 1
        if announcement.state != interfaces.GONE:
            self.leases[name] = Lease(announcement, until, self.sequence)
        self._tell(name)
        # Leaving can't wait for others; arriving can.
        self.publish(announcement.state != interfaces.UP)


def _row(
    name: str, lease: Lease, gateway: str | None, closing: bool
) -> messages.Row:
    said = lease.announcement
    state = interfaces.DRAINING if closing else said.state
    return messages.Row(
        name,
        said.service,
        gateway or said.address,
        said.slots,
        round(said.weight * messages.MILLI),
        round(said.warmup_s * messages.MILLI),
        messages.STATES.index(state),
        said.incarnation,
        lease.sequence,
    )


def _wrong(name: str, said: Announcement, number: int) -> str:
    """Return what is wrong with an announcement, or nothing."""
    checks = (
        (bounds.name_ok(name), 'id'),
        (bounds.name_ok(said.service), 'service'),
        (bounds.number_ok(number), 'number'),
        (settings.address_ok(said.address), 'address: no IP number and port'),
        (0 < said.slots <= MAX_SLOTS, 'slots: 1 to %d' % MAX_SLOTS),
        (
            1 / messages.MILLI <= said.weight <= MAX_WEIGHT,
            'weight: 0.001 to %d' % MAX_WEIGHT,
        ),
        (
            0 <= said.warmup_s <= MAX_WARMUP_S,
            'warmup_s: 0 to %d' % MAX_WARMUP_S,
        ),
        (bounds.number_ok(said.incarnation), 'incarnation'),
    )
    return ', '.join(text for fine, text in checks if not fine)


def read(
    value,
) -> expression.Result[Announcement, codes.Failure]:
    """Check the decoded JSON of an announcement."""
    mistakes: list[shape.Mistake] = []
    announcement = shape.build(Announcement, value, '$', mistakes)
    if mistakes:
        text = '; '.join(str(mistake) for mistake in mistakes)
        return codes.fail(codes.ANNOUNCEMENT_INVALID, text)
    return expression.Ok(announcement)
