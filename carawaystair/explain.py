"""Tells one request's story from the logs of several processes.

A request keeps its id on every hop, and calls that an upstream makes for it
extend it by a dot; so one id finds everything.  Lines of several hosts are
put in order by their wall clocks, and those of one hop by cause: a gateway
begins what a node has offered before.
"""

import datetime
import json
import typing

from carawaystair import decisions

# Statuses from here on tell a failure.
FAILED = 400
# Clocks of hosts differ by so much at least, and lines are written in turn.
CALL_MS = 20
MS = 1000
# The order of events that bear the same time, by cause.
ORDER = (
    'declining',
    'began',
    'abandoned',
    'stated',
    'room-changed',
    'ended',
    'suspected',
    'quarantined',
    'paced',
    'unread',
    'offered',
    'broke',
    'asked-again',
    'spent',
    'awaited-budget',
)
SENTENCES = {
    'offered': 'offered {service} to {upstream} at {gateway}'
    ' ({idempotence}, offer {number}, {left_ms} ms left, load known to be'
    ' {load} {age}, {candidates} upstreams take work, configuration'
    ' {version}){before}{stop_text}',
    'declining': 'refused by the gateway of {upstream}: {reason} {detail}'
    ' ({running} run, {waiting} wait, {slots} slots)',
    'began': 'sent to {upstream} after {waited_ms} ms of waiting ({running}'
    ' run, {waiting} wait, {slots} slots, {left_ms} ms left){trial_text}'
    '{repeat_text}{stop_text}',
    'ended': '{upstream} made it {outcome}, status {status}, after'
    ' {service_ms} ms; it fails {failing_pct} of 100 {detail}',
    'broke': 'no answer from {upstream}: {code}, {sent_text}, after'
    ' {after_ms} ms {detail}',
    'asked-again': '{upstream} asked again, send {number}, {after_ms} ms after'
    ' its connection was lost ({code}){detour_text}',
    'paced': '{bytes} bytes for {sender} went over the link in {total_ms} ms,'
    ' the first after {first_ms} ms; {ahead_ms} ms of others were ahead',
    'unread': 'answer broken off, {code}: {owner} had read nothing for'
    ' {blocked_ms} ms, {held_bytes} bytes of it held; {total_bytes} of'
    ' {limit_bytes} held for {answers} answers',
    'abandoned': 'run at {upstream} for {sender} cancelled, nobody waits: its'
    ' connection was {why}',
    'spent': 'not sent to another upstream: {runs} of {most} may have run it,'
    ' {sent} got it; {refused}',
    'awaited-budget': 'shed {sent} times, waits {wait_ms} ms for room in the'
    ' retry budget of {service} ({left_ms} ms left)',
    'answered': 'answered with {status} {outcome} {code} after {total_ms} ms,'
    ' {offers} offers {detail}',
    'rejected': 'rejected with {status} {code}: {method} {asked} {path}, by'
    ' configuration {version}, in force here for {version_ms} ms, a newer'
    ' one known for {behind_ms} ms {detail}',
    'left': 'cancelled: the {closed_by} closed the connection after'
    ' {total_ms} ms',
    'lease-decided': '{call} of {upstream} as {state}, incarnation'
    ' {incarnation}, number {number}, was decided with {code}; had a lease:'
    ' {leased}, known {known} for {known_ms} ms more',
    'departures-asked': '{owner} asked to {call} departures ({upstreams});'
    ' kept: {kept}, {held} held in a memory of {memory_ms} ms',
    'departures-recalled': '{peer} was asked for departures; answered:'
    ' {answered}, with {departures}, complete: {complete}, {elapsed_ms} ms'
    ' after the first question',
    'life-began': '{upstream} of {service} began life {incarnation} at'
    ' {address} ({slots} slots, {warmup_ms} ms of warm-up); {cut} runs of'
    ' former lives broken off',
    'life-ended': '{upstream} of {service} ended life {incarnation}: {why}'
    ' ({running} run, {waiting} waited, {idle} connections closed)',
    'stated': '{upstream} stated a limit of {limit} requests a second, before'
    ' {limit_before} (-1 for none), leaving: {leaving}, in answer to what was'
    ' sent {began_ms} ms before {malformed}',
    'room-changed': '{slots} of the {announced} slots of {upstream} are'
    ' offered: {runs} runs took {slowdown} times as long with all in use',
    'suspected': 'may have crashed {upstream} ({how}), as may {beside} others'
    ' that ran there; {crashes} upstreams crashed under it{refused_text}',
    'quarantined': '{refused_now}: {crashes} upstreams crashed under it, the'
    ' last {age_ms} ms ago, {cleared} it is cleared of; {why}',
    'behind': 'configuration {version} in force, {newest} known: behind for'
    ' {behind_ms} ms, asking {asked} ({steps} steps, {tables_begun} whole'
    ' tables begun, {tables_read} read to the end)',
    'caught-up': 'configuration {version} in force, after {behind_ms} ms'
    ' behind',
    'tenure-changed': 'parts {parts} of allowances {change} at {holder}'
    ' (process {process}, {left_ms} ms left)',
    'stop-stage': 'the stop is {stage}, {signal_ms} ms after it was asked'
    ' for, {left_ms} ms left ({callers} callers and {hops} nodes wait,'
    ' {orphans} runs have nobody who waits; {age_ms} ms old)',
    'quota-refused': 'customer {customer} got no grant ({code}): {asked}; one'
    ' may be had in {retry_ms} ms',
}


