"""Keys of customers on nodes that send to upstreams directly."""

import expression
import pytest

from carawaystair import manifest
from carawaystair import routing as routings
from carawaystair import rows
from test import pipes
from test import request_setup as setups

KEY = 'sesame-4711'
BEARER = 'Bearer ' + KEY
MAX_AGE_S = 5.0


def keyed_routing(*keys: str) -> routings.Routing:
    """Return a configuration that requires keys, with these of a customer."""
    document = manifest.Manifest(
        1,
        'test',
        {'r': manifest.Place(('a', 'b'))},
        {'portal': manifest.Service()},
        (
            manifest.Route('/portal', 'portal'),
            manifest.Route('/open', 'portal', public=True),
        ),
        {'north': manifest.Customer(keys=keys)},
        require_keys=True,
    )
    return routings.Routing(rows.Version(1, 1), rows.from_manifest(document))


def played(scenario):
    """Run a scenario on a node whose callers need keys."""

    async def _play():
        async with setups.running(
            setups.Upstream(9001), keys_max_age_s=MAX_AGE_S
        ) as setup:
            setup.routing = keyed_routing(KEY)
            return await scenario(setup)

    return pipes.run(_play())


def test_upstream_gets_the_customer_and_never_the_key():
    """Guards against a key that leaks, and a customer that is made up."""

    async def scenario(setup):
        answer = await setup.ask(
            Authorization=BEARER, Caraway_Customer='forged'
        )
        return answer.status, setup.runs[0].headers

    status, fields = played(scenario)
    assert status == 200
    assert fields['caraway-customer'] == 'north'
    assert 'authorization' not in fields


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {'Authorization': 'Bearer wrong'},
        {'Authorization': 'Basic ' + KEY},
        {'Authorization': BEARER, 'authorization': 'Bearer other'},
        {'Caraway_Customer': 'north'},
    ],
    ids=str,
)
def test_request_without_a_key_in_force_is_refused(headers):
    """Guards against a node on which required keys are not checked."""

    async def scenario(setup):
        answer = await setup.ask(**headers)
        return answer.status, answer.headers['caraway-outcome'], setup.runs

    assert played(scenario) == (401, 'not-run', [])


def test_public_route_needs_no_key_and_passes_none_on():
    async def scenario(setup):
        answer = await setup.ask('/open/x', Authorization=BEARER)
        return answer.status, setup.runs[0].headers

    status, fields = played(scenario)
    assert status == 200 and 'authorization' not in fields


def test_node_that_is_out_of_touch_refuses_keys_at_once():
    async def scenario(setup):
        setup.age_s = MAX_AGE_S + 0.1
        answer = await setup.ask(Authorization=BEARER)
        return answer.status, answer.headers['caraway-code'], setup.runs

    assert played(scenario) == (503, 'CS-3020', [])


def test_key_that_is_taken_away_while_its_request_waits_is_refused():
    """Guards against a request that outlives its key in the queue."""

    class Admission(setups.stubs.Admission):
        """Lets every request wait, and takes the key away meanwhile."""

        setup = None

        def try_admit(self, *_arguments):
            """Admit nothing at once."""
            return None

        async def admit(self, *arguments):
            """Admit a request after a change of the configuration."""
            self.setup.routing = keyed_routing('another')
            return expression.Ok(super().try_admit(*arguments))

    async def scenario():
        admission = Admission()
        async with setups.running(
            setups.Upstream(9001), admission=admission
        ) as setup:
            admission.setup = setup
            setup.routing = keyed_routing(KEY)
            answer = await setup.ask(Authorization=BEARER)
            return answer.status, setup.runs

    assert pipes.run(scenario()) == (401, [])
