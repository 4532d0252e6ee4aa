"""Departures of upstreams outlive the process that acknowledged them.

A node has no disk.  It acknowledges that an upstream leaves once other
processes remember it, and after its start it asks them before it accepts
upstreams.  Otherwise an announcement that was sent before the departure, and
arrives at the next process of the host, would bring the upstream back.
"""

import asyncio
import functools
import itertools
import typing

import expression
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import bounds
from carawaystair.membership import departure_store
from carawaystair.membership import lifetimes
from carawaystair.membership import messages
from carawaystair.membership import registry as registries
from carawaystair.membership import table as tables
from carawaystair import rendezvous

# Most processes that remember a departure where there is no control group, or
# too few of its hosts live.
MAX_KEEPERS = 5
# Key by which processes are chosen that stand in for control hosts.
STAND_INS = 'departures'
# Attempts to give a process that is back what it missed.
MAX_HAND_OVERS = 10
# Hosts whose departures are sent at the same time.
HAND_OVER_BATCH = 64
# Timeout of a question to one of them; upstreams wait for a second.
TIMEOUT_S = 0.4
# Pause between questions after the start, in seconds, until upstreams are
# accepted, and then.
RETRY_S = 0.2
LATER_RETRY_S = 3.0
# Time after which upstreams are accepted although too few have answered, so
# that a host that starts while control is away serves.
MAX_RECALL_S = 3.0
# Time for which an announcement waits for the answers, in seconds.
ACCEPT_WAIT_S = 0.4
MS = 1000
# Names of upstreams in a line of the logs, so that it stays short.
MAX_NAMES_SHOWN = 4
# Stands for no answer in the logs.
NOTHING = messages.KeptDepartures(())

LOG = logs.get('membership')


