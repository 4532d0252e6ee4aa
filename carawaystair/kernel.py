"""The kernel of a process: what every role of it shares."""

import pathlib
import random
import typing

import mode

from carawaystair import clock
from carawaystair.control import files
from carawaystair import datagrams
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair import invariants
from carawaystair import keys
from carawaystair import links
from carawaystair import logs
from carawaystair import output
from carawaystair import plugins
from carawaystair import settings as settings_module
from carawaystair import shutdown as shutdowns
from carawaystair import timeline
from carawaystair import wire

LOG = logs.get('kernel')


class Kernel(mode.Service):
    """One process of the fleet.

    Roles find here the settings, the time line, messages and datagrams.

    :param settings: the checked settings.
    :param registry: the plug-ins.
    :param held: keys of the fleet; the first signs, any is accepted.
    :param sink: takes the lines that tell decisions; None to tell none.
    :param shutdown: the stop of the process.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        registry: plugins.Registry,
        held: typing.Sequence[keys.Key] = (),
        sink: output.Sink | None = None,
        shutdown: shutdowns.Shutdown | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.shutdown = shutdown or shutdowns.Shutdown()
        self.settings = settings
        self.recorder = decisions.Recorder(settings.host, sink)
        self.registry = registry
        self.timeline = timeline.Timeline(
            settings.host, settings.timeline_events
        )
        self.timeline.listeners.append(self._note)
        hybrid = self.timeline.clock
        is_control = 'control' in settings.roles
        self.links = links.Links(
            settings.peer,
            hybrid,
            held,
            settings.bound(settings.peer),
            wire.MAX_BYTES if is_control else links.MAX_BYTES,
        )
        self.datagrams = datagrams.Datagrams(
            settings.gossip,
            hybrid,
            [key.datagram_bytes() for key in held],
            settings.bound(settings.gossip),
        )
        self.roles: list[mode.Service] = []
        # Make further parts, once the roles run.
        self.extensions: list[typing.Callable[['Kernel'], mode.Service]] = []
        self.parts: dict[str, typing.Any] = {}
        # Returns the control group, in the process of a control host.
        self.control_group: typing.Callable[[], interfaces.ControlGroup] = (
            interfaces.ControlGroup
        )
        # Wall time orders the starts of one host; the sequence within is
        # the owner's.
        self.incarnation = 0

    async def use_keys(self, held: typing.Sequence[keys.Key]) -> None:
        """Take other keys of the fleet, without a stop.

        :param held: as for the constructor, not empty.
        """
        # Datagrams first: they are accepted in the old and the new way at
        # once, while links take a moment.
        self.datagrams.use([key.datagram_bytes() for key in held])
        await self.links.use(held)
        names = ', '.join(key.id for key in held)
        self.timeline.record('keys-changed', 'now %s' % names)
        LOG.info('Took other keys.', keys=names)

    def data(self, name: str) -> pathlib.Path | None:
        """Return a folder below the data folder, made when missing.

        :return: None on a host without a disk.
        """
        if self.settings.data_folder is None:
            return None
        folder = pathlib.Path(self.settings.data_folder) / name
        if not folder.exists():
            folder.mkdir(parents=True, exist_ok=True)
            # Files in it are synced with it only, not with its own name.
            files.sync_path(folder.parent)
        return folder

    def random(self, part: str) -> random.Random:
        """Return the source of randomness of one part.

        :param part: its name; tests give each part a fixed seed by it.
        """
        del part
        return random.Random()

    async def on_start(self) -> None:
        """Start links, then the roles that the settings name.

        What remains is left out once the process is asked to stop.
        """
        self.incarnation = clock.wall_ms()
        invariants.LISTENERS.append(self._broken)
        await self.add_runtime_dependency(self.links)
        await self.add_runtime_dependency(self.datagrams)
        factories = self.registry.collect('roles')
        # Control first: a node of the same process follows it.  Stopping
        # goes the other way round, and links last.
        for name in sorted(self.settings.roles):
            if self.shutdown.requested:
                return
            self.roles.append(factories[name](self))
            await self.add_runtime_dependency(self.roles[-1])
        for make in self.extensions:
            if self.shutdown.requested:
                return
            await self.add_runtime_dependency(make(self))
        self.timeline.record('process-started', ', '.join(self.settings.roles))
        self.registry.send(plugins.STARTED, kernel=self)

    async def on_stop(self) -> None:
        """Tell of the stop; the roles then stop, links last."""
        self.timeline.record('process-stopping')
        LOG.info(
            'Sent this much.',
            links=self.links.sent,
            links_bytes=self.links.sent_bytes,
            datagrams=self.datagrams.sent,
            datagrams_bytes=self.datagrams.sent_bytes,
            far_bytes={
                **self.links.traffic.far_bytes(),
                **self.datagrams.traffic.far_bytes(),
            },
        )
        self.registry.send(plugins.STOPPING, kernel=self)
        if self._broken in invariants.LISTENERS:
            invariants.LISTENERS.remove(self._broken)

    def _note(self, event: timeline.Event) -> None:
        """Write an event of the time line to the logs."""
        if event.request:
            # The parts that decide on requests tell more of them.
            return
        self.recorder.tell(
            decisions.Noted(
                event.kind,
                event.service,
                event.upstream,
                event.version,
                event.text,
            ),
            decisions.BELIEF,
        )

    def _broken(self, name: str, detail: str) -> None:
        self.timeline.record('invariant-broken', '%s: %s' % (name, detail))
        LOG.error('An invariant is broken.', name=name, detail=detail)
