"""Departures of upstreams outlive the process that acknowledged them.

A node has no disk.  It acknowledges that an upstream leaves once other
processes remember it, and after its start it asks them before it accepts
upstreams.  Otherwise an announcement that was sent before the departure, and
arrives at the next process of the host, would bring the upstream back.
"""

import asyncio
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

# Most processes that remember a departure: control hosts and seeds, or other
# members where there are none of these.
MAX_KEEPERS = 5
MAX_MEMBER_KEEPERS = 3
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
    :param recorder: records events; None to record none.
    """

    def __init__(
        self,
        table: tables.Table,
        registry: registries.Registry,
        transport: interfaces.Transport,
        seeds: typing.Sequence[str],
        store: departure_store.DepartureStore | departure_store.MemoryOnly,
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
        self.store = store
        self.memory = store.memory
        # Set once upstreams are accepted.
        self.accepting = asyncio.Event()
        # Questions to other processes.
        self.questions: set[asyncio.Task] = set()
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

        Succeed at once if it does not leave, or if there are no others.

        :param name: id of the upstream.
        """
        departure = self.registry.departure(name)
        if departure is None:
            return expression.Ok(None)
        peers = self.keepers()
        if not peers:
            return expression.Ok(None)
        message = messages.KeepDepartures(self.table.host, (departure,))
        needed = len(peers) // 2 + 1
        answers = await self._ask(peers, message, needed)
        if len(answers) >= needed:
            return expression.Ok(None)
        LOG.warning(
            'Too few processes remember that an upstream leaves.',
            upstream=name,
            state=messages.DEPARTURE_STATES[departure.state],
            asked=len(peers),
            answered=len(answers),
        )
        return codes.fail(codes.DEPARTURE_NOT_KEPT, name)

    def keepers(self) -> tuple[str, ...]:
        """Return the addresses of the processes that remember departures.

        They are those that the next process of this host finds first: live
        control hosts and seeds; others if there are none of these.
        """
        others = [
            entry.member
            for entry in self.table.live_entries()
            if entry.member.host != self.table.host
        ]
        found = [
            member.peer
            for member in sorted(others, key=lambda m: (not m.control, m.host))
            if member.control or member.peer in self.seeds
        ]
        if found:
            return tuple(found[:MAX_KEEPERS])
        peers = [member.peer for member in others[:MAX_MEMBER_KEEPERS]]
        return tuple(peers) or self.seeds

    @mode.Service.task
    async def _recall(self) -> None:
        """Ask what is remembered of this host, until most seeds answered."""
        began = clock.now()
        message = messages.KeepDepartures(self.table.host)
        needed = len(self.seeds) // 2 + 1 if self.seeds else 0
        # Only those whose memory is complete count: "nothing" of others says
        # nothing.
        answered: set[str] = set()
        while len(answered) < needed and not self.should_stop:
            peers = dict.fromkeys((*self.seeds, *self.keepers()))
            unanswered = [peer for peer in peers if peer not in answered]
            answered |= await self._ask(
                unanswered, message, needed - len(answered)
            )
            waited_s = clock.now() - began
            if waited_s >= lifetimes.RETENTION_S:
                # Whatever was remembered has expired.
                break
            if len(answered) < needed:
                if waited_s >= MAX_RECALL_S:
                    self._accept(began, answered)
                accepting = self.accepting.is_set()
                await asyncio.sleep(LATER_RETRY_S if accepting else RETRY_S)
        self._accept(began, answered)

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
        needed: int,
    ) -> set[str]:
        """Ask some processes; return the addresses that have answered.

        :param needed: answers after which no more are waited for.
        """
        answered: set[str] = set()
        asked = [self._start(peer, message) for peer in peers]
        for question in asyncio.as_completed(asked):
            peer = await question
            if peer:
                answered.add(peer)
            if len(answered) >= needed:
                break
        return answered

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
        result = await self.transport.call(peer, message, TIMEOUT_S)
        if message.departures:
            return '' if result.is_error() else peer
        self._tell_recalled(peer, result)
        if result.is_error():
            return ''
        for departure in filter(bounds.departure_ok, result.ok.departures):
            self.registry.restore(departure)
        return peer if result.ok.complete else ''

    # At another process

    async def _handle_keep(
        self, _sender: str, message: messages.KeepDepartures
    ) -> messages.KeptDepartures | None:
        """Remember departures of another host; answer once they are kept."""
        valid = all(map(bounds.departure_ok, message.departures))
        if not bounds.name_ok(message.host) or not valid:
            return None
        for departure in message.departures:
            self.memory.add(message.host, departure, clock.now())
        store = self.store
        kept = await (store.save() if message.departures else store.load())
        held = self.memory.of_host(message.host, clock.now())
        self._tell_asked(message, len(held), kept)
        if not kept:
            return None
        return messages.KeptDepartures(held, store.complete())

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
