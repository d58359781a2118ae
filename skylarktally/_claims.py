"""At-most-once execution: claims, issued keys and recorded answers."""

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

# Marks a key issued by a router; keys of callers never start with it.
ISSUED_PREFIX = 'skylarktally-key-1.'
_COMMIT_ATTEMPTS = 5
# A claim without a decision by then is refused. It is below the 2 s time
# limit of one call, so a silent table costs a caller one call: two routers
# of a zone that is cut off may each take that long of 5.5 s.
_CLAIM_LIMIT = datetime.timedelta(seconds=1.5)


class ResponseState(enum.Enum):
    """What a router knows about the run of a request key."""

    ABSENT = 'absent'
    RUNNING = 'running'
    RECORDED = 'recorded'


class RecordedResponse(NamedTuple):
    """The answer of a request key, whole if the state is RECORDED."""

    state: ResponseState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


ABSENT = RecordedResponse(ResponseState.ABSENT)
RUNNING = RecordedResponse(ResponseState.RUNNING)


class ClaimStatus(enum.Enum):
    """Result of a claim."""

    GRANTED = 'granted'
    # Another request had the key first.
    HELD = 'held'
    # The key was issued by another router, which alone may run it.
    ELSEWHERE = 'elsewhere'


class ClaimResult(NamedTuple):
    """Result of a claim, with the owner unless it is granted."""

    status: ClaimStatus
    owner: str = ''
    incarnation: int = 0
    # Peer address of the owner of a HELD key; empty for this router.
    owner_address: str = ''


class Table(Protocol):
    """The part of the table client that claims use."""

    def commit(self, transaction: Any) -> result.Result[int, Any]:
        """Apply a transaction."""

    def read(self, key: str) -> result.Result[Any, Any]:
        """Return a row or None."""

    @property
    def silent(self) -> bool:
        """Tell whether the last call that ended got no answer in time."""

    @property
    def refused(self) -> bool:
        """Tell whether the last call that ended was refused."""


