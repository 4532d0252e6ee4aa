"""The files of one folder, as the storage of control uses them.

Storage goes through :class:`Files` only, so that tests can put a file system
in its place that loses what was not synced, tears writes and fails.
"""

import errno
import fcntl
import os
import pathlib
import struct
import typing

import crc32c

# Errors of a disk that has no room. What was written before stays sound.
FULL = (errno.ENOSPC, errno.EDQUOT)
LOCK = 'lock'
TEMPORARY = 'temporary'
MAGIC = b'CSF1'
# Magic, length and CRC-32C of what follows.
FRAME = struct.Struct('<4sQI')


class Files(typing.Protocol):
    """The files of one folder; every call blocks and may raise OSError."""

    def hold(self) -> None:
        """Keep other processes out of the folder.

        :raises BlockingIOError: when another process holds it.
        """

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, making it when it is missing."""

    def sync(self, name: str) -> None:
        """Return once the content of a file is on the disk."""

    def sync_folder(self) -> None:
        """Return once the names of the folder are on the disk."""

    def replace(self, name: str, data: bytes) -> None:
        """Give a file new content, whole or not at all, and sync it."""

    def cut(self, name: str, size: int) -> None:
        """Shorten a file to ``size`` bytes and sync it."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def set_aside(self, names: typing.Sequence[str], folder: str) -> None:
        """Move files into a new folder below this one."""

    def folders(self) -> list[str]:
        """Return the names of the folders below this one, sorted."""

    def close(self) -> None:
        """Close what is open."""


class Folder:
    """The real :class:`Files`.

    :param path: the folder, which must exist.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.descriptors: dict[str, int] = {}
        self.lock: int | None = None

    def hold(self) -> None:
        """Keep other processes out of the folder.

        Two processes that append to one log would each overwrite what the
        other has acknowledged.

        :raises BlockingIOError: when another process holds the folder.
        """
        if self.lock is not None:
            return
        lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise
        self.lock = lock

    def names(self) -> list[str]:
        """Return the names of all files but the lock, sorted."""
        files = [
            entry.name for entry in self.path.iterdir() if entry.is_file()
        ]
        return sorted(set(files) - {LOCK, TEMPORARY})

    def folders(self) -> list[str]:
        """Return the names of the folders below this one, sorted."""
        return sorted(p.name for p in self.path.iterdir() if p.is_dir())

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file."""
        _write(self._open(name), data)

    def sync(self, name: str) -> None:
        """Sync the content and size of a file."""
        os.fsync(self._open(name))

    def sync_folder(self) -> None:
        """Sync the folder itself."""
        sync_path(self.path)

    def replace(self, name: str, data: bytes) -> None:
        """Write a temporary file, sync it, rename it, sync the folder."""
        temporary = self.path / TEMPORARY
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        number = os.open(temporary, flags, 0o600)
        try:
            _write(number, data)
            os.fsync(number)
        finally:
            os.close(number)
        os.rename(temporary, self.path / name)
        self.sync_folder()

    def cut(self, name: str, size: int) -> None:
        """Shorten a file and sync it."""
        number = self._open(name)
        os.ftruncate(number, size)
        os.fsync(number)

    def remove(self, name: str) -> None:
        """Remove a file; the caller syncs the folder when it matters."""
        if name in self.descriptors:
            os.close(self.descriptors.pop(name))
        (self.path / name).unlink()

    def set_aside(self, names: typing.Sequence[str], folder: str) -> None:
        """Move files into a new folder below this one, and sync both."""
        target = self.path / folder
        target.mkdir()
        for name in names:
            if name in self.descriptors:
                os.close(self.descriptors.pop(name))
            os.rename(self.path / name, target / name)
        sync_path(target)
        self.sync_folder()

    def close(self) -> None:
        """Close every file and give the folder free."""
        for number in self.descriptors.values():
            os.close(number)
        self.descriptors.clear()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def _open(self, name: str) -> int:
        if name not in self.descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.descriptors[name] = os.open(self.path / name, flags, 0o600)
        return self.descriptors[name]


def _write(number: int, data: bytes) -> None:
    """Write all of ``data``; a short write goes on where it ended."""
    view = memoryview(data)
    while view:
        written = os.write(number, view)
        if written == 0:
            raise OSError(errno.EIO, 'a write took no byte')
        view = view[written:]


def sync_path(path: pathlib.Path) -> None:
    """Return once the names in a folder are on the disk."""
    number = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def frame(data: bytes) -> bytes:
    """Return ``data`` behind its length and checksum."""
    return FRAME.pack(MAGIC, len(data), crc32c.crc32c(data)) + data


def unframe(data: bytes) -> bytes | None:
    """Return what :func:`frame` took, or None when it is damaged."""
    if len(data) < FRAME.size:
        return None
    magic, size, check = FRAME.unpack_from(data)
    body = data[FRAME.size :]
    whole = magic == MAGIC and size == len(body)
    if not whole or crc32c.crc32c(body) != check:
        return None
    return body
