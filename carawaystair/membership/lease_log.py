"""Logs what the registry of a host decides, with what it knew before."""

import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.membership import bounds
from carawaystair.membership import lifetimes as lifetimes_module

MS = 1000
ANNOUNCE = 'announce'
REMOVE = 'remove'
RESTORE = 'restore'


class Known(typing.NamedTuple):
    """What is known of an upstream.

    :param upstream: id of the upstream.
    :param leased: whether it has a lease.
    :param lifetime: its newest known lifetime, if any.
    """

    upstream: str
    leased: bool
    lifetime: lifetimes_module.Lifetime | None


class LeaseLog:
    """Writes the events of one registry.

    :param recorder: records events.
    """

    def __init__(self, recorder: decisions.Recorder) -> None:
        self.recorder = recorder

    def tell(
        self,
        before: Known,
        after: Known,
        call: str,
        state: str,
        number: int,
        code: codes.Code,
    ) -> None:
        """Record a decision.

        :param before: what was known before it.
        :param after: what is known now.
        :param call: one of the constants of this module.
        :param state: the state that the call gave.
        :param number: number of an announcement, or 0.
        """
        known, known_s = '', 0.0
        if before.lifetime is not None:
            known = '%d/%d/%s' % before.lifetime[:3]
            known_s = before.lifetime.expires_at - clock.now()
        self.recorder.tell(
            decisions.LeaseDecided(
                before.upstream[: bounds.MAX_NAME],
                call,
                state,
                after.lifetime.incarnation if after.lifetime else 0,
                number,
                before.leased,
                known,
                int(known_s * MS),
                code.label,
            ),
            decisions.BELIEF,
        )
