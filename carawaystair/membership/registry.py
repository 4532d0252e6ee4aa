"""The registry: leases of the upstreams that run on this host.

An upstream announces itself to the node of its host and renews its lease by
announcing again.  Renewals stay in this process; only changes are published
in the record of the host.
"""

import asyncio
import math
import typing

import expression
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair.membership import bounds
from carawaystair.membership import lease_log
from carawaystair.membership import lifetimes
from carawaystair.membership import messages
from carawaystair import settings
from carawaystair import shape

MAX_UPSTREAMS = 256
MAX_NAME = bounds.MAX_NAME
MAX_SLOTS = bounds.MAX_SLOTS
MAX_WEIGHT = bounds.MAX_WEIGHT
MAX_WARMUP_S = bounds.MAX_WARMUP_S
# Interval between checks for expired leases, in seconds.
SWEEP_S = 0.5
MS = 1000


class Announcement(typing.NamedTuple):
    """An upstream's description of itself, see docs/API-node.md.

    :param service: name of the service that it runs.
    :param address: ``ip:port`` at which it takes requests.
    :param slots: number of requests that it processes concurrently.
    :param weight: share of work relative to other upstreams of the
        service.
    :param warmup_s: seconds from its start until it takes full load.
    :param state: ``up``, ``draining`` or ``gone``.
    :param incarnation: grows with every start of the upstream; 0 lets the
        node assign it.
    """

    service: str
    address: str
    slots: int
    weight: float = 1.0
    warmup_s: float = 0.0
    state: typing.Literal['up', 'draining', 'gone'] = interfaces.UP
    incarnation: int = 0


class Lease(typing.NamedTuple):
    """An announcement and the time at which it expires.

    :param announcement: the announcement, its incarnation filled in.
    :param expires_at: monotonic time at which it ends unless renewed.
    :param sequence: sequence of the registry at its last change.
    """

    announcement: Announcement
    expires_at: float
    sequence: int


def _no_incarnation(_service: str, _name: str) -> int:
    """Return 0: no upstreams of other hosts are known."""
    return 0


