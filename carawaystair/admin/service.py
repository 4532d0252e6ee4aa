"""The listener of the administration API, and what stands before it."""

import asyncio
import random
import ssl
import typing

from aiohttp import web
import mode

from carawaystair.admin import audit
from carawaystair.admin import changes
from carawaystair.admin import fields
from carawaystair.admin import fleet as fleets
from carawaystair.admin import guard as guards
from carawaystair.admin import limits
from carawaystair.admin import observe
from carawaystair.admin import replies
from carawaystair.admin import teams
from carawaystair.admin import tls
from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import logs
from carawaystair import manifest as manifests
from carawaystair import settings as settings_module

# How often the certificate's files are looked at.
TLS_LOOK_S = 30.0
# Requests without a good token, a second, over all strangers together.
STRANGERS_PER_S = 10.0
STRANGER = ''
SHUTDOWN_S = 2.0

LOG = logs.get('admin')

Handler = typing.Callable[[changes.Call], typing.Awaitable[replies.Reply]]


class Resource(typing.NamedTuple):
    """One method of one path.

    :param method: HTTP method.
    :param path: path, with ``{names}``.
    :param scope: what the token must allow; empty when none is wanted.
    :param change: whether it counts as a change for the rate limits.
    :param handler: answers it.
    """

    method: str
    path: str
    scope: str
    change: bool
    handler: Handler


def resources(
    change: changes.Changes, look: observe.Observe
) -> tuple[Resource, ...]:
    """Return every resource of the API."""
    read = settings_module.READ
    submit = settings_module.SUBMIT
    rollback = settings_module.ROLLBACK
    drain = settings_module.DRAIN
    base = '/v1/manifests'
    return (
        Resource('POST', base, submit, True, change.submit),
        Resource('GET', base + '/current', read, False, look.current),
        Resource('GET', base + '/history', read, False, look.history),
        Resource('POST', base + '/rollback', rollback, True, change.rollback),
        Resource('GET', '/v1/submissions/{id}', read, False, change.answer),
        Resource('POST', '/v1/drains', drain, True, change.drain),
        Resource('GET', '/v1/status', read, False, look.status),
        Resource('GET', '/v1/audit', read, False, look.audit),
        Resource('GET', '/v1/timeline', read, False, look.timeline),
        Resource('GET', '/metrics', read, False, look.metrics),
        Resource('GET', '/v1/openapi.json', '', False, look.openapi),
    )


