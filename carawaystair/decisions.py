"""One log line for each decision that touches a request or a belief.

A request's story is told by its id, over all processes: with which inputs it
was offered to which upstream, who refused it and why, where it ran, what it
was answered.  Each event is a type here, so that a field has one name and one
meaning everywhere; ``docs/EVENTS.md`` lists them.

The volume is bounded: each second has room for so many lines of good
requests, of trouble, and of what the process believes.  What is left out is
counted, and the count stands in the next line.
"""

import typing

import msgspec

from carawaystair import clock
from carawaystair import output

MS = 1000
# Lines a second of each sort, 46 together: other lines are two or three, and
# fifty are allowed.  A process of the users' sites serves up to 12 requests a
# second, two lines each; trouble must not be crowded out by good requests,
# nor what explains it by trouble.
ROUTINE = 'routine'
TROUBLE = 'trouble'
BELIEF = 'belief'
ROOM = {ROUTINE: 17, TROUBLE: 19, BELIEF: 10}
# Kinds of repeats, and the parts of the retry budget that pay for them.
FURTHER_SEND = 'send'
CALL_OF_REPEAT = 'call'
BY_SENDER = 'sender'
BY_SLACK = 'slack'
# Stages of a stop.
BEGUN = 'begun'
CLOSED = 'closed'
LEAVING = 'leaving'
ANSWERED = 'answered'


class Offered(typing.NamedTuple):
    """A node offered a request to a gateway that took it, or was silent.

    :param id: the request.
    :param service: the service that was chosen for it.
    :param upstream: the upstream.
    :param gateway: the host of its gateway.
    :param version: configuration in force, ``TERM.INDEX``.
    :param number: counts the offers of this request.
    :param left_ms: time until its answer is owed, ms.
    :param idempotent: whether it may run twice.
    :param inner: whether a running request waits for it.
    :param stays: whether it may wait there, whatever it is worth there.
    :param known_ms: age of what this node knows of the upstream's load, ms;
        -1 when nothing is known.
    :param load: requests that this node believes to be with it.
    :param candidates: upstreams of the service that take work.
    :param refused: gateways that refused it before, ``UPSTREAM:REASON``
        each, see ``gateway.hops`` and ``load.rejection``.
    :param stop_left_ms: time until this process ends, ms; -1 unless it stops.
    :param whole_ms: time from its head to its last byte, ms; -1 while a part
        of its body is missing.
    """

    id: str
    service: str
    upstream: str
    gateway: str
    version: str
    number: int
    left_ms: int
    idempotent: bool
    inner: bool
    stays: bool
    known_ms: int
    load: int
    candidates: int
    refused: str
    stop_left_ms: int
    whole_ms: int


class Broke(typing.NamedTuple):
    """An offer brought no answer.

    :param id: the request.
    :param upstream: the upstream.
    :param code: what went wrong, ``CS-nnnn``.
    :param sent: whether the request may have run.
    :param after_ms: time since the offer, ms.
    :param detail: the circumstances.
    """

    id: str
    upstream: str
    code: str
    sent: bool
    after_ms: int
    detail: str


class AskedAgain(typing.NamedTuple):
    """A node asks a gateway again for a request that it may have.

    :param id: the request.
    :param upstream: the upstream.
    :param number: counts the sends of this request.
    :param detour: whether through a third node, if there is one.
    :param after_ms: time since the first connection was lost, ms.
    :param code: why the connection counts as lost, ``CS-nnnn``.
    """

    id: str
    upstream: str
    number: int
    detour: bool
    after_ms: int
    code: str


class Spent(typing.NamedTuple):
    """A request that reached an upstream is not sent to another one.

    :param id: the request.
    :param allowed: whether one more upstream might have got it; if so, none
        took it.
    :param runs: upstreams that may have run it.
    :param most: upstreams that may.
    :param sent: sends that reached one.
    :param refused: gateways that refused it, ``UPSTREAM:REASON`` each.
    """

    id: str
    allowed: bool
    runs: int
    most: int
    sent: int
    refused: str


class AwaitedBudget(typing.NamedTuple):
    """A request that upstreams shed waits for the retry budget.

    :param id: the request.
    :param service: the service.
    :param wait_ms: time until the budget should have room for it.
    :param sent: sends that reached an upstream.
    :param left_ms: time until its deadline.
    """

    id: str
    service: str
    wait_ms: int
    sent: int
    left_ms: int


