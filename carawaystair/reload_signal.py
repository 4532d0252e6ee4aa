"""Keeps SIGHUP from ending a process that is not running yet, or any more.

SIGHUP ends a process that does not handle it.  An operator who has all
processes reload would end those that are just starting or stopping.  One that
is held is not lost: a process that starts reloads as soon as it can.

Nothing of this runs before the interpreter has started.  Until then only
whoever starts the process can protect it, by ignoring SIGHUP, which the
process inherits; ``docs/operate/install.md`` says how.  What is ignored needs
no answer, since the settings are read after :func:`hold`.
"""

import signal

RELOAD = frozenset((signal.SIGHUP,))


def hold() -> None:
    """Hold it back: before the imports of a start, and at the end.

    It stays pending also where the process was started with it ignored.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD)


def release() -> None:
    """Let it through, once it is handled."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD)