class Registry(mode.Service):
    """The leases of this host's upstreams.

    :param lease_s: duration of a lease in seconds.
    :param publish: called after every change that other hosts must learn
        of, with whether it is urgent.
    :param gateway: address to which other hosts send requests for these
        upstreams; None for the upstreams' own addresses.
    :param recorder: records events; None to record none.
    """

    def __init__(
        self,
        lease_s: float,
        publish: typing.Callable[[bool], None],
        gateway: str | None = None,
        recorder: decisions.Recorder | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        recorder = recorder or decisions.Recorder('')
        self.log_of_leases = lease_log.LeaseLog(recorder)
        self.lease_s = lease_s
        self.publish = publish
        self.gateway = gateway
        # Called with the id of each upstream whose announcement changed.
        self.callbacks: list[typing.Callable[[str], None]] = []
        # Set while this process stops: all upstreams are then published as
        # draining, so that they get no new requests.
        self.draining = False
        self.leases: dict[str, Lease] = {}
        # Upstreams that left.  Until the lease expires, an announcement
        # without a newer incarnation is refused.
        self.departed: dict[str, Lease] = {}
        # Incarnations that said in other ways than by announcements that they
        # leave, by the id of the upstream.
        self.leaving: dict[str, int] = {}
        # Upstreams that don't give their incarnations.
        self.assigned: set[str] = set()
        self.lifetimes = lifetimes.Lifetimes()
        # Returns the newest incarnation of an upstream in the directory of
        # the fleet, given its service and id; 0 if there is none.
        self.fleet_incarnation: typing.Callable[[str, str], int] = (
            _no_incarnation
        )
        self.sequence = 0

    def announce(
        self,
        name: str,
        announcement: Announcement,
        wall_ms: int,
        number: int = 0,
    ) -> expression.Result[Announcement, codes.Failure]:
        """Accept an announcement or a renewal of one.

        :param name: id of the upstream.
        :param wall_ms: time in ms since 1970; the incarnation if none is
            given and none is known.
        :param number: grows with each announcement of an upstream, so that a
            delayed one is recognised; 0 if announcements have no number.
        """
        checked = check(name, announcement, number)
        if checked.is_error():
            return checked
        before, sequence = self._known(name), self.sequence
        result = self._announce(name, announcement, wall_ms, number)
        if result.is_error() or self.sequence != sequence:
            state = announcement.state
            self._tell(before, lease_log.ANNOUNCE, state, result, number)
        return result

    def _announce(
        self,
        name: str,
        announcement: Announcement,
        wall_ms: int,
        number: int,
    ) -> expression.Result[Announcement, codes.Failure]:
        """Accept a valid announcement, see :meth:`announce`."""
        known = self.leases.get(name) or self.departed.get(name)
        if known is None and len(self.leases) >= MAX_UPSTREAMS:
            return codes.fail(codes.TOO_MANY_UPSTREAMS, name)
        assigned = not announcement.incarnation
        if assigned:
            # Without an incarnation, only the number shows that an
            # announcement was delayed, and nothing that it is of a new start.
            if 0 < number < self.lifetimes.last_number(name):
                return codes.fail(codes.ANNOUNCEMENT_OLD, name)
            if self.lifetimes.has_left(name):
                return codes.fail(codes.ANNOUNCEMENT_OLD, name)
            # One whose lease expired goes on with its incarnation.
            started = self.lifetimes.last_incarnation(name) or wall_ms
            announcement = announcement._replace(incarnation=started)
        if (
            announcement.state == interfaces.UP
            and self.leaving.get(name) == announcement.incarnation
        ):
            # It may not know yet itself.
            announcement = announcement._replace(state=interfaces.DRAINING)
        if self._is_outdated(name, announcement, number):
            return codes.fail(codes.ANNOUNCEMENT_OLD, name)
        if assigned:
            self.assigned.add(name)
        else:
            self.assigned.discard(name)
        self._end_predecessors(name, announcement)
        retention_s = lifetimes.RETENTION_S
        if assigned and announcement.state == interfaces.GONE:
            retention_s = self.lease_s
        self._update_lifetime(name, announcement, number, retention_s)
        self._store(name, announcement)
        return expression.Ok(announcement)

    def _is_outdated(
        self, name: str, announcement: Announcement, number: int
    ) -> bool:
        """Tell whether an announcement must be refused as outdated.

        It is, if a newer announcement or start of the upstream is known, or
        a newer start of another upstream at its address.
        """
        if self.lifetimes.has_newer(
            name, announcement.incarnation, number, announcement.state
        ):
            return True
        if name in self.leases:
            return False
        if (
            self.fleet_incarnation(announcement.service, name)
            > announcement.incarnation
        ):
            # A newer start of the upstream is announced on another host.
            return True
        return announcement.state != interfaces.GONE and any(
            lease.announcement.incarnation > announcement.incarnation
            for lease in self._others_at_address(name, announcement).values()
        )

    def _update_lifetime(
        self,
        name: str,
        announcement: Announcement,
        number: int,
        retention_s: float = lifetimes.RETENTION_S,
    ) -> None:
        self.lifetimes.update(
            name,
            announcement.incarnation,
            number,
            announcement.state,
            clock.now() + retention_s,
        )

    def _others_at_address(
        self, name: str, announcement: Announcement
    ) -> dict[str, Lease]:
        """Return the leases of other upstreams at the same address.

        There are none without a gateway.  Behind one, an address belongs to
        one upstream at a time.
        """
        if self.gateway is None:
            return {}
        return {
            other: lease
            for other, lease in self.leases.items()
            if other != name
            and lease.announcement.address == announcement.address
        }

    def _end_predecessors(self, name: str, announcement: Announcement) -> None:
        """End the leases of other upstreams at the same address.

        An upstream that crashes does not withdraw its announcement, and its
        successor at the address has another id.  Until the old lease
        expired, half of the requests would be addressed to an upstream that
        no longer exists.
        """
        self._end_leases(self._others_at_address(name, announcement))

    def end_if_moved(self, upstream: interfaces.Upstream) -> None:
        """End the lease of an upstream that has started on another host.

        :param upstream: the newest entry of the directory with its id.
        """
        lease = self.leases.get(upstream.id)
        if lease is None:
            return
        if upstream.incarnation > lease.announcement.incarnation:
            self._end_leases([upstream.id])

    def withdraw(self, names: typing.Collection[str]) -> None:
        """End leases that were not taken by the upstreams themselves.

        The effect is that of expiry: the upstreams may announce themselves
        again at once.
        """
        self._end_leases([name for name in names if name in self.leases])

    def _end_leases(self, names: typing.Collection[str]) -> None:
        """End leases of upstreams that did not announce that they leave."""
        if not names:
            return
        for name in names:
            del self.leases[name]
        self.sequence += 1
        for name in names:
            self._notify(name)
        self.publish(True)

    def drain(self, name: str) -> None:
        """Publish an upstream as draining until its next incarnation.

        For an upstream that says so itself, although its announcements may
        still say that it is up.
        """
        lease = self.leases.get(name)
        if lease is None:
            return
        self.leaving[name] = lease.announcement.incarnation
        if lease.announcement.state != interfaces.UP:
            return
        draining = lease.announcement._replace(state=interfaces.DRAINING)
        self._update_lifetime(name, draining, 0)
        self._store(name, draining)

    def drain_all(self) -> None:
        """Publish all upstreams as draining, since this process stops."""
        self.draining = True
        self.sequence += 1
        self.publish(True)

    def _notify(self, name: str) -> None:
        for callback in self.callbacks:
            callback(name)

    def remove(
        self, name: str, incarnation: int = 0, id_is_reused: bool = True
    ) -> expression.Result[None, codes.Failure]:
        """Remove an upstream that leaves; succeed if it is not known.

        The removal may overtake announcements of the same incarnation, even
        the first one.  So it is remembered even if there is no lease to end.

        :param incarnation: the incarnation that leaves; 0 for the last one
            that is known.
        :param id_is_reused: whether an upstream that does not give its
            incarnation may start again under its id.
        """
        before = self._known(name)
        result = self._remove(name, incarnation, id_is_reused)
        self._tell(before, lease_log.REMOVE, interfaces.GONE, result)
        return result

    def _remove(
        self, name: str, incarnation: int, id_is_reused: bool
    ) -> expression.Result[None, codes.Failure]:
        lease = self.leases.get(name)
        gone = interfaces.GONE
        retention_s = lifetimes.RETENTION_S
        if not incarnation:
            incarnation = self.lifetimes.last_incarnation(name)
            if lease is not None:
                incarnation = lease.announcement.incarnation
            if id_is_reused:
                # The removal may be a delayed one of an earlier incarnation.
                # The running upstream then continues to announce itself and
                # must not be refused for longer than a lease.
                retention_s = self.lease_s
        if not bounds.number_ok(incarnation):
            return codes.fail(codes.ANNOUNCEMENT_INVALID, 'incarnation')
        if not bounds.name_ok(name):
            return codes.fail(codes.ANNOUNCEMENT_INVALID, 'id')
        if self.lifetimes.has_newer(name, incarnation, 0, gone):
            return codes.fail(codes.ANNOUNCEMENT_OLD, name)
        expires_at = clock.now() + retention_s
        self.lifetimes.update(name, incarnation, 0, gone, expires_at)
        if lease is not None:
            announcement = lease.announcement._replace(
                state=gone, incarnation=incarnation
            )
            self._store(name, announcement)
        return expression.Ok(None)

    def departure(self, name: str) -> messages.Departure | None:
        """Return what must be remembered of an upstream that leaves.

        :return: None unless it leaves or has left.
        """
        lifetime = self.lifetimes.by_id.get(name)
        if lifetime is None or lifetime.state == interfaces.UP:
            return None
        remaining_ms = math.ceil((lifetime.expires_at - clock.now()) * MS)
        return messages.Departure(
            name,
            lifetime.incarnation,
            messages.DEPARTURE_STATES.index(lifetime.state),
            min(max(remaining_ms, 1), bounds.MAX_REMAINING_MS),
        )

    def restore(self, departure: messages.Departure) -> None:
        """Apply a departure that an earlier process acknowledged."""
        before = self._known(departure.id)
        result = self._restore(departure)
        state = messages.DEPARTURE_STATES[departure.state]
        self._tell(before, lease_log.RESTORE, state, result)

    def _restore(
        self, departure: messages.Departure
    ) -> expression.Result[None, codes.Failure]:
        name, incarnation = departure.id, departure.incarnation
        state = messages.DEPARTURE_STATES[departure.state]
        lease = self.leases.get(name)
        if lease is not None and name in self.assigned:
            # This process did not know its incarnation.
            incarnation = lease.announcement.incarnation
        if self.lifetimes.has_newer(name, incarnation, 0, state):
            return codes.fail(codes.ANNOUNCEMENT_OLD, name)
        removed = self.lifetimes.has_left(name)
        if removed and not self.lifetimes.last_incarnation(name):
            # It was removed here before its incarnation was known.
            state = interfaces.GONE
        expires_at = clock.now() + departure.remaining_ms / MS
        self.lifetimes.update(name, incarnation, 0, state, expires_at)
        if lease is not None:
            leaving = lease.announcement._replace(
                state=state, incarnation=incarnation
            )
            self._store(name, leaving)
        return expression.Ok(None)

    def _known(self, name: str) -> lease_log.Known:
        """Return what is known of an upstream, for the log."""
        lifetime = self.lifetimes.by_id.get(name)
        return lease_log.Known(name, name in self.leases, lifetime)

    def _tell(
        self,
        before: lease_log.Known,
        call: str,
        state: str,
        result: expression.Result,
        number: int = 0,
    ) -> None:
        """Log a decision, see :class:`lease_log.LeaseLog`."""
        code = result.error.code if result.is_error() else codes.OK
        after = self._known(before.upstream)
        self.log_of_leases.tell(before, after, call, state, number, code)

    def rows(self) -> tuple[messages.Row, ...]:
        """Return the rows of this host's record, ordered by id."""
        return tuple(
            _row(name, lease, self.gateway, self.draining)
            for name, lease in sorted(self.leases.items())
        )

    @mode.Service.task
    async def _sweep(self) -> None:
        """End expired leases at intervals of ``SWEEP_S``."""
        last = clock.now()
        while not self.should_stop:
            await asyncio.sleep(SWEEP_S)
            now = clock.now()
            self.expire(now, now - last - SWEEP_S)
            last = now

    def expire(self, now: float, late: float) -> None:
        """End the leases that have expired.

        After a stall of some seconds, a process finds all leases expired at
        once, although the upstreams sent renewals that it could not read.
        The duration of a stall is therefore added to each lease.

        :param now: monotonic time in seconds.
        :param late: seconds by which this call is late.
        """
        if late > SWEEP_S:
            self.leases = {
                name: lease._replace(expires_at=lease.expires_at + late)
                for name, lease in self.leases.items()
            }
        ended = [
            n for n, lease in self.leases.items() if lease.expires_at <= now
        ]
        self._end_leases(ended)
        old = [
            n for n, lease in self.departed.items() if lease.expires_at <= now
        ]
        for name in old:
            del self.departed[name]
        self.lifetimes.drop_expired(now, self.leases)
        self.leaving = {
            name: incarnation
            for name, incarnation in self.leaving.items()
            if name in self.lifetimes.by_id
        }
        self.assigned.intersection_update(self.lifetimes.by_id)

    def _store(self, name: str, announcement: Announcement) -> None:
        expires_at = clock.now() + self.lease_s
        known = self.leases.get(name)
        if known is not None and known.announcement == announcement:
            self.leases[name] = known._replace(expires_at=expires_at)
            return
        if announcement.state == interfaces.GONE:
            self.leases.pop(name, None)
            self.departed[name] = Lease(
                announcement, expires_at, self.sequence
            )
            if len(self.departed) > MAX_UPSTREAMS:
                del self.departed[next(iter(self.departed))]
        else:
            self.departed.pop(name, None)
        if announcement.state == interfaces.GONE and known is None:
            return
        self.sequence += 1
        if announcement.state != interfaces.GONE:
            self.leases[name] = Lease(announcement, expires_at, self.sequence)
        self._notify(name)
        # A drain or a removal is published at once; an arrival can wait
        # to be published together with others.
        self.publish(announcement.state != interfaces.UP)


def _row(
    name: str, lease: Lease, gateway: str | None, draining: bool
) -> messages.Row:
    announcement = lease.announcement
    state = interfaces.DRAINING if draining else announcement.state
    return messages.Row(
        name,
        announcement.service,
        gateway or announcement.address,
        announcement.slots,
        round(announcement.weight * messages.MILLI),
        round(announcement.warmup_s * messages.MILLI),
        messages.STATES.index(state),
        announcement.incarnation,
        lease.sequence,
    )


def check(
    name: str, announcement: Announcement, number: int = 0
) -> expression.Result[Announcement, codes.Failure]:
    """Return an announcement if it is valid.

    :param name: id of the upstream.
    :param number: see :meth:`Registry.announce`.
    """
    violations = _violations(name, announcement, number)
    if violations:
        return codes.fail(codes.ANNOUNCEMENT_INVALID, violations)
    return expression.Ok(announcement)


def _violations(name: str, announcement: Announcement, number: int) -> str:
    """Return the violated limits of an announcement, '' if there are none."""
    checks = (
        (bounds.name_ok(name), 'id'),
        (bounds.name_ok(announcement.service), 'service'),
        (bounds.number_ok(number), 'number'),
        (
            settings.address_ok(announcement.address),
            'address: no IP number and port',
        ),
        (0 < announcement.slots <= MAX_SLOTS, 'slots: 1 to %d' % MAX_SLOTS),
        (
            1 / messages.MILLI <= announcement.weight <= MAX_WEIGHT,
            'weight: 0.001 to %d' % MAX_WEIGHT,
        ),
        (
            0 <= announcement.warmup_s <= MAX_WARMUP_S,
            'warmup_s: 0 to %d' % MAX_WARMUP_S,
        ),
        (bounds.number_ok(announcement.incarnation), 'incarnation'),
    )
    return ', '.join(text for valid, text in checks if not valid)


def parse_announcement(
    value,
) -> expression.Result[Announcement, codes.Failure]:
    """Return the announcement in a decoded JSON value, if it is valid."""
    mistakes: list[shape.Mistake] = []
    announcement = shape.build(Announcement, value, '$', mistakes)
    if mistakes:
        text = '; '.join(str(mistake) for mistake in mistakes)
        return codes.fail(codes.ANNOUNCEMENT_INVALID, text)
    return expression.Ok(announcement)
