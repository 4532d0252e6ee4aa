"""What the subcommands that ask an HTTP API share."""

import argparse
import asyncio
import typing

import expression

from carawaystair import codes
from carawaystair.ui import client
from carawaystair.ui import command
from carawaystair.ui import output

DEFAULT_API = 'http://127.0.0.1:7580'
DEFAULT_NODE = 'http://127.0.0.1:8081'

# Failures after which nobody knows whether the request was carried out.
NO_ANSWER_CODES = (codes.API_UNREACHABLE, codes.API_ANSWER_LOST)


def with_api(made: command.Command) -> command.Command:
    """Add the options of the administration API."""
    made.add(
        '--api',
        default=DEFAULT_API,
        metavar='URL',
        help='administration API of a control host (default: %(default)s)',
    )
    return with_token(made)


def with_token(made: command.Command) -> command.Command:
    """Add the options that prove and check who is who."""
    made.add(
        '--token-file',
        metavar='FILE',
        help="file with the team's bearer token",
    )
    made.add(
        '--ca-file',
        metavar='FILE',
        help='certificate that signed the API, PEM, unless the system'
        ' knows it',
    )
    return made


def with_nodes(made: command.Command) -> command.Command:
    """Add the option that names nodes."""
    return made.add(
        '--node',
        action='append',
        metavar='URL',
        help='local API of a node, may be repeated (default: %s)'
        % DEFAULT_NODE,
    )


def connect(options: argparse.Namespace) -> expression.Result:
    """Return a client of the administration API that options name."""
    token = client.token(options.token_file)
    trust = client.trust(options.ca_file)
    if trust.is_error():
        return trust
    return token.map(
        lambda text: client.Client(options.api, text, trust=trust.ok)
    )


def ask(
    options: argparse.Namespace, method: str, path: str, **details
) -> client.Reply:
    """Ask the administration API one thing.

    :param details: as ``Client.ask`` takes them.
    """
    connected = connect(options)
    if connected.is_error():
        return connected
    return asyncio.run(connected.ok.ask(method, path, **details))


def ask_nodes(
    bases: typing.Sequence[str] | None,
    path: str,
    params: typing.Mapping[str, str] | None = None,
) -> list[client.Reply]:
    """Ask several nodes the same at once.

    :return: their answers in the order of ``bases``.
    """
    chosen = bases or [DEFAULT_NODE]

    async def _all() -> list:
        questions = [
            client.Client(base).ask('GET', path, params=params)
            for base in chosen
        ]
        return await asyncio.gather(*questions)

    return asyncio.run(_all())


def print_reply(
    options: argparse.Namespace,
    reply: client.Reply,
    show: typing.Callable[[typing.Any], None],
) -> int:
    """Print a reply, or why there is none; return the exit code.

    :param show: prints it for a person, when ``--json`` is not given.
    """
    if reply.is_error():
        return print_refusal(reply.error)
    if options.json:
        output.json(reply.ok)
    else:
        show(reply.ok)
    return command.EXIT_OK


def print_refusal(refusal: client.Refusal) -> int:
    """Print a refusal and return the exit code for it."""
    output.failure(refusal.failure, refusal.mistakes)
    if refusal.failure.code in NO_ANSWER_CODES:
        return command.EXIT_UNREACHABLE
    if refusal.mistakes:
        return command.EXIT_INVALID
    return command.EXIT_REFUSED
