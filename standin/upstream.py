"""A stand-in upstream: a small HTTP server with slots and faults.

It runs as a process of its own (``python -m standin.upstream``) or within a
test (:func:`make`), on real sockets.  A request path may be anything; the
query says what is wanted:

- ``marker``: names the request; the answer's body is made from it.
- ``bytes``: length of the answer.
- ``ms``: service time, in place of the upstream's own.
- ``crash``: the upstream's process ends after so many ms of work.
- a path with ``/bundles/NAME``: the answer is that bundle, with a strong
  ETag and ranges, the same at every upstream of the service.

``/health``, ``/load``, ``/standin/faults``, ``/standin/runs`` and
``/standin/drain`` are the stand-in's own.
"""

import asyncio
import collections
import json
import math
import os
import pathlib
import random
import typing

from aiohttp import web
import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import logs
from carawaystair import shape
from standin import announce
from standin import answers
from standin import content
from standin import faults
from standin import process
from standin import runs
from standin import slots

SAMPLE_S = 0.1
KEPT_SAMPLES = 600
QUIET_POLL_S = 0.05
STOP_S = 0.5
# Idle connections stay open for so long: those of the callers must not be
# ended by us while they think them good.
KEEPALIVE_S = 3600.0
DEADLINE = 'Caraway-Deadline-Ms'
DEFAULT_BYTES = 512
BUNDLE_BYTES = 256 * 1024
RETRY_AFTER_S = '1'
# Exit code of a process that a request crashed.
CRASHED = 70

LOG = logs.get('standin')


class Options(typing.NamedTuple):
    """How one stand-in upstream is set up.

    :param service: the service that it runs.
    :param id: unique in the fleet.
    :param address: ``ip:port`` to listen at; port 0 takes a free one.
    :param host: name of its host, for logs.
    :param slots: requests that it works on at once.
    :param queue: requests that may wait for a slot.
    :param weight: announced weight.
    :param warmup_s: announced warm-up time, seconds.
    :param announce: ``ip:port`` of the node's local API, or empty.
    :param service_ms: mean service time, ms.
    :param spread: sigma of the log-normal service time; 0 is constant.
    :param cold_s: seconds after the start in which work is slower.
    :param cold_factor: how much slower it is then.
    :param health_ms: time that the health endpoint takes, ms.
    :param mb_per_s: pace of a transfer, 0 for as fast as it goes.
    :param grace_s: seconds that it goes on taking work after announcing
        that it leaves, while the fleet learns of it.
    :param drain_s: seconds that requests in flight get after that.
    :param record: file that takes all runs at the end, or empty.
    :param seed: of all randomness but that of the faults.
    """

    service: str
    id: str
    address: str = '127.0.0.1:0'
    host: str = ''
    slots: int = 5
    queue: int = 64
    weight: float = 1.0
    warmup_s: float = 0.0
    announce: str = ''
    service_ms: float = 20.0
    spread: float = 0.3
    cold_s: float = 0.0
    cold_factor: float = 4.0
    health_ms: float = 25.0
    mb_per_s: float = 0.0
    grace_s: float = 3.0
    drain_s: float = 20.0
    record: str = ''
    seed: int = 1


class Call(typing.NamedTuple):
    """What one request asks for."""

    marker: str
    request: str
    customer: str
    method: str
    bundle: str
    size: int
    ms: float | None
    crash_ms: float | None
    ends: float | None


class Sample(typing.NamedTuple):
    """What health and load endpoints tell about one moment."""

    time: float
    busy: int
    waiting: int
    ill: bool


def read_call(request: web.Request) -> Call:
    """Read what a request asks for; nonsense raises ``ValueError``."""
    query = request.query
    headers = request.headers
    _path, _slash, bundle = request.path.partition('/bundles/')
    default = BUNDLE_BYTES if bundle else DEFAULT_BYTES
    budget = headers.get(DEADLINE)
    ends = None if budget is None else clock.now() + float(budget) / 1000
    return Call(
        query.get('marker', headers.get(content.MARKER, '')),
        headers.get('Caraway-Request-Id', ''),
        headers.get('Caraway-Customer', ''),
        request.method,
        bundle,
        int(query.get('bytes', default)),
        float(query['ms']) if 'ms' in query else None,
        float(query['crash']) if 'crash' in query else None,
        ends,
    )


