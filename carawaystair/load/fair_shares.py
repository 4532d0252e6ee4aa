"""Shares of customers in the slots of one upstream.

Start-time fair queueing: each request has a start tag, and of equally urgent
ones the least tag goes first.  The tags of one customer are apart by the
expected service times of its requests, and a customer that was served little
starts at the virtual time, which follows the tags of the requests that begin.
So a customer that asks for less than others hardly waits behind their
backlogs, and nobody's share is lost while others do not ask for it.

Work that began without waiting counts as well, so that a burst starts with
what its customer holds.  Requests without a customer have one share together;
while no customer is known, all tags are equal.
"""

import math
import typing

# Time constant of the work that counts as done lately, in seconds: a few
# requests of a customer that has much, and shorter than most bursts.
WINDOW_S = 3.0
# Customers of one rank that are remembered; more are behind only for as long
# as they have requests here.
MAX_FLOWS = 256


class Work(typing.NamedTuple):
    """Work that began lately, in shares of the slots.

    :param share: moving share of the slots.
    :param at: monotonic time at which it was updated, in seconds.
    """

    share: float = 0.0
    at: float = 0.0

    def now(self, now: float) -> float:
        """Return the share now."""
        return self.share * math.exp((self.at - now) / WINDOW_S)


class Shares:
    """Start tags of requests, by rank and customer."""

    def __init__(self) -> None:
        # Work that began lately, by rank, and by rank and customer.
        self.by_rank: dict[int, Work] = {}
        self.by_customer: dict[tuple[int, str], Work] = {}
        # Virtual time by rank, in seconds of service.
        self.virtual: dict[int, float] = {}
        # Where the next request of a customer starts, by rank and customer.
        self.next_starts: dict[tuple[int, str], float] = {}

    def virtual_time(self, rank: int) -> float:
        """Return the virtual time of a rank, in seconds of service."""
        return self.virtual.get(rank, 0.0)

    def start(self, rank: int, customer: str) -> float:
        """Return the start tag of a customer's next request, in seconds."""
        virtual = self.virtual_time(rank)
        return max(self.next_starts.get((rank, customer), virtual), virtual)

    def join(self, rank: int, customer: str, service_s: float) -> float:
        """Count a request; return its start tag, in seconds.

        :param rank: its priority.
        :param customer: its customer, '' if none.
        :param service_s: its expected service time in seconds.
        """
        tag = self.start(rank, customer)
        if customer or self.next_starts:
            self.next_starts[rank, customer] = tag + service_s
            self._forget()
        return tag

    def begin(
        self, rank: int, customer: str, tag: float, work: float, now: float
    ) -> None:
        """Let the virtual time follow a request that begins.

        :param work: share of all slots that it takes, in seconds.
        """
        if tag > self.virtual_time(rank):
            self.virtual[rank] = tag
        added = work / WINDOW_S
        share = self.by_rank.get(rank, Work()).now(now) + added
        self.by_rank[rank] = Work(share, now)
        if customer:
            share = self.share(rank, customer, now) + added
            # The oldest stands first.
            self.by_customer.pop((rank, customer), None)
            self.by_customer[rank, customer] = Work(share, now)
            if len(self.by_customer) > MAX_FLOWS:
                del self.by_customer[next(iter(self.by_customer))]

    def share(self, rank: int, customer: str, now: float) -> float:
        """Return the share of the slots that a customer had lately."""
        return self.by_customer.get((rank, customer), Work()).now(now)

    def overtaking(self, rank: int, customer: str, now: float) -> float:
        """Return the share of the slots that overtakes a late request.

        That is more urgent work, and that of others of its rank if its
        customer is ahead of them.
        """
        share = sum(
            work.now(now)
            for other, work in self.by_rank.items()
            if other < rank
        )
        if self.start(rank, customer) > self.virtual_time(rank):
            share += self.by_rank.get(rank, Work()).now(now)
            share -= self.share(rank, customer, now)
        return share

    def leave(self, rank: int, customer: str, service_s: float) -> None:
        """Take back a request that was counted and did not begin."""
        if (rank, customer) in self.next_starts:
            self.next_starts[rank, customer] -= service_s

    def _forget(self) -> None:
        """Forget customers that would start at the virtual time anyway."""
        if len(self.next_starts) <= MAX_FLOWS:
            return
        self.next_starts = {
            key: start
            for key, start in self.next_starts.items()
            if start > self.virtual.get(key[0], 0.0)
        }
