"""What can be wrong with a caller's bytes."""

from aiohttp import http_exceptions

from carawaystair import codes


class BodyError(Exception):
    """No more of a request's body will come."""


class Malformed(Exception):
    """Bytes that are no request.

    :param error: what aiohttp's parser says.
    """

    def __init__(self, error: Exception) -> None:
        self.text = str(getattr(error, 'message', error)).split('\n')[0]
        super().__init__(self.text)
        self.code = codes.REQUEST_MALFORMED
        long = isinstance(error, http_exceptions.LineTooLong)
        if long or 'Too many headers' in self.text:
            self.code = codes.HEAD_TOO_LARGE
