"""What the administration API answers."""

import typing

from aiohttp import web
import expression
import msgspec

from carawaystair import codes
from carawaystair.control import interfaces as control
from carawaystair import shape

CODE_HEADER = 'Caraway-Code'
JSON = 'application/json'

# What a resource returns: a value to send as JSON, or a refusal.
Reply = expression.Result[typing.Any, control.Refusal]


def refuse(
    code: codes.Code,
    detail: str = '',
    mistakes: typing.Iterable[shape.Mistake] = (),
) -> expression.Result:
    """Return an ``Error`` result that carries a ``control.Refusal``."""
    return expression.Error(control.Refusal(code, detail, tuple(mistakes)))


class Accepted(typing.NamedTuple):
    """A change that is in force, as the API shows it.

    :param version: the version that it became.
    :param digest: digest of that version, hex: the parent of the next one.
    :param submission: id of the submission.
    """

    version: str
    digest: str
    submission: str


class Problem(typing.NamedTuple):
    """A refusal, as the API shows it.

    :param code: the numbered code, such as ``CS-8002``.
    :param name: its short name.
    :param text: what happened.
    :param remedy: what to do.
    :param detail: what this occurrence concerns.
    :param mistakes: every mistake, with its path.
    :param version: the version in force, on a conflict.
    :param digest: its digest, hex.
    """

    code: str
    name: str
    text: str
    remedy: str
    detail: str
    mistakes: tuple[shape.Mistake, ...]
    version: str
    digest: str


def good(value) -> web.Response:
    """Return an answer that carries ``value``.

    :param value: ``NamedTuple`` values, JSON values, or JSON as bytes.
    """
    if not isinstance(value, bytes):
        value = msgspec.json.encode(shape.plain(value))
    headers = {CODE_HEADER: codes.OK.label}
    return web.Response(body=value, content_type=JSON, headers=headers)


def bad(
    refusal: control.Refusal,
    headers: typing.Mapping[str, str] | None = None,
) -> web.Response:
    """Return the answer that carries a refusal."""
    code = refusal.code
    problem = Problem(
        code.label,
        code.name,
        code.text,
        code.remedy,
        refusal.detail,
        refusal.mistakes,
        str(refusal.version),
        refusal.digest.hex(),
    )
    return web.Response(
        status=code.status or 500,
        body=msgspec.json.encode(shape.plain(problem)),
        content_type=JSON,
        headers={CODE_HEADER: code.label, **(headers or {})},
    )
