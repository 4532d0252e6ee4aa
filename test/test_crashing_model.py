"""The model of requests that crash upstreams keeps the service's promises."""

import pytest

from bench import crashing_model as crashing
from bench import exp_crashing as experiment
from carawaystair.load import crash_suspects


def harmless_outcomes(play):
    """Return the outcomes of requests that don't crash upstreams."""
    return [
        outcome
        for outcome in play.outcomes
        if not outcome.request.kind.name.startswith(crashing.FATAL)
    ]


@pytest.mark.parametrize('load', sorted(experiment.LOADS))
@pytest.mark.parametrize('seed', range(2))
def test_harmless_requests_are_served_beside_harmful_ones(load, seed):
    """Guards against upstreams that are down most of the time."""
    crashes = experiment.LOADS[load]
    play = crashing.play(experiment.PLAN, crashes, seed)
    refused = [request.kind.name for request in play.refused]
    assert all(name.startswith(crashing.FATAL) for name in refused)
    served = [outcome.good for outcome in harmless_outcomes(play)]
    assert sum(served) / len(served) > 0.95


def test_harmful_content_runs_only_a_few_times():
    play = crashing.play(experiment.PLAN, crashing.Crashes(), 1)
    known_at = play.fatal_runs[crash_suspects.CRASH_LIMIT - 1] + 3.0
    assert not [at for at in play.fatal_runs if at > known_at]
    never = crashing.Crashes(limit=crash_suspects.MAX_CRASHES + 1)
    before = crashing.play(experiment.PLAN, never, 1)
    assert len(before.fatal_runs) > 5 * len(play.fatal_runs)