class Admin(mode.Service):
    """Serves the administration API of one control host.

    :param settings: of the control role.
    :param known: the teams.
    :param served: the resources.
    """

    def __init__(
        self,
        settings: settings_module.Control,
        known: teams.Teams,
        served: typing.Sequence[Resource],
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.teams = known
        self.reads = limits.Limiter(settings.reads_per_s)
        self.changes = limits.Limiter(settings.changes_per_s)
        self.strangers = limits.Limiter(STRANGERS_PER_S)
        self.context: ssl.SSLContext | None = None
        self.app = web.Application(
            middlewares=[_number_errors],
            client_max_size=manifests.MAX_BYTES,
        )
        for each in served:
            self.app.router.add_route(each.method, each.path, self._bind(each))
        self.runner = web.AppRunner(
            self.app, access_log=None, shutdown_timeout=SHUTDOWN_S
        )

    async def on_start(self) -> None:
        """Listen.

        :raises OSError: when the address is taken or TLS cannot be set up.
        """
        if self.settings.tls is not None:
            made = tls.context(self.settings.tls)
            if made.is_error():
                raise OSError(made.error.sentence())
            self.context = made.ok
        await self.runner.setup()
        ip, port = self.settings.admin.rsplit(':', 1)
        site = web.TCPSite(
            self.runner, ip.strip('[]'), int(port), ssl_context=self.context
        )
        await site.start()
        LOG.info('Listening.', address=self.settings.admin)

    async def on_stop(self) -> None:
        """Let requests in flight finish, then close."""
        await self.runner.cleanup()

    @mode.Service.task
    async def _renew_certificate(self) -> None:
        """Take a new certificate from its files without a stop."""
        files = self.settings.tls
        if files is None:
            return
        seen = tls.stamp(files)
        while not self.should_stop:
            await self.sleep(TLS_LOOK_S)
            now = tls.stamp(files)
            if now in (seen, ()):
                continue
            loaded = tls.load(self.context, files)
            if loaded.is_error():
                # Half-copied files: the old certificate stays in use.
                LOG.warning(
                    'Kept the old certificate.', why=loaded.error.sentence()
                )
                continue
            seen = now
            LOG.info('Took a new certificate.')

    def _bind(self, resource: Resource):
        async def _handle(request: web.Request) -> web.Response:
            return await self._serve(resource, request)

        return _handle

    async def _serve(
        self, resource: Resource, request: web.Request
    ) -> web.Response:
        person = request.headers.get(fields.OPERATOR, '')
        authorization = request.headers.get('Authorization', '')
        caller = self.teams.caller(authorization, _plain(person))
        if caller.is_error() and resource.scope:
            return self._refuse_stranger(caller.error)
        who = (
            caller.ok
            if caller.is_ok()
            else teams.Caller(STRANGER, frozenset())
        )
        wait_s = self._limiter(resource, who).take(who.team)
        if wait_s:
            return _limited(wait_s)
        if resource.scope and not who.may(resource.scope):
            refusal = control.Refusal(codes.SCOPE_MISSING, resource.scope)
            return replies.bad(refusal)
        result = await resource.handler(changes.Call(request, who))
        if result.is_error():
            return replies.bad(result.error)
        if isinstance(result.ok, web.Response):
            return result.ok
        return replies.good(result.ok)

    def _limiter(
        self, resource: Resource, who: teams.Caller
    ) -> limits.Limiter:
        if who.team == STRANGER:
            return self.strangers
        return self.changes if resource.change else self.reads

    def _refuse_stranger(self, refusal: control.Refusal) -> web.Response:
        """Refuse a request without a good token, slowly when many come."""
        wait_s = self.strangers.take(STRANGER)
        if wait_s:
            return _limited(wait_s)
        headers = {'WWW-Authenticate': 'Bearer'}
        return replies.bad(refusal, headers)


def _plain(person: str) -> str:
    """Return a person's name without what would confuse the history."""
    kept = ''.join(sign for sign in person if sign.isprintable())
    return kept.replace('/', '')[:64]


def _limited(wait_s: float) -> web.Response:
    headers = {'Retry-After': limits.retry_after(wait_s)}
    return replies.bad(control.Refusal(codes.RATE_LIMITED), headers)


@web.middleware
async def _number_errors(request: web.Request, handler) -> web.StreamResponse:
    """Give every answer a numbered code, also those of the library."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status in (404, 405):
            detail = '%s %s' % (request.method, request.path)
            refusal = control.Refusal(codes.RESOURCE_UNKNOWN, detail[:200])
            return replies.bad(refusal)
        raise
    except asyncio.CancelledError:
        raise
    except Exception as error:
        # A defect of ours must not close the connection without a word: the
        # sender could not tell whether the change was made.
        LOG.exception('A request failed.', path=request.path)
        refusal = control.Refusal(codes.ADMIN_FAILED, type(error).__name__)
        return replies.bad(refusal)


def make(
    kernel,
    group: control.Control,
    publisher: fleets.Publisher = fleets.Nobody(),
) -> Admin:
    """Return the administration API of a control host.

    :param kernel: the kernel of the process.
    :param group: the control group.
    :param publisher: knows the nodes that ask this host for versions.
    """
    settings = kernel.settings
    fleet = fleets.Fleet(kernel.links, publisher, settings.control_hosts)
    rng = random.Random(settings.host)
    guard = guards.Guard(group, kernel.links, fleet.addresses, rng)
    trail = audit.Trail(group, kernel.timeline)
    served = resources(
        changes.Changes(group, guard, trail),
        observe.Observe(group, fleet, trail, kernel.timeline),
    )
    known = teams.Teams(settings.control.teams)
    return Admin(settings.control, known, served)
