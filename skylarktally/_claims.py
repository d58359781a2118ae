"""At-most-once execution by idempotency key.

Before a router runs a request that must run at most once, it claims the key
of the request: for a caller's key by a row of the platform's table, for a
key issued by a router in the memory of that router. The response is recorded
for requests that repeat the key.
"""

import base64
import collections
import datetime
import enum
import hashlib
import hmac
import secrets
from typing import Any, NamedTuple, Protocol
import uuid

from returns import result

from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _limits

# Prefix of keys issued by routers; keys of callers never start with it.
ISSUED_PREFIX = 'skylarktally-key-1.'
_MAX_COMMIT_ATTEMPTS = 5
# An undecided claim is refused after this time. It is shorter than the time
# limit of one call, 2 s, so that a table that does not respond delays a
# caller by one call only: two routers of a zone that is cut off may each use
# up that much of a deadline of 5.5 s.
_CLAIM_TIMEOUT = datetime.timedelta(seconds=1.5)


class ResponseState(enum.Enum):
    """What a router knows about the request of a key."""

    ABSENT = 'absent'
    RUNNING = 'running'
    RECORDED = 'recorded'


class RecordedResponse(NamedTuple):
    """State of a request key, with its response if that is recorded."""

    state: ResponseState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


ABSENT = RecordedResponse(ResponseState.ABSENT)
RUNNING = RecordedResponse(ResponseState.RUNNING)


class ClaimStatus(enum.Enum):
    """Whether a claim was granted, or why not."""

    GRANTED = 'granted'
    # Another request has claimed the key before.
    HELD = 'held'
    # Another router issued the key, and only that one may run it.
    ELSEWHERE = 'elsewhere'


class ClaimResult(NamedTuple):
    """Result of a claim; with the owner of the key if not granted."""

    status: ClaimStatus
    owner: str = ''
    incarnation: int = 0
    # Address for peer calls to the owner of a HELD key; empty if the claim is
    # in the memory of this router.
    owner_address: str = ''


class Table(Protocol):
    """The part of the client of the platform's table that claims use."""

    def commit(self, transaction: Any) -> result.Result[int, Any]:
        """Apply a transaction."""

    def read(self, key: str) -> result.Result[Any, Any]:
        """Return a row or None."""

    @property
    def is_unresponsive(self) -> bool:
        """Tell whether the last call that ended got no response in time."""

    @property
    def is_refusing(self) -> bool:
        """Tell whether the last call that ended was refused."""


class Owner(NamedTuple):
    """Identity of the router that claims keys."""

    name: str
    incarnation: int
    peer_address: str


class _Condition(NamedTuple):
    key: str
    version: int


class _Write(NamedTuple):
    key: str
    value: dict[str, Any] | None


class _Transaction(NamedTuple):
    id: str
    conditions: tuple[_Condition, ...]
    writes: tuple[_Write, ...]


