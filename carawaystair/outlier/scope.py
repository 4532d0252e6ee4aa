"""The scope of a failure: all callers, or one group of them.

A failure between one node and an upstream, between one data centre and
another, or for one customer's work only, is no reason to take the upstream
from all others.
"""

import itertools
import typing

EVERYBODY = 'everybody'
UNKNOWN = 'unknown'
REPORTER = 'reporter'
DATA_CENTRE = 'data-centre'
CUSTOMER = 'customer'

# Share of the bad attempts that must come from one group to limit the scope to
# it.
CONCENTRATED_SHARE = 0.8
# The others are well served below this share of bad attempts.
WELL_SERVED_SHARE = 0.2
# That all bad attempts come from one group is no evidence of a limited scope
# if it would happen by chance with at least this probability.
CHANCE_LIMIT = 0.1
# Bad attempts further apart than this belong to different episodes, seconds.
EPISODE_S = 5.0
MAX_EPISODE_S = 30.0
# Groups counted separately; any further ones are counted as one.
MAX_GROUPS = 64
OTHER_GROUPS = '*'


class GroupAttempts(typing.NamedTuple):
    """Attempts of one group within an episode.

    :param bad: bad attempts.
    :param good: good attempts that began after the suspicion.
    """

    bad: float = 0.0
    good: float = 0.0


class Source(typing.NamedTuple):
    """The origin of attempts, in the order of the kinds of groups.

    :param reporter: the node.
    :param data_centre: its data centre.
    :param customer: the class of the customers.
    """

    reporter: str
    data_centre: str
    customer: str


def group_key(upstream: str, kind: str, group: str) -> str:
    """Return the detector's key for one group of an upstream's callers."""
    return '%s\0%s\0%s' % (upstream, kind, group)


class Scope(typing.NamedTuple):
    """The callers that an upstream fails.

    :param kind: one of the constants above.
    :param group: the reporter, data centre or class of customers.
    """

    kind: str
    group: str = ''


UsualShare = typing.Callable[[str, str], float]


class Episode:
    """Attempts at one upstream since its first bad one or a trial began.

    :param now: monotonic time.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.last_bad_at = now
        # Unproven attempts that count as evidence, see ``ingestion``.
        self.unproven = 0.0
        self.groups: dict[str, dict[str, GroupAttempts]] = {
            REPORTER: {},
            DATA_CENTRE: {},
            CUSTOMER: {},
        }

    def ended(self, now: float) -> bool:
        """Return whether there were no bad attempts for long enough."""
        quiet = now - self.last_bad_at > EPISODE_S
        return quiet or now - self.started_at > MAX_EPISODE_S

    def add(self, source: Source, bad: float, good: float) -> None:
        """Add attempts from one source."""
        for groups, group in zip(self.groups.values(), source):
            if group not in groups and len(groups) >= MAX_GROUPS:
                group = OTHER_GROUPS
            seen = groups.get(group, GroupAttempts())
            groups[group] = GroupAttempts(seen.bad + bad, seen.good + good)

    def group_keys(
        self, upstream: str, source: Source | None = None
    ) -> list[str]:
        """Return the detector's keys of the groups with bad attempts.

        :param source: only its groups, or None for all.
        """
        chosen = (
            (DATA_CENTRE, source and source.data_centre),
            (CUSTOMER, source and source.customer),
        )
        return [
            group_key(upstream, kind, group)
            for kind, only in chosen
            for group, seen in self.groups[kind].items()
            if seen.bad > 0 and only in (None, group)
        ]

    def reporter_bad(self, reporter: str) -> float:
        """Return the bad attempts of one reporter."""
        return self.groups[REPORTER].get(reporter, GroupAttempts()).bad

    def scope(self, enough: int, usual_share: UsualShare) -> Scope:
        """Return the callers that the upstream fails.

        :param enough: good answers to others that show it works for them.
        :param usual_share: returns a group's usual share of all attempts.
        """
        candidates = (
            _concentrated(kind, groups, enough, usual_share)
            for kind, groups in self.groups.items()
        )
        candidates = [scope for scope in candidates if scope is not None]
        named = (scope for scope in candidates if scope.kind != UNKNOWN)
        return next(itertools.chain(named, candidates), Scope(EVERYBODY))


def _concentrated(kind, groups, enough, usual_share) -> Scope | None:
    """Return the group that nearly all bad attempts come from, if any."""
    total = sum(seen.bad for seen in groups.values())
    group, top = max(groups.items(), key=lambda item: (item[1].bad, item[0]))
    if total <= 0.0 or top.bad < CONCENTRATED_SHARE * total:
        return None
    good = sum(seen.good for seen in groups.values()) - top.good
    if good < enough:
        chance = usual_share(kind, group) ** total
        return Scope(UNKNOWN, group) if good or chance < CHANCE_LIMIT else None
    rest = total - top.bad
    return (
        Scope(kind, group)
        if rest < WELL_SERVED_SHARE * (good + rest)
        else None
    )
