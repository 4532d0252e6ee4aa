"""Tells coordinators what this node's attempts showed.

Bad attempts are told at once, good ones now and then and only in part, so
that the cost falls on what is rare.  What a node sends is bounded by the pace
that the coordinator sets and by a budget over all services.
"""

import random
import typing

from carawaystair.outlier import levels
from carawaystair.outlier import messages

# Until the coordinator sets a pace.
EVERY_S = 1.0
SPACING_S = 0.1
# Reports of bad attempts over all services, a second, and at once.
URGENT_A_SECOND = 20.0
URGENT_BURST = 40.0
MOST_CELLS = 24
MOST_SAMPLES = 12
# Bytes of cells in one datagram, and what a cell takes beside the name.
CHUNK_BYTES = 1000
CELL_BYTES = 22
# A service that this node no longer uses is forgotten after this, seconds.
IDLE_S = 60.0


class Outbox:
    """What is to be told of one service.

    :param service: the service.
    :param now: monotonic time.
    """

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.cells: dict[tuple[str, int], list[int]] = {}
        self.samples: list[messages.Sample] = []
        self.offered = 0
        self.sent = now
        self.used = now
        self.urgent = False
        self.every_s = EVERY_S
        self.spacing_s = SPACING_S
        self.urgent_level = levels.SLOW
        self.version = 0
        self.bounds: dict[int, levels.Bounds] = {}
        # When the request path last asked for a trial.
        self.copied = -1e9

    def count(
        self, upstream: str, customer_class: int, category: int, count: int
    ) -> list[int]:
        """Add attempts and return their cell."""
        key = (upstream, customer_class)
        cell = self.cells.get(key)
        if cell is None:
            cell = self.cells[key] = [0] * (levels.CATEGORIES + 1)
        cell[category] += count
        return cell

    def sample(
        self,
        route: int,
        upstream: str,
        latency_s: float,
        rng: random.Random,
    ) -> None:
        """Keep some of the latencies (reservoir sampling; Vitter, 1985)."""
        self.offered += 1
        number = levels.short(upstream)
        sample = messages.Sample(route, int(latency_s * 1e6), number)
        if len(self.samples) < MOST_SAMPLES:
            self.samples.append(sample)
            return
        place = rng.randrange(self.offered)
        if place < MOST_SAMPLES:
            self.samples[place] = sample

    def drop(self, upstream: str) -> None:
        """Drop what was to be told of an upstream."""
        self.cells = {
            key: cell for key, cell in self.cells.items() if key[0] != upstream
        }

    def take_pace(self, pace: messages.Pace) -> None:
        """Follow the pace that the coordinator sets."""
        if pace.version != self.version:
            self.bounds = {}
        self.version = pace.version
        self.every_s = pace.every_ms / 1000
        self.spacing_s = pace.spacing_ms / 1000
        self.urgent_level = pace.urgent_level
        self.bounds |= {
            row.route: levels.Bounds(*(us / 1e6 for us in row.bounds_us))
            for row in pace.bounds
        }

    def due(self, now: float) -> float:
        """Return when this is to be sent; infinity when never."""
        if self.urgent:
            return self.sent + self.spacing_s
        return self.sent + self.every_s if self.cells else float('inf')

    def take(self, rng: random.Random, now: float) -> 'Batch':
        """Return what is to be told now and start anew."""
        bad, good = [], []
        for (upstream, customer_class), counts in self.cells.items():
            cell = messages.Cell(
                upstream, customer_class, tuple(counts[:-1]), counts[-1]
            )
            plain = not any(counts[levels.SLOW : levels.UNRATED])
            plain = plain and not any(counts[levels.UNPROVEN :])
            (good if plain else bad).append(cell)
        room = max(MOST_CELLS - len(bad), 1)
        share = 1.0
        if len(good) > room:
            share = room / len(good)
            good = rng.sample(good, room)
        batch = Batch(tuple(bad + good), tuple(self.samples), share)
        self.cells, self.samples, self.offered = {}, [], 0
        self.sent, self.urgent = now, False
        return batch


class Batch(typing.NamedTuple):
    """What an outbox held.

    :param cells: the cells, those with anything bad first.
    :param samples: some latencies.
    :param share: the share of the good cells that is sent.
    """

    cells: tuple[messages.Cell, ...]
    samples: tuple[messages.Sample, ...]
    share: float

    def chunks(self) -> typing.Iterator[tuple[messages.Cell, ...]]:
        """Cut the cells so that each piece fits a datagram."""
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


class Reporter:
    """The outboxes of this node.

    :param rng: source of randomness.
    :param now: monotonic time.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.outboxes: dict[str, Outbox] = {}
        self.tokens = URGENT_BURST
        self.refilled = now

    def outbox(self, service: str, now: float) -> Outbox:
        """Return the outbox of a service, made when missing."""
        found = self.outboxes.get(service)
        if found is None:
            found = self.outboxes[service] = Outbox(service, now)
        found.used = now
        return found

    def ready(self, now: float) -> list[Outbox]:
        """Return the outboxes to send now, and spend the budget on them."""
        gained = (now - self.refilled) * URGENT_A_SECOND
        self.tokens = min(self.tokens + gained, URGENT_BURST)
        self.refilled = now
        found = []
        for outbox in self.outboxes.values():
            if outbox.due(now) > now:
                continue
            if outbox.urgent and self.tokens < 1.0:
                continue
            self.tokens -= outbox.urgent
            found.append(outbox)
        return found

    def forget(self, now: float) -> None:
        """Drop the services that this node no longer uses."""
        self.outboxes = {
            service: outbox
            for service, outbox in self.outboxes.items()
            if now - outbox.used <= IDLE_S
        }
