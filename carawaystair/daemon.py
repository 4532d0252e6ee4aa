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


async def run(settings: settings_module.Settings) -> int:
    """Run the process until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    process = kernel.Kernel(settings, plugins.load())
    try:
        await process.start()
    except OSError as error:
        failure = codes.Failure(codes.ADDRESS_IN_USE, str(error))
        print(failure.sentence(), file=sys.stderr)
        await process.stop()
        return EXIT_FAILED
    LOG.info('Started.', roles=list(settings.roles))
    await stop.wait()
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
    return asyncio.run(run(settings))


if __name__ == '__main__':
    sys.exit(main())
