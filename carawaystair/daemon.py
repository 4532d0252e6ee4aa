"""``carawaystaird``: runs one process of the fleet until a signal."""

import argparse
import asyncio
import hashlib
import importlib
import signal
import sys
import typing

import expression

import carawaystair
from carawaystair import codes
from carawaystair import heap
from carawaystair import kernel
from carawaystair import keys
from carawaystair import logs
from carawaystair import output
from carawaystair import plugins
from carawaystair import readiness
from carawaystair import reload_signal
from carawaystair import settings as settings_module
from carawaystair import shape
from carawaystair import shutdown as shutdowns

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
MS = 1000

LOG = logs.get('daemon')

Reload = typing.Callable[[kernel.Kernel], typing.Coroutine]
Extend = typing.Callable[[kernel.Kernel], None]


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    result = argparse.ArgumentParser(
        prog='carawaystaird',
        description='Run one process of the carawaystair proxy fleet.',
        epilog='Example: carawaystaird --settings /etc/carawaystair/node.json'
        ' -- SIGTERM finishes what is in flight, then stops; SIGHUP takes'
        ' the keys that the settings name now.',
    )
    parser_help = 'settings file, see docs/SETTINGS.md'
    result.add_argument('--settings', required=True, help=parser_help)
    result.add_argument(
        '--experiment',
        action='store_true',
        help='allow mechanisms to be switched off by experiment.off',
    )
    return result


def digest(settings: settings_module.Settings) -> str:
    """Return a short digest of settings, to tell whether two are the same."""
    text = repr(settings).encode()
    return hashlib.blake2b(text, digest_size=6).hexdigest()


class Start(typing.NamedTuple):
    """What a process starts with.

    :param settings: the checked settings.
    :param held: the keys that they name.
    """

    settings: settings_module.Settings
    held: tuple[keys.Key, ...]


def read(path: str) -> expression.Result[Start, settings_module.Problem]:
    """Read settings and all the files that they name.

    :return: what a process starts with, or every mistake found.
    """
    loaded = settings_module.load(path)
    if loaded.is_error():
        return loaded
    settings = loaded.ok
    held = keys.read_all(settings.keys)
    if held.is_error():
        return _problem(held.error)
    if 'control' in settings.roles and settings.control.tls is not None:
        tls = importlib.import_module('carawaystair.admin.tls')
        made = tls.context(settings.control.tls)
        if made.is_error():
            return _problem(made.error)
    return expression.Ok(Start(settings, held.ok))


def switch_off(
    settings: settings_module.Settings, asked: bool
) -> expression.Result[None, settings_module.Problem]:
    """Switch off what an experiment leaves out, if one was asked for.

    :param asked: whether somebody asked for an experiment at the start.
    """
    names = settings.experiment.off
    if not names:
        return expression.Ok(None)
    if not asked:
        text = 'allowed with --experiment only'
        return _mistaken(shape.Mistake('$.experiment.off', text))
    experiments = importlib.import_module('carawaystair.experiments')
    unknown = experiments.unknown(names)
    if unknown:
        text = 'unknown: %s' % ', '.join(unknown)
        return _mistaken(shape.Mistake('$.experiment.off', text))
    experiments.install(names)
    LOG.warning('An experiment switches mechanisms off.', off=list(names))
    return expression.Ok(None)


def _mistaken(mistake: shape.Mistake) -> expression.Result:
    return expression.Error((codes.SETTINGS_INVALID, [mistake]))


def _problem(failure: codes.Failure) -> expression.Result:
    mistakes = [shape.Mistake('$', failure.detail)]
    return expression.Error((failure.code, mistakes))


async def reload_keys(process: kernel.Kernel, path: str) -> None:
    """Take the keys that the settings name now; nothing else of them.

    Whatever is wrong with them leaves the process as it was.
    """
    start = read(path)
    if start.is_error():
        code, mistakes = start.error
        why = '; '.join([code.label, *map(str, mistakes)])
        LOG.error('Kept the old keys.', why=why)
        return
    if bool(start.ok.held) != bool(process.links.keys):
        LOG.error('Kept the old keys.', why='the first key wants a restart')
        return
    if start.ok.held != process.links.keys:
        await process.use_keys(start.ok.held)


async def run(
    settings: settings_module.Settings,
    registry: plugins.Registry,
    held: typing.Sequence[keys.Key] = (),
    reload: Reload | None = None,
    sink: output.Sink | None = None,
    extend: Extend | None = None,
) -> int:
    """Run the process until SIGTERM, SIGINT or a crash of a part.

    A part whose task ended by an exception does its work no longer, while
    all others go on: a node could keep routing by old knowledge for days.
    So the whole process ends, with an error, and whoever watches over it
    starts it again.

    :param settings: the checked settings.
    :param registry: the plug-ins.
    :param held: keys of the fleet.
    :param reload: called at SIGHUP.
    :param sink: takes the lines that tell decisions.
    :param extend: adds parts to the process before it starts.
    """
    shutdown = shutdowns.Shutdown()
    with shutdowns.requested_by_signals(shutdown):
        return await _run(
            settings, registry, held, reload, sink, extend, shutdown
        )


async def _run(
    settings: settings_module.Settings,
    registry: plugins.Registry,
    held: typing.Sequence[keys.Key],
    reload: Reload | None,
    sink: output.Sink | None,
    extend: Extend | None,
    shutdown: shutdowns.Shutdown,
) -> int:
    """Run the process until its stop is asked for, see :func:`run`."""
    loop = asyncio.get_running_loop()
    process = kernel.Kernel(settings, registry, held, sink, shutdown)
    if extend is not None:
        extend(process)

    def _reload() -> None:
        LOG.info('Reloads.')
        if reload is not None:
            process.add_future(reload(process))

    loop.add_signal_handler(signal.SIGHUP, _reload)
    reload_signal.release()
    try:
        await process.start()
        heap.settle()
        if not shutdown.requested:
            LOG.info(
                'Started.',
                roles=list(settings.roles),
                version=carawaystair.__version__,
                settings=digest(settings),
            )
            readiness.notify(readiness.READY)
        await process.wait(shutdown.event)
        if process.crashed:
            LOG.error('A part crashed.', why=repr(process.crash_reason))
            return EXIT_FAILED
    except OSError as error:
        failure = codes.Failure(codes.ADDRESS_IN_USE, str(error))
        print(failure.sentence(), file=sys.stderr)
        return EXIT_FAILED
    finally:
        LOG.info('Stopping.', signal_ms=int(shutdown.age_s() * MS))
        readiness.notify(readiness.STOPPING)
        await process.stop()
        # The loop gives SIGHUP its default action back when it closes.
        reload_signal.hold()
        LOG.info('Stopped.')
        if sink is not None:
            sink.close()
    return EXIT_OK


def main(arguments: list[str] | None = None) -> int:
    """Entry point of ``carawaystaird``."""
    options = parser().parse_args(arguments)
    result = read(options.settings)
    if result.is_ok():
        allowed = switch_off(result.ok.settings, options.experiment)
        result = result if allowed.is_ok() else allowed
    if result.is_error():
        code, mistakes = result.error
        print(codes.Failure(code).sentence(), file=sys.stderr)
        for mistake in mistakes:
            print('  %s' % (mistake,), file=sys.stderr)
        return EXIT_SETTINGS
    heap.expect_start()
    settings = result.ok.settings
    sink = logs.setup(settings.log.level, settings.log.form, settings.host)
    return asyncio.run(
        run(
            settings,
            plugins.load(commands=False),
            result.ok.held,
            lambda process: reload_keys(process, options.settings),
            sink,
        )
    )
