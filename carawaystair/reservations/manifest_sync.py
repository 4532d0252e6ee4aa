"""Changes of the placement state that follow from the manifest."""

import itertools
import typing

from carawaystair import clock
from carawaystair import manifest as manifests
from carawaystair.reservations import placement_state
from carawaystair.reservations import placement_table
from carawaystair.reservations import windows
from carawaystair import routing as routings
from carawaystair import rows


class ManifestSync:
    """Compares the manifest with the agreed key space."""

    def __init__(self) -> None:
        # Services no longer in the manifest, with the time since when.
        self.removed_since: dict[str, float] = {}
        # Time since when the longest window is below the agreed one.
        self.shorter_since: float | None = None

    def due_changes(
        self, routing: routings.Routing, key_space: placement_table.KeySpace
    ) -> typing.Iterator:
        """Yield the changes to propose."""
        services = routing.services()
        window = max(routing.service(n).key_window_s for n in services)
        yield from self._window_changes(float(window), key_space.window_s)
        if key_space.regions:
            yield from self._service_changes(routing, key_space)

    def _window_changes(self, wanted: float, agreed: float) -> typing.Iterator:
        """Raise the agreed window at once, lower it after a delay.

        A restarted replica abstains for the agreed window.  It would vote too
        early if the agreed window were lowered while keys with the longer
        window are still remembered.
        """
        if wanted >= agreed:
            self.shorter_since = None
        elif self.shorter_since is None:
            self.shorter_since = clock.now()
        delay_s = windows.abstention_s(agreed)
        due = (
            self.shorter_since is not None
            and clock.now() - self.shorter_since > delay_s
        )
        if wanted > agreed or due:
            yield placement_state.SetMaxWindow(wanted)

    def _service_changes(
        self, routing: routings.Routing, key_space: placement_table.KeySpace
    ) -> typing.Iterator[placement_state.AssignServices]:
        """Assign regions to new services; drop those of removed services."""
        services = set(routing.services())
        known = {service for service, _region in key_space.key_regions}
        now = clock.now()
        self.removed_since = {
            service: self.removed_since.get(service, now)
            for service in known - services
        }
        delay_s = windows.abstention_s(key_space.window_s)
        drop = [
            name
            for name, at in self.removed_since.items()
            if now - at > delay_s
        ]
        add = unassigned_services(routing, key_space)
        if add or drop:
            yield placement_state.AssignServices(add, tuple(sorted(drop)))


def data_centres(routing: routings.Routing) -> tuple[str, ...]:
    """Return the data centres that the manifest names."""
    table = routing.table
    places = (
        rows.decode(manifests.Place, table.get(key))
        for key in table.small
        if key.startswith(rows.REGION)
    )
    return tuple(
        itertools.chain.from_iterable(place.data_centres for place in places)
    )


def unassigned_services(
    routing: routings.Routing, key_space: placement_table.KeySpace
) -> tuple[tuple[str, str], ...]:
    """Return the services without a region, with the one to assign."""
    known = {service for service, _region in key_space.key_regions}
    missing = sorted(set(routing.services()) - known)
    if not key_space.regions:
        return ()
    return tuple(
        (name, _region_for(routing, name, key_space.regions))
        for name in missing
    )


def _region_for(
    routing: routings.Routing, service: str, regions: tuple[str, ...]
) -> str:
    """Return the region that will hold the keys of a service."""
    wanted = routing.service(service).key_region
    return wanted if wanted in regions else regions[0]
