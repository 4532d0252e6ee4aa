"""Subcommands that ask the local APIs of nodes: upstreams, timeline."""

import argparse
import itertools
import time
import typing

from carawaystair import plugins
from carawaystair import shape
from carawaystair import timeline as timelines
from carawaystair.ui import api
from carawaystair.ui import command
from carawaystair.ui import output

PAGE = 1000
FOLLOW_S = 1.0
# Filters of "timeline", by option and field of the event alike.
FILTERS = ('request', 'upstream', 'service', 'version', 'host', 'kind')


class NodeCommands(plugins.Plugin):
    """Brings the subcommands that read nodes."""

    name = 'commands-node'

    def commands(self) -> tuple[command.Command, ...]:
        """Return upstreams and timeline."""
        return (_upstreams_command(), _timeline_command())


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
    reply = api.ask_nodes(bases, '/v1/upstreams')[0]
    if reply.is_error():
        return api.refused(reply.error)
    found = [
        each
        for each in reply.ok['upstreams']
        if options.service in (None, each.get('service'))
    ]
    if options.json:
        output.json(found)
        return command.EXIT_OK
    names = ('id', 'service', 'address', 'host', 'state', 'slots')
    extra = ('ejected', 'weight')
    heads = (*names, *extra)
    output.table(heads, [[each.get(n, '') for n in heads] for each in found])
    return command.EXIT_OK


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
    return api.with_nodes(made).with_json()


def timeline(options: argparse.Namespace) -> int:
    """Print the merged events; with ``--follow`` until interrupted."""
    bases = options.node or [api.DEFAULT_NODE]
    marks = dict.fromkeys(bases, options.since)
    while True:
        exit_code = _print_new(options, marks)
        if not options.follow:
            return exit_code
        time.sleep(FOLLOW_S)


def _print_new(options: argparse.Namespace, marks: dict[str, int]) -> int:
    """Print what is newer than ``marks`` and move the marks on."""
    rings = []
    exit_code = command.EXIT_OK
    for base in marks:
        events, refusal = _read_all(base, marks[base])
        if refusal is not None:
            exit_code = api.refused(refusal)
        marks[base] = max((e.time for e in events), default=marks[base])
        rings.append(events)
    for event in timelines.merge(*rings):
        if _wanted(options, event):
            _print_event(options, event)
    return exit_code


def _read_all(base: str, since: int) -> tuple[list, typing.Any]:
    """Read all pages of one node; say why when one is missing."""
    events: list[timelines.Event] = []
    for _page in itertools.count():
        params = {'since': str(since), 'limit': str(PAGE)}
        reply = api.ask_nodes([base], '/v1/timeline', params)[0]
        if reply.is_error():
            return events, reply.error
        page = [_event(each) for each in reply.ok['events']]
        events.extend(page)
        if len(page) < PAGE:
            return events, None
        since = page[-1].time


def _event(value) -> timelines.Event:
    return shape.build(timelines.Event, value)


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
    wall = timelines.wall_ms(event.time)
    clock = time.strftime('%H:%M:%S', time.gmtime(wall / 1000))
    named = [
        '%s=%s' % (name, getattr(event, name))
        for name in ('service', 'upstream', 'request', 'version')
        if getattr(event, name)
    ]
    words = [
        '%s.%03d' % (clock, wall % 1000),
        event.host.ljust(12),
        event.kind.ljust(20),
        *named,
        event.text,
    ]
    return ' '.join(words).rstrip()
