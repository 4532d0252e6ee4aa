"""The listener of the administration API, and what stands before it."""

import asyncio
import random
import ssl
import typing

from aiohttp import web
import mode

from carawaystair.admin import audit
from carawaystair.admin import calls
from carawaystair.admin import changes
from carawaystair.admin import fields
from carawaystair.admin import fleet as fleets
from carawaystair.admin import gate
from carawaystair.admin import guard as guards
from carawaystair.admin import members
from carawaystair.admin import observe
from carawaystair.admin import replies
from carawaystair.admin import resources
from carawaystair.admin import stops
from carawaystair.admin import tls
from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import guarded_listener
from carawaystair import logs
from carawaystair import manifest as manifests
from carawaystair import settings as settings_module

# How often the certificate's files are looked at.
TLS_LOOK_S = 30.0
SHUTDOWN_S = 2.0
MAX_CONNECTIONS = 64

LOG = logs.get('admin')


class Admin(mode.Service):
    """Serves the administration API of one control host.

    :param settings: of the control role.
    :param guard: lets callers in.
    :param trail: takes note of refused changes.
    :param served: the resources.
    """

    def __init__(
        self,
        settings: settings_module.Control,
        guard: gate.Gate,
        trail: audit.Trail,
        served: typing.Sequence[resources.Resource],
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.gate = guard
        self.trail = trail
        self.context: ssl.SSLContext | None = None
        self.app = web.Application(
            middlewares=[guarded_listener.note_requests, _number_errors],
            client_max_size=manifests.MAX_BYTES,
        )
        for each in served:
            self.app.router.add_route(each.method, each.path, self._bind(each))
        self.runner = web.AppRunner(
            self.app, access_log=None, shutdown_timeout=SHUTDOWN_S
        )
        self.listener = guarded_listener.GuardedListener(
            settings.admin,
            guarded_listener.Bounds(MAX_CONNECTIONS, manifests.MAX_BYTES),
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
        await self.listener.start(self.runner, self.context)
        LOG.info('Listening.', address=self.settings.admin)

    async def on_stop(self) -> None:
        """Let requests in flight finish, then close."""
        self.listener.close()
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

    def _bind(self, resource: resources.Resource):
        async def _handle(request: web.Request) -> web.Response:
            return await self._serve(resource, request)

        return _handle

    async def _serve(
        self, resource: resources.Resource, request: web.Request
    ) -> web.Response:
        admitted = self.gate.admit(resource, request)
        if admitted.is_error():
            denied = admitted.error
            self._note(resource, request, denied.author, denied.refusal)
            return replies.bad(denied.refusal, denied.headers)
        caller = admitted.ok
        result = await resource.handler(calls.Call(request, caller))
        if result.is_error():
            self._note(resource, request, caller.author(), result.error)
            return replies.bad(result.error)
        if isinstance(result.ok, web.Response):
            return result.ok
        return replies.good(result.ok)

    def _note(
        self,
        resource: resources.Resource,
        request: web.Request,
        author: str,
        refusal: control.Refusal,
    ) -> None:
        """Put a refused change into the audit trail."""
        if resource.change:
            name = request.headers.get(fields.SUBMISSION, '')
            shown = name[: fields.MAX_ID]
            self.trail.refuse(author, resource.change, shown, refusal)


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
    served = resources.every(
        changes.Changes(group, guard),
        stops.Stops(group, guard, fleet),
        members.Members(group),
        observe.Observe(group, fleet, trail, kernel.timeline),
    )
    entrance = gate.make(settings.control)
    return Admin(settings.control, entrance, trail, served)
