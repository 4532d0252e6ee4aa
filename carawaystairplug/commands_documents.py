"""Subcommands that need no running fleet: check, codes, keygen, token."""

import argparse
import pathlib

import expression
import msgspec

from carawaystair.admin import teams
from carawaystair import codes
from carawaystair import keys
from carawaystair import manifest as manifests
from carawaystair import plugins
from carawaystair import settings as settings_module
from carawaystair.ui import command
from carawaystair.ui import output

SETTINGS = 'settings'
MANIFEST = 'manifest'


class Documents(plugins.Plugin):
    """Brings the subcommands of documents."""

    name = 'commands-documents'

    def commands(self) -> tuple[command.Command, ...]:
        """Return check, codes, keygen and token."""
        return (
            _check_command(),
            _codes_command(),
            _keygen_command(),
            _token_command(),
        )


# check


def _check_command() -> command.Command:
    examples = (
        'carawaystair check /etc/carawaystair/node.json',
        'carawaystair check --kind manifest build/manifest.json',
    )
    made = command.Command(
        'check', 'check settings or a manifest', check, examples
    )
    made.add('file', help='the settings or manifest file')
    made.add(
        '--kind',
        choices=(SETTINGS, MANIFEST),
        help='what the file is; told from its keys when not given',
    )
    return made.with_json()


def check(options: argparse.Namespace) -> int:
    """Check one file and list every mistake with its path."""
    try:
        data = pathlib.Path(options.file).read_bytes()
    except OSError as error:
        output.failure(codes.Failure(codes.FILE_UNREADABLE, str(error)))
        return command.EXIT_REFUSED
    kind = options.kind or kind_of(data)
    result = _read(kind, data)
    code, mistakes = result.error if result.is_error() else (codes.OK, [])
    if options.json:
        output.json(
            {
                'file': options.file,
                'kind': kind,
                'code': code.label,
                'mistakes': [mistake._asdict() for mistake in mistakes],
            }
        )
    elif result.is_error():
        output.failure(codes.Failure(code, options.file), mistakes)
    else:
        print('%s: no mistake found (%s)' % (options.file, kind))
    return command.EXIT_INVALID if result.is_error() else command.EXIT_OK


def kind_of(data: bytes) -> str:
    """Tell settings from a manifest by their outermost keys."""
    try:
        decoded = msgspec.json.decode(settings_module.uncomment(data))
    except (ValueError, RecursionError):
        return SETTINGS
    marks = {'services', 'routes', 'regions', 'format'}
    own = set(decoded) if isinstance(decoded, dict) else set()
    return MANIFEST if marks & own else SETTINGS


def _read(kind: str, data: bytes) -> expression.Result:
    if kind == MANIFEST:
        return manifests.read(data)
    return settings_module.parse(data)


# codes


def _codes_command() -> command.Command:
    examples = ('carawaystair codes', 'carawaystair codes CS-8002')
    made = command.Command(
        'codes', 'explain numbered result codes', show_codes, examples
    )
    made.add('code', nargs='?', help='one code, such as CS-8002 or 8002')
    return made.with_json()


def show_codes(options: argparse.Namespace) -> int:
    """Print all codes, or one with its remedy."""
    if options.code is None:
        chosen = [code for _number, code in sorted(codes.TABLE.items())]
    else:
        number = options.code.upper().removeprefix('CS-')
        known = number.isdigit() and codes.TABLE.get(int(number))
        if not known:
            failure = codes.Failure(codes.CODE_UNKNOWN, options.code)
            output.failure(failure)
            return command.EXIT_REFUSED
        chosen = [known]
    if options.json:
        output.json([{'label': c.label} | c._asdict() for c in chosen])
        return command.EXIT_OK
    heads = ('code', 'name', 'status', 'what happened', 'what to do')
    lines = [(c.label, c.name, c.status, c.text, c.remedy) for c in chosen]
    output.table(heads, lines)
    return command.EXIT_OK


# keygen


def _keygen_command() -> command.Command:
    examples = ('carawaystair keygen /etc/carawaystair/fleet-2.key',)
    made = command.Command(
        'keygen',
        'make a key file for links and datagrams',
        keygen,
        examples,
    )
    made.add('file', help='where to write it; an existing file is kept')
    return made.with_json()


def keygen(options: argparse.Namespace) -> int:
    """Write a new key file that only its owner may read."""
    key = keys.generate()
    try:
        keys.write(key, pathlib.Path(options.file))
    except OSError as error:
        output.failure(codes.Failure(codes.FILE_UNREADABLE, str(error)))
        return command.EXIT_REFUSED
    if options.json:
        output.json({'file': options.file, 'id': key.id})
    else:
        print('Wrote key %s to %s.' % (key.id, options.file))
    return command.EXIT_OK


# token


def _token_command() -> command.Command:
    examples = (
        'carawaystair token portal portal.token --scope read --scope submit',
    )
    made = command.Command(
        'token',
        "make a team's bearer token and its entry for the settings",
        token,
        examples,
    )
    made.add('team', help='the team, as services of the manifest name it')
    made.add('file', help='where to write the token; a file is never replaced')
    made.add(
        '--scope',
        action='append',
        choices=settings_module.SCOPES,
        help='what the token allows, may be repeated (default: read)',
    )
    return made


def token(options: argparse.Namespace) -> int:
    """Write a new token; print its entry for ``control.teams``."""
    made = teams.new_token()
    try:
        keys.write_secret(made.encode() + b'\n', pathlib.Path(options.file))
    except OSError as error:
        output.failure(codes.Failure(codes.FILE_UNREADABLE, str(error)))
        return command.EXIT_REFUSED
    scopes = tuple(options.scope or (settings_module.READ,))
    digest = teams.digest(made)
    output.json(settings_module.Team(options.team, digest, scopes))
    return command.EXIT_OK
