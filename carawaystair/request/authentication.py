"""Who sends a request: keys of customers, and how long they may be trusted.

A node accepts keys only while it can show that its configuration was the
newest one a short time ago.  A node that is cut off therefore refuses a key
that was taken away, without hearing of it.  The request is sent before it is
checked here, and the configuration was confirmed before any later change was
accepted, so no request that is sent ``keys_max_age_s`` after such a change
passes.
"""

import typing

from carawaystair import codes
from carawaystair import manifest as manifests
from carawaystair.request import validation
from carawaystair import routing as routings
from carawaystair import rows

AUTHORIZATION = 'Authorization'
SCHEME = 'bearer'
# Time after which a node that was cut off usually is in touch again, seconds.
RETURN_S = 1.0


class Sender(typing.NamedTuple):
    """The sender of a request.

    :param customer: name of its customer, '' for none.
    :param credential: row key of its key; '' where no key was required.
    """

    customer: str = ''
    credential: str = ''


NOBODY = Sender()


def read_key(fields) -> str:
    """Return the key in the headers of a request, '' for none.

    Of several credentials none counts: another reader of the request might
    take another one.

    :param fields: a multidict of the headers.
    """
    values = fields.getall(AUTHORIZATION, ())
    if len(values) != 1:
        return ''
    scheme, _space, key = values[0].strip().partition(' ')
    return key.strip() if scheme.lower() == SCHEME else ''


class Authenticator:
    """Identifies senders; one for each node.

    :param routing: returns the configuration in force.
    :param behind_s: returns for how long a newer one has been known, seconds;
        0.0 while there is none.
    :param age_s: returns how long ago control vouched that the configuration
        is the newest one, seconds.
    :param max_age_s: age up to which keys are accepted, seconds; 0 for any.
    """

    def __init__(
        self,
        routing: typing.Callable[[], routings.Routing],
        behind_s: typing.Callable[[], float],
        age_s: typing.Callable[[], float],
        max_age_s: float,
    ) -> None:
        self.routing = routing
        self.behind_s = behind_s
        self.age_s = age_s
        self.max_age_s = max_age_s

    def identify(
        self,
        routing: routings.Routing,
        route: manifests.Route,
        fields,
        nested: bool,
    ) -> Sender:
        """Return the sender of a request.

        :param fields: a multidict of its headers.
        :param nested: whether a running request of this host makes it; such
            calls bring no key.
        :raises validation.Refused: when it needs a key and brings none that
            is in force.
        """
        if not routing.keys_required:
            return NOBODY
        key = read_key(fields)
        credential = rows.credential(key) if key else ''
        customer = routing.customer_of(credential) if key else ''
        if route.public or (nested and not key):
            return Sender(customer)
        sender = Sender(customer, credential)
        refused = self._check(routing, sender)
        if refused is not None:
            raise refused
        return sender

    def recheck(self, sender: Sender) -> validation.Refused | None:
        """Return why a request may not be sent on any more, None if it may.

        A request that waited for long is checked again by what is known now.
        """
        if not sender.credential:
            return None
        return self._check(self.routing(), sender)

    def _check(
        self, routing: routings.Routing, sender: Sender
    ) -> validation.Refused | None:
        age_s = self.age_s()
        if self.max_age_s and age_s > self.max_age_s:
            detail = 'version %s, vouched for %.1f s ago'
            return validation.Refused(
                codes.KEYS_UNCERTAIN,
                detail % (routing.version, age_s),
                RETURN_S,
            )
        if sender.customer and sender.customer == routing.customer_of(
            sender.credential
        ):
            return None
        if self.behind_s():
            # The key may have been added by the newer configuration.
            return validation.Refused(
                codes.CONFIG_BEHIND, retry_after_s=RETURN_S
            )
        return validation.Refused(
            codes.KEY_UNKNOWN, 'version %s' % (routing.version,)
        )
