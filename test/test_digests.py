"""Tests that a request has the same digest on every host and attempt."""

import pytest

from test import fakes
from test import gateway_setup as fleets
from test import pipes


def digests(fleet, event):
    """Return the digests in all events of one name, from all logs."""
    lines = [line for node in fleet.nodes for line in node.lines.lines]
    told = map(fakes.json.loads, lines)
    return [line['digest'] for line in told if line['event'] == event]


async def both(first, second):
    """Send two requests to two nodes; return both digests from the logs."""
    async with fleets.running(fleets.serve, fleets.serve) as fleet:
        for node, (path, options) in enumerate((first, second)):
            await fleet.ask(path, node=node, **options)
        answered, ended = digests(fleet, 'answered'), digests(fleet, 'ended')
        assert sorted(answered) == sorted(ended)
        return answered


POST = {'method': 'POST', 'body': b'x'}


def test_same_request_has_same_digest_whatever_its_id():
    first, second = pipes.run(both(('/pay/a', POST), ('/pay/a', POST)))
    assert first == second != ''


@pytest.mark.parametrize(
    ('path', 'options'),
    [
        ('/pay/b', POST),
        ('/pay/a?b', POST),
        ('/pay/a', POST | {'body': b'y'}),
        ('/pay/a', {}),
        ('/pay/a', POST | {'Authorization': 'Bearer t'}),
    ],
)
def test_requests_that_differ_have_other_digests(path, options):
    first, second = pipes.run(both(('/pay/a', POST), (path, options)))
    assert first != second


@pytest.mark.parametrize(
    ('other', 'same'),
    [
        (b'x' * 100_000, True),
        (b'x' * 100_001, False),
        (b'y' + b'x' * 99_999, False),
    ],
)
def test_long_body_counts_by_length_and_first_bytes(other, same):
    long = POST | {'body': b'x' * 100_000}
    asked = ('/pay/a', long), ('/pay/a', long | {'body': other})
    first, second = pipes.run(both(*asked))
    assert (first == second) == same
