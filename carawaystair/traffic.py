"""What a process sends to others, by type of message and distance."""

import collections
import typing

from carawaystair import metrics


def _near(_address: str) -> bool:
    """Stand in until somebody knows where the others are."""
    return False


class Traffic:
    """Counts messages and bytes."""

    def __init__(self) -> None:
        # By type of message and whether it left the data centre.
        self.messages: collections.Counter = collections.Counter()
        self.bytes: collections.Counter = collections.Counter()
        # Tells whether an address is in another data centre.
        self.far: typing.Callable[[str], bool] = _near

    def count(self, message: type, to: str, size: int) -> None:
        """Count a message that was sent.

        :param message: its type.
        :param to: the address of the receiver.
        :param size: its bytes.
        """
        key = (message.__name__, self.far(to))
        self.messages[key] += 1
        self.bytes[key] += size

    def far_bytes(self) -> dict[str, int]:
        """Return the bytes to other data centres, by type of message."""
        return {
            message: size
            for (message, far), size in sorted(self.bytes.items())
            if far
        }

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        for (message, far), count in sorted(self.messages.items()):
            labels = (('type', message), metrics.far_label(far))
            yield metrics.Sample('messages_sent_total', count, labels)
            yield metrics.Sample(
                'message_bytes_sent_total', self.bytes[message, far], labels
            )
