"""Options, requests and output shared by subcommands that use an HTTP API."""

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

# Codes of failures without a response: the request may have been carried out.
NO_ANSWER_CODES = (codes.API_UNREACHABLE, codes.API_ANSWER_LOST)


def with_api(made: command.Command) -> command.Command:
    """Add the options that select the administration API."""
    made.add(
        '--api',
        default=DEFAULT_API,
        metavar='URL',
        help='administration API of a control host (default: %(default)s)',
    )
    return with_token(made)


def with_token(made: command.Command) -> command.Command:
    """Add the options for the bearer token and the CA certificate."""
    made.add(
        '--token-file',
        metavar='FILE',
        help="file with the team's bearer token",
    )
    made.add(
        '--ca-file',
        metavar='FILE',
        help="PEM file of the CA that signed the API's certificate"
        ' (default: the CAs that the system trusts)',
    )
    return made


def with_nodes(made: command.Command) -> command.Command:
    """Add the option that selects nodes."""
    return made.add(
        '--node',
        action='append',
        metavar='URL',
        help='local API of a node; may be repeated (default: %s)'
        % DEFAULT_NODE,
    )


def connect(options: argparse.Namespace) -> expression.Result:
    """Return a client of the administration API selected by the options."""
    token = client.token(options.token_file)
    trust = client.trust(options.ca_file)
    if trust.is_error():
        return trust
    return token.map(
        lambda text: client.Client(options.api, text, trust=trust.ok)
    )


def ask(
    options: argparse.Namespace, method: str, path: str, **arguments
) -> client.Reply:
    """Send one request to the administration API.

    :param arguments: further arguments of ``Client.ask``.
    """
    connected = connect(options)
    if connected.is_error():
        return connected
    return asyncio.run(connected.ok.ask(method, path, **arguments))


def ask_nodes(
    bases: typing.Sequence[str] | None,
    path: str,
    params: typing.Mapping[str, str] | None = None,
) -> list[client.Reply]:
    """Send the same GET request to several nodes concurrently.

    :param bases: URLs of local APIs, None or empty for the default node.
    :return: the replies in the order of ``bases``.
    """
    urls = bases or [DEFAULT_NODE]

    async def _gather() -> list:
        requests = [
            client.Client(base).ask('GET', path, params=params)
            for base in urls
        ]
        return await asyncio.gather(*requests)

    return asyncio.run(_gather())


def print_reply(
    options: argparse.Namespace,
    reply: client.Reply,
    show: typing.Callable[[typing.Any], None],
) -> int:
    """Print a reply or its refusal; return the exit code.

    :param show: prints the value as text when ``--json`` is not given.
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