def read(lines: typing.Iterable[str]) -> typing.Iterator[dict]:
    """Yield the events in log lines; whatever stands before is passed over.

    :param lines: of any log; those that hold no event are skipped.
    """
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(event, dict) and _named(event) and _timed(event):
            yield event


def _named(event: dict) -> bool:
    """Tell whether a line says what happened to which request."""
    names = event.get('id'), event.get('event')
    return all(isinstance(name, str) and name for name in names)


def _timed(event: dict) -> bool:
    """Give a line that is no decision the time of one; tell if it has any."""
    if 'time_ms' not in event:
        try:
            at = datetime.datetime.fromisoformat(event['timestamp'])
        except (KeyError, TypeError, ValueError):
            return False
        event['time_ms'] = int(at.timestamp() * MS)
    return True


def story(events: typing.Iterable[dict], request: str) -> list[dict]:
    """Return the events of a request and of its calls, in order."""
    mine = [
        event
        for event in events
        if event['id'] == request or event['id'].startswith(request + '.')
    ]
    return sorted(mine, key=_when)


def _when(event: dict) -> tuple:
    name = event['event']
    rank = ORDER.index(name) if name in ORDER else len(ORDER)
    return event.get('time_ms', 0), rank


def sentence(event: dict) -> str:
    """Return an event as one line for a person."""
    pattern = SENTENCES.get(event['event'])
    if pattern is None:
        said = event.get('why') or event.get('error') or ''
        return ('%s %s' % (event['event'], said)).strip()
    text = pattern.format_map(_Shown(event))
    return ' '.join(text.split())


def cause(events: typing.Sequence[dict]) -> str:
    """Return why a request ended as it did, as far as its events tell."""
    name = min((event['id'] for event in events), key=len, default='')
    own = [event for event in events if event['id'] == name]
    told = [event for event in own if event['event'] == 'answered']
    left = [event for event in own if event['event'] == 'left']
    if left and not told:
        by_node = left[-1].get('closed_by') == 'node'
        return sentence(left[-1]) if by_node else 'its caller left'
    rejected = [sentence(e) for e in own if e['event'] == 'rejected']
    if rejected:
        return rejected[-1]
    if told and told[-1]['status'] < FAILED:
        return 'it was answered'
    bad = _bad(own, told)
    if bad is not None:
        return sentence(bad) + _call_before(events, name, bad)
    refused = [sentence(e) for e in own if e['event'] == 'declining']
    if refused:
        return refused[-1]
    return sentence(told[-1]) if told else 'no line tells its end'


def _bad(own: list[dict], told: list[dict]) -> dict | None:
    """Return the failed run that decided what the caller was told.

    An upstream's answer is passed on with its status; runs after it may have
    failed in other ways.
    """
    bad = [
        event
        for event in own
        if event['event'] in ('broke', 'ended')
        and event.get('outcome') != 'good'
    ]
    status = told[-1]['status'] if told else None
    same = [event for event in bad if event.get('status') == status]
    return (same or bad or [None])[-1]


def _call_before(events: typing.Sequence[dict], name: str, run: dict) -> str:
    """Return the failed call of a run, if one was answered last."""
    until = run.get('time_ms', 0) + CALL_MS
    since = run.get('time_ms', 0) - run.get('service_ms', 0) - CALL_MS
    calls = [
        event
        for event in events
        if event['id'] != name
        and event['event'] == 'answered'
        and since <= event.get('time_ms', 0) <= until
    ]
    if not calls or calls[-1]['status'] < FAILED:
        return ''
    last = calls[-1]
    return '; its call %s was %s' % (last['id'], sentence(last))


class _Shown(dict):
    """The fields of an event, and what is made of them."""

    def __missing__(self, name: str) -> str:
        make = {
            'idempotence': self._idempotence,
            'age': self._age,
            'before': self._before,
            'trial_text': lambda: self._flag('trial', '; as a trial'),
            'repeat_text': self._repeat,
            'stop_text': self._stop,
            'detour_text': lambda: self._flag('detour', '; by a third node'),
            'sent_text': self._sent,
            'refused_text': lambda: self._flag(
                'refused', '; it is refused from now on'
            ),
            'refused_now': self._refused_now,
        }.get(name)
        return make() if make is not None else '?'

    def _repeat(self) -> str:
        kind = self.get('repeat')
        if not kind:
            return ''
        call = kind == decisions.CALL_OF_REPEAT
        what = 'call of a repeat' if call else 'repeat'
        return '; a %s, charged to the %s' % (what, self.get('paid'))

    def _stop(self) -> str:
        left_ms = self.get('stop_left_ms', -1)
        if left_ms < 0:
            return ''
        return '; ends in %d ms%s' % (left_ms, self._expectation())

    def _expectation(self) -> str:
        """Return what a gateway that stops expects of a run."""
        if 'known_runs' not in self:
            return ''
        return ', expects %d ms, longest of %d runs %d ms' % (
            self['expected_ms'],
            self['known_runs'],
            self['longest_ms'],
        )

    def _idempotence(self) -> str:
        return 'may be repeated' if self['idempotent'] else 'runs once'

    def _age(self) -> str:
        known = self['known_ms']
        return 'from nothing' if known < 0 else '%d ms ago' % known

    def _refused_now(self) -> str:
        return 'refused here' if self['refused'] else 'not refused any more'

    def _before(self) -> str:
        refused = self['refused']
        return '; refused before: %s' % refused if refused else ''

    def _flag(self, name: str, text: str) -> str:
        return text if self[name] else ''

    def _sent(self) -> str:
        return 'it may have run' if self['sent'] else 'it was not sent'
