"""Tests of what a node says of itself."""

from carawaystair import interfaces
from carawaystair import metrics
from carawaystair import nodemetrics
from carawaystair import report
from carawaystair import timeline
from test import fakes

UPSTREAM = interfaces.Upstream(
    'portal-1', 'portal', '127.0.0.1:1', 'h1', 'rvk-a', 5
)


def _report(**changes) -> report.Report:
    service = report.ServiceReport('portal', (UPSTREAM,) * 2, (), 10, 10, 5)
    made = report.Report(
        'h1',
        'rvk-a',
        'is-south',
        True,
        '3.14',
        0.5,
        0.0,
        ('h1', 'h2'),
        (service,),
        {},
    )
    return made._replace(**changes)


def test_page_of_a_healthy_node_says_so_in_its_first_line():
    text = report.page(_report(), [])
    assert text.splitlines()[0] == 'h1: all is well'


def test_page_begins_with_what_wants_attention():
    service = _report().services[0]._replace(ejected=('portal-1',), healthy=5)
    wrong = _report(
        ready=False, services=(service,), invariants_broken={'floor': 2}
    )
    lines = report.page(wrong, []).splitlines()
    assert lines[0] == 'h1: LOOK HERE'
    assert lines[1].startswith('  ! invariant floor was broken 2 times')
    text = '\n'.join(lines[2:6])
    assert 'serves nothing' in text
    assert 'portal is at its floor: 5 of 10 slots take work' in text
    assert 'portal: ejected portal-1' in text


def test_events_show_their_time():
    event = timeline.Event(fakes.WALL_START_MS << 16, 'h1', 'member-dead')
    lines = report.page(_report(), [event]).splitlines()
    assert lines[-1].split() == ['22:13:20.000', 'member-dead']


def test_metrics_are_in_the_text_format(monkeypatch):
    collectors = [nodemetrics.NodeMetrics(_report).samples]
    monkeypatch.setattr(metrics, 'COLLECTORS', collectors)
    lines = metrics.text().splitlines()
    assert 'carawaystair_ready 1' in lines
    assert 'carawaystair_version_index 14' in lines
    assert 'carawaystair_slots_healthy{service="portal"} 10' in lines
    assert 'carawaystair_upstreams{service="portal",state="up"} 2' in lines


def test_label_values_are_escaped(monkeypatch):
    sample = metrics.Sample('x', 1, (('service', 'a"b\\c\nd'),))
    monkeypatch.setattr(metrics, 'COLLECTORS', [lambda: [sample]])
    expected = 'carawaystair_x{service="a\\"b\\\\c\\nd"} 1\n'
    assert metrics.text() == expected


def test_histogram_gives_quantiles_in_seconds():
    recorded = metrics.latency()
    for value in range(1, 1001):
        recorded.record_value(value * 1000)
    samples = metrics.summary('request_seconds', recorded)
    median = samples[0]
    assert median.labels == (('quantile', '0.5'),)
    assert abs(median.value - 0.5) < 0.01
    assert samples[-1] == metrics.Sample('request_seconds_count', 1000)
