"""Structured logs: short sentences behind a fixed prefix for each part."""

import logging
import sys
import typing

import structlog

from carawaystair import output

CONSOLE = 'console'
JSON = 'json'

LEVELS = ('debug', 'info', 'warning', 'error')


def get(part: str) -> typing.Any:
    """Return the logger of one part.

    :param part: a fixed word such as ``links``, shown before each line.
    """
    return structlog.get_logger(part=part)


def _prefix(_logger, _method, event: dict) -> dict:
    """Put the part before the sentence."""
    event['event'] = '%s: %s' % (event.pop('part', 'main'), event['event'])
    return event


def setup(
    level: str = 'info', form: str = CONSOLE, host: str = ''
) -> output.Output | None:
    """Configure the logs of this process.

    :param level: one of :data:`LEVELS`.
    :param form: :data:`CONSOLE` for people, on standard error, or
        :data:`JSON` for machines, on standard output.
    :param host: the host's name, added to each JSON line.
    :return: what takes JSON lines; None for the console.
    """
    sink = output.standard() if form == JSON else None
    number = getattr(logging, level.upper())
    # The libraries below log through the standard library; only their
    # warnings are worth a line here.
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)
    last = [structlog.dev.ConsoleRenderer(colors=False)]
    if form == JSON:
        last = [structlog.processors.JSONRenderer(sort_keys=True)]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _prefix,
            *last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(sink or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)
    return sink
