"""Print docs/EVENTS.md from the types of the log events."""

import re
import typing

from carawaystair import decisions

HEAD = """# Events in the logs

Each line of the logs of a process with `log.form` `json` is one JSON object
on standard output. Lines with `part` and `event` tell a decision; the table
has their fields. All have `time_ms` (wall clock, ms since 1970), `host`, and
`left_out` where lines before were left out for want of room: each second has
room for so many lines of good requests (`routine`), of trouble and of what
the process believes. Other lines have `event` with a sentence behind the
prefix of their part, and `level`.

`carawaystair explain ID FILE...` puts a request's lines together.
This page is made by `make docs` from `carawaystair/decisions.py`; a test
compares the two.

| sort | lines a second |
| --- | --- |
"""
FIELD = re.compile(r':param (\w+): (.*?)(?=\n\s*:param|\Z)', re.S)


def page() -> str:
    """Return the whole page as text."""
    rooms = ['| `%s` | %d |' % pair for pair in decisions.ROOM.items()]
    parts = [_section(kind) for kind in decisions.NAMES]
    return HEAD + '\n'.join([*rooms, '', *parts])


def _section(kind: type) -> str:
    part, name = decisions.NAMES[kind]
    text = kind.__doc__ or ''
    first = text.split('\n')[0]
    found = {
        field: ' '.join(meaning.split())
        for field, meaning in FIELD.findall(text)
    }
    hints = typing.get_type_hints(kind)
    rows = [
        '| `%s` | %s | %s |' % (field, hints[field].__name__, found[field])
        for field in kind._fields
    ]
    head = '## `%s` by `%s`\n\n%s\n\n| field | type | meaning |\n| --- '
    return (
        head % (name, part, first) + '| --- | --- |\n' + '\n'.join(rows) + '\n'
    )


if __name__ == '__main__':
    print(page(), end='')
