"""Encrypted and authenticated links (CURVE, rfc.zeromq.org/spec/26).

All processes of a fleet share one key pair; it is both the server's and the
client's, so that each side proves to the other that it holds the key.  While
keys are being changed a process listens with every key that it accepts, on
one port: the system hands each new connection to one of the listeners by its
source port, and a connection that met the listener of another key fails its
handshake and is tried again from another source port.
"""

import socket
import typing

import zmq
import zmq.asyncio
import zmq.auth.asyncio
import zmq.utils.monitor

from carawaystair import keys

BACKLOG = 512
# A connection that met the wrong listener is tried again so soon.
RETRY_MS = 50
RETRY_MAX_MS = 200

FAILED = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)


class Gatekeeper:
    """Admits only clients that hold the key of the listener they met.

    :param context: the context of the sockets.
    """

    def __init__(self, context: zmq.asyncio.Context) -> None:
        self.authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)

    def start(self) -> None:
        """Start to answer; before it, every client would be admitted."""
        self.authenticator.start()

    def stop(self) -> None:
        """Stop to answer, once no socket listens any more."""
        self.authenticator.stop()

    def admit(self, key: keys.Key) -> None:
        """Admit holders of ``key`` to the listener of that key."""
        only = _Only(key.curve_public.encode())
        self.authenticator.configure_curve_callback(key.id, only)

    def dismiss(self, key: keys.Key) -> None:
        """Admit nobody to the listener of ``key`` any more."""
        nobody = _Only(b'')
        self.authenticator.configure_curve_callback(key.id, nobody)


class _Only(typing.NamedTuple):
    """Admits one client key, as the authenticator asks for it.

    :param public: the public half, Z85; empty to admit nobody.
    """

    public: bytes

    def callback(self, _domain: str, key: bytes) -> bool:
        """Tell whether a client may come in."""
        return key == self.public


def serve(router: zmq.Socket, key: keys.Key, address: str) -> None:
    """Let a ROUTER socket listen with ``key``.

    :raises OSError: when the address cannot be bound.
    """
    router.curve_server = True
    router.curve_secretkey = key.curve_secret.encode()
    router.curve_publickey = key.curve_public.encode()
    router.zap_domain = key.id.encode()
    listener = _listener(address)
    try:
        router.setsockopt(zmq.USE_FD, listener.fileno())
        router.bind('tcp://%s' % address)
    except zmq.ZMQError:
        listener.close()
        raise
    # The socket library closes it from now on.
    listener.detach()


def connect(dealer: zmq.Socket, key: keys.Key) -> None:
    """Let a DEALER socket prove ``key`` and ask the same of the server."""
    dealer.curve_serverkey = key.curve_public.encode()
    dealer.curve_secretkey = key.curve_secret.encode()
    dealer.curve_publickey = key.curve_public.encode()
    dealer.setsockopt(zmq.RECONNECT_IVL, RETRY_MS)
    dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RETRY_MAX_MS)


def check_free(address: str) -> None:
    """Check that no other process listens at ``address``.

    Listeners that share a port would share it with another process, too:
    two processes with the same settings would each get half of the links.

    :raises OSError: when one does.
    """
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(_pair(address))


async def watch(
    router: zmq.Socket, refused: typing.Callable[[], None]
) -> None:
    """Call ``refused`` for every handshake that failed, until cancelled."""
    monitor = router.get_monitor_socket(FAILED)
    try:
        while True:
            await monitor.recv_multipart()
            refused()
    finally:
        router.disable_monitor()
        monitor.close(0)


def _listener(address: str) -> socket.socket:
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        made.bind(_pair(address))
        made.listen(BACKLOG)
    except OSError:
        made.close()
        raise
    made.setblocking(False)
    return made


def _pair(address: str) -> tuple[str, int]:
    ip, _colon, port = address.rpartition(':')
    return ip, int(port)
