"""Attempts of this node that wait to be reported to coordinators.

Bad attempts are reported at once, good ones at intervals and only in part, so
that the cost goes to what is rare.  What a node sends is limited by the pace
that the coordinator sets and by a budget over all services.
"""

import random
import typing

from carawaystair.outlier import levels
from carawaystair.outlier import messages

# Defaults until the coordinator sets a pace.
INTERVAL_S = 1.0
MIN_SPACING_S = 0.1
# Budget for reports of bad attempts over all services: a second, and in a
# burst.
URGENT_PER_S = 20.0
URGENT_BURST = 40.0
MAX_CELLS = 24
MAX_SAMPLES = 12
# Bytes of cells in one datagram, and bytes of a cell without its id.
CHUNK_BYTES = 1000
CELL_BYTES = 22
# A service that this node no longer uses is removed after this, seconds.
IDLE_TIMEOUT_S = 60.0


class Outbox:
    """Unsent attempts at one service.

    :param service: the service.
    :param now: monotonic time.
    """

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.cells: dict[tuple[str, int], list[int]] = {}
        self.samples: list[messages.Sample] = []
        self.samples_seen = 0
        self.sent_at = now
        self.used_at = now
        self.urgent = False
        self.interval_s = INTERVAL_S
        self.min_spacing_s = MIN_SPACING_S
        self.urgent_level = levels.SLOW
        self.version = 0
        self.bounds: dict[int, levels.Bounds] = {}
        # When the request path last asked for a trial.
        self.trial_asked_at = -1e9

    def add(
        self, upstream: str, customer_class: int, category: int, count: int
    ) -> list[int]:
        """Add attempts and return their cell."""
        key = (upstream, customer_class)
        cell = self.cells.get(key)
        if cell is None:
            cell = self.cells[key] = [0] * (levels.CATEGORIES + 1)
        cell[category] += count
        return cell

    def add_sample(
        self,
        route: int,
        upstream: str,
        latency_s: float,
        rng: random.Random,
    ) -> None:
        """Sample the latencies (reservoir sampling; Vitter, 1985)."""
        self.samples_seen += 1
        number = levels.short_id(upstream)
        sample = messages.Sample(route, int(latency_s * 1e6), number)
        if len(self.samples) < MAX_SAMPLES:
            self.samples.append(sample)
            return
        place = rng.randrange(self.samples_seen)
        if place < MAX_SAMPLES:
            self.samples[place] = sample

    def drop_upstream(self, upstream: str) -> None:
        """Drop the unsent attempts at an upstream."""
        self.cells = {
            key: cell for key, cell in self.cells.items() if key[0] != upstream
        }

    def apply_pace(self, pace: messages.Pace) -> None:
        """Apply the pace that the coordinator sets."""
        if pace.version != self.version:
            self.bounds = {}
        self.version = pace.version
        self.interval_s = pace.interval_ms / 1000
        self.min_spacing_s = pace.min_spacing_ms / 1000
        self.urgent_level = pace.urgent_level
        self.bounds |= {
            row.route: levels.Bounds(*(us / 1e6 for us in row.bounds_us))
            for row in pace.bounds
        }

    def due_at(self, now: float) -> float:
        """Return when to send; infinity when there is nothing to send."""
        if self.urgent:
            return self.sent_at + self.min_spacing_s
        return self.sent_at + self.interval_s if self.cells else float('inf')

    def take_batch(self, rng: random.Random, now: float) -> 'Batch':
        """Return the attempts to send now, and clear the outbox."""
        bad, good = [], []
        for (upstream, customer_class), counts in self.cells.items():
            cell = messages.Cell(
                upstream, customer_class, tuple(counts[:-1]), counts[-1]
            )
            plain = not any(counts[levels.SLOW : levels.UNRATED])
            plain = plain and not any(counts[levels.UNPROVEN :])
            (good if plain else bad).append(cell)
        room = max(MAX_CELLS - len(bad), 1)
        share = 1.0
        if len(good) > room:
            share = room / len(good)
            good = rng.sample(good, room)
        batch = Batch(tuple(bad + good), tuple(self.samples), share)
        self.cells, self.samples, self.samples_seen = {}, [], 0
        self.sent_at, self.urgent = now, False
        return batch


class Batch(typing.NamedTuple):
    """The content of an outbox at the time of sending.

    :param cells: the cells, those with bad attempts first.
    :param samples: some latencies.
    :param share: the share of the good cells that is sent.
    """

    cells: tuple[messages.Cell, ...]
    samples: tuple[messages.Sample, ...]
    share: float

    def chunks(self) -> typing.Iterator[tuple[messages.Cell, ...]]:
        """Split the cells so that each chunk fits a datagram."""
        piece: list[messages.Cell] = []
        room = CHUNK_BYTES
        for cell in self.cells:
            room -= len(cell.upstream) + CELL_BYTES
            if room < 0 and piece:
                yield tuple(piece)
                piece = []
                room = CHUNK_BYTES - len(cell.upstream) - CELL_BYTES
            piece.append(cell)
        yield tuple(piece)


class Outboxes:
    """The outboxes of this node.

    :param rng: source of randomness.
    :param now: monotonic time.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.by_service: dict[str, Outbox] = {}
        self.tokens = URGENT_BURST
        self.refilled_at = now

    def outbox(self, service: str, now: float) -> Outbox:
        """Return the outbox of a service, and add it if there is none."""
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service[service] = Outbox(service, now)
        found.used_at = now
        return found

    def take_due(self, now: float) -> list[Outbox]:
        """Return the outboxes to send now, and charge them to the budget."""
        gained = (now - self.refilled_at) * URGENT_PER_S
        self.tokens = min(self.tokens + gained, URGENT_BURST)
        self.refilled_at = now
        found = []
        for outbox in self.by_service.values():
            if outbox.due_at(now) > now:
                continue
            if outbox.urgent and self.tokens < 1.0:
                continue
            self.tokens -= outbox.urgent
            found.append(outbox)
        return found

    def remove_idle(self, now: float) -> None:
        """Remove services that this node no longer uses."""
        self.by_service = {
            service: outbox
            for service, outbox in self.by_service.items()
            if now - outbox.used_at <= IDLE_TIMEOUT_S
        }
