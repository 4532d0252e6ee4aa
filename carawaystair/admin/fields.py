"""Reads the headers, queries and bodies of requests, within bounds."""

import asyncio

from aiohttp import web
import expression
import msgspec

from carawaystair.admin import replies
from carawaystair import codes
from carawaystair import rows
from carawaystair import shape

PARENT = 'Caraway-Parent'
SUBMISSION = 'Caraway-Submission'
OPERATOR = 'Caraway-Operator'

MAX_ID = 128
MAX_BODY = 64 * 1024
# A body that comes slower than this is given up: a stranger with many slow
# connections must not hold memory for ever.
BODY_S = 30.0
DIGEST_BYTES = 16


def bad(path: str, text: str) -> expression.Result:
    """Return the refusal of one wrong field."""
    mistakes = [shape.Mistake(path, text)]
    return replies.refuse(codes.REQUEST_INVALID, '', mistakes)


async def body(request: web.Request, most: int) -> replies.Reply:
    """Read a body.

    :param most: bytes allowed.
    """
    if (request.content_length or 0) > most:
        return replies.refuse(codes.BODY_REFUSED, '%d bytes' % most)
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_S):
            async for part in request.content.iter_chunked(65536):
                size += len(part)
                if size > most:
                    text = '%d bytes' % most
                    return replies.refuse(codes.BODY_REFUSED, text)
                parts.append(part)
    except asyncio.TimeoutError:
        return replies.refuse(codes.BODY_REFUSED, '%d seconds' % BODY_S)
    return expression.Ok(b''.join(parts))


async def record(request: web.Request, kind: type) -> replies.Reply:
    """Read a small JSON body as a ``NamedTuple``."""
    read = await body(request, MAX_BODY)
    if read.is_error():
        return read
    try:
        decoded = msgspec.json.decode(read.ok)
    except (ValueError, RecursionError) as error:
        return bad('$', str(error))
    mistakes: list[shape.Mistake] = []
    value = shape.build(kind, decoded, mistakes=mistakes)
    if mistakes:
        return replies.refuse(codes.REQUEST_INVALID, '', mistakes)
    return expression.Ok(value)


def submission(request: web.Request) -> replies.Reply:
    """Read the id of a submission from its header."""
    return checked_id(request.headers.get(SUBMISSION, ''), SUBMISSION)


def checked_id(value: str, path: str) -> replies.Reply:
    """Check the id of a submission."""
    plain = value.isascii() and value.isprintable() and '/' not in value
    if not plain or not 0 < len(value) <= MAX_ID:
        text = 'expected 1 to %d printable ASCII signs, no slash' % MAX_ID
        return bad(path, text)
    return expression.Ok(value)


def parent(request: web.Request) -> replies.Reply:
    """Read the digest of the parent version from its header."""
    value = request.headers.get(PARENT)
    if value is None:
        return bad(PARENT, 'is missing')
    try:
        digest = bytes.fromhex(value)
    except ValueError:
        return bad(PARENT, 'expected hex digits')
    if len(digest) not in (0, DIGEST_BYTES):
        return bad(PARENT, 'expected %d bytes or none' % DIGEST_BYTES)
    return expression.Ok(digest)


def version(text: str, path: str) -> replies.Reply:
    """Read a version such as ``3.17``."""
    term, _dot, index = text.partition('.')
    numbers = term.isascii() and term.isdigit()
    if not numbers or not (index.isascii() and index.isdigit()):
        return bad(path, 'expected a version such as 3.17')
    if len(text) > 40:
        return bad(path, 'is too long')
    return expression.Ok(rows.Version(int(term), int(index)))


def number(
    request: web.Request, name: str, default: int, most: int
) -> replies.Reply:
    """Read a whole number from the query."""
    text = request.query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) < 20):
        return bad('?%s' % name, 'expected a whole number')
    return expression.Ok(min(int(text), most))


def flag(request: web.Request, name: str) -> bool:
    """Read a flag from the query, set by ``1`` or ``true``."""
    return request.query.get(name, '') in ('1', 'true')


def all_of(*results: replies.Reply) -> replies.Reply:
    """Return all values, or every mistake of all that failed."""
    wrong = [result.error for result in results if result.is_error()]
    if not wrong:
        return expression.Ok(tuple(result.ok for result in results))
    mistakes: list = []
    for each in wrong:
        mistakes.extend(each.mistakes)
    return replies.refuse(wrong[0].code, wrong[0].detail, mistakes)
