"""What each mechanism of the decisions is worth, on drawn deployments."""

import math
import statistics
import typing

from bench import drawn
from bench import figures
from bench import gateway_model as model
from carawaystair import experiments

TITLE = 'Mechanisms switched off, one by one, on deployments drawn at random'

DEPLOYMENTS = 30
QUICK = 4
# An answer after its goal is worth so much.
LATE = 0.3
# A share that is not served is never taken for less than this.
LEAST_LOST = 0.0005
# The model has neither connections nor bytes: these show nothing there.
ELSEWHERE = frozenset(
    (
        'age',
        'ask-body',
        'cold',
        'detour',
        'hedge',
        'last-run',
        'near-bytes',
        'return',
        'side-by-side',
        'turn-away',
    )
)


def worth(outcomes: typing.Sequence[model.Outcome]) -> float:
    """Return what the answers are worth, 0 to 1.

    Half is the payoff, half the share that is served, counted in nines up to
    three.
    """
    payoff = sum(
        1.0 if o.when - o.request.at <= o.request.kind.goal_s else LATE
        for o in outcomes
        if o.good
    )
    lost = max(1.0 - model.served(outcomes), LEAST_LOST)
    nines = min(-math.log10(lost) / 3.0, 1.0)
    return 0.5 * payoff / len(outcomes) + 0.5 * nines


def run(seed: int, quick: bool) -> list:
    """Run the experiment, see ``figures.Experiment``."""
    count = QUICK if quick else DEPLOYMENTS
    plans = list(drawn.deployments(count, seed))
    whole = [worth(model.play(plan, model.Policy('all'), 1)) for plan in plans]
    ideal = [worth(model.central(plan, 1)) for plan in plans]
    lost = [a - b for a, b in zip(ideal, whole)]
    found = [
        figures.bootstrap('ablation.all', 'worth', whole, statistics.mean),
        figures.bootstrap(
            'ablation.below-ideal', 'worth', lost, statistics.mean
        ),
    ]
    names = [n for n in experiments.MECHANISMS if n not in ELSEWHERE]
    for number, name in enumerate(names):
        print('%d of %d: without %s' % (number + 1, len(names), name))
        policy = model.Policy(name, (name,))
        without = [worth(model.play(plan, policy, 1)) for plan in plans]
        gains = [a - b for a, b in zip(whole, without)]
        found.append(
            figures.bootstrap(
                'ablation.%s' % name, 'worth', gains, statistics.mean
            )
        )
    return found
