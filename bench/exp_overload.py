"""Admission under overload, in virtual time."""

import itertools
import statistics
import typing

from bench import admission_model as model
from bench import figures
from carawaystair.admission import controller
from carawaystair.admission import gate

TITLE = 'Admission under overload, with slots that mislead'

KIND = model.Kind(0.05, 2.0)
SERVERS = 8
ANNOUNCED = 5


class FixedGate(gate.Gate):
    """The announced slots are believed whatever answers show."""

    def _update_limit(self, *_arguments) -> None:
        pass


class FixedAdmission(controller.Admission):
    """Admission with fixed limits."""

    gate_class = FixedGate


def fixed(fleet: model.Fleet, number: int) -> controller.Admission:
    """Make an admission part with fixed limits."""
    part = model.admission(fleet, number)
    part.__class__ = FixedAdmission
    return part


class Slots(typing.NamedTuple):
    """How announced slots mislead.

    :param name: in the figures.
    :param true: slots that an upstream truly has; 5 are announced.
    :param queue: requests that it lets wait before it sheds.
    """

    name: str
    true: int
    queue: int


SLOTS = (
    Slots('as_announced', 5, 1),
    Slots('fewer_shed', 2, 0),
    Slots('fewer_queue', 2, 20),
    Slots('more', 10, 20),
)


def misleading(seed: int, quick: bool) -> typing.Iterator[figures.Figure]:
    """Yield goodput and others' success with and without adaptation."""
    seeds = range(seed, seed + (1 if quick else 3))
    for slots, load, (name, make) in itertools.product(
        SLOTS,
        (2.0,) if quick else (1.0, 2.0),
        (('fixed', fixed), ('adaptive', model.admission)),
    ):
        plan = model.Plan(
            servers=SERVERS,
            announced=ANNOUNCED,
            true=slots.true,
            server_queue=slots.queue,
            warm_s=5.0 if quick else 15.0,
            end_s=8.0 if quick else 30.0,
        )
        runs = [
            model.play(plan, _streams(slots, load), one, make) for one in seeds
        ]
        key = 'slots.%s.load%d.%s.' % (slots.name, load * 100, name)
        capacity = SERVERS * slots.true / KIND.mean_s
        yield figures.bootstrap(
            key + 'goodput',
            'of capacity',
            [model.goodput(run, plan) / capacity for run in runs],
            statistics.mean,
        )
        yield figures.bootstrap(
            key + 'others_good',
            'ratio',
            [_good(run, 'small') for run in runs],
            statistics.mean,
        )
        yield figures.bootstrap(
            key + 'others_p99_of_good',
            'ms',
            [1e3 * _p99(run, 'small') for run in runs],
            statistics.mean,
        )


def _streams(slots: Slots, load: float) -> list[model.Stream]:
    capacity = SERVERS * slots.true / KIND.mean_s
    return [
        model.Stream('small', 0, 0.2 * capacity, KIND),
        model.Stream('dominant', 0, (load - 0.2) * capacity, KIND, 10.0),
    ]


def _good(samples: list[model.Sample], customer: str) -> float:
    """Return the share of a customer's requests that went well."""
    outcomes = model.outcomes(samples)
    total = sum(n for (who, _what), n in outcomes.items() if who == customer)
    return outcomes[customer, model.GOOD] / total


def _p99(samples: list[model.Sample], customer: str) -> float:
    good = [
        sample.latency_s
        for sample in samples
        if sample.customer == customer and sample.outcome == model.GOOD
    ]
    return figures.percentile(good, 0.99)


def run(seed: int, quick: bool) -> list:
    """Run the experiment, see ``figures.Experiment``."""
    return list(misleading(seed, quick))
