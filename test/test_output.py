"""Log lines to a pipe that nobody reads."""

import os

from carawaystair import output


def test_reader_that_stops_reading_stalls_nothing():
    """Symptom: all requests of a process stand still.
    Sequence: whoever reads its logs stops reading; the pipe is full.
    Cause: a write to a full pipe waits until somebody reads.
    """
    reading, writing = os.pipe()
    sink = output.Output(writing)
    # Fill the pipe, whatever its size, and what is kept behind it.
    while sink.dropped < 1000:
        sink.line(b'{"line": %d}' % sink.dropped)
    assert len(sink.kept) <= output.MOST_KEPT
    lines = []
    with os.fdopen(reading, 'rb') as stream:
        while b'"last"' not in (line := stream.readline()):
            lines.append(line)
            sink.line(b'{"last": 1}')
    assert lines[0] == b'{"line": 0}\n'
    assert all(line.endswith(b'}\n') for line in lines)


def test_reader_that_has_gone_is_no_error():
    reading, writing = os.pipe()
    os.close(reading)
    sink = output.Output(writing)
    for _ in range(3):
        sink.line(b'{}')
    sink.close()
    assert sink.thread.is_alive()


def test_text_becomes_lines():
    reading, writing = os.pipe()
    sink = output.Output(writing)
    sink.write('one\n')
    sink.write('\n')
    sink.write('two')
    with os.fdopen(reading, 'rb') as stream:
        assert stream.readline() == b'one\n'
        assert stream.readline() == b'two\n'
