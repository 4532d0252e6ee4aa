"""Runs one real process whose disk and clock may misbehave.

``python -m soak.host FAULTS --settings FILE``: what is wrong stands in the
file FAULTS, which the soak writes and this process reads again when it
changes.  The layer sits at the program's own interfaces
(``control.files.Files`` and ``clock.wall_ms``); nothing else is touched.
"""

from carawaystair import reload_signal

if __name__ == '__main__':
    # As the daemon's own entry point does, before all other imports.
    reload_signal.hold()

import errno  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402

from carawaystair import clock  # noqa: E402
from carawaystair.control import files  # noqa: E402
from carawaystair import daemon  # noqa: E402

# The file is looked at so often, seconds.
LOOK_S = 0.05
SYNCED = '.synced'


class Faults(typing.NamedTuple):
    """What is wrong with a host.

    :param full: whether its disk takes no more bytes.
    :param slow_s: time that each sync takes longer, seconds.
    :param clock_ms: by how much its time of day is off, ms.
    """

    full: bool = False
    slow_s: float = 0.0
    clock_ms: int = 0


NONE = Faults()


class Source:
    """The faults in force, from their file.

    :param path: of the file; no file means none.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.looked = 0.0
        self.faults = NONE

    def now(self) -> Faults:
        """Return the faults in force."""
        if time.monotonic() - self.looked > LOOK_S:
            self.looked = time.monotonic()
            try:
                self.faults = Faults(**json.loads(self.path.read_text()))
            except FileNotFoundError:
                self.faults = NONE
        return self.faults


def write(path: pathlib.Path, faults: Faults) -> None:
    """Put faults in force, all at once."""
    fresh = path.with_suffix('.new')
    fresh.write_text(json.dumps(faults._asdict()))
    fresh.replace(path)


def spoil_files(source: Source) -> None:
    """Let the disk of this process show the faults of a source.

    How much of each file is synced stands beside the folder, so that the
    soak can take the rest away when it cuts the power.
    """

    class Spoilt(files.Folder):
        """Files on a disk that may be full or slow."""

        def __init__(self, path: pathlib.Path) -> None:
            super().__init__(path)
            self.synced: dict[str, int] = {}
            self.record = path.with_name(path.name + SYNCED)

        def append(self, name: str, data: bytes) -> None:
            """Write, unless the disk is full."""
            _check_room(source)
            super().append(name, data)

        def replace(self, name: str, data: bytes) -> None:
            """Write, unless the disk is full."""
            _check_room(source)
            time.sleep(source.now().slow_s)
            super().replace(name, data)
            self._note(name)

        def sync(self, name: str) -> None:
            """Sync, perhaps slowly."""
            time.sleep(source.now().slow_s)
            super().sync(name)
            self._note(name)

        def _note(self, name: str) -> None:
            self.synced[name] = len(self.read(name))
            fresh = self.record.with_suffix('.new')
            fresh.write_text(json.dumps(self.synced))
            fresh.replace(self.record)

    files.Folder = Spoilt


def _check_room(source: Source) -> None:
    if source.now().full:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def spoil_clock(source: Source) -> None:
    """Let the time of day of this process be off as a source says."""
    true_ms = clock.wall_ms
    clock.wall_ms = lambda: true_ms() + source.now().clock_ms


def lose_unsynced(folder: pathlib.Path, keep: float) -> None:
    """Take from files what was never synced, as a loss of power may.

    :param folder: the files of a process that has ended.
    :param keep: share of the bytes behind the last sync that stay.
    """
    record = folder.with_name(folder.name + SYNCED)
    if not record.exists():
        return
    for name, size in json.loads(record.read_text()).items():
        file = folder / name
        if file.exists() and file.stat().st_size > size:
            extra = file.stat().st_size - size
            os.truncate(file, size + int(keep * extra))


def main(arguments: list[str]) -> int:
    """Entry point."""
    source = Source(pathlib.Path(arguments[0]))
    spoil_files(source)
    spoil_clock(source)
    return daemon.main(arguments[1:])


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
