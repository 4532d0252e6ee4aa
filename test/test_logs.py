"""Lines of a process whose libraries report errors."""

import json
import subprocess
import sys

SCRIPT = """
import asyncio
import sys

from carawaystair import logs


def fail():
    raise ValueError('broken')


async def run(count):
    loop = asyncio.get_running_loop()
    for _ in range(count):
        loop.call_soon(fail)
    await asyncio.sleep(0.05)


sink = logs.setup('info', logs.JSON, '10.0.0.1')
asyncio.run(run(int(sys.argv[1])))
sink.close()
"""


def _lines(count: int) -> tuple[list[dict], str]:
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT, str(count)],
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    return [json.loads(line) for line in done.stdout.splitlines()], done.stderr


def test_errors_of_callbacks_are_lines_of_json():
    """Symptom: a log that can't be read as JSON, and tracebacks in pieces.
    Sequence: a callback of the event loop raises.  Cause: the library below
    writes what it reports by itself.
    """
    lines, rest = _lines(1)
    assert [line['source'] for line in lines] == ['asyncio']
    assert 'ValueError: broken' in lines[0]['said']
    assert lines[0]['host'] == '10.0.0.1'
    assert rest == ''


def test_errors_of_callbacks_are_bounded():
    """Symptom: 288 lines in one second.  Sequence: a callback raises for
    each request.  Cause: nothing bounds what libraries report.
    """
    lines, rest = _lines(500)
    # The run may fall into two seconds.
    assert 3 <= len(lines) <= 6
    assert rest == ''
