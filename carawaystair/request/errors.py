"""Errors in the bytes that a caller sends."""

from aiohttp import http_exceptions

from carawaystair import codes


class BodyError(Exception):
    """Raised to readers of a request body that will not be completed."""


class HeadTooLong(Exception):
    """Raised for a head that goes on beyond its bound."""


class BlankLines(Exception):
    """Raised for more blank lines before a request than are skipped."""


class Malformed(Exception):
    """Received bytes that are not a valid request.

    :param error: the error of aiohttp's parser, or one of the above.
    """

    def __init__(self, error: Exception) -> None:
        self.text = str(getattr(error, 'message', error)).split('\n')[0]
        super().__init__(self.text)
        self.code = codes.REQUEST_MALFORMED
        long = isinstance(error, (http_exceptions.LineTooLong, HeadTooLong))
        if long or 'Too many headers' in self.text:
            self.code = codes.HEAD_TOO_LARGE
