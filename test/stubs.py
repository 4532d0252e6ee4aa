"""Parts around the request path that do the least, for its tests.

Nothing is ejected, everything is admitted at once, and keys are reserved
within this process only.
"""

import typing

import expression

from carawaystair import codes
from carawaystair import interfaces
from carawaystair.load import crash_suspects


class Health:
    """Health that finds every upstream well."""

    def ejected(self, service: str) -> frozenset[str]:
        """Return no upstream."""
        return frozenset()

    def weight(self, upstream: str, customer: str = '') -> float:
        """Return the full weight."""
        return 1.0

    def trial(self, service: str) -> str | None:
        """Want no copy of a request."""
        return None


class Quarantine:
    """Quarantine that refuses nothing."""

    def standing(self, digest: str) -> crash_suspects.Standing:
        """Know nothing of a request."""
        return crash_suspects.UNKNOWN

    def refuses(self, digest: str) -> bool:
        """Refuse nothing."""
        return False

    def may_begin(self, digest: str) -> bool:
        """Let everything run."""
        return True

    def may_retry(self, digest: str) -> bool:
        """Let everything be repeated."""
        return True

    def record_success(self, digest: str) -> None:
        """Keep nothing."""

    def record_crash(self, incarnation, requests, proven, how) -> None:
        """Keep nothing."""


class Evidence:
    """Evidence that keeps what it was told, for tests to read."""

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
        """Take no note."""

    def record(self, attempt: interfaces.Attempt) -> None:
        """Keep the attempt."""
        self.attempts.append(attempt)


class Permit:
    """Leave to run, which counts itself.

    :param admission: where it is counted.
    """

    def __init__(self, admission: 'Admission') -> None:
        self.admission = admission

    def release(self, outcome: str, latency_s: float) -> None:
        """Give the slot back."""
        self.admission.held -= 1
        self.admission.released.append(outcome)


class Admission:
    """Admission that lets everything start at once."""

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
        """Return a second."""
        return 1.0

    async def admit(
        self, service: str, customer: str, deadline: float, bulk: bool
    ) -> expression.Result[Permit, codes.Failure]:
        """Admit."""
        return expression.Ok(self.try_admit(service, customer, deadline, bulk))


class Key(typing.NamedTuple):
    """What stands behind a reserved key.

    :param digest: of the request that reserved it.
    :param answer: its stored answer, None while it runs.
    """

    digest: bytes
    answer: bytes | None = None


class Reservations:
    """Reservations that hold within this process, for ever."""

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
        """Reserve a key, or tell what became of it."""
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
        """Forget the key."""
        self.keys.pop(token, None)