class Answered(typing.NamedTuple):
    """A caller got its answer.

    :param id: the request.
    :param route: its route.
    :param service: its service.
    :param status: HTTP status.
    :param outcome: ``complete``, ``not-run`` or ``unknown``.
    :param code: ``CS-nnnn``.
    :param offers: offers that were made.
    :param total_ms: time since the request was read, ms.
    :param digest: the same for all requests that ask for the same.
    :param caller: ``ip:port`` of its connection.
    :param number: counts the requests on that connection, from 1.
    :param ahead: earlier ones that had no answer when it was started.
    :param pipelined: whether its answer waited for those of earlier ones.
    :param detail: the circumstances of a failure.
    :param whole_ms: time from its head to its last byte, ms; -1 if a part of
        its body never came.
    """

    id: str
    route: str
    service: str
    status: int
    outcome: str
    code: str
    offers: int
    total_ms: int
    digest: str
    caller: str
    number: int
    ahead: int
    pipelined: bool
    detail: str
    whole_ms: int


class Rejected(typing.NamedTuple):
    """A request was refused before it was offered.

    :param id: the request.
    :param method: its method.
    :param asked: the host that it asked for.
    :param path: its path.
    :param status: HTTP status.
    :param code: ``CS-nnnn``.
    :param version: configuration in force, ``TERM.INDEX``; ``0.0`` while
        there is none.
    :param version_ms: for how long it has been in force here, ms.
    :param behind_ms: since a newer one is known here, ms; 0 while none is.
    :param detail: the circumstances.
    """

    id: str
    method: str
    asked: str
    path: str
    status: int
    code: str
    version: str
    version_ms: int
    behind_ms: int
    detail: str


class Left(typing.NamedTuple):
    """A connection ended before its request was answered; that is cancelled.

    :param id: the request.
    :param offers: offers that were made.
    :param total_ms: time since the request was read, ms.
    :param closed_by: who ended the connection, ``caller`` or ``node``.
    """

    id: str
    offers: int
    total_ms: int
    closed_by: str


class Began(typing.NamedTuple):
    """A gateway sends a request to its upstream.

    :param id: the request.
    :param upstream: the upstream.
    :param sender: the host that handed it over.
    :param waited_ms: time that it waited here, ms.
    :param running: requests that run there, this one included.
    :param waiting: requests that wait.
    :param slots: requests that the upstream works on at once.
    :param left_ms: time until its answer is owed, ms.
    :param trial: whether it runs there for what that shows, and is worth
        more elsewhere.
    :param service: its service.
    :param number: counts the sends of this request to gateways.
    :param repeat: empty for a first send, ``send`` for a further one, ``call``
        for a call of a run that was a further send itself.
    :param paid: the part of the retry budget that a repeat was charged to:
        ``sender`` for that of the host that handed it over, ``slack`` for
        that of this gateway; empty for a first send.
    :param paid_ms: time since it was charged to the slack, ms; -1 otherwise.
    :param stop_left_ms: time until this process ends, ms; -1 unless it stops.
    :param expected_ms: expected duration of the run, ms.
    :param longest_ms: duration of the longest run of its route that ended
        lately, here or at a gateway that told this one, ms.
    :param known_runs: how many runs that is the longest of.
    :param sender_left_ms: time until its sender ends, as that told, ms; -1
        if it did not stop when it handed the request over.
    """

    id: str
    upstream: str
    sender: str
    waited_ms: int
    running: int
    waiting: int
    slots: int
    left_ms: int
    trial: bool
    service: str
    number: int
    repeat: str
    paid: str
    paid_ms: int
    stop_left_ms: int
    expected_ms: int
    longest_ms: int
    known_runs: int
    sender_left_ms: int


class Ended(typing.NamedTuple):
    """What a run at an upstream came to.

    :param id: the request.
    :param upstream: the upstream.
    :param outcome: ``good``, ``error``, ``shed``, ``broken``, ``timeout``,
        ``refused`` or ``cancelled``.
    :param status: HTTP status, 0 without an answer.
    :param service_ms: time at the upstream, ms.
    :param failing_pct: how likely the upstream fails the next request, as
        the gateway sees it now, in 100.
    :param digest: the same for all requests that ask for the same.
    :param detail: the circumstances.
    """

    id: str
    upstream: str
    outcome: str
    status: int
    service_ms: int
    failing_pct: int
    digest: str
    detail: str


