"""News between gateways about how long runs take.

A process that has just started asks a few gateways of the same service, so
that a stop soon after finds it knowing more than its own first runs.
"""

import random

from carawaystair import clock
from carawaystair.gateway import messages
from carawaystair.load import run_times

# Gateways that are asked until one has answered, each RETRY_S, and then one
# at each interval, seconds.
FIRST_ASKED = 4
RETRY_S = 1.0
INTERVAL_S = 10.0
# How long an answer is waited for, seconds.
ANSWER_S = 5.0
# Routes in one answer, the last that had a run.
MAX_ROUTES = 200
MS = 1000


class RunTimeNews:
    """Asks other gateways, and answers them; one for each process.

    :param links: messages of the process.
    :param membership: the membership service of the process.
    :param times: how long runs have taken, by service.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        links,
        membership,
        times: dict[str, run_times.RunTimes],
        rng: random.Random,
    ) -> None:
        self.links = links
        self.membership = membership
        self.times = times
        self.rng = rng
        # Until when an answer is taken, by process and service.
        self.asked: dict[tuple[str, str], float] = {}
        # When others are asked again, by service of an upstream of this host.
        self.due: dict[str, float] = {}
        links.handle(messages.AskRunTimes, self.answer)
        links.handle(messages.RunTimesSeen, self.hear)
        membership.registry.callbacks.append(self.on_announcement)

    def on_announcement(self, name: str) -> None:
        """Ask others as soon as an upstream of this host is announced."""
        lease = self.membership.registry.leases.get(name)
        if lease is None or lease.announcement.service in self.due:
            return
        self._ask(lease.announcement.service)

    def ask_again(self) -> None:
        """Ask for the services that are due; called each :data:`RETRY_S`.

        The first time other processes may not be known yet.
        """
        now = clock.now()
        self.asked = {
            key: until for key, until in self.asked.items() if until > now
        }
        for service, due in list(self.due.items()):
            if due <= now or not self.times[service].told:
                self._ask(service)

    def _ask(self, service: str) -> None:
        """Ask some of the processes that run requests of a service."""
        self.due[service] = clock.now() + INTERVAL_S
        peers = self._peers(service)
        count = 1 if self.times[service].told else FIRST_ASKED
        question = messages.AskRunTimes(service)
        for peer in self.rng.sample(peers, min(count, len(peers))):
            self.asked[peer, service] = clock.now() + ANSWER_S
            self.links.send(peer, question)

    def _peers(self, service: str) -> list[str]:
        """Return the other processes with upstreams of a service."""
        membership = self.membership
        upstreams = membership.directory.upstreams(service)
        hosts = {upstream.host for upstream in upstreams}
        return sorted(
            member.peer
            for member in membership.members.alive()
            if member.host in hosts and member.peer != self.links.address
        )

    async def answer(self, sender: str, message: messages.AskRunTimes) -> None:
        """Tell another process what has been observed here, if anything."""
        times = self.times.get(message.service)
        latest = times.latest(MAX_ROUTES) if times is not None else ()
        routes = {
            route: (seen.runs, int(seen.longest_s * MS))
            for route, seen in latest
        }
        answer = messages.RunTimesSeen(message.service, routes)
        self.links.send(sender, answer)

    async def hear(self, sender: str, message: messages.RunTimesSeen) -> None:
        """Take what another process has observed, if it was asked."""
        until = self.asked.pop((sender, message.service), 0.0)
        if until < clock.now():
            return
        self.times[message.service].hear(
            sender,
            {
                route: run_times.Seen(max(runs, 0), longest_ms / MS)
                for route, (runs, longest_ms) in message.routes.items()
            },
        )
