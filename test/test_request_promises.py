"""Scenarios of the outcomes that callers are promised (answers.feature)."""

import pytest
import pytest_bdd
from pytest_bdd import parsers

from test import pipes
from test import request_setup as setups
from test import test_request_outcomes as outcomes

pytest_bdd.scenarios('answers.feature')

SCRIPTS = {
    'works': None,
    'is down': None,
    'dies after the run': outcomes.die,
    'refuses': outcomes.refuse,
}


@pytest.fixture
def kinds():
    """Return the kinds of the upstreams."""
    return []


@pytest.fixture
def asked():
    """Return the requests of the callers."""
    return []


@pytest_bdd.given(parsers.parse('an upstream that {kind}'))
def given_upstream(kinds, kind):
    """Add an upstream."""
    kinds.append(kind)


@pytest_bdd.when(parsers.parse('a caller {does}'))
def when_caller(asked, does):
    """Add a request."""
    options = {'path': '/portal/status'}
    if 'posts' in does:
        options = {'method': 'POST', 'body': b'pay'}
    if 'with a key' in does:
        options['Idempotency_Key'] = 'k'
    asked.append(options)


@pytest_bdd.then(
    parsers.parse('the caller is told {outcome}'), target_fixture='runs'
)
def then_told(kinds, asked, outcome):
    """Run the scenario and compare the last answer's outcome."""

    async def scenario():
        upstreams = [
            setups.Upstream(9001 + n, SCRIPTS[kind])
            for n, kind in enumerate(kinds)
        ]
        async with setups.running(*upstreams) as setup:
            for upstream, kind in zip(upstreams, kinds, strict=True):
                if kind == 'is down':
                    upstream.server.close()
            answers = [await setup.ask(**options) for options in asked]
            return answers[-1].outcome, len(setup.runs)

    told, runs = pipes.run(scenario())
    assert told == outcome
    return runs


@pytest_bdd.then(parsers.parse('the payout has run {count:d} times'))
def then_runs(runs, count):
    """Compare the number of runs."""
    assert runs == count
