"""Answers that bring whoever asks closer, however fast versions change."""

import asyncio
import itertools

import pytest

from carawaystair import answering
from carawaystair import distribution
from carawaystair import rows
from carawaystair import table as tables
from test import fakes


def version(index):
    return rows.Version(1, index)


class Source:
    """Versions 1 to ``newest``, each of which changes one of some rows.

    The steps that it keeps have the bases given, in ascending order.
    """

    def __init__(self, newest, bases=(), count=500):
        self.count = count
        self.newest = newest
        self.steps = answering.Steps()
        for base, after in itertools.pairwise([*bases, newest]):
            self.steps.add(self.step(base, after))

    def plain(self, index):
        """Return the rows of a version; some go and come back."""
        found = {rows.CUSTOMER + 'c%d' % n: b'0' for n in range(self.count)}
        for number in range(1, index + 1):
            key = rows.CUSTOMER + 'c%d' % (number % 7)
            if number % 5 == 0:
                found.pop(key, None)
            else:
                found[key] = b'%d' % (number // 14)
        return found

    def step(self, base, after):
        """Return the step that control gives: all rows touched."""
        singles = (
            rows.difference(
                self.plain(n), self.plain(n + 1), version(n), version(n + 1)
            )
            for n in range(base, after)
        )
        put, drop = rows.merge((s.put, s.drop) for s in singles)
        digest = rows.digest(self.plain(after))
        return rows.Delta(version(base), version(after), put, drop, digest)

    def version(self):
        return version(self.newest)

    def table(self):
        return tables.from_rows(self.plain(self.newest))

    def delta_since(self, asked):
        return self.steps.after(asked)


def ask(have, whole=rows.NONE, start=0):
    return distribution.AskPeer(version(have), 'asker', whole, start)


def large(newest):
    """Return a source without steps, whose table takes several pieces."""
    return Source(newest, count=9000)


@pytest.mark.parametrize('have', range(3, 17))
def test_step_helps_whoever_skipped_its_base(have):
    """A peer that came from version 3 to 9 in one step serves 3 to 8.

    Without it the asker got the whole table, because no step began at the
    version that it had: that is most nodes when versions follow fast.
    """
    source = Source(17, bases=(3, 9, 10, 15))
    step = source.steps.after(version(have))
    held = tables.from_rows(source.plain(have))
    taken = tables.apply(held, step)
    assert step.base == version(have) and step.version == version(17)
    assert taken.digest() == step.digest
    assert dict(taken.items()) == source.plain(17)


def test_no_step_from_before_the_first_base():
    source = Source(17, bases=(3, 9))
    assert source.steps.after(version(2)) is None


def test_steps_are_bounded():
    steps = answering.Steps(limit=4)
    source = Source(0)
    for base in range(10):
        steps.add(source.step(base, base + 1))
    assert steps.after(version(5)) is None
    assert steps.after(version(6)).version == version(10)


def test_steps_are_bounded_by_their_bytes(monkeypatch):
    """Many long changes in a row must not fill a node's memory."""
    monkeypatch.setattr(answering, 'KEPT_BYTES', 10_000)
    steps = answering.Steps()
    for index in range(20):
        put = (('customer/c%d' % index, b'v' * 3000),)
        steps.add(rows.Delta(version(index), version(index + 1), put, (), b''))
        assert steps.size <= 10_000
    assert steps.after(version(16)) is None
    assert len(steps.after(version(17)).put) == 3
    huge = (('customer/c', b'v' * 30_000),)
    steps.add(rows.Delta(version(20), version(21), huge, (), b''))
    assert len(steps.after(version(20)).put) == 1


def test_long_step_goes_in_parts_that_come_to_the_whole():
    """A step in parts holds puts and drops, each once, as they were."""

    async def scenario():
        source = Source(0)
        old = {rows.CUSTOMER + 'o%d' % n: b'v' for n in range(3000)}
        new = {rows.CUSTOMER + 'n%d' % n: b'w' * 30 for n in range(3000)}
        step = rows.difference(old, new, version(1), version(2))
        source.newest = 2
        source.steps.add(step)
        answerer = answering.Answerer(source)
        whole, start, parts = rows.NONE, 0, []
        while True:
            question = ask(1, whole, start)._replace(
                parts=True, in_step=bool(start)
            )
            answer = answerer.answer(question)
            parts.append(answer.delta)
            whole, start = answer.delta.version, answer.after
            if not answer.more:
                break
            # A newer version does not change what is being read.
            source.newest += 1
        put, drop = rows.merge((part.put, part.drop) for part in parts)
        assert len(parts) > 3 and (put, drop) == (step.put, step.drop)
        assert sum(part.size() for part in parts) == step.size()
        assert {part.base for part in parts} == {version(1)}
        # Who does not take parts gets as before the whole table.
        assert answerer.answer(ask(1)).delta.base == rows.NONE

    fakes.run(scenario())


def test_older_processes_read_a_table_by_four_buckets():
    """They ask for the fifth bucket after the first piece, whatever came.

    Pieces by their bytes hold two or three buckets of a large table, so that
    an older process would pass over the rest, and drop the table in the end
    since its digest is wrong.
    """

    async def scenario():
        source = Source(1)
        source.plain = lambda _index: {
            rows.CUSTOMER + 'c%d' % number: b'v' * 500
            for number in range(12_000)
        }
        answerer = answering.Answerer(source)
        whole, start, got = rows.NONE, 0, tables.EMPTY
        while start < tables.BUCKETS:
            answer = answerer.answer(ask(0, whole, start))
            got = tables.apply(got, answer.delta)
            whole, start = answer.delta.version, start + 4
        assert not answer.more
        assert got.digest() == answer.delta.digest

    fakes.run(scenario())


def test_reader_of_a_table_is_not_taken_into_a_step():
    """Both may be read at one version, by askers with the same version.

    Where one begins its position counts buckets, the other's counts rows: a
    reader that got the wrong one would put a wrong table together and drop
    it in the end.
    """

    async def scenario():
        source = large(2)
        answerer = answering.Answerer(source)
        first = answerer.answer(ask(1)._replace(parts=True))
        put = {rows.CUSTOMER + 'n%d' % n: b'w' * 30 for n in range(3000)}
        source.steps.add(rows.difference({}, put, version(1), version(2)))
        step = answerer.answer(ask(1)._replace(parts=True))
        assert step.delta.base == version(1) and step.more
        after = ask(1, version(2), first.after)._replace(parts=True)
        assert answerer.answer(after).delta.base == rows.NONE
        on = ask(1, version(2), step.after)
        on = on._replace(parts=True, in_step=True)
        assert answerer.answer(on).delta.base == version(1)

    fakes.run(scenario())


def test_whole_table_from_nothing_is_never_a_step():
    async def scenario():
        source = large(2)
        put = source.plain(2)
        step = rows.difference({}, put, rows.NONE, version(2))
        source.delta_since = lambda _have: step
        answerer = answering.Answerer(source)
        answer = answerer.answer(ask(0)._replace(parts=True, have=rows.NONE))
        kinds = {type(reading) for reading in answerer.readings.values()}
        assert kinds == {answering.TableReading}
        assert answer.after <= tables.BUCKETS

    fakes.run(scenario())


def read(answerer, source, change):
    """Read a whole table, the version changing after each piece.

    :return: the table, its version and how many pieces there were.
    """
    whole, start, count, got = rows.NONE, 0, 0, tables.EMPTY
    while True:
        question = ask(0, whole, start)._replace(parts=True)
        answer = answerer.answer(question)
        assert answer.delta.version == whole or whole == rows.NONE
        got = tables.apply(got, answer.delta)
        whole, start = answer.delta.version, answer.after
        count += 1
        if not answer.more:
            return got, whole, count
        change(source)


def test_table_is_read_to_its_end_while_versions_change():
    """Whoever begins to read a table gets all of it as it was then.

    A reader used to begin again with each change, 1191 times in 25 s, of
    which 75 were read to the end.
    """

    async def scenario():
        source = large(20)
        answerer = answering.Answerer(source)

        def change(changed):
            changed.newest += 1

        got, whole, count = read(answerer, source, change)
        assert count > 3 and whole == version(20)
        assert dict(got.items()) == source.plain(20)

    fakes.run(scenario())


def test_tables_put_aside_are_few_and_no_reader_loses_its_own():
    """With a reader every 0.1 s for a minute few tables are put aside."""

    async def scenario():
        source = large(20)
        answerer = answering.Answerer(source)
        first = answerer.answer(ask(0)).delta.version
        for _reader in range(600):
            source.newest += 1
            answerer.answer(ask(0))
            again = answerer.answer(ask(0, first, 1))
            assert again.delta.version == first
            assert len(answerer.readings) <= 4
            await asyncio.sleep(0.1)
        await asyncio.sleep(answering.UNREAD_S)
        answerer.sweep()
        assert not answerer.readings

    fakes.run(scenario())


def test_reader_is_not_given_a_table_that_it_has():
    async def scenario():
        source = large(20)
        answerer = answering.Answerer(source)
        answerer.answer(ask(0))
        source.newest = 21
        answer = answerer.answer(ask(20))
        assert answer.delta.version == version(21)

    fakes.run(scenario())


def test_tables_put_aside_are_shared_beyond_the_bound(monkeypatch):
    monkeypatch.setattr(answering, 'FRESH_S', 0.0)

    async def scenario():
        source = large(20)
        answerer = answering.Answerer(source)
        for _reader in range(2 * answering.MOST_TABLES):
            source.newest += 1
            answerer.answer(ask(0))
        assert len(answerer.readings) == answering.MOST_TABLES

    fakes.run(scenario())
