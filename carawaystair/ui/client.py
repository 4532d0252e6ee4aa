"""The HTTP client of the CLI."""

import asyncio
import pathlib
import ssl
import typing

import aiohttp
import expression
import msgspec

from carawaystair import codes
from carawaystair import shape

TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 256 * 1024 * 1024


class Refusal(typing.NamedTuple):
    """Why a request brought no result.

    :param failure: the numbered failure.
    :param mistakes: mistakes in what was sent, with their paths.
    """

    failure: codes.Failure
    mistakes: tuple[shape.Mistake, ...] = ()


Reply = expression.Result[typing.Any, Refusal]


def ok(value) -> Reply:
    """Return an ``Ok`` result, typed as a reply."""
    return expression.Ok(value)


def refuse(code: codes.Code, detail: str = '') -> expression.Result:
    """Return an ``Error`` result that carries a :class:`Refusal`."""
    return expression.Error(Refusal(codes.Failure(code, detail)))


class Client:
    """Asks one HTTP API of the fleet.

    :param base: such as ``http://127.0.0.1:7580``.
    :param token: bearer token, or empty.
    :param timeout_s: of one whole request.
    :param trust: certificates that may sign the API's; None for those that
        the system knows.
    """

    def __init__(
        self,
        base: str,
        token: str = '',
        timeout_s: float = TIMEOUT_S,
        trust: ssl.SSLContext | None = None,
    ) -> None:
        self.trust = True if trust is None else trust
        self.base = base.rstrip('/')
        self.headers = {'Accept': 'application/json'}
        if token:
            self.headers['Authorization'] = 'Bearer %s' % token
        self.timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def ask(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: typing.Mapping[str, str] | None = None,
        params: typing.Mapping[str, str] | None = None,
    ) -> Reply:
        """Send one request.

        :param body: JSON, already encoded.
        :return: the decoded answer, or why there is none.
        """
        try:
            return await self._ask(method, path, body, headers, params)
        except aiohttp.ClientConnectorError as error:
            return refuse(codes.API_UNREACHABLE, str(error))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            why = '%s: %s' % (self.base, error or 'timed out')
            return refuse(codes.API_ANSWER_LOST, why)
        except ValueError as error:
            return refuse(codes.API_UNREACHABLE, str(error))

    async def _ask(self, method, path, body, headers, params) -> Reply:
        own = self.headers | dict(headers or {})
        if body is not None:
            own['Content-Type'] = 'application/json'
        async with aiohttp.ClientSession(timeout=self.timeout) as session:
            async with session.request(
                method,
                self.base + path,
                data=body,
                headers=own,
                params=params,
                ssl=self.trust,
            ) as answer:
                data = await answer.read()
                return _decode(answer.status, data)


def _decode(status: int, data: bytes) -> Reply:
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return refuse(codes.API_ANSWER_ODD, 'status %d, no JSON' % status)
    if status < 400:
        return expression.Ok(value)
    return _refusal(status, value)


def _refusal(status: int, value) -> expression.Result:
    """Read the numbered refusal of an API."""
    if not isinstance(value, dict):
        return refuse(codes.API_ANSWER_ODD, 'status %d' % status)
    number = str(value.get('code', '')).removeprefix('CS-')
    code = codes.TABLE.get(int(number)) if number.isdigit() else None
    if code is None:
        return refuse(codes.API_ANSWER_ODD, 'status %d %s' % (status, value))
    mistakes = tuple(
        shape.Mistake(str(item.get('path', '')), str(item.get('text', '')))
        for item in value.get('mistakes', ())
    )
    failure = codes.Failure(code, str(value.get('detail', '')))
    return expression.Error(Refusal(failure, mistakes))


def trust(
    path: str | None,
) -> expression.Result[ssl.SSLContext | None, Refusal]:
    """Read the certificate that may sign the API's."""
    if path is None:
        return expression.Ok(None)
    try:
        return expression.Ok(ssl.create_default_context(cafile=path))
    except (OSError, ValueError) as error:
        return refuse(codes.FILE_UNREADABLE, '%s: %s' % (path, error))


def token(path: str | None) -> expression.Result[str, Refusal]:
    """Read a bearer token from a file.

    A token on the command line would show in the list of processes.
    """
    if path is None:
        return expression.Ok('')
    try:
        return expression.Ok(pathlib.Path(path).read_text().strip())
    except (OSError, UnicodeDecodeError) as error:
        return refuse(codes.FILE_UNREADABLE, str(error))
