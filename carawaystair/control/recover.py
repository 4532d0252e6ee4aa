"""Lets one control host go on alone after a majority was lost for good.

``python -m carawaystair.control.recover --folder DATA/control --name HOST
--peer IP:PORT``, with the host's process stopped.  What only the lost hosts
had acknowledged is lost; ``docs/operate/lost-quorum.md`` says when to do it.
"""

import argparse
import asyncio
import pathlib
import random
import sys

from carawaystair import codes
from carawaystair.control import disk as disks
from carawaystair.control import files as files_module
from carawaystair.control import group as groups
from carawaystair.control import log as log_module
from carawaystair.control import store as stores

# The lost hosts may have been in newer terms than this one; versions must
# still grow at every node.
TERMS_AHEAD = 1000


async def recover(
    files: files_module.Files, disk: disks.Disk, name: str, peer: str
) -> codes.Failure | None:
    """Make this disk's log that of a group of one.

    :return: None, or why it could not be done.
    """
    store = stores.Store(name, files, disk, random.Random())
    await store.open()
    if store.failure is not None:
        return store.failure
    if not store.log.last_index:
        return codes.Failure(codes.SNAPSHOT_CORRUPT, 'the log is empty')
    term = store.term + TERMS_AHEAD
    identity = store.identity.identity
    member = groups.Member(name, peer, identity)
    alone = groups.encode(groups.Group(store.log.group.id, (member,)))
    store.put_hard(term, identity)
    index = store.log.last_index + 1
    entry = log_module.Entry(term, index, log_module.GROUP, alone)
    store.put_entry(entry)
    writer = asyncio.ensure_future(store.write())
    await store.flush()
    writer.cancel()
    files.close()
    return store.failure


def main(arguments: list[str] | None = None) -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(
        prog='python -m carawaystair.control.recover',
        description='Let this control host go on alone.',
    )
    parser.add_argument('--folder', type=pathlib.Path, required=True)
    parser.add_argument('--name', required=True, help='name of this host')
    parser.add_argument('--peer', required=True, help='its peer address')
    options = parser.parse_args(arguments)
    files = files_module.Folder(options.folder)
    disk = disks.make()
    failure = asyncio.run(recover(files, disk, options.name, options.peer))
    disk.close()
    if failure is not None:
        print(failure.sentence(), file=sys.stderr)
        return 1
    print('The host goes on alone when it starts.')
    return 0


if __name__ == '__main__':
    sys.exit(main())
