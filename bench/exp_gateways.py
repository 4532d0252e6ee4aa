"""Decisions under load at gateways, against an ideal scheduler."""

import contextlib
import statistics
import typing
from unittest import mock

from bench import figures
from bench import gateway_model as model
from carawaystair.load import trial_requests

TITLE = 'Waiting, rejecting and placing at gateways, with gray upstreams'

READ = model.Kind('read', 18.0, 0.12, True, 0.4, 1.2)
PAY = model.Kind('pay', 56.0, 0.6, False, 2.0, 6.0)
POLICIES = (
    model.Policy('least_loaded', ('estimate', 'order', 'hopeless')),
    model.Policy('no_estimate', ('estimate',)),
    model.Policy('worth'),
)
# At any time so many of the upstreams are gray, each for twelve seconds.
GRAY_SHARE = 0.3
SCALE = (
    ('calm', 1.0, 1.0),
    ('steady150', 1.5, 1.0),
    ('steady200', 2.0, 1.0),
    ('steady300', 3.0, 1.0),
    ('burst200', 1.0, 2.0),
)


# Half of the work may be repeated, and takes as long as the other half.
SEARCHES = model.Plan(
    (
        model.Kind('search', 16.3, 0.48, True, 1.5, 8.0),
        model.Kind('hold', 12.0, 0.37, False, 1.5, 5.0),
    ),
    upstreams=8,
    slots=4,
    nodes=24,
    gray_share=GRAY_SHARE,
    end_s=36.0,
)


def plans(quick: bool) -> typing.Iterator[tuple[str, model.Plan]]:
    """Yield what is played, by name."""
    for gray in (False, True):
        for name, load, burst in SCALE:
            # A load of one is what all slots together just serve.
            factor = load if load > 1.0 else 0.7
            full = 11 * 5 / (56.0 * 0.6 + 18.0 * 0.12)
            kinds = tuple(
                kind._replace(rate=kind.rate * full * factor)
                for kind in (READ, PAY)
            )
            yield (
                '%s.%s' % ('gray' if gray else 'sound', name),
                model.Plan(
                    kinds,
                    gray_share=GRAY_SHARE if gray else 0.0,
                    burst=burst,
                    end_s=15.0 if quick else 45.0,
                ),
            )


def trials(seeds: typing.Sequence[int]) -> typing.Iterator[figures.Figure]:
    """Yield what trials of upstreams that stay gray cost, as often as at
    first and growing apart.
    """
    even = mock.patch.object(
        trial_requests, 'MAX_INTERVAL_S', trial_requests.MIN_INTERVAL_S
    )
    for name, change in (('even', even), ('apart', contextlib.nullcontext())):
        with change:
            plays = [model.play(SEARCHES, POLICIES[-1], one) for one in seeds]
        for what, measure in (
            ('served', model.served),
            ('repeated', model.repeated),
        ):
            yield figures.bootstrap(
                'searches.trials_%s.%s' % (name, what),
                'share',
                [measure(outcomes) for outcomes in plays],
                statistics.mean,
            )


def run(seed: int, quick: bool) -> list:
    """Run the experiment, see ``figures.Experiment``."""
    seeds = range(seed, seed + (1 if quick else 3))
    found = list(trials(range(seed, seed + (2 if quick else 6))))
    for name, plan in plans(quick):
        ideal = {one: model.central(plan, one) for one in seeds}
        bound = [model.in_goal(ideal[one]) for one in seeds]
        found.append(
            figures.bootstrap(
                name + '.ideal.in_goal', 'share', bound, statistics.mean
            )
        )
        for policy in POLICIES:
            plays = [model.play(plan, policy, one) for one in seeds]
            key = '%s.%s.' % (name, policy.name)
            for what, measure in (
                ('in_goal', model.in_goal),
                ('served', model.served),
                ('held', model.held_too_long),
                ('repeated', model.repeated),
            ):
                found.append(
                    figures.bootstrap(
                        key + what,
                        'share',
                        [measure(outcomes) for outcomes in plays],
                        statistics.mean,
                    )
                )
            ratios = [
                model.in_goal(outcomes) / limit
                for outcomes, limit in zip(plays, bound)
            ]
            found.append(
                figures.bootstrap(
                    key + 'of_ideal', 'ratio', ratios, statistics.mean
                )
            )
    return found