class Upstream(mode.Service):
    """One stand-in upstream."""

    # Headers that state what the upstream asks of the fleet.
    limit_header = 'Caraway-Limit'
    leaving_header = 'Caraway-Leaving'

    def __init__(self, options: Options, **kwargs) -> None:
        super().__init__(**kwargs)
        self.options = options
        self.address = options.address
        self.slots = slots.Slots(options.slots, options.queue)
        self.runs = runs.Runs()
        self.random = random.Random(options.seed)
        self.samples: collections.deque[Sample] = collections.deque(
            maxlen=KEPT_SAMPLES
        )
        self.counts: collections.Counter = collections.Counter()
        self.tasks: set[asyncio.Task] = set()
        self.silenced: set[asyncio.BaseTransport] = set()
        self.announcer: announce.Announcer | None = None
        self.started_at = 0.0
        self.dice = faults.Dice(faults.NONE, 0.0)
        self.own = {
            '/health': self.health,
            '/load': self.load,
            '/standin/faults': self.change_faults,
            '/standin/runs': self.show_runs,
            '/standin/drain': self.take_drain,
        }

    # Life

    async def on_start(self) -> None:
        """Listen, then announce."""
        self.started_at = clock.now()
        self.set_faults(faults.NONE)
        self.server = web.Server(
            self.handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            access_log=None,
        )
        self.runner = web.ServerRunner(self.server, shutdown_timeout=STOP_S)
        await self.runner.setup()
        ip, _colon, port = self.options.address.rpartition(':')
        site = web.TCPSite(self.runner, ip, int(port))
        await site.start()
        self.address = '%s:%d' % self.runner.addresses[0][:2]
        if self.options.announce:
            self.announcer = announce.Announcer(
                self.options.announce, self.options.id, self.announcement()
            )
            await self.add_runtime_dependency(self.announcer)

    def announcement(self) -> announce.Announcement:
        """Return what is announced at the start."""
        return announce.Announcement(
            self.options.service,
            self.address,
            self.options.slots,
            self.options.weight,
            self.options.warmup_s,
            interfaces.UP,
            clock.wall_ms(),
        )

    async def leave(self) -> None:
        """Leave in order: announce, finish what is in flight, withdraw."""
        if self.announcer is not None:
            await self.announcer.drain()
            await asyncio.sleep(self.options.grace_s)
        ends = clock.now() + self.options.drain_s
        while self.slots.busy and clock.now() < ends:
            await asyncio.sleep(QUIET_POLL_S)
        await self.stop()

    async def on_stop(self) -> None:
        """Withdraw, then close; what still runs is cut off."""
        if self.announcer is not None:
            await self.announcer.stop()
        for task in self.tasks:
            task.cancel()
        for transport in self.silenced:
            transport.abort()
        await self.runner.cleanup()
        if self.options.record:
            pathlib.Path(self.options.record).write_bytes(
                runs.dump(self.runs.all())
            )

    @mode.Service.task
    async def sample(self) -> None:
        """Keep what the endpoints will tell later."""
        while not self.should_stop:
            self.samples.append(self.moment())
            await self.sleep(SAMPLE_S)

    # Work

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        own = self.own.get(request.path)
        if own is not None:
            return await own(request)
        if request.transport in self.silenced:
            # What lost track of the connection lets nothing through, so the
            # request never got here: it is neither run nor answered.
            await asyncio.Event().wait()
        # A task of its own, so that a cancellation can be ignored.
        task = asyncio.create_task(self.serve(request))
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        try:
            response = await asyncio.shield(task)
        except asyncio.CancelledError:
            if self.dice.faults.cancel == faults.SEEN:
                task.cancel()
            raise
        if request.transport in self.silenced:
            await asyncio.Event().wait()
        return response

    def finished(self, task: asyncio.Task) -> None:
        """Forget a task; its caller may be gone, and with it the answer."""
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def stated(self) -> dict[str, str]:
        """Return the headers of an answer that state something."""
        found = {}
        if self.dice.faults.limit >= 0.0:
            found[self.limit_header] = '%g' % self.dice.faults.limit
        if self.dice.faults.leaving:
            found[self.leaving_header] = '1'
        return found

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Wait for a slot, then run the request."""
        try:
            call = read_call(request)
        except ValueError as error:
            return web.Response(status=400, text=str(error))
        self.arrives(call)
        await request.read()
        taken = await self.slots.take(self.left_s(call))
        if taken != slots.TAKEN:
            return self.refuse(taken)
        try:
            return await self.run(request, call)
        finally:
            self.slots.release()

    def arrives(self, call: Call) -> None:
        """Take note of a request before it has a slot."""

    def refuse(self, why: str) -> web.Response:
        """Refuse a request before anything of it was run."""
        self.counts[why] += 1
        return web.Response(
            status=503,
            headers={
                'Caraway-Outcome': 'not-run',
                'Retry-After': RETRY_AFTER_S,
                **self.stated(),
            },
            text='not run: %s' % why,
        )

    def left_s(self, call: Call) -> float | None:
        """Return the seconds left to a call, None when it has no end."""
        ignored = self.dice.faults.deadlines == faults.IGNORED
        if call.ends is None or ignored:
            return None
        return max(call.ends - clock.now(), 0.0)

    async def run(
        self, request: web.BaseRequest, call: Call
    ) -> web.StreamResponse:
        """Run a request in its slot, and take note of how it went."""
        plan = self.dice.plan(call.customer, clock.now())
        number = self.runs.begin(
            runs.Run(
                self.options.id,
                call.request,
                call.marker or call.bundle,
                call.method,
                call.customer,
                clock.wall_ms(),
                fault=plan.fate,
            )
        )
        how = runs.FAILED
        try:
            async with asyncio.timeout(self.left_s(call)):
                if call.crash_ms is not None:
                    await asyncio.sleep(call.crash_ms / 1000)
                    self.fall()
                    await asyncio.Event().wait()
                await asyncio.sleep(self.service_s(call, plan))
                if plan.fate == faults.HANG:
                    await asyncio.Event().wait()
            how = runs.DONE
            return await self.reply(request, call, plan)
        except TimeoutError:
            how = runs.EXPIRED
            return web.Response(
                status=504, text='deadline passed', headers=self.stated()
            )
        except asyncio.CancelledError:
            how = runs.CANCELLED
            raise
        finally:
            self.runs.end(number, how)

    def fall(self) -> None:
        """End the process in the middle of its work."""
        os._exit(CRASHED)

    async def reply(
        self, request: web.BaseRequest, call: Call, plan: faults.Plan
    ) -> web.StreamResponse:
        """Answer as the plan has it; the work is done."""
        await asyncio.sleep(plan.late_s)
        if plan.fate == faults.ERROR:
            status = self.dice.faults.error_status
            return web.Response(
                status=status, text='fault', headers=self.stated()
            )
        response, body = self.answer(request, call)
        response.headers[content.MARKER] = call.marker
        response.headers['Standin-Upstream'] = self.options.id
        response.headers.update(self.stated())
        if request.transport not in self.silenced:
            pace = self.options.mb_per_s * 1e6
            await answers.send(request, response, body, plan.fate, pace)
        return response

    def answer(
        self, request: web.BaseRequest, call: Call
    ) -> tuple[web.StreamResponse, bytes]:
        """Return the head and the body of a good answer."""
        if call.bundle:
            revision = self.dice.faults.revision
            return answers.bundle(request, call.bundle, call.size, revision)
        return web.StreamResponse(), content.make(call.marker, call.size)

    def service_s(self, call: Call, plan: faults.Plan) -> float:
        """Draw a service time, in seconds."""
        mean_ms = self.options.service_ms if call.ms is None else call.ms
        sigma = self.options.spread
        drawn = math.exp(self.random.gauss(-sigma * sigma / 2, sigma))
        cold = clock.now() - self.started_at < self.options.cold_s
        factor = self.options.cold_factor if cold else 1.0
        return mean_ms / 1000 * drawn * factor * plan.factor

    # The stand-in's own endpoints

    def moment(self) -> Sample:
        """Return what is true now."""
        now = clock.now()
        return Sample(
            now, self.slots.busy, len(self.slots.waiting), self.dice.ill(now)
        )

    def told(self) -> Sample:
        """Return what the endpoints tell, which may be old."""
        then = clock.now() - self.dice.faults.lag_s
        if not self.dice.faults.lag_s:
            return self.moment()
        older = (item for item in reversed(self.samples) if item.time <= then)
        return next(older, Sample(then, 0, 0, False))

    async def health(self, _request: web.BaseRequest) -> web.Response:
        """Answer a health check, truly or not."""
        await asyncio.sleep(self.options.health_ms / 1000)
        lies = {faults.GOOD_HEALTH: False, faults.BAD_HEALTH: True}
        ill = lies.get(self.dice.faults.health, self.told().ill)
        return web.json_response({'ok': not ill}, status=503 if ill else 200)

    async def load(self, _request: web.BaseRequest) -> web.Response:
        """Tell the load, truly or not."""
        told = self.told()
        factor = self.dice.faults.load_factor
        return web.json_response(
            {
                'slots': self.options.slots,
                'busy': told.busy * factor,
                'waiting': told.waiting * factor,
            }
        )

    async def change_faults(self, request: web.BaseRequest) -> web.Response:
        """``GET`` tells the faults in force, ``PUT`` replaces them."""
        if request.method == 'PUT':
            try:
                new, mistakes = faults.read(await request.json())
            except json.JSONDecodeError as error:
                return web.Response(status=400, text=str(error))
            if mistakes:
                text = '\n'.join(map(str, mistakes))
                return web.Response(status=400, text=text)
            self.set_faults(new)
            # Whoever sets the faults goes on doing so.
            self.silenced.discard(request.transport)
        return web.json_response(shape.plain(self.dice.faults))

    def set_faults(self, new: faults.Faults) -> None:
        """Put faults in force."""
        self.dice = faults.Dice(new, clock.now())
        if new.silent:
            self.silenced |= {
                connection.transport
                for connection in self.server.connections
                if connection.transport is not None
            }

    async def show_runs(self, _request: web.BaseRequest) -> web.Response:
        """Tell all runs kept, and what was refused."""
        document = {
            'id': self.options.id,
            'total': self.runs.total,
            'refused': dict(self.counts),
            'runs': [run._asdict() for run in self.runs.all()],
        }
        return web.json_response(document)

    async def take_drain(self, _request: web.BaseRequest) -> web.Response:
        """Announce that no new work is wanted, and stay."""
        taken = self.announcer is not None and await self.announcer.drain()
        return web.json_response({'taken': taken})


def make(service: str, id: str, **fields) -> Upstream:
    """Make a stand-in upstream; start and stop it as a service.

    :param fields: further fields of :class:`Options`.
    """
    return Upstream(Options(service, id, **fields))


async def run_process(options: Options) -> None:
    """Run until a signal, then leave in order."""
    logs.setup('info', logs.CONSOLE, options.host)
    upstream = Upstream(options)
    await upstream.start()
    LOG.info('Started.', id=options.id, address=upstream.address)
    await process.until_signal()
    await upstream.leave()
    LOG.info('Stopped.', id=options.id, runs=upstream.runs.total)


if __name__ == '__main__':
    text = 'Run one stand-in upstream until SIGTERM.'
    asyncio.run(run_process(process.read_options(Options, text)))
