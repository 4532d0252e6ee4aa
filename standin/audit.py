"""Compares what callers were told with what upstreams ran."""

import collections
import typing

from standin import load
from standin import runs


class Audit(typing.NamedTuple):
    """Broken promises, by marker.

    :param doubles: non-idempotent requests that ran more than once.
    :param false_not_run: told ``not-run``, yet they ran.
    :param never_run: answered in full, yet no upstream ran them.
    :param spoilt: answers shown as whole that were short or mixed.
    """

    doubles: tuple[str, ...]
    false_not_run: tuple[str, ...]
    never_run: tuple[str, ...]
    spoilt: tuple[str, ...]

    @property
    def clean(self) -> bool:
        """Tell whether every promise was kept."""
        return not any(self)


def audit(
    answers: typing.Sequence[load.Answer], every: typing.Sequence[runs.Run]
) -> Audit:
    """Compare the answers of callers with the runs of all upstreams."""
    ran = collections.Counter(run.marker for run in every)
    false_not_run = [m for m in load.told_not_run(answers) if ran[m]]
    never_run = {
        answer.marker
        for answer in answers
        if answer.verdict == load.WHOLE
        and answer.method == load.POST
        and not ran[answer.marker]
    }
    spoilt = {
        answer.marker
        for answer in answers
        if answer.verdict in (load.SHORT, load.MIXED)
    }
    return Audit(
        tuple(sorted(runs.doubles(every, load.POST))),
        tuple(sorted(false_not_run)),
        tuple(sorted(never_run)),
        tuple(sorted(spoilt)),
    )
