"""A control group of one, in memory: a fake of ``control.Control``."""

import typing

import expression
import mode

from carawaystair import codes
from carawaystair.control import interfaces
from carawaystair import distribution
from carawaystair import manifest as manifests
from carawaystair import rows
from carawaystair import timeline as timelines


class Single(mode.Service):
    """Accepts manifests by itself; a host that leads without a quorum.

    :param name: name of this host.
    :param timeline: takes note of accepted versions.
    """

    def __init__(
        self, name: str, timeline: timelines.Timeline, **kwargs
    ) -> None:
        super().__init__(**kwargs)
        self.name = name
        self.timeline = timeline
        self.held = rows.NONE
        self.rows: rows.Table = {}
        self.submissions: dict[str, interfaces.Accepted] = {}
        self.steps = distribution.Steps()
        self.callbacks: list = []

    def version(self) -> rows.Version:
        """Return the newest accepted version."""
        return self.held

    def table(self) -> rows.Table:
        """Return the rows of the newest accepted version."""
        return self.rows

    def digest(self) -> bytes:
        """Return the digest of the current table."""
        return rows.digest(self.rows) if self.rows else b''

    async def current(self) -> expression.Result:
        """Return the version in force; a group of one is its own quorum."""
        return expression.Ok(self.held)

    def subscribe(self, callback: typing.Callable) -> None:
        """Call ``callback(version)`` for every accepted version."""
        self.callbacks.append(callback)

    def delta_since(self, version: rows.Version) -> rows.Delta | None:
        """Return what leads from ``version`` to the next one."""
        return self.steps.after(version)

    def history(self, limit: int = 100) -> tuple:
        """Return nothing: one host keeps no history."""
        return ()

    def status(self) -> interfaces.Status:
        """Return the state of this host."""
        index = self.held.index
        role = interfaces.LEADER
        return interfaces.Status(
            self.name, role, 1, self.name, '', index, index, index, 0.0
        )

    async def submit(
        self, submission: interfaces.Submission
    ) -> expression.Result[interfaces.Accepted, interfaces.Refusal]:
        """Put a manifest in force, once."""
        if submission.id in self.submissions:
            return expression.Ok(self.submissions[submission.id])
        read = manifests.read(submission.manifest)
        if read.is_error():
            code, mistakes = read.error
            return expression.Error(
                interfaces.Refusal(code, mistakes=tuple(mistakes))
            )
        if submission.parent != self.digest():
            return expression.Error(
                interfaces.Refusal(
                    codes.CONFLICT,
                    'now %s' % str(self.held),
                    version=self.held,
                    digest=self.digest(),
                )
            )
        return expression.Ok(self._accept(read.ok, submission))

    async def preview(
        self, manifest: bytes
    ) -> expression.Result[rows.Delta, interfaces.Refusal]:
        """Check a manifest and return what it would change."""
        read = manifests.read(manifest)
        if read.is_error():
            code, mistakes = read.error
            return expression.Error(
                interfaces.Refusal(code, mistakes=tuple(mistakes))
            )
        table = rows.from_manifest(read.ok)
        version = rows.Version(1, self.held.index + 1)
        delta = rows.difference(self.rows, table, self.held, version)
        return expression.Ok(delta)

    async def answer(
        self, submission_id: str
    ) -> expression.Result[interfaces.Accepted, interfaces.Refusal]:
        """Return the answer that a submission got."""
        if submission_id in self.submissions:
            return expression.Ok(self.submissions[submission_id])
        refusal = interfaces.Refusal(codes.SUBMISSION_UNKNOWN, submission_id)
        return expression.Error(refusal)

    def _accept(
        self, manifest: manifests.Manifest, submission: interfaces.Submission
    ) -> interfaces.Accepted:
        table = rows.from_manifest(manifest)
        version = rows.Version(1, self.held.index + 1)
        delta = rows.difference(self.rows, table, self.held, version)
        accepted = interfaces.Accepted(version, delta.digest)
        submissions = self.submissions | {submission.id: accepted}
        self.held, self.rows = version, table
        self.submissions = submissions
        self.steps.add(delta)
        self.timeline.record(
            'manifest-accepted',
            'by %s' % submission.author,
            version=str(version),
        )
        for callback in self.callbacks:
            callback(version)
        return accepted