class Owner(NamedTuple):
    """The router that claims keys."""

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
    """Keys that this router may run, and the answers it gave."""

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
        # Only this incarnation has to recognize its keys.
        self._secret = secrets.token_bytes(32)
        # Keys in use, by the time they were claimed, oldest first.
        self._used: dict[str, datetime.timedelta] = {}
        # Keys whose request was refused, or whose claim stayed undecided;
        # a row of this incarnation does not stand for a run of theirs.
        self._reclaimable: dict[str, datetime.timedelta] = {}
        # Versions of the claimed rows, by key.
        self._versions: dict[str, int] = {}
        self._answers: collections.OrderedDict[str, RecordedResponse] = (
            collections.OrderedDict()
        )

    @property
    def owner(self) -> Owner:
        """Return the router whose claims these are."""
        return self._owner

    @property
    def is_table_unresponsive(self) -> bool:
        """Tell whether claims are refused because the table is silent."""
        return self._table.silent

    def issue_key(self) -> str:
        """Return a key that only this incarnation of the router runs."""
        # The age is judged by the clock that also ages the memory of
        # used keys, so a step of the wall clock cannot revive a key.
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
        """Return the issuer of a key that only another router may run."""
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
        """Claim a key for one run.

        :returns: failures mean that the request must not run:
            PLATFORM_UNAVAILABLE, RATE_LIMITED, INVALID_REQUEST or
            KEY_EXPIRED
        """
        self._forget_old()
        if key.startswith(ISSUED_PREFIX):
            return self._claim_issued(key)
        if key in self._used:
            return result.Success(ClaimResult(ClaimStatus.HELD))
        # Set before the first I/O, so that a second request with the
        # key at this router does not claim as well.
        self._used[key] = self._clock.monotonic()
        claimed = self._claim_row(key)
        if not _is_granted(claimed):
            self._used.pop(key, None)
        return claimed

    def _claim_issued(
        self, key: str
    ) -> result.Result[ClaimResult, _errors.Failure]:
        issuer = self.find_other_issuer(key)
        if issuer is not None:
            return result.Success(issuer)
        text, _, signature = key[len(ISSUED_PREFIX) :].rpartition('.')
        if not hmac.compare_digest(signature, self._sign(text)):
            return _refuse(_errors.ErrorKind.INVALID_REQUEST, 'bad key')
        # The signature shows that the fields are those of issue_key.
        microseconds = int(text.split('.')[2])
        start = datetime.timedelta(microseconds=microseconds)
        if self._clock.monotonic() - start >= self._limits.key_retention:
            return _refuse(
                _errors.ErrorKind.KEY_EXPIRED, 'the issued key is too old'
            )
        if key in self._used:
            return result.Success(ClaimResult(ClaimStatus.HELD))
        self._used[key] = self._clock.monotonic()
        return result.Success(ClaimResult(ClaimStatus.GRANTED))

    def _claim_row(
        self, key: str
    ) -> result.Result[ClaimResult, _errors.Failure]:
        row_key = _format_row_key(key)
        value = {
            # Tells this claim from an earlier one at the same time.
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
        # The router polls the table, which finds out when it answers
        # again; a request that tried would hold up its caller or use up
        # the router's share of the writes.
        if self._table.silent or self._table.refused:
            return _refuse(
                _errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'the table cannot be reached',
            )
        for attempt in range(_COMMIT_ATTEMPTS):
            # The read after a commit may have met the silence, too.
            if attempt and self._clock.monotonic() - start >= _CLAIM_LIMIT:
                break
            committed = self._table.commit(transaction)
            if isinstance(committed, result.Success):
                self._versions[key] = committed.unwrap()
                return result.Success(ClaimResult(ClaimStatus.GRANTED))
            kind = committed.failure().kind
            if kind not in (
                _errors.ErrorKind.CONFLICT,
                _errors.ErrorKind.OUTCOME_UNKNOWN,
            ):
                return result.Failure(committed.failure())
            if self._clock.monotonic() - start >= _CLAIM_LIMIT:
                break
            row = self._table.read(row_key).value_or(None)
            if row is not None:
                return result.Success(self._judge_row(key, row, value))
        self._reclaimable[key] = self._clock.monotonic()
        return _refuse(
            _errors.ErrorKind.PLATFORM_UNAVAILABLE, 'the claim is undecided'
        )

    def _judge_row(
        self, key: str, row: Any, written: dict[str, Any]
    ) -> ClaimResult:
        found = row.value
        # A row of this incarnation but of an earlier claim stands for a
        # request that may have run longer ago than the memory goes.
        if found == written or (
            found['incarnation'] == self._owner.incarnation
            and found['owner'] == self._owner.name
            and self._reclaimable.pop(key, None) is not None
        ):
            self._versions[key] = row.version
            return ClaimResult(ClaimStatus.GRANTED)
        return ClaimResult(
            ClaimStatus.HELD,
            found['owner'],
            found['incarnation'],
            found['owner_address'],
        )

    def release(self, key: str) -> None:
        """Release the claim of a request that was refused and did not run.

        The caller may then send the key again through any router. A key
        whose release is undecided stays claimed: a delayed release could
        otherwise remove the row of a later run.
        """
        version = self._versions.pop(key, None)
        if version is not None:
            self._delete_row(key, version)
        self._used.pop(key, None)

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
            # Not applied: the row stays, and this router may use it again.
            self._reclaimable[key] = self._clock.monotonic()

    def record(self, key: str, answer: RecordedResponse) -> None:
        """Keep the answer of a key for requests that repeat it."""
        if len(answer.body) > self._limits.max_recorded_answer_bytes:
            return
        self._answers[key] = answer
        while len(self._answers) > self._limits.max_recorded_answers:
            self._answers.popitem(last=False)

    def find(self, key: str) -> RecordedResponse:
        """Return what this router knows about a key."""
        answer = self._answers.get(key)
        if answer is not None:
            return answer
        return RUNNING if key in self._used else ABSENT

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - self._limits.key_retention
        for memory in (self._used, self._reclaimable):
            while memory:
                key = next(iter(memory))
                if memory[key] > oldest:
                    break
                del memory[key]
                self._answers.pop(key, None)
                self._versions.pop(key, None)


def _format_row_key(key: str) -> str:
    return 'claim/' + hashlib.sha256(key.encode()).hexdigest()


def _is_granted(claimed: result.Result[ClaimResult, Any]) -> bool:
    if not isinstance(claimed, result.Success):
        return False
    return claimed.unwrap().status is ClaimStatus.GRANTED


def _refuse(
    kind: _errors.ErrorKind, message: str
) -> result.Result[Any, _errors.Failure]:
    return result.Failure(_errors.Failure(kind, message))
