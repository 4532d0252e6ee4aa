"""Test of the request path with a single plain request."""

from test import pipes
from test import request_setup as setups


def test_whole_answer():
    """A request reaches its service; the answer carries the outcome."""

    async def scenario():
        async with setups.running(setups.Upstream(9001)) as setup:
            answer = await setup.ask('/portal/x?y=1', 'POST', body=b'hello')
            return answer, setup.runs, setup.outcomes()

    answer, runs, outcomes = pipes.run(scenario())
    assert (answer.status, answer.body) == (200, b'u9001')
    assert (answer.outcome, answer.code) == ('complete', 'CS-0000')
    assert [(seen.line, seen.body) for seen in runs] == [
        ('POST /portal/x?y=1 HTTP/1.1', b'hello')
    ]
    assert outcomes == {'good': 1}
