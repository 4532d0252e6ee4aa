"""Which holder a request asks for its grant; free of input and output.

Times are monotonic, in seconds.
"""

import collections
import math
import random
import typing

from carawaystair.quota import parts

# How long a part is taken for full before it is asked again, seconds: grants
# may be given back meanwhile.
FULL_S = 1.0
# How long a holder is not asked after it left a question unanswered, and
# after it said that it does not hold the part, seconds.
SILENT_S = 1.0
NOT_HELD_S = 0.5
# Customers whose full parts are remembered.
MAX_CUSTOMERS = 2000

# What a part said, or was last known to say.
GRANTED = 'granted'
FULL = 'full'
SILENT = 'silent'
NOT_HELD = 'not-held'
NOBODY = 'nobody'
UNDECIDED = 'undecided'


class Full(typing.NamedTuple):
    """A part without room for a customer.

    :param until: when it is asked again.
    :param room: when it has room, if nothing is given back.
    """

    until: float
    room: float


class Candidate(typing.NamedTuple):
    """A holder that may be asked.

    :param part: number of the part.
    :param peer: ``ip:port`` of the holder.
    """

    part: int
    peer: str


class Choice:
    """What a node knows of the holders and of their room.

    :param holders: parts of each allowance that nodes hold.
    :param data_centre: where the node stands.
    :param rng: the source of randomness.
    """

    def __init__(
        self, holders: int, data_centre: str, rng: random.Random
    ) -> None:
        self.holders = holders
        self.data_centre = data_centre
        self.rng = rng
        # Address and data centre of the holders.
        self.places: dict[parts.Key, tuple[str, str]] = {}
        self.full: collections.OrderedDict[tuple[str, int], Full] = (
            collections.OrderedDict()
        )
        # Until when a part's holder is not asked, and why.
        self.avoided: dict[tuple[parts.Key, str], tuple[float, str]] = {}

    def know(
        self,
        places: typing.Iterable[tuple[parts.Key, str, str]],
        everybody: bool,
    ) -> None:
        """Take over who holds what.

        :param everybody: whether nobody else holds a part, which a leader
            does not know at first.
        """
        self.places = {} if everybody else self.places
        self.places.update(
            (key, (peer, data_centre)) for key, peer, data_centre in places
        )
        self.avoided = {
            (key, peer): why
            for (key, peer), why in self.avoided.items()
            if self._holder(key)[0] == peer
        }

    def order(
        self, customer: str, now: float
    ) -> tuple[list[Candidate], dict[int, str]]:
        """Return the holders to ask, and what is known of the other parts.

        A holder in this data centre goes first, then chance decides.
        """
        number = parts.slice_of(customer)
        candidates: list[tuple[bool, Candidate]] = []
        said = {}
        for part in range(1, self.holders + 1):
            key = parts.Key(number, part)
            peer, data_centre = self._holder(key)
            until, why = self.avoided.get((key, peer), (-math.inf, ''))
            if not peer:
                said[part] = NOBODY
            elif self.room_at(customer, part, now) is not None:
                said[part] = FULL
            elif until > now:
                said[part] = why
            else:
                far = data_centre != self.data_centre
                candidates.append((far, Candidate(part, peer)))
        self.rng.shuffle(candidates)
        candidates.sort(key=lambda found: found[0])
        return [candidate for _far, candidate in candidates], said

    def _holder(self, key: parts.Key) -> tuple[str, str]:
        return self.places.get(key, ('', ''))

    def room_at(self, customer: str, part: int, now: float) -> float | None:
        """Return when a full part has room; None if it may have now."""
        known = self.full.get((customer, part))
        return known.room if known is not None and known.until > now else None

    def set_full(
        self, customer: str, part: int, room_s: float, now: float
    ) -> None:
        """Remember that a part has no room.

        :param room_s: time until it has, seconds.
        """
        until = now + min(room_s, FULL_S)
        self.full[customer, part] = Full(until, now + room_s)
        self.full.move_to_end((customer, part))
        while len(self.full) > MAX_CUSTOMERS * (self.holders + 1):
            self.full.popitem(last=False)

    def avoid(
        self, customer: str, candidate: Candidate, why: str, now: float
    ) -> None:
        """Ask a holder for no part of the slice for a moment."""
        key = parts.Key(parts.slice_of(customer), candidate.part)
        pause_s = SILENT_S if why == SILENT else NOT_HELD_S
        self.avoided[key, candidate.peer] = (now + pause_s, why)
