"""The summary of a run of the demo: promises kept or broken, and why."""

import collections
import itertools
import pathlib
import typing

from carawaystair import codes
from carawaystair import timeline
from standin import audit
from standin import load
from standin import story as stories

EJECTED = 'upstream-ejected'
ACCEPTED = 'manifest-accepted'
IN_FORCE = 'version-in-force'

# Bounds of the promises, in ms.
DETECTION_MS = 5_000
DRAIN_MS = 3_000
SPREAD_MS = 9_000
LEAST_WHOLE = 0.9
# Events that would drown the others; they are counted instead.
COUNTED = ('request-', 'answer-cut', 'member-', 'process-')
LINES = 60
TAIL_LINES = 6


class Promise(typing.NamedTuple):
    """One promise and whether it was kept.

    :param text: the promise.
    :param kept: whether it was kept.
    :param detail: the figure behind it.
    """

    text: str
    kept: bool
    detail: str


def promises(story: stories.Story) -> list[Promise]:
    """Compare a run with what was promised."""
    if story.problem:
        return [Promise('the demo ran to its end', False, story.problem)]
    return [
        *answer_promises(story),
        detection(story),
        drain(story),
        change(story),
        invariants(story),
        processes(story),
    ]


def answer_promises(story: stories.Story) -> list[Promise]:
    """Return the promises about answers and runs."""
    found = audit.audit(story.answers, story.runs)
    whole = sum(a.verdict == load.WHOLE for a in story.answers)
    share = whole / max(len(story.answers), 1)
    return [
        _none('double runs of non-idempotent requests', found.doubles),
        _none('short or mixed answers', found.spoilt),
        _none('requests told not-run that ran', found.false_not_run),
        _none('complete answers without a run', found.never_run),
        Promise(
            'most callers got whole answers',
            share >= LEAST_WHOLE,
            '%.2f%%' % (100 * share),
        ),
    ]


def _none(text: str, markers: typing.Sequence[str]) -> Promise:
    detail = ' '.join((str(len(markers)), *markers[:5]))
    return Promise('no %s' % text, not markers, detail)


def detection(story: stories.Story) -> Promise:
    """Return whether the gray upstream stopped getting work in time.

    Detection time is how long it keeps receiving work, whoever kept the
    work away: a node by its own weights, or the coordinator's ejection.
    """
    began = story.marks[stories.GRAY]
    ended = story.marks[stories.HEALED]
    took = stories.detection_ms(story, began, ended)
    got = [s for s in stories.starts(story, story.gray, began) if s < ended]
    event = stories.first_event(story, EJECTED, story.gray, began)
    ejected = 'not ejected: nodes kept away by themselves'
    if event is not None:
        after = timeline.wall_ms(event.time) - began
        ejected = 'ejected after %d ms' % after
    return Promise(
        'a gray upstream soon gets trial work only',
        took <= DETECTION_MS,
        'after %d ms; %d requests; %s' % (took, len(got), ejected),
    )


def drain(story: stories.Story) -> Promise:
    """Return whether the leaving upstream got no late work."""
    began = story.marks[stories.DRAINED]
    starts = stories.starts(story, story.drained, began)
    last = max(starts, default=began) - began
    return Promise(
        'a leaving upstream soon gets no new work',
        last <= DRAIN_MS,
        '%d requests after its word, the last after %d ms'
        % (len(starts), last),
    )


def change(story: stories.Story) -> Promise:
    """Return whether the changed manifest came into force in time."""
    accepted = [e for e in story.events if e.kind == ACCEPTED]
    times = [
        timeline.wall_ms(event.time)
        for event in story.events
        if event.kind == IN_FORCE and event.version == accepted[-1].version
    ]
    text = 'a change is soon in force at every node'
    if len(times) < len(story.statuses):
        detail = '%d of %d nodes' % (len(times), len(story.statuses))
        return Promise(text, False, detail)
    spread = max(times) - timeline.wall_ms(accepted[-1].time)
    detail = '%d nodes within %d ms of its acceptance' % (len(times), spread)
    return Promise(text, spread <= SPREAD_MS, detail)


def invariants(story: stories.Story) -> Promise:
    """Return whether every node kept its invariants."""
    broken = collections.Counter()
    for status in story.statuses:
        broken.update(status['invariants_broken'])
    detail = ', '.join('%s %d' % item for item in broken.items()) or '0'
    return Promise('no invariant is broken', not broken, detail)


