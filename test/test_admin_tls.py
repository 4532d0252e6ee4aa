"""TLS of the administration API, on loopback."""

import asyncio
import json
import pathlib
import shutil

import pytest

from carawaystair.admin import gate
from carawaystair.admin import service
from carawaystair.admin import tls
from carawaystair import codes
from carawaystair import daemon
from carawaystair import settings as settings_module
from carawaystair.ui import client
from test import test_links

# Self-signed for 127.0.0.1, and worth nothing anywhere else.
DATA = pathlib.Path(__file__).parent / 'data'
TRIES = 500


def place(folder: pathlib.Path, name: str) -> settings_module.Tls:
    """Put a certificate and its key where the API reads them."""
    files = settings_module.Tls(str(folder / 'cert'), str(folder / 'key'))
    for part, path in files._asdict().items():
        shutil.copyfile(DATA / ('tls-%s-%s.pem' % (name, part)), path)
    return files


def api(files: settings_module.Tls) -> service.Admin:
    """Return an API that serves nothing."""
    settings = settings_module.Control(
        test_links.free_address(), (), files, 50.0, 50.0
    )
    return service.Admin(settings, gate.make(settings), None, ())


async def code_of(base: str, trusted: str) -> codes.Code:
    """Return the code that a client gets who trusts one certificate."""
    trust = client.trust(str(DATA / ('tls-%s-cert.pem' % trusted))).ok
    reply = await client.Client(base, trust=trust).ask('GET', '/v1/x')
    return reply.error.failure.code


def test_client_speaks_tls_and_trusts_only_its_certificate(tmp_path):
    async def scenario():
        admin = api(place(tmp_path, 'one'))
        await admin.start()
        try:
            address = admin.settings.admin
            base = 'https://%s' % address
            assert await code_of(base, 'one') == codes.RESOURCE_UNKNOWN
            assert await code_of(base, 'two') == codes.API_UNREACHABLE
            plain = client.Client('http://%s' % address)
            reply = await plain.ask('GET', '/v1/x')
            assert reply.error.failure.code != codes.RESOURCE_UNKNOWN
        finally:
            await admin.stop()

    asyncio.run(scenario())


def test_certificate_is_renewed_without_a_stop(tmp_path, monkeypatch):
    """A certificate runs out while the process runs for months.

    Symptom: every pipeline is refused one morning.  Sequence: the files are
    replaced in time, half a copy is there for a moment.  Cause: files were
    read at the start only.
    """
    monkeypatch.setattr(service, 'TLS_LOOK_S', 0.01)

    async def scenario():
        files = place(tmp_path, 'one')
        admin = api(files)
        await admin.start()
        try:
            base = 'https://%s' % admin.settings.admin
            pathlib.Path(files.cert).write_text('half a copy')
            await asyncio.sleep(0.05)
            assert await code_of(base, 'one') == codes.RESOURCE_UNKNOWN
            place(tmp_path, 'two')
            for _try in range(TRIES):
                if await code_of(base, 'two') == codes.RESOURCE_UNKNOWN:
                    return
            raise AssertionError('the old certificate stayed in use')
        finally:
            await admin.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize('missing', ['cert', 'key'])
def test_daemon_without_its_certificate_starts_nothing(
    tmp_path, capsys, missing
):
    files = place(tmp_path, 'one')
    pathlib.Path(getattr(files, missing)).unlink()
    assert tls.context(files).error.code == codes.TLS_FILES_UNUSABLE
    settings = {
        'host': 'h',
        'data_centre': 'd',
        'region': 'r',
        'roles': ['control'],
        'data_folder': str(tmp_path),
        'control': {'tls': files._asdict()},
    }
    file = tmp_path / 'settings.json'
    file.write_text(json.dumps(settings))
    assert daemon.main(['--settings', str(file)]) == daemon.EXIT_SETTINGS
    assert codes.TLS_FILES_UNUSABLE.label in capsys.readouterr().err
