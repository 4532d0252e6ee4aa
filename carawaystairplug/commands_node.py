"""Subcommands that ask the local APIs of nodes."""

import argparse
import asyncio
import itertools
import pathlib
import time
import typing
import urllib.parse

import expression

from carawaystair import codes
from carawaystair import plugins
from carawaystair import shape
from carawaystair import timeline as timelines
from carawaystair.ui import api
from carawaystair.ui import client
from carawaystair.ui import command
from carawaystair.ui import output
from carawaystair.ui import timelinepage

PAGE = 1000
FOLLOW_S = 1.0
# Processes read at the same time.
AT_ONCE = 32
# Filters of "timeline", by option and field of the event alike.
FILTERS = ('request', 'upstream', 'service', 'version', 'host', 'kind')


class NodeCommands(plugins.Plugin):
    """Brings the subcommands that read nodes."""

    name = 'commands-node'

    def commands(self) -> tuple[command.Command, ...]:
        """Return upstreams, suspects and timeline."""
        return (
            _upstreams_command(),
            _suspects_command(),
            _timeline_command(),
        )


# upstreams


def _upstreams_command() -> command.Command:
    examples = (
        'carawaystair upstreams',
        'carawaystair upstreams --node http://10.0.0.7:8081 --service portal',
    )
    made = command.Command(
        'upstreams', 'show upstreams as a node sees them', upstreams, examples
    )
    made.add('--service', metavar='NAME', help='only those of one service')
    return api.with_nodes(made).with_json()


def upstreams(options: argparse.Namespace) -> int:
    """Show the upstreams that the first node named knows."""
    bases = (options.node or [api.DEFAULT_NODE])[:1]
    listed = api.ask_nodes(bases, '/v1/upstreams')[0]
    told = api.ask_nodes(bases, '/v1/status')[0]
    for reply in (listed, told):
        if reply.is_error():
            return api.print_refusal(reply.error)
    ejected = set(
        itertools.chain.from_iterable(
            service['ejected'] for service in told.ok['services']
        )
    )
    found = [
        each | {'ejected': each['id'] in ejected}
        for service, members in sorted(listed.ok['services'].items())
        for each in members
        if options.service in (None, service)
    ]
    if options.json:
        output.json(found)
    else:
        _print_upstreams(found)
    return command.EXIT_OK


def _print_upstreams(found: list[dict]) -> None:
    names = ('service', 'id', 'address', 'host', 'data_centre', 'slots')
    rows = [
        (
            *(each[name] for name in names),
            'EJECTED' if each['ejected'] else each['state'],
        )
        for each in found
    ]
    output.table((*names, 'state'), rows)


# suspects


def _suspects_command() -> command.Command:
    examples = (
        'carawaystair suspects',
        'carawaystair suspects --node http://10.0.0.7:8081 --json',
        'carawaystair suspects --clear q3Zk0cVbT1mYw8aR',
    )
    made = command.Command(
        'suspects',
        'show requests that upstreams crashed under, or clear one',
        suspects,
        examples,
    )
    made.add(
        '--clear',
        metavar='DIGEST',
        help='let a request run again, in the whole fleet',
    )
    return api.with_nodes(made).with_json()


def suspects(options: argparse.Namespace) -> int:
    """Show the suspects that the first node named knows, or clear one."""
    base = (options.node or [api.DEFAULT_NODE])[0]
    if options.clear:
        path = '/v1/suspects/%s' % urllib.parse.quote(options.clear, safe='')
        asking = client.Client(base).ask('DELETE', path)
        return api.print_reply(options, asyncio.run(asking), _print_cleared)
    listed = api.ask_nodes([base], '/v1/suspects')[0]
    return api.print_reply(options, listed, _print_suspects)


def _print_cleared(told: dict) -> None:
    print('cleared of %d crashes' % told['cleared'])


def _print_suspects(found: list[dict]) -> None:
    names = ('digest', 'request', 'age_s', 'refused_s', 'cleared')
    rows = [
        (*(each[name] for name in names), ' '.join(each['upstreams']))
        for each in found
    ]
    output.table((*names, 'upstreams'), rows)


# timeline


def _timeline_command() -> command.Command:
    examples = (
        'carawaystair timeline --node http://10.0.0.7:8081'
        ' --node http://10.0.0.8:8081',
        'carawaystair timeline --upstream portal-3 --follow',
        'carawaystair timeline --request 7f3a --json',
    )
    made = command.Command(
        'timeline',
        'merge the events of several processes in causal order',
        timeline,
        examples,
    )
    for name in FILTERS:
        made.add('--%s' % name, metavar=name.upper(), help='only this one')
    made.add(
        '--since',
        type=int,
        default=0,
        metavar='TIME',
        help='only events after this hybrid time',
    )
    made.add('--follow', action='store_true', help='go on until interrupted')
    made.add(
        '--html',
        metavar='FILE',
        help='write them as one page for a browser instead',
    )
    made.add(
        '--api',
        metavar='URL',
        help='administration API of a control host, whose events are merged'
        ' in, too',
    )
    api.with_token(made)
    return api.with_nodes(made).with_json()


