"""Tests of the demo's summary: a broken promise must show."""

import asyncio

import pytest

from carawaystair import timeline
from standin import faults
from standin import fleet
from standin import load
from standin import runs
from standin import story as stories
from standin import summary

SERVICE = 'portal-%d'


def event(at_ms, kind, upstream='', version='', host='node-1'):
    """Return an event."""
    time = at_ms << timeline.COUNTER_BITS
    return timeline.Event(time, host, kind, '', upstream, '', version)


def good_story(gray_runs_until_ms=2500):
    """Return a run in which every promise was kept."""
    every = [
        runs.Run(SERVICE % number, '', 'g%d-%d' % (at, number), 'GET', '', at)
        for at in range(0, 8000, 50)
        for number in (1, 2, 3)
        if number != 2 or at < gray_runs_until_ms
    ]
    every.append(runs.Run('settlement-3', '', 'p', 'POST', '', 5900))
    answer = load.Answer('p', 'POST', '/', 't', 'c', 1, 0.1, load.WHOLE, 200)
    marks = {
        stories.BEGAN: 0,
        stories.GRAY: 2000,
        stories.DRAINED: 6000,
        stories.HEALED: 8000,
    }
    return stories.Story(
        (answer._replace(outcome='complete'),),
        0,
        tuple(every),
        (
            event(2600, summary.EJECTED, 'portal-2'),
            event(7000, 'manifest-accepted', version='1.2'),
            event(7100, 'version-in-force', version='1.2'),
        ),
        ({'invariants_broken': {}},),
        (fleet.Ended('node-1', 0, False),),
        marks,
        'portal-2',
        'settlement-3',
    )


def broken(story):
    """Return the promises that a story breaks."""
    return [p.text for p in summary.promises(story) if not p.kept]


def test_good_run_keeps_all_and_reads_well():
    story = good_story()
    assert broken(story) == []
    text = summary.text(story, summary.promises(story))
    assert 'after 450 ms; 10 requests; ejected after 600 ms' in text
    assert 'told: complete 1, not-run 0, unknown 0' in text


def test_detection_lasts_until_the_last_busy_window():
    assert stories.detection_ms(good_story(5000), 2000, 8000) == 2950
    # A single trial in a window is no work.
    trial = runs.Run('portal-2', '', 't', 'GET', '', 7000)
    story = good_story()
    story = story._replace(runs=(*story.runs, trial))
    assert stories.detection_ms(story, 2000, 8000) == 450


POST = runs.Run('settlement-1', '', 'p', 'POST', '', 1)
LATE = POST._replace(upstream='settlement-3', marker='q', start_ms=9500)
SPOILT = load.Answer('s', 'GET', '/', 't', 'c', 1, 0.1, load.MIXED, 200)


@pytest.mark.parametrize(
    'word, change',
    [
        ('double runs', lambda s: {'runs': (*s.runs, POST)}),
        ('mixed', lambda s: {'answers': (*s.answers * 20, SPOILT)}),
        ('without a run', lambda s: {'runs': s.runs[:-1]}),
        ('leaving upstream', lambda s: {'runs': (*s.runs, LATE)}),
        ('gray upstream', lambda s: {'runs': good_story(8000).runs}),
        (
            'in force',
            lambda s: {'events': (*s.events[:2], event(17000, 'x'))},
        ),
        (
            'invariant',
            lambda s: {'statuses': ({'invariants_broken': {'floor': 1}},)},
        ),
        (
            'ends in order',
            lambda s: {'ended': (fleet.Ended('node-1', 0, True),)},
        ),
        ('ran to its end', lambda s: {'problem': 'OSError: no'}),
    ],
)
def test_broken_promise_shows(word, change):
    story = good_story()
    story = story._replace(**change(story))
    (text,) = broken(story)
    assert word in text


def test_processes_start_answer_and_end(tmp_path):
    """A stand-in as a process writes its runs when it is told to stop."""

    async def body():
        async with fleet.Fleet(tmp_path, 'r') as one:
            one.add_host('node-1', 'dc-1', fleet.NODE)
            await one.start_upstream(
                'portal', 'portal-1', 'node-1', grace_s=0.0
            )
            address = one.upstreams['portal-1'].address

            async def up():
                try:
                    return await one.get(address, '/health')
                except OSError:
                    return False

            await one.until(up, 'the upstream', 20)
            await one.set_faults('portal-1', faults.Faults(slow=2.0))
            plan = load.Plan((address,), 50.0, 0.1, (load.Work('/'),))
            answers = await load.Load(plan).run()
            (ended,) = await one.stop(['portal-1'], 20)
            assert ended.orderly
            markers = {run.marker for run in one.runs()}
            assert markers == {answer.marker for answer in answers}

    asyncio.run(body())


def test_settings_of_a_fleet_fit_together(tmp_path):
    one = fleet.Fleet(tmp_path, 'r')
    control = one.add_host('control-1', 'dc-1', fleet.CONTROL)
    node = one.add_host('node-1', 'dc-1', fleet.NODE)
    other = one.add_host('node-2', 'dc-2', fleet.NODE)
    settings = one.settings(node)
    assert settings['seeds'] == [other.peer]
    assert settings['control_hosts'] == [control.peer]
    assert one.settings(control)['data_folder'].endswith('control-1')