def processes(story: stories.Story) -> Promise:
    """Return whether every process ended in order."""
    odd = [ended for ended in story.ended if not ended.orderly]
    detail = '%d ended in order' % (len(story.ended) - len(odd))
    if odd:
        named = ('%s (%d)' % (ended.name, ended.code) for ended in odd)
        detail += ', not: ' + ', '.join(named)
    return Promise('every process ends in order', not odd, detail)


# Text


def text(story: stories.Story, found: typing.Sequence[Promise]) -> str:
    """Return the whole summary."""
    lines = itertools.chain(
        ('', 'What happened'),
        event_lines(story),
        ('', 'What callers got'),
        caller_lines(story),
        ('', 'Promises'),
        promise_lines(found),
    )
    return '\n'.join(lines)


def promise_lines(found: typing.Sequence[Promise]) -> list[str]:
    """Return a line for each promise."""
    width = max(len(promise.text) for promise in found)
    return [
        '  %-6s  %s  %s'
        % (
            'kept' if promise.kept else 'BROKEN',
            promise.text.ljust(width),
            promise.detail,
        )
        for promise in found
    ]


def caller_lines(story: stories.Story) -> list[str]:
    """Return lines about the answers."""
    outcomes = load.tally(story.answers, 'outcome')
    verdicts = load.tally(story.answers, 'verdict')
    bad = [answer for answer in story.answers if answer.verdict != load.WHOLE]
    reached = load.latency(story.answers)
    told = ', '.join(
        '%s %d' % (name, outcomes.get(name, 0))
        for name in (codes.COMPLETE, codes.NOT_RUN, codes.UNKNOWN)
    )
    return [
        '  %d requests; told: %s' % (len(story.answers), told),
        '  answers: %s' % _counts(verdicts),
        '  codes of the others: %s' % _counts(load.tally(bad, 'code')),
        '  latency from the intended start: p50 %.1f ms, p99 %.1f ms'
        % (reached.p50, reached.p99),
        '  %s got %d requests after it healed'
        % (
            story.gray,
            len(stories.starts(story, story.gray, story.marks[stories.HEALED]))
            if stories.HEALED in story.marks
            else 0,
        ),
        '  ejections of upstreams that were well: %d' % len(wrong(story)),
        '  not sent, because too many were outstanding: %d' % story.skipped,
    ]


def wrong(story: stories.Story) -> list[timeline.Event]:
    """Return ejections of upstreams that were well."""
    return [
        event
        for event in story.events
        if event.kind == EJECTED and event.upstream != story.gray
    ]


def _counts(counts: dict[str, int]) -> str:
    named = ('%s %d' % (name or '-', n) for name, n in counts.items())
    return ', '.join(named) or 'none'


def event_lines(story: stories.Story) -> list[str]:
    """Return the merged time line, equal events of several hosts joined."""
    begin = story.marks.get(stories.BEGAN, 0)
    shown = [e for e in story.events if not e.kind.startswith(COUNTED)]
    lines = []
    for key, group in itertools.groupby(shown, _key):
        same = list(group)
        hosts = sorted({event.host for event in same})
        at = (timeline.wall_ms(same[0].time) - begin) / 1000
        lines.append(
            '  %+8.3f s  %-22s %s  [%s]'
            % (at, key[0], ' '.join(filter(None, key[1:])), ' '.join(hosts))
        )
    left = len(lines) - LINES
    if left > 0:
        lines[LINES:] = ['  and %d more' % left]
    rest = (e.kind for e in story.events if e.kind.startswith(COUNTED))
    lines.append('  besides: %s' % _counts(collections.Counter(rest)))
    return lines


def _key(event: timeline.Event) -> tuple[str, ...]:
    return (
        event.kind,
        event.upstream or event.service,
        event.version,
        event.text,
    )


def tails(folder: pathlib.Path) -> str:
    """Return the last lines that each process wrote."""
    lines = []
    for file in sorted(folder.glob('*.log')):
        lines.append('%s:' % file.name)
        tail = file.read_text(errors='replace').splitlines()[-TAIL_LINES:]
        lines.extend('    %s' % line for line in tail)
    return '\n'.join(lines)
