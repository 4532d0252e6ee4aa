"""Mechanisms that experiments switch off."""

import json

import pytest

from carawaystair import daemon
from carawaystair import experiments
from carawaystair import settings


def _settings(*off: str) -> settings.Settings:
    text = {
        'host': 'h',
        'data_centre': 'a',
        'region': 'r',
        'experiment': {'off': list(off)},
    }
    return settings.parse(json.dumps(text)).ok


def test_experiment_is_refused_unless_it_was_asked_for(tmp_path, capsys):
    """A process that serves must not run without what it was tested with."""
    path = tmp_path / 'settings.json'
    document = {'host': 'h', 'data_centre': 'a', 'region': 'r'}
    document['experiment'] = {'off': ['estimate']}
    path.write_text(json.dumps(document))
    assert daemon.main(['--settings', str(path)]) == daemon.EXIT_SETTINGS
    assert '$.experiment.off: allowed with' in capsys.readouterr().err


def test_unknown_mechanism_is_refused():
    found = daemon.switch_off(_settings('estimate', 'magic'), True)
    code, mistakes = found.error
    assert 'magic' in str(mistakes[0])


def test_nothing_is_switched_off_by_default():
    assert daemon.switch_off(_settings(), False).is_ok()


@pytest.mark.parametrize('name', experiments.MECHANISMS)
def test_mechanism_comes_back_after_its_experiment(name):
    def _parts():
        return [
            vars(part.owner)[part.name]
            for part in experiments.MECHANISMS[name]
        ]

    before = _parts()
    with experiments.installed([name]):
        assert all(a is not b for a, b in zip(before, _parts()))
    assert _parts() == before
