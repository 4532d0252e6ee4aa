"""Tests of what a process counts of its own messages."""

import asyncio

from carawaystair.membership import messages
from test import fakes
from test import test_membership as membership_tests


def test_messages_are_counted_by_type_and_distance():
    async def _run():
        network = fakes.Network()
        nodes = await membership_tests.start_fleet(network, 8)
        for node in nodes:
            node.transport.traffic.far = node.address_locations.is_remote
        membership_tests.announce(nodes[0], 'a')
        await asyncio.sleep(1)
        one = nodes[0].transport.traffic
        asked = nodes[4].identity.peer
        assert not nodes[0].address_locations.is_remote(asked)
        assert nodes[0].address_locations.is_remote(nodes[1].identity.peer)
        before = one.messages['Fetch', False]
        question = messages.Fetch(('host-004',))
        await nodes[0].transport.call(asked, question, 1.0)
        assert one.messages['Fetch', False] == before + 1
        assert one.bytes['Fetch', False] > 0
        names = {sample.name for sample in one.samples()}
        assert names == {'messages_sent_total', 'message_bytes_sent_total'}
        return [
            (node.flooder.received, node.flooder.duplicates) for node in nodes
        ]

    counted = fakes.run(_run())
    received, duplicates = map(sum, zip(*counted, strict=True))
    assert received > 0
    assert duplicates < received
