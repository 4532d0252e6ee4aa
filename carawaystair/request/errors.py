"""Errors in the bytes that a caller sends."""

from aiohttp import http_exceptions

from carawaystair import codes


class BodyError(Exception):
    """Raised to readers of a request body that will not be completed."""


class Malformed(Exception):
    """Received bytes that are not a valid request.

    :param error: the error of aiohttp's parser.
    """

    def __init__(self, error: Exception) -> None:
        self.text = str(getattr(error, 'message', error)).split('\n')[0]
        super().__init__(self.text)
        self.code = codes.REQUEST_MALFORMED
        long = isinstance(error, http_exceptions.LineTooLong)
        if long or 'Too many headers' in self.text:
            self.code = codes.HEAD_TOO_LARGE
