"""Deployments drawn at random, for the model of gateways.

What is chosen by a few deployments may hold for those alone.  These are drawn
over all that the model knows, and are never used to choose anything.
"""

import random
import typing

from bench import gateway_model as model

# Bounds of what is drawn.
UPSTREAMS = (4, 60)
SLOTS = (2, 8)
NODES = (4, 80)
CENTRES = (1, 4)
MEAN_S = (0.06, 1.0)
GRAY_SHARE = (0.0, 0.35)
WINDOW_S = (4.0, 20.0)
GRAY_FAILS = (0.4, 1.0)
ERRORS = (0.0, 0.02)
# Part of the slots that sound upstreams need for all that comes.
LOAD = (0.25, 0.95)
END_S = 30.0
# Requests a second at most: a play takes a few seconds.
MOST_PER_S = 250.0


def deployments(count: int, seed: int) -> typing.Iterator[model.Plan]:
    """Yield deployments; a seed gives the same ones each time."""
    for number in range(count):
        yield _plan(random.Random('deployment %d %d' % (seed, number)))


def _plan(rng: random.Random) -> model.Plan:
    upstreams = rng.randint(*UPSTREAMS)
    slots = rng.randint(*SLOTS)
    gray_share = rng.uniform(*GRAY_SHARE)
    sound = upstreams * slots * (1.0 - gray_share)
    kinds = _kinds(rng, sound * rng.uniform(*LOAD))
    return model.Plan(
        kinds,
        upstreams,
        slots,
        rng.randint(*NODES),
        gray_share,
        rng.uniform(*WINDOW_S),
        rng.choice((1.0, 1.0, 1.5)),
        END_S,
        rng.uniform(*GRAY_FAILS),
        rng.uniform(*ERRORS),
        rng.randint(*CENTRES),
    )


def _kinds(rng: random.Random, work: float) -> tuple[model.Kind, ...]:
    """Return kinds of requests that keep so many slots busy."""
    shares = [rng.uniform(0.2, 1.0) for _ in range(rng.randint(1, 3))]
    kinds = []
    for number, share in enumerate(shares):
        mean_s = rng.uniform(*MEAN_S)
        rate = work * share / sum(shares) / mean_s
        goal_s = mean_s * rng.uniform(2.5, 5.0)
        kinds.append(
            model.Kind(
                'kind%d' % number,
                min(rate, MOST_PER_S / len(shares)),
                mean_s,
                rng.random() < 0.5,
                goal_s,
                goal_s * rng.uniform(2.5, 6.0),
                rng.randint(0, 2),
            )
        )
    return tuple(kinds)
