"""Minimal stand-ins for the parts around the request path.

Nothing is ejected, everything is admitted at once, and keys are reserved
within this process only.
"""

import typing

import expression

from carawaystair import codes
from carawaystair import interfaces
from carawaystair.load import crash_suspects


class Health:
    """Health check that finds every upstream healthy."""

    def ejected(self, service: str) -> frozenset[str]:
        """Return no upstream."""
        return frozenset()

    def weight(self, upstream: str, customer: str = '') -> float:
        """Return the full weight."""
        return 1.0

    def trial(self, service: str) -> str | None:
        """Request no trial."""
        return None


class Quarantine:
    """Quarantine that refuses nothing."""

    def standing(self, digest: str) -> crash_suspects.Standing:
        """Return that nothing is known of a request."""
        return crash_suspects.UNKNOWN

    def refuses(self, digest: str) -> bool:
        """Refuse nothing."""
        return False

    def may_begin(self, digest: str) -> bool:
        """Allow every request."""
        return True

    def may_retry(self, digest: str) -> bool:
        """Allow every repeat."""
        return True

    def record_success(self, digest: str) -> None:
        """Do nothing."""

    def record_crash(self, incarnation, requests, proven, how) -> None:
        """Do nothing."""


class Evidence:
    """Evidence that collects attempts for tests."""

    def __init__(self) -> None:
        self.attempts: list[interfaces.Attempt] = []

    def begin(
        self,
        service: str,
        upstream: str,
        customer: str,
        started: float,
        route: str = '',
        fresh: bool = True,
    ) -> None:
        """Do nothing."""

    def record(self, attempt: interfaces.Attempt) -> None:
        """Append the attempt."""
        self.attempts.append(attempt)


class Permit:
    """Permit that records its release.

    :param admission: the admission that gave it.
    """

    def __init__(self, admission: 'Admission') -> None:
        self.admission = admission

    def release(self, outcome: str, latency_s: float) -> None:
        """Release the permit."""
        self.admission.held -= 1
        self.admission.released.append(outcome)


class Admission:
    """Admission control that admits everything at once."""

    def __init__(self) -> None:
        self.held = 0
        self.released: list[str] = []

    def try_admit(
        self, service: str, customer: str, deadline: float, bulk: bool
    ) -> Permit | None:
        """Admit."""
        self.held += 1
        return Permit(self)

    def retry_after(self, service: str) -> float:
        """Return one second."""
        return 1.0

    async def admit(
        self, service: str, customer: str, deadline: float, bulk: bool
    ) -> expression.Result[Permit, codes.Failure]:
        """Admit."""
        return expression.Ok(self.try_admit(service, customer, deadline, bulk))


class Key(typing.NamedTuple):
    """State of a reserved key.

    :param digest: digest of the request that reserved it.
    :param answer: the stored answer; None while the request runs.
    """

    digest: bytes
    answer: bytes | None = None


class Reservations:
    """Reservations in the memory of this process that never expire."""

    def __init__(self) -> None:
        self.keys: dict[str, Key] = {}

    async def reserve(
        self,
        service: str,
        customer: str,
        key: str,
        digest: bytes,
        deadline: float,
    ) -> expression.Result[interfaces.Reserved, codes.Failure]:
        """Reserve a key, or return the state of its reservation."""
        token = '%s\n%s\n%s' % (service, customer, key)
        held = self.keys.get(token)
        if held is None:
            self.keys[token] = Key(digest)
            return expression.Ok(interfaces.Reserved(True, token))
        if held.digest != digest:
            return codes.fail(codes.KEY_REUSED)
        running = held.answer is None
        return expression.Ok(
            interfaces.Reserved(False, '', held.answer, running)
        )

    async def settle(
        self, token: str, answer: bytes, status: int = 200
    ) -> None:
        """Store the answer."""
        self.keys[token] = self.keys[token]._replace(answer=answer)

    async def release(self, token: str) -> None:
        """Remove the reservation."""
        self.keys.pop(token, None)
