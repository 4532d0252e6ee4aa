"""When garbage is collected while a process starts.

What a start makes, modules above all, lives as long as the process.  Looking
through it again and again for garbage takes a fifth of the processor time of
an import, and each later full collection would walk all of it once more.
"""

import gc

# A start makes some 100,000 objects that a collector follows.  One that makes
# far more, since it lasts, is collected as usual.
START_OBJECTS = 200_000

USUAL = gc.get_threshold()


def expect_start() -> None:
    """Collect nothing while modules are imported and parts are made."""
    gc.set_threshold(START_OBJECTS)


def settle() -> None:
    """Collect as usual, but leave alone what the start has made."""
    if gc.get_threshold()[0] != START_OBJECTS:
        return
    gc.freeze()
    gc.set_threshold(*USUAL)
