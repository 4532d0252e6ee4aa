"""The small files beside the journal: identity, snapshot, what peers did."""

import typing

import msgspec

from carawaystair import codes
from carawaystair.control import files as files_module
from carawaystair.control import group as groups
from carawaystair.control import recovery

IDENTITY = 'identity'
SNAPSHOT = 'snapshot'
KNOWN = 'known'
ASIDE = 'set-aside-%d'
# A disk that has been set aside so often is bad: the host then stays out
# until a person has looked at it.
MAX_ASIDE = 3


class Identity(typing.NamedTuple):
    """Names this disk.

    :param identity: random, made when the folder is empty.
    :param name: the host's name.
    :param fresh: whether this disk has never belonged to a group; only
        fresh disks may found one.
    :param starts: how often a process has started on it.
    """

    identity: str
    name: str
    fresh: bool = True
    starts: int = 0


class Snapshot(typing.NamedTuple):
    """The state at one place of the log.

    :param term: term of the last entry in it.
    :param index: index of the last entry in it.
    :param group: the members at that index.
    :param data: bytes of the state machine.
    """

    term: int
    index: int
    group: groups.Group
    data: bytes


class Framed(typing.NamedTuple):
    """A snapshot with the checksum that travels with it.

    :param term: as in :class:`Snapshot`.
    :param index: as in :class:`Snapshot`.
    :param data: the bytes of the file.
    """

    term: int
    index: int
    data: bytes


class Known(typing.NamedTuple):
    """What this host has seen another identity promise.

    :param term: the newest term that it was in.
    :param ack_term: the newest term in which it acknowledged entries.
    :param ack_index: the last index that it acknowledged in that term.
    """

    term: int = 0
    ack_term: int = 0
    ack_index: int = 0

    def join(self, other: 'Known') -> 'Known':
        """Return the newer of each promise."""
        ack = max(self[1:], other[1:])
        return Known(max(self.term, other.term), *ack)


def read(files: files_module.Files, name: str, kind: type):
    """Return the content of a small file, or None when it is missing.

    :param kind: its type.
    :raises recovery.Corrupt: when it is damaged.
    """
    if name not in files.names():
        return None
    data = files_module.unframe(files.read(name))
    if data is None:
        raise corrupt('%s fails its checksum' % name)
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise corrupt('%s: %s' % (name, error)) from error


def read_snapshot(files: files_module.Files) -> Snapshot | None:
    """Return the snapshot, or None when there is none."""
    return read(files, SNAPSHOT, Snapshot)


def read_framed(files: files_module.Files) -> Framed | None:
    """Return the snapshot's file, checked, or None when there is none."""
    snapshot = read_snapshot(files)
    if snapshot is None:
        return None
    return Framed(snapshot.term, snapshot.index, files.read(SNAPSHOT))


def write(files: files_module.Files, name: str, value) -> None:
    """Write a small file, whole or not at all, and sync it."""
    files.replace(name, files_module.frame(msgspec.msgpack.encode(value)))


def corrupt(text: str) -> recovery.Corrupt:
    """Return the exception for a damaged file."""
    return recovery.Corrupt(codes.Failure(codes.SNAPSHOT_CORRUPT, text))


def set_aside(files: files_module.Files) -> bool:
    """Move everything out of the way.

    :return: False when that has been done too often already.
    """
    count = len(files.folders())
    if count >= MAX_ASIDE:
        return False
    files.set_aside(files.names(), ASIDE % (count + 1))
    return True
