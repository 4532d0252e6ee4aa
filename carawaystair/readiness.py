"""Tells the service manager that this process is ready, or stops.

The manager listens for datagrams at the Unix socket that an environment
variable names, as sd_notify(3) describes.
"""

import os
import socket

from carawaystair import logs

VARIABLE = 'NOTIFY_SOCKET'
READY = b'READY=1'
STOPPING = b'STOPPING=1'
# A manager that takes no datagram for so long is not waited for, seconds.
SEND_S = 1.0

LOG = logs.get('readiness')


def notify(state: bytes) -> None:
    """Send a state to the service manager, where there is one.

    :param state: :data:`READY` or :data:`STOPPING`.
    """
    path = os.environ.get(VARIABLE)
    if not path:
        return
    # A leading @ stands for the null byte of an abstract address.
    address = '\0' + path[1:] if path.startswith('@') else path
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sender:
            sender.settimeout(SEND_S)
            sender.sendto(state, address)
    except OSError as error:
        LOG.error('Could not reach the service manager.', why=str(error))