class Claims:
    """Claims of this router on request keys, and recorded responses."""

    def __init__(
        self,
        table: Table,
        clock: _clock.Clock,
        owner: Owner,
        limits: _limits.ServingLimits,
    ) -> None:
        self._table = table
        self._clock = clock
        self._owner = owner
        self._limits = limits
        # Random, since only this incarnation verifies the keys it issues.
        self._secret = secrets.token_bytes(32)
        # Keys that this router claimed, with the time, oldest first.
        self._claim_times: dict[str, datetime.timedelta] = {}
        # Keys whose request was refused, or whose claim stayed undecided.
        # They have not run, so a row of this incarnation does not prevent
        # a new claim.
        self._reclaimable_keys: dict[str, datetime.timedelta] = {}
        # Versions of the rows that hold the claims, by key.
        self._row_versions: dict[str, int] = {}
        self._responses: collections.OrderedDict[str, RecordedResponse] = (
            collections.OrderedDict()
        )

    @property
    def owner(self) -> Owner:
        """Return the identity of this router."""
        return self._owner

    @property
    def is_table_unresponsive(self) -> bool:
        """Tell whether claims are refused as the table does not respond."""
        return self._table.is_unresponsive

    def issue_key(self) -> str:
        """Return a new key that only this incarnation of the router runs."""
        # The same monotonic clock also expires the claim times. A step of
        # the wall clock can't make a key valid that was forgotten as used.
        issued = self._clock.monotonic() // datetime.timedelta(microseconds=1)
        name = base64.urlsafe_b64encode(self._owner.name.encode()).decode()
        nonce = secrets.token_hex(8)
        text = f'{name}.{self._owner.incarnation}.{issued}.{nonce}'
        return f'{ISSUED_PREFIX}{text}.{self._sign(text)}'

    def _sign(self, text: str) -> str:
        return hmac.new(
            self._secret, text.encode(), hashlib.sha256
        ).hexdigest()

    def find_other_issuer(self, key: str) -> ClaimResult | None:
        """Return the issuer of the key if it is another router, else None."""
        if not key.startswith(ISSUED_PREFIX):
            return None
        text = key[len(ISSUED_PREFIX) :].rpartition('.')[0]
        try:
            name, incarnation, _issued, _nonce = text.split('.')
            owner = base64.urlsafe_b64decode(name).decode()
            issuer = ClaimResult(
                ClaimStatus.ELSEWHERE, owner, int(incarnation)
            )
        except (ValueError, OverflowError):
            return None
        own = (owner, issuer.incarnation) == self._owner[:2]
        return None if own else issuer

    def claim(self, key: str) -> result.Result[ClaimResult, _errors.Failure]:
        """Claim the right to run the request of a key once.

        The request may run only if the status is GRANTED.

        :returns: the result, or PLATFORM_UNAVAILABLE, RATE_LIMITED,
            INVALID_REQUEST or KEY_EXPIRED
        """
        self._expire_keys()
        if key.startswith(ISSUED_PREFIX):
            return self._claim_issued(key)
        if key in self._claim_times:
            return result.Success(ClaimResult(ClaimStatus.HELD))
        # Set before any I/O, which may switch to another request with the
        # same key at this router.
        self._claim_times[key] = self._clock.monotonic()
        claimed = self._claim_row(key)
        if not _is_granted(claimed):
            self._claim_times.pop(key, None)
        return claimed

    def _claim_issued(
        self, key: str
    ) -> result.Result[ClaimResult, _errors.Failure]:
        issuer = self.find_other_issuer(key)
        if issuer is not None:
            return result.Success(issuer)
        text, _, signature = key[len(ISSUED_PREFIX) :].rpartition('.')
        if not hmac.compare_digest(signature, self._sign(text)):
            return _fail(
                _errors.ErrorKind.INVALID_REQUEST,
                'the issued key is not valid',
            )
        # The signature is valid, so the fields are as issue_key wrote them.
        microseconds = int(text.split('.')[2])
        start = datetime.timedelta(microseconds=microseconds)
        if self._clock.monotonic() - start >= self._limits.key_retention:
            return _fail(
                _errors.ErrorKind.KEY_EXPIRED, 'the issued key is too old'
            )
        if key in self._claim_times:
            return result.Success(ClaimResult(ClaimStatus.HELD))
        self._claim_times[key] = self._clock.monotonic()
        return result.Success(ClaimResult(ClaimStatus.GRANTED))

    def _claim_row(
        self, key: str
    ) -> result.Result[ClaimResult, _errors.Failure]:
        row_key = _format_row_key(key)
        value = {
            # Distinguishes claims of this router with the same time.
            'claim_id': uuid.uuid4().hex,
            'owner': self._owner.name,
            'incarnation': self._owner.incarnation,
            'owner_address': self._owner.peer_address,
            'claimed_at': self._clock.now().isoformat(),
        }
        transaction = _Transaction(
            uuid.uuid4().hex,
            (_Condition(row_key, 0),),
            (_Write(row_key, value),),
        )
        start = self._clock.monotonic()
        # Regular polls of the router show when the table responds again.
        # A claim would only delay its caller, or use up the router's share
        # of the writes.
        if self._table.is_unresponsive or self._table.is_refusing:
            return _fail(
                _errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'the table cannot be reached',
            )
        for attempt in range(_MAX_COMMIT_ATTEMPTS):
            # The read after the last commit may have timed out, too.
            if attempt and self._clock.monotonic() - start >= _CLAIM_TIMEOUT:
                break
            committed = self._table.commit(transaction)
            if isinstance(committed, result.Success):
                self._row_versions[key] = committed.unwrap()
                return result.Success(ClaimResult(ClaimStatus.GRANTED))
            kind = committed.failure().kind
            if kind not in (
                _errors.ErrorKind.CONFLICT,
                _errors.ErrorKind.OUTCOME_UNKNOWN,
            ):
                return result.Failure(committed.failure())
            if self._clock.monotonic() - start >= _CLAIM_TIMEOUT:
                break
            row = self._table.read(row_key).value_or(None)
            if row is not None:
                return result.Success(self._evaluate_row(key, row, value))
        self._reclaimable_keys[key] = self._clock.monotonic()
        return _fail(
            _errors.ErrorKind.PLATFORM_UNAVAILABLE, 'the claim is undecided'
        )

    def _evaluate_row(
        self, key: str, row: Any, written: dict[str, Any]
    ) -> ClaimResult:
        stored = row.value
        # A row of this incarnation that is neither this claim nor
        # reclaimable belongs to a request that may have run so long ago
        # that its key has been deleted from memory.
        if stored == written or (
            stored['incarnation'] == self._owner.incarnation
            and stored['owner'] == self._owner.name
            and self._reclaimable_keys.pop(key, None) is not None
        ):
            self._row_versions[key] = row.version
            return ClaimResult(ClaimStatus.GRANTED)
        return ClaimResult(
            ClaimStatus.HELD,
            stored['owner'],
            stored['incarnation'],
            stored['owner_address'],
        )

    def release(self, key: str) -> None:
        """Release the claim of a request that was refused and did not run.

        The caller may then repeat the key at any router. If the outcome
        of the release is unknown, the key stays claimed, since a delayed
        release could otherwise delete the row of a later run.
        """
        version = self._row_versions.pop(key, None)
        if version is not None:
            self._delete_row(key, version)
        self._claim_times.pop(key, None)

    def _delete_row(self, key: str, version: int) -> None:
        row_key = _format_row_key(key)
        released = self._table.commit(
            _Transaction(
                uuid.uuid4().hex,
                (_Condition(row_key, version),),
                (_Write(row_key, None),),
            )
        )
        if isinstance(released, result.Success):
            return
        if released.failure().kind in (
            _errors.ErrorKind.PLATFORM_UNAVAILABLE,
            _errors.ErrorKind.RATE_LIMITED,
        ):
            # Not applied: the row stays and this router may claim it again.
            self._reclaimable_keys[key] = self._clock.monotonic()

    def record(self, key: str, response: RecordedResponse) -> None:
        """Keep the response of a key for requests that repeat the key.

        A response longer than the limit is not kept; beyond the maximum
        number, the oldest ones are dropped.
        """
        if len(response.body) > self._limits.max_recorded_answer_bytes:
            return
        self._responses[key] = response
        while len(self._responses) > self._limits.max_recorded_answers:
            self._responses.popitem(last=False)

    def find(self, key: str) -> RecordedResponse:
        """Return what this router knows about a key."""
        response = self._responses.get(key)
        if response is not None:
            return response
        return RUNNING if key in self._claim_times else ABSENT

    def _expire_keys(self) -> None:
        oldest = self._clock.monotonic() - self._limits.key_retention
        for times_by_key in (self._claim_times, self._reclaimable_keys):
            while times_by_key:
                key = next(iter(times_by_key))
                if times_by_key[key] > oldest:
                    break
                del times_by_key[key]
                self._responses.pop(key, None)
                self._row_versions.pop(key, None)


def _format_row_key(key: str) -> str:
    return 'claim/' + hashlib.sha256(key.encode()).hexdigest()


def _is_granted(claimed: result.Result[ClaimResult, Any]) -> bool:
    if not isinstance(claimed, result.Success):
        return False
    return claimed.unwrap().status is ClaimStatus.GRANTED


def _fail(
    kind: _errors.ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
