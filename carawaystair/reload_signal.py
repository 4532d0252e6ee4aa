"""Holds SIGHUP back while a process starts.

SIGHUP ends a process that does not handle it yet.  An operator who has all
processes reload would end those that are just starting.  A held one is not
lost: the process reloads as soon as it can.
"""

import signal

RELOAD = frozenset((signal.SIGHUP,))


def hold() -> None:
    """Hold it back; to be called before the imports of a start."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD)


def release() -> None:
    """Let it through, once it is handled."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD)
