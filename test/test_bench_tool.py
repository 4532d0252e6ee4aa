"""Tests of the tool that runs experiments and keeps their results."""

import re
import types

from bench import drawn
from bench import exp_ablation
from bench import figures
from bench import gateway_model
from bench import report
from bench import results
from bench import run


def experiment(value, high):
    """Return an experiment with one figure and one slope."""
    figure = figures.Figure('x.p99', value, 'ms', value - 1, high, 9, '<b>')
    slope = figures.fit('x.by_n', 'ms/n', [(1, 2.0), (2, 4.0), (3, 6.0)])
    return types.SimpleNamespace(
        TITLE='A made-up one', run=lambda seed, quick: [figure, slope]
    )


def test_result_survives_the_disk(tmp_path):
    result = run.run('made-up', experiment(5.0, 6.0), 3, False)
    path = results.write(result, tmp_path)
    assert path.name == 'made-up-%s.json' % result.commit
    back = results.read(path)
    assert back == result
    assert back.slopes[0].points == ((1.0, 2.0), (2.0, 4.0), (3.0, 6.0))
    assert results.find('made-up', result.commit[:5], tmp_path) == result


def test_quick_runs_do_not_count_as_results(tmp_path):
    quick = run.run('made-up', experiment(5.0, 6.0), 3, True)
    results.write(quick, tmp_path)
    assert results.newest(tmp_path) == []


def test_comparison_tells_clear_changes_from_noise():
    old = run.run('made-up', experiment(5.0, 6.0), 3, False)
    near = run.run('made-up', experiment(6.5, 8.0), 3, False)
    far = run.run('made-up', experiment(9.0, 9.5), 3, False)
    (change, _slope) = results.compare(old, near)
    assert (change.ratio, change.clear) == (1.3, False)
    assert results.compare(old, far)[0].clear
    assert 'intervals apart' in run.show_changes(old, far)


def test_tool_lists_runs_and_refuses(tmp_path, capsys):
    assert 'noise' in run.names()
    assert run.main(['--list']) == run.EXIT_OK
    assert run.main(['nothing']) == run.EXIT_USAGE
    folder = ['--folder', str(tmp_path)]
    assert run.main(['noise', '--quick', *folder]) == run.EXIT_OK
    assert 'noise.spin' in capsys.readouterr().out
    assert list((tmp_path / results.QUICK).glob('noise-*.json'))


def test_broken_experiment_fails_the_run(tmp_path, monkeypatch, capsys):
    def broken(name):
        return types.SimpleNamespace(TITLE='Broken', run=lambda s, q: 1 / 0)

    monkeypatch.setattr(run, 'load', broken)
    arguments = ['noise', '--folder', str(tmp_path)]
    assert run.main(arguments) == run.EXIT_FAILED
    assert 'ZeroDivisionError' in capsys.readouterr().err


def test_report_stands_alone_and_escapes(tmp_path, monkeypatch):
    result = run.run('made-up', experiment(5.0, 6.0), 3, False)
    for plots in (True, False):
        if not plots:
            monkeypatch.setattr(report, 'pyplot', lambda: None)
        page = report.page([result])
        assert page.count('<svg') == 1
        assert '&lt;b&gt;' in page and '<b>' not in page
        links = re.findall('(?:src|href)="(.)', page)
        assert set(links) <= {'#'}, 'only references within the page'


def test_figures_of_one_unit_are_drawn_beside_each_other():
    found = [
        figures.Figure('gain.%d' % n, n / 10, 'worth', n / 10 - 0.2, n / 10, 5)
        for n in range(4)
    ]
    drawing = report.bars(found)
    assert drawing.count('<circle') == 4
    assert re.findall('gain.[0-9]', drawing) == [one.name for one in found]
    assert report.bars(found[:3]) == ''
    other = found[3]._replace(unit='ms')
    assert report.bars([*found[:3], other]) == ''


def test_deployments_are_drawn_alike_for_a_seed():
    first, again = (list(drawn.deployments(3, 5)) for _time in range(2))
    assert first == again
    assert first != list(drawn.deployments(3, 6))


def test_worth_counts_what_is_served_and_when():
    kind = gateway_model.Kind('pay', 1.0, 0.5, False, 2.0, 8.0)
    request = gateway_model.Request('r', kind, 1.0, 0.5, 0)
    on_time = gateway_model.Outcome(request, 2.0, True)
    late = on_time._replace(when=5.0)
    lost = on_time._replace(good=False)
    assert exp_ablation.worth([on_time] * 10) == 1.0
    assert round(exp_ablation.worth([late] * 10), 9) == 0.65
    assert exp_ablation.worth([lost] * 10) == 0.0
