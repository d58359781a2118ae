"""Bearer tokens of operators and teams, stored as SHA-256 digests."""

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
# A changed settings file takes effect within this time. Reading it for each
# request would cost more than the request itself.
_REREAD_INTERVAL = datetime.timedelta(seconds=1)

# Token holders by the digest of their secret.
Tokens = Mapping[str, _settings.Token]
ReadTokens = Callable[[], result.Result[Tokens, _errors.Failure]]


class Identity(NamedTuple):
    """Sender of a request, as authenticated by its token."""

    name: str
    role: str
    team: str | None

    @property
    def is_operator(self) -> bool:
        """Whether the holder may access the resources of all teams."""
        return self.role == OPERATOR and self.team in (None, ALL_TEAMS)

    def can_access(self, team: str | None) -> bool:
        """Tell whether the holder may access resources of the team."""
        if self.is_operator:
            return True
        known = self.role in (OPERATOR, CALLER)
        return known and team is not None and team == self.team


class TokenStore:
    """Authenticates requests with tokens that are reread periodically.

    While the source cannot be read, the tokens read last remain valid.
    """

    def __init__(self, read_tokens: ReadTokens, clock: _clock.Clock) -> None:
        self._read_tokens = read_tokens
        self._clock = clock
        self._tokens: Tokens = {}
        self._read_at: datetime.timedelta | None = None
        self._is_source_failing = False

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if (
            self._read_at is not None
            and now - self._read_at < _REREAD_INTERVAL
        ):
            return
        self._read_at = now
        outcome = self._read_tokens()
        if isinstance(outcome, result.Success):
            self._tokens = outcome.unwrap()
            self._is_source_failing = False
        elif not self._is_source_failing:
            self._is_source_failing = True
            log.warning(
                'cannot read tokens, keeping the previous ones: %s',
                outcome.failure().message,
            )

    def identify(
        self, header: str
    ) -> result.Result[Identity, _errors.Failure]:
        """Return the holder of the token in an Authorization header.

        Fails with UNAUTHENTICATED. The digest is compared with those of all
        tokens, each in constant time, so that the duration reveals nothing
        about the digests.
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
    """Reads the tokens of a settings file; parses it only if it changed."""

    def __init__(self, kind: type[_settings.Settings], path: str) -> None:
        self._kind = kind
        self._path = path
        self._file_signature: tuple[int, int, int] | None = None
        self._outcome: result.Result[Tokens, _errors.Failure]

    def read(self) -> result.Result[Tokens, _errors.Failure]:
        """Return the tokens, or INVALID_REQUEST with all errors found."""
        try:
            status = os.stat(self._path)
        except OSError as error:
            return self._fail(str(error))
        signature = (status.st_mtime_ns, status.st_size, status.st_ino)
        if signature != self._file_signature:
            self._outcome = self._parse()
            self._file_signature = signature
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
    """Count a forbidden request and return the failure for it."""
    REFUSALS.labels('forbidden').inc()
    return _errors.Failure(
        _errors.ErrorKind.FORBIDDEN,
        f'token {identity.name!r} does not cover {what}',
    )
