"""Storage of the control log: an own journal against sqlite3."""

import os
import pathlib
import sqlite3
import statistics
import tempfile
import time

from bench import figures
from carawaystair.control import files as files_module
from carawaystair.control import journal as journals
from carawaystair.control import recovery

TITLE = 'Control storage: synced commits and recovery, journal and sqlite3'

ROW_BYTES = 400
COMMITS = 400
BATCHES = (1, 16)
ROWS = (1_000, 4_000, 16_000)
# Without shared memory: an exclusive lock keeps the WAL index in the heap.
MODES = ('DELETE', 'TRUNCATE', 'WAL')


class Journal:
    """Commits to the journal."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.files = files_module.Folder(folder)
        self.journal = journals.Journal(self.files)
        self.index = 0
        self.data = os.urandom(ROW_BYTES)

    def commit(self, batch: int) -> None:
        """Commit so many rows at once, synced."""
        rows = [
            journals.Row(journals.ENTRY, 1, self.index + n, 1, self.data)
            for n in range(1, batch + 1)
        ]
        self.index += batch
        self.journal.commit(rows)


class Sqlite:
    """Commits to sqlite3."""

    def __init__(self, folder: pathlib.Path, mode: str) -> None:
        self.base = sqlite3.connect(folder / 'log.db', isolation_level=None)
        self.base.execute('PRAGMA locking_mode=EXCLUSIVE')
        self.base.execute('PRAGMA journal_mode=%s' % mode)
        self.base.execute('PRAGMA synchronous=FULL')
        self.base.execute(
            'CREATE TABLE log (i INTEGER PRIMARY KEY, t INT, d BLOB)'
        )
        self.index = 0
        self.data = os.urandom(ROW_BYTES)

    def commit(self, batch: int) -> None:
        """Commit so many rows at once, synced."""
        rows = [(self.index + n, 1, self.data) for n in range(1, batch + 1)]
        self.index += batch
        self.base.execute('BEGIN')
        self.base.executemany('INSERT INTO log VALUES (?, ?, ?)', rows)
        self.base.execute('COMMIT')


def compare(batch: int, count: int) -> dict[str, list[float]]:
    """Return the times of synced commits of each store, in us.

    They take turns: the disk is shared, and its syncs are slow for a while
    whenever somebody else writes much.
    """
    with tempfile.TemporaryDirectory() as name:
        base = pathlib.Path(name)
        for label in ('journal', *MODES):
            (base / label).mkdir()
        stores: dict = {'journal': Journal(base / 'journal')}
        stores |= {mode: Sqlite(base / mode, mode) for mode in MODES}
        times: dict[str, list[float]] = {label: [] for label in stores}
        for _turn in range(count):
            for label, store in stores.items():
                began = time.perf_counter()
                store.commit(batch)
                times[label].append((time.perf_counter() - began) * 1e6)
        assert not list(base.rglob('*-shm'))
    return times


def recover(rows: int) -> float:
    """Return the time to read back a journal of some rows, in ms."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        writer = Journal(folder)
        for _commit in range(rows // 100):
            writer.commit(100)
        files = files_module.Folder(folder)
        began = time.perf_counter()
        recovery.read(files)
        return (time.perf_counter() - began) * 1e3


def run(seed: int, quick: bool) -> list:
    """Run the experiment, see ``figures.Experiment``."""
    count = 40 if quick else COMMITS
    found: list = []
    for batch in BATCHES:
        times = compare(batch, count)
        own = statistics.median(times['journal'])
        for label, some in times.items():
            name = 'storage.%s.commit.%d' % (label.lower(), batch)
            shown = figures.bootstrap(name, 'us', some, seed=seed)
            ratio = shown.value / own
            found += [shown, figures.Figure(name + '.ratio', ratio, 'ratio')]
    points = [(rows, recover(rows)) for rows in ROWS]
    found.append(figures.fit('journal.recovery_ms', 'ms/row', points))
    return found
