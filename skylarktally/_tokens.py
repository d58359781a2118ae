"""Bearer tokens of operators and teams, known only by their digests."""

from collections.abc import Callable, Mapping
import datetime
import hashlib
import hmac
import logging
import os
from typing import NamedTuple

import prometheus_client
from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _settings

log = logging.getLogger(__name__)

REFUSALS = prometheus_client.Counter(
    'skylarktally_api_refusals_total',
    'Requests refused by authentication or authorization.',
    ['reason'],
)
OPERATOR = 'operator'
CALLER = 'caller'
ALL_TEAMS = '*'
# A new settings file is in force within this time; reading it for each
# request would cost more than the request.
_REREAD_AFTER = datetime.timedelta(seconds=1)

# From the digest of a secret to whom it speaks for.
Tokens = Mapping[str, _settings.Token]
ReadTokens = Callable[[], result.Result[Tokens, _errors.Failure]]


class Identity(NamedTuple):
    """Who sent a request, as far as its token tells."""

    name: str
    role: str
    team: str | None

    @property
    def is_operator(self) -> bool:
        """Whether the holder may act on every team's resources."""
        return self.role == OPERATOR and self.team in (None, ALL_TEAMS)

    def covers(self, team: str | None) -> bool:
        """Tell whether resources of the team belong to the holder."""
        if self.is_operator:
            return True
        known = self.role in (OPERATOR, CALLER)
        return known and team is not None and team == self.team


class TokenStore:
    """The tokens in force; reads them again when their source changes."""

    def __init__(self, read_tokens: ReadTokens, clock: _clock.Clock) -> None:
        self._read_tokens = read_tokens
        self._clock = clock
        self._tokens: Tokens = {}
        self._read_at: datetime.timedelta | None = None
        self._broken = False

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if self._read_at is not None and now - self._read_at < _REREAD_AFTER:
            return
        self._read_at = now
        outcome = self._read_tokens()
        if isinstance(outcome, result.Success):
            self._tokens = outcome.unwrap()
            self._broken = False
        elif not self._broken:
            self._broken = True
            log.warning(
                'cannot read tokens, keeping the ones in force: %s',
                outcome.failure().message,
            )

    def identify(
        self, header: str
    ) -> result.Result[Identity, _errors.Failure]:
        """Return the holder of the token in an Authorization header.

        Every entry is compared in constant time, and all of them are
        compared, so the duration tells nothing about the digests.
        """
        self._refresh()
        scheme, _, secret = header.partition(' ')
        if scheme.lower() != 'bearer' or not secret.strip():
            return self._refuse('missing', 'a bearer token is required')
        digest = hashlib.sha256(secret.strip().encode('latin-1', 'replace'))
        given = digest.hexdigest()
        found = None
        for known, token in self._tokens.items():
            if hmac.compare_digest(known, given):
                found = token
        if found is None:
            return self._refuse('unknown', 'the token is not known')
        return result.Success(Identity(found.subject, found.role, found.team))

    def _refuse(
        self, reason: str, message: str
    ) -> result.Result[Identity, _errors.Failure]:
        REFUSALS.labels(reason).inc()
        kind = _errors.ErrorKind.UNAUTHENTICATED
        return result.Failure(_errors.Failure(kind, message))


class TokenFile:
    """The tokens of a settings file, parsed again only when it changes."""

    def __init__(self, kind: type[_settings.Settings], path: str) -> None:
        self._kind = kind
        self._path = path
        self._signature: tuple[int, int, int] | None = None
        self._outcome: result.Result[Tokens, _errors.Failure]

    def read(self) -> result.Result[Tokens, _errors.Failure]:
        """Return the tokens, or INVALID_REQUEST with every error found."""
        try:
            status = os.stat(self._path)
        except OSError as error:
            return self._fail(str(error))
        signature = (status.st_mtime_ns, status.st_size, status.st_ino)
        if signature != self._signature:
            self._outcome = self._parse()
            self._signature = signature
        return self._outcome

    def _parse(self) -> result.Result[Tokens, _errors.Failure]:
        checked = _settings.load_settings(self._kind, self._path)
        if checked.settings is None:
            return self._fail('; '.join(map(str, checked.issues)))
        return result.Success(checked.settings.tokens)

    def _fail(self, message: str) -> result.Result[Tokens, _errors.Failure]:
        kind = _errors.ErrorKind.INVALID_REQUEST
        return result.Failure(_errors.Failure(kind, message))


def refuse_access(identity: Identity, what: str) -> _errors.Failure:
    """Count a request that the holder's role or team does not cover."""
    REFUSALS.labels('forbidden').inc()
    return _errors.Failure(
        _errors.ErrorKind.FORBIDDEN,
        f'token {identity.name!r} does not cover {what}',
    )
