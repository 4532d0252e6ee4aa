"""What the ledger must know of the manifest: homes and the longest window."""

import itertools
import typing

from carawaystair import clock
from carawaystair import manifest as manifests
from carawaystair.reservations import ledger
from carawaystair.reservations import placement
from carawaystair.reservations import windows
from carawaystair import routing as routings
from carawaystair import rows


class Upkeep:
    """Compares the manifest with the ledger."""

    def __init__(self) -> None:
        # Services that are no longer in the manifest, and since when.
        self.gone: dict[str, float] = {}
        # Since when the longest window is shorter than the agreed one.
        self.shorter: float | None = None

    def due(
        self, routing: routings.Routing, space: placement.Space
    ) -> typing.Iterator:
        """Yield the changes that are due."""
        services = routing.services()
        window = max(routing.service(n).key_window_s for n in services)
        yield from self._window(float(window), space.window_s)
        if space.regions:
            yield from self._homes(routing, space)

    def _window(self, wanted: float, agreed: float) -> typing.Iterator:
        """Raise the agreed window at once, lower it late.

        A replica that starts again abstains for the agreed window.  While
        keys of the longer window are still remembered, a shorter one would
        let it vote too early.
        """
        if wanted >= agreed:
            self.shorter = None
        elif self.shorter is None:
            self.shorter = clock.now()
        late = windows.abstain_s(agreed)
        due = self.shorter is not None and clock.now() - self.shorter > late
        if wanted > agreed or due:
            yield ledger.Window(wanted)

    def _homes(
        self, routing: routings.Routing, space: placement.Space
    ) -> typing.Iterator[ledger.Homes]:
        """Give new services a home, forget it after the service is gone."""
        services = set(routing.services())
        known = {service for service, _home in space.homes}
        now = clock.now()
        self.gone = {
            service: self.gone.get(service, now)
            for service in known - services
        }
        late = windows.abstain_s(space.window_s)
        drop = [name for name, at in self.gone.items() if now - at > late]
        add = homeless(routing, space)
        if add or drop:
            yield ledger.Homes(add, tuple(sorted(drop)))


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


def homeless(
    routing: routings.Routing, space: placement.Space
) -> tuple[tuple[str, str], ...]:
    """Return the services that have no home, with the one they get."""
    known = {service for service, _home in space.homes}
    new = sorted(set(routing.services()) - known)
    if not space.regions:
        return ()
    return tuple((name, _home(routing, name, space.regions)) for name in new)


def _home(
    routing: routings.Routing, service: str, regions: tuple[str, ...]
) -> str:
    """Return the region that is to hold a service's keys."""
    wanted = routing.service(service).key_region
    return wanted if wanted in regions else regions[0]
