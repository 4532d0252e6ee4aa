"""HTTP client of the administration API and of the local API of nodes."""

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
    """The reason why a request failed.

    :param failure: result code and detail.
    :param mistakes: mistakes in the submitted document, with their paths.
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
    """Sends requests to one HTTP API of the fleet.

    :param base: URL of the API, such as ``http://127.0.0.1:7580``.
    :param token: bearer token, empty for none.
    :param timeout_s: limit for a whole request, in seconds.
    :param trust: TLS context with the trusted CAs; None for the CAs that
        the system trusts.
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

        :param body: encoded JSON.
        :return: the decoded response, or the refusal.
        """
        try:
            return await self._ask(method, path, body, headers, params)
        except aiohttp.ClientConnectorError as error:
            return refuse(codes.API_UNREACHABLE, str(error))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            detail = '%s: %s' % (self.base, error or 'timed out')
            return refuse(codes.API_ANSWER_LOST, detail)
        except ValueError as error:
            return refuse(codes.API_UNREACHABLE, str(error))

    async def _ask(self, method, path, body, headers, params) -> Reply:
        all_headers = self.headers | dict(headers or {})
        if body is not None:
            all_headers['Content-Type'] = 'application/json'
        async with aiohttp.ClientSession(timeout=self.timeout) as session:
            async with session.request(
                method,
                self.base + path,
                data=body,
                headers=all_headers,
                params=params,
                ssl=self.trust,
            ) as response:
                data = await response.read()
                return _decode(response.status, data)


def _decode(status: int, data: bytes) -> Reply:
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return refuse(
            codes.API_ANSWER_ODD, 'status %d, body is not JSON' % status
        )
    if status < 400:
        return expression.Ok(value)
    return _refusal(status, value)


def _refusal(status: int, value) -> expression.Result:
    """Decode the body of an error response: code, detail and mistakes."""
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
    """Return a TLS context that trusts the CA certificates of a PEM file.

    :param path: None for the CAs that the system trusts.
    """
    if path is None:
        return expression.Ok(None)
    try:
        return expression.Ok(ssl.create_default_context(cafile=path))
    except (OSError, ValueError) as error:
        return refuse(codes.FILE_UNREADABLE, '%s: %s' % (path, error))


def token(path: str | None) -> expression.Result[str, Refusal]:
    """Read a bearer token from a file.

    A token on the command line would be visible in the process list.

    :param path: None for no token; the result is then empty.
    """
    if path is None:
        return expression.Ok('')
    try:
        return expression.Ok(pathlib.Path(path).read_text().strip())
    except (OSError, UnicodeDecodeError) as error:
        return refuse(codes.FILE_UNREADABLE, str(error))
