"""Announces a stand-in upstream to the node of its host."""

import asyncio
import typing

import aiohttp
import mode

from carawaystair import interfaces
from carawaystair import logs

RENEW_S = 2.0
TIMEOUT_S = 2.0
# Renewed three times a lease, so that two lost renewals do not end it.
RENEWALS_PER_LEASE = 3

LOG = logs.get('announce')


class Announcement(typing.NamedTuple):
    """The JSON body of ``PUT /v1/upstreams/{id}``."""

    service: str
    address: str
    slots: int
    weight: float
    warmup_s: float
    state: str
    incarnation: int


class Announcer(mode.Service):
    """Keeps the announcement of one upstream alive.

    :param local: ``ip:port`` of the node's local API.
    :param id: the upstream's id.
    :param announcement: what it announces; ``state`` changes later.
    """

    def __init__(
        self, local: str, id: str, announcement: Announcement, **kwargs
    ) -> None:
        super().__init__(**kwargs)
        self.url = 'http://%s/v1/upstreams/%s' % (local, id)
        self.announcement = announcement
        self.renew_s = RENEW_S
        self.accepted = 0
        self.failed = 0
        self.session: aiohttp.ClientSession | None = None
        # One message at a time: a renewal under way must not arrive after
        # the withdrawal and bring a gone upstream back.
        self.turn = asyncio.Lock()

    async def on_start(self) -> None:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)

    @mode.Service.task
    async def renew(self) -> None:
        """Announce at once, then renew."""
        while not self.should_stop:
            await self.announce()
            await self.sleep(self.renew_s)

    async def announce(self) -> bool:
        """Send the announcement once.

        :return: whether the node took it.
        """
        try:
            async with self.turn:
                answer = await self.put()
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as e:
            self.failed += 1
            LOG.warning('The node did not take us.', url=self.url, why=str(e))
            return False
        lease_s = float((answer or {}).get('lease_s', RENEW_S * 3))
        self.renew_s = min(RENEW_S, lease_s / RENEWALS_PER_LEASE)
        self.accepted += 1
        return True

    async def put(self) -> dict | None:
        """Send the announcement; raises what went wrong."""
        body = self.announcement._asdict()
        async with self.session.put(self.url, json=body) as response:
            answer = await response.json(content_type=None)
            if response.status >= 300:
                raise ValueError('%d %s' % (response.status, answer))
            return answer

    async def drain(self) -> bool:
        """Announce that no new work is wanted."""
        self.announcement = self.announcement._replace(
            state=interfaces.DRAINING
        )
        return await self.announce()

    async def withdraw(self) -> None:
        """End the announcement."""
        try:
            async with self.turn:
                await self.delete()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            LOG.warning('The node did not let us go.', why=str(error))

    async def delete(self) -> None:
        """Send the withdrawal; raises what went wrong."""
        query = {'incarnation': str(self.announcement.incarnation)}
        async with self.session.delete(self.url, params=query) as response:
            await response.read()

    async def on_stop(self) -> None:
        await self.withdraw()

    async def on_shutdown(self) -> None:
        await self.session.close()
