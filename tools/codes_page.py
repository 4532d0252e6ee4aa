"""Print docs/CODES.md from the table of result codes."""

from carawaystair import codes

HEAD = """# Result codes

Every failure that carawaystair reports has a number. This page is made by
`make docs` from `carawaystair/codes.py`; a test compares the two. The status
is that of the HTTP answer that carries the code, where one does.

| code | name | status | what happened | what to do |
| --- | --- | --- | --- | --- |
"""


def page() -> str:
    """Return the whole page as text."""
    rows = [
        '| %s | %s | %s | %s | %s |'
        % (code.label, code.name, code.status or '', code.text, code.remedy)
        for _number, code in sorted(codes.TABLE.items())
    ]
    return HEAD + '\n'.join(rows) + '\n'


if __name__ == '__main__':
    print(page(), end='')
