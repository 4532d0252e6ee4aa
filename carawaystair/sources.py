"""Whom a node asks for newer versions of the configuration."""

import math
import random
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import lag as lags

# A node that is behind for so long asks control more often, and tells it in
# its log.  A change is everywhere within 0.3 s as a rule (exp_spread, 32
# nodes).
BEHIND_S = 1.0
# So often: three times within the time in which a version is to be in force.
HURRY_S = 0.5


class Sources:
    """The processes that a node may ask, and whose turn it is.

    Whoever told of news is asked first: it has the news, and a change that
    2,500 nodes fetched from control at once would swamp the control hosts.
    But while news comes without an end, a node that asked peers alone would
    stay as far behind as those are.  So control has its turn as often as
    without any news, and sooner for a node that stays behind.

    :param members: the processes believed alive.
    :param control_hosts: addresses of the control hosts in the settings.
    :param lag: how far this node is behind.
    :param poll_s: seconds between questions to control.
    :param rng: picks control hosts and peers.
    """

    def __init__(
        self,
        members: interfaces.Members,
        control_hosts: typing.Sequence[str],
        lag: lags.Lag,
        poll_s: float,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.control_hosts = tuple(control_hosts)
        self.lag = lag
        self.poll_s = poll_s
        self.rng = rng
        # Who told of news last, empty once it has had its turn.
        self.teller = ''
        # Monotonic time at which control was last asked.
        self.control_at = -math.inf

    def first(self) -> str:
        """Return the peer to ask before control, empty for none."""
        teller, self.teller = self.teller, ''
        behind_s = self.lag.seconds()
        turn_s = HURRY_S if behind_s >= BEHIND_S else self.poll_s
        if clock.now() - self.control_at >= turn_s:
            return ''
        if teller:
            return '' if teller in self._control_hosts() else teller
        peer = self.peer() if behind_s else None
        return peer.peer if peer is not None else ''

    def control(self, avoid: typing.Container[str] = ()) -> str:
        """Return a control host for its turn, empty if none is known.

        One a turn: while it is away, the next turn comes soon and asks
        another one.

        One of the own data centre goes first, to which messages cost least.

        :param avoid: hosts that could not help just now.
        """
        hosts = self._control_hosts()
        if not hosts:
            return ''
        self.control_at = clock.now()
        left = [host for host in hosts if host not in avoid]
        near = [host for host in self._near_control_hosts() if host in left]
        return self.rng.choice(near or left or hosts)

    def _near_control_hosts(self) -> list[str]:
        """Return the control hosts of the own data centre believed alive."""
        centre = self.members.me.data_centre
        return [
            member.peer
            for member in self.members.alive()
            if member.control and member.data_centre == centre
        ]

    def _control_hosts(self) -> list[str]:
        """Return the control hosts known, by settings or as members.

        Hosts that took the place of others stand in no settings.  Those
        believed alive are asked first; the settings are what is left when
        none is.
        """
        alive = [m.peer for m in self.members.alive() if m.control]
        return alive or list(self.control_hosts)

    def peers(self) -> list[interfaces.Member]:
        """Return the other nodes."""
        me = self.members.me
        return [
            member
            for member in self.members.alive()
            if member.host != me.host and not member.control
        ]

    def peer(self) -> interfaces.Member | None:
        """Return another node, drawn by lot."""
        return next(iter(self.some_peers(1)), None)

    def some_peers(
        self, count: int, avoid: typing.Container[str] = ()
    ) -> list[interfaces.Member]:
        """Return some other nodes, drawn by lot.

        :param count: how many at most.
        :param avoid: hosts that are drawn only where no others are left.
        """
        peers = self.peers()
        left = [peer for peer in peers if peer.host not in avoid] or peers
        return self.rng.sample(left, min(count, len(left)))
