"""Remembers on disk which version a node had in force.

Without it a restarted node could take an older version from peers that were
cut off; with it the node waits until somebody has at least this one.
"""

import os
import pathlib

from carawaystair import logs
from carawaystair import rows

FILE = 'version'

LOG = logs.get('follower')


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace a file whole: write, sync, rename, sync the folder.

    A crash between any two steps leaves the old file or the new one, never
    a mixture: the name changes only when the data is on the disk.

    :raises OSError: when the disk does not take it.
    """
    fresh = path.with_name(path.name + '.new')
    with fresh.open('wb') as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    fresh.rename(path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class VersionFile:
    """One version in one file.

    :param folder: the folder that holds it.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / FILE

    def read(self) -> rows.Version:
        """Return the version, :data:`rows.NONE` when there is none."""
        try:
            term, index = self.path.read_text().split('.')
            return rows.Version(int(term), int(index))
        except FileNotFoundError:
            return rows.NONE
        except (OSError, ValueError) as error:
            # A damaged file says nothing; the node then needs the word of
            # control or peers alone, as a host without a disk does.
            LOG.warning('The version file is not readable.', why=str(error))
            return rows.NONE

    def write(self, version: rows.Version) -> None:
        """Remember a version; a failing disk does not stop the node."""
        try:
            replace_file(self.path, str(version).encode())
        except OSError as error:
            LOG.warning('The version file was not written.', why=str(error))
