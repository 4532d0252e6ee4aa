"""Notices to the service manager, as systemd takes them."""

import signal
import socket
import subprocess
import sys
import threading

import pytest
import structlog

from carawaystair import daemon
from carawaystair import readiness
from test import test_daemon
from test import test_keys

RECEIVE_S = 60.0


@pytest.fixture
def manager(tmp_path, monkeypatch):
    """Return the socket of a service manager."""
    path = str(tmp_path / 'notify')
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as listener:
        listener.bind(path)
        listener.settimeout(RECEIVE_S)
        monkeypatch.setenv(readiness.VARIABLE, path)
        yield listener


def test_reload_after_the_notice_of_readiness_is_handled(manager, tmp_path):
    """Guards against a service manager that sends a reload too early."""
    file = test_daemon.settings(tmp_path)
    process = subprocess.Popen(
        [sys.executable, '-m', 'carawaystair.start', '--settings', str(file)],
        cwd=test_daemon.ROOT,
        stderr=subprocess.PIPE,
    )
    # Ends the log of a process that takes no reload.
    watchdog = threading.Timer(RECEIVE_S, process.kill)
    watchdog.start()
    try:
        assert manager.recv(100) == readiness.READY
        process.send_signal(signal.SIGHUP)
        test_keys._told(process, 'Reloads.')
        process.send_signal(signal.SIGTERM)
        assert manager.recv(100) == readiness.STOPPING
        process.communicate(timeout=60)
        assert process.returncode == daemon.EXIT_OK
    finally:
        watchdog.cancel()
        process.kill()
        process.communicate()


def test_abstract_address_of_a_manager_is_understood(monkeypatch):
    name = 'carawaystair-test-%d' % id(monkeypatch)
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as listener:
        listener.bind('\0' + name)
        listener.settimeout(RECEIVE_S)
        monkeypatch.setenv(readiness.VARIABLE, '@' + name)
        readiness.notify(readiness.READY)
        assert listener.recv(100) == readiness.READY


def test_manager_that_is_gone_ends_no_process(manager):
    """Guards against a start that fails since nobody takes its notice."""
    manager.close()
    with structlog.testing.capture_logs() as told:
        readiness.notify(readiness.READY)
    assert [line['log_level'] for line in told] == ['error']
