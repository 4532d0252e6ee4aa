"""A process listens at another IP than the one that others reach."""

import asyncio

import pytest

from carawaystair import datagrams
from carawaystair import links
from carawaystair import settings
from test import fakes
from test import test_links


def test_listeners_move_to_the_bind_ip_and_keep_their_ports():
    text = {
        'host': 'a',
        'data_centre': 'b',
        'region': 'c',
        'peer': '10.0.0.1:7401',
    }
    parsed = settings.parse(fakes.json.dumps(text)).ok
    assert parsed.bound(parsed.peer) == '10.0.0.1:7401'
    parsed = settings.parse(
        fakes.json.dumps({**text, 'bind_ip': '127.0.0.9'})
    ).ok
    assert parsed.bound(parsed.peer) == '127.0.0.9:7401'


@pytest.mark.parametrize('given', ['', 'localhost', '1.2.3.4:5', '::1'])
def test_bind_ip_that_is_no_number_is_refused(given):
    text = {'host': 'a', 'data_centre': 'b', 'region': 'c', 'bind_ip': given}
    _code, mistakes = settings.parse(fakes.json.dumps(text)).error
    assert [mistake.path for mistake in mistakes] == ['$.bind_ip']


def test_messages_tell_the_address_that_others_reach():
    async def scenario():
        told = test_links.free_address()
        there = '127.0.0.3:' + told.rpartition(':')[2]
        one = links.Links(told, bind=there)
        other = links.Links(test_links.free_address())
        heard = []

        async def echo(sender, ping):
            heard.append(sender)
            return test_links.Pong(ping.number)

        async with asyncio.timeout(5.0):
            for each in (one, other):
                each.handle(test_links.Ping, echo)
                await each.start()
            question = test_links.Ping(1)
            assert (await other.call(there, question, 4.0)).is_ok()
            assert (await one.call(other.address, question, 4.0)).is_ok()
            for each in (one, other):
                await each.stop()
        cast = datagrams.Datagrams(told, bind=there)
        await cast.start()
        bound = cast.endpoint.get_extra_info('sockname')
        await cast.stop()
        return heard, told, bound, there

    heard, told, bound, there = asyncio.run(scenario())
    assert heard[-1] == told
    assert '%s:%d' % bound == there
