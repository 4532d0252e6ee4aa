"""``carawaystaird``: runs one process of the fleet until a signal."""

import argparse
import asyncio
import signal
import sys

from carawaystair import codes
from carawaystair import kernel
from carawaystair import logs
from carawaystair import plugins
from carawaystair import settings as settings_module

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

LOG = logs.get('daemon')


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    result = argparse.ArgumentParser(
        prog='carawaystaird',
        description='Run one process of the carawaystair proxy fleet.',
        epilog='Example: carawaystaird --settings /etc/carawaystair/node.json'
        ' -- SIGTERM finishes what is in flight, then stops.',
    )
    parser_help = 'settings file, see docs/SETTINGS.md'
    result.add_argument('--settings', required=True, help=parser_help)
    return result


async def run(
    settings: settings_module.Settings, registry: plugins.Registry
) -> int:
    """Run the process until SIGTERM, SIGINT or a crash of a part.

    A part whose task ended by an exception does its work no longer, while
    all others go on: a node could keep routing by old knowledge for days.
    So the whole process ends, with an error, and whoever watches over it
    starts it again.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    process = kernel.Kernel(settings, registry)
    try:
        await process.start()
        LOG.info('Started.', roles=list(settings.roles))
        await process.wait(stop)
        if process.crashed:
            LOG.error('A part crashed.', why=repr(process.crash_reason))
            return EXIT_FAILED
    except OSError as error:
        failure = codes.Failure(codes.ADDRESS_IN_USE, str(error))
        print(failure.sentence(), file=sys.stderr)
        return EXIT_FAILED
    finally:
        LOG.info('Stopping.')
        await process.stop()
        LOG.info('Stopped.')
    return EXIT_OK


def main(arguments: list[str] | None = None) -> int:
    """Entry point of ``carawaystaird``."""
    options = parser().parse_args(arguments)
    result = settings_module.load(options.settings)
    if result.is_error():
        code, mistakes = result.error
        print(codes.Failure(code).sentence(), file=sys.stderr)
        for mistake in mistakes:
            print('  %s' % (mistake,), file=sys.stderr)
        return EXIT_SETTINGS
    settings = result.ok
    logs.setup(settings.log.level, settings.log.form, settings.host)
    return asyncio.run(run(settings, plugins.load()))


if __name__ == '__main__':
    sys.exit(main())
