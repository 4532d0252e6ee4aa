"""Structured logs: short sentences behind a fixed prefix for each part."""

import logging
import sys
import typing

import structlog

from carawaystair import clock
from carawaystair import output

CONSOLE = 'console'
JSON = 'json'

# The part in whose name libraries speak.
LIBRARY = 'library'
# At most so many lines a second of what libraries report: an error in a
# callback may come back with every request.
LIBRARY_LINES = 3
# And so much of each, characters; the end of a trace tells the most.
LIBRARY_CHARS = 2000

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


class Bridge(logging.Handler):
    """Writes what libraries report as lines of this process.

    Their own lines are free text over several lines, which whoever reads the
    log as JSON can't take, and nothing bounds how many there are.

    :param now: monotonic time, seconds.
    """

    def __init__(self, now: typing.Callable[[], float] = clock.now) -> None:
        super().__init__(logging.WARNING)
        self.now = now
        self.room = output.Room({LIBRARY: LIBRARY_LINES})
        self.log = get(LIBRARY)
        self.setFormatter(logging.Formatter('%(message)s'))

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, unless there were too many in this second."""
        if not self.room.take(int(self.now()), LIBRARY):
            return
        self.log.warning(
            'A library reported.',
            source=record.name,
            severity=record.levelname,
            said=self.format(record)[-LIBRARY_CHARS:],
            left_out=self.room.tell(),
        )


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
    handler = Bridge() if form == JSON else logging.StreamHandler(sys.stderr)
    logging.basicConfig(handlers=[handler], level=logging.WARNING)
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
