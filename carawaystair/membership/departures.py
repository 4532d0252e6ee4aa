"""Departures of upstreams outlive the process that acknowledged them.

A node has no disk.  It acknowledges that an upstream leaves once control hosts
have that on their disks, and after its start it asks them before it accepts
upstreams.  Otherwise an announcement that was sent before the departure, and
arrives at the next process of the host, would bring the upstream back.

Any process takes either part: ``keep`` and ``_recall`` are those of the host
of the upstreams, ``_handle_keep`` is that of one that remembers.
"""

import asyncio
import functools
import typing

import expression
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import bounds
from carawaystair.membership import departure_handover
from carawaystair.membership import departure_quorum
from carawaystair.membership import departure_store
from carawaystair.membership import lifetimes
from carawaystair.membership import messages
from carawaystair.membership import registry as registries
from carawaystair.membership import table as tables

# Timeout of a question to another process; upstreams wait for a second.
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
    :param control_hosts: ``ip:port`` of the links of some control hosts.
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
        control_hosts: typing.Sequence[str] = (),
        recorder: decisions.Recorder | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.recorder = recorder or decisions.Recorder('')
        self.created_at = clock.now()
        self.table = table
        self.registry = registry
        self.transport = transport
        self.own_peer = table.own_entry.member.peer
        self.seeds = tuple(seed for seed in seeds if seed != self.own_peer)
        self.control_group = control_group
        # The newest control group that others have named; those of the
        # settings until then.
        self.named_group = interfaces.ControlGroup(peers=tuple(control_hosts))
        self.store = store
        self.memory = store.memory
        # Set once upstreams are accepted.
        self.accepting = asyncio.Event()
        # Whether the memory of this process has been asked.
        self.own_recalled = False
        # Questions to other processes.
        self.questions: set[asyncio.Task] = set()
        self.handover = departure_handover.HandOver(
            table, self.memory, transport, lambda: self.group().peers
        )
        transport.handle(messages.KeepDepartures, self._handle_keep)

    async def on_start(self) -> None:
        """Start the parts."""
        await self.add_runtime_dependency(self.store)
        await self.add_runtime_dependency(self.handover)

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
            is_kept = functools.partial(departure_quorum.are_most, peers)
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
        """Return the addresses of the processes that remember departures."""
        return departure_quorum.keepers(self._view())

    def _view(self) -> departure_quorum.View:
        live = (entry.member for entry in self.table.live_entries())
        return departure_quorum.View(
            self.own_peer, tuple(live), self.group().peers, self.seeds
        )

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
        answered = await self._ask((self.own_peer,), message, bool)
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

    def _is_recalled(self, answered: set[str]) -> bool:
        """Tell whether nobody else can know of another departure."""
        return departure_quorum.is_recalled(
            self._view(), answered, self.own_recalled
        )

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
        question = asyncio.create_task(self._ask_one(peer, message))
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
        self.own_recalled |= peer == self.own_peer
        for departure in filter(bounds.departure_ok, result.ok.departures):
            self.registry.restore(departure)
        return peer if result.ok.complete else ''

    async def _call(
        self, peer: str, message: messages.KeepDepartures
    ) -> expression.Result[messages.KeptDepartures, codes.Failure]:
        if peer != self.own_peer:
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

    async def _handle_keep(
        self, sender: str, message: messages.KeepDepartures
    ) -> messages.KeptDepartures | None:
        """Remember departures of another host; answer once they are kept.

        Those of this host are of an earlier process of it.
        """
        valid = all(map(bounds.departure_ok, message.departures))
        if not bounds.name_ok(message.host) or not valid:
            return None
        own_host = message.host == self.table.host
        handed_over = own_host and sender != self.own_peer
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