class Paced(typing.NamedTuple):
    """A long answer waited for the link of its gateway's host.

    :param id: the request.
    :param upstream: the upstream.
    :param sender: the host that gets the answer.
    :param bytes: bytes of it.
    :param first_ms: from when it was ready until its first bytes went, ms.
    :param total_ms: and until its last ones went, ms.
    :param ahead_ms: what all long bodies that waited when it was ready needed
        of the link, ms.
    """

    id: str
    upstream: str
    sender: str
    bytes: int
    first_ms: int
    total_ms: int
    ahead_ms: int


class Unread(typing.NamedTuple):
    """A long answer was broken off, since its reader had stopped.

    Its memory was needed for the first bytes of another one.

    :param id: the request.
    :param owner: the customer, caller or host whose share it used.
    :param code: the result code.
    :param held_bytes: what was held of it, bytes.
    :param blocked_ms: for how long its reader had taken nothing, ms.
    :param total_bytes: what the process held of all answers, bytes.
    :param limit_bytes: what it may hold, bytes.
    :param answers: number of these answers.
    """

    id: str
    owner: str
    code: str
    held_bytes: int
    blocked_ms: int
    total_bytes: int
    limit_bytes: int
    answers: int


class Abandoned(typing.NamedTuple):
    """A gateway cancels a run for which nobody waits.

    :param id: the request.
    :param upstream: the upstream.
    :param sender: the host that handed it over last.
    :param why: how its last connection ended: ``closed`` by its sender; or
        ``lost``, and it was not asked for again in time.
    """

    id: str
    upstream: str
    sender: str
    why: str


class Declining(typing.NamedTuple):
    """A gateway refuses a request; it was not run and will not be.

    :param id: the request.
    :param upstream: the upstream.
    :param sender: the host that handed it over.
    :param reason: why.
    :param detail: the circumstances.
    :param running: requests that run there.
    :param waiting: requests that wait.
    :param slots: requests that the upstream works on at once.
    """

    id: str
    upstream: str
    sender: str
    reason: str
    detail: str
    running: int
    waiting: int
    slots: int


class LeaseDecided(typing.NamedTuple):
    """The node of a host decided on what an upstream said of itself.

    Renewals that change nothing have no line.

    :param upstream: the upstream.
    :param call: ``announce``, ``remove``, or ``restore`` where other
        processes remembered a departure.
    :param state: the state that it gave, ``up``, ``draining`` or ``gone``.
    :param incarnation: its incarnation, 0 if it gave none and none is known.
    :param number: number of the announcement; 0 if it has none.
    :param leased: whether it had a lease.
    :param known: what was known of it, ``INCARNATION/NUMBER/STATE``, or empty.
    :param known_ms: time for which that will be remembered, ms.
    :param code: ``CS-nnnn``; ``CS-0000`` if it was accepted.
    """

    upstream: str
    call: str
    state: str
    incarnation: int
    number: int
    leased: bool
    known: str
    known_ms: int
    code: str


class DeparturesAsked(typing.NamedTuple):
    """A process was asked to remember departures, or what it remembers.

    :param call: ``keep`` or ``recall``.
    :param owner: the host of the upstreams, which asked.
    :param upstreams: the upstreams that it named, separated by spaces.
    :param held: number of its departures that are remembered now.
    :param kept: whether the disk has those that it named, or could be read;
        there is no answer otherwise.
    :param memory_ms: time since which this process remembers, ms.
    """

    call: str
    owner: str
    upstreams: str
    held: int
    kept: bool
    memory_ms: int


class DeparturesRecalled(typing.NamedTuple):
    """A node that started asked what others remember of its upstreams.

    :param peer: the process that it asked.
    :param answered: whether it answered in time.
    :param departures: number of departures in its answer.
    :param complete: whether it has all that it was ever given; it does not
        count otherwise.
    :param elapsed_ms: time since the node began to ask, ms.
    """

    peer: str
    answered: bool
    departures: int
    complete: bool
    elapsed_ms: int