def timeline(options: argparse.Namespace) -> int:
    """Print the merged events; with ``--follow`` until interrupted."""
    sources = _sources(options)
    if sources.is_error():
        return api.print_refusal(sources.error)
    marks = [options.since] * len(sources.ok)
    if options.html:
        return _write_page(options, sources.ok, marks)
    while True:
        exit_code = _print_new(options, sources.ok, marks)
        if not options.follow:
            return exit_code
        time.sleep(FOLLOW_S)


def _sources(options: argparse.Namespace) -> expression.Result:
    """Return a client for each process whose events are wanted."""
    bases = options.node or ([] if options.api else [api.DEFAULT_NODE])
    nodes = [client.Client(base) for base in bases]
    if not options.api:
        return expression.Ok(nodes)
    return api.connect(options).map(lambda control: [*nodes, control])


def _print_new(
    options: argparse.Namespace,
    sources: list[client.Client],
    marks: list[int],
) -> int:
    """Print what is newer than ``marks`` and move the marks on."""
    exit_code, events = _new(options, sources, marks)
    for event in events:
        _print_event(options, event)
    return exit_code


def _write_page(
    options: argparse.Namespace,
    sources: list[client.Client],
    marks: list[int],
) -> int:
    """Write all events as one page."""
    exit_code, events = _new(options, sources, marks)
    try:
        pathlib.Path(options.html).write_text(timelinepage.page(events))
    except OSError as error:
        failure = codes.Failure(codes.OUTPUT_FAILED, str(error))
        return api.print_refusal(client.Refusal(failure))
    print('%d events are in %s' % (len(events), options.html))
    return exit_code


class _News(typing.NamedTuple):
    """Events that were not read before."""

    exit_code: int
    events: list[timelines.Event]


def _new(
    options: argparse.Namespace,
    sources: list[client.Client],
    marks: list[int],
) -> _News:
    """Read what is newer than ``marks`` and move the marks on."""
    exit_code = command.EXIT_OK
    reads = asyncio.run(_read_every(sources, marks))
    for index, read in enumerate(reads):
        if read.refusal is not None:
            exit_code = api.print_refusal(read.refusal)
        marks[index] = max([marks[index], *(e.time for e in read.events)])
    # A process that holds both roles answers at both of its addresses.
    merged = dict.fromkeys(timelines.merge(*(read.events for read in reads)))
    return _News(exit_code, [e for e in merged if _wanted(options, e)])


class _Read(typing.NamedTuple):
    """What one process told of its events."""

    events: list[timelines.Event]
    refusal: client.Refusal | None = None


async def _read_every(
    sources: list[client.Client], marks: list[int]
) -> list[_Read]:
    """Read all processes, a few at a time."""
    few = asyncio.Semaphore(AT_ONCE)

    async def _one(source: client.Client, mark: int) -> _Read:
        async with few:
            return await _read(source, mark)

    return await asyncio.gather(*map(_one, sources, marks))


async def _read(source: client.Client, since: int) -> _Read:
    """Read all pages of one process; say why when one is missing."""
    events: list[timelines.Event] = []
    while True:
        params = {'since': str(since), 'limit': str(PAGE)}
        reply = await source.ask('GET', '/v1/timeline', params=params)
        if reply.is_error():
            return _Read(events, reply.error)
        mistakes: list[shape.Mistake] = []
        kind = tuple[timelines.Event, ...]
        page = shape.build(kind, reply.ok, mistakes=mistakes)
        if mistakes:
            failure = codes.Failure(codes.API_ANSWER_ODD, str(mistakes[0]))
            return _Read(events, client.Refusal(failure))
        events.extend(page)
        if len(page) < PAGE:
            return _Read(events)
        since = page[-1].time


def _wanted(options: argparse.Namespace, event: timelines.Event) -> bool:
    return all(
        getattr(options, name) in (None, getattr(event, name))
        for name in FILTERS
    )


def _print_event(options: argparse.Namespace, event) -> None:
    if options.json:
        print(output.encode(event).decode(), flush=True)
        return
    print(line(event), flush=True)


def line(event: timelines.Event) -> str:
    """Return one event as a line for a person."""
    named = [
        '%s=%s' % (name, getattr(event, name))
        for name in ('service', 'upstream', 'request', 'version')
        if getattr(event, name)
    ]
    words = [
        timelines.clock_text(event.time),
        event.host.ljust(12),
        event.kind.ljust(20),
        *named,
        event.text,
    ]
    return ' '.join(words).rstrip()
