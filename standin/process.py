"""Runs a stand-in as a process of its own."""

import argparse
import asyncio
import signal
import typing


def add_options(parser: argparse.ArgumentParser, kind: type) -> None:
    """Add an option for each field of a ``NamedTuple`` class."""
    hints = typing.get_type_hints(kind)
    for name in kind._fields:
        default = kind._field_defaults.get(name)
        parser.add_argument(
            '--' + name.replace('_', '-'),
            type=hints[name],
            default=default,
            required=name not in kind._field_defaults,
            help='default: %(default)s',
        )


def read_options(kind: type, text: str, arguments=None):
    """Read the command line into a ``NamedTuple``."""
    parser = argparse.ArgumentParser(description=text)
    add_options(parser, kind)
    return kind(**vars(parser.parse_args(arguments)))


async def until_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