class Departures(mode.Service):
    """Makes other processes remember departures, and remembers theirs.

    :param table: the table of hosts.
    :param registry: leases of the upstreams of this host.
    :param transport: the messages of this process.
    :param seeds: ``ip:port`` of the links of some processes.
    :param store: keeps what this process remembers for others.
    :param control_group: returns the control group, at a control host.
    :param recorder: records events; None to record none.
    """

    def __init__(
        self,
        table: tables.Table,
        registry: registries.Registry,
        transport: interfaces.Transport,
        seeds: typing.Sequence[str],
        store: departure_store.DepartureStore | departure_store.MemoryOnly,
        control_group: typing.Callable[[], interfaces.ControlGroup],
        recorder: decisions.Recorder | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.recorder = recorder or decisions.Recorder('')
        self.created_at = clock.now()
        self.table = table
        self.registry = registry
        self.transport = transport
        own = table.own_entry.member.peer
        self.seeds = tuple(seed for seed in seeds if seed != own)
        self.control_group = control_group
        # The newest control group that others have named.
        self.named_group = interfaces.ControlGroup()
        self.store = store
        self.memory = store.memory
        # Set once upstreams are accepted.
        self.accepting = asyncio.Event()
        # Whether the memory of this process has been asked.
        self.own_recalled = False
        # Questions to other processes.
        self.questions: set[asyncio.Task] = set()
        table.listeners.append(self._hand_over_to)
        transport.handle(messages.KeepDepartures, self._handle_keep)

    async def on_start(self) -> None:
        """Start the store."""
        await self.add_runtime_dependency(self.store)

    async def on_stop(self) -> None:
        """Cancel the questions in progress."""
        for question in self.questions:
            question.cancel()

    # At the host of the upstreams

    async def wait_accepting(self) -> expression.Result[None, codes.Failure]:
        """Wait until upstreams are accepted, or for ``ACCEPT_WAIT_S``."""
        if not self.accepting.is_set():
            try:
                async with asyncio.timeout(ACCEPT_WAIT_S):
                    await self.accepting.wait()
            except TimeoutError:
                return codes.fail(codes.REGISTRY_STARTING)
        return expression.Ok(None)

    async def keep(self, name: str) -> expression.Result[None, codes.Failure]:
        """Make most of the keepers remember that an upstream leaves.

        Succeed at once if it does not leave.

        :param name: id of the upstream.
        """
        departure = self.registry.departure(name)
        if departure is None:
            return expression.Ok(None)
        message = messages.KeepDepartures(self.table.host, (departure,))
        answered: set[str] = set()
        peers: tuple[str, ...] = ()
        while peers != self.keepers():
            # Again for those of a group that an answer has named.
            peers = self.keepers()
            is_kept = functools.partial(_are_most, peers)
            answered |= await self._ask(peers, message, is_kept, answered)
            if peers == self.keepers() and is_kept(answered):
                return expression.Ok(None)
        LOG.warning(
            'Too few processes remember that an upstream leaves.',
            upstream=name,
            state=messages.DEPARTURE_STATES[departure.state],
            asked=len(peers),
            answered=len(answered),
        )
        return codes.fail(codes.DEPARTURE_NOT_KEPT, name)

    def group(self) -> interfaces.ControlGroup:
        """Return the newest control group that is known here."""
        return max(self.control_group(), self.named_group)

    def keepers(self) -> tuple[str, ...]:
        """Return the addresses of the processes that remember departures.

        They are those that the next process of this host asks: the control
        hosts that vote.  Where too few of these live, some other processes
        stand in for the missing ones, the same for all hosts; where no group
        is known, live control hosts and seeds do, or others.
        """
        own = self.table.own_entry.member
        live = [entry.member for entry in self.table.live_entries()]
        others = [member for member in live if member.host != own.host]
        group = self.group().peers
        if group and (not others or _are_most(group, {m.peer for m in live})):
            return group
        found = [
            member.peer
            for member in sorted(others, key=lambda m: (not m.control, m.host))
            if member.control or member.peer in self.seeds
        ]
        ranked = [m.peer for m in rendezvous.rank(STAND_INS, others)]
        if group or not found:
            found = list(dict.fromkeys((*found, *ranked)))
        return tuple(found[:MAX_KEEPERS]) or self.seeds or (own.peer,)

    @mode.Service.task
    async def _recall(self) -> None:
        """Ask what is remembered of this host, until enough have answered.

        Only those whose memory is complete count: "nothing" of others says
        nothing.
        """
        began = clock.now()
        if self.table.own_entry.member.control:
            # It has no upstreams.
            self._accept(began, ())
            return
        message = messages.KeepDepartures(self.table.host)
        answered = await self._ask(self._own_peers(), message, bool)
        while not self._is_recalled(answered) and not self.should_stop:
            peers = (*self.seeds, *self.group().peers, *self.keepers())
            answered |= await self._ask(
                peers, message, self._is_recalled, answered
            )
            waited_s = clock.now() - began
            if waited_s >= lifetimes.RETENTION_S:
                # Whatever was remembered has expired.
                break
            if not self._is_recalled(answered):
                if waited_s >= MAX_RECALL_S:
                    self._accept(began, answered)
                accepting = self.accepting.is_set()
                await asyncio.sleep(LATER_RETRY_S if accepting else RETRY_S)
        self._accept(began, answered)

    def _own_peers(self) -> tuple[str, ...]:
        """Return the own address, as that of those to ask."""
        return (self.table.own_entry.member.peer,)

    def _is_recalled(self, answered: set[str]) -> bool:
        """Tell whether nobody else can know of another departure.

        Most of the control group have answered, so one at least of those
        who confirmed a departure.  Where no group is known, as many as most
        of the seeds.

        :param answered: who has answered with a complete memory.
        """
        group = self.group().peers
        if group:
            return _are_most(group, answered)
        if not self.seeds:
            return self.own_recalled
        others = answered.difference(self._own_peers())
        return len(others) > len(self.seeds) // 2

    def _accept(self, began: float, answered: typing.Collection[str]) -> None:
        """Accept upstreams from now on."""
        if self.accepting.is_set():
            return
        self.accepting.set()
        LOG.info(
            'Upstreams are accepted.',
            seeds=len(self.seeds),
            answered=len(answered),
            seconds=round(clock.now() - began, 3),
            departures=len(self.registry.lifetimes.by_id),
        )

    async def _ask(
        self,
        peers: typing.Iterable[str],
        message: messages.KeepDepartures,
        is_enough: typing.Callable[[set[str]], bool],
        answered: typing.Collection[str] = (),
    ) -> set[str]:
        """Ask some processes; return the addresses that have answered.

        :param is_enough: tells of those that have answered whether no more
            are waited for.
        :param answered: those that have answered before; they are not asked.
        """
        found = set(answered)
        asked = [
            self._start(peer, message)
            for peer in dict.fromkeys(peers)
            if peer not in found
        ]
        for question in asyncio.as_completed(asked):
            peer = await question
            if peer:
                found.add(peer)
            if is_enough(found):
                break
        return found

    def _start(
        self, peer: str, message: messages.KeepDepartures
    ) -> asyncio.Task:
        return self._keep_task(self._ask_one(peer, message))

    def _keep_task(self, work: typing.Coroutine) -> asyncio.Task:
        question = asyncio.create_task(work)
        self.questions.add(question)
        question.add_done_callback(self.questions.discard)
        return question

    async def _ask_one(
        self, peer: str, message: messages.KeepDepartures
    ) -> str:
        """Ask a process; return its address if its answer counts, or ''."""
        result = await self._call(peer, message)
        if result.is_ok():
            self._note_group(result.ok)
        if message.departures:
            return '' if result.is_error() else peer
        self._tell_recalled(peer, result)
        if result.is_error():
            return ''
        self.own_recalled |= peer in self._own_peers()
        for departure in filter(bounds.departure_ok, result.ok.departures):
            self.registry.restore(departure)
        return peer if result.ok.complete else ''

    async def _call(
        self, peer: str, message: messages.KeepDepartures
    ) -> expression.Result[messages.KeptDepartures, codes.Failure]:
        if peer not in self._own_peers():
            return await self.transport.call(peer, message, TIMEOUT_S)
        answer = await self._handle_keep(peer, message)
        if answer is None:
            return codes.fail(codes.PEER_SILENT, peer)
        return expression.Ok(answer)

    def _note_group(self, answer: messages.KeptDepartures) -> None:
        """Take the control group of an answer, if it is newer."""
        if bounds.group_ok(answer.group, answer.group_index):
            named = interfaces.ControlGroup(answer.group_index, answer.group)
            self.named_group = max(self.named_group, named)

    # At another process

    def _hand_over_to(self, change: tables.Change) -> None:
        """Give a process that is back what it missed.

        To a control host all that is remembered here: others have confirmed
        departures in its place.  To a host that has started the departures of
        its own upstreams, which it may not have found anybody to ask for.
        """
        entry, member = change.entry, change.entry.member
        if not entry.up or member.host == self.table.host:
            return
        old = change.old_record
        started = old is None or old.incarnation < entry.record.incarnation
        is_control = member.peer in self.group().peers
        if is_control and (started or not change.was_up):
            departures = self.memory.by_hosts(clock.now())
        elif started:
            own = self.memory.of_host(member.host, clock.now())
            departures = {member.host: own} if own else {}
        else:
            return
        if departures:
            self._keep_task(self._hand_over(member.peer, departures))

    async def _hand_over(
        self,
        peer: str,
        departures: dict[str, tuple[messages.Departure, ...]],
    ) -> None:
        """Send departures by host to a process until it has confirmed them."""
        missing = dict(departures)
        for _attempt in range(MAX_HAND_OVERS):
            hosts = list(missing)
            for start in range(0, len(hosts), HAND_OVER_BATCH):
                batch = hosts[start : start + HAND_OVER_BATCH]
                answers = await asyncio.gather(
                    *(self._give(peer, host, missing[host]) for host in batch)
                )
                for host in itertools.compress(batch, answers):
                    del missing[host]
            if not missing:
                LOG.info(
                    'Departures are handed over.',
                    peer=peer,
                    hosts=len(departures),
                )
                return
            await asyncio.sleep(RETRY_S)
        LOG.warning(
            'Departures are not handed over.', peer=peer, hosts=len(missing)
        )

    async def _give(
        self, peer: str, host: str, departures: tuple[messages.Departure, ...]
    ) -> bool:
        """Return whether a process has confirmed departures of a host."""
        message = messages.KeepDepartures(host, departures)
        result = await self.transport.call(peer, message, TIMEOUT_S)
        return result.is_ok()

    async def _handle_keep(
        self, sender: str, message: messages.KeepDepartures
    ) -> messages.KeptDepartures | None:
        """Remember departures of another host; answer once they are kept.

        Those of this host are of an earlier process of it.
        """
        valid = all(map(bounds.departure_ok, message.departures))
        if not bounds.name_ok(message.host) or not valid:
            return None
        handed_over = (
            message.host == self.table.host and sender not in self._own_peers()
        )
        for departure in message.departures:
            self.memory.add(message.host, departure, clock.now())
            if handed_over:
                self.registry.restore(departure)
        store = self.store
        kept = await (store.save() if message.departures else store.load())
        held = self.memory.of_host(message.host, clock.now())
        self._tell_asked(message, len(held), kept)
        if not kept:
            return None
        group = self.group()
        return messages.KeptDepartures(
            held, store.complete(), group.peers, group.index
        )

    # Log

    def _tell_asked(
        self, message: messages.KeepDepartures, held: int, kept: bool
    ) -> None:
        names = [departure.id for departure in message.departures]
        self.recorder.tell(
            decisions.DeparturesAsked(
                'keep' if names else 'recall',
                message.host,
                ' '.join(names[:MAX_NAMES_SHOWN]),
                held,
                kept,
                int((clock.now() - self.created_at) * MS),
            ),
            decisions.BELIEF,
        )

    def _tell_recalled(self, peer: str, result: expression.Result) -> None:
        found = result.ok if result.is_ok() else NOTHING
        self.recorder.tell(
            decisions.DeparturesRecalled(
                peer,
                result.is_ok(),
                len(found.departures),
                found.complete,
                int((clock.now() - self.created_at) * MS),
            ),
            decisions.BELIEF,
        )


def _are_most(
    group: typing.Collection[str], answered: typing.Collection[str]
) -> bool:
    """Tell whether most of a group are among those that have answered."""
    present = set(group).intersection(answered)
    return len(present) > len(set(group)) // 2
