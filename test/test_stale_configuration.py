"""What a node says while it knows of a newer configuration than its own.

A node 7.5 s behind the accepted configuration answered 404 for routes that
had been added, as if it knew them not to exist.  Callers don't repeat a
request after that:
``"event":"rejected" "status":404 "version":"2.430" "version_ms":7515``.
"""

import pytest

from carawaystair import explain
from test import gateway_setup as gateways
from test import pipes
from test import request_setup as setups
from test import test_explaining


def at_gateways(path, behind_s):
    """Ask a node with a gateway; return the answer and the story."""

    async def scenario():
        async with gateways.running(None, gateways.serve) as fleet:
            fleet.behind_s = behind_s
            answer = await fleet.ask(path, Caraway_Request_Id='abc')
            lines = test_explaining.logs_of(fleet)
            return answer, explain.story(explain.read(lines), 'abc')

    return pipes.run(scenario())


def at_node(path, behind_s):
    """Ask a node that sends to upstreams itself."""

    async def scenario():
        async with setups.running(setups.Upstream(9001)) as node:
            node.behind_s = behind_s
            return await node.ask(path)

    return pipes.run(scenario())


@pytest.mark.parametrize('behind_s', [0.001, 7.5])
def test_node_that_is_behind_does_not_say_that_there_is_no_route(behind_s):
    answer, story = at_gateways('/nowhere', behind_s)
    assert (answer.status, answer.code) == (503, 'CS-3018')
    assert answer.outcome == 'not-run'
    assert 0.2 <= float(answer.headers['retry-after']) <= 1.0
    told = explain.cause(story)
    assert 'a newer one known for %d ms' % (1000 * behind_s) in told


def test_node_without_gateway_says_the_same():
    answer = at_node('/nowhere/x', 0.5)
    assert (answer.status, answer.code) == (503, 'CS-3018')
    assert answer.outcome == 'not-run'


def test_node_that_knows_of_nothing_newer_says_that_there_is_no_route():
    answer, _story = at_gateways('/nowhere', 0.0)
    assert (answer.status, answer.code) == (404, 'CS-3001')
    assert at_node('/nowhere/x', 0.0).code == 'CS-3001'


def test_node_that_is_behind_goes_on_serving_the_routes_that_it_knows():
    """The fleet must not stop because one version can't be fetched."""
    answer, _story = at_gateways('/read/x', 7.5)
    assert answer.status == 200