class LifeBegan(typing.NamedTuple):
    """A gateway knows of a new life of an upstream, or of its return.

    :param upstream: the upstream.
    :param service: its service.
    :param address: where it takes requests.
    :param incarnation: the life: when it started, ms since 1970, as a rule.
    :param slots: requests that it works on at once.
    :param warmup_ms: time until it carries full load, ms.
    :param cut: runs of its former lives that were in progress and are
        broken now; what became of them is unknown.
    """

    upstream: str
    service: str
    address: str
    incarnation: int
    slots: int
    warmup_ms: int
    cut: int


class LifeEnded(typing.NamedTuple):
    """A gateway lets go of all that it knew of a life of an upstream.

    :param upstream: the upstream.
    :param service: its service.
    :param incarnation: the life.
    :param why: ``left``; ``started anew``; or ``silent``: its lease ended,
        or another upstream has its address or goes on under its id.
    :param running: requests that run there.
    :param waiting: requests that wait, which are refused.
    :param idle: kept connections, which are closed.
    """

    upstream: str
    service: str
    incarnation: int
    why: str
    running: int
    waiting: int
    idle: int


class Stated(typing.NamedTuple):
    """An upstream states something new about itself in an answer.

    :param id: the request that was answered.
    :param upstream: the upstream.
    :param service: its service.
    :param incarnation: the life.
    :param limit: requests a second that it takes from the whole fleet; -1
        when it states none.
    :param limit_before: the same in the answer before.
    :param leaving: whether it is about to leave.
    :param began_ms: time since the request was sent to it, ms.
    :param malformed: values that could not be read, or empty.
    """

    id: str
    upstream: str
    service: str
    incarnation: int
    limit: float
    limit_before: float
    leaving: bool
    began_ms: int
    malformed: str


class RoomChanged(typing.NamedTuple):
    """A gateway offers another number of its upstream's slots.

    :param id: the request whose run decided it.
    :param upstream: the upstream.
    :param slots: slots that are offered from now on.
    :param announced: slots that the upstream announces.
    :param slowdown: its service time with all of them in use, as a multiple
        of that with the fewer ones.
    :param runs: runs that show it.
    """

    id: str
    upstream: str
    slots: int
    announced: int
    slowdown: float
    runs: int


class Suspected(typing.NamedTuple):
    """A gateway takes a request for a possible cause of a crash.

    :param id: the attempt that ran at the upstream.
    :param digest: names what it asks for.
    :param upstream: the upstream that crashed, ``ID/INCARNATION``.
    :param how: what shows the crash.
    :param proven: whether the upstream had served anything since its start.
    :param beside: other requests that ran there.
    :param crashes: upstreams known to have crashed under it, this one too.
    :param cleared: crashes that it is cleared of.
    :param refused: whether it is refused everywhere from now on.
    """

    id: str
    digest: str
    upstream: str
    how: str
    proven: bool
    beside: int
    crashes: int
    cleared: int
    refused: bool


class Quarantined(typing.NamedTuple):
    """A process begins or ceases to refuse a request.

    :param id: the attempt at the last crash that it knows of.
    :param digest: names what it asks for.
    :param refused: whether it is refused from now on.
    :param why: who told, or why it is not refused any more.
    :param crashes: upstreams known to have crashed under it.
    :param cleared: crashes that it is cleared of.
    :param upstreams: those that crashed, ``ID/INCARNATION`` each.
    :param age_ms: time since the last crash, ms.
    :param hold_ms: for how long it is refused, ms.
    """

    id: str
    digest: str
    refused: bool
    why: str
    crashes: int
    cleared: int
    upstreams: str
    age_ms: int
    hold_ms: int


class Behind(typing.NamedTuple):
    """A node knows of a newer configuration that it does not have yet.

    Told each second for as long as it lasts.

    :param version: configuration in force, ``TERM.INDEX``.
    :param newest: the newest one that the node was told of.
    :param behind_ms: since the first one newer than the one in force was
        told of, ms.
    :param asked: the process that is being asked, or was last.
    :param steps: steps that were read since the process started.
    :param tables_begun: whole tables that it began to read since then.
    :param tables_read: those that were read to the end.
    """

    version: str
    newest: str
    behind_ms: int
    asked: str
    steps: int
    tables_begun: int
    tables_read: int


class CaughtUp(typing.NamedTuple):
    """A node that was behind has a newer configuration in force.

    :param version: that configuration, ``TERM.INDEX``.
    :param behind_ms: for how long it was behind, ms.
    """

    version: str
    behind_ms: int


