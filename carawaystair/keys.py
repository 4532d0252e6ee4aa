"""Keys of the fleet: for the links (CURVE) and for the datagrams.

A key file holds one CURVE key pair, shared by all processes of the fleet,
and one key for the authenticators of datagrams.  Whoever holds the file
belongs to the fleet.  ``docs/design/keys.md`` weighs the ways.
"""

import os
import pathlib
import secrets
import stat
import typing

import expression
import msgspec
import zmq

from carawaystair import codes
from carawaystair import documents
from carawaystair import shape

ID_BYTES = 4
DATAGRAM_KEY_BYTES = 32
MAX_BYTES = 4096
# Only the owner may read a key file.
FILE_MODE = 0o600


class Key(typing.NamedTuple):
    """One key of the fleet, as its file holds it.

    :param id: short name, shown in logs and status.
    :param curve_public: public half of the CURVE pair, Z85.
    :param curve_secret: secret half of the CURVE pair, Z85.
    :param datagram: key of the datagrams' authenticators, hex.
    """

    id: str
    curve_public: str
    curve_secret: str
    datagram: str

    def datagram_bytes(self) -> bytes:
        """Return the key of the datagrams' authenticators."""
        return bytes.fromhex(self.datagram)


def generate() -> Key:
    """Return a new random key."""
    public, secret = zmq.curve_keypair()
    return Key(
        secrets.token_hex(ID_BYTES),
        public.decode(),
        secret.decode(),
        secrets.token_hex(DATAGRAM_KEY_BYTES),
    )


def write(key: Key, path: pathlib.Path) -> None:
    """Write a key file that only its owner may read.

    :raises OSError: as :func:`write_secret` does.
    """
    encoded = msgspec.json.encode(key._asdict())
    write_secret(msgspec.json.format(encoded, indent=2) + b'\n', path)


def write_secret(data: bytes, path: pathlib.Path) -> None:
    """Write a file that only its owner may read.

    :raises FileExistsError: rather than overwrite a secret in use.
    :raises OSError: when the file cannot be written.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with open(os.open(path, flags, FILE_MODE), 'wb') as file:
        file.write(data)


def read(path: str) -> expression.Result[Key, codes.Failure]:
    """Read and check a key file."""
    try:
        file = pathlib.Path(path)
        if file.stat().st_mode & stat.S_IRWXO:
            # Whoever reads the key can join the fleet and eject upstreams.
            text = '%s: others than its owner may use it' % path
            return codes.fail(codes.KEY_FILE_INVALID, text)
        data = file.read_bytes()
    except OSError as error:
        return codes.fail(codes.KEY_FILE_INVALID, '%s: %s' % (path, error))
    decoded = documents.decode(data, MAX_BYTES)
    if decoded.is_error():
        return _invalid(path, decoded.error)
    mistakes: list[shape.Mistake] = []
    key = shape.build(Key, decoded.ok, mistakes=mistakes)
    if key is not None:
        mistakes.extend(_check(key))
    return _invalid(path, mistakes) if mistakes else expression.Ok(key)


def read_all(
    paths: typing.Iterable[str],
) -> expression.Result[tuple[Key, ...], codes.Failure]:
    """Read the key files of the settings, in their order."""
    results = [read(path) for path in paths]
    wrong = next((result for result in results if result.is_error()), None)
    if wrong is not None:
        return wrong
    held = tuple(result.ok for result in results)
    if len({key.id for key in held}) < len(held):
        return codes.fail(codes.KEY_FILE_INVALID, 'two files hold one key')
    return expression.Ok(held)


def _invalid(
    path: str, mistakes: typing.Iterable[shape.Mistake]
) -> expression.Result:
    text = '%s: %s' % (path, '; '.join(map(str, mistakes)))
    return codes.fail(codes.KEY_FILE_INVALID, text)


def _check(key: Key) -> typing.Iterator[shape.Mistake]:
    if not key.id:
        yield shape.Mistake('$.id', 'is empty')
    try:
        derived = zmq.curve_public(key.curve_secret.encode()).decode()
    except (ValueError, zmq.ZMQError):
        derived = ''
    if not derived:
        yield shape.Mistake('$.curve_secret', 'is no CURVE key')
    elif derived != key.curve_public:
        text = 'does not belong to curve_secret'
        yield shape.Mistake('$.curve_public', text)
    try:
        size = len(bytes.fromhex(key.datagram))
    except ValueError:
        size = 0
    if size != DATAGRAM_KEY_BYTES:
        text = 'expected %d bytes in hex' % DATAGRAM_KEY_BYTES
        yield shape.Mistake('$.datagram', text)
