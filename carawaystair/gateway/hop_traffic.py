"""Bytes of requests between this node and the gateways of others.

Counted at the node of the caller in both directions, since it knows in which
data centre a gateway is and what each offer was for.
"""

import collections
import typing

from carawaystair.gateway import hops
from carawaystair import metrics
from carawaystair.request import headers

# Parts of the bytes of an offer.
HEAD = 'head'  # the caller's head
BODY = 'body'
HOP = 'hop'  # the hop header
INTERIM = 'interim'  # interim answers
REPORT = 'report'  # the gateway's report, refusal or failure
ANSWER = 'answer'  # the upstream's answer

# What offers are for.
FIRST = 'first'
FURTHER = 'further'  # after refusals
RETRY = 'retry'  # after another upstream received it
RESUMED = 'resumed'  # after a lost connection

STATUS_LINE_BYTES = len(b'HTTP/1.1 200 OK\r\n\r\n')
HEADER_LINE_BYTES = len(b': \r\n')


class HopTraffic:
    """Counts offers and their bytes by purpose, part and distance."""

    def __init__(self) -> None:
        # By purpose and whether the gateway is in another data centre.
        self.offers: collections.Counter = collections.Counter()
        self.refused: collections.Counter = collections.Counter()
        # By purpose, part and distance.
        self.bytes: collections.Counter = collections.Counter()

    def record_offer(
        self, purpose: str, far: bool, head: int, body: int, hop: int
    ) -> None:
        """Count an offer that was sent.

        :param purpose: what it is for.
        :param far: whether its gateway is in another data centre.
        :param head: bytes of its head without the hop header.
        :param body: bytes of its body that were sent with it.
        :param hop: bytes of the hop header.
        """
        self.offers[purpose, far] += 1
        self._add(purpose, far, HEAD, head)
        self._add(purpose, far, BODY, body)
        self._add(purpose, far, HOP, hop)

    def record_interims(self, purpose: str, far: bool, count: int) -> None:
        """Count the interim answers to an offer."""
        self._add(purpose, far, INTERIM, count * len(hops.INTERIM))

    def record_answer(
        self, purpose: str, far: bool, raw: headers.Raw, body: int
    ) -> None:
        """Count the final answer to an offer.

        :param raw: its headers.
        :param body: bytes of its body.
        """
        own = refused = 0
        rest = STATUS_LINE_BYTES + body
        for name, value in raw:
            size = len(name) + len(value) + HEADER_LINE_BYTES
            kind = name.lower()
            refused += kind == hops.REFUSAL
            if kind in (hops.REPORT, hops.REFUSAL, hops.FAILURE):
                own += size
            else:
                rest += size
        if refused:
            # The body of a refusal is the gateway's own.
            self.refused[purpose, far] += 1
            own, rest = own + rest, 0
        self._add(purpose, far, REPORT, own)
        self._add(purpose, far, ANSWER, rest)

    def _add(self, purpose: str, far: bool, part: str, size: int) -> None:
        if size:
            self.bytes[purpose, part, far] += size

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        for (purpose, far), count in sorted(self.offers.items()):
            labels = (('purpose', purpose), metrics.far_label(far))
            yield metrics.Sample('offers_sent_total', count, labels)
            yield metrics.Sample(
                'offers_declined_total', self.refused[purpose, far], labels
            )
        for (purpose, part, far), size in sorted(self.bytes.items()):
            labels = (
                ('purpose', purpose),
                ('part', part),
                metrics.far_label(far),
            )
            yield metrics.Sample('offer_bytes_total', size, labels)
