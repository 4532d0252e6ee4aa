"""Errors in the bytes that a caller or an upstream sends.

The parser's errors have what was received in their texts, and refer to the
frames in which it was parsed.  Whoever keeps an error keeps all of that, so
that errors are kept and told in a short form of their own.
"""

from aiohttp import http
from aiohttp import http_exceptions

from carawaystair import codes

# Longest text of an error that is kept, told to a caller or logged.
MAX_TEXT_CHARS = 200


def shortened(text: str) -> str:
    """Return the beginning of the text of an error."""
    if len(text) <= MAX_TEXT_CHARS:
        return text
    return text[: MAX_TEXT_CHARS - 3] + '...'


def unparsable(error: Exception) -> http.HttpProcessingError:
    """Return what is kept of an error of the parser of answers."""
    text = getattr(error, 'message', '') or repr(error)
    return http.HttpProcessingError(message=shortened(text))


def describe(error: BaseException) -> str:
    """Return the text of an error, and drop its traceback.

    The frames of that may refer to whoever keeps the error.
    """
    error.__traceback__ = None
    return shortened(str(error))


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
        text = str(getattr(error, 'message', error)).split('\n')[0]
        self.text = shortened(text)
        super().__init__(self.text)
        self.code = codes.REQUEST_MALFORMED
        long = isinstance(error, (http_exceptions.LineTooLong, HeadTooLong))
        if long or 'Too many headers' in self.text:
            self.code = codes.HEAD_TOO_LARGE
