"""The kernel of a process: what every role of it shares."""

import pathlib
import random
import typing

import mode

from carawaystair import clock
from carawaystair import datagrams
from carawaystair import invariants
from carawaystair import links
from carawaystair import logs
from carawaystair import plugins
from carawaystair import settings as settings_module
from carawaystair import timeline

LOG = logs.get('kernel')


class Kernel(mode.Service):
    """One process of the fleet.

    Roles find here the settings, the time line, messages and datagrams.

    :param settings: the checked settings.
    :param registry: the plug-ins.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        registry: plugins.Registry,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.registry = registry
        self.timeline = timeline.Timeline(
            settings.host, settings.timeline_events
        )
        hybrid = self.timeline.clock
        self.links = links.Links(settings.peer, hybrid)
        self.datagrams = datagrams.Datagrams(settings.gossip, hybrid)
        self.roles: list[mode.Service] = []
        self.parts: dict[str, typing.Any] = {}
        # Wall time orders the starts of one host; the sequence within is
        # the owner's.
        self.incarnation = 0

    def data(self, name: str) -> pathlib.Path | None:
        """Return a folder below the data folder, made when missing.

        :return: None on a host without a disk.
        """
        if self.settings.data_folder is None:
            return None
        folder = pathlib.Path(self.settings.data_folder) / name
        folder.mkdir(parents=True, exist_ok=True)
        return folder

    def random(self, part: str) -> random.Random:
        """Return the source of randomness of one part.

        :param part: its name; tests give each part a fixed seed by it.
        """
        del part
        return random.Random()

    async def on_start(self) -> None:
        """Start links, then the roles that the settings name."""
        self.incarnation = clock.wall_ms()
        invariants.LISTENERS.append(self._broken)
        await self.add_runtime_dependency(self.links)
        await self.add_runtime_dependency(self.datagrams)
        factories = self.registry.collect('roles')
        # Control first: a node of the same process follows it.  Stopping
        # goes the other way round, and links last.
        for name in sorted(self.settings.roles):
            self.roles.append(factories[name](self))
            await self.add_runtime_dependency(self.roles[-1])
        self.timeline.record('process-started', ', '.join(self.settings.roles))
        self.registry.send(plugins.STARTED, kernel=self)

    async def on_stop(self) -> None:
        """Tell of the stop; the roles then stop, links last."""
        self.timeline.record('process-stopping')
        self.registry.send(plugins.STOPPING, kernel=self)
        if self._broken in invariants.LISTENERS:
            invariants.LISTENERS.remove(self._broken)

    def _broken(self, name: str, detail: str) -> None:
        self.timeline.record('invariant-broken', '%s: %s' % (name, detail))
        LOG.error('An invariant is broken.', name=name, detail=detail)
