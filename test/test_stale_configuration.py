"""Answers of a node that knows of a newer configuration than its own.

A node that was 7.5 s behind the accepted configuration answered 404 for routes
that the newer one had added.  Callers do not retry after 404.
"""

import pytest

from carawaystair import explain
from test import gateway_setup as gateways
from test import pipes
from test import request_setup as setups
from test import test_explaining


def ask_gateway_node(path, behind_s):
    """Ask a node with a gateway; return the answer and the logged events."""

    async def scenario():
        async with gateways.running(None, gateways.serve) as fleet:
            fleet.behind_s = behind_s
            answer = await fleet.ask(path, Caraway_Request_Id='abc')
            lines = test_explaining.logs_of(fleet)
            return answer, explain.story(explain.read(lines), 'abc')

    return pipes.run(scenario())


def ask_direct_node(path, behind_s):
    """Ask a node that sends to upstreams without gateways."""

    async def scenario():
        async with setups.running(setups.Upstream(9001)) as node:
            node.behind_s = behind_s
            return await node.ask(path)

    return pipes.run(scenario())


@pytest.mark.parametrize('behind_s', [0.001, 7.5])
def test_stale_node_does_not_deny_that_a_route_exists(behind_s):
    answer, events = ask_gateway_node('/nowhere', behind_s)
    assert (answer.status, answer.code) == (503, 'CS-3018')
    assert answer.outcome == 'not-run'
    assert 0.2 <= float(answer.headers['retry-after']) <= 1.0
    cause = explain.cause(events)
    assert 'a newer one known for %d ms' % (1000 * behind_s) in cause


def test_node_without_gateway_answers_the_same():
    answer = ask_direct_node('/nowhere/x', 0.5)
    assert (answer.status, answer.code) == (503, 'CS-3018')
    assert answer.outcome == 'not-run'


def test_node_with_the_newest_configuration_answers_that_there_is_no_route():
    answer, _events = ask_gateway_node('/nowhere', 0.0)
    assert (answer.status, answer.code) == (404, 'CS-3001')
    assert ask_direct_node('/nowhere/x', 0.0).code == 'CS-3001'


def test_stale_node_still_serves_the_routes_that_it_knows():
    """Guards against an outage when one version can't be fetched."""
    answer, _events = ask_gateway_node('/read/x', 7.5)
    assert answer.status == 200
