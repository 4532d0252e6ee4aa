"""Who asks: teams, their bearer tokens and what these allow.

Settings hold only digests of tokens, so that a settings file that leaks
gives nobody a token.  Tokens are random and long; a slow password hash would
buy nothing and let strangers spend our processor time.
"""

import hashlib
import hmac
import secrets
import typing

import expression

from carawaystair.admin import replies
from carawaystair import codes
from carawaystair import settings as settings_module

TOKEN_BYTES = 32
DIGEST_BYTES = 32
# Longer tokens are not ours; hashing them would cost for nothing.
MAX_TOKEN = 512

# The team of whoever asks an API that has no teams (loopback only).
OPERATORS = 'operators'


class Caller(typing.NamedTuple):
    """Who sent a request.

    :param team: the team whose token it brought.
    :param scopes: what the token allows.
    :param person: who within the team, as the request says; unproved.
    """

    team: str
    scopes: frozenset[str]
    person: str = ''

    def author(self) -> str:
        """Return the name that the history keeps."""
        return '%s/%s' % (self.team, self.person) if self.person else self.team

    def may(self, scope: str) -> bool:
        """Tell whether the token allows ``scope``; admin allows all."""
        return scope in self.scopes or settings_module.ADMIN in self.scopes


def digest(token: str) -> str:
    """Return the digest of a token, hex, as settings hold it."""
    data = token.encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def new_token() -> str:
    """Return a new random token."""
    return secrets.token_urlsafe(TOKEN_BYTES)


class Teams:
    """Tells callers by their tokens.

    :param teams: the teams of the settings; a team may stand there twice,
        so that its token can be changed without a gap.  None at all: every
        caller is the operators' team, which settings allow on loopback only.
    """

    def __init__(self, teams: typing.Sequence[settings_module.Team]) -> None:
        self.teams = tuple(teams)

    def caller(self, authorization: str, person: str = '') -> replies.Reply:
        """Return who asks.

        :param authorization: the header of that name, or empty.
        :param person: the header ``Caraway-Operator``, or empty.
        """
        if not self.teams:
            scopes = frozenset((settings_module.ADMIN,))
            return expression.Ok(Caller(OPERATORS, scopes, person))
        kind, _space, token = authorization.partition(' ')
        if kind.lower() != 'bearer' or not 0 < len(token) <= MAX_TOKEN:
            return replies.refuse(codes.TOKEN_REFUSED)
        found = self._find(digest(token.strip()))
        if found is None:
            return replies.refuse(codes.TOKEN_REFUSED)
        caller = Caller(found.name, frozenset(found.scopes), person)
        return expression.Ok(caller)

    def _find(self, wanted: str) -> settings_module.Team | None:
        """Find a digest, in a time that does not tell how near a guess is."""
        hits = [
            team
            for team in self.teams
            if hmac.compare_digest(team.token_digest, wanted)
        ]
        return hits[0] if hits else None