class TenureChanged(typing.NamedTuple):
    """The right of a process to grant parts of allowances changed.

    :param change: ``began`` or ``ended`` at the holder, ``assigned`` at the
        leader of control.
    :param parts: the parts, ``SLICE.PART`` each.
    :param holder: host of the holder.
    :param process: the holder's process.
    :param left_ms: time until the tenure ends unless it is renewed, ms.
    """

    change: str
    parts: str
    holder: str
    process: str
    left_ms: int


class QuotaRefused(typing.NamedTuple):
    """A request got no grant.

    :param id: the request.
    :param customer: its customer.
    :param code: ``CS-nnnn``.
    :param asked: what each part said or was last known to say, ``PART:WHAT``
        each; part 0 is that of the leader of control.
    :param retry_ms: when a grant may be had, ms.
    """

    id: str
    customer: str
    code: str
    asked: str
    retry_ms: int


class StopStage(typing.NamedTuple):
    """The stop of a node has got to its next stage.

    :param stage: ``begun``, ``closed`` to callers, ``leaving`` the fleet,
        ``answered`` all requests or about to break off the rest.
    :param signal_ms: time since the process was asked to stop, ms.
    :param left_ms: time until it ends, ms.
    :param callers: requests of callers that have no answer yet.
    :param hops: requests of nodes that have no answer yet.
    :param orphans: runs that nobody waits for at the moment.
    :param age_ms: time since the process started, ms.
    """

    stage: str
    signal_ms: int
    left_ms: int
    callers: int
    hops: int
    orphans: int
    age_ms: int


class Noted(typing.NamedTuple):
    """An event of the time line: what the process believes has changed.

    :param kind: name of the event.
    :param service: the service concerned, or empty.
    :param upstream: the upstream concerned, or empty.
    :param version: the configuration version concerned, or empty.
    :param text: one sentence.
    """

    kind: str
    service: str
    upstream: str
    version: str
    text: str


# Names of the events in the logs, and of the parts that write them.
NAMES = {
    Offered: ('relay', 'offered'),
    Broke: ('relay', 'broke'),
    AskedAgain: ('relay', 'asked-again'),
    Spent: ('relay', 'spent'),
    AwaitedBudget: ('relay', 'awaited-budget'),
    Answered: ('relay', 'answered'),
    Rejected: ('relay', 'rejected'),
    Left: ('relay', 'left'),
    Began: ('gateway', 'began'),
    Ended: ('gateway', 'ended'),
    Paced: ('gateway', 'paced'),
    Unread: ('gateway', 'unread'),
    Abandoned: ('gateway', 'abandoned'),
    Declining: ('gateway', 'declining'),
    LeaseDecided: ('membership', 'lease-decided'),
    DeparturesAsked: ('membership', 'departures-asked'),
    DeparturesRecalled: ('membership', 'departures-recalled'),
    LifeBegan: ('gateway', 'life-began'),
    LifeEnded: ('gateway', 'life-ended'),
    Stated: ('gateway', 'stated'),
    RoomChanged: ('gateway', 'room-changed'),
    Suspected: ('gateway', 'suspected'),
    Quarantined: ('quarantine', 'quarantined'),
    Behind: ('follower', 'behind'),
    CaughtUp: ('follower', 'caught-up'),
    TenureChanged: ('quota', 'tenure-changed'),
    QuotaRefused: ('quota', 'quota-refused'),
    StopStage: ('gateway', 'stop-stage'),
    Noted: ('process', 'noted'),
}


class Recorder:
    """Writes the decisions of one process.

    :param host: the host's name, in each line.
    :param sink: takes the lines; None to write none.
    """

    def __init__(self, host: str, sink: output.Sink | None = None) -> None:
        self.host = host
        self.sink = sink
        self.room = output.Room(ROOM)

    def tell(self, event: typing.NamedTuple, sort: str = ROUTINE) -> None:
        """Write an event, if this second has room for one of its sort."""
        if self.sink is None:
            return
        wall_ms = clock.wall_ms()
        if not self.room.take(wall_ms // MS, sort):
            return
        part, name = NAMES[type(event)]
        line = {
            'time_ms': wall_ms,
            'host': self.host,
            'part': part,
            'event': name,
            **event._asdict(),
        }
        if left_out := self.room.tell():
            line['left_out'] = left_out
        self.sink.line(msgspec.json.encode(line))
